"""Lease with a fencing number, stored in one row of the table."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TypeAlias

import msgspec

__all__ = [
    "Lease",
    "LeaseAction",
    "LeaseRecord",
    "LeaseTimes",
    "ReadLease",
    "WaitLease",
    "WriteLease",
]


class LeaseRecord(msgspec.Struct, frozen=True):
    """Value of a lease row; ``holder`` identifies one run of a daemon."""

    holder: str
    fencing: int
    duration_s: float
    released: bool = False


@dataclass(frozen=True, slots=True)
class LeaseTimes:
    """Times of a lease, in seconds.

    Parameters
    ----------
    duration_s : float
        Duration of the lease after the row was written.
    margin_s : float
        How long before the end of that duration the holder stops acting.
    takeover_wait_s : float
        How long a new holder waits before it starts acting.
    """

    duration_s: float
    margin_s: float
    takeover_wait_s: float


@dataclass(frozen=True, slots=True)
class ReadLease:
    """Read the lease row."""


@dataclass(frozen=True, slots=True)
class WriteLease:
    """Write a record if the row still has the given version."""

    record: LeaseRecord
    version: int


@dataclass(frozen=True, slots=True)
class WaitLease:
    """Do nothing until the given time."""

    until: float


LeaseAction: TypeAlias = ReadLease | WriteLease | WaitLease


class Lease:
    """State machine for one lease on one daemon.

    Another holder's lease has expired when its row has not changed for the full
    duration since this daemon first read that version, measured on this daemon's
    monotonic clock. A holder counts its own lease from the time before it sent
    the write, so it stops before any other daemon can take over.

    Parameters
    ----------
    holder : str
        Identifier of this run of this daemon.
    times : LeaseTimes
        Duration, safety margin and takeover wait.
    """

    def __init__(self, holder: str, times: LeaseTimes) -> None:
        self._holder = holder
        self._times = times
        self._version: int | None = None
        self._record: LeaseRecord | None = None
        self._version_seen_at = -math.inf
        self._held_until = -math.inf
        self._may_act_from = math.inf
        self._must_read = True
        self.fencing = 0

    @property
    def record(self) -> LeaseRecord | None:
        """The record as last read or written."""
        return self._record

    def is_held(self, now: float) -> bool:
        """Return whether this daemon holds the lease."""
        return now < self._held_until

    def may_act(self, now: float) -> bool:
        """Return whether orders may now be sent with the number ``fencing``."""
        return self.is_held(now) and now >= self._may_act_from

    def remaining_s(self, now: float) -> float:
        """Return the remaining time for which the lease is held, in seconds."""
        return max(0.0, self._held_until - now)

    def next_action(self, now: float) -> LeaseAction:
        """Return the next action."""
        if self._must_read or self._version is None:
            return ReadLease()
        if self.is_held(now):
            return self._renewal(now)
        expires_at = self._version_seen_at + self._duration_s()
        if now < expires_at and not self._is_free():
            return WaitLease(expires_at)
        return self._write(self._last_fencing() + 1, False)

    def record_read(self, version: int, record: LeaseRecord | None, now: float) -> None:
        """Apply a successful read of the row."""
        self._must_read = False
        if version != self._version:
            self._version = version
            self._record = record
            self._version_seen_at = now
        if record is None or not self._is_own(record):
            self._clear_hold()

    def record_commit(self, version: int, record: LeaseRecord, sent_at: float) -> None:
        """Apply a committed write; ``sent_at`` is a time before it was sent."""
        was_held = self.is_held(sent_at)
        self._version = version
        self._record = record
        self._version_seen_at = sent_at
        if record.released:
            self._clear_hold()
            return
        if not was_held or record.fencing != self.fencing:
            self._may_act_from = sent_at + self._times.takeover_wait_s
        self.fencing = record.fencing
        self._held_until = sent_at + self._times.duration_s - self._times.margin_s

    def record_conflict(
        self, version: int, record: LeaseRecord | None, now: float
    ) -> None:
        """Apply a write conflict; ``version`` and ``record`` are the current row."""
        self.record_read(version, record, now)

    def record_unknown_outcome(self) -> None:
        """Handle a write whose outcome is unknown; it may still take effect later.

        A lease already held stays held until its known end. The write neither
        acquires nor extends a lease, even if a later read shows its record.
        """
        self._must_read = True

    def record_failure(self) -> None:
        """Handle a failed read or write of the row."""
        self._must_read = True

    def release(self, now: float) -> WriteLease | None:
        """Stop holding the lease; return the write that releases it in the table."""
        if not self.is_held(now) or self._version is None:
            return None
        write = self._write(self.fencing, True)
        self._clear_hold()
        return write

    def _renewal(self, now: float) -> LeaseAction:
        times = self._times
        written_at = self._held_until - times.duration_s + times.margin_s
        renew_at = written_at + times.duration_s / 3.0
        if now < renew_at:
            return WaitLease(renew_at)
        return self._write(self.fencing, False)

    def _write(self, fencing: int, released: bool) -> WriteLease:
        record = LeaseRecord(self._holder, fencing, self._times.duration_s, released)
        return WriteLease(record, self._version or 0)

    def _duration_s(self) -> float:
        own_s = self._times.duration_s
        return own_s if self._record is None else max(own_s, self._record.duration_s)

    def _is_own(self, record: LeaseRecord) -> bool:
        is_own_holder = record.holder == self._holder and not record.released
        return is_own_holder and record.fencing == self.fencing

    def _is_free(self) -> bool:
        return self._record is None or self._record.released

    def _last_fencing(self) -> int:
        return 0 if self._record is None else self._record.fencing

    def _clear_hold(self) -> None:
        self._held_until = -math.inf
        self._may_act_from = math.inf
