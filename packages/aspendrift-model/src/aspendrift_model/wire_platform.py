"""Messages between daemons and the platform's services.

Table service: ``POST /v1/txn`` (Transaction -> TransactionDone, 409
TransactionConflict, 429 above the rate limit), ``POST /v1/read`` (ReadQuery -> Rows),
``POST /v1/scan`` (ScanQuery -> Rows). A row's version is the number of the
transaction that wrote it last; an absent row has version 0.

Object store: ``PUT``, ``GET``, ``DELETE /v1/objects/{key}``.
Weight store: ``GET /v1/weights/{model}``, 429 above the rate limit.
Membership list: ``GET /v1/hosts`` -> HostList, which may be out of date.
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
    """A table row; ``value`` is None and ``version`` 0 if the row is absent."""

    key: str
    version: int
    value: str | None


class Condition(msgspec.Struct, frozen=True):
    """Version that a row must have for a transaction to commit."""

    key: str
    version: int


class Write(msgspec.Struct, frozen=True):
    """A new value for a row; None deletes it."""

    key: str
    value: str | None


class Transaction(msgspec.Struct, frozen=True):
    """Writes that are applied atomically if every condition holds."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


class TransactionDone(msgspec.Struct, frozen=True):
    """Result of a committed transaction; ``version`` applies to each written row."""

    version: int


class TransactionConflict(msgspec.Struct, frozen=True):
    """Result of an aborted transaction: current rows whose condition failed."""

    rows: tuple[Row, ...]


class ReadQuery(msgspec.Struct, frozen=True):
    """Keys of rows to read consistently."""

    keys: tuple[str, ...]


class ScanQuery(msgspec.Struct, frozen=True):
    """Selects rows whose key starts with ``prefix`` and sorts after ``after``."""

    prefix: str
    after: str = ""
    limit: int = 500


class Rows(msgspec.Struct, frozen=True):
    """Result of a read in the order of its keys, or of a scan sorted by key."""

    rows: tuple[Row, ...]


class HostEntry(msgspec.Struct, frozen=True):
    """A host in the platform's membership list."""

    daemon_id: str
    url: str
    peer_endpoint: str
    zone: str
    region: str
    leaving: bool = False
    peer_key: str = ""
    cores: float = 0.0
    link_bits_per_s: float = 0.0


class HostList(msgspec.Struct, frozen=True):
    """The platform's membership list."""

    hosts: tuple[HostEntry, ...]
