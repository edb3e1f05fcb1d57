"""Interfaces of the gateway to the platform that it runs on.

An adapter implements these protocols. It only decodes and encodes: it holds no
state, does not block and makes no decisions.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from aspendrift_model.ids import AccountId, AttemptId, TargetId, ZoneName
from aspendrift_model.load_reports import LoadReport
from aspendrift_model.opaque_requests import Headers, OpaqueRequest
from aspendrift_model.pieces import Handle, PieceOutcome, PieceWork
from aspendrift_model.routes import RoutingConfiguration
from aspendrift_model.store_rows import StorePosition, StoreRow
from aspendrift_model.target_entries import TargetEntry, TargetKey, UnreadableEntry

__all__ = [
    "AddressQuery",
    "AnswerHead",
    "BadRequest",
    "CallerCodec",
    "ConfigurationUnreadable",
    "ForwardMetadata",
    "HttpCall",
    "LinkObserver",
    "LoadReport",
    "PlatformCodec",
    "PromptGuard",
    "StoreCodec",
    "StoreRow",
    "StoreRows",
    "TargetCodec",
]


@dataclass(frozen=True, slots=True)
class HttpCall:
    """An outgoing HTTP call: method, path with query, and body.

    ``attempt_id`` is the id that the answer repeats; None if answers name no request.
    """

    method: str
    target_path: str
    body: bytes = b""
    attempt_id: AttemptId | None = None


# Callers.


@dataclass(frozen=True, slots=True)
class BadRequest:
    """A request that can't be forwarded; ``detail`` tells why."""

    detail: str


@dataclass(frozen=True, slots=True)
class AddressQuery:
    """The zone of a caller that requests addresses."""

    zone: ZoneName


class CallerCodec(Protocol):
    """Decodes requests of callers and encodes answers of the gateway itself."""

    ready_path: str
    addresses_path: str

    def request(
        self, method: str, target_path: bytes, headers: Headers, body: bytes
    ) -> OpaqueRequest | BadRequest:
        """Decode a request."""

    def refusal_headers(
        self, attempt_id: AttemptId, retry_after_s: float | None
    ) -> Headers:
        """Return the headers of a refusal."""

    def handed_over(self, request: OpaqueRequest, left_s: float) -> Headers:
        """Return all headers of a request that another daemon serves in place of this.

        They are those of the caller, with the time that is left of its timeout.
        """

    def address_query(self, query: str) -> AddressQuery:
        """Decode the query of a request for addresses."""

    def addresses(self, addresses: Sequence[str], ttl_s: float) -> bytes:
        """Encode addresses, and the time for which the caller may cache them."""


# Targets.


@dataclass(frozen=True, slots=True)
class ForwardMetadata:
    """What the gateway adds to a request that it forwards.

    Parameters
    ----------
    left_s : float
        Time remaining until the deadline of the request, in seconds.
    urgency : int or None
        Rank in the queue of a model engine; 0 is served first.
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
class AnswerHead:
    """Decoded head of a target's answer.

    Parameters
    ----------
    is_signed : bool
        Whether the answer carries the target's signature.
    has_not_run : bool
        Whether the target states that it did not run the request.
    is_encoded : bool
        Whether the body was encoded on its way, so that its bytes are not the
        target's own.
    keep_alive_s : float or None
        Time after which the target closes an idle connection.
    is_leaving : bool
        Whether the target says that it leaves and wants no new work.
    requests_per_s : float or None
        Requests per second that the target takes from all daemons together, if it
        limits them.
    retry_after_s : float or None
        Time for which the target asks to be sent nothing, in seconds.
    unreadable : str
        Name and value of a header that could not be decoded; empty if there was none.
    signature : str
        The target's signature, which is opaque here; empty without one.
    """

    attempt_id: AttemptId | None
    is_signed: bool
    has_not_run: bool
    is_encoded: bool
    closes: bool
    load: LoadReport | None = None
    keep_alive_s: float | None = None
    is_leaving: bool = False
    requests_per_s: float | None = None
    unreadable: str = ""
    retry_after_s: float | None = None
    signature: str = ""


class TargetCodec(Protocol):
    """Encodes calls to targets and decodes their answers."""

    def forwarded(self, request: OpaqueRequest, metadata: ForwardMetadata) -> Headers:
        """Return all headers of a request that is forwarded to a target."""

    def answer_head(self, status: int, headers: Headers) -> AnswerHead:
        """Decode the head of an answer."""

    def stage_run(self, works: Sequence[PieceWork]) -> HttpCall:
        """Encode a batch call that computes pieces."""

    def stage_headers(self, target_id: TargetId) -> Headers:
        """Return the headers of a call that computes or frees pieces."""

    def stage_outcomes(
        self, body: bytes, n_pieces: int
    ) -> tuple[PieceOutcome, ...] | None:
        """Decode the answer to a batch call; None if it can't be decoded."""

    def stage_free(self, handles: Sequence[Handle]) -> HttpCall:
        """Encode a call that frees results."""

    def holder(self, handle: Handle) -> str:
        """Return the address of the target that holds a result."""


class LinkObserver(Protocol):
    """Is told of exchanges with targets, to tell when none can be reached."""

    @property
    def is_lost(self) -> bool:
        """Whether no target can be reached."""

    def sent(self) -> None:
        """Record that something was sent to a target."""

    def received(self) -> None:
        """Record that a target answered."""

    def failed(self) -> None:
        """Record that a connection to a target failed."""


class PromptGuard(Protocol):
    """Knows the parts of prompts that crash targets."""

    def refuses(self, request: OpaqueRequest) -> str | None:
        """Return the quarantined parts of a request's prompt, None if it may run."""

    def target_broke(self, key: TargetKey, request: OpaqueRequest) -> None:
        """Suspect the prompt of a request that a target had just begun to answer."""

    def completed(self, request: OpaqueRequest) -> None:
        """Clear the prompt of a request whose answer was completed."""


# The store.


@dataclass(frozen=True, slots=True)
class StoreRows:
    """Rows as of one point in time, and the store's newest version and era then."""

    rows: tuple[StoreRow, ...]
    version: int
    is_truncated: bool = False
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """Position in the store's history."""
        return StorePosition(self.era, self.version)


class StoreCodec(Protocol):
    """Encodes calls to the platform's store and decodes their answers."""

    configuration_table: str
    configuration_key: str
    targets_table: str

    def evacuated_zone(self, key: str) -> ZoneName | None:
        """Return the zone that a row of the configuration table evacuates, if any."""

    def read(self, table: str, after: str | None = None) -> HttpCall:
        """Encode a read of a table's rows after a key."""

    def read_key(self, table: str, key: str) -> HttpCall:
        """Encode a read of one row."""

    def feed(self, table: str, after: int, wait_s: float) -> HttpCall:
        """Encode a read of the changes after a version."""

    def put(self, table: str, key: str, value: bytes) -> HttpCall:
        """Encode an unconditional write of one row."""

    def remove(self, table: str, key: str) -> HttpCall:
        """Encode the removal of one row."""

    def rows(self, body: bytes, era: int) -> StoreRows | None:
        """Decode the answer to a read; None if it can't be decoded."""

    def era(self, headers: Headers) -> int | None:
        """Decode the era of the store that an answer names; None if it doesn't."""


@dataclass(frozen=True, slots=True)
class ConfigurationUnreadable:
    """A configuration that can't be decoded; ``problem`` tells why."""

    problem: str


class PlatformCodec(Protocol):
    """Everything that a platform adapter provides."""

    @property
    def caller(self) -> CallerCodec:
        """Codec for requests of callers."""

    @property
    def target(self) -> TargetCodec:
        """Codec for calls to targets."""

    @property
    def store(self) -> StoreCodec:
        """Codec for calls to the store."""

    def configuration(
        self, value: bytes
    ) -> RoutingConfiguration | ConfigurationUnreadable:
        """Decode the operators' configuration."""

    def target_entry(self, key: str, value: bytes) -> TargetEntry | UnreadableEntry:
        """Decode the entry that a target wrote about itself."""
