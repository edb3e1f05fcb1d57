"""Tests of the refusal of requests whose stages can't be completed in time."""

from __future__ import annotations

import random

import pytest

from aspendrift_model.ids import PoolName
from aspendrift_model.routes import (
    PieceLimits,
    PoolSpec,
    RequestKind,
    Route,
    StageSpec,
    WeightedPool,
)
from aspendrift_policy.chain_admission import (
    Admit,
    Chain,
    ChainAdmission,
    HoldChain,
    PoolMeasures,
    PoolMeter,
    RankLoad,
    RefuseChain,
)
from aspendrift_policy.chain_shares import StartShares

FIRST, SECOND = PoolName("first"), PoolName("second")
LIMITS = PieceLimits(1, 2, 10, 0.15, 0.013, 1e6, 4.0)
POOLS = {name: PoolSpec(name, 10, LIMITS) for name in (FIRST, SECOND)}
TARGETS = {FIRST: 3, SECOND: 3}
ROUTE = Route(
    name="r",
    host="h",
    prefix="/",
    kind=RequestKind.STREAMING,
    timeout_s=15.0,
    objective_s=1.5,
    priority=1,
    pools=(WeightedPool(PoolName("model"), 1.0),),
    max_attempts=1,
    stages=(StageSpec(0, FIRST, (), 8e3), StageSpec(1, SECOND, (0,), 6e4)),
)


def admission():
    return ChainAdmission(random.Random(0))


def chain(rank=1, n_pieces=(1, 8)):
    return Chain(ROUTE, n_pieces, rank, TARGETS, POOLS)


def decide(controller, rank=1, remaining_s=6.0, n_pieces=(1, 8), now=0.0):
    return controller.decide(chain(rank, n_pieces), remaining_s, now)


def measures(*loads, completed_per_s=50.0):
    return PoolMeasures(completed_per_s, tuple(RankLoad(*each) for each in loads))


def test_idle_chain_is_predicted_from_its_work():
    verdict = decide(admission())
    assert isinstance(verdict, Admit)
    assert verdict.predicted_s == pytest.approx(0.163 + 0.254)


def test_request_that_cannot_be_done_in_time_is_refused_at_once():
    controller = admission()
    controller.update_measures(SECOND, measures((1, 600, 20.0)), 0.0)
    verdict = decide(controller)
    assert isinstance(verdict, RefuseChain)
    assert verdict.predicted_s > 6.0


def test_higher_rank_is_admitted_beside_a_backlog_of_a_lower_one():
    controller = admission()
    controller.update_measures(SECOND, measures((0, 10, 10.0), (2, 600, 40.0)), 0.0)
    assert isinstance(decide(controller, rank=0), Admit)
    assert isinstance(decide(controller, rank=2), RefuseChain)


def test_wait_of_a_rank_grows_with_arrivals_of_higher_ranks():
    calm = measures((0, 0, 0.0), (2, 40, 5.0))
    busy = measures((0, 0, 45.0), (2, 40, 5.0))
    assert busy.wait_s(2, 100.0) > 5 * calm.wait_s(2, 100.0)
    assert busy.wait_s(0, 100.0) == 0.0


def test_stage_without_pieces_does_not_count():
    controller = admission()
    controller.update_measures(FIRST, measures((1, 600, 20.0)), 0.0)
    assert isinstance(decide(controller, n_pieces=(0, 8)), Admit)
    assert isinstance(decide(controller, n_pieces=(1, 8)), RefuseChain)


def test_outdated_measurements_are_ignored():
    controller = admission()
    controller.update_measures(SECOND, measures((1, 600, 20.0)), 0.0)
    assert isinstance(decide(controller, now=2.0), Admit)


def test_retry_times_of_callers_differ_within_bounds():
    controller = admission()
    controller.update_measures(SECOND, measures((1, 600, 20.0)), 0.0)
    retries = [decide(controller).retry_after_s for _ in range(50)]
    assert min(retries) >= 0.35
    assert max(retries) <= 5.2
    assert max(retries) - min(retries) > 1.0


def test_retry_time_follows_the_current_wait():
    controller = admission()
    assert controller.retry_after_s(chain(), 0.0) < 1.0
    controller.update_measures(SECOND, measures((1, 100, 20.0)), 0.0)
    assert 1.4 < controller.retry_after_s(chain(), 0.0) < 2.6
    assert controller.retry_after_s(chain(n_pieces=(1, 0)), 0.0) < 1.0


def test_meter_measures_the_throughput_of_a_saturated_pool():
    meter = PoolMeter()
    now = 0.0
    for _ in range(200):
        now += 0.05
        meter.record_arrivals(1, 4, now)
        meter.record_completions(2, now)
        found = meter.measures({1: 30}, now)
    assert found.completed_per_s == pytest.approx(40.0, rel=0.1)
    (load,) = found.loads
    assert load.arrivals_per_s == pytest.approx(80.0, rel=0.1)


def test_rate_is_right_as_soon_as_a_surge_fills_an_idle_pool():
    meter = PoolMeter()
    meter.record_completions(4, 0.0)
    found = None
    for step in range(1, 13):
        now = 60.0 + step * 0.05
        meter.record_completions(2, now)
        found = meter.measures({1: 30}, now)
    assert found.completed_per_s == pytest.approx(40.0, rel=0.1)


def test_meter_of_a_pool_without_a_backlog_reports_no_limit():
    meter = PoolMeter()
    meter.record_completions(1, 0.0)
    assert meter.measures({1: 0}, 5.0).completed_per_s == 0.0


def test_backlog_counts_work_that_precedes_a_rank():
    controller = admission()
    controller.update_measures(SECOND, measures((0, 2, 0.0), (2, 100, 0.0)), 0.0)
    assert not controller.is_backlogged(SECOND, POOLS[SECOND], 3, 0, 0.0)
    assert controller.is_backlogged(SECOND, POOLS[SECOND], 3, 2, 0.0)
    assert not controller.is_backlogged(SECOND, POOLS[SECOND], 3, 2, 9.0)


def decide_start(controller, now=0.0, held_s=0.0, objective_left_s=1.2):
    return controller.decide_start(chain(), 7, objective_left_s, 6.0, held_s, now)


def rationed(share, on_time=(), n_waiting=0):
    return PoolMeasures(
        0.0,
        (RankLoad(1, n_waiting, 10.0),),
        100.0,
        on_time=on_time,
        shares=StartShares({1: share}, {(1, 8): share / 2}),
    )


def test_daemons_with_the_same_measures_start_the_share_of_their_chains():
    """Guards against all daemons starting or refusing at the same moment."""
    verdicts = []
    for seed in range(60):
        controller = ChainAdmission(random.Random(seed))
        controller.update_measures(SECOND, rationed(0.4), 0.0)
        verdicts += [decide_start(controller) for _ in range(10)]
    share = sum(isinstance(each, Admit) for each in verdicts) / len(verdicts)
    assert share == pytest.approx(0.4, abs=0.06)
    retries = [each.retry_after_s for each in verdicts if isinstance(each, RefuseChain)]
    assert max(retries) - min(retries) > 1.0


def test_chain_that_just_misses_its_objective_is_held_shortly_and_starts_late():
    controller = admission()
    controller.update_measures(SECOND, rationed(1.0, on_time=((1, 20),)), 0.0)
    verdict = decide_start(controller, objective_left_s=0.5)
    assert isinstance(verdict, HoldChain)
    assert 0.0 < verdict.poll_s <= 0.1
    assert isinstance(decide_start(controller, 0.0, 0.2, 0.5), Admit)


def test_chain_that_would_be_late_is_refused_while_others_need_the_capacity():
    controller = admission()
    controller.update_measures(SECOND, rationed(0.9, on_time=((1, 300),)), 0.0)
    assert isinstance(decide_start(controller), RefuseChain)


def test_overdue_work_does_not_delay_a_chain_that_can_be_on_time():
    controller = admission()
    controller.update_measures(SECOND, rationed(1.0, n_waiting=500), 0.0)
    assert isinstance(decide_start(controller), Admit)


def test_refused_work_is_reported_once_with_the_next_job():
    controller = admission()
    controller.update_measures(SECOND, rationed(0.0), 0.0)
    assert isinstance(decide_start(controller), RefuseChain)
    assert isinstance(decide_start(controller), RefuseChain)
    assert controller.take_refused(SECOND, 1, 7, 0.0) == 16.0
    assert controller.take_refused(SECOND, 1, 7, 0.0) == 0.0


def test_load_of_an_owner_of_an_earlier_version_still_refuses_what_cannot_be_done():
    """Guards against admitting everything while versions are mixed."""
    controller = admission()
    controller.update_measures(SECOND, measures((1, 600, 20.0)), 0.0)
    assert isinstance(decide_start(controller), RefuseChain)
