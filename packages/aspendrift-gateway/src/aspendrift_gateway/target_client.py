"""Sends requests to targets and returns their answers as typed outcomes.

Whether a request may have run decides whether it may be retried, so each failure
tells whether any byte may have reached the target.
"""

from __future__ import annotations

import asyncio
import weakref
from collections.abc import AsyncIterator, Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, Final, TypeAlias

import httpx

from aspendrift_daemon.metered_transport import (
    AWAITED_ANSWER,
    ConnectionMeter,
    FragmentedBody,
    LongHead,
    MeteredStream,
)
from aspendrift_daemon.surplus_answers import (
    SurplusUnreadable,
    holds_surplus_answer,
)
from aspendrift_gateway.interfaces import (
    AnswerHead,
    HttpCall,
    LinkObserver,
    TargetCodec,
)
from aspendrift_gateway.transports import plain_transport
from aspendrift_model.ids import AttemptId, TargetId
from aspendrift_model.opaque_requests import Headers
from aspendrift_model.target_entries import TargetEntry, TargetKey
from aspendrift_policy.buffer_budget import BufferBudget

__all__ = [
    "Answer",
    "AnswerTooLarge",
    "Broken",
    "CompleteAnswer",
    "NotSent",
    "SendResult",
    "TargetClient",
    "is_foreign",
]

# Connecting takes a few milliseconds; a lost SYN is retransmitted after 1 s, which
# takes longer than an attempt at another target.
_CONNECT_TIMEOUT_S: Final = 0.5
# Idle connections are not reused after this time. It is well below the targets' own
# idle timeouts, so that few requests hit a connection that the target is closing.
_IDLE_TIMEOUT_S: Final = 4.0
# Time for exchanges that are open when a target is evicted; longer than the timeout
# of any known caller.
_LINGER_S: Final = 30.0
# After a target sent a surplus answer on a connection, each request to it uses a new
# connection for this long.
_NO_REUSE_S: Final = 10.0
_CONTENT_TYPE: Final = b"content-type"
_LENGTH: Final = b"content-length"
_FRAMING_HEADERS: Final = frozenset({_LENGTH, b"transfer-encoding"})
# Bytes of one answer that is read as a whole, and by default of all of them that are
# being read.
_MAX_BODY_BYTES: Final = 16 * 1024 * 1024
# A longer body of a known length is not kept as a whole.
_LARGE_BYTES: Final = 128 * 1024
_MAX_BUFFERED_BYTES: Final = 64 * 1024 * 1024
_NOT_SENT: Final = (httpx.ConnectError, httpx.ConnectTimeout)
_STATUSES_WITHOUT_BODY: Final = frozenset({204, 304})
_HEAD: Final = "HEAD"


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte reached the target."""

    detail: str


@dataclass(frozen=True, slots=True)
class Broken:
    """The connection broke or the answer is invalid; the request may have run.

    ``may_have_crashed`` is False for a target that sent an answer that can't be read.
    """

    detail: str
    may_have_crashed: bool = True


def is_foreign(head: AnswerHead, attempt_id: AttemptId) -> bool:
    """Return whether an answer belongs to another request.

    A target repeats the id in every answer that it signs, so a signed one without it is
    an extra answer left on the connection.
    """
    if head.attempt_id is None:
        return head.is_signed
    return head.attempt_id != attempt_id


class AnswerTooLarge(Exception):
    """A target sent more than this process reads or keeps of an answer."""


class _Buffers:
    """Counts the bytes of the answers that are being read as a whole."""

    def __init__(self, budget: BufferBudget | None = None) -> None:
        self._budget = budget or BufferBudget(_MAX_BUFFERED_BYTES)

    def hold(self, n_bytes: int) -> bool:
        """Reserve the bytes of an answer; return False if there is no room."""
        return self._budget.reserve(n_bytes)

    def release(self, n_bytes: int) -> None:
        """Release the bytes of an answer that were reserved."""
        self._budget.release(n_bytes)

    async def read(self, chunks: AsyncIterator[bytes]) -> bytes:
        """Return all bytes; raises `AnswerTooLarge` if they are too many."""
        body = bytearray()
        try:
            async for chunk in chunks:
                if not self._budget.reserve(len(chunk)):
                    raise AnswerTooLarge("buffers of answers are full")
                body += chunk
                if len(body) > _MAX_BODY_BYTES:
                    raise AnswerTooLarge(f"over {_MAX_BODY_BYTES} bytes")
        finally:
            self._budget.release(len(body))
        return bytes(body)


@dataclass(slots=True)
class Answer:
    """The head of an answer whose body is not read yet."""

    status: int
    headers: Headers
    head: AnswerHead
    response: httpx.Response
    method: str = "POST"
    buffers: _Buffers = field(default_factory=_Buffers)
    # Whether the connection had no answer before.
    is_first: bool = True
    # Answers to other requests that were skipped before this one.
    n_surplus: int = 0
    connection: MeteredStream | None = None
    # Bytes that are reserved for the body.
    n_held: int = 0

    @property
    def is_doubtful_refusal(self) -> bool:
        """Whether this may be a copy of an earlier refusal on the connection.

        A refusal that doesn't name its request belongs to the only request that a new
        connection has had, but on a kept one it may be a surplus answer.
        """
        is_certain = self.is_first and not self.n_surplus
        return self.head.has_not_run and self.head.attempt_id is None and not is_certain

    @property
    def is_delimited(self) -> bool:
        """Whether the end of the body can be told from the end of the connection."""
        if self.method == _HEAD or self.status in _STATUSES_WITHOUT_BODY:
            return True
        return any(name.lower() in _FRAMING_HEADERS for name, _ in self.headers)

    @property
    def is_without_body(self) -> bool:
        """Whether the head says that there is no body."""
        return (
            self.status in _STATUSES_WITHOUT_BODY
            or self._header(_LENGTH).strip() == b"0"
        )

    @property
    def media_type(self) -> bytes:
        """Media type of the body, without its parameters; empty if unknown."""
        return self._header(_CONTENT_TYPE).partition(b";")[0].strip().lower()

    def _header(self, wanted: bytes) -> bytes:
        for name, value in self.headers:
            if name.lower() == wanted:
                return value
        return b""

    @property
    def announced_bytes(self) -> int | None:
        """Length of the body that the head states; None without one, or a body."""
        value = self._header(_LENGTH).strip()
        if self.method == _HEAD or self.is_without_body or not value.isdigit():
            return None
        return int(value)

    @property
    def is_large(self) -> bool:
        """Whether the body may be forwarded as it arrives, its length being known."""
        announced = self.announced_bytes
        return announced is not None and _LARGE_BYTES < announced <= _MAX_BODY_BYTES

    def hold(self) -> bool:
        """Reserve memory for a large body until the exchange ends; False without room.

        Otherwise the memory counts only until the body was read.
        """
        if not self.n_held and self.buffers.hold(self.announced_bytes or 0):
            self.n_held = self.announced_bytes or 0
        return self.n_held > 0

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises ``httpx.HTTPError`` if it breaks off, `AnswerTooLarge` if it comes in too
        many small chunks.
        """
        stream = self.response.stream
        assert isinstance(stream, httpx.AsyncByteStream)
        try:
            async for chunk in stream:
                yield chunk
        except FragmentedBody as error:
            raise AnswerTooLarge(str(error)) from error

    async def body(self) -> bytes:
        """Return the whole body; raises `AnswerTooLarge` or ``httpx.HTTPError``."""
        if self.n_held:
            return b"".join([chunk async for chunk in self.chunks()])
        return await self.buffers.read(self.chunks())

    def retire_connection(self) -> None:
        """Use the connection for no other exchange."""
        if self.connection is not None:
            self.connection.retire()

    @property
    def has_surplus(self) -> bool:
        """Whether the target sent more on the connection than answers to requests."""
        has_more = self.connection is not None and self.connection.has_surplus_bytes
        return self.n_surplus > 0 or has_more

    async def close(self) -> None:
        """End the exchange; an incomplete answer closes the connection."""
        self.buffers.release(self.n_held)
        self.n_held = 0
        await self.response.aclose()


@dataclass(frozen=True, slots=True)
class CompleteAnswer:
    """An answer with its complete body."""

    status: int
    headers: Headers
    head: AnswerHead
    body: bytes


SendResult: TypeAlias = Answer | NotSent | Broken


@dataclass(slots=True)
class _Connections:
    transport: httpx.AsyncHTTPTransport
    no_reuse_until: float = float("-inf")


class TargetClient:
    """Connection pools to targets, with a limit per target.

    Parameters
    ----------
    codec : TargetCodec
        Decodes the heads of answers.
    on_leaving : callable
        Called with each target that says in an answer that it leaves.
    links : LinkObserver or None
        Told of all exchanges; while it says that the links are lost, nothing is sent.
    on_unreadable : callable or None
        Called with a target, the headers of its answer that could not be decoded, and
        the time.
    meter : ConnectionMeter or None
        What all connections of the process share.
    """

    def __init__(
        self,
        codec: TargetCodec,
        on_leaving: Callable[[TargetKey], None],
        links: LinkObserver | None = None,
        on_unreadable: Callable[[TargetId, str, float], None] | None = None,
        buffers: BufferBudget | None = None,
        meter: ConnectionMeter | None = None,
    ) -> None:
        self._meter = meter or ConnectionMeter()
        self._on_unreadable = on_unreadable
        self.links = links
        # Told the target, status and head of each answer.
        self.on_head: Callable[[TargetKey, int, AnswerHead], None] | None = None
        self.codec = codec
        self._on_leaving = on_leaving
        self._by_id: dict[TargetId, tuple[str, _Connections]] = {}
        self._closing: set[asyncio.Task[None]] = set()
        # Connections that have had an answer.
        self._used_streams: weakref.WeakSet[Any] = weakref.WeakSet()
        self._buffers = _Buffers(buffers)
        self.connections_per_target = 16

    async def close(self) -> None:
        """Close every connection."""
        for _, connections in self._by_id.values():
            await connections.transport.aclose()

    def evict(self, target_id: TargetId) -> None:
        """Stop using the connections of a target; open exchanges continue.

        A target that left the list may still serve its open requests for many seconds.
        """
        found = self._by_id.pop(target_id, None)
        if found is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(_LINGER_S, self._close_evicted, found[1])

    def _close_evicted(self, connections: _Connections) -> None:
        task = asyncio.create_task(connections.transport.aclose())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    def disable_reuse(self, target_id: TargetId, now: float) -> None:
        """Use a new connection for each request to a target for some time."""
        found = self._by_id.get(target_id)
        if found is not None:
            found[1].no_reuse_until = now + _NO_REUSE_S

    async def send(
        self, entry: TargetEntry, call: HttpCall, headers: Headers, now: float
    ) -> SendResult:
        """Send a request and wait for the head of its answer."""
        links = self.links
        if links is not None and links.is_lost:
            return NotSent("links to targets lost")
        connections = self._connections(entry)
        request = self._request(entry, call, headers, connections.no_reuse_until > now)
        if links is not None:
            links.sent()
        try:
            response = await connections.transport.handle_async_request(request)
        except httpx.PoolTimeout as error:
            return NotSent(type(error).__name__)
        except (httpx.HTTPError, OSError) as error:
            return self._failure(error)
        if links is not None:
            links.received()
        return self._answer(entry, call, response, now)

    def _answer(
        self, entry: TargetEntry, call: HttpCall, response: httpx.Response, now: float
    ) -> Answer:
        """Decode the head of an answer and report what it tells of its target."""
        answer_headers = tuple(response.headers.raw)
        head = self.codec.answer_head(response.status_code, answer_headers)
        if head.is_leaving:
            self._on_leaving(entry.key)
        if head.unreadable and self._on_unreadable is not None:
            self._on_unreadable(entry.key.target_id, head.unreadable, now)
        if self.on_head is not None:
            self.on_head(entry.key, response.status_code, head)
        stream = response.extensions.get("network_stream")
        connection = stream if isinstance(stream, MeteredStream) else None
        return Answer(
            response.status_code,
            answer_headers,
            head,
            response,
            call.method,
            self._buffers,
            self._is_first_answer(response),
            0 if connection is None else connection.n_surplus,
            connection,
        )

    def holds_surplus(self, body: bytes, attempt_id: AttemptId) -> bool:
        """Return whether another answer follows one that ends with its connection."""
        return holds_surplus_answer(body, _AwaitedAnswer(self.codec, attempt_id))

    def _request(
        self, entry: TargetEntry, call: HttpCall, headers: Headers, closes: bool
    ) -> httpx.Request:
        """Return a request; ``closes`` if its connection is not used again."""
        # The end of a copy of an answer to HEAD can't be told from its head.
        is_head = call.method == _HEAD
        request = _request(entry, call, headers, closes or is_head)
        if call.attempt_id is not None and not is_head:
            awaited = _AwaitedAnswer(self.codec, call.attempt_id)
            request.extensions[AWAITED_ANSWER] = awaited
        return request

    def _failure(self, error: Exception) -> NotSent | Broken:
        """Return what an exchange without the head of an answer tells."""
        if isinstance(error, LongHead | SurplusUnreadable):
            if self.links is not None:
                self.links.received()
            return Broken(str(error), may_have_crashed=False)
        if self.links is not None:
            self.links.failed()
        detail = type(error).__name__
        return NotSent(detail) if isinstance(error, _NOT_SENT) else Broken(detail)

    def _is_first_answer(self, response: httpx.Response) -> bool:
        """Return whether a response is the first one on its connection."""
        stream = response.extensions.get("network_stream")
        if stream is None:
            return True
        if stream in self._used_streams:
            return False
        self._used_streams.add(stream)
        return True

    async def accepts_connections(self, entry: TargetEntry) -> bool:
        """Return whether a target accepts a new connection, which is closed at once.

        Tells a target that ended an answer by closing its connection from one that
        crashed: the sockets of a process that ends are closed with those it listens on.
        """
        host, _, port = entry.address.rpartition(":")
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        writer.close()
        return True

    async def send_and_read(
        self,
        entry: TargetEntry,
        call: HttpCall,
        headers: Headers,
        now: float,
        is_sound: Callable[[CompleteAnswer], bool] = lambda answer: True,
    ) -> CompleteAnswer | NotSent | Broken:
        """Send a request and wait for its complete answer.

        Parameters
        ----------
        is_sound : callable
            Returns whether an answer is certainly that of this request; the connection
            is not used again otherwise, since the true answer may still come on it.
        """
        answer = await self.send(entry, call, headers, now)
        if not isinstance(answer, Answer):
            return answer
        try:
            # Unread, a refusal closes its connection: what the target may still write
            # there is no answer to a later call.
            body = b"" if answer.head.has_not_run else await answer.body()
            found = CompleteAnswer(answer.status, answer.headers, answer.head, body)
            if not is_sound(found):
                answer.retire_connection()
        except AnswerTooLarge as error:
            return Broken(str(error))
        except (httpx.HTTPError, OSError) as error:
            return Broken(type(error).__name__)
        finally:
            await answer.close()
        return found

    def _connections(self, entry: TargetEntry) -> _Connections:
        target_id = entry.key.target_id
        known = self._by_id.get(target_id)
        if known is not None and known[0] == entry.address:
            return known[1]
        if known is not None:
            self.evict(target_id)
        transport = plain_transport(
            self.connections_per_target, _IDLE_TIMEOUT_S, self._meter
        )
        connections = _Connections(transport)
        self._by_id[target_id] = (entry.address, connections)
        return connections


class _AwaitedAnswer:
    """Tells the answer to one request from surplus answers on its connection."""

    def __init__(self, codec: TargetCodec, attempt_id: AttemptId) -> None:
        self._codec = codec
        self._attempt_id = attempt_id
        self._encoded_id = attempt_id.encode("latin-1")

    def is_named_in(self, head: bytes) -> bool:
        """Return whether an encoded head contains the id of the request."""
        return self._encoded_id in head

    def is_surplus(self, status: int, headers: Iterable[tuple[bytes, bytes]]) -> bool:
        """Return whether an answer names another request, or must name one."""
        head = self._codec.answer_head(status, tuple(headers))
        return is_foreign(head, self._attempt_id)


def _request(
    entry: TargetEntry, call: HttpCall, headers: Headers, closes: bool
) -> httpx.Request:
    """Return a request; ``closes`` if its connection is not used again."""
    sent_headers = list(headers)
    if not any(name == b"host" for name, _ in headers):
        sent_headers.append((b"host", entry.address.encode()))
    if call.body and not any(name == b"content-length" for name, _ in headers):
        sent_headers.append((b"content-length", str(len(call.body)).encode()))
    if closes:
        sent_headers.append((b"connection", b"close"))
    return httpx.Request(
        call.method,
        f"http://{entry.address}/",
        headers=sent_headers,
        stream=_Body(call.body),
        extensions={
            "target": call.target_path.encode("latin-1"),
            "timeout": {"connect": _CONNECT_TIMEOUT_S, "pool": _CONNECT_TIMEOUT_S},
        },
    )


class _Body(httpx.AsyncByteStream):
    """A request body held in memory."""

    def __init__(self, content: bytes) -> None:
        self._content = content

    async def __aiter__(self) -> AsyncIterator[bytes]:
        if self._content:
            yield self._content
