"""Tests of the decision whether a daemon lost its links to all targets."""

from __future__ import annotations

import random

import pytest

from aspendrift_model.ids import DaemonId, PoolName, TargetId, ZoneName
from aspendrift_model.target_entries import TargetEntry, TargetKey
from aspendrift_policy.link_health import (
    LinkHealth,
    PeersWithoutLinks,
    choose_probes,
    report_interval_s,
    without_links,
)

A, B = DaemonId("a"), DaemonId("b")


def entries(pool, n):
    return [
        TargetEntry(
            TargetKey(TargetId(f"{pool}{number}"), 1),
            PoolName(pool),
            "",
            ZoneName("z"),
            1,
            False,
        )
        for number in range(n)
    ]


def test_daemon_that_is_answered_probes_nothing():
    health = LinkHealth()
    for step in range(100):
        health.sent(step * 0.1)
        health.received(step * 0.1 + 0.05)
        assert not health.is_probe_due(step * 0.1 + 0.06)


def test_idle_daemon_probes_nothing():
    health = LinkHealth()
    health.sent(0.0)
    health.received(0.1)
    assert not health.is_probe_due(100.0)


def test_silence_of_all_targets_is_probed():
    health = LinkHealth()
    health.sent(0.0)
    health.sent(0.4)
    assert not health.is_probe_due(0.4)
    assert health.is_probe_due(0.6)


def test_failed_connection_is_probed_at_once():
    health = LinkHealth()
    health.sent(0.0)
    health.failed(0.01)
    assert health.is_probe_due(0.01)


def test_links_are_lost_only_after_a_probe_that_reached_no_target():
    health = LinkHealth()
    health.failed(0.0)
    assert not health.is_lost
    health.probe_began(0.0)
    assert not health.is_probe_due(5.0)
    assert health.probe_ended(False, 0.6)
    assert health.is_lost


def test_crash_of_one_target_does_not_cost_the_links():
    health = LinkHealth()
    health.failed(0.0)
    health.probe_began(0.0)
    assert not health.probe_ended(True, 0.01)
    assert not health.is_lost
    assert not health.is_probe_due(10.0)


def test_lost_links_are_probed_until_they_are_back():
    health = LinkHealth()
    health.failed(0.0)
    health.probe_began(0.0)
    health.probe_ended(False, 0.3)
    health.probe_began(0.5)
    assert not health.probe_ended(False, 0.8)
    assert health.is_probe_due(1.0)
    health.probe_began(1.0)
    assert health.probe_ended(True, 1.01)
    assert not health.is_lost


@pytest.mark.parametrize("seed", range(5))
def test_probes_cover_all_pools_before_one_twice(seed):
    found = entries("p", 9) + entries("q", 1) + entries("r", 2)
    chosen = choose_probes(found, random.Random(seed))
    assert {each.pool for each in chosen[:3]} == {"p", "q", "r"}
    assert len({each.key for each in chosen}) == len(chosen) == 5


def test_without_targets_nothing_is_probed():
    assert choose_probes([], random.Random(0)) == []


def test_lost_peer_counts_until_it_says_otherwise_or_falls_silent():
    peers = PeersWithoutLinks()
    assert peers.reported(A, True, 8, 0.0)
    assert not peers.reported(A, True, 8, 1.0)
    assert peers.lost(3.5) == {A}
    assert peers.lost(4.5) == frozenset()
    peers.reported(B, True, 8, 5.0)
    assert peers.reported(B, False, 8, 5.1)
    assert peers.lost(5.2) == frozenset()


@pytest.mark.parametrize("n_daemons", [2, 8, 100, 350])
def test_reports_stay_below_a_hundred_messages_a_second_and_hold_until_the_next(
    n_daemons,
):
    interval_s = report_interval_s(n_daemons)
    assert n_daemons / interval_s <= 100.0
    peers = PeersWithoutLinks()
    peers.reported(A, True, n_daemons, 0.0)
    assert peers.lost(2.0 * interval_s) == {A}


def test_no_daemon_is_left_out_if_all_have_lost_their_links():
    assert without_links(frozenset({A}), [A, B]) == {A}
    assert without_links(frozenset({A, B}), [A, B]) == frozenset()
