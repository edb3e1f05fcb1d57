"""Tests of exchanging paces between daemons, and of measuring them."""

from __future__ import annotations

import asyncio
import random

from aspendrift_daemon.events import EventHub
from aspendrift_gateway.pace_exchange import PaceExchange
from aspendrift_gateway.stream_pace import StreamPace
from aspendrift_model.ids import PoolName, TargetId
from aspendrift_model.target_entries import TargetKey
from aspendrift_standins.virtual_time import VirtualClock, run_virtual

from .conftest import Network

POOL = PoolName("p")
KEYS = [TargetKey(TargetId(f"t{number}"), 1) for number in range(5)]


class Daemon:
    def __init__(self, name, network, owner_id):
        self.avoided = []
        self.speeds = []
        self.events = []
        hub = EventHub()
        hub.connect_all(self.events.append)
        self.exchange = PaceExchange(
            network.link(name),
            lambda pool, now: owner_id,
            lambda pool, slow, until: self.avoided.append((slow, until)),
            lambda pool, speeds, until: self.speeds.append((speeds, until)),
            VirtualClock(asyncio.get_running_loop()),
            hub,
            random.Random(name),
        )


def run_daemons(scenario, count=6):
    async def main():
        network = Network()
        names = [f"d{number}" for number in range(count)]
        daemons = [Daemon(name, network, names[0]) for name in names]
        for daemon in daemons:
            await daemon.exchange.start()
        await scenario(daemons)
        for daemon in daemons:
            await daemon.exchange.stop()

    run_virtual(main())


def observe(daemons, slow_gap_s=0.08):
    """Let each daemon see one stream of each target, the last one being slow."""
    for daemon in daemons:
        for key in KEYS[:-1]:
            daemon.exchange.record(POOL, key, 0.02)
        daemon.exchange.record(POOL, KEYS[-1], slow_gap_s)


def test_every_daemon_avoids_what_all_of_them_saw_to_be_slow():
    async def scenario(daemons):
        observe(daemons)
        await asyncio.sleep(1.0)
        for daemon in daemons:
            slow, _ = daemon.avoided[-1]
            assert slow == {KEYS[-1]}
            (event,) = daemon.events
            assert event.target_ids == (KEYS[-1].target_id,)

    run_daemons(scenario)


def test_slow_target_is_repeated_while_it_is_slow_and_then_released():
    async def scenario(daemons):
        for _ in range(10):
            observe(daemons)
            await asyncio.sleep(0.5)
        now = asyncio.get_running_loop().time()
        assert all(daemon.avoided[-1][1] > now + 1.5 for daemon in daemons)
        await asyncio.sleep(4.0)
        assert all(daemon.avoided[-1][0] == set() for daemon in daemons)

    run_daemons(scenario)


def test_nothing_is_sent_while_no_target_is_slow():
    async def scenario(daemons):
        for _ in range(10):
            observe(daemons, slow_gap_s=0.02)
            await asyncio.sleep(0.5)
        assert all(daemon.avoided == [] for daemon in daemons)

    run_daemons(scenario)


def test_every_daemon_learns_the_speeds_of_targets_and_of_their_end():
    """Guards against equal shares for targets of which some are 1.6 times as fast."""

    async def scenario(daemons):
        gaps_s = (0.02 / 1.6, 0.02 / 1.6, 0.02, 0.02, 0.02, 0.02 / 0.6, 0.02 / 0.6)
        keys = [TargetKey(TargetId(f"t{number}"), 1) for number in range(len(gaps_s))]

        async def observe_for(seconds, gaps_s):
            for _ in range(seconds):
                for key, gap_s in zip(keys, gaps_s, strict=True):
                    for daemon in daemons:
                        daemon.exchange.record(POOL, key, gap_s)
                await asyncio.sleep(1.0)

        await observe_for(20, gaps_s)
        now = asyncio.get_running_loop().time()
        for daemon in daemons:
            speeds, until = daemon.speeds[-1]
            assert until > now + 10.0
            assert sorted(speeds) == [*keys[:2], *keys[-2:]]
            assert 1.4 <= speeds[keys[0]] <= 1.7
            assert 0.59 <= speeds[keys[-1]] <= 0.72
            assert len(daemon.speeds) <= 5
        await observe_for(40, [0.02] * len(gaps_s))
        assert [daemon.speeds[-1][0] for daemon in daemons] == [{}] * len(daemons)

    run_daemons(scenario)


def stream(gaps_s, n_before=0):
    """Record one event after each gap."""
    pace = StreamPace(n_before)
    now = 5.0
    pace.record(n_before + 1, now)
    for number, gap_s in enumerate(gaps_s, n_before + 2):
        now += gap_s
        pace.record(number, now)
    return pace


def test_pace_is_the_gap_between_events():
    pace = StreamPace(0)
    for number in range(1, 14):
        pace.record(number, 5.0 + 0.02 * number)
        assert pace.is_due() == (number == 11)
    assert abs(pace.gap_s() - 0.02) < 1e-9


def test_prompts_of_other_requests_do_not_make_a_target_slow():
    reading = [0.016] * 4 + [0.08] * 5 + [0.016] * 4
    assert abs(stream(reading).gap_s() - 0.016) < 1e-9
    slow = [0.016 * 3.5] * 4 + [0.08 * 3.5] * 5 + [0.016 * 3.5] * 4
    assert abs(stream(slow).gap_s() - 0.056) < 1e-9


def test_pace_ignores_events_of_earlier_targets():
    assert stream([0.02] * 9, n_before=30).gap_s() is None
    assert abs(stream([0.02] * 12, n_before=30).gap_s() - 0.02) < 1e-9


def test_events_of_one_read_share_its_gap():
    pace = StreamPace(0)
    for number in range(1, 13):
        pace.record(4 * number, 0.08 * number)
    assert abs(pace.gap_s() - 0.02) < 1e-9
