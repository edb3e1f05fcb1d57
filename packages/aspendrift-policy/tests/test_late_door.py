"""Tests of late requests that make way, and of how long they do."""

from __future__ import annotations

import random

from aspendrift_policy.late_door import DoorVerdict, LateDoor


def look(door, times, is_late=True, is_backlogged=True):
    return [door.decide(is_late, is_backlogged, at) for at in times]


def test_request_that_can_be_on_time_or_finds_no_backlog_begins():
    door = LateDoor(random.Random(0))
    assert door.decide(False, True, 0.0) is DoorVerdict.BEGIN
    assert door.decide(True, False, 0.1) is DoorVerdict.BEGIN


def test_late_request_waits_about_a_second_and_is_refused():
    verdicts = look(LateDoor(random.Random(0)), [0.0, 0.4, 0.9, 1.0])
    assert verdicts == [*[DoorVerdict.WAIT] * 3, DoorVerdict.REFUSE]


def test_backlog_that_ends_lets_a_late_request_in():
    door = LateDoor(random.Random(0))
    look(door, [0.0, 0.5])
    assert door.decide(True, False, 0.7) is DoorVerdict.BEGIN


def test_time_of_work_is_no_wait_but_earlier_waits_count():
    door = LateDoor(random.Random(0))
    look(door, [0.0, 0.5])
    assert door.decide(True, False, 0.6) is DoorVerdict.BEGIN
    assert look(door, [9.0, 9.3]) == [DoorVerdict.WAIT] * 2
    assert door.decide(True, True, 9.5) is DoorVerdict.REFUSE


def test_looks_of_many_requests_are_spread():
    pauses = {LateDoor(random.Random(seed)).pause_s() for seed in range(20)}
    assert len(pauses) == 20
    assert 0.1 < min(pauses) < max(pauses) < 0.2
