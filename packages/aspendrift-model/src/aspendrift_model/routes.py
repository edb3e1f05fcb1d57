"""Routes of opaque requests, the pools behind them and the accounts that use them."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from aspendrift_model.ids import AccountId, PoolName

__all__ = [
    "FrontLimits",
    "KeyedAccount",
    "ModelPool",
    "PieceLimits",
    "PoolSpec",
    "RequestKind",
    "Route",
    "RoutingConfiguration",
    "StageSpec",
    "WeightedPool",
]


class RequestKind(Enum):
    """What may be repeated of a request."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class WeightedPool:
    """A pool and its share of a route's requests."""

    pool: PoolName
    weight: float


@dataclass(frozen=True, slots=True)
class StageSpec:
    """Work in pieces that must be done before a request runs.

    Parameters
    ----------
    index : int
        Number of the stage within its route, from 0.
    pool : PoolName
        Pool whose targets make the pieces.
    after : tuple of int
        Stages whose results are the inputs of each piece.
    result_bytes : float
        Approximate size of the result of one piece.
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
        Longest time that a caller is kept waiting, in seconds.
    objective_s : float
        Time within which an answer (of a stream, its first event) is on time.
    event_gap_s : float
        Longest pause between events of a stream that is on time; 0 for none.
    priority : int
        Rank, 0 is served first.
    keeps_prompts : bool
        Whether targets keep parts of prompts for the next request.
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
    keeps_prompts: bool = False
    is_resumable: bool = False
    event_gap_s: float = 0.0

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT or self.is_resumable


@dataclass(frozen=True, slots=True)
class PieceLimits:
    """What one target of a stage pool can do.

    Parameters
    ----------
    n_slots, n_queued : int
        Calls worked on and calls that may wait.
    batch : int
        Most pieces in one call.
    call_s, piece_s : float
        Work of a call and, on top, of each piece, in seconds; approximate.
    room_bytes : float
        Memory for results.
    keep_s : float
        Time for which a result is kept unless it is freed.
    """

    n_slots: int
    n_queued: int
    batch: int
    call_s: float
    piece_s: float
    room_bytes: float
    keep_s: float

    @property
    def full_call_s(self) -> float:
        """Time of a call with as many pieces as it may have."""
        return self.work_s(self.batch)

    @property
    def turn_pieces(self) -> int:
        """Pieces that one target works on at the same time, at most."""
        return self.n_slots * self.batch

    @property
    def pieces_per_s(self) -> float:
        """Pieces that one target makes in a second if all calls are full."""
        return self.turn_pieces / self.full_call_s

    def work_s(self, n_pieces: int) -> float:
        """Return the time of one call with this many pieces."""
        return self.call_s + n_pieces * self.piece_s


@dataclass(frozen=True, slots=True)
class ModelPool:
    """What one model engine of a pool can hold."""

    n_slots: int
    cache_tokens: float


@dataclass(frozen=True, slots=True)
class PoolSpec:
    """A pool of targets of one kind.

    Parameters
    ----------
    max_connections : int
        Connections that one target takes from all daemons together.
    """

    name: PoolName
    max_connections: int
    pieces: PieceLimits | None = None
    model: ModelPool | None = None


@dataclass(frozen=True, slots=True)
class FrontLimits:
    """What a caller may send, and for how long it may idle."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class KeyedAccount:
    """A client account, its keys and the priority that goes before a route's."""

    account_id: AccountId
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class RoutingConfiguration:
    """One version of all routes, pools, limits and accounts."""

    version: int
    routes: tuple[Route, ...]
    pools_by_name: dict[PoolName, PoolSpec]
    limits: FrontLimits = field(default_factory=FrontLimits)
    accounts: tuple[KeyedAccount, ...] = ()
