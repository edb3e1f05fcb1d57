"""Tests of graceful shutdown, in virtual time."""

from __future__ import annotations

import asyncio

from aspendrift_daemon.events import EventHub
from aspendrift_daemon.shutdown import RequestsCut, Shutdown
from aspendrift_policy.leaving import LeaveProcedure, LeaveTimes
from aspendrift_standins.virtual_time import VirtualClock, run_virtual

TIMES = LeaveTimes(keep_s=10.0, margin_s=1.0, bound_s=30.0)


class Requests:
    def __init__(self, ids):
        self.ids = ids
        self.refuses = False

    @property
    def n_open(self):
        return len(self.ids)

    def open_ids(self):
        return self.ids

    def begin_leaving(self):
        self.refuses = True


class ShutdownSetup:
    def __init__(self, ids=()):
        self.calls = []
        self.events = []
        hub = EventHub()
        hub.connect_all(self.events.append)
        self.requests = Requests(list(ids))
        self.clock = VirtualClock(asyncio.get_running_loop())
        self.shutdown = Shutdown(
            LeaveProcedure(TIMES),
            self.requests,
            lambda: self.calls.append("announce"),
            lambda: self.calls.append("refuse"),
            self.clock,
            hub,
        )


def test_new_work_is_refused_only_after_the_address_answers_expired():
    async def main():
        setup = ShutdownSetup(["r1"])
        waiting = asyncio.create_task(setup.shutdown.wait())
        setup.shutdown.handle_signal()
        assert setup.calls == ["announce"]
        await asyncio.sleep(10.5)
        assert not setup.requests.refuses
        await asyncio.sleep(1.0)
        assert setup.requests.refuses
        setup.requests.ids.clear()
        await waiting
        return setup

    setup = run_virtual(main())
    assert not [e for e in setup.events if isinstance(e, RequestsCut)]


def test_requests_cut_at_the_bound_are_reported():
    async def main():
        setup = ShutdownSetup(["r1", "r2"])
        setup.shutdown.handle_signal()
        await setup.shutdown.wait()
        return setup, setup.clock.monotonic()

    setup, ended_at = run_virtual(main())
    assert ended_at >= TIMES.bound_s
    (cut,) = [e for e in setup.events if isinstance(e, RequestsCut)]
    assert cut.request_ids == ("r1", "r2")


def test_second_signal_ends_the_wait_at_once():
    async def main():
        setup = ShutdownSetup(["r1"])
        setup.shutdown.handle_signal()
        setup.shutdown.handle_signal()
        await setup.shutdown.wait()
        return setup, setup.clock.monotonic()

    setup, ended_at = run_virtual(main())
    assert ended_at < 1.0
    assert setup.calls == ["announce", "refuse"]


def test_daemon_without_a_signal_keeps_running():
    async def main():
        setup = ShutdownSetup()
        waiting = asyncio.create_task(setup.shutdown.wait())
        await asyncio.sleep(1000.0)
        assert not waiting.done()
        assert not setup.shutdown.is_leaving()
        waiting.cancel()

    run_virtual(main())
