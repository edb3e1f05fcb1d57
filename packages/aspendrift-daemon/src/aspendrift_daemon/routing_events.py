"""Events of routing and admission decisions."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from aspendrift_daemon.events import Event
from aspendrift_model.ids import (
    AccountId,
    PoolName,
    ProfileName,
    RequestId,
    StageName,
    TargetId,
)
from aspendrift_model.states import AttemptEnd, RefusalReason

__all__ = ["AdmissionRefused", "AttemptReleased", "RouteRefused"]


@dataclass(frozen=True, slots=True)
class RouteRefused(Event):
    """An attempt got no target."""

    name: ClassVar[str] = "route_refused"
    request_id: RequestId
    stage: StageName
    reason: RefusalReason
    detail: str
    queued_s: float


@dataclass(frozen=True, slots=True)
class AdmissionRefused(Event):
    """A request was refused at admission."""

    name: ClassVar[str] = "admission_refused"
    request_id: RequestId
    account_id: AccountId
    reason: RefusalReason
    detail: str
    retry_after_ms: int | None


@dataclass(frozen=True, slots=True)
class AttemptReleased(Event):
    """An attempt released its slot; times in seconds."""

    name: ClassVar[str] = "attempt_released"
    request_id: RequestId
    account_id: AccountId
    profile: ProfileName
    stage: StageName
    pool: PoolName
    target_id: TargetId
    end: AttemptEnd
    held_s: float
    busy_s: float
