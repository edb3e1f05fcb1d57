"""Profiles: named pipelines of stages with a service contract."""

from __future__ import annotations

from dataclasses import dataclass

from aspendrift_model.contracts import Contract
from aspendrift_model.ids import (
    AdapterName,
    ModelName,
    PoolName,
    ProfileName,
    StageName,
)
from aspendrift_model.states import ProfileState, StageKind

__all__ = ["Profile", "Stage"]


@dataclass(frozen=True, slots=True)
class Stage:
    """One stage of a pipeline.

    Parameters
    ----------
    name : StageName
        Name of the stage, unique within the profile.
    kind : StageKind
        Kind of work that the stage does.
    pool : PoolName
        Pool whose targets may serve the stage.
    model, adapter : ModelName or AdapterName or None
        Model and adapter that an engine must have loaded.
    expected_ms : float
        Service time assumed until one has been measured, in milliseconds.
    max_tokens : int
        Upper bound on generated tokens; 0 for stages that generate none.
    """

    name: StageName
    kind: StageKind
    pool: PoolName
    model: ModelName | None = None
    adapter: AdapterName | None = None
    expected_ms: float = 50.0
    max_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Profile:
    """A named pipeline of stages with its service contract."""

    name: ProfileName
    stages: tuple[Stage, ...]
    contract: Contract
    state: ProfileState = ProfileState.PUBLISHED
