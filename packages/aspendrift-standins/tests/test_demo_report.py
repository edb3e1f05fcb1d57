"""Tests of the demo's report and verdict."""

from __future__ import annotations

import pytest

from aspendrift_standins.demo_report import DemoResult, report_lines, verdict_lines
from aspendrift_standins.expected import AnswerFault
from aspendrift_standins.load_report import LatencyFigures, LoadSummary, StageCost

FIGURES = LatencyFigures(5, 1.0, 2.0, 3.0, 4.0)


def summary(**changes: object) -> LoadSummary:
    values: dict[str, object] = {
        "n_requests": 5,
        "n_answered": 5,
        "n_attained": 5,
        "attainment": 1.0,
        "n_crossed": 0,
        "n_cut": 0,
        "n_abandoned": 0,
        "unknown_share": 0.0,
        "refusals_by_reason": {"overloaded": 2},
        "failures_by_reason": {},
        "attainment_by_profile": {"briefing": 1.0},
        "latency_by_profile": {"briefing": FIGURES},
        "latency_by_account": {},
        "queue_by_stage": {"encode": FIGURES},
        "held_by_stage": {"encode": FIGURES},
        "cost_by_stage": {"encode": StageCost(1.5, 0.5, 5)},
        "first_token": FIGURES,
        "token_gap": FIGURES,
        "sent_late": FIGURES,
    }
    return LoadSummary(**(values | changes))  # type: ignore[arg-type]


def test_complete_answers_pass_and_refusals_are_shown() -> None:
    result = DemoResult(summary(), {"r1": 1})
    assert result.passed
    text = "\n".join(report_lines(result))
    for word in ("briefing", "encode", "overloaded", "first token"):
        assert word in text


@pytest.mark.parametrize(
    ("changes", "runs_by_id"),
    [
        ({"n_cut": 1}, {}),
        ({"n_crossed": 1}, {}),
        ({}, {"r1": 2}),
        ({"n_answered": 0}, {}),
        ({"latency_by_profile": {}}, {}),
    ],
    ids=["cut", "crossed", "doubled", "none answered", "unanswered profile"],
)
def test_any_fault_of_the_load_fails(
    changes: dict[str, object], runs_by_id: dict[str, int]
) -> None:
    result = DemoResult(summary(**changes), runs_by_id)
    assert not result.passed
    assert "FAILED" in "\n".join(verdict_lines(result))


def test_wrong_answer_of_the_command_line_fails() -> None:
    result = DemoResult(summary(), {}, AnswerFault(True, "a", "ab"))
    assert not result.passed
