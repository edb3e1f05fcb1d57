"""Targets: the engines, stage pools and services that do the work."""

from __future__ import annotations

from dataclasses import dataclass

from aspendrift_model.ids import ModelName, PoolName, RegionName, TargetId, ZoneName
from aspendrift_model.states import TargetKind, TargetState

__all__ = ["LoadReport", "Target"]


@dataclass(frozen=True, slots=True)
class Target:
    """One back end.

    Parameters
    ----------
    target_id : TargetId
        Unique name.
    pool : PoolName
        The pool it belongs to.
    kind : TargetKind
        The protocol it speaks.
    url : str
        Base URL with a numeric address.
    zone, region : ZoneName, RegionName
        Where it runs.
    slots : int
        Requests it serves at the same time.
    models : tuple of ModelName
        Models it has loaded when it is added.
    checks_fencing : bool
        Whether it rejects an order that carries an old fencing number.
    state : TargetState
        Life cycle state.
    """

    target_id: TargetId
    pool: PoolName
    kind: TargetKind
    url: str
    zone: ZoneName
    region: RegionName
    slots: int = 8
    models: tuple[ModelName, ...] = ()
    checks_fencing: bool = False
    state: TargetState = TargetState.ACTIVE


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What a target last said of its load.

    Parameters
    ----------
    target_id : TargetId
        The target that reports.
    active, queued : int
        Requests in service and waiting.
    slots : int
        Requests it can serve at the same time.
    age_ms : int
        Age of the figures when the report was sent, in milliseconds.
    busy_s : float
        Seconds of work done since the target started.
    models : tuple of ModelName
        Models loaded.
    """

    target_id: TargetId
    active: int
    queued: int
    slots: int
    age_ms: int = 0
    busy_s: float = 0.0
    models: tuple[ModelName, ...] = ()
