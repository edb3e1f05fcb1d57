"""Stand-in for the platform's transactional table service."""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort

import msgspec

from aspendrift_model.wire_platform import (
    ReadQuery,
    Row,
    Rows,
    ScanQuery,
    Transaction,
    TransactionConflict,
    TransactionDone,
)
from aspendrift_standins.exchange import Exchange
from aspendrift_standins.faults import PlatformFaults
from aspendrift_standins.platform_base import PlatformStandIn
from aspendrift_standins.process import command
from aspendrift_standins.rates import TokenBucket

__all__ = ["Table", "TableCounts", "TableOptions", "TableStandIn", "main"]


class TableOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Rate limits of the table service; 0 for no limit.

    ``writes_per_s`` limits rows written and ``reads_per_s`` rows read; each
    transaction or query counts as at least one row.
    """

    writes_per_s: float = 400.0
    reads_per_s: float = 2_000.0
    burst_s: float = 1.0


class TableCounts(msgspec.Struct):
    """Counters of the service; the prefix of a key ends before its first slash."""

    transactions: int = 0
    rows_written: int = 0
    conflicts: int = 0
    reads: int = 0
    over_rate: int = 0
    rows_written_by_prefix: dict[str, int] = {}


class Table:
    """Versioned rows, changed by conditional transactions."""

    def __init__(self, options: TableOptions) -> None:
        self._rows_by_key: dict[str, Row] = {}
        self._keys: list[str] = []
        self._version = 0
        self._writes = TokenBucket(options.writes_per_s, options.burst_s)
        self._reads = TokenBucket(options.reads_per_s, options.burst_s)
        self.counts = TableCounts()

    def transact(
        self, transaction: Transaction, now: float
    ) -> TransactionDone | TransactionConflict | None:
        """Commit a transaction; return None if it exceeds the rate limit."""
        if not self._writes.take(max(1, len(transaction.writes)), now):
            self.counts.over_rate += 1
            return None
        failed = tuple(
            self._row(condition.key)
            for condition in transaction.conditions
            if self._row(condition.key).version != condition.version
        )
        if failed:
            self.counts.conflicts += 1
            return TransactionConflict(failed)
        self._version += 1
        for write in transaction.writes:
            self._write(write.key, write.value)
            prefix = write.key.partition("/")[0]
            by_prefix = self.counts.rows_written_by_prefix
            by_prefix[prefix] = by_prefix.get(prefix, 0) + 1
        self.counts.transactions += 1
        self.counts.rows_written += len(transaction.writes)
        return TransactionDone(self._version)

    def read(self, query: ReadQuery, now: float) -> Rows | None:
        """Return rows by key, or None if the rate limit is exceeded."""
        if not self._consume_reads(len(query.keys), now):
            return None
        return Rows(tuple(self._row(key) for key in query.keys))

    def scan(self, query: ScanQuery, now: float) -> Rows | None:
        """Return rows by prefix, or None if the rate limit is exceeded."""
        if query.after < query.prefix:
            index = bisect_left(self._keys, query.prefix)
        else:
            index = bisect_right(self._keys, query.after)
        found: list[Row] = []
        for key in self._keys[index:]:
            if not key.startswith(query.prefix) or len(found) >= query.limit:
                break
            found.append(self._rows_by_key[key])
        return Rows(tuple(found)) if self._consume_reads(len(found), now) else None

    def _consume_reads(self, n_rows: int, now: float) -> bool:
        if not self._reads.take(max(1, n_rows), now):
            self.counts.over_rate += 1
            return False
        self.counts.reads += max(1, n_rows)
        return True

    def _row(self, key: str) -> Row:
        return self._rows_by_key.get(key) or Row(key, 0, None)

    def _write(self, key: str, value: str | None) -> None:
        if value is None:
            if self._rows_by_key.pop(key, None) is not None:
                del self._keys[bisect_left(self._keys, key)]
            return
        if key not in self._rows_by_key:
            insort(self._keys, key)
        self._rows_by_key[key] = Row(key, self._version, value)


class TableStandIn(PlatformStandIn):
    """Table service over HTTP."""

    def __init__(self, options: TableOptions, faults: PlatformFaults) -> None:
        super().__init__(faults)
        self.table = Table(options)

    async def route(self, exchange: Exchange) -> bool:
        """Serve the routes of the table service, and ``GET /counts``."""
        match (exchange.method, exchange.path):
            case ("POST", ("v1", "txn")):
                transaction = await exchange.decode(Transaction)
                await self.perform(exchange, lambda now: self._txn(transaction, now))
            case ("POST", ("v1", "read")):
                read = await exchange.decode(ReadQuery)
                await self.perform(
                    exchange, lambda now: _rows(self.table.read(read, now))
                )
            case ("POST", ("v1", "scan")):
                scan = await exchange.decode(ScanQuery)
                await self.perform(
                    exchange, lambda now: _rows(self.table.scan(scan, now))
                )
            case ("GET", ("counts",)):
                await exchange.reply(200, self.table.counts)
            case _:
                return False
        return True

    def _txn(self, transaction: Transaction, now: float) -> tuple[int, object]:
        result = self.table.transact(transaction, now)
        if result is None:
            return 429, None
        return (200 if isinstance(result, TransactionDone) else 409), result


def _rows(rows: Rows | None) -> tuple[int, object]:
    return (429, None) if rows is None else (200, rows)


main = command("table", TableOptions, PlatformFaults, TableStandIn)

if __name__ == "__main__":
    main()
