"""Types that the request engine and the routing decisions share."""

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
    """A request at the door; ``deadline_at`` is on the monotonic clock, seconds."""

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
        Latest end of this stage on the monotonic clock, in seconds.
    excluded : frozenset of TargetId
        Targets that may not be chosen.
    is_retry : bool
        Whether an earlier attempt of the stage was sent; draws on the retry budget.
    avoid_sharing : bool
        Choose a target with as few other requests as possible (suspected poison).
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
    """How an attempt ended; times in seconds."""

    end: AttemptEnd
    held_s: float
    busy_s: float
    first_token_s: float | None = None


RouteAnswer: TypeAlias = RouteChoice | Refused


class Dispatcher(Protocol):
    """Admission, queueing and routing as the request engine sees them."""

    def admit(self, offer: Offer) -> Refused | None:
        """Admit a request at the door, or say why not; call ``depart`` after it."""

    def depart(self, request_id: RequestId) -> None:
        """Forget an admitted request that has ended."""

    async def acquire(self, query: RouteQuery) -> RouteAnswer:
        """Wait, within the deadline, for a slot on a target and take it."""

    def release(
        self, query: RouteQuery, choice: RouteChoice, result: AttemptResult
    ) -> None:
        """Give the slot back and learn from the attempt; call once per choice."""
