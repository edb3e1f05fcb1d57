"""HTTP connection pool whose connections can't hold the event loop."""

from __future__ import annotations

import asyncio
import ssl
import time
from collections.abc import AsyncIterator, Coroutine, Iterable
from contextvars import ContextVar
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any, ClassVar, Final, TypeAlias

import httpcore
import httpx

from aspendrift_daemon.events import Event, EventHub
from aspendrift_daemon.surplus_answers import (
    AnswerReader,
    AwaitedAnswer,
    SurplusUnreadable,
    has_second_status_line,
)
from aspendrift_policy.buffer_budget import BufferBudget
from aspendrift_policy.read_limits import (
    BodyChunks,
    ChunkQuota,
    HeadLines,
    SharedPace,
    turn_end,
)

__all__ = [
    "AWAITED_ANSWER",
    "STREAMED_BODY",
    "BodyBounds",
    "BodyFragmented",
    "BodyTooLarge",
    "ConnectionMeter",
    "FragmentedBody",
    "HeadTooLong",
    "LongHead",
    "LoopHeld",
    "MeteredStream",
    "MeteredTransport",
    "OversizedBody",
    "SurplusAnswers",
]

# Extension of a request by which surplus answers on its connection are recognised.
AWAITED_ANSWER: Final = "awaited_answer"
# Extension of a request whose body its sender bounds, as it does not keep it.
STREAMED_BODY: Final = "streamed_body"

# Requests that wait this long for the event loop are noticed by their callers.
_MIN_HELD_S: Final = 0.1
# Chunks of a body after which its bounds are checked.
_CHECK_CHUNKS: Final = 64
# asyncio reads as much at once. All of it is taken, since bytes that the backend keeps
# don't make a connection readable.
_READ_BYTES: Final = 256 * 1024

_SocketOptions: TypeAlias = Iterable[Any] | None


@dataclass(frozen=True, slots=True)
class LoopHeld(Event):
    """Bytes of one connection were processed without a turn for anything else.

    ``n_bytes`` were read at once; the event loop ran no other task for ``held_s``.
    """

    name: ClassVar[str] = "loop_held"
    address: str
    n_bytes: int
    held_s: float


@dataclass(frozen=True, slots=True)
class BodyFragmented(Event):
    """An exchange was ended since its body came in too many small chunks."""

    name: ClassVar[str] = "body_fragmented"
    address: str
    n_chunks: int
    n_bytes: int


@dataclass(frozen=True, slots=True)
class BodyTooLarge(Event):
    """An exchange was ended since its body is too large, or encoded.

    ``n_bytes`` were read.
    """

    name: ClassVar[str] = "body_too_large"
    address: str
    n_bytes: int
    detail: str


@dataclass(frozen=True, slots=True)
class HeadTooLong(Event):
    """An exchange was ended since the heads of its answer have too many lines."""

    name: ClassVar[str] = "head_too_long"
    address: str


@dataclass(frozen=True, slots=True)
class SurplusAnswers(Event):
    """Answers to other requests were skipped before that to a request."""

    name: ClassVar[str] = "surplus_answers"
    address: str
    n_answers: int


class FragmentedBody(httpx.RemoteProtocolError):
    """A body came in too many small chunks."""


class OversizedBody(httpx.RemoteProtocolError):
    """A body is larger than what is kept of it, or encoded."""


class LongHead(httpx.RemoteProtocolError):
    """The heads of an answer have too many lines or bytes."""


class _TooManyLines(httpcore.RemoteProtocolError):
    """The heads of an answer have too many lines."""


@dataclass(frozen=True, slots=True)
class ConnectionMeter:
    """What all connections of a process share.

    Parameters
    ----------
    events : EventHub or None
        Receives the events of the connections.
    pace : SharedPace
        Rate of the connections that deliver too many chunks.
    """

    events: EventHub | None = None
    pace: SharedPace = field(default_factory=SharedPace)

    def emit(self, event: Event) -> None:
        """Emit an event of a connection."""
        if self.events is not None:
            self.events.emit(event)


@dataclass(frozen=True, slots=True)
class BodyBounds:
    """Bounds on the bodies that are read as a whole.

    Parameters
    ----------
    max_bytes : int
        Bytes of one body.
    budget : BufferBudget
        Bytes of all bodies that are being read.
    """

    max_bytes: int
    budget: BufferBudget


# Set while a request is sent, since the pool hands no extensions to its connections.
_awaited_answer: ContextVar[AwaitedAnswer | None] = ContextVar(
    "awaited_answer", default=None
)


class MeteredStream(httpcore.AsyncNetworkStream):
    """A connection that hands over what can be parsed in one turn of the event loop.

    All that it reads passes here: heads, interim heads and bodies. Answers that are
    certainly not that of the present request are left out.
    """

    def __init__(
        self, stream: httpcore.AsyncNetworkStream, address: str, meter: ConnectionMeter
    ) -> None:
        self._stream = stream
        self._address = address
        self._meter = meter
        self.head = HeadLines()
        # Bytes that were read, and the index of the first one to hand over.
        self._data = b""
        self._start = 0
        self._n_handed_over = 0
        # Time at which bytes were handed over, until the event loop has had a turn.
        self._handed_over_at: float | None = None
        self._is_retired = False
        self._answer: AnswerReader | None = None
        self._is_new = True

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return bytes that can be parsed in one turn of the event loop."""
        while True:
            part = await self._read_part(max_bytes, timeout)
            if self._answer is None:
                return part
            if not part:
                self._answer.end()
                return part
            own, behind = self._answer.feed(part)
            if behind:
                # Unread, they keep the connection from being used again.
                self._data = behind + self._data[self._start :]
                self._start = 0
            if own or behind:
                return own

    async def _read_part(self, max_bytes: int, timeout: float | None) -> bytes:
        self._report_held()
        if self._start < len(self._data):
            await asyncio.sleep(0)
        else:
            self._data = await self._stream.read(_READ_BYTES, timeout)
            self._start = 0
        end = turn_end(self._data, self._start, max_bytes)
        part = self._data[self._start : end]
        self._start = end
        if end == len(self._data):
            self._data, self._start = b"", 0
        is_skipping = self._answer is not None and self._answer.is_skipping
        if not is_skipping and self.head.is_too_long(part):
            self._meter.emit(HeadTooLong(self._address))
            raise _TooManyLines("head with too many lines")
        self._n_handed_over = len(part)
        self._handed_over_at = time.monotonic()
        asyncio.get_running_loop().call_soon(self._turn_ended)
        return part

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send bytes of a request."""
        if not self.head.is_open:
            awaited = _awaited_answer.get()
            self._answer = None
            if awaited is not None:
                self._answer = AnswerReader(awaited, self._is_new)
            self._is_new = False
        self.head.begin()
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Return the connection with TLS."""
        secured = await self._stream.start_tls(ssl_context, server_hostname, timeout)
        return MeteredStream(secured, self._address, self._meter)

    def get_extra_info(self, info: str) -> Any:
        """Return a property of the connection."""
        # A connection that is readable while it is idle is not used again.
        if info == "is_readable" and (self._is_retired or self.has_surplus_bytes):
            return True
        return self._stream.get_extra_info(info)

    @property
    def has_surplus_bytes(self) -> bool:
        """Whether bytes were read that belong to no answer that was awaited."""
        has_passed_on = self._answer is not None and self._answer.may_have_more
        return self._start < len(self._data) or has_passed_on

    @property
    def n_surplus(self) -> int:
        """Number of answers that were skipped before that to the present request."""
        return 0 if self._answer is None else self._answer.n_surplus

    def retire(self) -> None:
        """Close the connection once the present exchange has ended."""
        self._is_retired = True

    def body(
        self, stream: httpx.AsyncByteStream, bounds: BodyBounds | None
    ) -> httpx.AsyncByteStream:
        """Return the body of the answer whose head was read, with its bounds."""
        self.head.end()
        if self.n_surplus:
            self._meter.emit(SurplusAnswers(self._address, self.n_surplus))
            self.retire()
        return _MeteredBody(stream, self._address, self._meter, bounds)

    def _turn_ended(self) -> None:
        self._handed_over_at = None

    def _report_held(self) -> None:
        """Emit an event if no turn has ended since the last read, long ago."""
        if self._handed_over_at is None:
            return
        held_s = time.monotonic() - self._handed_over_at
        if held_s >= _MIN_HELD_S:
            self._meter.emit(LoopHeld(self._address, self._n_handed_over, held_s))


class _MeteredBody(httpx.AsyncByteStream):
    """A body that is paced, and broken off once it is fragmented beyond use."""

    def __init__(
        self,
        stream: httpx.AsyncByteStream,
        address: str,
        meter: ConnectionMeter,
        bounds: BodyBounds | None,
    ) -> None:
        self._stream = stream
        self._address = address
        self._meter = meter
        self._bounds = bounds
        self._n_held = 0

    async def __aiter__(self) -> AsyncIterator[bytes]:
        loop = asyncio.get_running_loop()
        chunks, quota = BodyChunks(), ChunkQuota(loop.time())
        async for chunk in self._stream:
            chunks.record(len(chunk))
            self._hold(len(chunk))
            if chunks.n_chunks % _CHECK_CHUNKS == 0:
                self._raise_if_fragmented(chunks)
                now = loop.time()
                excess = quota.excess(_CHECK_CHUNKS, now)
                if excess:
                    await asyncio.sleep(self._meter.pace.delay_s(excess, now))
            yield chunk

    async def aclose(self) -> None:
        if self._bounds is not None:
            self._bounds.budget.release(self._n_held)
            self._n_held = 0
        await _close(self._stream.aclose())

    def _hold(self, n_bytes: int) -> None:
        """Reserve memory for a part of a body that is kept until it is whole."""
        bounds = self._bounds
        if bounds is None:
            return
        n_held = self._n_held + n_bytes
        if n_held > bounds.max_bytes:
            detail = f"over {bounds.max_bytes} bytes"
        elif not bounds.budget.reserve(n_bytes):
            detail = "buffers are full"
        else:
            self._n_held = n_held
            return
        self._meter.emit(BodyTooLarge(self._address, n_held, detail))
        raise OversizedBody(detail)

    def _raise_if_fragmented(self, chunks: BodyChunks) -> None:
        if not chunks.is_fragmented:
            return
        self._meter.emit(BodyFragmented(self._address, chunks.n_chunks, chunks.n_bytes))
        raise FragmentedBody(f"{chunks.n_bytes} bytes in {chunks.n_chunks} chunks")


class _MeteredBackend(httpcore.AsyncNetworkBackend):
    """Opens metered connections."""

    def __init__(self, meter: ConnectionMeter) -> None:
        self._backend = httpcore.AnyIOBackend()
        self._meter = meter

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: _SocketOptions = None,
    ) -> httpcore.AsyncNetworkStream:
        stream = await self._backend.connect_tcp(
            host, port, timeout, local_address, socket_options
        )
        return MeteredStream(stream, f"{host}:{port}", self._meter)

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)


class _ConnectionPool(httpcore.AsyncConnectionPool):
    """Connection pool that closes the connections of cancelled requests.

    The library keeps a connection that was assigned to a request just before it was
    cancelled. Nobody uses or closes it, and its place in the pool is lost.
    """

    def _assign_requests_to_connections(
        self,
    ) -> list[httpcore.AsyncConnectionInterface]:
        # A request is listed until its answer is closed.
        used = {id(request.connection) for request in self._requests}
        abandoned = [
            each
            for each in self._connections
            if id(each) not in used and not (each.is_idle() or each.is_closed())
        ]
        for each in abandoned:
            self._connections.remove(each)
        return [*abandoned, *super()._assign_requests_to_connections()]


class MeteredTransport(httpx.AsyncHTTPTransport):
    """Connection pool without retries, redirects or proxies.

    Parameters
    ----------
    limits : httpx.Limits
        Numbers of connections, and the time that idle ones are kept.
    bounds : BodyBounds or None
        Bounds on the bodies of all answers but those with `STREAMED_BODY`. None if the
        users of the transport bound what they read.
    """

    def __init__(
        self,
        verify: ssl.SSLContext,
        limits: httpx.Limits,
        meter: ConnectionMeter,
        socket_options: _SocketOptions = None,
        bounds: BodyBounds | None = None,
    ) -> None:
        self._meter = meter
        self._bounds = bounds
        super().__init__(verify=verify, trust_env=False, limits=limits)
        # httpx has no option for the network backend of its pool.
        self._pool = _ConnectionPool(
            ssl_context=verify,
            max_connections=limits.max_connections,
            max_keepalive_connections=limits.max_keepalive_connections,
            keepalive_expiry=limits.keepalive_expiry,
            network_backend=_MeteredBackend(meter),
            socket_options=socket_options,
        )

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request and wait for the head of its answer.

        With the extension `AWAITED_ANSWER`, surplus answers before it are skipped.
        Raises `SurplusUnreadable` if one was cut off.
        """
        bounds = None if request.extensions.get(STREAMED_BODY) else self._bounds
        if bounds is not None:
            request.headers["accept-encoding"] = "identity"
        token = _awaited_answer.set(request.extensions.get(AWAITED_ANSWER))
        try:
            response = await super().handle_async_request(request)
        except httpx.RemoteProtocolError as error:
            if _is_long_head(error):
                raise LongHead(str(error)) from error
            raise
        finally:
            _awaited_answer.reset(token)
        if _is_joined(response):
            await _close(response.aclose())
            raise SurplusUnreadable("second status line in the head")
        if bounds is not None and "content-encoding" in response.headers:
            # A small encoded body may hold any number of bytes.
            await _close(response.aclose())
            address = request.url.netloc.decode("ascii", "replace")
            self._meter.emit(BodyTooLarge(address, 0, "encoded"))
            raise OversizedBody("encoded")
        connection = response.extensions["network_stream"]
        assert isinstance(response.stream, httpx.AsyncByteStream)
        if isinstance(connection, MeteredStream):
            response.stream = connection.body(response.stream, bounds)
        return response


# Answers that are being closed.
_closing: set[asyncio.Future[None]] = set()


async def _close(closing: Coroutine[Any, Any, None]) -> None:
    """Close an answer, also if the caller is cancelled meanwhile.

    The library would count its connection as used for good.
    """
    task = asyncio.ensure_future(closing)
    _closing.add(task)
    task.add_done_callback(_closing.discard)
    await asyncio.shield(task)


def _is_joined(response: httpx.Response) -> bool:
    """Return whether a head is that of two answers."""
    reason: bytes = response.extensions.get("reason_phrase", b"")
    values = (value for _, value in response.headers.raw)
    return any(has_second_status_line(b" " + each) for each in (reason, *values))


def _is_long_head(error: httpx.RemoteProtocolError) -> bool:
    """Return whether an answer was broken off over its head, by its lines or bytes."""
    cause = error.__cause__
    if cause is None or isinstance(cause, _TooManyLines):
        return cause is not None
    # The parser states the status with which a server would refuse such a request. The
    # pool raises its error again without a cause.
    status = getattr(cause.__context__, "error_status_hint", None)
    return status == HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
