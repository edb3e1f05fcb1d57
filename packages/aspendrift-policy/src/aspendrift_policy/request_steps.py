"""Events that the request engine accepts and actions that it returns."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from aspendrift_model.ids import AttemptId
from aspendrift_model.outcomes import Outcome, Refused
from aspendrift_model.states import AttemptEnd
from aspendrift_model.wire_target import StageCall
from aspendrift_policy.interfaces import RouteChoice, RouteQuery

__all__ = [
    "Acquire",
    "Action",
    "AttemptFailed",
    "CallerGone",
    "EngineEvent",
    "Finish",
    "GenerationEnded",
    "Ignore",
    "Resume",
    "RouteRefused",
    "Routed",
    "Send",
    "StageReturned",
    "Started",
    "TokenAccepted",
    "TokenArrived",
]


@dataclass(frozen=True, slots=True)
class Started:
    """The request was admitted and, if required, claimed."""


@dataclass(frozen=True, slots=True)
class Routed:
    """A slot on a target was acquired."""

    attempt_id: AttemptId
    choice: RouteChoice


@dataclass(frozen=True, slots=True)
class RouteRefused:
    """No slot on a target could be acquired."""

    attempt_id: AttemptId
    refusal: Refused


@dataclass(frozen=True, slots=True)
class StageReturned:
    """A target answered a stage; ``output`` is JSON."""

    attempt_id: AttemptId
    output: bytes


@dataclass(frozen=True, slots=True)
class TokenArrived:
    """A target produced a token."""

    attempt_id: AttemptId
    n: int
    text: str


@dataclass(frozen=True, slots=True)
class GenerationEnded:
    """A target ended its stream; count and digest are the target's own."""

    attempt_id: AttemptId
    n_tokens: int
    digest: str


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """An attempt ended without an answer.

    Parameters
    ----------
    end : AttemptEnd
        ``CANCELLED`` means that it was cancelled before it was sent.
    crashed : bool
        Whether the target crashed during the attempt.
    quarantined : bool
        Whether the content has been quarantined because it crashes targets.
    """

    attempt_id: AttemptId
    end: AttemptEnd
    crashed: bool = False
    quarantined: bool = False
    detail: str = ""


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller closed its connection."""


EngineEvent: TypeAlias = (
    Started
    | Routed
    | RouteRefused
    | StageReturned
    | TokenArrived
    | GenerationEnded
    | AttemptFailed
    | CallerGone
)


@dataclass(frozen=True, slots=True)
class Acquire:
    """Acquire a slot on a target."""

    query: RouteQuery


@dataclass(frozen=True, slots=True)
class Send:
    """Send an attempt to the target whose slot was acquired."""

    call: StageCall
    timeout_s: float


@dataclass(frozen=True, slots=True)
class Resume:
    """Resume a broken stream at the target, after token number ``after``."""

    call: StageCall
    after: int
    timeout_s: float


@dataclass(frozen=True, slots=True)
class TokenAccepted:
    """Forward the token to the caller if ``shown``, and wait for the next event."""

    n: int
    text: str
    shown: bool


@dataclass(frozen=True, slots=True)
class Ignore:
    """The event was ignored: it was stale, duplicate, or of another attempt."""


@dataclass(frozen=True, slots=True)
class Finish:
    """The request has ended."""

    outcome: Outcome


Action: TypeAlias = Acquire | Send | Resume | TokenAccepted | Ignore | Finish
