"""Explores all schedules with a few faults of two daemons that place one pool."""

from __future__ import annotations

import asyncio

import pytest

from aspendrift_daemon.events import EventHub
from aspendrift_daemon.lease import LeaseManager
from aspendrift_daemon.placement_events import OrderResult
from aspendrift_daemon.placement_pool import PoolPlacer
from aspendrift_model.ids import ModelName, PoolName, RegionName, TargetId, ZoneName
from aspendrift_model.settings_routing import PlacementSettings
from aspendrift_model.states import TargetKind
from aspendrift_model.targets import Target
from aspendrift_model.wire_target import EngineRole, EngineState, OrderKind
from aspendrift_policy.leases import LeaseTimes
from aspendrift_policy.placement import ModelDemand
from aspendrift_standins.explorer import explore
from aspendrift_standins.virtual_time import VirtualClock, run_virtual

POOL = PoolName("engines")
DRAFT = ModelName("draft")
PAUSE_S = 30.0
FAULT_PHASE_S = 15.0
RECOVERY_S = 30.0
CHECK_INTERVAL_S = 0.45
N_REPLICAS = 2

TARGETS = [
    Target(
        TargetId(f"e{i}"),
        POOL,
        TargetKind.ENGINE,
        "http://127.0.0.1:1",
        ZoneName("abc"[i]),
        RegionName("r"),
    )
    for i in range(3)
]


class Engines:
    """Engines in memory; with ``checks_fencing`` they reject orders of old leases."""

    def __init__(self, checks_fencing):
        self.models_by_id = {each.target_id: set() for each in TARGETS}
        self.models_by_id["e0"].add(DRAFT)
        self.checks_fencing = checks_fencing
        self.highest_by_id = dict.fromkeys(self.models_by_id, 0)
        self.n_loads = 0
        self.n_crashes = 0

    def crash(self, target_id):
        """Restart an engine: it holds no model and knows no fencing number."""
        self.n_crashes += 1
        self.models_by_id[target_id].clear()
        self.highest_by_id[target_id] = 0

    def state(self, target_id):
        models = tuple(sorted(self.models_by_id[target_id]))
        return EngineState(
            EngineRole.BOTH, models, (), (), self.highest_by_id[target_id]
        )

    def apply(self, target_id, order):
        if self.checks_fencing and order.fencing < self.highest_by_id[target_id]:
            return OrderResult.FENCED
        self.highest_by_id[target_id] = max(
            order.fencing, self.highest_by_id[target_id]
        )
        if order.kind is OrderKind.LOAD_MODEL:
            self.n_loads += 1
            self.models_by_id[target_id].add(order.model)
        elif order.kind is OrderKind.UNLOAD_MODEL:
            self.models_by_id[target_id].discard(order.model)
        return OrderResult.ACCEPTED


class ExploredLink:
    """Lets an explorer inject a fault into the calls to an engine."""

    def __init__(self, engines, choices):
        self._engines = engines
        self._choices = choices
        self.is_faultless = False

    async def state(self, target, timeout_s):
        if not self.is_faultless and self._choices.pick(2, "state"):
            await asyncio.sleep(timeout_s)
            return None
        return self._engines.state(target.target_id)

    async def order(self, target, order, timeout_s):
        fault = 0 if self.is_faultless else self._choices.pick(8, "order")
        if fault == 1:
            return OrderResult.NOT_SENT
        if fault == 2:
            return OrderResult.UNKNOWN
        if fault == 3:
            self._engines.apply(target.target_id, order)
            await asyncio.sleep(timeout_s)
            return OrderResult.UNKNOWN
        if fault == 4:
            await asyncio.sleep(timeout_s * 0.9)
        if fault == 5:
            await asyncio.sleep(PAUSE_S)
        if fault in (6, 7):
            if fault == 7:
                self._engines.apply(target.target_id, order)
            self._engines.crash(target.target_id)
            return OrderResult.UNKNOWN
        return self._engines.apply(target.target_id, order)


class InterruptingTable:
    """Lets an explorer pause or kill a daemon at each call of its table."""

    def __init__(self, table, choices):
        self._table = table
        self._choices = choices
        self.is_killed = False

    async def read(self, keys):
        result = await self._table.read(keys)
        await self._interrupt()
        return result

    async def transact(self, conditions, writes):
        await self._interrupt()
        result = await self._table.transact(conditions, writes)
        await self._interrupt()
        return result

    async def _interrupt(self):
        fault = self._choices.pick(3, "daemon")
        if fault == 1:
            await asyncio.sleep(PAUSE_S)
        if fault == 2:
            self.is_killed = True
            await asyncio.get_running_loop().create_future()


def make_placer(name, table, link, clock):
    settings = PlacementSettings()
    times = LeaseTimes(
        settings.lease_s, settings.lease_margin_s, settings.takeover_wait_s
    )
    lease_manager = LeaseManager("placement/engines", name, times, table, clock)

    def demands(pool):
        return [ModelDemand(DRAFT, 1.0, None)]

    return PoolPlacer(POOL, settings, lease_manager, link, demands, clock, EventHub())


async def step_forever(placer):
    while True:
        await placer.step(TARGETS, True)
        await asyncio.sleep(1.0)


async def check_single_holder(placers):
    """Check periodically that at most one daemon may send orders."""
    while True:
        holders = [each for each in placers if each.lease_manager.may_act()]
        assert len(holders) <= 1, "two daemons may send orders"
        await asyncio.sleep(CHECK_INTERVAL_S)


async def run_for(seconds, tasks):
    done, _ = await asyncio.wait(
        tasks, timeout=seconds, return_when=asyncio.FIRST_EXCEPTION
    )
    for task in done:
        task.result()


def make_scenario(memory_table, explored_table, checks_fencing, faults):
    def scenario(choices):
        async def main():
            clock = VirtualClock(asyncio.get_running_loop())
            inner = memory_table()
            table = explored_table(inner, choices) if faults == "table" else inner
            engines = Engines(checks_fencing)
            link = ExploredLink(engines, choices)
            link.is_faultless = faults == "table"
            daemon_tables = [
                InterruptingTable(table, choices) if faults == "daemon" else table
                for _ in range(2)
            ]
            placers = [
                make_placer(f"d{n}", daemon_table, link, clock)
                for n, daemon_table in enumerate(daemon_tables)
            ]
            tasks = [asyncio.create_task(step_forever(each)) for each in placers]
            tasks.append(asyncio.create_task(check_single_holder(placers)))
            await run_for(FAULT_PHASE_S, tasks)
            link.is_faultless = True
            await run_for(PAUSE_S + RECOVERY_S, tasks)
            for task in tasks:
                task.cancel()
            if all(getattr(each, "is_killed", False) for each in daemon_tables):
                return
            holding = [m for m in engines.models_by_id.values() if DRAFT in m]
            assert len(holding) >= N_REPLICAS, engines.models_by_id
            assert engines.n_loads <= 2 + engines.n_crashes, "orders are repeated"

        run_virtual(main())

    return scenario


@pytest.mark.fault("store down", "lease taken", "order sent", "order answered")
@pytest.mark.fault("store slow", "lease taken", "order sent", "order answered")
@pytest.mark.fault("store answer lost", "lease taken", "order sent", "order answered")
@pytest.mark.parametrize("checks_fencing", [True, False])
def test_at_most_one_daemon_may_order_under_any_table_fault(
    memory_table, explored_table, checks_fencing
):
    scenario = make_scenario(memory_table, explored_table, checks_fencing, "table")
    assert explore(scenario, max_faults=2, max_points=6) > 100


@pytest.mark.fault("target slow", "order sent", "order answered")
@pytest.mark.fault("target failing", "order sent", "order answered")
@pytest.mark.fault("target crashing", "order sent", "order answered")
@pytest.mark.fault("late answer", "order sent", "order answered")
@pytest.mark.parametrize("checks_fencing", [True, False])
def test_lost_and_late_orders_are_reconciled_not_repeated(
    memory_table, explored_table, checks_fencing
):
    scenario = make_scenario(memory_table, explored_table, checks_fencing, "link")
    assert explore(scenario, max_faults=2, max_points=14) > 50


@pytest.mark.fault("daemon paused", "lease taken", "order sent", "order answered")
@pytest.mark.fault("daemon killed", "lease taken", "order sent", "order answered")
@pytest.mark.fault("lease lapsed", "lease taken", "order sent", "order answered")
@pytest.mark.parametrize("checks_fencing", [True, False])
def test_daemon_stopped_at_any_step_never_acts_beside_another(
    memory_table, explored_table, checks_fencing
):
    scenario = make_scenario(memory_table, explored_table, checks_fencing, "daemon")
    assert explore(scenario, max_faults=2, max_points=10) > 50


@pytest.mark.fault("daemon leaving", "lease taken", "order sent", "order answered")
@pytest.mark.parametrize("n_steps", range(6))
def test_leaving_holder_hands_over_at_any_step(memory_table, n_steps):
    async def main():
        clock = VirtualClock(asyncio.get_running_loop())
        table = memory_table()
        engines = Engines(checks_fencing=True)
        link = ExploredLink(engines, None)
        link.is_faultless = True
        leaving, staying = (make_placer(f"d{n}", table, link, clock) for n in range(2))
        for _ in range(n_steps):
            await leaving.step(TARGETS, True)
            await asyncio.sleep(1.0)
        await leaving.release()
        assert not leaving.lease_manager.may_act()
        released_at = clock.monotonic()
        while not staying.lease_manager.may_act():
            await staying.step(TARGETS, True)
            await asyncio.sleep(0.5)
        waited_s = clock.monotonic() - released_at
        for _ in range(3):
            await staying.step(TARGETS, True)
        holding = [m for m in engines.models_by_id.values() if DRAFT in m]
        assert len(holding) >= N_REPLICAS
        assert engines.n_loads == 1
        settings = PlacementSettings()
        assert waited_s < settings.takeover_wait_s + settings.lease_margin_s

    run_virtual(main())
