"""Tests of finding slow targets, and of what callers gain from it under load."""

from __future__ import annotations

import heapq
import random

import pytest

from aspendrift_model.ids import PoolName, PrefixKey, TargetId, ZoneName
from aspendrift_model.states import AttemptEnd
from aspendrift_model.target_entries import TargetEntry, TargetKey
from aspendrift_policy.outliers import EjectionRules
from aspendrift_policy.pace import PaceTracker
from aspendrift_policy.pool_choice import PoolChooser

RULES = EjectionRules(2, 1.0, 8.0, 0.0)
ZONE = ZoneName("z1")
KEYS = [TargetKey(TargetId(f"t{number:02}"), 1) for number in range(39)]
ENTRIES = [
    TargetEntry(key, PoolName("p"), f"{key.target_id}:1", ZONE, 64, False)
    for key in KEYS
]
GAP_S = 0.016
N_EVENTS = 60
FIRST_S = 0.15


def tracker_with(gaps_by_number, n_samples=3, now=0.0):
    tracker = PaceTracker()
    for number, gap_s in gaps_by_number.items():
        for _ in range(n_samples):
            tracker.record(KEYS[number], gap_s, now)
    return tracker


def test_slow_target_is_found():
    tracker = tracker_with({0: 0.02, 1: 0.02, 2: 0.022, 3: 0.07})
    assert tracker.slow(0.1) == (KEYS[3],)


def test_one_stretched_stream_makes_no_target_slow():
    tracker = tracker_with({0: 0.02, 1: 0.02, 2: 0.022, 3: 0.02})
    tracker.record(KEYS[3], 2.0, 0.1)
    assert tracker.slow(0.1) == ()
    tracker.record(KEYS[3], 0.02, 5.0)
    tracker.record(KEYS[3], 2.0, 9.0)
    tracker.record(KEYS[3], 0.02, 9.4)
    assert tracker.slow(9.5) == ()


def test_target_is_tried_again_when_its_samples_are_old():
    tracker = tracker_with({0: 0.02, 1: 0.02, 2: 0.022, 3: 0.07})
    assert tracker.slow(2.9) == (KEYS[3],)
    assert tracker.slow(3.1) == ()


def test_load_of_the_whole_pool_makes_no_target_slow():
    tracker = tracker_with(dict.fromkeys(range(10), 0.02))
    for number in range(10):
        for _ in range(5):
            tracker.record(KEYS[number], 0.06, 1.0)
    assert tracker.slow(1.0) == ()


def test_few_targets_are_not_judged():
    assert tracker_with({0: 0.02, 1: 0.9}).slow(0.1) == ()


def test_targets_that_ended_are_forgotten():
    tracker = tracker_with({0: 0.02, 1: 0.02, 2: 0.02, 3: 0.07})
    for number in range(3):
        tracker.record(KEYS[number], 0.02, 40.0)
    assert tracker.slow(40.0) == ()
    assert len(tracker._pace_by_key) == 3


class Fleet:
    """Daemons before model targets, some of which are slow for a while.

    Plays the arrivals of a large site: a daemon sees each target about once a minute.
    """

    def __init__(self, seed, shares_paces):
        self.rng = random.Random(seed)
        self.choosers = [
            PoolChooser(RULES, random.Random(f"{seed}/{number}"))
            for number in range(195)
        ]
        self.tracker = PaceTracker()
        self.shares_paces = shares_paces
        self.n_running = dict.fromkeys(KEYS, 0)
        self.started = []

    def play(self, slow, slow_from, slow_until, until):
        queue = [(0.0, 0, "arrive", None), (0.25, 1, "share", None)]
        number = 1
        while queue:
            now, _, kind, data = heapq.heappop(queue)
            if now > until:
                break
            number += 1
            if kind == "arrive":
                is_slow = slow_from <= now < slow_until
                end, sample = self.start(now, slow if is_slow else ())
                heapq.heappush(queue, (end[0], number, "end", end))
                heapq.heappush(queue, (sample[0], -number, "sample", sample))
                gap_s = self.rng.expovariate(35.0)
                heapq.heappush(queue, (now + gap_s, number, "arrive", None))
            elif kind == "end":
                _, chooser, entry = data
                self.n_running[entry.key] -= 1
                chooser.ended(entry, AttemptEnd.ANSWERED, None, now)
            elif kind == "sample":
                # The samples of daemons are sent four times a second.
                self.tracker.record(data[1], data[2], now + 0.25)
            else:
                if self.shares_paces:
                    found = frozenset(self.tracker.slow(now))
                    for chooser in self.choosers:
                        chooser.avoid(found, now + 3.0)
                heapq.heappush(queue, (now + 0.25, number, "share", None))
        return self.started

    def start(self, now, slow):
        chooser = self.rng.choice(self.choosers)
        prefix = PrefixKey(f"{self.rng.randrange(380)}")
        entry = chooser.choose(ENTRIES, ZONE, prefix, (), now)
        chooser.sent(entry)
        self.n_running[entry.key] += 1
        factor = 4.0 if entry.key in slow else 1.0
        gap_s = GAP_S * factor * (1 + 1.5 * self.n_running[entry.key] / 64)
        first_s = FIRST_S * factor
        self.started.append((now, entry.key, first_s + gap_s * N_EVENTS))
        end = (now + first_s + gap_s * N_EVENTS, chooser, entry)
        return end, (now + first_s + gap_s * 5, entry.key, gap_s)


def play(seed, shares_paces):
    """Return the share of late streams among those started while targets are slow."""
    slow = frozenset(KEYS[number] for number in (3, 11, 17, 30))
    started = Fleet(seed, shares_paces).play(slow, 10.0, 20.0, 30.0)
    during = [took_s for at, _, took_s in started if 10.0 <= at < 20.0]
    limit_s = 2 * (FIRST_S + GAP_S * N_EVENTS)
    after = [key for at, key, _ in started if at >= 24.0]
    return sum(took_s > limit_s for took_s in during) / len(during), after


@pytest.mark.parametrize("seed", range(3))
def test_callers_wait_less_when_a_tenth_of_the_targets_turns_slow(seed):
    without, _ = play(seed, shares_paces=False)
    shared, after = play(seed, shares_paces=True)
    assert without > 0.05
    assert shared <= without / 2
    # Targets that recovered are used again.
    slow = {KEYS[number] for number in (3, 11, 17, 30)}
    assert slow <= set(after)
