"""Tests of sharing origins of streams between daemons, in virtual time."""

from __future__ import annotations

import asyncio

import pytest

from aspendrift_daemon.events import EventHub
from aspendrift_gateway.origin_exchange import OriginExchange
from aspendrift_gateway.system_state import SystemState
from aspendrift_model.ids import AttemptId
from aspendrift_model.routes import RequestKind
from aspendrift_policy.stream_origins import OriginSource
from aspendrift_standins.virtual_time import VirtualClock, run_virtual

from .conftest import POOL, Network, entry, request, route

STREAM = route(RequestKind.STREAMING, is_resumable=True)
MIXED = (entry("t1", software="v1"), entry("t2", software="v2"))


class Daemon:
    def __init__(self, name, network, targets):
        self.events = []
        hub = EventHub()
        hub.connect_all(self.events.append)
        self.state = SystemState(None, hub)
        self.targets = targets
        self.link = network.link(name)
        clock = VirtualClock(asyncio.get_running_loop())
        self.exchange = OriginExchange(self.link, self.state, clock, hub)

    def read_targets(self):
        now = asyncio.get_running_loop().time()
        self.state.registry.replace(self.targets, now)
        self.state.targets_confirmed_at = now

    async def read_repeatedly(self):
        while True:
            await asyncio.sleep(0.5)
            self.read_targets()

    async def find(self, resumes):
        taken_up = request(
            attempt_id=AttemptId("new"), resumes=resumes, last_event_id="3"
        )
        return await self.exchange.find(taken_up, STREAM, POOL)


def run_daemons(scenario, targets=MIXED, count=8, observed_s=0):
    async def main():
        network = Network()
        daemons = [Daemon(f"d{number}", network, targets) for number in range(count)]
        for daemon in daemons:
            daemon.read_targets()
        for _ in range(observed_s):
            await asyncio.sleep(1.0)
            for daemon in daemons:
                daemon.read_targets()
        await scenario(network, daemons)

    run_virtual(main())


def restart(daemon, network):
    return Daemon(daemon.link.host.daemon_id, network, daemon.targets)


def test_any_daemon_finds_the_origin_after_the_serving_one_was_killed():
    async def scenario(network, daemons):
        for number in range(40):
            daemons[0].exchange.began(AttemptId(f"a{number}"), f"v{number % 2 + 1}")
        await asyncio.sleep(0.01)
        daemons[0] = restart(daemons[0], network)
        for number in range(40):
            origin = await daemons[number % 8].find(AttemptId(f"a{number}"))
            assert origin.software == f"v{number % 2 + 1}"

    run_daemons(scenario)


def test_unknown_origin_is_answered_within_a_few_round_trips():
    async def scenario(network, daemons):
        loop = asyncio.get_running_loop()
        began = loop.time()
        assert (await daemons[0].find(AttemptId("lost"))).software is None
        assert loop.time() - began < 0.02
        (event,) = daemons[0].events
        assert (event.source, event.resumes) == (OriginSource.UNKNOWN, "lost")

    run_daemons(scenario)


def test_silent_holders_delay_a_stream_only_shortly():
    async def scenario(network, daemons):
        network.cut_off = {each.link.host.daemon_id for each in daemons[1:]}
        loop = asyncio.get_running_loop()
        began = loop.time()
        assert (await daemons[0].find(AttemptId("lost"))).software is None
        assert loop.time() - began < 0.2

    run_daemons(scenario)


def test_restarted_daemon_learns_from_others_that_a_pool_had_one_version():
    async def scenario(network, daemons):
        daemons[0] = restart(daemons[0], network)
        daemons[0].read_targets()
        origin = await daemons[0].find(AttemptId("lost"))
        assert (origin.software, origin.source) == ("v1", OriginSource.HISTORY)

    run_daemons(scenario, targets=MIXED[:1], observed_s=20)


def test_stream_without_the_id_of_its_first_attempt_needs_a_sole_version():
    async def scenario(network, daemons):
        origin = await daemons[0].find(None)
        assert (origin.software, origin.source) == ("v1", OriginSource.HISTORY)

    run_daemons(scenario, targets=MIXED[:1], observed_s=20)


def test_nothing_is_sure_after_all_daemons_lost_their_memory():
    async def scenario(network, daemons):
        daemons[0].exchange.began(AttemptId("a"), "v1")
        await asyncio.sleep(0.01)
        restarted = [restart(each, network) for each in daemons]
        for daemon in restarted:
            daemon.read_targets()
        assert (await restarted[1].find(AttemptId("a"))).software is None

    run_daemons(scenario, targets=MIXED[:1], observed_s=20)


async def join_release(network, daemons, is_cut_off):
    """Let targets of a new version join, which the first daemon doesn't notice."""
    if is_cut_off:
        network.cut_off = {daemons[0].link.host.daemon_id}
    for daemon in daemons:
        daemon.targets = MIXED
    for daemon in daemons[1:]:
        daemon.read_targets()
    daemons[1].exchange.began(AttemptId("a"), "v2")
    await asyncio.sleep(0.5)


@pytest.mark.parametrize("resumes", [AttemptId("a"), None], ids=["named", "unnamed"])
def test_daemon_out_of_step_does_not_conclude_the_version_from_an_old_list(resumes):
    """Guards against a stream that goes on at the only version an old list shows."""

    async def scenario(network, daemons):
        await join_release(network, daemons, is_cut_off=True)
        origin = await daemons[0].find(resumes)
        assert (origin.software, origin.source) == (None, OriginSource.UNKNOWN)

    run_daemons(scenario, targets=MIXED[:1], observed_s=20)


def test_daemon_that_stood_still_reads_the_list_before_it_concludes_the_version():
    """Guards against a conclusion from the list as it was before a pause."""

    async def scenario(network, daemons):
        await join_release(network, daemons, is_cut_off=False)
        reading = asyncio.create_task(daemons[0].read_repeatedly())
        origin = await daemons[0].find(AttemptId("lost"))
        assert origin.software is None
        reading.cancel()

    run_daemons(scenario, targets=MIXED[:1], observed_s=20)


def test_lost_origin_is_concluded_once_the_list_was_read_again():
    async def scenario(network, daemons):
        await asyncio.sleep(0.5)
        reading = asyncio.create_task(daemons[0].read_repeatedly())
        origin = await daemons[0].find(AttemptId("lost"))
        assert (origin.software, origin.source) == ("v1", OriginSource.HISTORY)
        reading.cancel()

    run_daemons(scenario, targets=MIXED[:1], observed_s=20)
