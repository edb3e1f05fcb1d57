"""Tests of the learned times of stages."""

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
from aspendrift_policy.stage_times import CallTimes, StageTimeEstimates

POOL = PoolName("p")
LIMITS = PieceLimits(1, 2, 4, 0.15, 0.03, 1e6, 4.0)
POOLS = {POOL: PoolSpec(POOL, 10, LIMITS)}
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
    stages=(StageSpec(0, POOL, (), 8e3),),
)


def test_unknown_stage_takes_as_long_as_a_full_call():
    times = StageTimeEstimates().times(ROUTE, 0, POOLS)
    assert times.of(0) == pytest.approx(0.27)


def test_ranks_are_estimated_separately():
    stage_times = StageTimeEstimates()
    for _ in range(20):
        stage_times.record(POOL, 0, 0.3)
        stage_times.record(POOL, 2, 2.0)
    assert stage_times.times(ROUTE, 0, POOLS).of(0) == pytest.approx(0.3)
    assert stage_times.times(ROUTE, 2, POOLS).of(0) == pytest.approx(2.0)
    assert not stage_times.is_congested(POOL, 0, POOLS)
    assert stage_times.is_congested(POOL, 2, POOLS)
    assert not stage_times.is_congested(POOL, 1, POOLS)


def test_call_times_are_learned_where_the_configured_ones_are_half_of_them():
    """Guards against objectives of stage jobs that rest on configured times."""
    times = CallTimes(LIMITS)
    rng = random.Random(0)
    for _ in range(200):
        n_pieces = rng.randint(1, LIMITS.batch)
        actual_s = 2 * LIMITS.call_duration_s(n_pieces)
        times.record(n_pieces, actual_s * rng.uniform(0.9, 1.1))
    for n_pieces in (1, LIMITS.batch):
        assert times.call_duration_s(n_pieces) == pytest.approx(
            2 * LIMITS.call_duration_s(n_pieces), rel=0.1
        )
