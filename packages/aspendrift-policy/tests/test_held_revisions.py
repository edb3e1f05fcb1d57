"""Tests of who is known to hold which revision."""

from __future__ import annotations

from aspendrift_model.hosts import Host, Location
from aspendrift_model.ids import DaemonId, Incarnation, RegionName, ZoneName
from aspendrift_policy.held_revisions import HeldRevisions

PLACE = Location(ZoneName("a"), RegionName("r"))


def host(name: str, incarnation: int = 1) -> Host:
    return Host(DaemonId(name), Incarnation(incarnation), PLACE, "", "")


def test_accepted_by_more_than_half_and_in_force_by_all() -> None:
    held = HeldRevisions()
    hosts = [host(f"d{i}") for i in range(4)]
    for each in hosts[:2]:
        held.note(each, 5)
    assert not held.progress(5, hosts).is_accepted
    held.note(hosts[2], 6)
    progress = held.progress(5, hosts)
    assert progress.is_accepted
    assert progress.unconfirmed == ("d3",)
    held.note(hosts[3], 5)
    assert held.progress(5, hosts).is_in_force


def test_restarted_daemon_has_to_confirm_again() -> None:
    held = HeldRevisions()
    held.note(host("d0"), 5)
    held.note(host("d0"), 3)
    assert held.revision_of(host("d0")) == 5
    assert held.revision_of(host("d0", 2)) is None
    held.note(host("d0", 2), 4)
    assert held.revision_of(host("d0", 2)) == 4
