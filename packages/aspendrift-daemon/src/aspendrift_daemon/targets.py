"""HTTP client for targets: sends attempts and classifies their failures."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import aclosing
from dataclasses import dataclass
from typing import Final, TypeAlias
from urllib.parse import quote

import httpx
import msgspec

from aspendrift_daemon.interfaces import Clock
from aspendrift_daemon.metered_transport import (
    STREAMED_BODY,
    BodyBounds,
    ConnectionMeter,
    MeteredTransport,
    OversizedBody,
)
from aspendrift_model.decode_errors import DECODE_ERRORS
from aspendrift_model.ids import AttemptId, TargetId
from aspendrift_model.settings_requests import RequestSettings
from aspendrift_model.targets import Target
from aspendrift_model.wire_target import (
    GeneratedEnd,
    GeneratedEvent,
    GeneratedToken,
    StageAnswer,
    StageCall,
    StageRejection,
)
from aspendrift_policy.buffer_budget import BufferBudget

__all__ = [
    "AttemptFailure",
    "Broken",
    "ForeignAnswer",
    "NotSent",
    "Rejected",
    "StageAnswered",
    "StreamItem",
    "TargetClient",
    "TimedOut",
]

_JSON: Final = {"content-type": "application/json"}
_KEEPALIVE_EXPIRY_S: Final = 2.0
_CANCEL_TIMEOUT_S: Final = 1.0
_PROBE_TIMEOUT_S: Final = 0.25
_PROBE_INTERVAL_S: Final = 0.02
_MAX_PROBES: Final = 5
_BODY_END_TIMEOUT_S: Final = 0.02
# Bytes of one answer that is read as a whole, of all that are being read, and of one
# line of a stream.
_MAX_ANSWER_BYTES: Final = 16 * 1024 * 1024
_MAX_READ_BYTES: Final = 64 * 1024 * 1024
_MAX_LINE_BYTES: Final = 1024 * 1024
_REJECTION_STATUSES: Final = frozenset({*range(400, 500), 503})
_CONNECT_ERRORS: Final = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
_EVENT_DECODER: Final = msgspec.json.Decoder(GeneratedEvent)


@dataclass(frozen=True, slots=True)
class StageAnswered:
    """The target answered this attempt."""

    output: bytes
    busy_ms: float


@dataclass(frozen=True, slots=True)
class NotSent:
    """No connection was established: no byte reached the target."""

    detail: str


@dataclass(frozen=True, slots=True)
class Rejected:
    """The target refused this attempt before doing any work."""

    detail: str


@dataclass(frozen=True, slots=True)
class Broken:
    """The exchange failed after a byte may have reached the target.

    ``crashed`` means that the target then refused a new connection.
    """

    detail: str
    crashed: bool = False


@dataclass(frozen=True, slots=True)
class TimedOut:
    """No complete answer before the timeout."""


@dataclass(frozen=True, slots=True)
class ForeignAnswer:
    """The target answered under the id of another attempt."""

    attempt_id: AttemptId


AttemptFailure: TypeAlias = NotSent | Rejected | Broken | TimedOut | ForeignAnswer
StreamItem: TypeAlias = GeneratedToken | GeneratedEnd | AttemptFailure


class TargetClient:
    """Sends attempts to targets.

    Parameters
    ----------
    settings : RequestSettings
        Time limits of connections and streams.
    clock : Clock
        Clock of the process.
    transport : httpx.AsyncBaseTransport or None
        Used instead of the network.
    meter : ConnectionMeter or None
        What all connections of the process share.
    """

    def __init__(
        self,
        settings: RequestSettings,
        clock: Clock,
        transport: httpx.AsyncBaseTransport | None = None,
        meter: ConnectionMeter | None = None,
    ) -> None:
        self._meter = meter or ConnectionMeter()
        self._settings = settings
        self._clock = clock
        self._transport = transport
        self._tls = ssl.create_default_context()
        self._bounds = BodyBounds(_MAX_ANSWER_BYTES, BufferBudget(_MAX_READ_BYTES))
        self._clients_by_id: dict[TargetId, httpx.AsyncClient] = {}

    async def call(
        self, target: Target, call: StageCall, timeout_s: float
    ) -> StageAnswered | AttemptFailure:
        """Run a stage on a pool or a service."""
        client = self._client(target)
        body = msgspec.json.encode(call)
        try:
            async with asyncio.timeout(timeout_s):
                response = await client.post("/v1/stage", content=body, headers=_JSON)
        except TimeoutError:
            return TimedOut()
        except httpx.HTTPError as error:
            return await self._transport_failure(target, error)
        return _stage_result(call, response)

    async def generate(
        self, target: Target, call: StageCall, timeout_s: float
    ) -> AsyncGenerator[StreamItem, None]:
        """Generate on an engine; the last item is an end or a failure."""
        body = msgspec.json.encode(call)
        stream = self._stream(target, call, "/v1/generate", body, 0, timeout_s)
        async with aclosing(stream):
            async for item in stream:
                yield item

    async def resume(
        self, target: Target, call: StageCall, after: int, timeout_s: float
    ) -> AsyncGenerator[StreamItem, None]:
        """Resume the stream of an attempt after a token number."""
        path = f"/v1/attempts/{quote(call.attempt_id, safe='')}/resume"
        stream = self._stream(target, call, path, b"", after, timeout_s)
        async with aclosing(stream):
            async for item in stream:
                yield _crash_if_refused(item) if isinstance(item, NotSent) else item

    async def cancel(self, target: Target, attempt_id: AttemptId) -> bool:
        """Cancel an attempt; False if the target did not confirm it."""
        path = f"/v1/attempts/{quote(attempt_id, safe='')}"
        try:
            response = await self._client(target).delete(
                path, timeout=_CANCEL_TIMEOUT_S
            )
        except httpx.HTTPError:
            return False
        return response.is_success

    async def is_down(self, target: Target) -> bool:
        """Whether the target refuses connections, called after one broke.

        A process that exits closes its connections one after the other, so a
        connection that is accepted and then breaks is inconclusive: probe again.
        """
        for _ in range(_MAX_PROBES):
            try:
                await self._client(target).get("/v1/load", timeout=_PROBE_TIMEOUT_S)
            except httpx.ConnectError:
                return True
            except (httpx.NetworkError, httpx.RemoteProtocolError):
                await asyncio.sleep(_PROBE_INTERVAL_S)
            except httpx.HTTPError:
                return False
            else:
                return False
        return True

    async def close(self) -> None:
        """Close all connections."""
        clients = list(self._clients_by_id.values())
        self._clients_by_id.clear()
        for client in clients:
            await client.aclose()

    async def remove(self, target_id: TargetId) -> None:
        """Close the connections to a removed target."""
        client = self._clients_by_id.pop(target_id, None)
        if client is not None:
            await client.aclose()

    def _client(self, target: Target) -> httpx.AsyncClient:
        client = self._clients_by_id.get(target.target_id)
        if client is None or str(client.base_url).rstrip("/") != target.url.rstrip("/"):
            client = self._new_client(target)
            self._clients_by_id[target.target_id] = client
        return client

    def _new_client(self, target: Target) -> httpx.AsyncClient:
        settings = self._settings
        timeout = httpx.Timeout(None, connect=settings.connect_timeout_ms / 1000)
        limits = httpx.Limits(
            max_connections=None,
            max_keepalive_connections=target.slots,
            keepalive_expiry=_KEEPALIVE_EXPIRY_S,
        )
        return httpx.AsyncClient(
            base_url=target.url,
            timeout=timeout,
            transport=self._transport
            or MeteredTransport(self._tls, limits, self._meter, bounds=self._bounds),
            trust_env=False,
        )

    async def _transport_failure(
        self, target: Target, error: httpx.HTTPError
    ) -> AttemptFailure:
        detail = type(error).__name__
        if isinstance(error, _CONNECT_ERRORS):
            return NotSent(detail)
        if isinstance(error, OversizedBody):
            return Broken(detail)
        return Broken(detail, await self.is_down(target))

    async def _stream(
        self,
        target: Target,
        call: StageCall,
        path: str,
        body: bytes,
        after: int,
        timeout_s: float,
    ) -> AsyncGenerator[StreamItem, None]:
        ends_at = self._clock.monotonic() + timeout_s
        params = {"after": str(after)} if not body else None
        try:
            async with asyncio.timeout(timeout_s):
                request = self._client(target).build_request(
                    "POST",
                    path,
                    content=body,
                    headers=_JSON,
                    params=params,
                    extensions={STREAMED_BODY: True},
                )
                response = await self._client(target).send(request, stream=True)
        except TimeoutError:
            yield TimedOut()
            return
        except httpx.HTTPError as error:
            yield await self._transport_failure(target, error)
            return
        lines = _lines(response)
        ended = False
        try:
            async for item in self._items(target, call, response, lines, ends_at):
                ended = isinstance(item, GeneratedEnd)
                yield item
        finally:
            if ended:
                await _drain_body(lines)
            await response.aclose()

    async def _items(
        self,
        target: Target,
        call: StageCall,
        response: httpx.Response,
        lines: AsyncIterator[bytes],
        ends_at: float,
    ) -> AsyncGenerator[StreamItem, None]:
        if response.status_code != 200:
            yield await self._refused_stream(call, response, ends_at)
            return
        while True:
            item = await self._next_item(target, lines, ends_at)
            yield item
            if not isinstance(item, GeneratedToken):
                return

    async def _refused_stream(
        self, call: StageCall, response: httpx.Response, ends_at: float
    ) -> AttemptFailure:
        try:
            async with asyncio.timeout(ends_at - self._clock.monotonic()):
                content = await _bounded_body(response)
        except (TimeoutError, httpx.HTTPError):
            return Broken(f"status {response.status_code}")
        return _rejection(call, response.status_code, content)

    async def _next_item(
        self, target: Target, lines: AsyncIterator[bytes], ends_at: float
    ) -> StreamItem:
        remaining_s = ends_at - self._clock.monotonic()
        stall_s = self._settings.token_stall_ms / 1000
        try:
            async with asyncio.timeout(min(stall_s, remaining_s)):
                line = await anext(lines, None)
        except TimeoutError:
            is_deadline_first = remaining_s <= stall_s
            return TimedOut() if is_deadline_first else Broken("the stream stalled")
        except httpx.HTTPError as error:
            return await self._transport_failure(target, error)
        if line is None:
            down = await self.is_down(target)
            return Broken("the stream closed without an end event", down)
        try:
            return _EVENT_DECODER.decode(line)
        except DECODE_ERRORS:
            return Broken("an event could not be decoded")


def _crash_if_refused(failure: NotSent) -> AttemptFailure:
    """Turn a refused connection after a broken stream into a crash."""
    if failure.detail == httpx.ConnectError.__name__:
        return Broken(failure.detail, crashed=True)
    return failure


async def _lines(response: httpx.Response) -> AsyncIterator[bytes]:
    """Yield the lines of a body; raises `OversizedBody` at a long one."""
    rest = b""
    async for chunk in response.aiter_raw():
        *lines, rest_of_chunk = chunk.split(b"\n")
        for line in lines:
            yield rest + line
            rest = b""
        rest += rest_of_chunk
        if len(rest) > _MAX_LINE_BYTES:
            raise OversizedBody(f"line over {_MAX_LINE_BYTES} bytes")
    if rest:
        yield rest


async def _bounded_body(response: httpx.Response) -> bytes:
    """Return the body of a refusal; raises ``httpx.HTTPError`` if it is too long."""
    if response.is_stream_consumed:
        return response.content
    body = bytearray()
    async for chunk in response.aiter_raw():
        body += chunk
        if len(body) > _MAX_LINE_BYTES:
            raise OversizedBody(f"refusal over {_MAX_LINE_BYTES} bytes")
    return bytes(body)


async def _drain_body(lines: AsyncIterator[bytes]) -> None:
    """Read the body to its end; otherwise the connection can't be reused."""
    try:
        async with asyncio.timeout(_BODY_END_TIMEOUT_S):
            await anext(lines, None)
    except (TimeoutError, httpx.HTTPError):
        return


def _stage_result(
    call: StageCall, response: httpx.Response
) -> StageAnswered | AttemptFailure:
    if response.status_code != 200:
        return _rejection(call, response.status_code, response.content)
    try:
        answer = msgspec.json.decode(response.content, type=StageAnswer)
    except DECODE_ERRORS:
        return Broken("the answer could not be decoded")
    if (answer.request_id, answer.attempt_id) != (call.request_id, call.attempt_id):
        return ForeignAnswer(AttemptId(answer.attempt_id))
    return StageAnswered(bytes(answer.output), answer.busy_ms)


def _rejection(call: StageCall, status: int, content: bytes) -> AttemptFailure:
    """Return `Rejected` for a refusal that echoes the attempt id, else `Broken`.

    Any other error may come from work on a request that reached the target.
    """
    detail = f"status {status}"
    if status not in _REJECTION_STATUSES:
        return Broken(detail)
    try:
        echo = msgspec.json.decode(content, type=StageRejection)
    except DECODE_ERRORS:
        return Broken(detail)
    return Rejected(detail) if echo.attempt_id == call.attempt_id else Broken(detail)
