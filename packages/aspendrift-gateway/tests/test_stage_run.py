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

FIRST, SECOND, THIRD = PoolName("first"), PoolName("second"), PoolName("third")
ROUTE = route(
    RequestKind.STREAMING,
    stages=(StageSpec(0, FIRST, (), 8e3), StageSpec(1, SECOND, (0,), 6e4)),
)
# Two stages use the results of the first one.
FORKED = route(
    RequestKind.STREAMING,
    stages=(
        StageSpec(0, FIRST, (), 8e3),
        StageSpec(1, SECOND, (0,), 6e4),
        StageSpec(2, THIRD, (0,), 6e4),
    ),
)


class FakeDispatcher:
    """Owners that complete every piece after a delay, or fail as a test defines."""

    def __init__(self):
        self.submitted = []
        self.freed = []
        self.cancelled = []
        self.failures = []
        self.completes_twice = False
        self.delay_by_pool = {}
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
        delay_s = self.delay_by_pool.get(pool, 0.1)
        loop.call_later(delay_s, listener, self._completed(job, "a"))
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


class CheckingDispatcher(FakeDispatcher):
    """Records results that are freed while a job may still send calls with them."""

    def __init__(self):
        super().__init__()
        self.freed_in_use = []
        self._open_by_id = {}

    def submit(self, pool, job, listener):
        def listen(update):
            if update.failure is not None:
                self._open_by_id.pop(update.job_id, None)
            listener(update)

        self._open_by_id[job.job_id] = job
        return super().submit(pool, job, listen)

    def free(self, pool, handles):
        handles = list(handles)
        for job in self._open_by_id.values():
            inputs = job.works[0].inputs
            self.freed_in_use += [each for each in handles if each in inputs]
        super().free(pool, handles)

    def cancel(self, job_id):
        self._open_by_id.pop(job_id, None)
        super().cancel(job_id)

    def done(self, job_id):
        self._open_by_id.pop(job_id, None)


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
        dispatcher,
        n_pieces=(1, 2),
        deadline_s=10.0,
        objective_s=5.0,
        backlog=None,
        found_route=ROUTE,
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
            plan = StagePlan(AttemptId("a1"), found_route.stages, n_pieces, "key")
            demand = StageDemand(found_route, {}, 0, objective_s, deadline_s)
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


def test_inputs_are_freed_once_no_owner_sends_calls_with_them(run_stages):
    dispatcher = CheckingDispatcher()
    _, outcome = run_stages(dispatcher)
    assert outcome == StagesCompleted()
    assert dispatcher.freed == ["a/j1.0"]
    assert dispatcher.freed_in_use == []


def test_lost_inputs_are_recomputed_for_every_stage_that_needs_them(run_stages):
    """Another stage went on with inputs that were freed, and failed as well."""
    dispatcher = CheckingDispatcher()
    dispatcher.failures = [None, PieceFailure.INPUT_GONE]
    dispatcher.delay_by_pool[THIRD] = 0.3
    plan, outcome = run_stages(dispatcher, (1, 1, 1), found_route=FORKED)
    assert outcome == StagesCompleted()
    assert dispatcher.freed_in_use == []
    assert plan.final_inputs() == ["a/j5.0", "a/j6.0"]
    assert dispatcher.freed == ["a/j1.0", "a/j3.0", "a/j4.0"]


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
