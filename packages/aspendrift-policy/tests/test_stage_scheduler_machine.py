"""Stateful property test of the stage scheduler, with random orders of events."""

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
MEMORY_BYTES = 10.0


def target(name):
    zone = ZoneName(f"z{name[1]}")
    key = TargetKey(TargetId(name), 1)
    return TargetEntry(key, PoolName("p"), f"{name}:1", zone, 1, False)


class SchedulerMachine(RuleBasedStateMachine):
    """Submits and cancels jobs, ends or fails calls, removes and restores targets."""

    @initialize(n_slots=st.integers(1, 2), batch=st.integers(1, 4))
    def begin(self, n_slots, batch):
        limits = PieceLimits(n_slots, 2, batch, 0.15, 0.03, MEMORY_BYTES, 4.0)
        self.scheduler = StageScheduler(limits)
        self.scheduler.set_targets([target(name) for name in TARGETS])
        self.now = 0.0
        self.n_jobs = 0
        self.incomplete_by_job = {}
        self.withdrawn = set()
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
        self.incomplete_by_job[name] = set(range(n_pieces))

    @rule()
    def plan(self):
        for call in self.scheduler.plan(self.now):
            assert 1 <= len(call.works) <= self.scheduler.limits.batch
            piece_ids = [work.piece_id for work in call.works]
            assert len(set(piece_ids)) == len(piece_ids)
            assert {work.piece_id.attempt_id for work in call.works} <= (
                set(self.incomplete_by_job) - self.withdrawn
            )
            self.calls.append(call)

    @precondition(lambda self: self.calls)
    @rule(
        index=st.integers(0, 50),
        outcome=st.sampled_from(["completed", "no_memory", "error"]),
    )
    def call_ends(self, index, outcome):
        call = self.calls.pop(index % len(self.calls))
        outcomes = []
        for number in range(len(call.works)):
            if outcome == "completed" or number == 0:
                name = f"{call.target.address}/{call.call_id}.{number}"
                outcomes.append(Handle(name))
            elif outcome == "no_memory":
                outcomes.append(PieceFailure.NO_MEMORY)
            else:
                outcomes.append(PieceFailure.ERROR)
        updates, unneeded = self.scheduler.ended(
            call.call_id, call.target.key, outcomes, self.now
        )
        self.apply_updates(updates)
        self.scheduler.record_freed(unneeded)

    @precondition(lambda self: self.calls)
    @rule(index=st.integers(0, 50), is_full=st.booleans())
    def call_fails(self, index, is_full):
        call = self.calls.pop(index % len(self.calls))
        self.apply_updates(
            self.scheduler.failed(call.call_id, call.target.key, is_full, self.now)
        )

    @precondition(lambda self: self.incomplete_by_job)
    @rule(index=st.integers(0, 50))
    def cancel(self, index):
        names = sorted(self.incomplete_by_job)
        name = names[index % len(names)]
        del self.incomplete_by_job[name]
        self.scheduler.cancel(JobId(name))

    @precondition(lambda self: self.incomplete_by_job)
    @rule(index=st.integers(0, 50))
    def withdraw(self, index):
        names = sorted(self.incomplete_by_job)
        name = names[index % len(names)]
        self.scheduler.withdraw(JobId(name))
        self.withdrawn.add(name)
        is_in_call = any(
            work.piece_id.attempt_id == name
            for call in self.calls
            for work in call.works
        )
        assert self.scheduler.has_job(JobId(name)) == is_in_call
        if not is_in_call:
            del self.incomplete_by_job[name]

    @precondition(lambda self: self.calls)
    @rule(index=st.integers(0, 50))
    def unneeded_pieces_are_removed_before_a_call(self, index):
        number = index % len(self.calls)
        planned = self.calls.pop(number)
        call, updates = self.scheduler.remove_unneeded(
            planned.call_id, planned.target.key, self.now
        )
        self.apply_updates(updates)
        if call is not None:
            self.calls.insert(number, call)
            for work in call.works:
                name = work.piece_id.attempt_id
                assert name not in self.withdrawn
                assert work.piece_id.piece in self.incomplete_by_job[name]

    @rule(step_s=st.sampled_from([0.01, 0.2, 1.0, 5.0]))
    def time_passes(self, step_s):
        self.now += step_s
        self.apply_updates(self.scheduler.check_deadlines(self.now))

    @rule(present=st.sets(st.sampled_from(TARGETS)))
    def targets_change(self, present):
        self.scheduler.set_targets([target(name) for name in sorted(present)])

    def apply_updates(self, updates):
        for each in updates:
            incomplete = self.incomplete_by_job[each.job_id]
            for piece_id, _ in each.results:
                # A result is reported once, and never for a job that has ended.
                incomplete.remove(piece_id.piece)
            if each.job_id in self.withdrawn:
                assert each.is_done or each.failure is not None or incomplete
            else:
                assert each.is_done == (each.failure is None and not incomplete)
            if each.is_done or each.failure is not None:
                del self.incomplete_by_job[each.job_id]

    @invariant()
    def jobs_are_those_that_have_not_ended(self):
        assert self.scheduler.n_jobs == len(self.incomplete_by_job)

    @invariant()
    def nothing_waits_without_a_next_step(self):
        if self.incomplete_by_job:
            assert self.scheduler.next_due(self.now) is not None


SchedulerMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
TestScheduler = SchedulerMachine.TestCase
