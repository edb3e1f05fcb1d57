"""Messages between daemons and the platform's services.

Table service: ``POST /v1/txn`` (Transaction -> TransactionDone, 409
TransactionConflict, 429 over rate), ``POST /v1/read`` (ReadQuery -> Rows),
``POST /v1/scan`` (ScanQuery -> Rows). A row's version is the number of the
transaction that wrote it last; an absent row has version 0.

Object store: ``PUT``, ``GET``, ``DELETE /v1/objects/{key}``.
Weight store: ``GET /v1/weights/{model}``, 429 over rate.
Membership list: ``GET /v1/hosts`` -> HostList, which lags.
"""

from __future__ import annotations

import msgspec

__all__ = [
    "Condition",
    "HostEntry",
    "HostList",
    "ReadQuery",
    "Row",
    "Rows",
    "ScanQuery",
    "Transaction",
    "TransactionConflict",
    "TransactionDone",
    "Write",
]


class Row(msgspec.Struct, frozen=True):
    """One row; ``value`` is None and ``version`` 0 for an absent one."""

    key: str
    version: int
    value: str | None


class Condition(msgspec.Struct, frozen=True):
    """The version that a row must have for a transaction to commit."""

    key: str
    version: int


class Write(msgspec.Struct, frozen=True):
    """A new value for a row; None deletes it."""

    key: str
    value: str | None


class Transaction(msgspec.Struct, frozen=True):
    """Writes that take effect together if every condition holds."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


class TransactionDone(msgspec.Struct, frozen=True):
    """The transaction committed; ``version`` is that of each written row."""

    version: int


class TransactionConflict(msgspec.Struct, frozen=True):
    """The transaction had no effect; rows whose condition failed, as they are."""

    rows: tuple[Row, ...]


class ReadQuery(msgspec.Struct, frozen=True):
    """Keys to read in one consistent read."""

    keys: tuple[str, ...]


class ScanQuery(msgspec.Struct, frozen=True):
    """Rows whose key starts with ``prefix`` and sorts after ``after``."""

    prefix: str
    after: str = ""
    limit: int = 500


class Rows(msgspec.Struct, frozen=True):
    """Rows read, in the order of the query or sorted by key."""

    rows: tuple[Row, ...]


class HostEntry(msgspec.Struct, frozen=True):
    """One host in the platform's membership list."""

    daemon_id: str
    url: str
    peer_endpoint: str
    zone: str
    region: str
    leaving: bool = False
    peer_key: str = ""


class HostList(msgspec.Struct, frozen=True):
    """The platform's membership list."""

    hosts: tuple[HostEntry, ...]
