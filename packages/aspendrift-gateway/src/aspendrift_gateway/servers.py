"""HTTP servers for callers: requests, readiness, addresses and metrics.

The applications are plain ASGI on uvicorn. Forwarded requests are opaque and their
routes come from the operators' configuration, so a web framework would have nothing
to route.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any, Final

import structlog
import uvicorn

from aspendrift_daemon.embedded_server import EmbeddedServer, listen
from aspendrift_daemon.limits import ConnectionLimits, limited_protocol
from aspendrift_gateway.caller_answer import CallerDisconnected, CallerStalled
from aspendrift_gateway.handover import split_marker
from aspendrift_gateway.interfaces import AddressQuery, BadRequest, CallerCodec
from aspendrift_gateway.refusals import Refusal, refusal_body, refusal_status
from aspendrift_gateway.request_path import RequestPath
from aspendrift_model.ids import AttemptId
from aspendrift_model.opaque_requests import Headers
from aspendrift_model.routes import ServerLimits
from aspendrift_model.states import RefusalReason
from aspendrift_policy.buffer_budget import BufferShares, UnreadAnswers

__all__ = ["AppServer", "ControlApp", "RequestApp"]

Scope = dict[str, Any]
Receive = Callable[[], Any]
Send = Callable[[dict[str, Any]], Any]

_CLOSE: Final = (b"connection", b"close")
_CLOSE_TIMEOUT_S: Final = 1.0
_PART_BYTES: Final = 64 * 1024
# Least memory of an answer whose caller does not read: a part that waits, and as much
# in the buffer of the connection.
_UNREAD_BYTES: Final = 2 * _PART_BYTES
_SHORT_RETRY_AFTER_S: Final = 0.5

_logger = structlog.get_logger("aspendrift.front")


class _CallerGone(Exception):
    """The caller disconnected before its request was complete."""


class _TooLarge(Exception):
    """A request body is larger than the configuration allows."""


class _BuffersFull(Exception):
    """The bodies that are being received and served take too much memory."""


class _AsgiAnswer:
    """The answer to one request over ASGI.

    Parameters
    ----------
    unread : UnreadAnswers
        Parts of all answers that callers have not read yet.
    """

    def __init__(
        self, send: Send, is_leaving: Callable[[], bool], unread: UnreadAnswers
    ) -> None:
        self._send = send
        self._is_leaving = is_leaving
        self._unread = unread
        self._sending: asyncio.Task[Any] | None = None
        self._is_stalled = False
        self.has_begun = False
        self.is_complete = False
        self.is_aborted = False

    async def begin(self, status: int, headers: Headers) -> None:
        """Send the head of the answer."""
        self.has_begun = True
        sent = list(headers)
        if self._is_leaving():
            sent.append(_CLOSE)
        await self._transmit(
            {"type": "http.response.start", "status": status, "headers": sent}
        )

    async def send(self, content: bytes) -> None:
        """Send a part of the body; raises `CallerStalled`.

        In parts, each of which waits for the caller to read the ones before.
        """
        for start in range(0, len(content), _PART_BYTES):
            n_held = max(_UNREAD_BYTES, len(content) - start + _PART_BYTES)
            await self._send_part(content[start : start + _PART_BYTES], n_held)

    async def _send_part(self, part: bytes, n_held: int) -> None:
        """Send a part of content of which ``n_held`` bytes are in memory."""
        self._sending = asyncio.current_task()
        number = self._unread.began(n_held, self._break_off)
        try:
            await self._transmit(
                {"type": "http.response.body", "body": part, "more_body": True}
            )
        except asyncio.CancelledError:
            if not self._is_stalled or self._sending is None:
                raise
            self._sending.uncancel()
            raise CallerStalled from None
        finally:
            self._unread.ended(number)

    def _break_off(self) -> None:
        if self._sending is not None:
            self._is_stalled = True
            self._sending.cancel()

    async def end(self) -> None:
        """Send the end of the body."""
        await self._transmit({"type": "http.response.body", "body": b""})
        self.is_complete = True

    async def _transmit(self, message: dict[str, Any]) -> None:
        try:
            await self._send(message)
        except OSError as error:
            raise CallerDisconnected(type(error).__name__) from error

    def abort(self) -> None:
        """End the application without completing the answer."""
        self.is_aborted = True


class _Cut(Exception):
    """Makes uvicorn close a connection whose answer is incomplete."""


def _is_not_cut(record: logging.LogRecord) -> bool:
    """Return whether to log a record of uvicorn.

    A cut is already logged with the request's id and the reason.
    """
    return not (record.exc_info and record.exc_info[0] is _Cut)


logging.getLogger("uvicorn.error").addFilter(_is_not_cut)


class RequestApp:
    """ASGI application for the requests of callers.

    Parameters
    ----------
    limits : callable
        Returns the limits in force.
    is_leaving : callable
        Returns whether to close connections after their answer.
    buffers : BufferShares
        Memory for the bodies of requests, and for answers that are not read.
    """

    def __init__(
        self,
        path: RequestPath,
        codec: CallerCodec,
        limits: Callable[[], ServerLimits],
        is_leaving: Callable[[], bool],
        buffers: BufferShares,
    ) -> None:
        self._path = path
        self._codec = codec
        self._limits = limits
        self._is_leaving = is_leaving
        self._buffers = buffers
        self._receiving: set[asyncio.Task[Any]] = set()

    @property
    def n_receiving(self) -> int:
        """Number of requests whose body is incomplete."""
        return len(self._receiving)

    @property
    def n_open(self) -> int:
        """Number of requests without a final answer, also incomplete ones."""
        return self._path.n_open + self.n_receiving

    def open_ids(self) -> list[str]:
        """Return the ids of these requests, as far as they are known."""
        return self._path.open_ids()

    def begin_leaving(self) -> None:
        """Do nothing: the path refuses new requests by the time of their arrival."""

    def end_open(self) -> None:
        """End open requests at shutdown, with answers that state their outcome."""
        for task in self._receiving:
            task.cancel()
        self._path.end_open()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        answer = _AsgiAnswer(send, self._is_leaving, self._buffers.unread)
        body = bytearray()
        try:
            if await self._has_body(receive, answer, body):
                await self._serve(scope, receive, answer, bytes(body))
        except (_CallerGone, CallerDisconnected):
            return
        except _TooLarge:
            await self._reject(answer, RefusalReason.TOO_LARGE, "")
        except _BuffersFull:
            _logger.warning(
                "request_buffers_full", n_bytes=self._buffers.requests.n_bytes
            )
            await self._reject(
                answer, RefusalReason.OVERLOADED, "memory", _SHORT_RETRY_AFTER_S
            )
        finally:
            self._buffers.requests.release(len(body))

    async def _serve(
        self, scope: Scope, receive: Receive, answer: _AsgiAnswer, body: bytes
    ) -> None:
        target_path = scope["raw_path"]
        if scope["query_string"]:
            target_path += b"?" + scope["query_string"]
        headers, handed_over = split_marker(scope["headers"])
        request = self._codec.request(scope["method"], target_path, headers, body)
        if isinstance(request, BadRequest):
            await self._reject(answer, RefusalReason.BAD_REQUEST, request.detail)
            return
        if handed_over is not None:
            request = replace(request, handed_over=handed_over)
        serving = asyncio.create_task(self._path.serve(request, answer))
        watching = asyncio.create_task(_wait_for_close(receive))
        try:
            await asyncio.wait({serving, watching}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            watching.cancel()
            # After the end of its answer, the request only has to release what it used.
            if not answer.is_complete:
                serving.cancel()
            await asyncio.wait({serving})
        self._raise_if_cut(serving, answer)

    def _raise_if_cut(self, serving: asyncio.Task[None], answer: _AsgiAnswer) -> None:
        if not serving.cancelled() and serving.exception() is not None:
            _logger.error("request_error", exc_info=serving.exception())
            answer.abort()
        if answer.is_aborted or (serving.cancelled() and answer.has_begun):
            raise _Cut

    async def _has_body(
        self, receive: Receive, answer: _AsgiAnswer, body: bytearray
    ) -> bool:
        """Read a body; refuse the request if the server shuts down before its end."""
        task = asyncio.current_task()
        assert task is not None
        self._receiving.add(task)
        try:
            await self._read_body(receive, body)
        except asyncio.CancelledError:
            await self._reject(answer, RefusalReason.LEAVING, "", 0.0)
            return False
        finally:
            self._receiving.discard(task)
        return True

    async def _read_body(self, receive: Receive, body: bytearray) -> None:
        """Append what the caller sends; its bytes are reserved as they are appended."""
        limit = self._limits().body_bytes
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise _CallerGone
            part = message.get("body", b"")
            if len(body) + len(part) > limit:
                raise _TooLarge
            if not self._buffers.requests.reserve(len(part)):
                raise _BuffersFull
            body += part
            if not message.get("more_body", False):
                return

    async def _reject(
        self,
        answer: _AsgiAnswer,
        reason: RefusalReason,
        detail: str,
        retry_after_s: float | None = None,
    ) -> None:
        headers = self._codec.refusal_headers(AttemptId(""), retry_after_s)
        await answer.begin(refusal_status(reason), (*headers, _CLOSE))
        await answer.send(refusal_body(Refusal(reason, detail)))
        await answer.end()


class ControlApp:
    """ASGI application for readiness, addresses and metrics.

    Parameters
    ----------
    is_ready : callable
        Returns whether this daemon accepts requests.
    addresses : callable
        Returns the addresses that a caller may use.
    ttl_s : float
        Time for which callers may cache addresses.
    metrics : callable
        Returns the metrics in the Prometheus text format.
    """

    def __init__(
        self,
        codec: CallerCodec,
        is_ready: Callable[[], bool],
        addresses: Callable[[AddressQuery], Sequence[str]],
        ttl_s: float,
        metrics: Callable[[], bytes],
        metrics_path: str,
    ) -> None:
        self._codec = codec
        self._is_ready = is_ready
        self._addresses = addresses
        self._ttl_s = ttl_s
        self._metrics = metrics
        self._metrics_path = metrics_path

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        path = scope["path"]
        if path == self._codec.ready_path:
            await _reply(send, 200 if self._is_ready() else 503, b"")
        elif path == self._codec.addresses_path:
            query = self._codec.address_query(scope["query_string"].decode("latin-1"))
            found = self._addresses(query)
            body = self._codec.addresses(found, self._ttl_s)
            await _reply(send, 200 if found else 503, body, b"application/json")
        elif path == self._metrics_path:
            await _reply(send, 200, self._metrics(), b"text/plain; version=0.0.4")
        else:
            await _reply(send, 404, b"")


async def _reply(
    send: Send, status: int, body: bytes, content_type: bytes = b"text/plain"
) -> None:
    headers = [
        (b"content-type", content_type),
        (b"content-length", str(len(body)).encode()),
    ]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})


async def _wait_for_close(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        continue


class AppServer:
    """Serves one application on one address.

    Parameters
    ----------
    address : str
        IP address and port.
    max_connections : int
        Maximum number of open connections.
    """

    def __init__(
        self, address: str, app: Any, limits: ServerLimits, max_connections: int
    ) -> None:
        host, _, port = address.rpartition(":")
        self._socket = listen(host, int(port))
        self.max_connections = max_connections
        connections = ConnectionLimits(max_connections, limits.header_timeout_s)
        self._config = uvicorn.Config(
            app,
            loop="asyncio",
            http=limited_protocol(connections),
            ws="none",
            lifespan="off",
            interface="asgi3",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            proxy_headers=False,
            h11_max_incomplete_event_size=limits.header_bytes,
            timeout_keep_alive=int(limits.idle_timeout_s) + 1,
        )
        self._config.load()
        self._server = EmbeddedServer(self._config, _CLOSE_TIMEOUT_S)
        self._task: asyncio.Task[None] | None = None

    def set_idle_timeout(self, idle_timeout_s: float) -> None:
        """Set the idle timeout of new connections."""
        self._config.timeout_keep_alive = int(idle_timeout_s) + 1

    async def start(self) -> None:
        """Start the server; return once it accepts connections."""
        self._task = asyncio.create_task(self._server.serve([self._socket]))
        await self._server.is_up.wait()

    async def stop(self, close_s: float = _CLOSE_TIMEOUT_S) -> None:
        """Close the socket and the connections, the busy ones within ``close_s``."""
        self._server.begin_exit(close_s)
        if self._task is not None:
            await asyncio.gather(self._task, return_exceptions=True)
