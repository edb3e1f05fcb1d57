"""Messages between daemons and targets: JSON bodies and NDJSON stream events.

Routes of a target::

    POST   /v1/stage                 StageCall -> StageAnswer (stage pool, service)
    POST   /v1/generate              StageCall -> NDJSON of GeneratedToken, GeneratedEnd
    POST   /v1/attempts/{id}/resume  ?after=N -> the rest of the same NDJSON stream
    DELETE /v1/attempts/{id}         cancel; 204 also if unknown
    GET    /v1/load                  LoadBody
    GET    /v1/cache-events          ?after=SEQ -> CacheEvents
    POST   /v1/orders                Order -> OrderAnswer, 409 OrderAnswer if fenced
    GET    /v1/state                 EngineState
    POST   /v1/kv/export, /v1/kv/import   KvTransfer
"""

from __future__ import annotations

from enum import Enum

import msgspec

from aspendrift_model.states import StageKind

__all__ = [
    "CacheEvent",
    "CacheEvents",
    "EngineRole",
    "EngineState",
    "GeneratedEnd",
    "GeneratedEvent",
    "GeneratedToken",
    "KvTransfer",
    "LoadBody",
    "Order",
    "OrderAnswer",
    "OrderKind",
    "StageAnswer",
    "StageCall",
    "StageRejection",
]


class StageCall(msgspec.Struct, frozen=True, omit_defaults=True):
    """One attempt of one stage.

    ``context`` is the JSON output of the previous stage. ``prefix_tokens`` are
    the tokens that an earlier attempt produced; the engine continues after them
    and numbers its first token ``len(prefix_tokens) + 1``.
    """

    request_id: str
    attempt_id: str
    stage: str
    kind: StageKind
    input: str
    remaining_ms: int
    priority: int = 1
    model: str | None = None
    adapter: str | None = None
    max_tokens: int = 0
    context: msgspec.Raw = msgspec.Raw(b"null")
    prefix_tokens: tuple[str, ...] = ()
    prefix_key: str = ""


class StageAnswer(msgspec.Struct, frozen=True):
    """Response of a stage pool or service; echoes both ids."""

    request_id: str
    attempt_id: str
    output: msgspec.Raw
    busy_ms: float = 0.0


class StageRejection(msgspec.Struct, frozen=True):
    """Body of a 4xx or 503 response that refuses an attempt before it is run.

    After an error response without the attempt id, the attempt may have run.
    """

    attempt_id: str
    detail: str = ""


class GeneratedToken(msgspec.Struct, frozen=True, tag_field="event", tag="token"):
    """One generated token; ``n`` counts from 1 over the complete answer."""

    attempt_id: str
    n: int
    text: str


class GeneratedEnd(msgspec.Struct, frozen=True, tag_field="event", tag="end"):
    """Last event of an engine's stream, with totals over the complete answer."""

    attempt_id: str
    n_tokens: int
    digest: str
    busy_ms: float = 0.0


GeneratedEvent = GeneratedToken | GeneratedEnd


class LoadBody(msgspec.Struct, frozen=True):
    """Load report of a target; ``age_ms`` is the age of its values when sent."""

    active: int
    queued: int
    slots: int
    age_ms: int = 0
    busy_s: float = 0.0
    models: tuple[str, ...] = ()


class CacheEvent(msgspec.Struct, frozen=True):
    """A prefix was added to (``cached``) or evicted from an engine's cache."""

    seq: int
    prefix_key: str
    cached: bool


class CacheEvents(msgspec.Struct, frozen=True):
    """Events after a sequence number; ``oldest`` reveals whether any were lost."""

    oldest: int
    events: tuple[CacheEvent, ...]


class EngineRole(Enum):
    """Phase of generation that an engine serves."""

    BOTH = "both"
    PREFILL = "prefill"
    DECODE = "decode"
    IDLE = "idle"


class OrderKind(Enum):
    """Kind of a placement order to an engine."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    SET_ROLE = "set_role"


class Order(msgspec.Struct, frozen=True, omit_defaults=True):
    """Placement order to an engine; ``fencing`` is the lease's fencing number."""

    order_id: str
    fencing: int
    kind: OrderKind
    model: str | None = None
    version: str | None = None
    adapter: str | None = None
    role: EngineRole | None = None
    valid_ms: int = 2_000


class OrderAnswer(msgspec.Struct, frozen=True):
    """Whether an engine accepted an order, and its ``highest_fencing`` so far."""

    order_id: str
    taken: bool
    highest_fencing: int


class EngineState(msgspec.Struct, frozen=True):
    """Current role, models and adapters of an engine."""

    role: EngineRole
    models: tuple[str, ...]
    adapters: tuple[str, ...]
    loading: tuple[str, ...]
    highest_fencing: int
    cache_bytes: int = 0


class KvTransfer(msgspec.Struct, frozen=True, omit_defaults=True):
    """Exports or imports the KV cache entries of a prefix."""

    prefix_key: str
    n_bytes: int = 0
