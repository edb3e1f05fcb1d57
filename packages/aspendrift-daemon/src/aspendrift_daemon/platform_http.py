"""HTTP adapter for the platform's table service and membership list."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar

import httpx
import msgspec

from aspendrift_daemon.interfaces import (
    Committed,
    Conflict,
    NotWritten,
    RowsRead,
    StoreUnavailable,
    TransactResult,
    WriteUnknown,
)
from aspendrift_model.decode_errors import DECODE_ERRORS
from aspendrift_model.wire_platform import (
    Condition,
    HostEntry,
    HostList,
    ReadQuery,
    Rows,
    ScanQuery,
    Transaction,
    TransactionConflict,
    TransactionDone,
    Write,
)

__all__ = ["HttpMembershipList", "HttpTableService"]

_T = TypeVar("_T")
_JSON = {"content-type": "application/json"}


class HttpTableService:
    """Table service over HTTP.

    Parameters
    ----------
    client : httpx.AsyncClient
        Client whose base URL is that of the table service.
    """

    def __init__(self, client: httpx.AsyncClient) -> None:
        self._client = client

    async def read(self, keys: Sequence[str]) -> RowsRead | StoreUnavailable:
        """Read rows by key; absent rows have version 0."""
        return await self._rows("/v1/read", ReadQuery(tuple(keys)))

    async def scan(
        self, prefix: str, after: str = "", limit: int = 500
    ) -> RowsRead | StoreUnavailable:
        """Read rows by key prefix, sorted, after a key."""
        return await self._rows("/v1/scan", ScanQuery(prefix, after, limit))

    async def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> TransactResult:
        """Commit the writes atomically if every condition holds."""
        body = msgspec.json.encode(Transaction(tuple(conditions), tuple(writes)))
        try:
            response = await self._client.post("/v1/txn", content=body, headers=_JSON)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            return NotWritten(type(error).__name__)
        except httpx.HTTPError as error:
            return WriteUnknown(type(error).__name__)
        return _transact_result(response)

    async def _rows(
        self, path: str, query: msgspec.Struct
    ) -> RowsRead | StoreUnavailable:
        content = msgspec.json.encode(query)
        try:
            response = await self._client.post(path, content=content, headers=_JSON)
        except httpx.HTTPError as error:
            return StoreUnavailable(type(error).__name__)
        if response.status_code != 200:
            return StoreUnavailable(
                f"status {response.status_code}", response.status_code == 429
            )
        rows = _decode(response.content, Rows)
        return (
            StoreUnavailable("malformed response body")
            if rows is None
            else RowsRead(rows.rows)
        )


class HttpMembershipList:
    """Membership list over HTTP."""

    def __init__(self, client: httpx.AsyncClient) -> None:
        self._client = client

    async def hosts(self) -> tuple[HostEntry, ...] | StoreUnavailable:
        """Return the hosts that the platform lists."""
        try:
            response = await self._client.get("/v1/hosts")
        except httpx.HTTPError as error:
            return StoreUnavailable(type(error).__name__)
        if response.status_code != 200:
            return StoreUnavailable(f"status {response.status_code}")
        listed = _decode(response.content, HostList)
        return (
            StoreUnavailable("malformed response body")
            if listed is None
            else listed.hosts
        )


def _transact_result(response: httpx.Response) -> TransactResult:
    if response.status_code == 200:
        done = _decode(response.content, TransactionDone)
        return (
            WriteUnknown("malformed response body")
            if done is None
            else Committed(done.version)
        )
    if response.status_code == 409:
        conflict = _decode(response.content, TransactionConflict)
        return (
            NotWritten("malformed response body")
            if conflict is None
            else Conflict(conflict.rows)
        )
    if response.status_code == 429:
        return NotWritten("rate limit exceeded", over_rate=True)
    if response.status_code in (400, 401, 403, 404, 413, 422):
        return NotWritten(f"status {response.status_code}")
    return WriteUnknown(f"status {response.status_code}")


def _decode(content: bytes, kind: type[_T]) -> _T | None:
    try:
        return msgspec.json.decode(content, type=kind)
    except DECODE_ERRORS:
        return None
