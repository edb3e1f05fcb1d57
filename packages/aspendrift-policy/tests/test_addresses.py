"""Tests of the selection of addresses for callers."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from aspendrift_model.hosts import Host, Location
from aspendrift_model.ids import DaemonId, Incarnation, RegionName, ZoneName
from aspendrift_model.states import MemberState
from aspendrift_policy.addresses import AddressLimits, choose_addresses
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
