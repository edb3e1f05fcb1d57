"""Request outcomes, and the status, action and text of each refusal reason."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final, TypeAlias

from aspendrift_model.states import CallerAction, Ran, RefusalReason

__all__ = [
    "REFUSAL_RULES",
    "Answered",
    "Failed",
    "Outcome",
    "Refused",
    "RefusalRule",
    "refused",
]


@dataclass(frozen=True, slots=True)
class RefusalRule:
    """How a refusal reason is presented to callers.

    Parameters
    ----------
    http_status : int
        HTTP status of a response with this reason.
    action : CallerAction
        Action that the caller may take.
    sentence : str
        Explanation for people, in one sentence.
    """

    http_status: int
    action: CallerAction
    sentence: str


_FIX: Final = CallerAction.FIX_REQUEST
_RESEND: Final = CallerAction.RESEND
_ELSEWHERE: Final = CallerAction.RESEND_ELSEWHERE
_QUERY: Final = CallerAction.ASK_OUTCOME
_STOP: Final = CallerAction.DO_NOT_RESEND
_R = RefusalReason

REFUSAL_RULES: Final[Mapping[RefusalReason, RefusalRule]] = {
    _R.BAD_REQUEST: RefusalRule(400, _FIX, "The request is not valid."),
    _R.TOO_LARGE: RefusalRule(413, _FIX, "The request body is too large."),
    _R.UNAUTHENTICATED: RefusalRule(401, _FIX, "The token is missing or unknown."),
    _R.FORBIDDEN: RefusalRule(403, _FIX, "The token does not allow this operation."),
    _R.NOT_FOUND: RefusalRule(404, _FIX, "There is no such resource."),
    _R.UNKNOWN_PROFILE: RefusalRule(404, _FIX, "No profile of that name is in force."),
    _R.REQUEST_ID_REUSED: RefusalRule(
        409, _FIX, "The request id was used before with other content."
    ),
    _R.DEADLINE_UNREACHABLE: RefusalRule(
        503, _RESEND, "The whole answer could not be ready within the deadline."
    ),
    _R.DEADLINE_EXCEEDED: RefusalRule(504, _RESEND, "The deadline has passed."),
    _R.OVERLOADED: RefusalRule(503, _RESEND, "The system is at its capacity."),
    _R.ACCOUNT_OVER_SHARE: RefusalRule(
        429, _RESEND, "The client account is over its share of a full system."
    ),
    _R.NO_TARGET: RefusalRule(503, _RESEND, "No target can serve a stage now."),
    _R.TARGET_FAILED: RefusalRule(502, _RESEND, "A target failed."),
    _R.RETRY_BUDGET_SPENT: RefusalRule(
        503, _RESEND, "A target failed and the retry budget is spent."
    ),
    _R.STORE_UNAVAILABLE: RefusalRule(
        503, _RESEND, "The platform's table service does not answer."
    ),
    _R.CLAIM_RATE_EXCEEDED: RefusalRule(
        503, _RESEND, "Too many requests that must be recorded first."
    ),
    _R.CLAIM_HELD: RefusalRule(
        409, _QUERY, "The same request is running on another daemon."
    ),
    _R.OUTCOME_UNKNOWN: RefusalRule(
        504, _QUERY, "Whether the request ran to its end is not known."
    ),
    _R.LEAVING: RefusalRule(503, _ELSEWHERE, "The daemon is shutting down."),
    _R.ISOLATED: RefusalRule(503, _ELSEWHERE, "The daemon is cut off from the others."),
    _R.NOT_READY: RefusalRule(503, _ELSEWHERE, "The daemon has no configuration yet."),
    _R.CONFIGURATION_BEHIND: RefusalRule(
        421, _ELSEWHERE, "Another daemon admitted the request by a newer configuration."
    ),
    _R.POISON: RefusalRule(
        422, _STOP, "Targets stopped while they ran a request with this content."
    ),
    _R.CALLER_GONE: RefusalRule(499, _RESEND, "The caller closed the connection."),
    _R.INTERNAL: RefusalRule(500, _QUERY, "The daemon met an error of its own."),
}


@dataclass(frozen=True, slots=True)
class Answered:
    """The request ran and its complete answer was produced."""

    output: str
    n_tokens: int
    digest: str


@dataclass(frozen=True, slots=True)
class Refused:
    """The request did not run: no byte of any stage reached a target."""

    reason: RefusalReason
    detail: str = ""
    retry_after_ms: int | None = None

    @property
    def ran(self) -> Ran:
        """Always ``Ran.NO``."""
        return Ran.NO


@dataclass(frozen=True, slots=True)
class Failed:
    """The request may have run, but no complete answer was produced."""

    reason: RefusalReason
    ran: Ran
    detail: str = ""
    retry_after_ms: int | None = None


Outcome: TypeAlias = Answered | Refused | Failed


def refused(
    reason: RefusalReason, detail: str = "", retry_after_ms: int | None = None
) -> Refused:
    """Return a `Refused` outcome."""
    return Refused(reason, detail, retry_after_ms)
