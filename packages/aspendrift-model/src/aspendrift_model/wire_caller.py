"""Messages between callers and daemons: JSON bodies and NDJSON stream events."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from aspendrift_model.states import CallerAction, OutcomeStatus, Ran, RefusalReason

__all__ = [
    "Address",
    "AddressAnswer",
    "EndEvent",
    "OutcomeBody",
    "RequestBody",
    "StageTiming",
    "StreamEvent",
    "TokenEvent",
]

MAX_ID_LENGTH = 128
MAX_INPUT_LENGTH = 262_144
MAX_TOKENS = 8_192
MAX_DEADLINE_MS = 600_000

RequestIdText = Annotated[
    str, msgspec.Meta(min_length=1, max_length=MAX_ID_LENGTH, pattern="^[!-~]+$")
]


class RequestBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/requests``.

    The client account comes from the bearer token, never from the body.
    ``deadline_ms`` is the remaining time, counted from receipt; it can only
    shorten the deadline of the profile.
    """

    request_id: RequestIdText
    profile: Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_ID_LENGTH)]
    input: Annotated[str, msgspec.Meta(max_length=MAX_INPUT_LENGTH)]
    max_tokens: Annotated[int, msgspec.Meta(ge=1, le=MAX_TOKENS)] | None = None
    deadline_ms: Annotated[int, msgspec.Meta(ge=1, le=MAX_DEADLINE_MS)] | None = None
    stream: bool = False


class StageTiming(msgspec.Struct, frozen=True):
    """Time spent in one stage, in milliseconds.

    ``queue_ms`` is the queue time in the daemon, ``held_ms`` the time for which
    a target slot was occupied, ``busy_ms`` the service time that the target
    reported.
    """

    stage: str
    target_id: str
    attempts: int
    queue_ms: float
    held_ms: float
    busy_ms: float


class OutcomeBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """Outcome of a request, as a JSON body or within the last stream event."""

    request_id: str
    status: OutcomeStatus
    ran: Ran
    output: str | None = None
    n_tokens: int = 0
    digest: str = ""
    reason: RefusalReason | None = None
    sentence: str = ""
    detail: str = ""
    action: CallerAction | None = None
    retry_after_ms: int | None = None
    addresses: tuple[str, ...] = ()
    stages: tuple[StageTiming, ...] = ()
    daemon_id: str = ""
    revision: int = 0


class TokenEvent(msgspec.Struct, frozen=True, tag_field="event", tag="token"):
    """One generated token; ``n`` counts from 1 without gaps."""

    n: int
    text: str


class EndEvent(msgspec.Struct, frozen=True, tag_field="event", tag="end"):
    """Last event of a stream; a stream that ends without it is truncated."""

    outcome: OutcomeBody


StreamEvent = TokenEvent | EndEvent


class Address(msgspec.Struct, frozen=True):
    """Address of a daemon that a caller may use."""

    daemon_id: str
    url: str
    zone: str


class AddressAnswer(msgspec.Struct, frozen=True):
    """Response of ``GET /v1/addresses``, best address first.

    ``keep_s`` is the time for which the caller may cache the response, in seconds.
    """

    addresses: tuple[Address, ...]
    keep_s: float
    kind: Literal["addresses"] = "addresses"
