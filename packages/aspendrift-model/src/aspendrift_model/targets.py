"""Targets: engines, stage pools and services that process requests."""

from __future__ import annotations

from dataclasses import dataclass

from aspendrift_model.ids import ModelName, PoolName, RegionName, TargetId, ZoneName
from aspendrift_model.states import TargetKind, TargetState

__all__ = ["LoadReport", "Target"]


@dataclass(frozen=True, slots=True)
class Target:
    """A backend that serves stages.

    Parameters
    ----------
    target_id : TargetId
        Unique name of the target.
    pool : PoolName
        Pool that the target belongs to.
    kind : TargetKind
        Kind of target; determines the protocol that it speaks.
    url : str
        Base URL, with an IP address as its host.
    zone, region : ZoneName, RegionName
        Availability zone and region in which the target runs.
    slots : int
        Requests that the target can serve concurrently.
    models : tuple of ModelName
        Models that the target has loaded when it is added.
    checks_fencing : bool
        Whether the target rejects orders with an outdated fencing number.
    state : TargetState
        Life cycle state in the configuration.
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
    """The most recent load report of a target.

    Parameters
    ----------
    target_id : TargetId
        Target that sent the report.
    active, queued : int
        Requests in service and requests queued.
    slots : int
        Requests that the target can serve concurrently.
    age_ms : int
        Age of the figures when the report was sent, in milliseconds.
    busy_s : float
        Cumulative busy time since the target started, in seconds.
    models : tuple of ModelName
        Models that the target has loaded.
    """

    target_id: TargetId
    active: int
    queued: int
    slots: int
    age_ms: int = 0
    busy_s: float = 0.0
    models: tuple[ModelName, ...] = ()
