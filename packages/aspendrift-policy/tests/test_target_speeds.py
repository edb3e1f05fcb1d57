"""Tests of learning the speeds of targets, and of dividing work by them."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from aspendrift_model.ids import PoolName, PrefixKey, TargetId, ZoneName
from aspendrift_model.target_entries import TargetEntry, TargetKey
from aspendrift_policy.affinity import target_hash, top_targets
from aspendrift_policy.outliers import EjectionRules
from aspendrift_policy.pool_choice import PoolChooser
from aspendrift_policy.target_speeds import SpeedTracker, speed_of, speeds_interval_s

KEYS = [TargetKey(TargetId(f"t{number}"), 1) for number in range(9)]
ENTRIES = [
    TargetEntry(key, PoolName("p"), f"{key.target_id}:1", ZoneName("z"), 12, False)
    for key in KEYS
]


def learned(gap_of, seconds=30, tracker=None):
    """Return the steps after samples of each target four times a second."""
    tracker = tracker or SpeedTracker()
    steps = {}
    for step in range(seconds * 4):
        for number, key in enumerate(KEYS):
            tracker.record(key, gap_of(number, step), step / 4)
        steps = tracker.steps(step / 4)
    return steps


def test_speeds_are_learned_from_gaps():
    steps = learned(lambda number, step: 0.02 / (0.6, 1.0, 1.6)[number % 3])
    assert set(steps) == {key for n, key in enumerate(KEYS) if n % 3 != 1}
    assert 0.55 < speed_of(steps[KEYS[0]]) < 0.75
    assert 1.4 < speed_of(steps[KEYS[2]]) < 1.75


def test_machines_that_are_slowed_down_for_moments_keep_their_speed():
    """Guards against moved cached prompts due to slowdowns of parts of a second."""
    rng = random.Random(2)
    steps = learned(lambda number, step: 0.02 * (2.5 if rng.random() < 0.15 else 1.0))
    assert steps == {}


def test_speed_settles_if_more_work_makes_a_target_slower():
    """Guards against work that moves back and forth with the measured speed."""
    tracker, history, steps = SpeedTracker(), [], {}
    for step in range(400):
        for number, key in enumerate(KEYS):
            load = 0.5 * speed_of(steps.get(key, 0))
            gap_s = 0.02 * (1 + load) / (0.6, 1.0, 1.6)[number % 3]
            tracker.record(key, gap_s, step / 4)
        steps = tracker.steps(step / 4)
        history.append(dict(steps))
    assert history[200:] == history[-1:] * 200


def test_few_targets_and_few_samples_are_not_judged():
    tracker = SpeedTracker()
    for number, gap_s in enumerate((0.02, 0.02, 0.06)):
        for step in range(40):
            tracker.record(KEYS[number], gap_s, step / 4)
    assert tracker.steps(10.0) == {}
    tracker.record(KEYS[3], 0.02, 10.0)
    assert tracker.steps(10.0) == {}


def test_targets_that_ended_are_forgotten():
    tracker = SpeedTracker()
    learned(lambda number, step: 0.02 * (1 + number), 10, tracker)
    assert tracker.steps(60.0) == {}
    assert tracker._speed_by_key == {}


def test_speeds_that_take_many_bytes_are_sent_rarely():
    assert speeds_interval_s(1500) == 5.0
    assert speeds_interval_s(60_000) > 14.0


def test_prompts_are_divided_by_speed_and_few_of_them_move():
    """Guards against prompts that are cached nowhere after a change of a speed."""
    hashes = [target_hash(key.target_id) for key in KEYS]
    shares = [2.0, *[1.0] * 8]
    prefixes = [PrefixKey(f"p{number}") for number in range(3000)]
    equal = [top_targets(each, hashes, 9) for each in prefixes]
    assert equal == [top_targets(each, hashes, 9, [1.0] * 9) for each in prefixes]
    weighted = [top_targets(each, hashes, 9, shares)[0] for each in prefixes]
    assert Counter(weighted)[0] / 3000 == pytest.approx(0.2, abs=0.03)
    pairs = zip(equal, weighted, strict=True)
    assert all(new in (before[0], 0) for before, new in pairs)


def test_chooser_divides_work_without_cached_prompts_by_speed():
    chooser = PoolChooser(EjectionRules(2, 1.0, 8.0, 0.0), random.Random(1))
    chooser.apply_speeds({KEYS[0]: 2.0}, 10.0)
    for now, share in ((1.0, 0.2), (11.0, 0.11)):
        chosen = [
            chooser.choose(ENTRIES, ZoneName("z"), None, (), now) for _ in range(2000)
        ]
        assert chosen.count(ENTRIES[0]) / 2000 == pytest.approx(share, abs=0.03)
