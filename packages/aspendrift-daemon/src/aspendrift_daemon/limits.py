"""Limits on the connections, headers, bodies and time that clients may use."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, ClassVar, Final

import h11
import msgspec
import structlog
from uvicorn.protocols.http.h11_impl import H11Protocol

from aspendrift_model.outcomes import REFUSAL_RULES
from aspendrift_model.settings_http import HttpSettings
from aspendrift_model.states import OutcomeStatus, Ran, RefusalReason
from aspendrift_model.wire_caller import OutcomeBody
from aspendrift_policy.read_limits import ChunkQuota, SharedPace, turn_end

if TYPE_CHECKING:
    from litestar.types import ASGIApp, Message, Receive, Scope, Send

__all__ = ["BodyLimits", "ConnectionLimits", "limited_protocol"]

_HTTP_SCOPE: Final = "http"
_MAX_READ_BYTES: Final = 16 * 1024
_MAX_BUFFERED_BYTES: Final = 16 * 1024 * 1024

_logger = structlog.get_logger("aspendrift.http")


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits on connections and on the header of a request.

    Parameters
    ----------
    max_connections : int
        Maximum number of open connections; a further one is closed at once.
    header_timeout_s : float
        Time for a complete header, in seconds, counted from the start of the
        connection or from the first bytes of the next request.
    """

    max_connections: int
    header_timeout_s: float

    @classmethod
    def from_settings(cls, settings: HttpSettings) -> ConnectionLimits:
        """Return the limits of the settings."""
        return cls(settings.max_connections, settings.header_timeout_s)


class _CountedConnection(h11.Connection):
    """State of a connection that counts the chunks of the bodies it receives."""

    def __init__(self, max_incomplete_event_size: int) -> None:
        super().__init__(h11.SERVER, max_incomplete_event_size)
        self.n_new_chunks = 0

    def next_event(self) -> Any:
        """Return the next event."""
        event = super().next_event()
        if isinstance(event, h11.Data):
            self.n_new_chunks += 1
        return event


class _LimitedProtocol(H11Protocol):
    """uvicorn's HTTP/1.1 protocol with limits on connections, time and processor time.

    What a client sends is parsed in bounded turns of the event loop, and clients that
    send more chunks of bodies than sound ones share one rate.
    """

    limits: ClassVar[ConnectionLimits]
    pace: ClassVar[SharedPace]
    conn: _CountedConnection
    _header_timer: asyncio.TimerHandle | None = None
    _parse_timer: asyncio.Handle | None = None
    _is_paced = False

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Accept the connection unless too many are open."""
        super().connection_made(transport)
        max_head_bytes = self.config.h11_max_incomplete_event_size or _MAX_READ_BYTES
        self.conn = _CountedConnection(max_head_bytes)
        self._quota = ChunkQuota(self.loop.time())
        self._unparsed = bytearray()
        _disable_nagle(transport)
        _limit_read_size(transport)
        if len(self.connections) > self.limits.max_connections:
            transport.abort()
            return
        self._start_timer()

    def data_received(self, data: bytes) -> None:
        """Parse data, in this turn of the event loop or in later ones."""
        self._unparsed += data
        if self._parse_timer is None:
            self._parse()
        else:
            self.transport.pause_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timers of the connection."""
        self._stop_timer()
        if self._parse_timer is not None:
            self._parse_timer.cancel()
        super().connection_lost(exc)

    def _parse(self) -> None:
        """Parse what one turn may, and schedule the next one if bytes are left."""
        self._parse_timer = None
        if self.transport.is_closing():
            return
        end = turn_end(self._unparsed, 0, _MAX_READ_BYTES)
        part = bytes(self._unparsed[:end])
        del self._unparsed[:end]
        if part:
            self._receive(part)
        delay_s = self._delay_s()
        if self._unparsed or delay_s:
            self.transport.pause_reading()
            self._parse_timer = self.loop.call_later(delay_s, self._parse)
        elif not self.flow.read_paused:
            self.transport.resume_reading()

    def _receive(self, data: bytes) -> None:
        """Parse data; a header that has begun must be complete in time."""
        if self._header_timer is None and self.conn.their_state is h11.IDLE:
            self._start_timer()
        super().data_received(data)
        if self.conn.their_state is not h11.IDLE:
            self._stop_timer()

    def _delay_s(self) -> float:
        """Return how long to wait before more is parsed, after the new chunks."""
        now = self.loop.time()
        excess = self._quota.excess(self.conn.n_new_chunks, now)
        self.conn.n_new_chunks = 0
        if not excess:
            return 0.0
        if not self._is_paced:
            self._is_paced = True
            _logger.warning("request_body_paced", client=self.client)
        return self.pace.delay_s(excess, now)

    def _start_timer(self) -> None:
        delay = self.limits.header_timeout_s
        self._header_timer = self.loop.call_later(delay, self.transport.abort)

    def _stop_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None


def _disable_nagle(transport: asyncio.Transport) -> None:
    """Turn off Nagle's algorithm.

    asyncio does so only for sockets whose protocol number is set; sockets
    accepted from a bound socket may lack it. A response sent in two writes would
    then wait for the delayed acknowledgement of the first.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.family in (socket.AF_INET, socket.AF_INET6):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def _limit_read_size(transport: asyncio.Transport) -> None:
    """Limit the size of one read, before flow control stops the body.

    asyncio reads up to 256 KiB at once, too much memory with many connections.
    """
    if hasattr(transport, "max_size"):
        transport.max_size = _MAX_READ_BYTES


def limited_protocol(limits: ConnectionLimits) -> type[asyncio.Protocol]:
    """Return a protocol class for uvicorn's ``http`` option."""
    attributes = {"limits": limits, "pace": SharedPace()}
    return type("LimitedProtocol", (_LimitedProtocol,), attributes)


class _BodyTooLarge(Exception):
    """The body has more bytes than allowed."""


class _BuffersFull(Exception):
    """The bodies being read or processed take too much memory."""


class BodyLimits:
    """ASGI middleware that limits the size and the receive time of a body.

    A body over the limit is refused before any handler decodes it. The time that
    the daemon itself takes does not count.

    Parameters
    ----------
    app : ASGIApp
        The wrapped application.
    max_body_bytes : int
        Maximum size of a body, in bytes.
    body_timeout_s : float
        Time to receive the complete body, in seconds.
    max_buffered_bytes : int
        Maximum total size of the bodies being read or processed, in bytes.
    """

    def __init__(
        self,
        app: ASGIApp,
        max_body_bytes: int,
        body_timeout_s: float,
        max_buffered_bytes: int = _MAX_BUFFERED_BYTES,
    ) -> None:
        self._app = app
        self._max_body_bytes = max_body_bytes
        self._body_timeout_s = body_timeout_s
        self._max_buffered_bytes = max_buffered_bytes
        self._n_buffered_bytes = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Read the body within the limits, then call the application."""
        if str(scope["type"]) != _HTTP_SCOPE:
            await self._app(scope, receive, send)
            return
        body = bytearray()
        try:
            async with asyncio.timeout(self._body_timeout_s):
                is_complete = await self._read_body(scope, receive, body)
        except _BodyTooLarge:
            await _refuse(send, RefusalReason.TOO_LARGE)
        except _BuffersFull:
            await _refuse(send, RefusalReason.OVERLOADED, "body buffers are full")
        except TimeoutError:
            await _refuse(send, RefusalReason.BAD_REQUEST, "body not received in time")
        else:
            if is_complete:
                await self._app(scope, _BufferedReceive(bytes(body), receive), send)
        finally:
            self._n_buffered_bytes -= len(body)

    async def _read_body(self, scope: Scope, receive: Receive, body: bytearray) -> bool:
        """Read the complete body; False if the client disconnected."""
        if _declared_length(scope) > self._max_body_bytes:
            raise _BodyTooLarge
        while True:
            message: Any = await receive()
            if message["type"] == "http.disconnect":
                return False
            self._append(body, message.get("body", b""))
            if not message.get("more_body", False):
                return True

    def _append(self, body: bytearray, chunk: bytes) -> None:
        if len(body) + len(chunk) > self._max_body_bytes:
            raise _BodyTooLarge
        if self._n_buffered_bytes + len(chunk) > self._max_buffered_bytes:
            raise _BuffersFull
        body += chunk
        self._n_buffered_bytes += len(chunk)


class _BufferedReceive:
    """ASGI ``receive`` that yields the buffered body, then later messages."""

    def __init__(self, body: bytes, receive: Receive) -> None:
        self._body: bytes | None = body
        self._receive = receive

    async def __call__(self) -> Any:
        if self._body is None:
            return await self._receive()
        body, self._body = self._body, None
        return {"type": "http.request", "body": body, "more_body": False}


def _declared_length(scope: Scope) -> int:
    for name, value in scope.get("headers", ()):
        if name == b"content-length" and value.isdigit():
            return int(value)
    return 0


async def _refuse(send: Send, reason: RefusalReason, detail: str = "") -> None:
    rule = REFUSAL_RULES[reason]
    outcome = OutcomeBody(
        request_id="",
        status=OutcomeStatus.REFUSED,
        ran=Ran.NO,
        reason=reason,
        sentence=rule.sentence,
        detail=detail,
        action=rule.action,
    )
    start: Message = {
        "type": "http.response.start",
        "status": rule.http_status,
        "headers": [(b"content-type", b"application/json"), (b"connection", b"close")],
    }
    await send(start)
    body: Any = {"type": "http.response.body", "body": msgspec.json.encode(outcome)}
    await send(body)
