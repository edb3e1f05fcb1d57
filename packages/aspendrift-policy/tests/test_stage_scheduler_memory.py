"""Tests of a pool whose memory for results is scarce, in virtual time."""

from __future__ import annotations

import heapq
import random

import pytest

from aspendrift_model.ids import AttemptId, PoolName, TargetId, ZoneName
from aspendrift_model.pieces import Handle, PieceFailure, PieceId, PieceWork
from aspendrift_model.routes import PieceLimits
from aspendrift_model.target_entries import TargetEntry, TargetKey
from aspendrift_policy.ranked import RankedScheduler
from aspendrift_policy.stage_scheduler import JobId, StageJob, StageScheduler

RESULT_BYTES = 3e6
# Each target holds six results.
LIMITS = PieceLimits(1, 2, 4, 0.15, 0.02, 6 * RESULT_BYTES, 4.0)
N_HELD = 6
# Time for which the results of a completed job are used.
USE_S = 0.4
POLICIES = pytest.mark.parametrize("policy", [StageScheduler, RankedScheduler])


def targets(n_targets):
    return [
        TargetEntry(
            TargetKey(TargetId(f"t{number}"), 1),
            PoolName("p"),
            f"t{number}:1",
            ZoneName("z1"),
            1,
            False,
        )
        for number in range(n_targets)
    ]


def job(name, n_pieces, result_bytes=RESULT_BYTES):
    works = tuple(
        PieceWork(PieceId(AttemptId(name), 0, piece), "k", ())
        for piece in range(n_pieces)
    )
    return StageJob(JobId(name), works, result_bytes, 0, 100.0, 110.0)


def make_scheduler(policy, n_targets):
    scheduler = policy(LIMITS)
    scheduler.set_targets(targets(n_targets))
    return scheduler


def started(calls):
    return {work.piece_id.attempt_id for call in calls for work in call.works}


def handles_of(call):
    return [
        Handle(f"{call.target.address}/{call.call_id}.{number}")
        for number in range(len(call.works))
    ]


def end(scheduler, call, now):
    return scheduler.ended(call.call_id, call.target.key, handles_of(call), now)[0]


@POLICIES
def test_memory_of_a_target_that_refuses_connections_is_not_counted(policy):
    """Guards against jobs that fill the other targets and can't be completed there."""
    scheduler = make_scheduler(policy, 2)
    scheduler.submit(job("first", 1))
    (call,) = scheduler.plan(0.0)
    scheduler.failed(call.call_id, call.target.key, False, 0.003)
    scheduler.submit(job("large", 8))
    scheduler.submit(job("small", 4))
    assert started(scheduler.plan(0.004)) == {"first", "small"}


@POLICIES
def test_target_without_memory_for_a_large_result_still_works_on_small_ones(policy):
    """Guards against idle targets while a large piece is tried again and again."""
    scheduler = make_scheduler(policy, 1)
    scheduler.submit(job("large", 1))
    (call,) = scheduler.plan(0.0)
    key = call.target.key
    scheduler.ended(call.call_id, key, [PieceFailure.NO_MEMORY], 0.004)
    scheduler.submit(job("small", 1, result_bytes=8e3))
    assert started(scheduler.plan(0.004)) == {"small"}


class _Pool:
    """Three targets, and the accounts of a test of what they hold."""

    def __init__(self, policy, seed):
        self.scheduler = make_scheduler(policy, 3)
        self.rng = random.Random(seed)
        self.n_held = dict.fromkeys((each.key for each in targets(3)), 0)
        self.unsent_by_job = {}
        self.sent = set()
        self.n_pieces = {}
        self.done = set()
        self.handles_by_job = {}
        self.events = []
        self.results = {}

    def play(self, until, check):
        at = 0.0
        while at < until:
            at += self.rng.expovariate(10.0)
            name = f"j{len(self.events)}"
            self._add(at, self._submit, job(name, self.rng.randint(1, 8)))
        while self.events:
            now, _, event, content = heapq.heappop(self.events)
            event(content, now)
            for call in self.scheduler.plan(now):
                self.n_held[call.target.key] += len(call.works)
                for work in call.works:
                    name = work.piece_id.attempt_id
                    self.unsent_by_job[name] -= 1
                    self.sent.add(name)
                self._add(now + call.expected_s, self._end, call)
            check(self)

    def can_complete_all(self):
        """Whether each started job can be completed before the other ones."""
        incomplete = [name for name in self.sent if name not in self.done]
        n_held = sum(
            self.n_pieces[name] - self.unsent_by_job[name] for name in incomplete
        )
        n_needed = max((self.unsent_by_job[name] for name in incomplete), default=0)
        return N_HELD * len(self.n_held) - n_held >= n_needed

    def _add(self, at, event, content):
        heapq.heappush(self.events, (at, self.rng.random(), event, content))

    def _submit(self, submitted, now):
        self.unsent_by_job[submitted.job_id] = len(submitted.works)
        self.n_pieces[submitted.job_id] = len(submitted.works)
        self.scheduler.submit(submitted)

    def _end(self, call, now):
        for handle in handles_of(call):
            self.results[handle] = call.target.key
        held = {}
        for work, handle in zip(call.works, handles_of(call), strict=True):
            held.setdefault(work.piece_id.attempt_id, []).append(handle)
        for update in end(self.scheduler, call, now):
            handles = self.handles_by_job.setdefault(update.job_id, [])
            handles += held[update.job_id]
            if update.is_done:
                self.done.add(update.job_id)
                self._add(now + USE_S, self._free, handles)

    def _free(self, handles, now):
        for handle in handles:
            self.n_held[self.results.pop(handle)] -= 1
        self.scheduler.record_freed(handles)


@POLICIES
@pytest.mark.parametrize("seed", range(4))
def test_incomplete_jobs_leave_the_memory_that_one_of_them_needs(policy, seed):
    """Guards against a pool that stands still until incomplete results expire."""

    def check(pool):
        assert pool.can_complete_all()

    pool = _Pool(policy, seed)
    pool.play(10.0, check)
    assert not any(pool.unsent_by_job.values())
