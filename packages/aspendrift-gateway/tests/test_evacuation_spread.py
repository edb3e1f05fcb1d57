"""Tests of how evacuations reach every daemon, over a network in virtual time."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import msgspec
import pytest

from .test_peer_state import Daemon, run_world

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


def returns(daemon):
    return [each for each in daemon.events if each.name == "zone_returned"]


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
            returned = returns(daemon)
            assert len(returned) == (0 if is_written_again else 1)

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
            (event,) = returns(daemon)
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
