"""Events of the request engine."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from aspendrift_daemon.events import Event
from aspendrift_model.ids import (
    AccountId,
    AttemptId,
    Fingerprint,
    ProfileName,
    RequestId,
    Revision,
    StageName,
    TargetId,
)
from aspendrift_model.states import AttemptEnd, OutcomeStatus, Ran, RefusalReason
from aspendrift_model.wire_caller import StageTiming
from aspendrift_policy.interfaces import CandidateScore, RouteReason

__all__ = [
    "AnswerDropped",
    "AttemptEnded",
    "ContentQuarantined",
    "OutcomeStoreDelayed",
    "RequestEnded",
    "RouteDecided",
    "TargetCrashed",
]


@dataclass(frozen=True, slots=True)
class RouteDecided(Event):
    """A target was chosen for an attempt, or none was (``target_id`` is None)."""

    name: ClassVar[str] = "route_decided"
    request_id: RequestId
    attempt_id: AttemptId
    stage: StageName
    target_id: TargetId | None
    scores: tuple[CandidateScore, ...]
    reason: RouteReason | RefusalReason
    revision: Revision
    remaining_ms: int


@dataclass(frozen=True, slots=True)
class AttemptEnded(Event):
    """An attempt released its slot."""

    name: ClassVar[str] = "attempt_ended"
    request_id: RequestId
    attempt_id: AttemptId
    stage: StageName
    target_id: TargetId
    end: AttemptEnd
    held_ms: float
    detail: str


@dataclass(frozen=True, slots=True)
class AnswerDropped(Event):
    """Late, repeated or foreign stage answers were ignored."""

    name: ClassVar[str] = "answer_dropped"
    request_id: RequestId
    attempt_id: AttemptId
    n_dropped: int


@dataclass(frozen=True, slots=True)
class RequestEnded(Event):
    """A request ended with its outcome."""

    name: ClassVar[str] = "request_ended"
    request_id: RequestId
    account_id: AccountId
    profile: ProfileName
    status: OutcomeStatus
    ran: Ran
    reason: RefusalReason | None
    total_ms: float
    in_time: bool
    stages: tuple[StageTiming, ...]
    revision: Revision


@dataclass(frozen=True, slots=True)
class OutcomeStoreDelayed(Event):
    """An outcome was returned to the caller before it could be stored."""

    name: ClassVar[str] = "outcome_store_delayed"
    request_id: RequestId
    account_id: AccountId


@dataclass(frozen=True, slots=True)
class TargetCrashed(Event):
    """A target crashed while it ran attempts; their contents become suspects."""

    name: ClassVar[str] = "target_crashed"
    target_id: TargetId
    suspects: tuple[Fingerprint, ...]


@dataclass(frozen=True, slots=True)
class ContentQuarantined(Event):
    """A content is quarantined: its fingerprint is refused from now on."""

    name: ClassVar[str] = "content_convicted"
    fingerprint: Fingerprint
    target_ids: tuple[TargetId, ...]
