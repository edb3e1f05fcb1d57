"""What the gateway needs of the platform it runs on.

An adapter implements these protocols. It only decodes and encodes: it keeps no
state, waits for nothing and chooses nothing.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from aspendrift_model.ids import AccountId, AttemptId, TargetId, ZoneName
from aspendrift_model.opaque_requests import Headers, OpaqueRequest
from aspendrift_model.pieces import Handle, PieceOutcome, PieceWork
from aspendrift_model.routes import RoutingConfiguration
from aspendrift_model.target_entries import TargetEntry, UnreadableEntry

__all__ = [
    "AddressQuery",
    "AnswerHead",
    "BadRequest",
    "CallerCodec",
    "ConfigurationUnreadable",
    "ForwardStamp",
    "HttpCall",
    "LoadReport",
    "MemberRecord",
    "PlatformCodec",
    "StoreCodec",
    "StoreRow",
    "StoreRows",
    "TargetCodec",
]


@dataclass(frozen=True, slots=True)
class HttpCall:
    """A call to make: method, path with query, and a body."""

    method: str
    target_path: str
    body: bytes = b""


# Callers.


@dataclass(frozen=True, slots=True)
class BadRequest:
    """A request that can't be forwarded, and why."""

    detail: str


@dataclass(frozen=True, slots=True)
class AddressQuery:
    """Where a caller is that asks for addresses."""

    zone: ZoneName


class CallerCodec(Protocol):
    """Requests of callers and answers of our own."""

    ready_path: str
    addresses_path: str

    def request(
        self, method: str, target_path: bytes, headers: Headers, body: bytes
    ) -> OpaqueRequest | BadRequest:
        """Decode a request."""

    def refusal_headers(
        self, attempt_id: AttemptId, retry_after_s: float | None
    ) -> Headers:
        """Return the headers of an answer of our own."""

    def address_query(self, query: str) -> AddressQuery:
        """Decode a question for addresses."""

    def addresses(self, addresses: Sequence[str], keep_s: float) -> bytes:
        """Encode the answer to it."""


# Targets.


@dataclass(frozen=True, slots=True)
class ForwardStamp:
    """What the system adds to a request that it forwards.

    Parameters
    ----------
    left_s : float
        Time left for the request, in seconds.
    urgency : int or None
        Rank in the queue of a model engine, 0 goes first.
    inputs : sequence of Handle
        Results of the stages, in order.
    """

    target_id: TargetId
    left_s: float
    account_id: AccountId | None = None
    urgency: int | None = None
    inputs: Sequence[Handle] = ()
    last_event_id: str | None = None


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Requests running and waiting at a target, and its slots."""

    n_running: int
    n_waiting: int
    n_slots: int


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """What the head of a target's answer says.

    Parameters
    ----------
    is_signed : bool
        Whether the answer bears the target's signature.
    has_not_run : bool
        Whether the target states that it did not run the request.
    is_encoded : bool
        Whether the body is not the target's own bytes.
    keep_alive_s : float or None
        Time after which the target closes an idle connection.
    """

    attempt_id: AttemptId | None
    is_signed: bool
    has_not_run: bool
    is_encoded: bool
    closes: bool
    load: LoadReport | None = None
    keep_alive_s: float | None = None


class TargetCodec(Protocol):
    """Calls to targets."""

    def forwarded(self, request: OpaqueRequest, stamp: ForwardStamp) -> Headers:
        """Return all headers of a request on its way to a target."""

    def answer_head(self, status: int, headers: Headers) -> AnswerHead:
        """Decode the head of an answer."""

    def stage_run(self, works: Sequence[PieceWork]) -> HttpCall:
        """Encode a call that makes pieces."""

    def stage_headers(self, target_id: TargetId) -> Headers:
        """Return the headers of a call that makes or frees pieces."""

    def stage_outcomes(
        self, body: bytes, n_pieces: int
    ) -> tuple[PieceOutcome, ...] | None:
        """Decode its answer; None if it can't be read."""

    def stage_free(self, handles: Sequence[Handle]) -> HttpCall:
        """Encode a call that frees results."""

    def holder(self, handle: Handle) -> str:
        """Return the address of the target that holds a result."""


# The store.


@dataclass(frozen=True, slots=True)
class StoreRow:
    """One row; ``value`` is None for a row that was removed."""

    key: str
    version: int
    value: bytes | None


@dataclass(frozen=True, slots=True)
class StoreRows:
    """Rows as of one moment, and the store's newest version then."""

    rows: tuple[StoreRow, ...]
    version: int
    is_truncated: bool = False


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """What a daemon writes about itself for the others to find."""

    daemon_id: str
    incarnation: int
    url: str
    peer_endpoint: str
    zone: str
    region: str
    peer_key: str = ""


class StoreCodec(Protocol):
    """Calls to the platform's store."""

    configuration_table: str
    configuration_key: str
    targets_table: str

    def read(self, table: str, after: str | None = None) -> HttpCall:
        """Encode a read of a table's rows after a key."""

    def read_key(self, table: str, key: str) -> HttpCall:
        """Encode a read of one row."""

    def feed(self, table: str, after: int, wait_s: float) -> HttpCall:
        """Encode a read of what changed after a version."""

    def put(self, table: str, key: str, value: bytes) -> HttpCall:
        """Encode an unconditional write of one row."""

    def remove(self, table: str, key: str) -> HttpCall:
        """Encode the removal of one row."""

    def rows(self, body: bytes) -> StoreRows | None:
        """Decode the answer to a read; None if it can't be read."""


@dataclass(frozen=True, slots=True)
class ConfigurationUnreadable:
    """A configuration that can't be decoded, and why."""

    problem: str


class PlatformCodec(Protocol):
    """All that an adapter provides."""

    @property
    def caller(self) -> CallerCodec:
        """Requests of callers."""

    @property
    def target(self) -> TargetCodec:
        """Calls to targets."""

    @property
    def store(self) -> StoreCodec:
        """Calls to the store."""

    def configuration(
        self, value: bytes
    ) -> RoutingConfiguration | ConfigurationUnreadable:
        """Decode the operators' configuration."""

    def target_entry(self, key: str, value: bytes) -> TargetEntry | UnreadableEntry:
        """Decode what a target wrote about itself."""
