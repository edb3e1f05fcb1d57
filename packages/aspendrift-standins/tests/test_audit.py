"""Tests of the audit of reported outcomes against recorded runs."""

from __future__ import annotations

import dataclasses

import pytest

from aspendrift_client.caller import CallResult, NoOutcome
from aspendrift_model.states import OutcomeStatus, Ran, StageKind
from aspendrift_model.wire_caller import OutcomeBody
from aspendrift_standins.audit import ViolationKind, audit
from aspendrift_standins.expected import AnswerFault, ExpectedStage
from aspendrift_standins.load import RequestRecord
from aspendrift_standins.load_plan import LoadAccount, LoadProfile, PlannedRequest
from aspendrift_standins.runs import RunEvent, RunKind

PROFILE = LoadProfile(
    "deposit", (ExpectedStage("call", StageKind.CALL),), 1_000, idempotent=False
)
REQUEST = PlannedRequest("r1", 0.0, PROFILE, LoadAccount("a", "t"), "text", False)
ANSWERED = CallResult(OutcomeBody("r1", OutcomeStatus.ANSWERED, Ran.YES), 1)
NOT_RUN = CallResult(OutcomeBody("r1", OutcomeStatus.REFUSED, Ran.NO), 1)
UNKNOWN = CallResult(NoOutcome(Ran.UNKNOWN, "cut"), 1)


def record(result: CallResult | None) -> RequestRecord:
    return RequestRecord(REQUEST, result, None, 0.1)


def ran(attempt_id: str, kind: RunKind = RunKind.RAN) -> RunEvent:
    return RunEvent(kind, "r1", attempt_id, "call")


@pytest.mark.parametrize(
    ("result", "events", "kinds"),
    [
        (ANSWERED, [ran("a1")], []),
        (UNKNOWN, [ran("a1")], []),
        (NOT_RUN, [], []),
        (NOT_RUN, [ran("a1", RunKind.ARRIVED)], []),
        (NOT_RUN, [ran("a1")], [ViolationKind.FALSE_NOT_RUN]),
        (ANSWERED, [ran("a1"), ran("a2")], [ViolationKind.DOUBLED]),
        (ANSWERED, [ran("a1"), ran("a1")], [ViolationKind.DOUBLED]),
        (None, [ran("a1"), ran("a2")], [ViolationKind.DOUBLED]),
    ],
)
def test_reported_outcomes_and_runs_are_compared(
    result: CallResult | None, events: list[RunEvent], kinds: list[ViolationKind]
) -> None:
    found = audit([record(result)], events)
    assert [violation.kind for violation in found] == kinds


def test_idempotent_request_may_run_twice() -> None:
    profile = dataclasses.replace(PROFILE, idempotent=True)
    request = dataclasses.replace(REQUEST, profile=profile)
    assert (
        audit([RequestRecord(request, ANSWERED, None, 0)], [ran("a"), ran("b")]) == []
    )


def test_bad_answers_of_send_and_resend_are_found() -> None:
    cut = AnswerFault(True, "a", "ab")
    crossed = AnswerFault(False, "x", "ab")
    found = audit(
        [RequestRecord(REQUEST, ANSWERED, cut, 0, resent_fault=crossed)], [ran("a1")]
    )
    assert [v.kind for v in found] == [ViolationKind.CUT, ViolationKind.CROSSED]


def test_false_not_run_of_a_resend_is_found_unless_it_may_run_again() -> None:
    with_resend = dataclasses.replace(record(ANSWERED), resent=NOT_RUN)
    found = audit([with_resend], [ran("a1")])
    assert [v.kind for v in found] == [ViolationKind.FALSE_NOT_RUN]
    profile = dataclasses.replace(PROFILE, idempotent=True)
    request = dataclasses.replace(REQUEST, profile=profile)
    with_resend = dataclasses.replace(with_resend, request=request)
    assert audit([with_resend], [ran("a1")]) == []
    reported_first = dataclasses.replace(with_resend, result=NOT_RUN, resent=None)
    assert len(audit([reported_first], [ran("a1")])) == 1
