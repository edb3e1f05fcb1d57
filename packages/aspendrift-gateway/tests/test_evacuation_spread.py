"""Tests of how evacuations reach every daemon, over a network in virtual time.

The figures of the design note are those that these tests print:
``pytest -s -k figures packages/aspendrift-gateway/tests/test_evacuation_spread.py``.
"""

from __future__ import annotations

import asyncio
import random
import statistics
from types import SimpleNamespace

import msgspec
import pytest

from aspendrift_model.wire_work import StateUpdate
from aspendrift_standins.virtual_time import run_virtual

from .test_peer_state import Daemon, World, run_world

# Times of a deployment with evacuations.
SETTINGS = SimpleNamespace(
    drain_s=3.0, configuration_s=3.0, evacuation_s=5.0, store_reads_per_s=2000.0
)
DEGRADED_S = 6.0
ZONE = "z1"
# Fields of a state update before evacuations were sent.
N_EARLIER_FIELDS = 9


@pytest.fixture(autouse=True)
def deployment(monkeypatch):
    monkeypatch.setitem(run_world.__globals__, "SETTINGS", SETTINGS)


def evacuate(world, zone=ZONE, value=b"{}"):
    world.store.put("configuration", f"evacuate/{zone}", value)


def zones(daemon):
    return set(daemon.state.evacuations.zones)


def expect(daemons, *expected):
    for daemon in daemons:
        assert zones(daemon) == set(expected), daemon.daemon_id


def make_earlier_release(daemon):
    """Let a daemon send what the release before evacuations sent."""
    send = daemon.link.send

    def send_earlier(daemon_id, topic, payload):
        fields = msgspec.msgpack.decode(payload)
        if fields[0] == "u":
            payload = msgspec.msgpack.encode(fields[: N_EARLIER_FIELDS + 1])
        send(daemon_id, topic, payload)

    daemon.link.send = send_earlier


def named(daemon, name):
    return [each for each in daemon.events if each.name == name]


async def time_of_last(world, n_zones, limit_s):
    """Return the time until the last daemon applies an evacuation."""
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    while any(len(zones(each)) != n_zones for each in world.daemons):
        assert loop.time() - began_at < limit_s
        await asyncio.sleep(0.01)
    return loop.time() - began_at


@pytest.mark.parametrize(
    "store", ["up", "slow", "third turned away", "third with all readers turned away"]
)
@pytest.mark.parametrize("count", [8, 91, 300])
def test_last_daemon_applies_an_evacuation_in_time_figures(count, store):
    times = []

    async def main(seed):
        rng = random.Random(seed)
        world = World(count)
        world.store.poll_s = 0.02
        for daemon in world.daemons:
            daemon.store.poll_s = 0.02
            await daemon.start()
        await asyncio.sleep(5.0)
        if store == "slow":
            for daemon in world.daemons:
                # Calls take 0.8 s at most before they count as failed.
                daemon.store.delay_s = 0.7
        elif store != "up":
            rejected = world.readers if "readers" in store else []
            others = [each for each in world.daemons if each not in rejected]
            rejected = rejected + rng.sample(others, count // 3 - len(rejected))
            for daemon in rejected:
                daemon.store.is_down = True
        await asyncio.sleep(rng.uniform(0.0, 4.0))
        evacuate(world)
        bound_s = SETTINGS.evacuation_s + (0.0 if store == "up" else DEGRADED_S)
        times.append(await time_of_last(world, 1, bound_s))
        for daemon in world.daemons:
            await daemon.stop()

    n_runs = 3 if count == 300 else 6
    for seed in range(n_runs):
        run_virtual(main(seed))
    median_s = statistics.median(times)
    print(f"\n{count} daemons, store {store}: {median_s:.2f} s, max {max(times):.2f} s")


def test_readers_that_the_store_turns_away_learn_it_from_a_peer_in_time():
    # They follow the store and would not ask a peer; their followers ask them.
    async def scenario(world):
        for reader in world.readers:
            reader.store.is_down = True
        evacuate(world)
        await asyncio.sleep(SETTINGS.evacuation_s)
        expect(world.daemons, ZONE)

    run_world(scenario)


@pytest.mark.parametrize("n_rejected", [0, 4])
def test_followers_of_an_earlier_release_read_the_store_themselves(n_rejected):
    # A reader of the earlier release answers in time, but tells no evacuations.
    async def scenario(world):
        for reader in world.readers:
            make_earlier_release(reader)
        for daemon in world.followers[:n_rejected]:
            daemon.store.is_down = True
        await asyncio.sleep(6.0)
        for daemon in world.daemons:
            daemon.store.calls.clear()
        evacuate(world)
        bound_s = SETTINGS.evacuation_s + (DEGRADED_S if n_rejected else 0.0)
        await asyncio.sleep(bound_s)
        expect(world.daemons, ZONE)
        # One read of two tables in some seconds each, not one for each query.
        for daemon in world.followers[n_rejected:]:
            assert len(daemon.store.calls) <= 2 * bound_s / 2.0
        evacuate(world, value=None)
        await asyncio.sleep(bound_s)
        expect(world.daemons)

    run_world(scenario)


def test_update_without_evacuations_ends_none():
    async def scenario(world):
        evacuate(world)
        await asyncio.sleep(2.0)
        reader, follower = world.readers[0], world.followers[0]
        position = follower.state.targets_position
        update = StateUpdate(0, 99, 0, b"", position.version + 9, 0, -1, ())
        reader.link.send(follower.daemon_id, "g", msgspec.msgpack.encode(update))
        await asyncio.sleep(0.01)
        expect([follower], ZONE)

    run_world(scenario)


@pytest.mark.parametrize("is_written_again", [True, False])
def test_evacuation_that_an_era_lacks_is_held_everywhere(is_written_again):
    async def scenario(world):
        copy = world.store.copy()
        evacuate(world)
        await asyncio.sleep(2.0)
        world.store.restore(copy)
        for _ in range(35):
            await asyncio.sleep(0.1)
            expect(world.daemons, ZONE)
        if is_written_again:
            evacuate(world)
        await asyncio.sleep(6.0)
        expect(world.daemons, *([ZONE] if is_written_again else []))
        for daemon in world.daemons:
            returned = named(daemon, "zone_returned")
            assert len(returned) == (0 if is_written_again else 1)

    run_world(scenario)


def test_two_zones_in_a_row_and_the_return_of_the_first():
    async def scenario(world):
        evacuate(world, "z1")
        await asyncio.sleep(0.3)
        evacuate(world, "z2")
        await asyncio.sleep(0.3)
        evacuate(world, "z1", None)
        await asyncio.sleep(SETTINGS.evacuation_s)
        expect(world.daemons, "z2")
        for daemon in world.daemons:
            assert daemon.state.returned_at("z2") is None

    run_world(scenario)


def test_zone_taken_back_in_an_outage_returns_after_it():
    async def scenario(world):
        evacuate(world)
        await asyncio.sleep(3.0)
        for daemon in world.daemons:
            daemon.store.is_down = True
        evacuate(world, value=None)
        await asyncio.sleep(20.0)
        expect(world.daemons, ZONE)
        for daemon in world.daemons:
            daemon.store.is_down = False
        await asyncio.sleep(SETTINGS.evacuation_s)
        expect(world.daemons)
        for daemon in world.daemons:
            (event,) = named(daemon, "zone_returned")
            assert event.evacuated_s >= 20.0

    run_world(scenario)


@pytest.mark.parametrize("is_rejected", [False, True])
def test_daemon_that_starts_does_not_serve_before_it_knows(is_rejected):
    async def scenario(world):
        evacuate(world)
        await asyncio.sleep(2.0)
        for daemon in world.daemons:
            make_earlier_release(daemon)
        late = Daemon("late", world.network, world.store)
        late.store.is_down = is_rejected
        await late.start()
        for _ in range(60):
            await asyncio.sleep(0.1)
            if late.state.is_complete:
                expect([late], ZONE)
        # Peers of the earlier release tell it everything else.
        assert late.state.is_complete is not is_rejected
        assert late.state.table is not None
        late.store.is_down = False
        await asyncio.sleep(SETTINGS.evacuation_s)
        assert late.state.is_complete
        expect([late], ZONE)
        await late.stop()

    run_world(scenario)


def test_daemon_cut_off_during_an_evacuation_learns_that_the_zone_may_be_cold():
    async def scenario(world):
        victim = world.followers[0]
        world.cut(victim)
        evacuate(world)
        await asyncio.sleep(5.0)
        evacuate(world, value=None)
        await asyncio.sleep(5.0)
        world.network.cut_off.clear()
        await asyncio.sleep(2.0)
        returned_at = world.readers[0].state.returned_at(ZONE)
        assert victim.state.returned_at(ZONE) == pytest.approx(returned_at, abs=0.1)

    run_world(scenario)
