"""The decision whether a call may be sent again after a reply."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

from aspendrift_model.states import CallerAction, OutcomeStatus, Ran, RefusalReason
from aspendrift_model.wire_caller import OutcomeBody

__all__ = [
    "Broken",
    "NextStep",
    "NotSent",
    "Reply",
    "next_step",
    "next_step_after_asking",
]


@dataclass(frozen=True, slots=True)
class NotSent:
    """No connection was made: no byte of the request left the caller."""

    detail: str


@dataclass(frozen=True, slots=True)
class Broken:
    """The request left the caller, but no whole outcome came back."""

    detail: str


Reply: TypeAlias = OutcomeBody | NotSent | Broken


class NextStep(Enum):
    """What the caller library does after a reply."""

    FINISH = "finish"
    RESEND = "resend"
    RESEND_ELSEWHERE = "resend_elsewhere"
    ASK_OUTCOME = "ask_outcome"


_STEP_BY_ACTION = {
    CallerAction.FIX_REQUEST: NextStep.FINISH,
    CallerAction.RESEND: NextStep.RESEND,
    CallerAction.RESEND_ELSEWHERE: NextStep.RESEND_ELSEWHERE,
    CallerAction.ASK_OUTCOME: NextStep.ASK_OUTCOME,
    CallerAction.DO_NOT_RESEND: NextStep.FINISH,
}


def next_step(reply: Reply, *, idempotent: bool) -> NextStep:
    """Decide what to do after a reply.

    A call is sent again only if it certainly did not run, or may run more than
    once. Otherwise its outcome is asked for.

    Parameters
    ----------
    idempotent : bool
        Whether the caller knows that the profile is idempotent.
    """
    if isinstance(reply, NotSent):
        return NextStep.RESEND_ELSEWHERE
    if isinstance(reply, Broken):
        return NextStep.RESEND_ELSEWHERE if idempotent else NextStep.ASK_OUTCOME
    if reply.status is OutcomeStatus.ANSWERED or reply.action is None:
        return NextStep.FINISH
    step = _STEP_BY_ACTION[reply.action]
    if step is NextStep.ASK_OUTCOME:
        return _step_when_running(reply, idempotent)
    if reply.ran is Ran.NO or idempotent:
        return step
    return NextStep.FINISH


def _step_when_running(reply: OutcomeBody, idempotent: bool) -> NextStep:
    if reply.reason is RefusalReason.OUTCOME_UNKNOWN and not idempotent:
        return NextStep.FINISH
    return NextStep.RESEND_ELSEWHERE if idempotent else NextStep.ASK_OUTCOME


def next_step_after_asking(reply: Reply) -> NextStep:
    """Decide what to do after asking for the outcome of a call.

    Without a record of the call, it is sent again under the same request id:
    whichever of the two sends is recorded first is the only one that runs.
    """
    if not isinstance(reply, OutcomeBody):
        return NextStep.ASK_OUTCOME
    if reply.reason is RefusalReason.NOT_FOUND:
        return NextStep.RESEND_ELSEWHERE
    if reply.ran is not Ran.UNKNOWN:
        return next_step(reply, idempotent=False)
    if reply.reason is RefusalReason.OUTCOME_UNKNOWN:
        return NextStep.FINISH
    return NextStep.ASK_OUTCOME
