"""The only client of the platform's store, with timeouts and typed outcomes."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from typing import Final, TypeAlias

import httpx

from aspendrift_daemon.metered_transport import ConnectionMeter
from aspendrift_gateway.interfaces import HttpCall, StoreCodec, StoreRows
from aspendrift_gateway.transports import plain_transport

__all__ = [
    "HistoryGone",
    "StoreClient",
    "StoreFailure",
    "Written",
]

# A call usually takes 4 ms, and tens of times as long while the store is slow; beyond
# this time the connection is considered dead.
_CALL_TIMEOUT_S: Final = 0.8
_CONNECT_TIMEOUT_S: Final = 0.5
_MAX_CONNECTIONS: Final = 4
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
    """

    def __init__(
        self, address: str, codec: StoreCodec, meter: ConnectionMeter | None = None
    ) -> None:
        self.codec = codec
        self._base = f"http://{address}"
        self._transport = plain_transport(
            _MAX_CONNECTIONS, None, meter or ConnectionMeter()
        )
        self.n_calls = 0
        self._era = 0

    async def close(self) -> None:
        """Close every connection."""
        await self._transport.aclose()

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
        return await self._rows(self.codec.feed(table, after, wait_s), wait_s)

    async def put(self, table: str, key: str, value: bytes) -> WriteResult:
        """Write a row unconditionally; the write is idempotent."""
        return await self._write(self.codec.put(table, key, value))

    async def remove(self, table: str, key: str) -> WriteResult:
        """Remove a row; the removal is idempotent."""
        return await self._write(self.codec.remove(table, key))

    async def _rows(self, call: HttpCall, wait_s: float) -> RowsResult:
        answer = await self._call(call, wait_s)
        if isinstance(answer, StoreFailure):
            return answer
        if answer.status == _GONE:
            return HistoryGone()
        if answer.status != _OK:
            return StoreFailure(f"status {answer.status}")
        rows = self.codec.rows(answer.body, answer.era)
        return StoreFailure("unreadable answer") if rows is None else rows

    async def _write(self, call: HttpCall) -> WriteResult:
        answer = await self._call(call, 0.0)
        if isinstance(answer, StoreFailure):
            return answer
        if answer.status == _OK:
            return Written()
        return StoreFailure(f"status {answer.status}")

    async def _call(self, call: HttpCall, wait_s: float) -> _Answer | StoreFailure:
        self.n_calls += 1
        timeout_s = wait_s + _CALL_TIMEOUT_S
        request = httpx.Request(
            call.method,
            self._base + call.target_path,
            content=call.body or None,
            headers={"content-type": "application/json"} if call.body else None,
            extensions={"timeout": {"connect": _CONNECT_TIMEOUT_S}},
        )
        try:
            async with asyncio.timeout(timeout_s):
                response = await self._transport.handle_async_request(request)
                try:
                    body = await response.aread()
                finally:
                    await response.aclose()
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            return StoreFailure(type(error).__name__)
        except (httpx.HTTPError, TimeoutError, OSError) as error:
            return StoreFailure(type(error).__name__, is_unknown=True)
        era = self.codec.era(tuple(response.headers.raw))
        if era is not None and era < self._era:
            return StoreFailure(f"answer of era {era}, the store is at {self._era}")
        self._era = self._era if era is None else era
        return _Answer(response.status_code, body, self._era)
