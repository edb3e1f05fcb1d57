"""Tests of the decision to resend a call."""

from __future__ import annotations

import itertools

import pytest

from aspendrift_client.resend import Broken, NextStep, NotSent, next_step
from aspendrift_model.outcomes import REFUSAL_RULES
from aspendrift_model.states import OutcomeStatus, Ran, RefusalReason
from aspendrift_model.wire_caller import OutcomeBody

RESENDS = {NextStep.RESEND, NextStep.RESEND_ELSEWHERE}


def outcome(reason: RefusalReason, ran: Ran) -> OutcomeBody:
    status = OutcomeStatus.REFUSED if ran is Ran.NO else OutcomeStatus.FAILED
    action = REFUSAL_RULES[reason].action
    return OutcomeBody("r", status, ran, reason=reason, action=action)


@pytest.mark.parametrize(
    ("reason", "ran"), itertools.product(RefusalReason, (Ran.YES, Ran.UNKNOWN))
)
def test_call_that_may_have_run_is_never_sent_again(
    reason: RefusalReason, ran: Ran
) -> None:
    assert next_step(outcome(reason, ran), idempotent=False) not in RESENDS


def test_broken_call_is_queried_unless_idempotent() -> None:
    assert next_step(Broken("x"), idempotent=False) is NextStep.ASK_OUTCOME
    assert next_step(Broken("x"), idempotent=True) is NextStep.RESEND_ELSEWHERE


def test_unsent_call_is_retried_elsewhere() -> None:
    assert next_step(NotSent("x"), idempotent=False) is NextStep.RESEND_ELSEWHERE


@pytest.mark.parametrize(
    ("reason", "step"),
    [
        (RefusalReason.OVERLOADED, NextStep.RESEND),
        (RefusalReason.LEAVING, NextStep.RESEND_ELSEWHERE),
        (RefusalReason.BAD_REQUEST, NextStep.FINISH),
        (RefusalReason.POISON, NextStep.FINISH),
    ],
)
def test_next_step_after_a_refusal_as_not_run(
    reason: RefusalReason, step: NextStep
) -> None:
    assert next_step(outcome(reason, Ran.NO), idempotent=False) is step


def test_answer_ends_the_call() -> None:
    answered = OutcomeBody("r", OutcomeStatus.ANSWERED, Ran.YES, output="x")
    assert next_step(answered, idempotent=True) is NextStep.FINISH
