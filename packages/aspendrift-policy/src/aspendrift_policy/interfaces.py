"""Types shared by the request engine and the routing decisions."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol, TypeAlias

from aspendrift_model.ids import (
    AccountId,
    AttemptId,
    PrefixKey,
    RequestId,
    TargetId,
)
from aspendrift_model.outcomes import Refused
from aspendrift_model.profiles import Profile, Stage
from aspendrift_model.states import AttemptEnd, Priority
from aspendrift_model.targets import Target

__all__ = [
    "AttemptResult",
    "CandidateScore",
    "Dispatcher",
    "Offer",
    "RouteChoice",
    "RouteQuery",
    "RouteReason",
]


@dataclass(frozen=True, slots=True)
class Offer:
    """A request for admission; ``deadline_at`` is monotonic, in seconds."""

    request_id: RequestId
    account_id: AccountId
    profile: Profile
    deadline_at: float
    max_tokens: int
    prefix_key: PrefixKey


@dataclass(frozen=True, slots=True)
class RouteQuery:
    """One attempt of one stage that needs a target.

    Parameters
    ----------
    deadline_at : float
        Time by which this stage must end on the monotonic clock, in seconds.
    excluded : frozenset of TargetId
        Targets that may not be chosen.
    is_retry : bool
        Whether an earlier attempt of the stage was sent; counts against the retry
        budget.
    avoid_sharing : bool
        Whether to choose a target with as few other requests as possible, for a
        suspected poison request.
    """

    request_id: RequestId
    attempt_id: AttemptId
    account_id: AccountId
    profile: Profile
    stage: Stage
    deadline_at: float
    priority: Priority
    prefix_key: PrefixKey
    max_tokens: int = 0
    excluded: frozenset[TargetId] = frozenset()
    is_retry: bool = False
    avoid_sharing: bool = False


class RouteReason(Enum):
    """Why a target was chosen."""

    ONLY_CANDIDATE = "only_candidate"
    LEAST_LOADED = "least_loaded"
    PREFIX_AFFINITY = "prefix_affinity"
    SAME_ZONE = "same_zone"
    PROBE = "probe"
    ISOLATION = "isolation"
    RESUME = "resume"


@dataclass(frozen=True, slots=True)
class CandidateScore:
    """Score of one candidate, in estimated seconds; lower is better."""

    target_id: TargetId
    score: float


@dataclass(frozen=True, slots=True)
class RouteChoice:
    """The chosen target, with the scores behind the choice."""

    target: Target
    reason: RouteReason
    scores: tuple[CandidateScore, ...]
    queued_s: float = 0.0


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """Result of an attempt; times in seconds."""

    end: AttemptEnd
    held_s: float
    busy_s: float
    first_token_s: float | None = None


RouteAnswer: TypeAlias = RouteChoice | Refused


class Dispatcher(Protocol):
    """Interface of admission, queueing and routing for the request engine."""

    def admit(self, offer: Offer) -> Refused | None:
        """Admit a request, or return the refusal; call ``depart`` when it has ended."""

    def depart(self, request_id: RequestId) -> None:
        """Remove an admitted request that has ended."""

    async def acquire(self, query: RouteQuery) -> RouteAnswer:
        """Wait, within the deadline, for a slot on a target and reserve it."""

    def release(
        self, query: RouteQuery, choice: RouteChoice, result: AttemptResult
    ) -> None:
        """Release the slot and record the attempt; called once per choice."""
