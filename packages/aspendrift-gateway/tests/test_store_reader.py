"""Tests of following the store: feeds, lost history, outages and versions."""

from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace

import pytest

from aspendrift_daemon.events import EventHub
from aspendrift_gateway.store_reader import StoreReader
from aspendrift_gateway.system_state import SystemState
from aspendrift_model.ids import PoolName
from aspendrift_model.store_rows import StorePosition
from aspendrift_standins.virtual_time import VirtualClock, run_virtual

from .conftest import FakeStore

POOL = PoolName("p")
# Time in which a configuration must be in force.
CONFIGURATION_S = 4.0


def run_scenario(
    scenario, reads_per_s=1000.0, n_readers=1, configuration_s=CONFIGURATION_S
):
    async def main():
        clock = VirtualClock(asyncio.get_running_loop())
        hub = EventHub()
        events = []
        hub.connect_all(events.append)
        store = FakeStore()
        state = SystemState(store.codec, hub)
        store.put("configuration", "routes", b"3")
        store.put("targets", "t1", b"ready")
        reader = StoreReader(
            store,
            state,
            lambda: SimpleNamespace(
                drain_s=2.0,
                configuration_s=configuration_s,
                evacuation_s=5.0,
                store_reads_per_s=reads_per_s,
            ),
            lambda: n_readers,
            clock,
            hub,
            random.Random(0),
        )
        await reader.start()
        await asyncio.sleep(0.5)
        await scenario(store, state, events)
        await reader.stop()

    run_virtual(main())


def usable(state):
    return [each.key.target_id for each in state.registry.usable(POOL)]


def test_existing_entries_are_read_at_the_start():
    async def scenario(store, state, events):
        assert state.is_complete
        assert state.configuration_version == 3
        assert usable(state) == ["t1"]

    run_scenario(scenario)


def test_change_of_the_configuration_is_in_force_within_the_wait_of_its_feed():
    async def scenario(store, state, events):
        store.put("configuration", "routes", b"8")
        await asyncio.sleep(2.2)
        assert state.configuration_version == 8

    run_scenario(scenario)


def test_many_daemons_stay_within_the_rate_of_the_store():
    async def scenario(store, state, events):
        await asyncio.sleep(60.0)
        n_calls = sum(kind.startswith(("feed", "table")) for kind in store.calls)
        # The feed of the configuration adds one call every 2 s.
        assert n_calls <= 60.5 * 30.0 / 64 + 30 + 4

    run_scenario(scenario, reads_per_s=30.0, n_readers=64)


def test_configuration_never_goes_back():
    async def scenario(store, state, events):
        store.put("configuration", "routes", b"2")
        await asyncio.sleep(3.0)
        assert state.configuration_version == 3

    run_scenario(scenario)


def test_target_is_added_and_dropped_within_the_poll_interval():
    async def scenario(store, state, events):
        store.put("targets", "t2", b"ready")
        await asyncio.sleep(1.3)
        assert usable(state) == ["t1", "t2"]
        await asyncio.sleep(3.0)
        store.put("targets", "t1", None)
        await asyncio.sleep(1.3)
        assert usable(state) == ["t2"]

    run_scenario(scenario)


def test_lost_history_leads_to_a_full_read():
    async def scenario(store, state, events):
        store.put("targets", "t2", b"ready")
        store.loses_history = True
        await asyncio.sleep(1.5)
        assert usable(state) == ["t1", "t2"]

    run_scenario(scenario)


def test_feed_that_hides_changes_is_checked_with_a_full_read():
    async def scenario(store, state, events):
        store.hides_changes = True
        store.put("targets", "t2", b"ready")
        await asyncio.sleep(4.5)
        assert usable(state) == ["t1", "t2"]

    run_scenario(scenario)


def test_removal_that_the_feed_hides_among_other_changes_is_found():
    async def scenario(store, state, events):
        store.hidden_keys.add("t1")
        store.put("targets", "t1", None)
        for _ in range(20):
            store.put("targets", "t2", b"ready")
            await asyncio.sleep(0.25)
        assert usable(state) == ["t2"]

    run_scenario(scenario)


def test_configuration_that_the_feed_hides_is_in_force_in_time():
    async def scenario(store, state, events):
        store.hides_changes = True
        store.put("configuration", "routes", b"8")
        await asyncio.sleep(CONFIGURATION_S)
        assert state.configuration_version == 8

    run_scenario(scenario)


@pytest.mark.parametrize("after_s", [0.0, 0.3, 0.6, 0.9, 1.2])
def test_configuration_that_a_slow_store_hides_is_in_force_in_time(after_s):
    async def scenario(store, state, events):
        store.hides_changes = True
        store.late_s = 0.9
        await asyncio.sleep(5.0 + after_s)
        store.put("configuration", "routes", b"8")
        await asyncio.sleep(2.0)
        assert state.configuration_version == 8

    run_scenario(scenario, configuration_s=2.0)


@pytest.mark.parametrize("changes", [False, True])
def test_late_answer_of_the_feed_does_not_count_as_current(changes):
    async def scenario(store, state, events):
        store.late_s = 0.7
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        for step in range(200):
            if changes and step % 40 == 0:
                store.put("configuration", "routes", str(step + 4).encode())
            await asyncio.sleep(0.05)
            arrived = [t for t in store.answered_at if t + store.late_s <= loop.time()]
            latest_at = max(arrived, default=began_at)
            assert state.configuration_confirmed_at <= latest_at
            assert loop.time() - state.configuration_confirmed_at < CONFIGURATION_S

    run_scenario(scenario)


def test_outage_and_its_end_are_each_reported_once():
    async def scenario(store, state, events):
        store.is_down = True
        await asyncio.sleep(6.0)
        store.is_down = False
        await asyncio.sleep(3.0)
        reports = [
            (each.dependency.value, each.is_lost)
            for each in events
            if each.name == "dependency_changed"
        ]
        assert sorted(reports) == [
            ("store_configuration", False),
            ("store_configuration", True),
            ("store_targets", False),
            ("store_targets", True),
        ]
        assert usable(state) == ["t1"]

    run_scenario(scenario)


def test_calls_in_an_outage_stay_within_their_rate():
    async def scenario(store, state, events):
        store.is_down = True
        store.calls.clear()
        await asyncio.sleep(10.0)
        assert len(store.calls) <= 2 * 10.0 / 0.35

    run_scenario(scenario)


def test_state_age_grows_in_an_outage():
    async def scenario(store, state, events):
        store.is_down = True
        await asyncio.sleep(5.0)
        now = asyncio.get_running_loop().time()
        assert now - state.confirmed_at() > 2.5

    run_scenario(scenario)


def test_unreadable_entry_is_reported_and_names_no_target():
    async def scenario(store, state, events):
        store.put("targets", "t1", b"broken")
        await asyncio.sleep(1.5)
        assert usable(state) == []
        changes = [each for each in events if each.name == "target_changed"]
        assert changes[-1].problem == "broken"

    run_scenario(scenario)


def test_older_list_of_a_peer_is_ignored():
    async def scenario(store, state, events):
        now = asyncio.get_running_loop().time()
        older = StorePosition(0, state.targets_version - 1)
        state.replace_targets([("t9", b"ready")], older, now)
        assert usable(state) == ["t1"]

    run_scenario(scenario)


def test_long_list_is_read_completely_less_often():
    async def scenario(store, state, events):
        for number in range(500):
            store.put("targets", f"m{number}", b"ready")
        await asyncio.sleep(2.0)
        store.calls.clear()
        await asyncio.sleep(30.0)
        assert 2 <= store.calls.count("table targets") <= 3

    run_scenario(scenario)


def test_version_given_out_again_hides_no_change():
    async def scenario(store, state, events):
        copy = store.copy()
        for number in range(5):
            store.put("targets", f"m{number}", b"ready")
        await asyncio.sleep(1.0)
        store.restore(copy)
        store.put("targets", "t1", b"broken")
        for number in range(9):
            store.put("targets", f"n{number}", b"ready")
        await asyncio.sleep(1.0)
        assert "t1" not in usable(state)
        assert "n8" in usable(state)
        (event,) = [each for each in events if each.name == "store_era_changed"]
        assert (event.era, event.previous_era) == (1, 0)

    run_scenario(scenario)


def test_what_the_store_lost_stays_in_force_until_it_is_written_again():
    async def scenario(store, state, events):
        copy = store.copy()
        store.put("configuration", "routes", b"8")
        store.put("targets", "t2", b"ready")
        await asyncio.sleep(3.0)
        store.restore(copy)
        await asyncio.sleep(1.0)
        assert state.configuration_version == 8
        assert "t2" in usable(state)
        store.put("targets", "t2", b"ready")
        store.put("configuration", "routes", b"9")
        await asyncio.sleep(4.0)
        assert state.configuration_version == 9
        assert "t2" in usable(state)

    run_scenario(scenario)


def test_entry_that_is_not_written_again_is_gone():
    async def scenario(store, state, events):
        copy = store.copy()
        store.put("targets", "t2", b"ready")
        await asyncio.sleep(3.0)
        store.restore(copy)
        await asyncio.sleep(8.0)
        assert usable(state) == ["t1"]

    run_scenario(scenario)


def test_history_is_read_once_for_each_rise_of_the_era():
    async def scenario(store, state, events):
        for _ in range(2):
            copy = store.copy()
            store.put("targets", "t2", b"ready")
            await asyncio.sleep(0.9)
            store.restore(copy)
            store.calls.clear()
            store.put("targets", "t2", b"ready")
            store.put("targets", "t3", b"ready")
            await asyncio.sleep(0.9)
            assert store.calls.count("table targets") == 1
            assert store.calls.count("table configuration") <= 1
            assert {"t2", "t3"} <= set(usable(state))
        eras = [each.era for each in events if each.name == "store_era_changed"]
        assert eras == [1, 2]

    run_scenario(scenario)
