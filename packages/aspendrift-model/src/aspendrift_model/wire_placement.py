"""Messages between the operator client and daemons on placement and cost."""

from __future__ import annotations

import msgspec

from aspendrift_model.wire_target import EngineRole

__all__ = [
    "CostBody",
    "CostRow",
    "EngineRow",
    "PlacementBody",
    "PoolPlacement",
    "PoolTime",
]


class EngineRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """Current and planned placement of one engine, with reasons.

    ``reason`` explains the role of the engine; ``reasons_by_model`` explains each
    planned model. ``age_s`` is the age of the engine's reported state.
    """

    target_id: str
    zone: str
    role: EngineRole
    models: tuple[str, ...]
    loading: tuple[str, ...] = ()
    planned_models: tuple[str, ...] = ()
    reason: str = ""
    reasons_by_model: dict[str, str] = {}
    age_s: float = 0.0


class PoolPlacement(msgspec.Struct, frozen=True, omit_defaults=True):
    """Placement of one pool as decided by the lease holder.

    ``current_by_model`` and ``expected_by_model`` are demands in slots.
    """

    pool: str
    holder: str
    fencing: int
    engines: tuple[EngineRow, ...]
    current_by_model: dict[str, float] = {}
    expected_by_model: dict[str, float] = {}


class PlacementBody(msgspec.Struct, frozen=True):
    """Response of ``GET /v1/placement``: the pools whose lease the daemon holds."""

    daemon_id: str
    pools: tuple[PoolPlacement, ...]


class CostRow(msgspec.Struct, frozen=True):
    """Engine-seconds used by one stage, profile and client account."""

    stage: str
    pool: str
    profile: str
    account_id: str
    n_attempts: int
    n_answered: int
    held_s: float
    busy_s: float


class PoolTime(msgspec.Struct, frozen=True):
    """Engine-seconds provisioned in a pool, as observed by one daemon."""

    pool: str
    provisioned_s: float


class CostBody(msgspec.Struct, frozen=True):
    """Response of ``GET /v1/cost``: totals of one daemon since its start."""

    daemon_id: str
    rows: tuple[CostRow, ...]
    pools: tuple[PoolTime, ...]
