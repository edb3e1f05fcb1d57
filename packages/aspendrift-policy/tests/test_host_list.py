"""Tests of the platform's host list as a hint about members."""

from __future__ import annotations

import msgspec
import pytest

from aspendrift_model.hosts import Host, HostCapacity, Location
from aspendrift_model.ids import DaemonId, Incarnation, RegionName, ZoneName
from aspendrift_model.states import MemberState
from aspendrift_model.wire_peer import MemberUpdate
from aspendrift_model.wire_platform import HostEntry
from aspendrift_policy.host_list import HostListTracker
from aspendrift_policy.membership import MemberView, host_record

PLACE = Location(ZoneName("a"), RegionName("r"))
ENTRY = HostEntry("d1", "http://d1", "tcp://d1", "a", "r")


def host(name: str) -> Host:
    return Host(DaemonId(name), Incarnation(1), PLACE, f"http://{name}", "")


@pytest.fixture
def view() -> MemberView:
    return MemberView(host("d0"), 0.0)


def add_live_member(view: MemberView) -> None:
    record = host_record(host("d1"))
    view.apply(MemberUpdate("d1", 1, 0, MemberState.LIVE, record), 0.0)


def state(view: MemberView) -> MemberState:
    return view.members_by_id[DaemonId("d1")].state


def test_capacity_of_a_listed_host_is_known_before_it_is_reached(
    view: MemberView,
) -> None:
    entry = msgspec.structs.replace(ENTRY, cores=2.0, link_bits_per_s=1e8)
    HostListTracker().update([entry], view, 0.0)
    capacity = view.members_by_id[DaemonId("d1")].host.capacity
    assert capacity == HostCapacity(2.0, 1e8)


def test_listed_host_is_joining(view: MemberView) -> None:
    HostListTracker().update([ENTRY], view, 0.0)
    assert state(view) is MemberState.JOINING


def test_live_member_stays_live_despite_a_lagging_list(view: MemberView) -> None:
    listed = HostListTracker()
    add_live_member(view)
    for now in (0.0, 10.0, 500.0):
        listed.update([ENTRY] if now == 0.0 else [], view, now)
    assert state(view) is MemberState.LIVE


def test_silent_member_missing_from_the_list_for_long_is_dead(view: MemberView) -> None:
    listed = HostListTracker()
    add_live_member(view)
    listed.update([ENTRY], view, 0.0)
    view.escalate_state(DaemonId("d1"), MemberState.UNREACHABLE, 5.0)
    listed.update([], view, 10.0)
    assert state(view) is MemberState.UNREACHABLE
    listed.update([], view, 71.0)
    assert state(view) is MemberState.DEAD


@pytest.mark.fault("region cut", "daemon joined")
def test_silent_member_that_is_listed_is_not_dead(view: MemberView) -> None:
    listed = HostListTracker()
    add_live_member(view)
    view.escalate_state(DaemonId("d1"), MemberState.UNREACHABLE, 5.0)
    for now in range(0, 600, 10):
        listed.update([ENTRY], view, float(now))
    assert state(view) is MemberState.UNREACHABLE
