"""Tests of the membership view."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from aspendrift_model.hosts import Host, HostCapacity, Location
from aspendrift_model.ids import DaemonId, Incarnation, RegionName, ZoneName
from aspendrift_model.states import MemberState
from aspendrift_model.wire_peer import MemberUpdate
from aspendrift_policy.membership import MemberView, host_record

PLACE = Location(ZoneName("a"), RegionName("r"))
IDS = ["d0", "d1", "d2", "d3"]


def host(name: str, incarnation: int = 1) -> Host:
    return Host(DaemonId(name), Incarnation(incarnation), PLACE, f"http://{name}", name)


def view(name: str = "d0") -> MemberView:
    return MemberView(host(name), 0.0)


def update(
    name: str,
    state: MemberState = MemberState.LIVE,
    incarnation: int = 1,
    refutation: int = 0,
) -> MemberUpdate:
    record = host_record(host(name, incarnation))
    return MemberUpdate(name, incarnation, refutation, state, record)


def test_capacity_stays_when_another_build_relays_the_record_without_it() -> None:
    members = view()
    capacity = HostCapacity(2.0, 1e8)
    record = host_record(replace(host("d1"), capacity=capacity))
    members.apply(MemberUpdate("d1", 1, 0, MemberState.LIVE, record), 0.0)
    members.apply(update("d1", refutation=1), 1.0)
    assert members.members_by_id[DaemonId("d1")].host.capacity == capacity


UPDATES = st.builds(
    update,
    st.sampled_from(IDS[1:]),
    st.sampled_from([s for s in MemberState if s is not MemberState.DEAD]),
    st.integers(1, 3),
    st.integers(0, 3),
)


@given(st.lists(UPDATES, max_size=12), st.randoms(use_true_random=False))
def test_order_of_updates_does_not_matter(
    updates: list[MemberUpdate], rng: random.Random
) -> None:
    first, second = view(), view()
    for each in updates:
        first.apply(each, 1.0)
    rng.shuffle(updates)
    for each in updates:
        second.apply(each, 1.0)
    assert first.members_by_id == second.members_by_id
    assert first.view_hash == second.view_hash


@given(st.lists(UPDATES, max_size=12))
def test_exchange_of_differing_buckets_makes_views_equal(
    updates: list[MemberUpdate],
) -> None:
    first, second = view("d0"), view("d0")
    for i, each in enumerate(updates):
        (first if i % 2 else second).apply(each, 1.0)
    for receiver, sender in ((first, second), (second, first)):
        for each in sender.differing_updates(receiver.bucket_hashes):
            receiver.apply(each, 2.0)
    assert first.view_hash == second.view_hash


def test_dead_state_of_the_own_member_is_refuted() -> None:
    own = view()
    assert own.apply(update("d0", MemberState.DEAD, refutation=4), 1.0)
    assert own.own.refutation == 5
    assert own.own.state is MemberState.LIVE


def test_old_incarnation_changes_nothing() -> None:
    own = view()
    own.apply(update("d1", incarnation=2), 1.0)
    assert not own.apply(update("d1", MemberState.DEAD, refutation=9), 2.0)
    assert own.members_by_id[DaemonId("d1")].state is MemberState.LIVE


def test_update_of_an_unknown_dead_member_is_not_stored() -> None:
    own = view()
    assert not own.apply(update("d1", MemberState.DEAD), 1.0)
    assert list(own.members_by_id) == ["d0"]


def test_dead_members_are_removed_and_not_in_the_view_hash() -> None:
    own = view()
    empty = own.view_hash
    own.apply(update("d1"), 1.0)
    own.escalate_state(DaemonId("d1"), MemberState.DEAD, 2.0)
    assert own.view_hash == empty
    own.expire_dead(100.0, 60.0)
    assert own.view_hash == empty
    assert [member.host.daemon_id for member in own.members()] == ["d0"]


def test_seed_that_sent_no_message_is_not_disseminated() -> None:
    own = view()
    own.add_seed(host("d1", 0), 0.0)
    own.queue_update(DaemonId("d1"))
    assert own.next_updates(8) == ()
    assert own.differing_updates([1] * 16)[0].daemon_id == "d0"
    assert len(own.members()) == 2


def test_updates_are_sent_a_bounded_number_of_times() -> None:
    own = view()
    own.apply(update("d1"), 1.0)
    sent = sum(len(own.next_updates(8)) for _ in range(100))
    assert 0 < sent <= 6


class CutViews(RuleBasedStateMachine):
    """Partitioned daemons see only missing responses of the others.

    No member may become dead or leave a view, and all views must agree once the
    partition heals.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.views = {name: view(name) for name in IDS}
        for own in self.views.values():
            for name in IDS:
                own.apply(update(name), 0.0)

    @rule(
        observer=st.sampled_from(IDS),
        suspected=st.sampled_from(IDS),
        state=st.sampled_from([MemberState.SUSPECT, MemberState.UNREACHABLE]),
    )
    def silence(self, observer: str, suspected: str, state: MemberState) -> None:
        self.now += 1
        if observer != suspected:
            self.views[observer].escalate_state(DaemonId(suspected), state, self.now)

    @rule(origin=st.sampled_from(IDS), to=st.sampled_from(IDS))
    def gossip(self, origin: str, to: str) -> None:
        self.now += 1
        for each in self.views[origin].next_updates(8):
            self.views[to].apply(each, self.now)

    @rule(origin=st.sampled_from(IDS), to=st.sampled_from(IDS))
    def synchronise(self, origin: str, to: str) -> None:
        self.now += 1
        hashes = self.views[to].bucket_hashes
        for each in self.views[origin].differing_updates(hashes):
            self.views[to].apply(each, self.now)

    @invariant()
    def no_member_is_dead_or_lost(self) -> None:
        for own in self.views.values():
            assert {member.host.daemon_id for member in own.members()} == set(IDS)

    def teardown(self) -> None:
        for _ in range(20):
            for origin in IDS:
                for to in IDS:
                    source = self.views[origin]
                    for member in source.members():
                        self.views[to].apply(source.update_of(member), self.now)
        known = [own.members_by_id for own in self.views.values()]
        states = {
            (name, member.state) for each in known for name, member in each.items()
        }
        assert states == {(name, MemberState.LIVE) for name in IDS}
        assert len({own.view_hash for own in self.views.values()}) == 1


TestCutViews = pytest.mark.fault("region cut", "daemon joined")(CutViews.TestCase)
