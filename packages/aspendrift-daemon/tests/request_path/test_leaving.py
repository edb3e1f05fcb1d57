"""Tests that a leaving daemon completes its open requests, also under faults."""

from __future__ import annotations

import asyncio

import pytest

from aspendrift_daemon.targets import (
    Broken,
    ForeignAnswer,
    NotSent,
    Rejected,
    StageAnswered,
    TimedOut,
)
from aspendrift_model.states import OutcomeStatus, Ran
from aspendrift_model.states import RefusalReason as R

FAILURES = [
    NotSent("down"),
    Rejected("busy"),
    Broken("cut"),
    Broken("gone", crashed=True),
    TimedOut(),
    ForeignAnswer("other"),
]


@pytest.mark.fault("target failing", "leave draining")
@pytest.mark.fault("target crashing", "leave draining")
@pytest.mark.fault("late answer", "leave draining")
@pytest.mark.fault("foreign answer", "leave draining")
@pytest.mark.parametrize("failure", FAILURES, ids=lambda f: type(f).__name__)
def test_leaving_daemon_still_retries_open_requests(box, failure):
    async def scenario():
        async with box.network() as net:
            entered = asyncio.Event()
            leave = asyncio.Event()

            async def fail_once_leaving(call):
                entered.set()
                await leave.wait()
                return failure

            net.targets.scripts["service-1"] = [fail_once_leaving, None]
            request = asyncio.create_task(net.send(box.body(profile="log")))
            await entered.wait()
            net.services[0].begin_leaving()
            leave.set()
            outcome = await request
            refused = await net.send(box.body("r2", profile="log"))
        assert outcome.status is OutcomeStatus.ANSWERED
        assert (refused.reason, refused.ran) == (R.LEAVING, Ran.NO)

    box.run(scenario())


@pytest.mark.fault("target slow", "leave draining")
def test_leaving_daemon_waits_for_a_slow_target(box):
    async def scenario():
        async with box.network() as net:

            async def slow(call):
                net.services[0].begin_leaving()
                await asyncio.sleep(1.0)
                return StageAnswered(b"1", 1.0)

            net.targets.scripts["service-1"] = [slow]
            outcome = await net.send(box.body(profile="log"))
        assert outcome.status is OutcomeStatus.ANSWERED

    box.run(scenario())


@pytest.mark.fault("caller gone", "leave announced", "leave draining")
def test_caller_that_leaves_a_leaving_daemon_frees_its_slot(box):
    async def scenario():
        async with box.network() as net:
            entered = asyncio.Event()

            async def hang(call):
                entered.set()
                await asyncio.get_running_loop().create_future()

            net.targets.scripts["service-1"] = [hang]
            request = asyncio.create_task(net.send(box.body(profile="log")))
            await entered.wait()
            net.services[0].begin_leaving()
            request.cancel()
            await asyncio.gather(request, return_exceptions=True)
            await asyncio.sleep(5.0)
            assert net.services[0].n_open == 0

    box.run(scenario())


@pytest.mark.fault("burst", "leave announced", "leave draining")
def test_burst_at_a_leaving_daemon_is_refused_at_once(box):
    async def scenario():
        async with box.network() as net:
            net.services[0].begin_leaving()
            outcomes = await asyncio.gather(
                *(net.send(box.body(f"r{n}")) for n in range(200))
            )
            assert not net.targets.calls
        assert {(o.reason, o.ran) for o in outcomes} == {(R.LEAVING, Ran.NO)}
        assert all(outcome.addresses for outcome in outcomes)

    box.run(scenario())


@pytest.mark.fault("burst", "daemon starting")
def test_burst_at_a_daemon_without_configuration_is_refused_at_once(box):
    async def scenario():
        async with box.network() as net:
            net.services[0]._may_serve = lambda now: R.NOT_READY
            outcomes = await asyncio.gather(
                *(net.send(box.body(f"r{n}")) for n in range(200))
            )
            assert not net.targets.calls
        assert {(o.reason, o.ran) for o in outcomes} == {(R.NOT_READY, Ran.NO)}

    box.run(scenario())
