"""Placement of one pool: lease, engine states, plan and orders."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping, Sequence
from typing import Final

import msgspec

from aspendrift_daemon.engine_orders import EngineLink
from aspendrift_daemon.events import EventHub
from aspendrift_daemon.interfaces import Clock
from aspendrift_daemon.lease import LeaseManager
from aspendrift_daemon.placement_events import (
    OrderEnded,
    OrderResult,
    OrderSent,
    PlacementLeaseChanged,
)
from aspendrift_model.ids import FencingNumber, OrderId, PoolName, TargetId
from aspendrift_model.settings_routing import PlacementSettings
from aspendrift_model.states import TargetState
from aspendrift_model.targets import Target
from aspendrift_model.wire_placement import EngineRow, PoolPlacement
from aspendrift_model.wire_target import EngineRole, EngineState, Order
from aspendrift_policy.placement import (
    EnginePlan,
    ModelDemand,
    PlacementRules,
    PlannedOrder,
    next_orders,
    plan_pool,
)

__all__ = ["PoolPlacer"]

_TIMEOUT_S: Final = 1.0
_N_READS_AT_ONCE: Final = 8
_STATE_MAX_AGE_S: Final = 60.0
_MIN_ORDER_LIFE_S: Final = 0.2

DemandSource = Callable[[PoolName], Sequence[ModelDemand]]


class PoolPlacer:
    """Gives orders to the engines of one pool while it holds the pool's lease.

    Parameters
    ----------
    pool : PoolName
        The pool.
    settings : PlacementSettings
        Times and bounds.
    keeper : LeaseManager
        Lease on the pool's orders.
    link : EngineLink
        Reaches the engines.
    demands : callable
        Returns the demand for each model of the pool.
    clock : Clock
        Clocks of the process.
    events : EventHub
        Receives an event for each order.
    """

    def __init__(
        self,
        pool: PoolName,
        settings: PlacementSettings,
        keeper: LeaseManager,
        link: EngineLink,
        demands: DemandSource,
        clock: Clock,
        events: EventHub,
    ) -> None:
        self.pool = pool
        self.keeper = keeper
        self._settings = settings
        self._rules = PlacementRules(
            settings.headroom,
            settings.min_replicas,
            settings.models_per_engine,
            settings.max_loads,
        )
        self._link = link
        self._demands = demands
        self._clock = clock
        self._events = events
        self._states_by_id: dict[TargetId, EngineState] = {}
        self._read_at_by_id: dict[TargetId, float] = {}
        self._plans_by_id: dict[TargetId, EnginePlan] = {}
        self._last_demands: Sequence[ModelDemand] = ()
        self._was_held = False
        self._n_orders = 0

    async def step(self, targets: Sequence[Target], contends: bool) -> None:
        """Keep the lease; while it is held, read states, plan and order."""
        if contends or self._was_held:
            await self.keeper.step()
        self._note_lease()
        if not self._was_held:
            return
        await self._read_states(targets)
        self._last_demands = self._demands(self.pool)
        self._plans_by_id = plan_pool(
            targets, self._states_by_id, self._last_demands, self._rules
        )
        if self.keeper.may_act():
            await self._send_orders({target.target_id: target for target in targets})

    async def release(self) -> None:
        """Give the lease up at shutdown."""
        await self.keeper.release()

    def idle_engines(self) -> frozenset[TargetId]:
        """Return the engines that reported no role."""
        return frozenset(
            target_id
            for target_id, state in self._states_by_id.items()
            if state.role is EngineRole.IDLE
        )

    def shown(self, targets: Sequence[Target]) -> PoolPlacement | None:
        """Return the placement for operators, None without the lease."""
        record = self.keeper.lease.record
        if not self._was_held or record is None:
            return None
        now = self._clock.monotonic()
        rows = tuple(
            _engine_row(
                target,
                self._states_by_id[target.target_id],
                self._plans_by_id.get(target.target_id),
                now - self._read_at_by_id[target.target_id],
            )
            for target in targets
            if target.target_id in self._states_by_id
        )
        return PoolPlacement(
            self.pool,
            record.holder,
            record.fencing,
            rows,
            {demand.model: demand.current for demand in self._last_demands},
            {
                demand.model: demand.expected
                for demand in self._last_demands
                if demand.expected is not None
            },
        )

    def _note_lease(self) -> None:
        is_held = self.keeper.lease.is_held(self._clock.monotonic())
        if is_held != self._was_held:
            fencing = FencingNumber(self.keeper.lease.fencing)
            self._events.emit(PlacementLeaseChanged(self.pool, is_held, fencing))
        self._was_held = is_held
        if not is_held:
            self._states_by_id.clear()
            self._read_at_by_id.clear()
            self._plans_by_id.clear()

    async def _read_states(self, targets: Sequence[Target]) -> None:
        now = self._clock.monotonic()
        known = {target.target_id for target in targets}
        for target_id in list(self._states_by_id):
            is_old = now - self._read_at_by_id[target_id] > _STATE_MAX_AGE_S
            if is_old or target_id not in known:
                del self._states_by_id[target_id]
                del self._read_at_by_id[target_id]
        settings = self._settings
        n_reads = max(1, int(settings.max_state_reads_per_s * settings.step_s))
        oldest = sorted(
            (target for target in targets if target.state is not TargetState.REMOVED),
            key=lambda target: self._read_at_by_id.get(target.target_id, 0.0),
        )
        due = oldest[:n_reads]
        for start in range(0, len(due), _N_READS_AT_ONCE):
            some = due[start : start + _N_READS_AT_ONCE]
            await asyncio.gather(*(self._read_state(target) for target in some))

    async def _read_state(self, target: Target) -> None:
        state = await self._link.state(target, _TIMEOUT_S)
        if state is not None:
            self._states_by_id[target.target_id] = state
            self._read_at_by_id[target.target_id] = self._clock.monotonic()
        elif target.target_id in self._states_by_id:
            del self._states_by_id[target.target_id]
            del self._read_at_by_id[target.target_id]

    async def _send_orders(self, targets_by_id: Mapping[TargetId, Target]) -> None:
        orders = next_orders(self._plans_by_id, self._states_by_id, self._rules)
        for planned in orders:
            target = targets_by_id[planned.target_id]
            if not await self._send_order(target, planned):
                return

    async def _send_order(self, target: Target, planned: PlannedOrder) -> bool:
        """Send one order; return whether others may follow."""
        fencing = FencingNumber(self.keeper.lease.fencing)
        self._n_orders += 1
        order_id = OrderId(f"{self.pool}.{fencing}.{self._n_orders}")
        life_s = min(self._settings.order_valid_ms / 1000.0, self.keeper.left_s())
        if not self.keeper.may_act() or life_s < _MIN_ORDER_LIFE_S:
            return False
        order = Order(
            order_id,
            fencing,
            planned.kind,
            planned.model,
            role=planned.role,
            valid_ms=int(1000 * life_s),
        )
        plan = self._plans_by_id[target.target_id]
        self._events.emit(
            OrderSent(
                self.pool,
                target.target_id,
                order_id,
                fencing,
                planned.kind,
                planned.model,
                planned.role,
                plan.reason.value,
            )
        )
        result = await self._link.order(target, order, min(_TIMEOUT_S, life_s))
        self._events.emit(OrderEnded(target.target_id, order_id, result))
        await self._read_state(target)
        return result is not OrderResult.FENCED


def _engine_row(
    target: Target, state: EngineState, plan: EnginePlan | None, age_s: float
) -> EngineRow:
    row = EngineRow(
        target.target_id,
        target.zone,
        state.role,
        state.models,
        state.loading,
        age_s=round(age_s, 3),
    )
    if plan is None:
        return row
    return msgspec.structs.replace(
        row,
        planned_models=tuple(plan.models),
        reason=plan.reason.value,
        reasons_by_model={
            model: reason.value for model, reason in plan.reasons_by_model.items()
        },
    )
