"""Tests of evacuated zones: positions, eras of the store and what peers tell."""

from __future__ import annotations

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
