"""Acquires, renews and releases a lease in the platform's table."""

from __future__ import annotations

import msgspec

from aspendrift_daemon.interfaces import (
    Clock,
    Committed,
    Conflict,
    NotWritten,
    RowsRead,
    TableService,
)
from aspendrift_model.decode_errors import DECODE_ERRORS
from aspendrift_model.wire_platform import Condition, Row, Write
from aspendrift_policy.leases import (
    Lease,
    LeaseRecord,
    LeaseTimes,
    ReadLease,
    WaitLease,
    WriteLease,
)

__all__ = ["LeaseManager"]


class LeaseManager:
    """Performs the actions of a `Lease` on the table.

    Parameters
    ----------
    key : str
        Key of the lease row.
    holder : str
        Identifies this run of this daemon.
    times : LeaseTimes
        Duration, safety margin and wait after a takeover.
    table : TableService
        The platform's table.
    clock : Clock
        Clocks of the process.
    """

    def __init__(
        self,
        key: str,
        holder: str,
        times: LeaseTimes,
        table: TableService,
        clock: Clock,
    ) -> None:
        self._key = key
        self._table = table
        self._clock = clock
        self.lease = Lease(holder, times)

    def may_act(self) -> bool:
        """Return whether orders may be sent at this moment."""
        return self.lease.may_act(self._clock.monotonic())

    def remaining_s(self) -> float:
        """Return the remaining time of the lease, in seconds."""
        return self.lease.remaining_s(self._clock.monotonic())

    async def step(self) -> None:
        """Read or write the row if that is due."""
        action = self.lease.next_action(self._clock.monotonic())
        if isinstance(action, ReadLease):
            await self._read()
            action = self.lease.next_action(self._clock.monotonic())
        if isinstance(action, WriteLease):
            await self._write(action)

    async def poll(self) -> None:
        """Read the row without trying to acquire the lease."""
        action = self.lease.next_action(self._clock.monotonic())
        if not isinstance(action, WaitLease):
            await self._read()

    async def release(self) -> None:
        """Release the lease, so that another daemon need not wait until it expires."""
        write = self.lease.release(self._clock.monotonic())
        if write is not None:
            await self._transact(write)

    async def _read(self) -> None:
        result = await self._table.read([self._key])
        if not isinstance(result, RowsRead) or not result.rows:
            self.lease.record_failure()
            return
        row = result.rows[0]
        self.lease.record_read(row.version, _record(row), self._clock.monotonic())

    async def _write(self, write: WriteLease) -> None:
        sent_at = self._clock.monotonic()
        result = await self._transact(write)
        if isinstance(result, Committed):
            self.lease.record_commit(result.version, write.record, sent_at)
        elif isinstance(result, Conflict):
            row = next((r for r in result.rows if r.key == self._key), None)
            if row is None:
                self.lease.record_failure()
                return
            now = self._clock.monotonic()
            self.lease.record_conflict(row.version, _record(row), now)
        elif isinstance(result, NotWritten):
            self.lease.record_failure()
        else:
            self.lease.record_unknown_outcome()

    async def _transact(self, write: WriteLease) -> object:
        value = msgspec.json.encode(write.record).decode()
        return await self._table.transact(
            [Condition(self._key, write.version)], [Write(self._key, value)]
        )


def _record(row: Row) -> LeaseRecord | None:
    if row.value is None:
        return None
    try:
        return msgspec.json.decode(row.value, type=LeaseRecord)
    except DECODE_ERRORS:
        return None
