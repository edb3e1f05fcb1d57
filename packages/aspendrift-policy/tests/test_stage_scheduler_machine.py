"""A state machine over the stage scheduler: what holds after any order of events."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from aspendrift_model.ids import AttemptId, PoolName, TargetId, ZoneName
from aspendrift_model.pieces import Handle, PieceFailure, PieceId, PieceWork
from aspendrift_model.routes import PieceLimits
from aspendrift_model.target_entries import TargetEntry, TargetKey
from aspendrift_policy.stage_scheduler import JobId, StageJob, StageScheduler

TARGETS = ("t0", "t1", "t2")
ROOM = 10.0


def target(name):
    zone = ZoneName(f"z{name[1]}")
    key = TargetKey(TargetId(name), 1)
    return TargetEntry(key, PoolName("p"), f"{name}:1", zone, 1, False)


class SchedulerMachine(RuleBasedStateMachine):
    """Jobs come and go, calls end well, badly or never, targets leave and return."""

    @initialize(n_slots=st.integers(1, 2), batch=st.integers(1, 4))
    def begin(self, n_slots, batch):
        limits = PieceLimits(n_slots, 2, batch, 0.15, 0.03, ROOM, 4.0)
        self.scheduler = StageScheduler(limits)
        self.scheduler.set_targets([target(name) for name in TARGETS])
        self.now = 0.0
        self.n_jobs = 0
        self.unmade_by_job = {}
        self.calls = []
        self.held_by_target = {}

    @rule(n_pieces=st.integers(1, 6), size=st.sampled_from([0.0, 1.0, 3.0]))
    def submit(self, n_pieces, size):
        self.n_jobs += 1
        name = f"j{self.n_jobs}"
        works = tuple(
            PieceWork(PieceId(AttemptId(name), 0, piece), "k", ())
            for piece in range(n_pieces)
        )
        job = StageJob(
            JobId(name), works, size, self.n_jobs % 3, self.now + 2, self.now + 6
        )
        self.scheduler.submit(job)
        self.unmade_by_job[name] = set(range(n_pieces))

    @rule()
    def plan(self):
        for call in self.scheduler.plan(self.now):
            assert 1 <= len(call.works) <= self.scheduler.limits.batch
            named = [work.piece_id for work in call.works]
            assert len(set(named)) == len(named)
            assert {work.piece_id.attempt_id for work in call.works} <= set(
                self.unmade_by_job
            )
            self.calls.append(call)

    @precondition(lambda self: self.calls)
    @rule(index=st.integers(0, 50), outcome=st.sampled_from(["made", "room", "error"]))
    def call_ends(self, index, outcome):
        call = self.calls.pop(index % len(self.calls))
        outcomes = []
        for number in range(len(call.works)):
            if outcome == "made" or number == 0:
                name = f"{call.target.address}/{call.call_id}.{number}"
                outcomes.append(Handle(name))
            elif outcome == "room":
                outcomes.append(PieceFailure.NO_ROOM)
            else:
                outcomes.append(PieceFailure.ERROR)
        news, unneeded = self.scheduler.ended(
            call.call_id, call.target.key, outcomes, self.now
        )
        self.take(news)
        self.scheduler.freed(unneeded)

    @precondition(lambda self: self.calls)
    @rule(index=st.integers(0, 50), is_full=st.booleans())
    def call_fails(self, index, is_full):
        call = self.calls.pop(index % len(self.calls))
        self.take(
            self.scheduler.failed(call.call_id, call.target.key, is_full, self.now)
        )

    @precondition(lambda self: self.unmade_by_job)
    @rule(index=st.integers(0, 50))
    def cancel(self, index):
        names = sorted(self.unmade_by_job)
        name = names[index % len(names)]
        del self.unmade_by_job[name]
        self.scheduler.cancel(JobId(name))

    @rule(step_s=st.sampled_from([0.01, 0.2, 1.0, 5.0]))
    def time_passes(self, step_s):
        self.now += step_s
        self.take(self.scheduler.step(self.now))

    @rule(present=st.sets(st.sampled_from(TARGETS)))
    def targets_change(self, present):
        self.scheduler.set_targets([target(name) for name in sorted(present)])

    def take(self, news):
        for each in news:
            unmade = self.unmade_by_job[each.job_id]
            for piece_id, _ in each.results:
                # No piece is told twice, and none of a job that ended.
                unmade.remove(piece_id.piece)
            assert each.is_done == (each.failure is None and not unmade)
            if each.is_done or each.failure is not None:
                del self.unmade_by_job[each.job_id]

    @invariant()
    def jobs_are_those_that_have_not_ended(self):
        assert self.scheduler.n_jobs == len(self.unmade_by_job)

    @invariant()
    def nothing_waits_without_a_next_step(self):
        if self.unmade_by_job:
            assert self.scheduler.next_due(self.now) is not None


SchedulerMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
TestScheduler = SchedulerMachine.TestCase
