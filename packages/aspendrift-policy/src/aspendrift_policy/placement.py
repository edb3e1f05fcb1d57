"""Placement of models on the engines of a pool, and the orders that apply it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum

from aspendrift_model.ids import ModelName, TargetId
from aspendrift_model.states import TargetState
from aspendrift_model.targets import Target
from aspendrift_model.wire_target import EngineRole, EngineState, OrderKind

__all__ = [
    "EnginePlan",
    "ModelDemand",
    "PlacementRules",
    "PlannedOrder",
    "PlacementReason",
    "next_orders",
    "plan_pool",
]


class PlacementReason(Enum):
    """Reason for the planned role or models of an engine."""

    DEMAND = "demand"
    FORECAST = "forecast"
    MIN_REPLICA = "min_replica"
    LEARNING = "learning"
    RELEASED = "released"
    DRAINING = "draining"
    UNREPORTED = "unreported"


@dataclass(frozen=True, slots=True)
class PlacementRules:
    """Constraints of a placement.

    Parameters
    ----------
    headroom : float
        Ratio of planned capacity to demand.
    min_replicas : int
        Minimum number of engines that hold each model, whatever its demand.
    models_per_engine : int
        Maximum number of models on one engine.
    max_loads : int
        Maximum number of concurrent model loads in the pool.
    """

    headroom: float = 1.3
    min_replicas: int = 2
    models_per_engine: int = 2
    max_loads: int = 2


@dataclass(frozen=True, slots=True)
class ModelDemand:
    """Demand for a model, in slots.

    Parameters
    ----------
    current : float
        Slots in use now.
    expected : float or None
        Short-term forecast of the peak; None if there is no history yet.
    """

    model: ModelName
    current: float
    expected: float | None


@dataclass(frozen=True, slots=True)
class EnginePlan:
    """Planned role and models of one engine, with reasons."""

    target_id: TargetId
    role: EngineRole
    models: tuple[ModelName, ...]
    reasons_by_model: Mapping[ModelName, PlacementReason]
    reason: PlacementReason


@dataclass(frozen=True, slots=True)
class PlannedOrder:
    """One order that moves an engine towards its plan."""

    target_id: TargetId
    kind: OrderKind
    model: ModelName | None = None
    role: EngineRole | None = None


def plan_pool(
    targets: Sequence[Target],
    states_by_id: Mapping[TargetId, EngineState],
    demands: Sequence[ModelDemand],
    rules: PlacementRules,
) -> dict[TargetId, EnginePlan]:
    """Return the plan of each engine of a pool.

    Parameters
    ----------
    targets : sequence of Target
        Engines of the pool; draining ones get no new model.
    states_by_id : mapping of TargetId to EngineState
        Reported engine states; engines without one are left unchanged.
    demands : sequence of ModelDemand
        Demand for each model in use.
    rules : PlacementRules
        Placement constraints.

    Notes
    -----
    Models are placed in descending order of demand. Engines that already hold a
    model are preferred over those that would have to load it, and the replicas
    of a model are spread over the availability zones. A model without a forecast
    keeps its replicas, and no engine becomes idle while there is such a model.
    """
    engines = [
        target
        for target in targets
        if target.state is TargetState.ACTIVE and target.target_id in states_by_id
    ]
    assigned: dict[TargetId, dict[ModelName, PlacementReason]] = {
        target.target_id: {} for target in engines
    }
    for demand in sorted(demands, key=lambda each: (-_demand_slots(each), each.model)):
        _assign_model(demand, engines, states_by_id, assigned, rules)
    is_learning = any(demand.expected is None for demand in demands)
    return {
        target.target_id: _engine_plan(target, states_by_id, assigned, is_learning)
        for target in targets
    }


def next_orders(
    plans: Mapping[TargetId, EnginePlan],
    states_by_id: Mapping[TargetId, EngineState],
    rules: PlacementRules,
) -> list[PlannedOrder]:
    """Return the orders to send now.

    Loads come before unloads, and no replica of a model is unloaded while a
    planned replica of that model is missing, so capacity never drops in between.
    """
    orders: list[PlannedOrder] = []
    n_loading = sum(len(state.loading) for state in states_by_id.values())
    n_missing: Counter[ModelName] = Counter()
    for target_id, plan in plans.items():
        state = states_by_id.get(target_id)
        if state is None or plan.reason is PlacementReason.DRAINING:
            continue
        if plan.role is not EngineRole.IDLE and state.role is EngineRole.IDLE:
            orders.append(
                PlannedOrder(target_id, OrderKind.SET_ROLE, role=EngineRole.BOTH)
            )
        for model in plan.models:
            if model in state.models:
                continue
            n_missing[model] += 1
            if model not in state.loading and n_loading < rules.max_loads:
                n_loading += 1
                orders.append(PlannedOrder(target_id, OrderKind.LOAD_MODEL, model))
    return orders + _release_orders(plans, states_by_id, n_missing)


def _release_orders(
    plans: Mapping[TargetId, EnginePlan],
    states_by_id: Mapping[TargetId, EngineState],
    n_missing: Counter[ModelName],
) -> list[PlannedOrder]:
    orders: list[PlannedOrder] = []
    for target_id, plan in plans.items():
        state = states_by_id.get(target_id)
        if state is None or plan.reason is PlacementReason.DRAINING:
            continue
        extra = [ModelName(m) for m in state.models if m not in plan.models]
        retained = [model for model in extra if n_missing[model]]
        orders += [
            PlannedOrder(target_id, OrderKind.UNLOAD_MODEL, model)
            for model in extra
            if model not in retained
        ]
        goes_idle = plan.role is EngineRole.IDLE and state.role is not EngineRole.IDLE
        if goes_idle and not retained:
            orders.append(
                PlannedOrder(target_id, OrderKind.SET_ROLE, role=EngineRole.IDLE)
            )
    return orders


def _demand_slots(demand: ModelDemand) -> float:
    return max(demand.current, demand.expected or 0.0)


def _assign_model(
    demand: ModelDemand,
    engines: Sequence[Target],
    states_by_id: Mapping[TargetId, EngineState],
    assigned: Mapping[TargetId, dict[ModelName, PlacementReason]],
    rules: PlacementRules,
) -> None:
    holders = {
        target.target_id
        for target in engines
        if demand.model in states_by_id[target.target_id].models
        or demand.model in states_by_id[target.target_id].loading
    }
    needed_slots = _demand_slots(demand) * rules.headroom
    n_replicas, slots = 0, 0.0
    n_by_zone: Counter[str] = Counter()
    available = [
        t for t in engines if len(assigned[t.target_id]) < rules.models_per_engine
    ]
    while available:
        reason = _replica_reason(demand, n_replicas, slots, needed_slots, rules)
        best = min(
            available, key=lambda t: _preference_key(t, holders, assigned, n_by_zone)
        )
        if reason is None and demand.expected is None and best.target_id in holders:
            reason = PlacementReason.LEARNING
        if reason is None:
            return
        available.remove(best)
        assigned[best.target_id][demand.model] = reason
        n_by_zone[best.zone] += 1
        n_replicas += 1
        slots += best.slots / len(assigned[best.target_id])


def _replica_reason(
    demand: ModelDemand,
    n_replicas: int,
    slots: float,
    needed_slots: float,
    rules: PlacementRules,
) -> PlacementReason | None:
    if n_replicas < rules.min_replicas:
        return PlacementReason.MIN_REPLICA
    if slots >= needed_slots:
        return None
    is_expected = (demand.expected or 0.0) > demand.current
    return PlacementReason.FORECAST if is_expected else PlacementReason.DEMAND


def _preference_key(
    target: Target,
    holders: set[TargetId],
    assigned: Mapping[TargetId, dict[ModelName, PlacementReason]],
    n_by_zone: Counter[str],
) -> tuple[bool, int, int, str]:
    target_id = target.target_id
    is_missing = target_id not in holders
    return is_missing, n_by_zone[target.zone], len(assigned[target_id]), target_id


def _engine_plan(
    target: Target,
    states_by_id: Mapping[TargetId, EngineState],
    assigned: Mapping[TargetId, dict[ModelName, PlacementReason]],
    is_learning: bool,
) -> EnginePlan:
    target_id = target.target_id
    state = states_by_id.get(target_id)
    if state is None:
        return EnginePlan(
            target_id, EngineRole.BOTH, (), {}, PlacementReason.UNREPORTED
        )
    current_models = tuple(ModelName(model) for model in state.models)
    if target.state is not TargetState.ACTIVE:
        return EnginePlan(
            target_id, state.role, current_models, {}, PlacementReason.DRAINING
        )
    reasons = assigned[target_id]
    if not reasons and is_learning:
        return EnginePlan(target_id, state.role, (), {}, PlacementReason.LEARNING)
    if not reasons:
        role = EngineRole.IDLE
        return EnginePlan(target_id, role, (), {}, PlacementReason.RELEASED)
    main_reason = next(iter(reasons.values()))
    return EnginePlan(target_id, EngineRole.BOTH, tuple(reasons), reasons, main_reason)
