"""Tests of what daemons tell each other of contents that crash targets."""

from __future__ import annotations

import asyncio
import random

from aspendrift_daemon.events import EventHub
from aspendrift_gateway.content_crashes import ContentCrashes
from aspendrift_model.ids import Fingerprint, TargetId
from aspendrift_model.target_entries import TargetKey
from aspendrift_policy.poison import ContentState
from aspendrift_standins.virtual_time import VirtualClock, run_virtual

CONTENT = Fingerprint("f")


class Fleet:
    """Daemons whose reports and announcements reach all others after a moment."""

    def __init__(self, n_daemons):
        self.clock = VirtualClock(asyncio.get_running_loop())
        self.events = []
        self.n_announced = 0
        hub = EventHub()
        hub.connect_all(self.events.append)
        self.daemons = [self._make_daemon(hub, n) for n in range(n_daemons)]

    def _make_daemon(self, hub, number):
        def announce(report):
            self.n_announced += 1
            self._tell(number, "completed_elsewhere", report)

        return ContentCrashes(announce, self.clock, hub, random.Random(number))

    def _tell(self, origin, method, report):
        loop = asyncio.get_running_loop()
        for number, daemon in enumerate(self.daemons):
            if number != origin:
                loop.call_later(0.002, getattr(daemon, method), report)

    def crash(self, number, target):
        """Let a daemon see a target crash with the content."""
        key = TargetKey(TargetId(target), 1)
        report = self.daemons[number].report(key, CONTENT)
        self._tell(number, "reported", report)

    def complete(self, number):
        self.daemons[number].suspects.mark_known_good(CONTENT, self.clock.monotonic())

    def states(self):
        now = self.clock.monotonic()
        return {each.suspects.content_state(CONTENT, now) for each in self.daemons}


def run_fleet(scenario, n_daemons=20):
    async def main():
        fleet = Fleet(n_daemons)
        await scenario(fleet)
        for daemon in fleet.daemons:
            daemon.stop()

    run_virtual(main())


def test_content_that_completed_where_it_broke_is_suspected_nowhere():
    async def scenario(fleet):
        fleet.complete(0)
        for target in ("t1", "t2", "t3"):
            fleet.crash(0, target)
        await asyncio.sleep(1.0)
        assert fleet.states() == {ContentState.CLEAN}
        assert fleet.n_announced == 0

    run_fleet(scenario)


def test_content_that_completed_elsewhere_leaves_the_quarantine():
    async def scenario(fleet):
        fleet.complete(5)
        fleet.crash(0, "t1")
        fleet.crash(1, "t2")
        await asyncio.sleep(0.2)
        assert fleet.states() == {ContentState.CLEAN}
        assert {each.name for each in fleet.events} == {"content_cleared"}

    run_fleet(scenario)


def test_few_of_many_daemons_announce_what_all_know():
    async def scenario(fleet):
        for number in range(2, 20):
            fleet.complete(number)
        fleet.crash(0, "t1")
        fleet.crash(1, "t2")
        await asyncio.sleep(0.2)
        assert fleet.states() == {ContentState.CLEAN}
        assert 1 <= fleet.n_announced <= 3

    run_fleet(scenario)


def test_content_that_never_completes_stays_in_quarantine():
    async def scenario(fleet):
        fleet.crash(0, "t1")
        fleet.crash(1, "t2")
        await asyncio.sleep(1.0)
        assert fleet.states() == {ContentState.QUARANTINED}

    run_fleet(scenario)


def test_content_that_completed_once_is_quarantined_after_a_while():
    async def scenario(fleet):
        fleet.complete(0)
        for step in range(100):
            fleet.crash(step % 20, f"t{step % 7}")
            await asyncio.sleep(3.0)
        assert fleet.states() == {ContentState.QUARANTINED}

    run_fleet(scenario)
