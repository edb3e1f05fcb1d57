"""Tests of the target registry: lapsed, wrong, late and unreadable entries."""

from __future__ import annotations

import math

from hypothesis import given
from hypothesis import strategies as st

from aspendrift_model.ids import PoolName, TargetId, ZoneName
from aspendrift_model.target_entries import TargetEntry, TargetKey, UnreadableEntry
from aspendrift_policy.target_registry import (
    EntryTimes,
    RegistryChangeKind,
    TargetRegistry,
)

POOL = PoolName("p")


def entry(
    name="t",
    born=1,
    *,
    pool=POOL,
    draining=False,
    address="10.0.0.1:1",
    software="",
):
    key = TargetKey(TargetId(name), born)
    return TargetEntry(key, pool, address, ZoneName("z"), 1, draining, software)


def usable(registry, pool=POOL):
    return [each.key for each in registry.usable(pool)]


def steady_registry(*entries, until=10.0):
    """Return a registry that has read the list every second without an outage."""
    registry = TargetRegistry()
    now = 0.0
    while now <= until:
        registry.replace(entries, now)
        now += 1.0
    return registry, now


def test_draining_target_is_not_usable_and_stays_so():
    registry, now = steady_registry(entry())
    changes = registry.update([entry(draining=True)], [], now)
    assert [each.kind for each in changes] == [RegistryChangeKind.DRAINING]
    assert usable(registry) == []
    registry.update([entry()], [], now + 0.1)
    assert usable(registry) == []


def test_drained_target_is_not_usable_again_after_its_entry_was_missing():
    registry, now = steady_registry(entry())
    registry.update([entry(draining=True)], [], now)
    registry.update([], [TargetId("t")], now + 0.5)
    registry.update([entry()], [], now + 1.0)
    assert usable(registry) == []


def test_target_restarted_under_its_id_is_usable():
    registry, now = steady_registry(entry())
    registry.update([entry(draining=True)], [], now)
    changes = registry.update([entry(born=2)], [], now + 1.0)
    assert [each.kind for each in changes] == [RegistryChangeKind.RESTARTED]
    assert usable(registry) == [TargetKey(TargetId("t"), 2)]


def test_late_entry_of_an_earlier_incarnation_is_ignored():
    registry, now = steady_registry(entry(born=2))
    assert registry.update([entry(born=1)], [], now) == []
    assert usable(registry) == [TargetKey(TargetId("t"), 2)]


def test_missing_entry_is_gone_at_once_in_steady_state():
    registry, now = steady_registry(entry())
    changes = registry.update([], [TargetId("t")], now)
    assert [each.kind for each in changes] == [RegistryChangeKind.GONE]
    assert usable(registry) == []


def test_entry_that_expired_in_an_outage_has_time_to_return():
    registry, now = steady_registry(entry())
    restored_at = now + 8.0
    registry.replace([], restored_at)
    assert usable(registry) == [entry().key]
    registry.update([entry()], [], restored_at + 1.0)
    registry.update([], [], restored_at + 3.0)
    assert usable(registry) == [entry().key]


def test_entry_that_does_not_come_back_after_an_outage_is_gone():
    registry, now = steady_registry(entry())
    restored_at = now + 8.0
    registry.replace([], restored_at)
    registry.update([], [], restored_at + 1.0)
    changes = registry.update([], [], restored_at + 2.1)
    assert [each.kind for each in changes] == [RegistryChangeKind.GONE]
    assert usable(registry) == []


def test_unreadable_entry_names_no_target_and_others_stay_valid():
    registry, now = steady_registry(entry(), entry("u"))
    broken = UnreadableEntry(TargetId("t"), "not an object")
    changes = registry.update([broken], [], now)
    assert [each.kind for each in changes] == [RegistryChangeKind.UNREADABLE]
    assert usable(registry) == [entry("u").key]


def test_target_that_moves_to_another_pool_leaves_the_old_one():
    registry, now = steady_registry(entry())
    registry.update([entry(born=2, pool=PoolName("q"))], [], now)
    assert usable(registry) == []
    assert usable(registry, PoolName("q")) == [TargetKey(TargetId("t"), 2)]


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["t", "u"]),
            st.integers(1, 3),
            st.booleans(),
            st.booleans(),
        ),
        max_size=30,
    )
)
def test_life_that_drained_is_never_used_again(updates):
    registry, now = steady_registry()
    drained = set()
    for name, born, draining, removed in updates:
        now += 0.5
        found = entry(name, born, draining=draining)
        known = registry.entries_by_id.get(TargetId(name))
        is_current = known is None or born >= known.key.born_ms
        registry.update([found], [TargetId(name)] if removed else [], now)
        if draining and is_current:
            drained.add(found.key)
        assert not drained & set(usable(registry))


def versions(registry, now, window_s=5.0):
    found = registry.version_history(POOL, now, window_s)
    return set(found.versions), found.is_complete


def test_version_history_names_versions_that_left_in_the_window():
    old = entry("a", software="v1")
    new = entry("b", software="v2")
    registry, now = steady_registry(old, new)
    assert versions(registry, now) == ({"v1", "v2"}, True)
    registry.update([], [TargetId("a")], now)
    assert versions(registry, now + 2.0) == ({"v1", "v2"}, True)
    for second in range(7):
        registry.update([], [], now + second)
    assert versions(registry, now + 6.0) == ({"v2"}, True)


def test_version_history_names_the_version_before_a_restart_under_the_same_id():
    registry, now = steady_registry(entry(born=1, software="v1"))
    registry.update([entry(born=2, software="v2")], [], now)
    assert versions(registry, now) == ({"v1", "v2"}, True)


def test_version_history_is_incomplete_after_a_start_or_an_outage_of_the_list():
    registry, now = steady_registry(entry(software="v1"), until=3.0)
    assert versions(registry, now) == ({"v1"}, False)
    registry, now = steady_registry(entry(software="v1"))
    assert versions(registry, now + 4.0) == ({"v1"}, False)
    registry.update([], [], now + 4.0)
    assert versions(registry, now + 4.0) == ({"v1"}, False)


def test_target_that_was_gone_is_held_back_when_the_store_is_restored():
    registry, now = steady_registry(entry("a"), entry("b"))
    registry.replace([entry("b")], now)
    registry.store_restored(now + 1.0)
    registry.replace([entry("a"), entry("b")], now + 1.0)
    assert usable(registry) == [entry("b").key]
    registry.update([], [TargetId("a")], now + 3.0)
    registry.update([], [], now + 9.0)
    assert usable(registry) == [entry("b").key]


def test_target_that_lives_is_used_again_after_it_was_held_back():
    registry, now = steady_registry(entry("a"), entry("b"))
    registry.replace([entry("b")], now)
    registry.store_restored(now + 1.0)
    registry.replace([entry("a"), entry("b")], now + 1.0)
    for second in range(2, 7):
        registry.update([], [], now + second)
    assert usable(registry) == [entry("a").key, entry("b").key]


def test_targets_of_an_evacuated_zone_are_listed_but_not_usable():
    registry, now = steady_registry(entry("t"), entry("u"))
    registry.set_evacuated(frozenset({ZoneName("z")}))
    registry.update([entry("v")], [], now)
    assert usable(registry) == []
    assert registry.all_usable() == []
    assert registry.evacuated_zones(POOL) == [ZoneName("z")]
    # Versions are those that may have begun a stream, wherever their targets are.
    assert "" in registry.version_history(POOL, now, 1.0).versions
    # A pool that drains is without targets for another reason.
    assert registry.evacuated_zones(PoolName("q")) == []
    registry.update([entry("w", pool=PoolName("q"), draining=True)], [], now)
    assert registry.evacuated_zones(PoolName("q")) == []
    registry.set_evacuated(frozenset())
    assert len(usable(registry)) == 3


def test_age_of_a_target_is_unknown_only_in_the_first_list():
    """A target that is new to a running daemon is cold whatever its entry says."""
    registry = TargetRegistry()
    registry.replace([entry("a", born=1)], 5.0)
    assert registry.entry_times(entry("a", born=1).key) == EntryTimes(5.0, -math.inf)
    registry.replace([entry("a", born=1), entry("b")], 6.0)
    registry.replace([entry("a", born=1, draining=True), entry("b")], 7.0)
    assert registry.entry_times(entry("a", born=1).key) == EntryTimes(7.0, -math.inf)
    assert registry.entry_times(entry("b").key) == EntryTimes(6.0, 6.0)
    registry.replace([entry("a", born=2)], 8.0)
    assert registry.entry_times(entry("a", born=2).key) == EntryTimes(8.0, 8.0)
    assert registry.entry_times(entry("a", born=1).key) is None
