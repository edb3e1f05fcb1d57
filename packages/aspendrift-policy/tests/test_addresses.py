"""Tests of the selection of addresses for callers."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from aspendrift_model.hosts import Host, Location
from aspendrift_model.ids import DaemonId, Incarnation, RegionName, ZoneName
from aspendrift_model.states import MemberState
from aspendrift_policy.addresses import AddressLimits, choose_addresses, stable_choice
from aspendrift_policy.membership import Member

LIMITS = AddressLimits(4, 10.0)


def member(
    index: int, state: MemberState = MemberState.LIVE, serving: bool = True
) -> Member:
    location = Location(ZoneName("abc"[index % 3]), RegionName("r"))
    host = Host(DaemonId(f"d{index}"), Incarnation(1), location, f"http://d{index}", "")
    return Member(host, state, is_serving=serving)


CALLER = Location(ZoneName("a"), RegionName("r"))


def test_own_zone_comes_first_and_another_zone_last() -> None:
    members = [member(i) for i in range(30)]
    answer = choose_addresses(members, CALLER, LIMITS, random.Random(1))
    zones = [address.zone for address in answer.addresses]
    assert zones[:3] == ["a", "a", "a"]
    assert zones[3] != "a"


@pytest.mark.fault("daemon leaving", "leave announced")
def test_leaving_and_isolated_daemons_are_absent() -> None:
    members = [
        member(0, MemberState.LEAVING),
        member(3, serving=False),
        member(6, MemberState.UNREACHABLE),
        member(9, MemberState.SUSPECT),
        member(1),
    ]
    answer = choose_addresses(members, CALLER, LIMITS, random.Random(1))
    assert [address.daemon_id for address in answer.addresses] == ["d1", "d9"]


@pytest.mark.fault("burst", "daemon joined")
def test_many_callers_are_spread_over_the_zone() -> None:
    members = [member(i) for i in range(30)]
    rng = random.Random(1)
    n_callers = 5000
    first = Counter(
        choose_addresses(members, CALLER, LIMITS, rng).addresses[0].daemon_id
        for _ in range(n_callers)
    )
    assert len(first) == 10
    assert max(first.values()) < 1.25 * n_callers / 10


@pytest.mark.parametrize("count", [90, 195, 350])
def test_all_hosts_of_a_large_site_get_callers(count: int) -> None:
    members = [member(i) for i in range(count)]
    named = Counter(
        each.host.daemon_id
        for zone in "abc"
        for each in stable_choice(members, ZoneName(zone), 64)
    )
    assert len(named) >= min(count, 3 * 64) * 0.8
    assert max(named.values()) <= 3


def test_callers_keep_their_addresses_when_another_host_leaves() -> None:
    members = [member(i) for i in range(195)]
    before = stable_choice(members, ZoneName("a"), 64)
    left = before[10]
    after = stable_choice(
        [each for each in members if each is not left], ZoneName("a"), 64
    )
    assert len(set(_ids(before)) - set(_ids(after))) == 1


def test_hosts_of_the_callers_zone_come_first() -> None:
    members = [member(i) for i in range(150)]
    chosen = stable_choice(members, ZoneName("b"), 64)
    assert sum(each.host.location.zone == "b" for each in chosen) == 50


def test_hosts_that_accept_no_requests_are_not_named() -> None:
    members = [
        member(0, MemberState.LEAVING),
        member(3, serving=False),
        member(6, MemberState.SUSPECT),
        member(1),
    ]
    assert _ids(stable_choice(members, ZoneName("a"), 64)) == ["d1"]


def _ids(members: list[Member]) -> list[DaemonId]:
    return [each.host.daemon_id for each in members]
