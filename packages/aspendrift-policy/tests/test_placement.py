"""Tests of placement plans and orders."""

from __future__ import annotations

from dataclasses import replace

import pytest

from aspendrift_model.ids import ModelName, PoolName, RegionName, TargetId, ZoneName
from aspendrift_model.states import TargetKind, TargetState
from aspendrift_model.targets import Target
from aspendrift_model.wire_target import EngineRole, EngineState, OrderKind
from aspendrift_policy.placement import (
    ModelDemand,
    PlacementReason,
    PlacementRules,
    next_orders,
    plan_pool,
)

RULES = PlacementRules(headroom=1.0, min_replicas=2, models_per_engine=1, max_loads=2)
DRAFT = ModelName("draft")


def engines(n: int) -> list[Target]:
    return [
        Target(
            TargetId(f"e{i}"),
            PoolName("eng"),
            TargetKind.ENGINE,
            "http://127.0.0.1:1",
            ZoneName("abc"[i % 3]),
            RegionName("r"),
            8,
        )
        for i in range(n)
    ]


def state(*models: str, role: EngineRole = EngineRole.BOTH) -> EngineState:
    return EngineState(role, models, (), (), 0)


def all_with(targets: list[Target], *models: str) -> dict[TargetId, EngineState]:
    return {target.target_id: state(*models) for target in targets}


def test_expected_demand_is_loaded_ahead_within_the_rate() -> None:
    targets = engines(6)
    states = all_with(targets)
    states[TargetId("e0")] = state("draft")
    plans = plan_pool(targets, states, [ModelDemand(DRAFT, 4.0, 40.0)], RULES)
    n_planned = sum(DRAFT in plan.models for plan in plans.values())
    assert n_planned == 5
    orders = next_orders(plans, states, RULES)
    loads = [order for order in orders if order.kind is OrderKind.LOAD_MODEL]
    assert len(loads) == RULES.max_loads
    reasons = {plan.reason for plan in plans.values() if plan.models}
    assert PlacementReason.FORECAST in reasons


def test_capacity_is_released_after_the_hour_but_replicas_stay() -> None:
    targets = engines(6)
    states = all_with(targets, "draft")
    plans = plan_pool(targets, states, [ModelDemand(DRAFT, 1.0, 2.0)], RULES)
    kept = [plan for plan in plans.values() if plan.models]
    assert len(kept) == RULES.min_replicas
    zones = {target.zone for target in targets if plans[target.target_id].models}
    assert len(zones) == 2
    orders = next_orders(plans, states, RULES)
    assert {order.kind for order in orders} == {
        OrderKind.UNLOAD_MODEL,
        OrderKind.SET_ROLE,
    }


def test_nothing_is_released_before_an_hour_was_learned() -> None:
    targets = engines(6)
    states = all_with(targets, "draft")
    plans = plan_pool(targets, states, [ModelDemand(DRAFT, 0.0, None)], RULES)
    assert next_orders(plans, states, RULES) == []
    assert PlacementReason.LEARNING in {plan.reason for plan in plans.values()}


@pytest.mark.fault("burst", "order sent")
def test_burst_without_history_is_followed() -> None:
    targets = engines(6)
    states = all_with(targets)
    states[TargetId("e0")] = state("draft")
    plans = plan_pool(targets, states, [ModelDemand(DRAFT, 30.0, None)], RULES)
    assert sum(DRAFT in plan.models for plan in plans.values()) == 4


def test_draining_engine_gets_no_order_and_is_replaced() -> None:
    targets = engines(4)
    targets[0] = replace(targets[0], state=TargetState.DRAINING)
    states = all_with(targets)
    states[TargetId("e0")] = state("draft")
    plans = plan_pool(targets, states, [ModelDemand(DRAFT, 4.0, 8.0)], RULES)
    assert plans[TargetId("e0")].reason is PlacementReason.DRAINING
    ordered = {order.target_id for order in next_orders(plans, states, RULES)}
    assert ordered and TargetId("e0") not in ordered


@pytest.mark.fault("late answer", "order answered")
def test_order_that_took_effect_without_an_answer_is_not_repeated() -> None:
    targets = engines(4)
    states = all_with(targets)
    demand = [ModelDemand(DRAFT, 4.0, 8.0)]
    order = next_orders(plan_pool(targets, states, demand, RULES), states, RULES)[0]
    loading_state = EngineState(EngineRole.BOTH, (), (), ("draft",), 1)
    states[order.target_id] = loading_state
    again = next_orders(plan_pool(targets, states, demand, RULES), states, RULES)
    assert (order.target_id, order.kind) not in {
        (each.target_id, each.kind) for each in again
    }


@pytest.mark.fault("lease lapsed", "order answered")
def test_what_another_holder_ordered_is_reconciled_from_the_engines() -> None:
    targets = engines(4)
    states = all_with(targets, "stray")
    states[TargetId("e1")] = state("draft")
    demand = [ModelDemand(DRAFT, 4.0, 8.0)]
    orders = next_orders(plan_pool(targets, states, demand, RULES), states, RULES)
    unloads = [o for o in orders if o.kind is OrderKind.UNLOAD_MODEL]
    assert {order.model for order in unloads} == {ModelName("stray")}


def test_no_replica_is_dropped_while_its_successor_is_missing() -> None:
    targets = engines(2)
    states = {
        TargetId("e0"): state("draft", "review"),
        TargetId("e1"): state(),
    }
    demand = [ModelDemand(DRAFT, 4.0, 4.0), ModelDemand(ModelName("review"), 3.0, 3.0)]
    one = replace(RULES, min_replicas=1)
    plans = plan_pool(targets, states, demand, one)
    kinds = [order.kind for order in next_orders(plans, states, one)]
    assert OrderKind.LOAD_MODEL in kinds
    assert OrderKind.UNLOAD_MODEL not in kinds
