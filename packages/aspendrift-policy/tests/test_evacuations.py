"""Tests of evacuated zones: positions, eras of the store and what peers tell."""

from __future__ import annotations

import random

import pytest

from aspendrift_model.ids import ZoneName
from aspendrift_model.store_rows import StorePosition
from aspendrift_policy.evacuations import EvacuationRecord, Evacuations, ZoneState

A, B = ZoneName("a"), ZoneName("b")


def at(version, era=0):
    return StorePosition(era, version)


def evacuated(*zones):
    """Return a state in which zones were evacuated at version 5, at 10 s."""
    found = Evacuations()
    found.replace((), at(1), 0.0)
    found.replace(zones, at(5), 10.0)
    return found


def test_nothing_is_known_before_the_first_read():
    # A daemon that took an empty state for knowledge would send to every zone.
    found = Evacuations()
    assert not found.is_known
    found.replace((), at(0), 0.0)
    assert found.is_known


@pytest.mark.parametrize("position", [at(4), at(9, era=-1)])
def test_older_state_changes_nothing(position):
    # A peer or an answer of the store that was delayed may tell what is over.
    found = evacuated(A)
    held = EvacuationRecord(B, ZoneState.HELD, 3.0)
    assert found.apply_records([held], position, 11.0) == []
    assert found.replace((), position, 11.0) == []
    assert found.update({A: False}, position, 11.0) == []
    found.replace({A}, at(6), 12.0)
    assert found.zones == {A}


def test_changes_of_two_zones_in_a_row_add_up():
    found = evacuated(A)
    found.update({B: True}, at(6), 11.0)
    assert found.zones == {A, B}
    (change,) = found.update({A: False}, at(7), 13.0)
    assert (change.zone, change.is_evacuated, change.lasted_s) == (A, False, 3.0)
    assert found.zones == {B}
    assert found.returned_at(A) == 13.0
    assert found.returned_at(B) is None


def test_evacuation_is_held_over_an_era_that_lacks_it_and_ends_then():
    # The copy that the store came back from was older than the row.
    found = evacuated(A)
    assert found.replace((), at(3, era=1), 20.0) == []
    assert found.expire(23.9) == []
    assert found.zones == {A}
    (change,) = found.expire(24.0)
    assert not change.is_evacuated
    assert found.returned_at(A) == 24.0


def test_row_written_again_in_the_new_era_stays_and_its_removal_ends_it():
    found = evacuated(A)
    found.replace((), at(3, era=1), 20.0)
    found.update({A: True}, at(4, era=1), 22.0)
    assert found.expire(30.0) == []
    assert found.zones == {A}
    found.update({A: False}, at(5, era=1), 31.0)
    assert found.zones == frozenset()


def test_second_era_does_not_extend_the_hold():
    found = evacuated(A)
    found.replace((), at(3, era=1), 20.0)
    found.replace((), at(2, era=2), 23.0)
    found.expire(24.0)
    assert found.zones == frozenset()


def test_changes_of_another_era_are_not_applied():
    found = evacuated(A)
    assert found.update({A: False}, at(9, era=1), 11.0) == []
    assert found.zones == {A}


def test_hold_and_return_are_passed_on():
    # A daemon that joined since, or missed the evacuation, would send to targets that
    # are still evacuated or cold.
    teller = evacuated(A, B)
    teller.update({B: False}, at(6), 18.0)
    teller.replace((), at(3, era=1), 20.0)
    found = Evacuations()
    found.apply_records(teller.records(21.0), teller.position, 121.0)
    assert found.zones == {A}
    assert found.returned_at(B) == pytest.approx(118.0)
    found.expire(124.1)
    assert found.zones == frozenset()


def test_peer_extends_no_hold_beyond_its_time():
    found = evacuated(A)
    record = EvacuationRecord(A, ZoneState.HELD, 1000.0)
    found.apply_records([record], at(3, era=1), 20.0)
    found.expire(24.0)
    assert found.zones == frozenset()


@pytest.mark.parametrize("seed", range(20))
def test_daemons_agree_whatever_they_learn_first(seed):
    # Updates overtake each other; the newest position decides, not the last message.
    rng = random.Random(seed)
    states = [(), (A,), (A, B), (B,), ()]
    teller = Evacuations()
    messages = []
    for version, zones in enumerate(states):
        teller.replace(zones, at(version), float(version))
        messages.append((teller.records(float(version)), teller.position))
    rng.shuffle(messages)
    found = Evacuations()
    for records, position in messages:
        found.apply_records(records, position, 10.0)
    assert found.zones == teller.zones
    assert found.position == teller.position


def test_retained_returns_are_bounded():
    found = Evacuations()
    for number in range(200):
        zones = (ZoneName(f"z{number}"),)
        found.replace(zones, at(2 * number), float(number))
    assert len(found.records(200.0)) <= 65
