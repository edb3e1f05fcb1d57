"""Tests of permits between daemons, and of the choice of targets with limits."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from types import SimpleNamespace

import pytest

from aspendrift_daemon.events import EventHub
from aspendrift_gateway.attempts import Served
from aspendrift_gateway.events import PermitDenial
from aspendrift_gateway.interfaces import AnswerHead
from aspendrift_gateway.permit_exchange import (
    Permit,
    PermitExchange,
    PermitRefusedUntil,
)
from aspendrift_gateway.system_state import SystemState
from aspendrift_model.routes import ColdLimit, PoolSpec, RoutingConfiguration
from aspendrift_model.states import MemberState, RefusalReason
from aspendrift_model.wire_work import PermitGrant
from aspendrift_policy.retry_budget import RetryBudgets, RetryLimit
from aspendrift_policy.route_table import RouteTable
from aspendrift_policy.target_rates import owner_of
from aspendrift_standins.virtual_time import VirtualClock, run_virtual

from .conftest import POOL, FakeClient, Network, Reply, entry, route

# Tokens of a retry budget; a new one has half of them.
_FULL_BUDGET = 10.0
SETTINGS = SimpleNamespace(cold_overrun=1.5, cold_slack=5.0)
TARGET = entry("t1")
HEAD = AnswerHead(None, True, False, False, False)


class Daemon:
    def __init__(self, name, network, entries, cold):
        clock = VirtualClock(asyncio.get_running_loop())
        self.events = []
        hub = EventHub()
        hub.connect_all(self.events.append)
        self.state = SystemState(None, EventHub())
        self.state.registry.replace([], 0.0)
        self.state.registry.replace(entries, 0.0)
        spec = PoolSpec(POOL, 10, cold=cold)
        self.state.table = RouteTable(RoutingConfiguration(1, (), {POOL: spec}))
        self.permits = PermitExchange(
            network.link(name), self.state, lambda: SETTINGS, clock, hub
        )

    async def acquire(self, target=TARGET, max_wait_s=0.0):
        now = asyncio.get_running_loop().time()
        return await self.permits.acquire(target, now, max_wait_s)


class Fleet:
    def __init__(self, count, entries, cold):
        self.network = Network()
        self.daemons = [
            Daemon(f"d{number}", self.network, entries, cold) for number in range(count)
        ]
        owner_id = owner_of(TARGET.key, self.network.links_by_id)
        self.owner_id = owner_id
        self.others = [
            each
            for each in self.daemons
            if each.permits._link.host.daemon_id != owner_id
        ]


@pytest.fixture
def run_fleet():
    """Run a scenario three seconds after the start of some daemons."""

    def run(scenario, count=4, entries=(TARGET,), cold=ColdLimit(60.0, 5.5)):
        async def main():
            fleet = Fleet(count, entries, cold)
            for daemon in fleet.daemons:
                await daemon.permits.start()
            await asyncio.sleep(3.0)
            await scenario(fleet)
            for daemon in fleet.daemons:
                await daemon.permits.stop()

        run_virtual(main())

    return run


def test_daemons_together_get_the_permits_of_one_owner(run_fleet):
    async def scenario(fleet):
        found = await asyncio.gather(*(each.acquire() for each in fleet.daemons * 3))
        assert sum(isinstance(each, Permit) for each in found) == 1

    run_fleet(scenario)


def test_permit_is_returned_at_the_date_that_the_owner_set(run_fleet):
    async def scenario(fleet):
        loop = asyncio.get_running_loop()
        began_at, times = loop.time(), []

        async def acquire(daemon):
            assert isinstance(await daemon.acquire(max_wait_s=0.9), Permit)
            times.append(loop.time() - began_at)

        await asyncio.gather(*(acquire(each) for each in fleet.daemons))
        assert times == pytest.approx([0.0, 0.25, 0.5, 0.75], abs=0.01)

    run_fleet(scenario)


def test_no_permit_while_the_owner_is_silent(run_fleet):
    """A daemon that guessed would exceed the bound with all others that guess.

    The owner isn't asked by each request either, since each would wait for it.
    """

    async def scenario(fleet):
        fleet.network.cut_off.add(fleet.owner_id)
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        found = await fleet.others[0].acquire()
        assert found.reason is PermitDenial.NO_ANSWER
        assert loop.time() - began_at == pytest.approx(0.05)
        assert isinstance(await fleet.others[0].acquire(), PermitRefusedUntil)
        assert loop.time() - began_at == pytest.approx(0.05)
        (event,) = [e for e in fleet.others[0].events if e.name == "permit_refused"]
        assert event.target_id == "t1"

    run_fleet(scenario)


def test_next_owner_begins_after_the_window(run_fleet):
    async def scenario(fleet):
        fleet.network.cut_off.add(fleet.owner_id)
        fleet.network.states_by_id[fleet.owner_id] = MemberState.UNREACHABLE
        await asyncio.sleep(0.3)
        assert not isinstance(await fleet.others[0].acquire(), Permit)
        await asyncio.sleep(2.2)
        assert isinstance(await fleet.others[0].acquire(), Permit)

    run_fleet(scenario)


def test_permit_that_is_not_awaited_any_more_is_returned(run_fleet):
    """It would be lost, and the rate would not be used while an owner is slow."""

    async def scenario(fleet):
        daemon = fleet.others[0]
        waiting = asyncio.create_task(daemon.acquire(max_wait_s=0.9))
        await asyncio.sleep(0.0)
        waiting.cancel()
        await asyncio.sleep(0.02)
        owner = next(each for each in fleet.daemons if each not in fleet.others)
        assert owner.permits.rates.n_issued == owner.permits.rates.n_returned == 1
        assert isinstance(await daemon.acquire(), Permit)

    run_fleet(scenario)


def test_target_without_limit_costs_no_message(run_fleet):
    async def scenario(fleet):
        daemon = fleet.daemons[0]
        assert daemon.permits.restrictions(POOL, [TARGET], 2.0) is None
        assert await daemon.acquire() == Permit()
        assert fleet.network.sent == []

    run_fleet(scenario, cold=None)


def test_stated_limit_needs_permits_at_the_daemons_that_know_it(run_fleet):
    async def scenario(fleet):
        daemon = fleet.others[0]
        head = AnswerHead(None, True, False, False, False, requests_per_s=2.0)
        daemon.permits.record_answer(TARGET.key, 200, head)
        assert daemon.permits.restrictions(POOL, [TARGET], 2.0).limited == {"t1"}
        await asyncio.sleep(4.0)
        found = await asyncio.gather(*(daemon.acquire() for _ in range(5)))
        assert sum(isinstance(each, Permit) for each in found) == 1
        (event,) = [each for each in daemon.events if each.name == "target_limited"]
        assert event.limit == "stated"
        daemon.permits.record_answer(TARGET.key, 421, HEAD)
        assert daemon.permits.is_restricted(TARGET, 6.0)
        unreadable = AnswerHead(None, True, False, False, False, unreadable="x: y")
        daemon.permits.record_answer(TARGET.key, 200, unreadable)
        assert daemon.permits.is_restricted(TARGET, 6.0)
        daemon.permits.record_answer(TARGET.key, 200, HEAD)
        assert not daemon.permits.is_restricted(TARGET, 6.0)

    run_fleet(scenario, cold=None)


def relist(daemon, *entries):
    """Apply a complete list of targets."""
    now = asyncio.get_running_loop().time()
    daemon.state._report(daemon.state.registry.replace(entries, now))


@pytest.mark.parametrize("stated", [{"retry_after_s": 9.0}, {"requests_per_s": 2.0}])
def test_entry_that_lapses_and_returns_lifts_no_restriction(run_fleet, stated):
    async def scenario(fleet):
        daemon = fleet.others[0]
        head = replace(HEAD, **stated)
        daemon.permits.record_answer(TARGET.key, 503, head)
        relist(daemon)
        await asyncio.sleep(1.0)
        relist(daemon, TARGET)
        now = asyncio.get_running_loop().time()
        assert daemon.permits.is_restricted(TARGET, now)

    run_fleet(scenario, cold=None)


def test_permit_that_is_awaited_is_not_used_once_the_target_backs_off(run_fleet):
    async def scenario(fleet):
        owner = next(each for each in fleet.daemons if each not in fleet.others)
        daemon = fleet.others[0]
        await daemon.acquire()
        waiting = asyncio.create_task(daemon.acquire(max_wait_s=0.9))
        await asyncio.sleep(0.05)
        daemon.permits.record_answer(TARGET.key, 503, replace(HEAD, retry_after_s=3.0))
        refused = await waiting
        assert isinstance(refused, PermitRefusedUntil)
        assert refused.reason is PermitDenial.BACKS_OFF
        await asyncio.sleep(0.01)
        assert owner.permits.rates.n_returned == 1

    run_fleet(scenario)


def test_restarted_target_is_not_restricted(run_fleet):
    async def scenario(fleet):
        daemon = fleet.others[0]
        daemon.permits.record_answer(TARGET.key, 503, replace(HEAD, requests_per_s=2.0))
        daemon.permits.record_answer(TARGET.key, 503, replace(HEAD, retry_after_s=9.0))
        restarted = entry("t1", born=2)
        relist(daemon, restarted)
        now = asyncio.get_running_loop().time()
        assert not daemon.permits.is_restricted(restarted, now)

    run_fleet(scenario, cold=None)


def test_only_the_owner_grants(run_fleet):
    """An answer of another daemon than the owner gives no permit."""

    async def scenario(fleet):
        fleet.network.cut_off.add(fleet.owner_id)
        asking = asyncio.create_task(fleet.others[0].acquire())
        await asyncio.sleep(0.001)
        other, asker = fleet.others[1].permits, fleet.others[0].permits
        grant = other._encoder.encode(PermitGrant(asker._last_number, 1, 0, 500))
        asker._on_message(other._link.host.daemon_id, grant)
        assert (await asking).reason is PermitDenial.NO_ANSWER

    run_fleet(scenario)


# Requests.


def cold_harness(make_harness, names, *replies, cold=ColdLimit(60.0, 5.5)):
    """Return a harness whose named targets are cold, after the owner's window."""
    harness = make_harness(*replies)
    targets = tuple(entry(name) for name in ("t1", "t2", "t3"))
    daemon = Daemon("d0", Network(), [], cold)
    registry = daemon.state.registry
    warm = [each for each in targets if each.key.target_id not in names]
    registry.replace(warm, -100.0)
    registry.replace(targets, 0.0)
    return harness, daemon


async def send_all(harness, daemon, count, found_route=None):
    """Send requests at once, three seconds after the start."""
    await daemon.permits.start()
    await asyncio.sleep(3.0)
    sender = harness.last_sender = harness.sender()
    sender._state = daemon.state
    sender.require_permits(daemon.permits)
    deliveries = [harness.delivery(found_route) for _ in range(count)]
    found = await asyncio.gather(*(sender.send(each) for each in deliveries))
    await daemon.permits.stop()
    return found


def test_warm_targets_go_first_while_they_have_free_slots(make_harness):
    async def run():
        harness, daemon = cold_harness(make_harness, {"t1", "t2"}, *[Reply()] * 4)
        found = await send_all(harness, daemon, 4)
        assert found == [Served(200)] * 4
        assert {each.target_id for each in harness.client.sent} == {"t3"}

    run_virtual(run())


def test_request_without_a_permit_goes_to_another_target(make_harness):
    """The warm target is full, so that the cold ones are chosen first."""

    async def run():
        replies = [Reply(delay_s=0.1)] * 9
        harness, daemon = cold_harness(make_harness, {"t1", "t2"}, *replies)
        found = await send_all(harness, daemon, 9)
        assert found == [Served(200)] * 9
        sent = [each.target_id for each in harness.client.sent]
        assert [sent.count(name) for name in ("t1", "t2", "t3")] == [1, 1, 7]

    run_virtual(run())


def test_requests_wait_or_are_refused_at_once_with_the_time(make_harness):
    """All targets are cold: permits of 0.8 s are awaited, the others can't be."""

    async def run():
        targets = {"t1", "t2", "t3"}
        harness, daemon = cold_harness(make_harness, targets, *[Reply()] * 30)
        found = await send_all(harness, daemon, 30, route(timeout_s=1.0))
        refused = [each for each in found if each != Served(200)]
        assert 9 <= len(found) - len(refused) <= 15
        assert {each.reason for each in refused} == {RefusalReason.OVERLOADED}
        assert all(0.05 <= each.retry_after_s <= 4.0 for each in refused)

    run_virtual(run())


def test_request_waits_for_a_permit_that_is_more_than_a_second_away(make_harness):
    """Owners date no permits so far ahead, so it has to ask again."""

    async def run():
        names = {"t1", "t2", "t3"}
        cold = ColdLimit(60.0, 0.25)
        harness, daemon = cold_harness(make_harness, names, *[Reply()] * 4, cold=cold)
        found = await send_all(harness, daemon, 4, route(timeout_s=8.0))
        assert found == [Served(200)] * 4
        assert asyncio.get_running_loop().time() == pytest.approx(7.0, abs=0.1)
        assert len(harness.client.sent) == 4

    run_virtual(run())


class BackingOff(FakeClient):
    """Targets whose 503 says for how long they accept nothing."""

    def __init__(self, permits, retry_after_s):
        super().__init__(*[Reply(status=503, has_not_run=True)] * 99)
        self._permits = permits
        self._retry_after_s = retry_after_s

    async def send(self, target, call, metadata, now):
        answer = await super().send(target, call, metadata, now)
        answer.head = AnswerHead(
            "a1", True, True, False, False, retry_after_s=self._retry_after_s
        )
        self._permits.record_answer(target.key, answer.status, answer.head)
        return answer


def test_target_that_backs_off_is_sent_nothing(make_harness):
    async def run():
        harness, daemon = cold_harness(make_harness, (), cold=None)
        harness.client = BackingOff(daemon.permits, 4.0)
        await send_all(harness, daemon, 1)
        assert [each.target_id for each in harness.client.sent].count("t1") == 1
        assert len(harness.client.sent) == 3
        (found,) = await send_all(harness, daemon, 1)
        assert found.reason is RefusalReason.OVERLOADED
        assert found.retry_after_s == pytest.approx(1.0)
        assert len(harness.client.sent) == 3

    run_virtual(run())


def test_request_sent_again_after_a_back_off_draws_on_the_retry_budget(make_harness):
    async def run():
        harness, daemon = cold_harness(make_harness, (), cold=None)
        harness.client = BackingOff(daemon.permits, 4.0)
        harness.budget_floor_per_s = 0.0
        await send_all(harness, daemon, 1)
        assert len(harness.client.sent) == 3
        budget = harness.last_sender._budgets.of(POOL, 3.0)
        earned, n_again = 0.2, 2
        assert budget._tokens <= _FULL_BUDGET / 2 + earned - n_again

    run_virtual(run())


def test_pool_whose_targets_all_back_off_stays_within_the_retry_limit(make_harness):
    limit, n_daemons, n_requests = RetryLimit(0.2, 56.0, 10.0), 8, 20

    async def load():
        """Send requests for ten seconds; return how often they arrived again."""
        harness, daemon = cold_harness(make_harness, (), cold=None)
        harness.client = BackingOff(daemon.permits, 1.0)
        sender = harness.sender()
        sender._state = daemon.state
        sender.require_permits(daemon.permits)
        sender._budgets = RetryBudgets.within(limit, n_daemons)
        n_again = 0
        for _ in range(n_requests):
            n_before = len(harness.client.sent)
            await sender.send(harness.delivery())
            n_again += max(0, len(harness.client.sent) - n_before - 1)
            await asyncio.sleep(limit.window_s / n_requests)
        return n_again

    async def run():
        n_again = sum(await asyncio.gather(*(load() for _ in range(n_daemons))))
        n_allowed = limit.share * n_requests * n_daemons + limit.extra
        assert 0 < n_again <= n_allowed

    run_virtual(run())
