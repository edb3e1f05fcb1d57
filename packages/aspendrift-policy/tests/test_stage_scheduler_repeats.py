"""Plays a stage pool whose targets reject or fail calls, in virtual time."""

from __future__ import annotations

import heapq
import itertools
import random

import pytest

from aspendrift_model.ids import AttemptId, PoolName, TargetId, ZoneName
from aspendrift_model.pieces import Handle, JobOrigin, PieceFailure, PieceId, PieceWork
from aspendrift_model.routes import PieceLimits
from aspendrift_model.target_entries import TargetEntry, TargetKey
from aspendrift_policy.repeat_window import RepeatWindow
from aspendrift_policy.retry_budget import RetryLimit
from aspendrift_policy.stage_scheduler import JobId, StageJob, StageScheduler

# The pool with the most pieces per request of a deployment with three stage pools.
LIMITS = PieceLimits(1, 2, 20, 0.15, 0.0065, 1e6, 4.0)
LIMIT = RetryLimit(0.2, 52.0, 10.0)
N_TARGETS = 3
N_PIECES = 8
REQUESTS_PER_S = 10.0
TICK_S = 0.01
TROUBLE_FROM_S = 12.0
UNTIL_S = 40.0


class FailingPool:
    """Targets that reject or fail a share of the calls, behind one scheduler.

    Parameters
    ----------
    verdict : callable
        Returns "made", "rejected", "failed" or "room" for a call.
    """

    def __init__(self, verdict, seed=1, until_s=UNTIL_S):
        self.rng = random.Random(seed)
        self.verdict = verdict
        self.until_s = until_s
        self.repeats = RepeatWindow(lambda: LIMIT, 0.0)
        self.scheduler = StageScheduler(LIMITS)
        self.scheduler.limit_repeats(self.repeats)
        self.scheduler.set_targets(
            TargetEntry(
                TargetKey(TargetId(f"t{number}"), 1),
                PoolName("p"),
                f"t{number}:1",
                ZoneName("z1"),
                1,
                False,
            )
            for number in range(N_TARGETS)
        )
        self.events = []
        self.numbers = itertools.count()
        self.submitted_at = []
        self.arrived_at = {}
        self.completed = {}
        self.failures = {}

    def play(self):
        due = 0.0
        for tick in range(int(self.until_s / TICK_S)):
            now = tick * TICK_S
            due += REQUESTS_PER_S * TICK_S
            if due >= 1.0 and now < self.until_s - 5.0:
                due -= 1.0
                self.submit(now)
            while self.events and self.events[0][0] <= now:
                _, _, call, verdict = heapq.heappop(self.events)
                self.end(call, verdict, now)
            for update in self.scheduler.check_deadlines(now):
                self.apply(update, now)
            for call in self.scheduler.plan(now):
                self.send(call, now)
        return self

    def submit(self, now, origin=JobOrigin.FIRST):
        name = f"j{len(self.submitted_at)}"
        works = tuple(
            PieceWork(PieceId(AttemptId(name), 0, piece), "k", ())
            for piece in range(N_PIECES)
        )
        self.submitted_at.append(now)
        self.repeats.record_request(now)
        self.scheduler.submit(
            StageJob(
                JobId(name), works, 1000.0, 0, now + 1.5, now + 12.0, origin=origin
            )
        )

    def send(self, call, now):
        for work in call.works:
            self.arrived_at.setdefault(work.piece_id, []).append(now)
        self.scheduler.record_sent(call.call_id, call.target.key)
        verdict = self.verdict(self.rng, now)
        took_s = {"rejected": 0.002, "failed": 0.05}.get(verdict, call.expected_s)
        event = (now + took_s, next(self.numbers), call, verdict)
        heapq.heappush(self.events, event)

    def end(self, call, verdict, now):
        key = call.target.key
        if verdict in ("rejected", "failed"):
            updates = self.scheduler.failed(
                call.call_id, key, verdict == "rejected", now
            )
        else:
            room = verdict == "room"
            outcomes = [
                PieceFailure.NO_MEMORY if room else Handle(f"t:1/{next(self.numbers)}")
                for _ in call.works
            ]
            updates, _ = self.scheduler.ended(call.call_id, key, outcomes, now)
        for update in updates:
            self.apply(update, now)

    def apply(self, update, now):
        if update.failure is not None:
            self.failures[update.job_id] = update.failure
        elif update.is_done:
            self.completed[update.job_id] = now
        self.scheduler.record_freed([handle for _, handle in update.results])

    def worst_excess(self):
        """Return the repeats beyond the limit in the worst window."""
        repeats = sorted(
            at for arrivals in self.arrived_at.values() for at in arrivals[1:]
        )
        worst = -LIMIT.extra
        for end in repeats:
            begin = end - LIMIT.window_s
            n_repeats = sum(begin < at <= end for at in repeats)
            n_requests = sum(begin < at <= end for at in self.submitted_at)
            allowed = LIMIT.share * n_requests + LIMIT.extra
            worst = max(worst, n_repeats - allowed)
        return worst

    def share_completed(self):
        return len(self.completed) / len(self.submitted_at)


def in_trouble(verdict, share):
    def found(rng, now):
        is_hit = now >= TROUBLE_FROM_S and rng.random() < share
        return verdict if is_hit else "made"

    return found


@pytest.mark.parametrize("share", [0.1, 0.3, 0.9, 1.0])
@pytest.mark.parametrize("verdict", ["rejected", "failed", "room"])
def test_pieces_sent_again_stay_within_the_limit_on_repeats(verdict, share):
    pool = FailingPool(in_trouble(verdict, share)).play()
    assert pool.worst_excess() <= 0


@pytest.mark.parametrize("verdict", ["rejected", "failed", "room"])
def test_single_failed_call_refuses_no_request(verdict):
    failed = []

    def once(rng, now):
        if now < TROUBLE_FROM_S or failed:
            return "made"
        failed.append(now)
        return verdict

    pool = FailingPool(once).play()
    assert failed and pool.share_completed() == 1.0


def test_jobs_that_the_limit_lets_not_complete_are_refused_at_once():
    pool = FailingPool(lambda rng, now: "made")
    for _ in range(40):
        pool.submit(12.0, JobOrigin.REPEATED)
    failures = {each.failure for each in pool.scheduler.check_deadlines(12.0)}
    assert failures == {PieceFailure.OVERDUE}
    assert pool.scheduler.n_jobs


def test_repeated_job_waits_for_the_limit():
    pool = FailingPool(lambda rng, now: "made")
    pool.submit(0.0, JobOrigin.REPEATED)
    assert pool.scheduler.plan(0.0) == []


def test_target_that_rejects_calls_is_probed_with_one_piece():
    pool = FailingPool(lambda rng, now: "rejected")
    for now in range(20):
        pool.submit(float(now))
    for now in (20.0, 20.1):
        for call in pool.scheduler.plan(now):
            pool.scheduler.record_sent(call.call_id, call.target.key)
            pool.scheduler.failed(call.call_id, call.target.key, True, now)
    probes = pool.scheduler.plan(20.5)
    assert probes and {len(call.works) for call in probes} == {1}


def test_call_that_was_not_sent_counts_no_repeats():
    pool = FailingPool(lambda rng, now: "made")
    for now in range(10):
        pool.submit(float(now))
    for now in range(10, 30):
        for call in pool.scheduler.plan(float(now)):
            pool.scheduler.record_sent(call.call_id, call.target.key)
            pool.scheduler.failed(
                call.call_id, call.target.key, False, float(now), was_sent=False
            )
    unused = RepeatWindow(lambda: LIMIT, 0.0)
    assert pool.repeats.n_allowed(30.0) == unused.n_allowed(30.0)


def test_next_owner_counts_what_the_owner_before_told():
    first, second = (RepeatWindow(lambda: LIMIT, 0.0) for _ in range(2))
    for tick in range(100):
        first.record_request(20.0 + tick / 10)
    first.record_repeats(first.n_allowed(30.0), 30.0)
    second.take_over(first.n_requests(30.0), first.n_repeats(30.0), 30.5)
    assert second.n_allowed(30.5) == 0
    assert second.n_allowed(41.0) > 0


def test_two_owners_that_hear_nothing_of_each_other_stay_within_the_limit():
    owners = [RepeatWindow(lambda: LIMIT, 0.0) for _ in range(2)]
    for tick in range(100):
        owners[tick % 2].record_request(20.0 + tick / 10)
    n_allowed = sum(owner.n_allowed(30.0) for owner in owners)
    assert n_allowed <= LIMIT.extra + LIMIT.share * 100
