"""Tests of the order of stage jobs of several ranks, in virtual time."""

from __future__ import annotations

import heapq
import random

import pytest

from aspendrift_model.ids import AttemptId, PoolName, TargetId, ZoneName
from aspendrift_model.pieces import Handle, PieceFailure, PieceId, PieceWork
from aspendrift_model.routes import PieceLimits
from aspendrift_model.target_entries import TargetEntry, TargetKey
from aspendrift_policy.stage_scheduler import JobId, StageJob, StageScheduler

LIMITS = PieceLimits(
    n_slots=1,
    n_queued=2,
    batch=20,
    call_s=0.15,
    piece_s=0.0065,
    result_memory_bytes=18e6,
    result_ttl_s=4.0,
)
N_PIECES = 16


def targets(n):
    return [
        TargetEntry(
            TargetKey(TargetId(f"t{number}"), 1),
            PoolName("p"),
            f"t{number}:1",
            ZoneName("z1"),
            1,
            False,
        )
        for number in range(n)
    ]


def job(name, rank, objective_at, n_pieces=N_PIECES):
    works = tuple(
        PieceWork(PieceId(AttemptId(name), 0, piece), "k", ())
        for piece in range(n_pieces)
    )
    return StageJob(JobId(name), works, 0.0, rank, objective_at, objective_at + 10.0)


def make_scheduler(n_targets=1):
    scheduler = StageScheduler(LIMITS)
    scheduler.set_targets(targets(n_targets))
    return scheduler


def order(scheduler, now=0.0):
    """Return the names of the jobs in the order in which they start."""
    names = []
    while calls := scheduler.plan(now):
        for call in calls:
            names += [work.piece_id.attempt_id for work in call.works]
            end(scheduler, call, now + call.expected_s)
        now += max(call.expected_s for call in calls)
    return list(dict.fromkeys(names))


def end(scheduler, call, now):
    handles = [Handle(f"t/{call.call_id}.{n}") for n, _ in enumerate(call.works)]
    updates, _ = scheduler.ended(call.call_id, call.target.key, handles, now)
    scheduler.record_freed(handles)
    return updates


def test_lower_rank_goes_first_if_the_higher_rank_meets_its_objective_anyway():
    scheduler = make_scheduler()
    for number in range(3):
        scheduler.submit(job(f"high{number}", 0, 5.0))
    scheduler.submit(job("low", 2, 0.5))
    assert order(scheduler)[0] == "low"


def test_higher_rank_goes_first_if_not_all_can_meet_their_objectives():
    scheduler = make_scheduler()
    scheduler.submit(job("low", 2, 0.4, n_pieces=20))
    scheduler.submit(job("high", 0, 0.5, n_pieces=20))
    assert order(scheduler) == ["high", "low"]


def test_lower_rank_that_does_not_delay_the_higher_goes_before_one_that_does():
    scheduler = make_scheduler()
    scheduler.submit(job("high", 0, 0.9, n_pieces=20))
    scheduler.submit(job("large", 2, 0.8, n_pieces=60))
    scheduler.submit(job("small", 2, 0.85, n_pieces=20))
    assert order(scheduler) == ["small", "high", "large"]


class _PoolLoad:
    """Jobs of two ranks that arrive at random at a pool with some load."""

    def __init__(self, utilization, seed):
        self.scheduler = make_scheduler(2)
        self.rng = random.Random(seed)
        capacity_per_s = 2 * LIMITS.batch / LIMITS.full_call_s
        self.arrivals_per_s = utilization * capacity_per_s / N_PIECES
        self.objectives = {}
        self.on_time = {0: 0, 2: 0}
        self.n_jobs = {0: 0, 2: 0}

    def play(self, duration_s):
        at, number = 0.0, 0
        events = []
        while at < duration_s:
            at += self.rng.expovariate(self.arrivals_per_s)
            rank = self.rng.choice((0, 2))
            objective_s = 1.3 if rank == 0 else 1.1
            number += 1
            events.append((at, number, job(f"{number}", rank, at + objective_s)))
        heapq.heapify(events)
        while events:
            now, _, event = heapq.heappop(events)
            if isinstance(event, StageJob):
                self.n_jobs[event.rank] += 1
                self.objectives[event.job_id] = (event.rank, event.objective_at)
                self.scheduler.submit(event)
            else:
                self._record(end(self.scheduler, event, now), now)
            for call in self.scheduler.plan(now):
                number += 1
                took_s = call.expected_s * self.rng.uniform(0.9, 1.1)
                heapq.heappush(events, (now + took_s, number, call))

    def _record(self, updates, now):
        for update in updates:
            rank, objective_at = self.objectives[update.job_id]
            if update.is_done and now <= objective_at:
                self.on_time[rank] += 1


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_rank_misses_its_objectives_while_the_pool_can_meet_all(seed):
    load = _PoolLoad(0.85, seed)
    load.play(60.0)
    for rank in (0, 2):
        assert load.on_time[rank] >= 0.9 * load.n_jobs[rank]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_the_lower_rank_bears_a_load_beyond_the_capacity(seed):
    load = _PoolLoad(1.3, seed)
    load.play(60.0)
    assert load.on_time[0] >= 0.9 * load.n_jobs[0]
    assert load.on_time[2] < 0.9 * load.n_jobs[2]


def test_started_job_that_is_overdue_goes_after_those_that_can_be_on_time():
    """Guards against a backlog of overdue jobs that makes every new one overdue."""
    scheduler = make_scheduler()
    scheduler.submit(job("overdue", 0, 0.3, n_pieces=30))
    (call,) = scheduler.plan(0.0)
    end(scheduler, call, 0.28)
    scheduler.submit(job("new", 2, 1.2, n_pieces=20))
    (call,) = scheduler.plan(0.28)
    assert {work.piece_id.attempt_id for work in call.works} == {"new"}


def test_overdue_job_is_given_up_while_the_pool_has_no_capacity_for_it():
    """Guards against inputs that overdue jobs hold until their caller times out."""
    scheduler = make_scheduler()
    now, given_up = 0.0, []
    scheduler.submit(job("overdue", 0, 0.0))
    for number in range(8):
        for part in ("a", "b"):
            scheduler.submit(job(f"{part}{number}", 0, now + 1.5, n_pieces=20))
        given_up += scheduler.check_deadlines(now)
        calls = scheduler.plan(now)
        now += 0.28
        for call in calls:
            end(scheduler, call, now)
    assert [(each.job_id, each.failure) for each in given_up] == [
        ("overdue", PieceFailure.OVERDUE)
    ]


def test_overdue_job_is_not_given_up_while_a_call_uses_its_inputs():
    """Guards against inputs that are freed under a slow call that runs on.

    The pieces of such a call are queued again while it is open.
    """
    scheduler = make_scheduler(2)
    scheduler.submit(job("slow", 0, 1.0, n_pieces=20))
    (slow_call,) = scheduler.plan(0.0)
    now, updates = 0.0, []
    for number in range(20):
        for part in ("a", "b", "c"):
            scheduler.submit(job(f"{part}{number}", 0, now + 0.9, n_pieces=20))
        updates += scheduler.check_deadlines(now)
        calls = scheduler.plan(now)
        now += 0.28
        for call in calls:
            if not any(work.piece_id.attempt_id == "slow" for work in call.works):
                end(scheduler, call, now)
    assert "slow" not in {each.job_id for each in updates}
    assert end(scheduler, slow_call, now)[0].job_id == "slow"
