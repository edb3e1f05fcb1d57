"""HTTP exchanges with one daemon, with checks that each reply is complete."""

from __future__ import annotations

from typing import Protocol

import httpx
import msgspec

from aspendrift_client.resend import Broken, NotSent, Reply
from aspendrift_model.decode_errors import DECODE_ERRORS
from aspendrift_model.digests import TokenDigest
from aspendrift_model.states import OutcomeStatus
from aspendrift_model.wire_caller import (
    AddressAnswer,
    EndEvent,
    OutcomeBody,
    RequestBody,
    StreamEvent,
    TokenEvent,
)

__all__ = ["TokenSink", "query_outcome", "fetch_addresses", "send_request"]

_JSON = {"content-type": "application/json"}
_STREAM_TYPE = "application/x-ndjson"
_CONNECT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
_EVENT_DECODER: msgspec.json.Decoder[StreamEvent] = msgspec.json.Decoder(StreamEvent)
_OUTCOME_DECODER = msgspec.json.Decoder(OutcomeBody)
_ADDRESS_DECODER = msgspec.json.Decoder(AddressAnswer)


class TokenSink(Protocol):
    """Receives the tokens of a streamed answer."""

    def token(self, n: int, text: str) -> None:
        """Receive token number ``n``, counted from 1."""

    def restart(self) -> None:
        """Discard the tokens received so far; the answer restarts."""


class _CheckedStream:
    """Checks the numbering, count and digest of a stream."""

    def __init__(self, sink: TokenSink | None) -> None:
        self._sink = sink
        self._digest = TokenDigest()
        self._texts: list[str] = []

    def accept(self, event: StreamEvent) -> Reply | None:
        """Check an event; return a reply if the event ends the stream or is invalid."""
        if isinstance(event, EndEvent):
            return self._end(event.outcome)
        return self._token(event)

    def _token(self, event: TokenEvent) -> Reply | None:
        if event.n != self._digest.n_tokens + 1:
            return Broken(
                f"received token {event.n} after token {self._digest.n_tokens}"
            )
        self._digest.add(event.text)
        self._texts.append(event.text)
        if self._sink is not None:
            self._sink.token(event.n, event.text)
        return None

    def _end(self, outcome: OutcomeBody) -> Reply:
        if outcome.status is not OutcomeStatus.ANSWERED:
            return outcome
        if outcome.n_tokens != self._digest.n_tokens:
            return Broken(
                f"received {self._digest.n_tokens} of {outcome.n_tokens} tokens"
            )
        if outcome.digest != self._digest.hexdigest():
            return Broken("token digest differs from the one in the outcome")
        if outcome.output is None:
            return msgspec.structs.replace(outcome, output="".join(self._texts))
        return outcome


async def send_request(
    client: httpx.AsyncClient,
    url: str,
    body: RequestBody,
    sink: TokenSink | None,
    timeout_s: float,
) -> Reply:
    """Send a request to a daemon and return its outcome."""
    try:
        async with client.stream(
            "POST",
            f"{url}/v1/requests",
            content=msgspec.json.encode(body),
            headers=_JSON,
            timeout=httpx.Timeout(timeout_s, connect=min(timeout_s, 2.0)),
        ) as response:
            if response.headers.get("content-type", "").startswith(_STREAM_TYPE):
                return await _read_stream(response, _CheckedStream(sink))
            return _decode_outcome(await response.aread(), body.request_id)
    except _CONNECT_ERRORS as error:
        return NotSent(type(error).__name__)
    except httpx.HTTPError as error:
        return Broken(type(error).__name__)


async def query_outcome(
    client: httpx.AsyncClient, url: str, request_id: str, timeout_s: float
) -> Reply:
    """Query a daemon for the outcome of an earlier request.

    A refusal without a request id refuses the query, not the request. It says
    nothing about the request and counts as no answer.
    """
    try:
        response = await client.get(
            f"{url}/v1/requests/{request_id}", timeout=timeout_s
        )
    except httpx.HTTPError as error:
        return Broken(type(error).__name__)
    reply = _decode_outcome(response.content, request_id)
    if isinstance(reply, OutcomeBody) and not reply.request_id:
        return Broken(f"outcome query refused with status {response.status_code}")
    return reply


async def fetch_addresses(
    client: httpx.AsyncClient, url: str, timeout_s: float
) -> AddressAnswer | None:
    """Query a daemon for addresses; None if it gives no valid answer."""
    try:
        response = await client.get(f"{url}/v1/addresses", timeout=timeout_s)
        return _ADDRESS_DECODER.decode(response.content)
    except (httpx.HTTPError, *DECODE_ERRORS):
        return None


async def _read_stream(response: httpx.Response, stream: _CheckedStream) -> Reply:
    async for line in response.aiter_lines():
        if not line:
            continue
        try:
            event = _EVENT_DECODER.decode(line)
        except DECODE_ERRORS:
            return Broken("unreadable stream event")
        reply = stream.accept(event)
        if reply is not None:
            return reply
    return Broken("stream closed without an end event")


def _decode_outcome(content: bytes, request_id: str) -> Reply:
    try:
        outcome = _OUTCOME_DECODER.decode(content)
    except DECODE_ERRORS:
        return Broken("unreadable outcome")
    if outcome.request_id not in (request_id, ""):
        return Broken("outcome belongs to another request")
    return outcome
