"""Plays a busy pool whose targets lose answers or turn slow, in virtual time."""

from __future__ import annotations

import heapq
import random
from statistics import fmean

import pytest

from aspendrift_model.ids import AttemptId, PoolName, TargetId, ZoneName
from aspendrift_model.pieces import Handle, PieceId, PieceWork
from aspendrift_model.routes import PieceLimits
from aspendrift_model.target_entries import TargetEntry, TargetKey
from aspendrift_policy.stage_scheduler import JobId, StageJob, StageScheduler

LIMITS = PieceLimits(1, 2, 8, 0.15, 0.016, 43e6, 4.0)
N_TARGETS = 7
TICK_S = 0.01
# Share of the pool's capacity that the jobs need.
LOAD = 0.6
TROUBLE_FROM_S = 5.0
TROUBLE_UNTIL_S = 9.0


class BusyPool:
    """Targets that process one call at a time, behind one scheduler.

    Parameters
    ----------
    loses : callable
        Returns whether the answer to a call is lost; the target has done its work.
    slowness : callable
        Returns by how much a target's work takes longer.
    """

    def __init__(self, seed, loses, slowness):
        self.rng = random.Random(seed)
        self.loses = loses
        self.slowness = slowness
        self.scheduler = StageScheduler(LIMITS)
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
        self.idle_at = {}
        self.events = []
        self.submitted_at = {}
        self.took_s = {}
        self.n_calls = 0
        # Jobs with pieces in a call whose answer was lost.
        self.hit = set()

    def play(self, until):
        per_tick = LOAD * N_TARGETS * LIMITS.batch / LIMITS.full_call_s * TICK_S
        due = 0.0
        for tick in range(int(until / TICK_S)):
            now = tick * TICK_S
            due += per_tick
            while due >= 1.0:
                n_pieces = self.rng.randint(1, 3)
                due -= n_pieces
                self.submit(n_pieces, now)
            while self.events and self.events[0][0] <= now:
                _, _, event, call = heapq.heappop(self.events)
                self.end(event, call, now)
            for update in self.scheduler.check_deadlines(now):
                self.took_s.setdefault(update.job_id, float("inf"))
            for call in self.scheduler.plan(now):
                self.send(call, now)

    def submit(self, n_pieces, now):
        name = f"j{len(self.submitted_at)}"
        works = tuple(
            PieceWork(PieceId(AttemptId(name), 0, piece), "k", ())
            for piece in range(n_pieces)
        )
        self.submitted_at[name] = now
        self.scheduler.submit(
            StageJob(JobId(name), works, 0.0, 0, now + 1.0, now + 6.0)
        )

    def send(self, call, now):
        self.n_calls += 1
        key = call.target.key
        work_s = LIMITS.call_duration_s(len(call.works)) * self.slowness(key, now)
        ends_at = max(now, self.idle_at.get(key, 0.0)) + work_s
        self.idle_at[key] = ends_at
        timeout_at = now + call.timeout_s
        if self.loses(self.rng, key, now) or ends_at > timeout_at:
            event = (timeout_at, self.n_calls, "timeout", call)
            self.hit |= {work.piece_id.attempt_id for work in call.works}
        else:
            event = (ends_at + 0.004, self.n_calls, "answer", call)
        heapq.heappush(self.events, event)

    def end(self, event, call, now):
        key = call.target.key
        if event == "timeout":
            updates = self.scheduler.failed(call.call_id, key, False, now)
        else:
            handles = [
                Handle(f"{call.target.address}/{call.call_id}.{n}")
                for n in range(len(call.works))
            ]
            updates, _ = self.scheduler.ended(call.call_id, key, handles, now)
            self.scheduler.record_freed(handles)
        for update in updates:
            if update.is_done:
                submitted_at = self.submitted_at[update.job_id]
                self.took_s[update.job_id] = now - submitted_at

    def share_in_time(self, since, until):
        """Return the share of jobs of a time that took at most a second.

        Jobs whose own answer was lost are left out.
        """
        names = [
            name
            for name, at in self.submitted_at.items()
            if since <= at < until and name not in self.hit
        ]
        in_time = sum(self.took_s.get(name, float("inf")) <= 1.0 for name in names)
        return in_time / len(names)


def is_trouble(now):
    return TROUBLE_FROM_S <= now < TROUBLE_UNTIL_S


def never(*args):
    return False


def usual(*args):
    return 1.0


def test_lost_answers_delay_few_other_jobs():
    # A quarter of the calls is lost, so three quarters of the capacity remain for a
    # load of 0.6: only jobs whose own answer was lost have to be late.
    affected = {"t0", "t1", "t2", "t3"}

    def loses(rng, key, now):
        return is_trouble(now) and key.target_id in affected and rng.random() < 0.42

    shares = []
    for seed in range(8):
        pool = BusyPool(seed, loses, usual)
        pool.play(14.0)
        assert pool.share_in_time(1.0, TROUBLE_FROM_S) >= 0.95
        assert pool.share_in_time(TROUBLE_UNTIL_S + 1.0, 12.0) >= 0.9
        shares.append(pool.share_in_time(TROUBLE_FROM_S, TROUBLE_UNTIL_S))
    assert fmean(shares) >= 0.9


@pytest.mark.parametrize("seed", range(4))
def test_targets_that_turn_slow_leave_the_rest_of_the_pool_usable(seed):
    # Two of seven targets work four times longer: 5.5 sevenths of the capacity remain.
    def slowness(key, now):
        return 4.0 if is_trouble(now) and key.target_id in ("t0", "t1") else 1.0

    pool = BusyPool(seed, never, slowness)
    pool.play(14.0)
    assert pool.share_in_time(TROUBLE_FROM_S, TROUBLE_UNTIL_S) >= 0.9
    assert pool.share_in_time(TROUBLE_UNTIL_S + 1.0, 12.0) >= 0.9


@pytest.mark.parametrize("seed", range(4))
def test_targets_that_hang_get_few_calls(seed):
    def loses(rng, key, now):
        return is_trouble(now) and key.target_id in ("t0", "t1")

    pool = BusyPool(seed, loses, usual)
    pool.play(14.0)
    assert pool.share_in_time(TROUBLE_FROM_S, TROUBLE_UNTIL_S) >= 0.9
    assert pool.share_in_time(TROUBLE_UNTIL_S + 1.0, 12.0) >= 0.9
