"""Events that go into the request engine and actions that come out of it."""

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
    """The request was admitted and, where needed, claimed."""


@dataclass(frozen=True, slots=True)
class Routed:
    """A slot on a target was taken."""

    attempt_id: AttemptId
    choice: RouteChoice


@dataclass(frozen=True, slots=True)
class RouteRefused:
    """No target was given."""

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
    """A target ended its stream, with its own count and digest."""

    attempt_id: AttemptId
    n_tokens: int
    digest: str


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """An attempt gave no answer.

    Parameters
    ----------
    end : AttemptEnd
        ``CANCELLED`` means that it was given up before it was sent.
    crashed : bool
        Whether the target stopped during the attempt.
    convicted : bool
        Whether the content is known by now to stop targets.
    """

    attempt_id: AttemptId
    end: AttemptEnd
    crashed: bool = False
    convicted: bool = False
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
    """Take a slot on a target."""

    query: RouteQuery


@dataclass(frozen=True, slots=True)
class Send:
    """Send an attempt to the target that was taken."""

    call: StageCall
    timeout_s: float


@dataclass(frozen=True, slots=True)
class Resume:
    """Ask the target to go on with a broken stream after a token number."""

    call: StageCall
    after: int
    timeout_s: float


@dataclass(frozen=True, slots=True)
class TokenAccepted:
    """Pass a token on to the caller if ``shown``, and go on."""

    n: int
    text: str
    shown: bool


@dataclass(frozen=True, slots=True)
class Ignore:
    """The event changes nothing: it was late, repeated or foreign."""


@dataclass(frozen=True, slots=True)
class Finish:
    """The request has ended."""

    outcome: Outcome


Action: TypeAlias = Acquire | Send | Resume | TokenAccepted | Ignore | Finish
