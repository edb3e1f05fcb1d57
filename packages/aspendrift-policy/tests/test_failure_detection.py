"""Tests of direct probes, indirect probes and suspicion."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from aspendrift_model.hosts import Host, Location
from aspendrift_model.ids import DaemonId, Incarnation, RegionName, ZoneName
from aspendrift_model.states import MemberState
from aspendrift_model.wire_peer import MemberUpdate
from aspendrift_policy.failure_detection import (
    ProbeMember,
    Prober,
    ProbeTimes,
    RequestIndirectProbes,
    SuspectMember,
    ring_neighbours,
)
from aspendrift_policy.membership import MemberView, host_record

PLACE = Location(ZoneName("a"), RegionName("r"))
TIMES = ProbeTimes(interval_s=0.5, timeout_s=0.4, suspicion_s=3.0)


def host(index: int) -> Host:
    return Host(DaemonId(f"d{index:03}"), Incarnation(1), PLACE, "", "")


def filled_view(n_members: int) -> MemberView:
    view = MemberView(host(0), 0.0)
    for index in range(1, n_members):
        each = host(index)
        update = MemberUpdate(each.daemon_id, 1, 0, MemberState.LIVE, host_record(each))
        view.apply(update, 0.0)
    return view


def ticks(
    prober: Prober, view: MemberView, seconds: float, needs_refresh: bool = False
) -> list[tuple[float, object]]:
    rng = random.Random(1)
    found: list[tuple[float, object]] = []
    for step in range(round(seconds * 10)):
        now = step / 10
        found += [(now, each) for each in prober.tick(view, now, rng, needs_refresh)]
    return found


def test_every_member_has_about_as_many_observers() -> None:
    ids = [DaemonId(f"d{i:03}") for i in range(350)]
    watched = {each: ring_neighbours(each, ids) for each in ids}
    observers = Counter(each for found in watched.values() for each in found)
    assert all(each not in found for each, found in watched.items())
    assert {12 <= len(found) <= 16 for found in watched.values()} == {True}
    assert len(observers) == 350
    assert min(observers.values()) >= 12


def test_all_members_of_a_small_group_are_observed() -> None:
    ids = [DaemonId(f"d{i}") for i in range(8)]
    assert ring_neighbours(ids[3], ids) == [each for each in ids if each != ids[3]]


def test_departure_changes_few_neighbours() -> None:
    ids = [DaemonId(f"d{i:03}") for i in range(350)]
    before = {each: set(ring_neighbours(each, ids)) for each in ids[1:]}
    after = {each: set(ring_neighbours(each, ids[1:])) for each in ids[1:]}
    n_changed = sum(before[each] != after[each] for each in ids[1:])
    assert n_changed <= 16


def test_unanswered_probe_goes_to_helpers_then_marks_suspect() -> None:
    view = filled_view(6)
    found = ticks(Prober(TIMES), view, 2.0)
    first_probe = next(each for _, each in found if isinstance(each, ProbeMember))
    indirect = next(
        each for _, each in found if isinstance(each, RequestIndirectProbes)
    )
    suspected = next(each for _, each in found if isinstance(each, SuspectMember))
    assert first_probe.daemon_id == indirect.daemon_id == suspected.daemon_id
    assert len(indirect.helper_ids) == 3
    assert indirect.daemon_id not in indirect.helper_ids


def test_acknowledged_probe_is_removed() -> None:
    view, prober = filled_view(2), Prober(TIMES)
    probe = prober.tick(view, 0.0, random.Random(1))[0]
    assert isinstance(probe, ProbeMember)
    outstanding = prober.pop_acknowledged(probe.sequence)
    assert outstanding is not None
    assert outstanding.sent_at == 0.0
    assert prober.pop_acknowledged(probe.sequence) is None


@pytest.mark.fault("daemon paused", "daemon joined")
def test_process_that_was_paused_suspects_no_one() -> None:
    view, prober, rng = filled_view(6), Prober(TIMES), random.Random(1)
    prober.tick(view, 0.0, rng)
    after = prober.tick(view, 30.0, rng)
    assert not any(
        isinstance(each, RequestIndirectProbes | SuspectMember) for each in after
    )


def test_suspicion_ends_as_unreachable() -> None:
    view, prober, rng = filled_view(3), Prober(TIMES), random.Random(1)
    view.escalate_state(DaemonId("d001"), MemberState.SUSPECT, 0.0)
    prober.tick(view, 2.9, rng)
    assert view.members_by_id[DaemonId("d001")].state is MemberState.SUSPECT
    prober.tick(view, 3.1, rng)
    assert view.members_by_id[DaemonId("d001")].state is MemberState.UNREACHABLE


def test_unreachable_members_are_still_probed() -> None:
    view = filled_view(6)
    view.escalate_state(DaemonId("d003"), MemberState.UNREACHABLE, 0.0)
    found = ticks(Prober(TIMES), view, 20.0)
    probed = Counter(
        each.daemon_id for _, each in found if isinstance(each, ProbeMember)
    )
    assert probed[DaemonId("d003")] > 0


def test_member_that_needs_refresh_probes_more_often() -> None:
    counts = []
    for needs_refresh in (False, True):
        found = ticks(Prober(TIMES), filled_view(30), 30.0, needs_refresh)
        counts.append(sum(isinstance(each, ProbeMember) for _, each in found))
    assert counts[1] > 1.8 * counts[0]
