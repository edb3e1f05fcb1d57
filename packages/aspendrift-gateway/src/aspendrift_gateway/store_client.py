"""The only client of the platform's store, with typed outcomes.

Load it answers: a store that takes as long for an answer as for one that is lost. A
call without an answer is sent again after a while and goes on beside the repeat, so
that a slow store is heard and a lost answer is not waited for.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from typing import Final, TypeAlias

import httpx

from aspendrift_daemon.metered_transport import BodyBounds, ConnectionMeter
from aspendrift_gateway.interfaces import HttpCall, StoreCodec, StoreRows
from aspendrift_gateway.transports import plain_transport
from aspendrift_policy.buffer_budget import BufferBudget

__all__ = [
    "HistoryGone",
    "StoreClient",
    "StoreFailure",
    "Written",
]

# A call usually takes 4 ms, and tens of times as long while the store is slow; beyond
# this time it is sent again.
_PATIENCE_S: Final = 0.8
# Calls of one operation that may be open at the same time.
_MAX_CALLS: Final = 3
_CONNECT_TIMEOUT_S: Final = 0.5
_MAX_CONNECTIONS: Final = 4
# Of the repeats of all operations.
_MAX_REPEAT_CONNECTIONS: Final = 8
# The store answers with 500 rows or 1 MB of values at most, encoded in base64.
_MAX_ANSWER_BYTES: Final = 4 * 1024 * 1024
_MAX_READ_BYTES: Final = 16 * 1024 * 1024
_REJECTIONS: Final = frozenset({429, 503})
_GONE: Final = 410
_OK: Final = 200


@dataclass(frozen=True, slots=True)
class StoreFailure:
    """No usable answer; ``is_unknown`` if a write may have taken effect."""

    detail: str
    is_unknown: bool = False


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """The store no longer holds the changes after the requested version."""


@dataclass(frozen=True, slots=True)
class Written:
    """The write took effect."""


@dataclass(frozen=True, slots=True)
class _Answer:
    """An answer of the era that the store is at."""

    status: int
    body: bytes
    era: int


RowsResult: TypeAlias = StoreRows | HistoryGone | StoreFailure
WriteResult: TypeAlias = Written | StoreFailure


class StoreClient:
    """Calls the store over HTTP.

    Parameters
    ----------
    address : str
        IP address and port of the store.
    codec : StoreCodec
        Encodes calls and decodes answers.
    meter : ConnectionMeter or None
        What all connections of the process share.
    transport : httpx.AsyncBaseTransport or None
        Used instead of the network.
    buffers : BufferBudget or None
        Memory for all answers that are being read.
    """

    def __init__(
        self,
        address: str,
        codec: StoreCodec,
        meter: ConnectionMeter | None = None,
        transport: httpx.AsyncBaseTransport | None = None,
        buffers: BufferBudget | None = None,
    ) -> None:
        self.codec = codec
        self._base = f"http://{address}"
        meter = meter or ConnectionMeter()
        bounds = BodyBounds(_MAX_ANSWER_BYTES, buffers or BufferBudget(_MAX_READ_BYTES))
        self._transport = transport or plain_transport(
            _MAX_CONNECTIONS, None, meter, bounds=bounds
        )
        # Kept connections may have gone silent together.
        self._repeat_transport = transport or plain_transport(
            _MAX_REPEAT_CONNECTIONS, None, meter, is_reused=False, bounds=bounds
        )
        self.n_calls = 0
        self._era = 0

    async def close(self) -> None:
        """Close every connection."""
        await self._transport.aclose()
        await self._repeat_transport.aclose()

    async def read_table(self, table: str) -> RowsResult:
        """Read every row of a table, page by page."""
        found: StoreRows | None = None
        after: str | None = None
        while True:
            page = await self._rows(self.codec.read(table, after), 0.0)
            if not isinstance(page, StoreRows):
                return page
            if found is None:
                found = page
            else:
                # Keep the version of the first page, so that the feed repeats the
                # changes made between the pages.
                if page.era != found.era:
                    return StoreFailure("the era changed between two pages")
                found = replace(found, rows=found.rows + page.rows)
            if not page.is_truncated or not page.rows:
                return replace(found, is_truncated=False)
            after = page.rows[-1].key

    async def read_key(self, table: str, key: str) -> RowsResult:
        """Read one row; the result has no rows if it is absent."""
        return await self._rows(self.codec.read_key(table, key), 0.0)

    async def feed(self, table: str, after: int, wait_s: float) -> RowsResult:
        """Read the changes after a version, waiting up to ``wait_s`` for one."""
        repeat = self.codec.feed(table, after, 0.0)
        return await self._rows(self.codec.feed(table, after, wait_s), wait_s, repeat)

    async def put(self, table: str, key: str, value: bytes) -> WriteResult:
        """Write a row unconditionally; the write is idempotent."""
        return await self._write(self.codec.put(table, key, value))

    async def remove(self, table: str, key: str) -> WriteResult:
        """Remove a row; the removal is idempotent."""
        return await self._write(self.codec.remove(table, key))

    async def _rows(
        self, call: HttpCall, wait_s: float, repeat: HttpCall | None = None
    ) -> RowsResult:
        answer = await self._call(call, wait_s, repeat or call)
        if isinstance(answer, StoreFailure):
            return answer
        if answer.status == _GONE:
            return HistoryGone()
        if answer.status != _OK:
            return StoreFailure(f"status {answer.status}")
        rows = self.codec.rows(answer.body, answer.era)
        return StoreFailure("unreadable answer") if rows is None else rows

    async def _write(self, call: HttpCall) -> WriteResult:
        answer = await self._call(call, 0.0, call)
        if isinstance(answer, StoreFailure):
            return answer
        if answer.status == _OK:
            return Written()
        return StoreFailure(f"status {answer.status}")

    async def _call(
        self, call: HttpCall, wait_s: float, repeat: HttpCall
    ) -> _Answer | StoreFailure:
        """Send a call, and repeats while no answer comes; return the first answer.

        Parameters
        ----------
        wait_s : float
            Time in seconds that the store may wait before it answers the first call.
        """
        open_calls = {self._begin(call, self._transport)}
        failure = StoreFailure("timeout", is_unknown=True)
        try:
            found = await _first_answer(open_calls, wait_s + _PATIENCE_S)
            for _ in range(_MAX_CALLS - 1):
                if found is not None:
                    break
                open_calls.add(self._begin(repeat, self._repeat_transport))
                found = await _first_answer(open_calls, _PATIENCE_S)
            return found or failure
        finally:
            for each in open_calls:
                each.cancel()
            await asyncio.gather(*open_calls, return_exceptions=True)

    def _begin(
        self, call: HttpCall, transport: httpx.AsyncBaseTransport
    ) -> asyncio.Task[_Answer | StoreFailure]:
        return asyncio.create_task(self._exchange(call, transport))

    async def _exchange(
        self, call: HttpCall, transport: httpx.AsyncBaseTransport
    ) -> _Answer | StoreFailure:
        self.n_calls += 1
        request = httpx.Request(
            call.method,
            self._base + call.target_path,
            content=call.body or None,
            headers={"content-type": "application/json"} if call.body else None,
            extensions={"timeout": {"connect": _CONNECT_TIMEOUT_S}},
        )
        try:
            response = await transport.handle_async_request(request)
            try:
                body = await response.aread()
            finally:
                await response.aclose()
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            return StoreFailure(type(error).__name__)
        except (httpx.HTTPError, OSError) as error:
            return StoreFailure(type(error).__name__, is_unknown=True)
        if response.status_code in _REJECTIONS:
            return StoreFailure(f"status {response.status_code}")
        era = self.codec.era(tuple(response.headers.raw))
        if era is not None and era < self._era:
            return StoreFailure(f"answer of era {era}, the store is at {self._era}")
        self._era = self._era if era is None else era
        return _Answer(response.status_code, body, self._era)


async def _first_answer(
    open_calls: set[asyncio.Task[_Answer | StoreFailure]], within_s: float
) -> _Answer | StoreFailure | None:
    """Return the first answer, or the failure of all calls; None if some are open.

    Calls that have ended are removed from ``open_calls``.
    """
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + within_s
    failure: StoreFailure | None = None
    while open_calls:
        done, _ = await asyncio.wait(
            open_calls,
            timeout=max(0.0, ends_at - loop.time()),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not done:
            return None
        open_calls -= done
        for result in (each.result() for each in done):
            if isinstance(result, _Answer):
                return result
            failure = result
    return failure
