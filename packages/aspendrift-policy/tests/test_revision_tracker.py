"""Tests of tracking which daemons hold which revision."""

from __future__ import annotations

from aspendrift_model.hosts import Host, Location
from aspendrift_model.ids import DaemonId, Incarnation, RegionName, ZoneName
from aspendrift_policy.revision_tracker import RevisionTracker

PLACE = Location(ZoneName("a"), RegionName("r"))


def host(name: str, incarnation: int = 1) -> Host:
    return Host(DaemonId(name), Incarnation(incarnation), PLACE, "", "")


def test_accepted_by_more_than_half_and_in_force_by_all() -> None:
    tracker = RevisionTracker()
    hosts = [host(f"d{i}") for i in range(4)]
    for each in hosts[:2]:
        tracker.record(each, 5)
    assert not tracker.progress(5, hosts).is_accepted
    tracker.record(hosts[2], 6)
    progress = tracker.progress(5, hosts)
    assert progress.is_accepted
    assert progress.unconfirmed == ("d3",)
    tracker.record(hosts[3], 5)
    assert tracker.progress(5, hosts).is_in_force


def test_restarted_daemon_has_to_confirm_again() -> None:
    tracker = RevisionTracker()
    tracker.record(host("d0"), 5)
    tracker.record(host("d0"), 3)
    assert tracker.revision_of(host("d0")) == 5
    assert tracker.revision_of(host("d0", 2)) is None
    tracker.record(host("d0", 2), 4)
    assert tracker.revision_of(host("d0", 2)) == 4
