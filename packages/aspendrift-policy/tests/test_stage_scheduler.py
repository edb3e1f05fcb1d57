"""Tests of the scheduling of slots, batch calls and memory of a stage pool."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from aspendrift_model.ids import AttemptId, PoolName, TargetId, ZoneName
from aspendrift_model.pieces import Handle, PieceFailure, PieceId, PieceWork
from aspendrift_model.routes import PieceLimits
from aspendrift_model.target_entries import TargetEntry, TargetKey
from aspendrift_policy.stage_scheduler import JobId, StageJob, StageScheduler

LIMITS = PieceLimits(
    n_slots=1,
    n_queued=2,
    batch=4,
    call_s=0.15,
    piece_s=0.03,
    result_memory_bytes=18e6,
    result_ttl_s=4.0,
)


def target(name, zone="z1"):
    key = TargetKey(TargetId(name), 1)
    return TargetEntry(key, PoolName("p"), f"{name}:1", ZoneName(zone), 1, False)


def job(name, n_pieces=1, **changes):
    works = tuple(
        PieceWork(PieceId(AttemptId(name), 0, piece), "k", ())
        for piece in range(n_pieces)
    )
    values = {
        "result_bytes": 0.0,
        "rank": 0,
        "objective_at": 10.0,
        "deadline_at": 20.0,
        **changes,
    }
    return StageJob(JobId(name), works, **values)


def make_scheduler(*targets, limits=LIMITS):
    scheduler = StageScheduler(limits)
    scheduler.set_targets(targets or [target("t1")])
    return scheduler


def pieces(call):
    return [(work.piece_id.attempt_id, work.piece_id.piece) for work in call.works]


def complete(scheduler, call, now):
    """End a call with a result for each of its pieces."""
    handles = [
        Handle(f"{call.target.address}/{work.piece_id.attempt_id}.{n}.{call.call_id}")
        for n, work in enumerate(call.works)
    ]
    return scheduler.ended(call.call_id, call.target.key, handles, now)


def test_pieces_of_several_requests_share_a_call():
    scheduler = make_scheduler()
    scheduler.submit(job("a", 2))
    scheduler.submit(job("b", 1))
    (call,) = scheduler.plan(0.0)
    assert pieces(call) == [("a", 0), ("a", 1), ("b", 0)]


def test_target_gets_its_next_call_when_the_one_before_has_ended():
    scheduler = make_scheduler()
    scheduler.submit(job("a", 6))
    (first,) = scheduler.plan(0.0)
    assert len(first.works) == LIMITS.batch
    assert scheduler.plan(0.1) == []
    complete(scheduler, first, 0.27)
    (second,) = scheduler.plan(0.27)
    assert pieces(second) == [("a", 4), ("a", 5)]


def test_more_urgent_pieces_go_first_and_overdue_ones_last():
    scheduler = make_scheduler()
    scheduler.submit(job("late", 1, objective_at=-1.0))
    scheduler.submit(job("low", 1, rank=2))
    scheduler.submit(job("high", 3, rank=1))
    (call,) = scheduler.plan(0.0)
    assert [name for name, _ in pieces(call)] == ["high", "high", "high", "low"]


def test_job_starts_only_while_the_pool_has_memory_for_all_of_its_results():
    scheduler = make_scheduler()
    scheduler.submit(job("a", 4, result_bytes=3e6))
    (call,) = scheduler.plan(0.0)
    complete(scheduler, call, 0.3)
    scheduler.submit(job("b", 3, result_bytes=3e6))
    scheduler.submit(job("c", 2, result_bytes=3e6, rank=1))
    (call,) = scheduler.plan(0.3)
    assert [name for name, _ in pieces(call)] == ["c", "c"]


def test_freed_results_release_memory():
    scheduler = make_scheduler()
    scheduler.submit(job("a", 4, result_bytes=4e6))
    (call,) = scheduler.plan(0.0)
    updates, _ = complete(scheduler, call, 0.3)
    scheduler.submit(job("b", 2, result_bytes=4e6))
    assert scheduler.plan(0.3) == []
    scheduler.record_freed([handle for _, handle in updates[0].results])
    assert len(scheduler.plan(0.3)) == 1


def exhaust_memory(scheduler, call, now):
    """End a call that found no memory for any of its pieces."""
    outcomes = [PieceFailure.NO_MEMORY for _ in call.works]
    return scheduler.ended(call.call_id, call.target.key, outcomes, now)


def test_exhausted_target_memory_is_retried_within_a_call():
    scheduler = make_scheduler()
    scheduler.submit(job("a", 2, result_bytes=6e6))
    (call,) = scheduler.plan(0.0)
    exhaust_memory(scheduler, call, 0.004)
    assert scheduler.plan(0.1) == []
    due = scheduler.next_due(0.1)
    assert due <= 0.004 + LIMITS.full_call_s
    (call,) = scheduler.plan(due)
    assert pieces(call) == [("a", 0), ("a", 1)]


def test_freed_results_release_memory_that_others_share():
    scheduler = make_scheduler()
    scheduler.submit(job("a", 3, result_bytes=6e6))
    (call,) = scheduler.plan(0.0)
    handles = [Handle("t1:1/a.0"), Handle("t1:1/a.1"), PieceFailure.NO_MEMORY]
    scheduler.ended(call.call_id, call.target.key, handles, 0.2)
    assert scheduler.plan(0.21) == []
    scheduler.record_freed([Handle("t1:1/a.0")])
    (call,) = scheduler.plan(0.22)
    assert pieces(call) == [("a", 2)]


def test_target_gets_as_many_calls_as_it_has_slots():
    scheduler = make_scheduler(limits=replace(LIMITS, n_slots=2))
    scheduler.submit(job("a", 12))
    first, second = scheduler.plan(0.0)
    assert [len(first.works), len(second.works)] == [4, 4]
    assert scheduler.plan(0.1) == []
    complete(scheduler, first, 0.27)
    (third,) = scheduler.plan(0.27)
    assert len(third.works) == 4
    complete(scheduler, second, 0.28)
    assert scheduler.plan(0.28) == []


def test_first_job_goes_to_an_idle_target_of_its_zone():
    scheduler = make_scheduler(target("t1", "z1"), target("t2", "z2"))
    scheduler.submit(job("a", 2, zone=ZoneName("z2")))
    (call,) = scheduler.plan(0.0)
    assert call.target.zone == "z2"


def test_expired_results_release_memory():
    scheduler = make_scheduler()
    scheduler.submit(job("a", 4, result_bytes=4e6))
    (call,) = scheduler.plan(0.0)
    complete(scheduler, call, 0.3)
    scheduler.submit(job("b", 2, result_bytes=4e6))
    assert scheduler.plan(4.2) == []
    assert len(scheduler.plan(4.3)) == 1


def test_started_job_goes_before_a_more_urgent_new_one():
    scheduler = make_scheduler()
    scheduler.submit(job("a", 6, rank=1))
    (call,) = scheduler.plan(0.0)
    scheduler.submit(job("b", 4, rank=0))
    complete(scheduler, call, 0.3)
    (call,) = scheduler.plan(0.3)
    assert pieces(call)[:2] == [("a", 4), ("a", 5)]


def test_update_reports_when_the_last_piece_is_completed():
    scheduler = make_scheduler()
    scheduler.submit(job("a", 6))
    (call,) = scheduler.plan(0.0)
    (update,), _ = complete(scheduler, call, 0.3)
    assert not update.is_done
    (call,) = scheduler.plan(0.3)
    (update,), _ = complete(scheduler, call, 0.6)
    assert update.is_done
    assert scheduler.n_jobs == 0


def test_results_of_a_cancelled_job_are_returned_for_freeing():
    scheduler = make_scheduler()
    scheduler.submit(job("a", 2))
    (call,) = scheduler.plan(0.0)
    scheduler.cancel(JobId("a"))
    updates, unneeded = complete(scheduler, call, 0.3)
    assert updates == []
    assert len(unneeded) == 2


def test_pieces_of_a_full_target_wait_without_a_failure():
    scheduler = make_scheduler()
    scheduler.submit(job("a", 2))
    (call,) = scheduler.plan(0.0)
    assert scheduler.failed(call.call_id, call.target.key, True, 0.01) == []
    assert scheduler.plan(0.02) == []
    (call,) = scheduler.plan(0.2)
    assert len(call.works) == 2


def test_pieces_of_a_failed_call_go_to_another_target():
    scheduler = make_scheduler(target("t1"), target("t2"))
    scheduler.submit(job("a", 2))
    (call,) = scheduler.plan(0.0)
    scheduler.failed(call.call_id, call.target.key, False, 0.05)
    (resent,) = scheduler.plan(0.06)
    assert resent.target.key != call.target.key


def test_job_fails_after_its_pieces_failed_often():
    scheduler = make_scheduler()
    scheduler.submit(job("a", 1))
    now = 0.0
    updates = []
    for _ in range(10):
        now += 5.0
        calls = scheduler.plan(now) if not updates else []
        if calls:
            call = calls[0]
            updates = scheduler.failed(call.call_id, call.target.key, False, now)
    assert [each.failure for each in updates] == [PieceFailure.ERROR]


def test_lost_inputs_end_a_job_at_once():
    scheduler = make_scheduler()
    scheduler.submit(job("a", 1))
    (call,) = scheduler.plan(0.0)
    outcomes = [PieceFailure.INPUT_GONE]
    updates, _ = scheduler.ended(call.call_id, call.target.key, outcomes, 0.2)
    assert [each.failure for each in updates] == [PieceFailure.INPUT_GONE]


def test_job_past_its_deadline_ends_before_it_is_sent():
    scheduler = make_scheduler()
    scheduler.submit(job("a", 1, deadline_at=1.0))
    (update,) = scheduler.check_deadlines(1.0)
    assert update.failure is PieceFailure.OVERDUE
    assert scheduler.plan(1.0) == []


def test_pieces_of_a_slow_call_are_resent_and_the_first_result_counts():
    scheduler = make_scheduler(target("t1"), target("t2"))
    scheduler.submit(job("a", 1))
    (slow,) = scheduler.plan(0.0)
    scheduler.check_deadlines(1.0)
    (resent,) = scheduler.plan(1.0)
    assert resent.target.key != slow.target.key
    (update,), _ = complete(scheduler, resent, 1.2)
    assert update.is_done
    assert complete(scheduler, slow, 1.5)[0] == []


def test_piece_waits_shortly_for_a_target_of_its_zone():
    scheduler = make_scheduler(target("t1", "z1"), target("t2", "z2"))
    scheduler.submit(job("a", 1, zone=ZoneName("z2"), moved_bytes=5e6))
    (call,) = scheduler.plan(0.0)
    assert call.target.zone == "z2"


def test_piece_does_not_wait_long_for_its_zone():
    scheduler = make_scheduler(target("t1", "z1"), target("t2", "z2"))
    scheduler.submit(job("a", 8))
    first, second = scheduler.plan(0.0)
    complete(scheduler, first if first.target.zone == "z1" else second, 0.1)
    scheduler.submit(job("b", 1, zone=ZoneName("z2"), moved_bytes=5e6))
    (call,) = scheduler.plan(0.1)
    assert call.target.zone == "z1"


def test_target_that_left_gets_no_new_call():
    scheduler = make_scheduler(target("t1"), target("t2"))
    scheduler.set_targets([target("t2")])
    scheduler.submit(job("a", 8))
    assert [call.target.address for call in scheduler.plan(0.0)] == ["t2:1"]


class SaturatedPool:
    """Simulates a saturated pool in virtual time, with failures and delayed frees."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.targets = [target("t1", "z1"), target("t2", "z2"), target("t3", "z3")]
        self.scheduler = make_scheduler(*self.targets)
        self.held = {each.key: 0.0 for each in self.targets}
        self.size_by_job = {}
        self.calls = []
        self.pending_frees = []
        self.n_results_by_job = {}
        self.failed_jobs = set()

    def step(self, now, accepts_jobs):
        if accepts_jobs and self.rng.random() < 0.6:
            self.submit()
        for due in [each for each in self.pending_frees if each[0] <= now]:
            self.pending_frees.remove(due)
            self.free(*due[1:])
        for due in [each for each in self.calls if each[0] <= now]:
            self.calls.remove(due)
            self.end(due[1], now)
        for call in self.scheduler.plan(now):
            self.send(call, now)

    def submit(self):
        name = f"j{len(self.n_results_by_job)}"
        n_pieces = self.rng.randint(1, 5)
        self.size_by_job[name] = self.rng.choice([8e3, 3e6])
        self.n_results_by_job[name] = [0] * n_pieces
        size = self.size_by_job[name]
        self.scheduler.submit(job(name, n_pieces, result_bytes=size, deadline_at=99.0))

    def send(self, call, now):
        self.held[call.target.key] += sum(self.sizes(call))
        assert self.held[call.target.key] <= LIMITS.result_memory_bytes
        assert len(call.works) <= LIMITS.batch
        self.calls.append((now + call.expected_s, call))

    def end(self, call, now):
        if self.rng.random() < 0.1:
            self.held[call.target.key] -= sum(self.sizes(call))
            for each in self.scheduler.failed(
                call.call_id, call.target.key, False, now
            ):
                self.failed_jobs.add(each.job_id)
            return
        updates, unneeded = complete(self.scheduler, call, now)
        assert unneeded == []
        for each in updates:
            for piece_id, handle in each.results:
                self.n_results_by_job[piece_id.attempt_id][piece_id.piece] += 1
                size = self.size_by_job[piece_id.attempt_id]
                free_at = now + self.rng.uniform(0.1, 0.9)
                self.pending_frees.append((free_at, call.target.key, size, handle))

    def free(self, key, size, handle):
        self.held[key] -= size
        self.scheduler.record_freed([handle])

    def sizes(self, call):
        return [self.size_by_job[work.piece_id.attempt_id] for work in call.works]


@pytest.mark.parametrize("seed", range(20))
def test_memory_is_never_overcommitted_and_each_piece_completes_once(seed):
    pool = SaturatedPool(seed)
    for tick in range(400):
        pool.step(tick * 0.05, accepts_jobs=tick < 200)
    assert pool.scheduler.n_jobs == 0
    for name, counts in pool.n_results_by_job.items():
        allowed = {0, 1} if name in pool.failed_jobs else {1}
        assert set(counts) <= allowed


def test_pieces_that_wait_for_a_target_of_an_evacuated_zone_move_at_once():
    # Its pieces would have waited for the busy slot in their own zone.
    scheduler = make_scheduler(target("t1", "z1"), target("t2", "z2"))
    spec = {"zone": ZoneName("z1"), "moved_bytes": 1e6}
    scheduler.submit(job("a", **spec))
    (open_call,) = scheduler.plan(0.0)
    scheduler.submit(job("b", **spec))
    assert scheduler.plan(LIMITS.call_duration_s(1) - 0.05) == []
    scheduler.set_targets([target("t2", "z2")])
    (call,) = scheduler.plan(LIMITS.call_duration_s(1) - 0.05)
    assert call.target.key.target_id == "t2"
    assert complete(scheduler, open_call, 0.3)


def test_withdrawn_job_gets_no_more_calls_but_the_results_of_its_open_ones():
    scheduler = make_scheduler()
    scheduler.submit(job("a", 6))
    (call,) = scheduler.plan(0.0)
    scheduler.withdraw(JobId("a"))
    updates, unneeded = complete(scheduler, call, 0.3)
    assert [(len(each.results), each.is_done) for each in updates] == [(4, True)]
    assert unneeded == []
    assert scheduler.plan(0.3) == []
    assert not scheduler.has_job(JobId("a"))


@pytest.mark.parametrize("is_full", [False, True])
def test_withdrawn_job_ends_with_its_last_call(is_full):
    scheduler = make_scheduler()
    scheduler.submit(job("a", 2))
    (call,) = scheduler.plan(0.0)
    scheduler.withdraw(JobId("a"))
    (update,) = scheduler.failed(call.call_id, call.target.key, is_full, 0.3)
    assert (update.results, update.is_done, update.failure) == ((), True, None)
    assert not scheduler.has_job(JobId("a"))


def test_withdrawn_job_may_be_submitted_again():
    scheduler = make_scheduler()
    scheduler.submit(job("a", 2))
    scheduler.withdraw(JobId("a"))
    assert not scheduler.has_job(JobId("a"))
    scheduler.submit(job("a", 2))
    (call,) = scheduler.plan(0.0)
    assert pieces(call) == [("a", 0), ("a", 1)]


def test_pieces_of_cancelled_jobs_are_left_out_of_calls_not_yet_sent():
    scheduler = make_scheduler()
    scheduler.submit(job("a", 2, result_bytes=6e6))
    scheduler.submit(job("b", 1, result_bytes=6e6))
    (call,) = scheduler.plan(0.0)
    scheduler.cancel(JobId("a"))
    call, updates = scheduler.remove_unneeded(call.call_id, call.target.key, 0.1)
    assert pieces(call) == [("b", 0)]
    assert updates == []
    updates, unneeded = complete(scheduler, call, 0.3)
    assert [each.is_done for each in updates] == [True]
    assert unneeded == []
    scheduler.submit(job("c", 2, result_bytes=6e6))
    (call,) = scheduler.plan(0.3)
    assert pieces(call) == [("c", 0), ("c", 1)]


def test_call_whose_jobs_have_ended_is_not_sent():
    scheduler = make_scheduler()
    scheduler.submit(job("a", 1))
    scheduler.submit(job("b", 1))
    (call,) = scheduler.plan(0.0)
    scheduler.cancel(JobId("a"))
    scheduler.withdraw(JobId("b"))
    kept, updates = scheduler.remove_unneeded(call.call_id, call.target.key, 0.1)
    assert kept is None
    assert [(each.job_id, each.is_done) for each in updates] == [("b", True)]
    scheduler.submit(job("c", 1))
    (call,) = scheduler.plan(0.1)
    assert pieces(call) == [("c", 0)]
