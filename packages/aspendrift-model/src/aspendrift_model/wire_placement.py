"""Messages between operators and daemons about placement and cost."""

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
    """What one engine holds, what the plan wants, and why.

    ``reason`` says why it has its role; ``reasons_by_model`` why it has each
    model of the plan. ``age_s`` is the age of what the engine reported.
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
    """Placement of one pool as the lease's holder decided it.

    ``expected_by_model`` and ``current_by_model`` are slots.
    """

    pool: str
    holder: str
    fencing: int
    engines: tuple[EngineRow, ...]
    current_by_model: dict[str, float] = {}
    expected_by_model: dict[str, float] = {}


class PlacementBody(msgspec.Struct, frozen=True):
    """Answer of ``GET /v1/placement``: the pools whose lease the daemon holds."""

    daemon_id: str
    pools: tuple[PoolPlacement, ...]


class CostRow(msgspec.Struct, frozen=True):
    """Engine-seconds of one stage, profile and client account."""

    stage: str
    pool: str
    profile: str
    account_id: str
    n_attempts: int
    n_answered: int
    held_s: float
    busy_s: float


class PoolTime(msgspec.Struct, frozen=True):
    """Engine-seconds that a pool was provisioned, as one daemon saw it."""

    pool: str
    provisioned_s: float


class CostBody(msgspec.Struct, frozen=True):
    """Answer of ``GET /v1/cost``: what one daemon counted since it started."""

    daemon_id: str
    rows: tuple[CostRow, ...]
    pools: tuple[PoolTime, ...]
