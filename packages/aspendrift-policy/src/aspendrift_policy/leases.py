"""Lease with a fencing number, kept in one row of the table."""

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
    """Value of a lease row; ``holder`` names one run of one daemon."""

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
        How long the lease lasts after the row was written.
    margin_s : float
        How much earlier the holder stops.
    takeover_wait_s : float
        How long a new holder waits before it acts.
    """

    duration_s: float
    margin_s: float
    takeover_wait_s: float


@dataclass(frozen=True, slots=True)
class ReadLease:
    """Read the row."""


@dataclass(frozen=True, slots=True)
class WriteLease:
    """Write a record if the row still has a version."""

    record: LeaseRecord
    version: int


@dataclass(frozen=True, slots=True)
class WaitLease:
    """Nothing to do before a time."""

    until: float


LeaseAction: TypeAlias = ReadLease | WriteLease | WaitLease


class Lease:
    """One daemon's view of one lease.

    Whether another holder's lease has run out is judged on this daemon's own
    monotonic clock: the row must not have changed for the whole duration since
    this daemon saw its version for the first time. A holder counts its own
    lease from the moment before it sent the write, so it stops first.

    Parameters
    ----------
    holder : str
        Name of this run of this daemon.
    times : LeaseTimes
        Duration, margin and wait after a takeover.
    """

    def __init__(self, holder: str, times: LeaseTimes) -> None:
        self._holder = holder
        self._times = times
        self._version: int | None = None
        self._record: LeaseRecord | None = None
        self._seen_at = -math.inf
        self._held_until = -math.inf
        self._acts_from = math.inf
        self._must_read = True
        self.fencing = 0

    @property
    def record(self) -> LeaseRecord | None:
        """The record as last seen."""
        return self._record

    def is_held(self, now: float) -> bool:
        """Return whether this daemon holds the lease."""
        return now < self._held_until

    def may_act(self, now: float) -> bool:
        """Return whether orders may be sent now, under ``fencing``."""
        return self.is_held(now) and now >= self._acts_from

    def left_s(self, now: float) -> float:
        """Return how long the lease is still held, in seconds."""
        return max(0.0, self._held_until - now)

    def next_action(self, now: float) -> LeaseAction:
        """Return what to do now."""
        if self._must_read or self._version is None:
            return ReadLease()
        if self.is_held(now):
            return self._renewal(now)
        expires_at = self._seen_at + self._duration_s()
        if now < expires_at and not self._is_free():
            return WaitLease(expires_at)
        return self._write(self._highest() + 1, False)

    def seen(self, version: int, record: LeaseRecord | None, now: float) -> None:
        """Take in the row as it was read."""
        self._must_read = False
        if version != self._version:
            self._version = version
            self._record = record
            self._seen_at = now
        if record is None or not self._is_own(record):
            self._lose()

    def committed(self, version: int, record: LeaseRecord, sent_at: float) -> None:
        """Take in that a write took effect; ``sent_at`` is from before it."""
        was_held = self.is_held(sent_at)
        self._version = version
        self._record = record
        self._seen_at = sent_at
        if record.released:
            self._lose()
            return
        if not was_held or record.fencing != self.fencing:
            self._acts_from = sent_at + self._times.takeover_wait_s
        self.fencing = record.fencing
        self._held_until = sent_at + self._times.duration_s - self._times.margin_s

    def conflicted(self, version: int, record: LeaseRecord | None, now: float) -> None:
        """Take in that another write came first."""
        self.seen(version, record, now)

    def unknown(self) -> None:
        """Take in that a write may or may not have taken effect, now or later.

        What is held stays held until its own end; nothing new is held on a
        guess.
        """
        self._must_read = True

    def read_failed(self) -> None:
        """Take in that the row could not be read or written."""
        self._must_read = True

    def release(self, now: float) -> WriteLease | None:
        """Stop to hold the lease; return the write that tells the others."""
        if not self.is_held(now) or self._version is None:
            return None
        write = self._write(self.fencing, True)
        self._lose()
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
        is_ours = record.holder == self._holder and not record.released
        return is_ours and record.fencing == self.fencing

    def _is_free(self) -> bool:
        return self._record is None or self._record.released

    def _highest(self) -> int:
        return 0 if self._record is None else self._record.fencing

    def _lose(self) -> None:
        self._held_until = -math.inf
        self._acts_from = math.inf
