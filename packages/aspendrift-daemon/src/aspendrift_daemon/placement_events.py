"""Events of placement decisions."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import ClassVar

from aspendrift_daemon.events import Event
from aspendrift_model.ids import FencingNumber, ModelName, OrderId, PoolName, TargetId
from aspendrift_model.wire_target import EngineRole, OrderKind

__all__ = ["OrderEnded", "OrderResult", "OrderSent", "PlacementLeaseChanged"]


class OrderResult(Enum):
    """Result of an order, as far as the daemon knows it."""

    ACCEPTED = "taken"
    FENCED = "fenced"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class PlacementLeaseChanged(Event):
    """The lease on a pool's orders was taken or lost."""

    name: ClassVar[str] = "placement_lease_changed"
    pool: PoolName
    is_held: bool
    fencing: FencingNumber


@dataclass(frozen=True, slots=True)
class OrderSent(Event):
    """An order goes out to an engine."""

    name: ClassVar[str] = "placement_order_sent"
    pool: PoolName
    target_id: TargetId
    order_id: OrderId
    fencing: FencingNumber
    kind: OrderKind
    model: ModelName | None
    role: EngineRole | None
    why: str


@dataclass(frozen=True, slots=True)
class OrderEnded(Event):
    """An order was answered, or its answer is lost."""

    name: ClassVar[str] = "placement_order_ended"
    target_id: TargetId
    order_id: OrderId
    result: OrderResult
