"""Claims: table rows that make a non-idempotent request run at most once.

A claim is written before the first byte of the request is sent to a target.
It is never taken over by another daemon, because a paused holder may resume
and continue the request.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias
from urllib.parse import quote

import msgspec

from aspendrift_model.decode_errors import DECODE_ERRORS
from aspendrift_model.ids import AccountId, DaemonId, RequestId
from aspendrift_model.wire_caller import OutcomeBody

__all__ = [
    "CLAIM_PREFIX",
    "ClaimAssessment",
    "ClaimRecord",
    "ClaimState",
    "ContentMismatch",
    "Finished",
    "HeldElsewhere",
    "HolderGone",
    "HolderState",
    "OwnClaim",
    "Unclaimed",
    "Unreadable",
    "WriteBudget",
    "claim_key",
    "classify_claim",
    "decode_claim",
    "encode_claim",
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
        Unique for each claim; a request is dispatched only after the write of
        its token is confirmed.
    process : str
        Unique for each run of the daemon process.
    incarnation : int
        Membership incarnation of the daemon; 0 if unknown.
    at_unix_ms : int
        Time of the write, used to delete old rows.
    """

    fingerprint: str
    daemon_id: str
    process: str
    token: str
    state: ClaimState
    incarnation: int = 0
    at_unix_ms: int = 0
    outcome: OutcomeBody | None = None


class HolderState(Enum):
    """Membership state of the daemon that holds a claim, as seen by the reader."""

    IN_VIEW = "in_view"
    NOT_IN_VIEW = "not_in_view"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Unclaimed:
    """The claim may be written if the row still has this version."""

    version: int


@dataclass(frozen=True, slots=True)
class OwnClaim:
    """The row already holds the claim that was to be written."""

    version: int


@dataclass(frozen=True, slots=True)
class Finished:
    """The request has finished with this outcome."""

    outcome: OutcomeBody


@dataclass(frozen=True, slots=True)
class HeldElsewhere:
    """Another run of the request holds the claim and may still finish."""

    daemon_id: DaemonId


@dataclass(frozen=True, slots=True)
class HolderGone:
    """The process that held the claim has ended; the outcome is unknown."""

    daemon_id: DaemonId


@dataclass(frozen=True, slots=True)
class ContentMismatch:
    """The request id was already used with different content."""


@dataclass(frozen=True, slots=True)
class Unreadable:
    """The row can't be decoded by this version of the daemon."""


ClaimAssessment: TypeAlias = (
    Unclaimed
    | OwnClaim
    | Finished
    | HeldElsewhere
    | HolderGone
    | ContentMismatch
    | Unreadable
)

_DECODER = msgspec.json.Decoder(ClaimRecord)


def claim_key(account_id: AccountId, request_id: RequestId) -> str:
    """Return the table key of a request's claim."""
    return f"{CLAIM_PREFIX}{quote(account_id, safe='')}/{quote(request_id, safe='')}"


def encode_claim(record: ClaimRecord) -> str:
    """Return the row value for a claim."""
    return msgspec.json.encode(record).decode()


def decode_claim(value: str) -> ClaimRecord | None:
    """Return the claim in a row value, or None if it can't be decoded."""
    try:
        return _DECODER.decode(value)
    except DECODE_ERRORS:
        return None


def classify_claim(
    value: str | None,
    version: int,
    own_record: ClaimRecord,
    holder: HolderState,
    abandoned_tokens: Collection[str],
) -> ClaimAssessment:
    """Classify a row for a daemon that wants to claim the request.

    Parameters
    ----------
    value, version : str or None, int
        Current value and version of the row.
    own_record : ClaimRecord
        The claim to write.
    holder : HolderState
        Membership state of the daemon named in the row.
    abandoned_tokens : collection of str
        Tokens of this process under which nothing was or will be dispatched.
    """
    if value is None:
        return Unclaimed(version)
    found = decode_claim(value)
    if found is None:
        return Unreadable()
    if found.state is ClaimState.RELEASED or found.token in abandoned_tokens:
        return Unclaimed(version)
    if found.token == own_record.token:
        return OwnClaim(version)
    if found.fingerprint != own_record.fingerprint:
        return ContentMismatch()
    if found.state is ClaimState.FINISHED and found.outcome is not None:
        return Finished(found.outcome)
    daemon_id = DaemonId(found.daemon_id)
    same_daemon = found.daemon_id == own_record.daemon_id
    if holder is HolderState.GONE or (
        same_daemon and found.process != own_record.process
    ):
        return HolderGone(daemon_id)
    return HeldElsewhere(daemon_id)


class WriteBudget:
    """Token bucket that limits the rate of rows written to the table.

    Parameters
    ----------
    rows_per_s : float
        Refill rate.
    burst_s : float
        Capacity of the bucket, in seconds of the refill rate.
    """

    def __init__(self, rows_per_s: float, burst_s: float, now: float) -> None:
        self.rows_per_s = rows_per_s
        self._burst_s = burst_s
        self._available_rows = self._capacity()
        self._updated_at = now

    def try_spend(self, n_rows: int, now: float) -> bool:
        """Withdraw rows; return False if the budget does not allow it."""
        self._refill(now)
        if self._available_rows < n_rows:
            return False
        self._available_rows -= n_rows
        return True

    def spend(self, n_rows: int, now: float) -> None:
        """Withdraw rows that must be written; the balance may become negative."""
        self._refill(now)
        self._available_rows -= n_rows

    def wait_s(self, n_rows: int, now: float) -> float:
        """Return the time until that many rows can be withdrawn, in seconds."""
        self._refill(now)
        return max(0.0, n_rows - self._available_rows) / self.rows_per_s

    def _capacity(self) -> float:
        return max(2.0, self.rows_per_s * self._burst_s)

    def _refill(self, now: float) -> None:
        refilled = self._available_rows + (now - self._updated_at) * self.rows_per_s
        self._available_rows = min(self._capacity(), refilled)
        self._updated_at = now
