"""Claims: the record that lets a request which may not be repeated run once.

A claim is written before the first byte of the request goes to a target, and
is never taken over: a holder that was paused may wake and go on.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias
from urllib.parse import quote

import msgspec

from aspendrift_model.ids import AccountId, DaemonId, RequestId
from aspendrift_model.unreadable import UNREADABLE
from aspendrift_model.wire_caller import OutcomeBody

__all__ = [
    "CLAIM_PREFIX",
    "ClaimJudgement",
    "ClaimRecord",
    "ClaimState",
    "Finished",
    "Free",
    "HeldElsewhere",
    "HolderGone",
    "HolderView",
    "Mine",
    "OtherContent",
    "Unreadable",
    "WriteBudget",
    "claim_key",
    "decode_claim",
    "encode_claim",
    "judge_claim",
]

CLAIM_PREFIX = "claim/"


class ClaimState(Enum):
    """Life cycle of a claim."""

    HELD = "held"
    FINISHED = "finished"
    RELEASED = "released"


class ClaimRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """Value of a claim's row.

    Parameters
    ----------
    token : str
        Unique for each claim; nothing is dispatched under a token whose write
        was not confirmed.
    process : str
        Unique for each run of a daemon's process.
    incarnation : int
        That of the daemon as its peers see it; 0 if it was not known.
    at_unix_ms : int
        Time of the write, for the sweep of old rows.
    """

    fingerprint: str
    daemon_id: str
    process: str
    token: str
    state: ClaimState
    incarnation: int = 0
    at_unix_ms: int = 0
    outcome: OutcomeBody | None = None


class HolderView(Enum):
    """What a daemon knows of the daemon that holds a claim."""

    IN_VIEW = "in_view"
    NOT_IN_VIEW = "not_in_view"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Free:
    """The claim may be written over the row at this version."""

    version: int


@dataclass(frozen=True, slots=True)
class Mine:
    """The row holds the very claim that was to be written."""

    version: int


@dataclass(frozen=True, slots=True)
class Finished:
    """The request has ended, with this outcome."""

    outcome: OutcomeBody


@dataclass(frozen=True, slots=True)
class HeldElsewhere:
    """Another run of the request has the claim and may still end."""

    daemon_id: DaemonId


@dataclass(frozen=True, slots=True)
class HolderGone:
    """The process that had the claim is gone; what it did is not known."""

    daemon_id: DaemonId


@dataclass(frozen=True, slots=True)
class OtherContent:
    """The request id was used with other content."""


@dataclass(frozen=True, slots=True)
class Unreadable:
    """The row can't be read by this version of the daemon."""


ClaimJudgement: TypeAlias = (
    Free | Mine | Finished | HeldElsewhere | HolderGone | OtherContent | Unreadable
)

_DECODER = msgspec.json.Decoder(ClaimRecord)


def claim_key(account_id: AccountId, request_id: RequestId) -> str:
    """Return the key of a request's claim."""
    return f"{CLAIM_PREFIX}{quote(account_id, safe='')}/{quote(request_id, safe='')}"


def encode_claim(record: ClaimRecord) -> str:
    """Return the value of a row."""
    return msgspec.json.encode(record).decode()


def decode_claim(value: str) -> ClaimRecord | None:
    """Return the record in a row, or None if it can't be read."""
    try:
        return _DECODER.decode(value)
    except UNREADABLE:
        return None


def judge_claim(
    value: str | None,
    version: int,
    wanted: ClaimRecord,
    holder: HolderView,
    abandoned_tokens: Collection[str],
) -> ClaimJudgement:
    """Decide what a row means to a daemon that wants to claim the request.

    Parameters
    ----------
    value, version : str or None, int
        The row as it is.
    wanted : ClaimRecord
        The claim that was to be written.
    holder : HolderView
        What is known of the daemon in the row.
    abandoned_tokens : collection of str
        Tokens of this process under which nothing was or will be dispatched.
    """
    if value is None:
        return Free(version)
    found = decode_claim(value)
    if found is None:
        return Unreadable()
    if found.state is ClaimState.RELEASED or found.token in abandoned_tokens:
        return Free(version)
    if found.token == wanted.token:
        return Mine(version)
    if found.fingerprint != wanted.fingerprint:
        return OtherContent()
    if found.state is ClaimState.FINISHED and found.outcome is not None:
        return Finished(found.outcome)
    daemon_id = DaemonId(found.daemon_id)
    same_daemon = found.daemon_id == wanted.daemon_id
    if holder is HolderView.GONE or (same_daemon and found.process != wanted.process):
        return HolderGone(daemon_id)
    return HeldElsewhere(daemon_id)


class WriteBudget:
    """Token bucket over rows written to the table.

    Parameters
    ----------
    rows_per_s : float
        Rate that is refilled.
    burst_s : float
        Seconds of the rate that may be saved up.
    """

    def __init__(self, rows_per_s: float, burst_s: float, now: float) -> None:
        self.rows_per_s = rows_per_s
        self._burst_s = burst_s
        self._rows = self._burst()
        self._updated_at = now

    def take(self, n_rows: int, now: float) -> bool:
        """Spend rows, or return False if too few are left."""
        self._refill(now)
        if self._rows < n_rows:
            return False
        self._rows -= n_rows
        return True

    def spend(self, n_rows: int, now: float) -> None:
        """Spend rows that must be written, into debt if need be."""
        self._refill(now)
        self._rows -= n_rows

    def wait_s(self, n_rows: int, now: float) -> float:
        """Return the time until that many rows could be spent, in seconds."""
        self._refill(now)
        return max(0.0, n_rows - self._rows) / self.rows_per_s

    def _burst(self) -> float:
        return max(2.0, self.rows_per_s * self._burst_s)

    def _refill(self, now: float) -> None:
        grown = self._rows + (now - self._updated_at) * self.rows_per_s
        self._rows = min(self._burst(), grown)
        self._updated_at = now
