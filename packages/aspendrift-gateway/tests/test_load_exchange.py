"""Tests of exchanging the loads of targets between daemons."""

from __future__ import annotations

import asyncio
import random

import msgspec

from aspendrift_daemon.events import EventHub
from aspendrift_gateway.load_exchange import LoadExchange
from aspendrift_model.ids import PoolName, TargetId
from aspendrift_model.load_reports import LoadReport
from aspendrift_model.target_entries import TargetKey
from aspendrift_model.wire_work import LoadMessage, LoadSamples
from aspendrift_standins.virtual_time import VirtualClock, run_virtual

from .conftest import Network

POOL = PoolName("p")
KEY = TargetKey(TargetId("t1"), 1)
LOADED, FREE = LoadReport(12, 2, 12), LoadReport(6, 0, 12)


class Daemon:
    def __init__(self, name, network, owner_ids):
        self.applied = []
        self.events = []
        hub = EventHub()
        hub.connect_all(self.events.append)
        self.exchange = LoadExchange(
            network.link(name),
            lambda pool, now: owner_ids[0],
            lambda *each: self.applied.append(each),
            VirtualClock(asyncio.get_running_loop()),
            hub,
            random.Random(name),
        )

    def listed(self):
        """Return the targets that are listed now."""
        now = asyncio.get_running_loop().time()
        _, loads, _, until = self.applied[-1] if self.applied else (0, {}, 0, -1)
        return set(loads) if now < until else set()


def run_daemons(scenario, count=20):
    async def main():
        network = Network()
        owner_ids = ["d0"]
        daemons = [Daemon(f"d{n}", network, owner_ids) for n in range(count)]
        for daemon in daemons:
            await daemon.exchange.start()
        await scenario(daemons, network, owner_ids)
        for daemon in daemons:
            await daemon.exchange.stop()

    run_virtual(main())


async def observe(daemons, report, for_s):
    """Let another daemon see a report each 0.1 s."""
    for step in range(int(for_s * 10)):
        daemons[1 + step % 7].exchange.record(POOL, KEY, report)
        await asyncio.sleep(0.1)


def test_every_daemon_learns_of_a_load_that_few_saw_and_of_its_end():
    """Guards against work at a queue that only other daemons saw."""

    async def scenario(daemons, network, owner_ids):
        await observe(daemons, LOADED, 1.2)
        for daemon in daemons:
            assert daemon.listed() == {KEY}
            assert daemon.applied[-1][1][KEY].report.n_requests == 14
            assert daemon.exchange.n_listed() == 1
        await observe(daemons, FREE, 1.2)
        assert [daemon.listed() for daemon in daemons] == [set()] * 20

    run_daemons(scenario)


def test_nothing_is_sent_for_a_pool_without_load():
    async def scenario(daemons, network, owner_ids):
        await observe(daemons, FREE, 5.0)
        assert network.sent == []
        await observe(daemons, LOADED, 2.0)
        await asyncio.sleep(4.0)
        network.sent.clear()
        await observe(daemons, FREE, 3.0)
        assert network.sent == []

    run_daemons(scenario)


def test_list_expires_when_the_owner_is_silent_and_the_next_owner_takes_over():
    """Guards against targets that stay avoided after the death of their owner."""

    async def scenario(daemons, network, owner_ids):
        await observe(daemons, LOADED, 2.0)
        network.cut_off.add("d0")
        await observe(daemons, LOADED, 2.1)
        assert daemons[5].listed() == set()
        owner_ids[0] = "d9"
        await observe(daemons, LOADED, 1.5)
        assert daemons[5].listed() == {KEY}

    run_daemons(scenario)


def test_daemons_behind_a_relay_that_fails_keep_their_list():
    """Guards against lists that expire because one relay got no message."""

    async def scenario(daemons, network, owner_ids):
        await observe(daemons, LOADED, 2.0)
        network.cut_off.update({"d17", "d18"})
        n_missing = 0
        for _ in range(40):
            await observe(daemons, LOADED, 0.5)
            n_missing += sum(not each.listed() for each in daemons[:17])
        assert n_missing <= 0.02 * 40 * 17

    run_daemons(scenario)


def test_messages_are_bounded_when_every_target_is_loaded():
    """Guards against traffic that grows with targets, requests and daemons at once."""

    async def scenario(daemons, network, owner_ids):
        keys = [TargetKey(TargetId(f"engine-{n:03}"), 1 << 41) for n in range(70)]
        for step in range(200):
            for number, daemon in enumerate(daemons):
                key = keys[(step * 7 + number) % 70]
                daemon.exchange.record(POOL, key, LOADED)
            await asyncio.sleep(0.05)
        decoder = msgspec.msgpack.Decoder(LoadMessage)
        by_origin = {}
        for origin, _, payload in network.sent:
            message = decoder.decode(payload)
            is_sample = isinstance(message, LoadSamples)
            assert len(message.samples if is_sample else message.targets) <= 32
            if is_sample:
                assert len(message.samples) <= 4
            by_origin.setdefault(origin, []).append((is_sample, len(payload)))
        samples = [sum(each for each, _ in sent) for sent in by_origin.values()]
        assert max(samples) <= 10.0 / 0.25 + 1
        n_bytes = {each: sum(size for _, size in by_origin[each]) for each in by_origin}
        assert max(n_bytes.values()) / 10.0 < 16 * 1024
        assert all(len(daemon.events) <= 3 for daemon in daemons)

    run_daemons(scenario, count=64)
