"""Routes of opaque requests, their target pools and the client accounts."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from aspendrift_model.ids import AccountId, PoolName

__all__ = [
    "KeyedAccount",
    "ColdLimit",
    "ModelPool",
    "PieceLimits",
    "PoolSpec",
    "RequestKind",
    "Route",
    "RoutingConfiguration",
    "ServerLimits",
    "StageSpec",
    "WeightedPool",
]


class RequestKind(Enum):
    """Kind of the requests of a route; determines whether they may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class WeightedPool:
    """A pool and the weight of its share of a route's requests."""

    pool: PoolName
    weight: float


@dataclass(frozen=True, slots=True)
class StageSpec:
    """A stage, divided into pieces, that has to complete before a request runs.

    Parameters
    ----------
    index : int
        Index of the stage within its route, from 0.
    pool : PoolName
        Pool whose targets compute the pieces.
    after : tuple of int
        Indices of the stages whose results are the inputs of each piece.
    result_bytes : float
        Approximate size of the result of one piece, in bytes.
    """

    index: int
    pool: PoolName
    after: tuple[int, ...]
    result_bytes: float


@dataclass(frozen=True, slots=True)
class Route:
    """How requests of one host and path prefix are served.

    Parameters
    ----------
    timeout_s : float
        Longest time that a caller waits for its response, in seconds.
    objective_s : float
        Latency objective for the answer, or for the first event of a stream,
        in seconds.
    event_gap_s : float
        Objective for the longest gap between events of a stream, in seconds;
        0 for none.
    priority : int
        Serving order; 0 is served first.
    caches_prompts : bool
        Whether targets cache parts of prompts for later requests.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_s: float
    objective_s: float
    priority: int
    pools: tuple[WeightedPool, ...]
    max_attempts: int
    stages: tuple[StageSpec, ...] = ()
    is_public: bool = False
    caches_prompts: bool = False
    is_resumable: bool = False
    event_gap_s: float = 0.0

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT or self.is_resumable


@dataclass(frozen=True, slots=True)
class PieceLimits:
    """Limits and service times of one target of a stage pool.

    Parameters
    ----------
    n_slots, n_queued : int
        Calls that run at the same time, and calls that may be queued.
    batch : int
        Largest number of pieces in one call.
    call_s, piece_s : float
        Approximate fixed service time of a call, and additional time for each
        piece, in seconds.
    result_memory_bytes : float
        Memory for results, in bytes.
    result_ttl_s : float
        Time for which a result is retained unless it is freed, in seconds.
    """

    n_slots: int
    n_queued: int
    batch: int
    call_s: float
    piece_s: float
    result_memory_bytes: float
    result_ttl_s: float

    @property
    def full_call_s(self) -> float:
        """Service time of a call with the largest number of pieces, in seconds."""
        return self.call_duration_s(self.batch)

    @property
    def max_concurrent_pieces(self) -> int:
        """Largest number of pieces that one target processes concurrently."""
        return self.n_slots * self.batch

    @property
    def pieces_per_s(self) -> float:
        """Throughput of one target in pieces per second, if all calls are full."""
        return self.max_concurrent_pieces / self.full_call_s

    def call_duration_s(self, n_pieces: int) -> float:
        """Return the service time of a call with this many pieces, in seconds."""
        return self.call_s + n_pieces * self.piece_s


@dataclass(frozen=True, slots=True)
class ModelPool:
    """Slots and KV cache capacity of one model engine of a pool."""

    n_slots: int
    cache_tokens: float


@dataclass(frozen=True, slots=True)
class ColdLimit:
    """What a target that has just started, or became cold again, tolerates.

    Parameters
    ----------
    cold_s : float
        Time for which a target is cold after its start, in seconds.
    requests_per_s : float
        Requests per second that a cold target tolerates from all daemons together.
    """

    cold_s: float
    requests_per_s: float


@dataclass(frozen=True, slots=True)
class PoolSpec:
    """A pool of interchangeable targets.

    Parameters
    ----------
    max_connections : int
        Connections that one target accepts from all daemons together.
    cold : ColdLimit or None
        Limit on cold targets; None if the pool's targets are never cold.
    """

    name: PoolName
    max_connections: int
    pieces: PieceLimits | None = None
    model: ModelPool | None = None
    cold: ColdLimit | None = None


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Size limits and timeouts of a caller's connection."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class KeyedAccount:
    """A client account, its API keys and a priority that overrides the route's."""

    account_id: AccountId
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class RoutingConfiguration:
    """One version of the configuration: routes, pools, limits and accounts."""

    version: int
    routes: tuple[Route, ...]
    pools_by_name: dict[PoolName, PoolSpec]
    limits: ServerLimits = field(default_factory=ServerLimits)
    accounts: tuple[KeyedAccount, ...] = ()
