"""Decides whether a call may be resent after a reply."""

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
    "next_step_after_query",
]


@dataclass(frozen=True, slots=True)
class NotSent:
    """No connection was established; no byte of the request left the caller."""

    detail: str


@dataclass(frozen=True, slots=True)
class Broken:
    """The request left the caller, but no complete outcome came back."""

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

    A call is resent only if it certainly did not run or is idempotent. Otherwise
    its outcome is queried.

    Parameters
    ----------
    idempotent : bool
        Whether the caller knows the call to be idempotent.
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


def next_step_after_query(reply: Reply) -> NextStep:
    """Decide what to do after a query for the outcome of a call.

    A call without a record is resent with the same request id: whichever attempt
    is recorded first is the only one that runs.
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
