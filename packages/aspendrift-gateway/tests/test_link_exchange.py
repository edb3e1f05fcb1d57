"""Tests of watching the links to targets, in virtual time."""

from __future__ import annotations

import asyncio
import random

from aspendrift_daemon.events import EventHub
from aspendrift_gateway.link_exchange import LinkExchange
from aspendrift_model.ids import DaemonId
from aspendrift_standins.virtual_time import VirtualClock, run_virtual

from .conftest import Network, entry

PROBE_S = 0.3


class Fleet:
    """Daemons whose links to two targets can be cut."""

    def __init__(self, n_daemons):
        self.network = Network()
        self.cut = set()
        self.n_probes = 0
        clock = VirtualClock(asyncio.get_running_loop())
        self.exchanges_by_id = {}
        for number in range(n_daemons):
            link = self.network.link(f"d{number}")
            daemon_id = link.host.daemon_id
            self.exchanges_by_id[daemon_id] = LinkExchange(
                link,
                lambda: [entry("t1"), entry("t2")],
                self._accepts(daemon_id),
                clock,
                EventHub(),
                random.Random(number),
                lambda: None,
            )
        self.clock = clock

    def _accepts(self, daemon_id):
        async def accepts(target):
            self.n_probes += 1
            await asyncio.sleep(PROBE_S if daemon_id in self.cut else 0.002)
            return daemon_id not in self.cut

        return accepts

    async def start(self):
        for exchange in self.exchanges_by_id.values():
            await exchange.start()

    def without_links(self, name):
        exchange = self.exchanges_by_id[DaemonId(name)]
        return exchange.without_links(self.clock.monotonic())


def run(scenario, n_daemons=3):
    async def main():
        fleet = Fleet(n_daemons)
        await fleet.start()
        await scenario(fleet)

    run_virtual(main())


async def lose(fleet, *names):
    """Cut daemons off their targets while each of them waits for an answer."""
    for name in names:
        fleet.cut.add(DaemonId(name))
        fleet.exchanges_by_id[DaemonId(name)].sent()
    await asyncio.sleep(2.0)


def test_all_daemons_know_within_two_seconds_who_lost_its_links():
    async def scenario(fleet):
        await lose(fleet, "d0")
        for name in ("d0", "d1", "d2"):
            assert fleet.without_links(name) == {"d0"}

    run(scenario)


def test_report_that_is_lost_on_its_way_is_made_good():
    async def scenario(fleet):
        fleet.network.cut_off.add(DaemonId("d1"))
        await lose(fleet, "d0")
        assert fleet.without_links("d1") == frozenset()
        fleet.network.cut_off.clear()
        await asyncio.sleep(1.2)
        assert fleet.without_links("d1") == {"d0"}

    run(scenario)


def test_links_that_are_back_are_used_within_a_second():
    async def scenario(fleet):
        await lose(fleet, "d0")
        await asyncio.sleep(10.0)
        assert fleet.without_links("d1") == {"d0"}
        fleet.cut.clear()
        await asyncio.sleep(1.0)
        for name in ("d0", "d1", "d2"):
            assert fleet.without_links(name) == frozenset()

    run(scenario)


def test_nobody_is_left_out_if_all_lost_their_links():
    async def scenario(fleet):
        await lose(fleet, "d0", "d1", "d2")
        assert fleet.without_links("d0") == frozenset()
        assert fleet.exchanges_by_id[DaemonId("d0")].is_lost

    run(scenario)


def test_daemon_that_is_answered_opens_no_connection_for_probes():
    async def scenario(fleet):
        exchange = fleet.exchanges_by_id[DaemonId("d0")]
        for _ in range(50):
            exchange.sent()
            await asyncio.sleep(0.3)
            exchange.received()
        assert fleet.n_probes == 0

    run(scenario)


def test_slow_answer_costs_one_probe():
    async def scenario(fleet):
        fleet.exchanges_by_id[DaemonId("d0")].sent()
        await asyncio.sleep(5.0)
        assert fleet.n_probes == 1
        assert fleet.without_links("d0") == frozenset()

    run(scenario)
