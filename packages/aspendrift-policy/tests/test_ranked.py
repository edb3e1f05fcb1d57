"""Tests of chains without rationing: they are served as before it existed."""

from __future__ import annotations

import random

from aspendrift_model.routes import PieceLimits
from aspendrift_policy.chain_admission import Admit, PoolMeasures
from aspendrift_policy.ranked import RankedAdmission, RankedScheduler
from aspendrift_policy.stage_scheduler import StageScheduler

from .test_chain_admission import FIRST, chain
from .test_stage_scheduler_ranks import job, targets

LIMITS = PieceLimits(1, 2, 20, 0.15, 0.0065, 18e6, 4.0)


def n_given_up(scheduler):
    """Submit more jobs than a target completes; return how many are given up."""
    scheduler.set_targets(targets(1))
    for number in range(40):
        scheduler.submit(job(f"{number}", 0, 0.1 + number * 0.02, n_pieces=20))
    scheduler.plan(0.0)
    return len(scheduler.check_deadlines(3.0))


def test_overdue_job_is_served_until_its_deadline():
    assert n_given_up(RankedScheduler(LIMITS)) == 0


def test_owner_tells_no_capacity_so_that_other_daemons_ration_nothing():
    ranked, rationed = RankedScheduler(LIMITS), StageScheduler(LIMITS)
    for each in (ranked, rationed):
        each.set_targets(targets(2))
    assert ranked.capacity_per_s() == 0.0
    assert rationed.capacity_per_s() > 0.0


def test_chain_that_is_late_but_in_time_for_its_caller_starts():
    admission = RankedAdmission(random.Random(0))
    admission.update_measures(FIRST, PoolMeasures(10.0, ()), 0.0)
    decision = admission.decide_start(chain(), 0, -1.0, 5.0, 0.0, 0.1)
    assert isinstance(decision, Admit)
