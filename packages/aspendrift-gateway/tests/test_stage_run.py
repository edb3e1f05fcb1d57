"""Tests of the stages of one request: which results are used and which are freed."""

from __future__ import annotations

import asyncio
import random

import pytest

from aspendrift_daemon.events import EventHub
from aspendrift_gateway.stage_run import (
    StageDemand,
    StagesCompleted,
    StagesFailed,
    StagesRunner,
)
from aspendrift_model.ids import AttemptId, DaemonId, PoolName
from aspendrift_model.pieces import Handle, PieceFailure
from aspendrift_model.routes import RequestKind, StageSpec
from aspendrift_policy.chain_admission import ChainAdmission
from aspendrift_policy.stage_plan import StagePlan
from aspendrift_policy.stage_scheduler import JobId, JobUpdate
from aspendrift_policy.stage_times import StageTimeEstimates
from aspendrift_standins.virtual_time import VirtualClock, run_virtual

from .conftest import route

FIRST, SECOND = PoolName("first"), PoolName("second")
ROUTE = route(
    RequestKind.STREAMING,
    stages=(StageSpec(0, FIRST, (), 8e3), StageSpec(1, SECOND, (0,), 6e4)),
)


class FakeDispatcher:
    """Owners that complete every piece after a delay, or fail as a test defines."""

    def __init__(self):
        self.submitted = []
        self.freed = []
        self.cancelled = []
        self.failures = []
        self.completes_twice = False
        self._sequence = 0

    def new_job_id(self):
        self._sequence += 1
        return JobId(f"j{self._sequence}")

    def submit(self, pool, job, listener):
        self.submitted.append((pool, job))
        loop = asyncio.get_running_loop()
        failure = self.failures.pop(0) if self.failures else None
        if failure is not None:
            update = JobUpdate(job.job_id, failure=failure)
            loop.call_later(0.1, listener, update)
            return DaemonId("d1")
        loop.call_later(0.1, listener, self._completed(job, "a"))
        if self.completes_twice:
            duplicate = self._completed(job, "b")
            loop.call_later(
                0.05, listener, JobUpdate(job.job_id, duplicate.results[:1])
            )
        return DaemonId("d1")

    def _completed(self, job, owner):
        results = tuple(
            (work.piece_id, Handle(f"{owner}/{job.job_id}.{work.piece_id.piece}"))
            for work in job.works
        )
        return JobUpdate(job.job_id, results, is_done=True)

    def free(self, pool, handles):
        self.freed += handles

    def cancel(self, job_id):
        self.cancelled.append(job_id)

    def done(self, job_id):
        return None

    def zone_of(self, handle):
        return None

    def n_targets(self, pool):
        return 1


class Backlog(ChainAdmission):
    """Pools with a backlog until a given time."""

    def __init__(self, until):
        super().__init__(random.Random(0))
        self._until = until or 0.0

    def is_backlogged(self, pool, spec, n_targets, rank, now):
        return now < self._until


@pytest.fixture
def run_stages():
    def run(
        dispatcher, n_pieces=(1, 2), deadline_s=10.0, objective_s=5.0, backlog=None
    ):
        async def main():
            clock = VirtualClock(asyncio.get_running_loop())
            runner = StagesRunner(
                dispatcher,
                StageTimeEstimates(),
                Backlog(backlog),
                clock,
                EventHub(),
                random.Random(0),
            )
            plan = StagePlan(AttemptId("a1"), ROUTE.stages, n_pieces, "key")
            demand = StageDemand(ROUTE, {}, 0, objective_s, deadline_s)
            outcome = await runner.run(plan, demand)
            run.ended_at = clock.monotonic()
            return plan, outcome

        return run_virtual(main())

    return run


def test_stages_run_in_order_and_inner_results_are_freed(run_stages):
    dispatcher = FakeDispatcher()
    plan, outcome = run_stages(dispatcher)
    assert outcome == StagesCompleted()
    assert [pool for pool, _ in dispatcher.submitted] == [FIRST, SECOND]
    assert dispatcher.freed == ["a/j1.0"]
    assert plan.final_inputs() == ["a/j2.0", "a/j2.1"]


def test_extra_result_of_a_piece_completed_twice_is_freed(run_stages):
    dispatcher = FakeDispatcher()
    dispatcher.completes_twice = True
    plan, outcome = run_stages(dispatcher, n_pieces=(0, 2))
    assert outcome == StagesCompleted()
    assert plan.final_inputs() == ["b/j1.0", "a/j1.1"]
    assert dispatcher.freed == ["a/j1.0"]


def test_lost_inputs_are_recomputed(run_stages):
    dispatcher = FakeDispatcher()
    dispatcher.failures = [None, PieceFailure.INPUT_GONE]
    _, outcome = run_stages(dispatcher)
    assert outcome == StagesCompleted()
    assert [pool for pool, _ in dispatcher.submitted] == [FIRST, SECOND, FIRST, SECOND]


def test_failure_ends_the_stages_and_nothing_stays_queued(run_stages):
    dispatcher = FakeDispatcher()
    dispatcher.failures = [PieceFailure.ERROR]
    _, outcome = run_stages(dispatcher)
    assert outcome == StagesFailed(0, PieceFailure.ERROR)


def test_expired_deadline_cancels_queued_jobs(run_stages):
    dispatcher = FakeDispatcher()
    _, outcome = run_stages(dispatcher, deadline_s=0.05)
    assert outcome == StagesFailed(0, PieceFailure.OVERDUE)
    assert dispatcher.cancelled == ["j1"]


def test_overdue_request_starts_when_the_backlog_ends_soon(run_stages):
    dispatcher = FakeDispatcher()
    _, outcome = run_stages(dispatcher, objective_s=0.0, backlog=0.5)
    assert outcome == StagesCompleted()


def test_overdue_request_is_refused_while_its_pools_stay_busy(run_stages):
    dispatcher = FakeDispatcher()
    _, outcome = run_stages(dispatcher, objective_s=0.0, backlog=60.0, deadline_s=8.0)
    assert outcome == StagesFailed(0, PieceFailure.OVERDUE)
    assert dispatcher.submitted == []
    assert run_stages.ended_at < 1.5
