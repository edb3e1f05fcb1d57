"""Tests of sharing quarantines of prompts between daemons, in virtual time."""

from __future__ import annotations

import asyncio
import random

import msgspec
import pytest

from aspendrift_daemon.events import EventHub
from aspendrift_gateway.events import PromptQuarantined, QuarantineLifted
from aspendrift_gateway.prompt_containment import PromptContainment
from aspendrift_gateway.store_client import StoreFailure, Written
from aspendrift_model.ids import PromptPartId, TargetId
from aspendrift_model.opaque_requests import PromptPart
from aspendrift_model.target_entries import TargetKey
from aspendrift_standins.virtual_time import VirtualClock, run_virtual

from .conftest import FakeStore, Network, request

TABLE = "aspendrift-quarantines"
READER_IDS = ("d0", "d1")
# Time within which a daemon that started has to know a quarantine.
BOUND_S = 3.0


class QuarantineStore(FakeStore):
    """A store whose writes may fail."""

    def view(self):
        found = QuarantineStore()
        found.content = self.content
        return found

    async def put(self, table, key, value):
        self.calls.append("put")
        await asyncio.sleep(0.004)
        if self.is_down:
            return StoreFailure("down")
        super().put(table, key, value)
        return Written()

    async def remove(self, table, key):
        self.content.rows.pop((table, key), None)
        return Written()

    def rows(self):
        return [
            msgspec.json.decode(row.value)
            for (table, _), row in self.content.rows.items()
            if table == TABLE
        ]


class Daemon:
    def __init__(self, name, network, store):
        self.events = []
        hub = EventHub()
        hub.connect_all(self.events.append)
        self.store = store.view()
        self.link = network.link(name)
        self.containment = PromptContainment(
            self.link,
            self.store,
            lambda: READER_IDS,
            VirtualClock(asyncio.get_running_loop()),
            hub,
            random.Random(name),
        )

    async def query_state(self, source):
        """Ask a reader for the state, as a daemon does at every interval."""
        source.containment.answer(self.link.host.daemon_id, self.containment.digest())
        await asyncio.sleep(0.02)

    def refuses(self, *parts):
        return self.containment.refuses(prompt(*parts)) is not None

    def names(self, event_class):
        return [each for each in self.events if isinstance(each, event_class)]


def prompt(*parts):
    own = "own"
    return request(prompt=tuple(PromptPart(PromptPartId(p), 9) for p in (*parts, own)))


def crash(daemon, number, *parts):
    key = TargetKey(TargetId(f"t{number}"), 1)
    daemon.containment.target_broke(key, prompt(*parts))


def run_daemons(scenario, count=5):
    async def main():
        network, store = Network(), QuarantineStore()
        daemons = [Daemon(f"d{n}", network, store) for n in range(count)]
        for daemon in daemons:
            await daemon.containment.start()
        await scenario(network, store, daemons)
        for daemon in daemons:
            await daemon.containment.stop()

    run_virtual(main())


async def restart(network, store, daemons, number):
    await daemons[number].containment.stop()
    daemons[number] = Daemon(f"d{number}", network, store)
    await daemons[number].containment.start()


async def contain(daemons):
    """Let three daemons see a crash each over requests with one part in common."""
    for number in range(3):
        crash(daemons[number], number, f"a{number}", "bad")
    await asyncio.sleep(0.1)


def test_all_daemons_refuse_after_crashes_that_each_of_them_saw_one_of():
    async def scenario(network, store, daemons):
        await contain(daemons)
        for daemon in daemons:
            assert daemon.refuses("other", "bad")
            assert not daemon.refuses("a0", "other")
            (event,) = daemon.names(PromptQuarantined)
            assert event.parts == ("bad",)

    run_daemons(scenario)


def test_daemon_that_missed_the_crashes_learns_when_it_asks_for_the_state():
    async def scenario(network, store, daemons):
        network.cut_off = {"d4"}
        await contain(daemons)
        assert not daemons[4].refuses("bad")
        network.cut_off = set()
        await daemons[4].query_state(daemons[0])
        assert daemons[4].refuses("bad")
        n_sent = len(network.sent)
        await daemons[4].query_state(daemons[0])
        assert len(network.sent) == n_sent

    run_daemons(scenario)


def test_reader_learns_what_only_a_follower_knows():
    async def scenario(network, store, daemons):
        network.cut_off = {"d0"}
        await contain(daemons[1:])
        network.cut_off = set()
        await daemons[4].query_state(daemons[0])
        assert daemons[0].refuses("bad")

    run_daemons(scenario)


@pytest.mark.parametrize("store_fails_s", [0.0, 5.0])
def test_quarantine_outlasts_the_end_of_all_daemons(store_fails_s):
    async def scenario(network, store, daemons):
        for daemon in daemons:
            daemon.store.is_down = store_fails_s > 0
        await contain(daemons)
        await asyncio.sleep(store_fails_s)
        for daemon in daemons:
            daemon.store.is_down = False
        await asyncio.sleep(BOUND_S)
        for number in range(len(daemons)):
            await restart(network, store, daemons, number)
        await asyncio.sleep(BOUND_S)
        assert all(daemon.refuses("bad") for daemon in daemons[:2])
        for daemon in daemons[2:]:
            await daemon.query_state(daemons[1])
            assert daemon.refuses("bad")

    run_daemons(scenario)


def test_store_is_not_called_again_without_quarantines():
    async def scenario(network, store, daemons):
        await asyncio.sleep(300.0)
        calls = [call for daemon in daemons for call in daemon.store.calls]
        assert len(calls) <= len(READER_IDS)

    run_daemons(scenario)


def test_row_that_the_store_lost_is_written_again():
    async def scenario(network, store, daemons):
        await contain(daemons)
        await asyncio.sleep(BOUND_S)
        assert len(store.rows()) == 1
        store.content.rows.clear()
        await asyncio.sleep(60.0)
        assert len(store.rows()) == 1

    run_daemons(scenario)


def test_operator_lifts_a_quarantine_through_its_row():
    async def scenario(network, store, daemons):
        await contain(daemons)
        await asyncio.sleep(BOUND_S)
        ((table, key),) = store.content.rows
        row = {**store.rows()[0], "lifted": True}
        FakeStore.put(store, table, key, msgspec.json.encode(row))
        await asyncio.sleep(60.0)
        assert not any(daemon.refuses("bad") for daemon in daemons)
        await daemons[4].query_state(daemons[0])
        assert not daemons[4].refuses("bad")

    run_daemons(scenario)


def test_refuted_quarantine_is_lifted_at_all_daemons_and_in_the_store():
    async def scenario(network, store, daemons):
        await contain(daemons)
        await asyncio.sleep(BOUND_S)
        for _ in range(2):
            daemons[3].containment.completed(prompt("a1", "bad"))
        await asyncio.sleep(BOUND_S)
        assert not any(daemon.refuses("bad") for daemon in daemons)
        assert all(daemon.names(QuarantineLifted) for daemon in daemons)
        assert [row["lifted"] for row in store.rows()] == [True]
        await restart(network, store, daemons, 0)
        await asyncio.sleep(BOUND_S)
        assert not daemons[0].refuses("bad")

    run_daemons(scenario)


def test_lifted_quarantine_does_not_return_from_a_daemon_that_missed_it():
    async def scenario(network, store, daemons):
        await contain(daemons)
        network.cut_off = {"d4"}
        for _ in range(2):
            daemons[3].containment.completed(prompt("a1", "bad"))
        await asyncio.sleep(BOUND_S)
        network.cut_off = set()
        await daemons[4].query_state(daemons[0])
        assert not any(daemon.refuses("bad") for daemon in daemons)

    run_daemons(scenario)


def test_completions_at_one_daemon_keep_all_from_blaming_a_common_part():
    async def scenario(network, store, daemons):
        for number in range(10):
            crash(daemons[number % 3], number, "system", f"a{number}")
            await asyncio.sleep(0.5)
            daemons[4].containment.completed(prompt("system", "x"))
            await asyncio.sleep(0.5)
        assert not any(daemon.refuses("system") for daemon in daemons)

    run_daemons(scenario)
