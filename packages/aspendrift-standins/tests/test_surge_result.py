"""Tests of the figures of the surge measurement."""

from __future__ import annotations

import dataclasses
from pathlib import Path

import pytest

from aspendrift_client.caller import CallResult
from aspendrift_model.states import OutcomeStatus, Ran
from aspendrift_model.wire_caller import OutcomeBody, StageTiming
from aspendrift_standins.load import RequestRecord
from aspendrift_standins.load_plan import PlannedRequest
from aspendrift_standins.measure_surge import SurgeResult
from aspendrift_standins.report import draw_report
from aspendrift_standins.surge_result import ScenarioCollector
from aspendrift_standins.surge_scenarios import SCENARIOS, Scenario

STEADY = next(each for each in SCENARIOS if each.name == "steady")
SURGE = next(each for each in SCENARIOS if each.name == "hour 3x")
OUTAGE = next(each for each in SCENARIOS if each.outage_s)


def record(scenario: Scenario, account: int, answered: bool) -> RequestRecord:
    deployment = scenario.deployment
    profile = deployment.load_profiles()[0]
    accounts = deployment.load_accounts({})
    request = PlannedRequest("r", 0.0, profile, accounts[account], "x", False)
    outcome = OutcomeBody(
        "r",
        OutcomeStatus.ANSWERED if answered else OutcomeStatus.REFUSED,
        Ran.YES if answered else Ran.NO,
        output="x" if answered else None,
        stages=(StageTiming("generate", "e1", 1, 0.0, 1200.0, 900.0),),
    )
    return RequestRecord(request, CallResult(outcome, 1), None, 1.5)


def test_attainment_cost_and_small_accounts_are_counted() -> None:
    collector = ScenarioCollector(STEADY, "aspendrift", 2.0)
    collector.add(record(STEADY, 0, True), 0.5)
    for account, answered in ((0, True), (1, False), (2, True), (3, False)):
        collector.add(record(STEADY, account, answered), 3.0)
    figures = collector.figures(10.0)
    assert figures.n_requests == 4
    assert figures.attainment == 0.5
    assert figures.small_attainment == 0.5
    assert figures.engine_s_per_answer == pytest.approx(4 * 1.2 / 3 / 2)
    assert figures.back_after_s is None


def test_bound_is_what_the_capacity_allows() -> None:
    overloaded = dataclasses.replace(STEADY, load=2.0)
    collector = ScenarioCollector(overloaded, "aspendrift", 0.0)
    n_offered = int(2.0 * STEADY.deployment.generation_capacity_per_s * 10.0)
    for _ in range(n_offered):
        collector.add(record(overloaded, 0, False), 1.0)
    figures = collector.figures(10.0)
    assert figures.bound == pytest.approx(0.5, abs=0.01)
    assert figures.bound < figures.bound_with_tail < 1.0


def test_recovery_is_counted_from_the_end_of_the_outage() -> None:
    collector = ScenarioCollector(OUTAGE, "aspendrift", 2.0)
    for second in range(44):
        for _ in range(10):
            is_up = second < 2 or second >= 34
            collector.add(record(OUTAGE, 0, is_up), second + 0.5)
    assert collector.figures(42.0).back_after_s == 2


def test_report_draws_every_figure(tmp_path: Path) -> None:
    runs = []
    for strategy in ("aspendrift", "round_robin", "random_limit"):
        for scenario, sent_at_s in ((SURGE, 1.0), (STEADY, 2.0)):
            collector = ScenarioCollector(scenario, strategy, 0.0)
            collector.add(record(scenario, 0, True), sent_at_s)
            runs.append(collector.figures(10.0))
    paths = draw_report(SurgeResult(10.0, 1, tuple(runs)), tmp_path)
    drawn = [path for path in paths if path.suffix == ".svg"]
    assert len(drawn) == 4
    assert all("<svg" in path.read_text() for path in drawn)
    table = (tmp_path / "surge-figures.md").read_text()
    assert "| steady | round_robin | 1 | 1.000 |" in table
