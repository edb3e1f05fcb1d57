"""Profiles: how a kind of request is served."""

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
        Unique within the profile.
    kind : StageKind
        The work done.
    pool : PoolName
        The pool whose targets may serve the stage.
    model, adapter : ModelName or AdapterName or None
        What an engine must have loaded.
    expected_ms : float
        Service time assumed until a measurement exists, in milliseconds.
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
    """A named pipeline with its contract."""

    name: ProfileName
    stages: tuple[Stage, ...]
    contract: Contract
    state: ProfileState = ProfileState.PUBLISHED
