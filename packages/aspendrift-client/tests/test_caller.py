"""Tests of the caller library against scripted daemons."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import httpx
import msgspec
import pytest

from aspendrift_client.caller import Call, Caller, CallResult, NoOutcome
from aspendrift_model.digests import token_digest
from aspendrift_model.outcomes import REFUSAL_RULES
from aspendrift_model.states import OutcomeStatus, Ran, RefusalReason
from aspendrift_model.wire_caller import (
    Address,
    AddressAnswer,
    EndEvent,
    OutcomeBody,
    RequestBody,
    StreamEvent,
    TokenEvent,
)

Handler = Callable[[httpx.Request], httpx.Response]
URLS = ("http://one", "http://two")
ANSWERED = OutcomeBody("r", OutcomeStatus.ANSWERED, Ran.YES, output="yes")


@dataclass
class Daemons:
    """Scripted responses to the requests and outcome queries of one caller."""

    on_send: list[Handler]
    on_query: list[Handler] = field(default_factory=list)
    sent: list[RequestBody] = field(default_factory=list)
    hosts: list[str] = field(default_factory=list)
    n_outcome_queries: int = 0
    n_address_queries: int = 0
    addresses_time_out: bool = False

    def answer(self, request: httpx.Request) -> httpx.Response:
        if request.url.path == "/v1/addresses":
            self.n_address_queries += 1
            if self.addresses_time_out:
                raise httpx.ReadTimeout("no answer")
            addresses = tuple(Address(url, url, "a") for url in URLS)
            return json_response(200, AddressAnswer(addresses, 60.0))
        if request.method == "GET":
            self.n_outcome_queries += 1
            return self.on_query.pop(0)(request)
        self.sent.append(msgspec.json.decode(request.content, type=RequestBody))
        self.hosts.append(request.url.host)
        return self.on_send.pop(0)(request)

    def send(self, call: Call, sink: Tokens | None = None) -> CallResult:
        return asyncio.run(self._send(call, sink))

    async def _send(self, call: Call, sink: Tokens | None) -> CallResult:
        transport = httpx.MockTransport(self.answer)
        async with httpx.AsyncClient(transport=transport) as client:
            caller = Caller(URLS, client, random.Random(7))
            return await caller.send(call, sink)


@dataclass
class Tokens:
    """Collects the tokens of a stream."""

    texts: list[str] = field(default_factory=list)

    def token(self, n: int, text: str) -> None:
        self.texts.append(text)

    def restart(self) -> None:
        self.texts.clear()


def json_response(status: int, body: msgspec.Struct) -> httpx.Response:
    headers = {"content-type": "application/json"}
    return httpx.Response(status, content=msgspec.json.encode(body), headers=headers)


def answer(request: httpx.Request) -> httpx.Response:
    return json_response(200, ANSWERED)


def connection_reset(request: httpx.Request) -> httpx.Response:
    raise httpx.ReadError("reset")


def connection_refused(request: httpx.Request) -> httpx.Response:
    raise httpx.ConnectError("refused")


def refusal(reason: RefusalReason, ran: Ran = Ran.NO) -> Handler:
    status = OutcomeStatus.REFUSED if ran is Ran.NO else OutcomeStatus.FAILED
    return outcome_response("r", status, reason, ran)


def outcome_response(
    request_id: str, status: OutcomeStatus, reason: RefusalReason, ran: Ran
) -> Handler:
    rule = REFUSAL_RULES[reason]
    body = OutcomeBody(request_id, status, ran, reason=reason, action=rule.action)
    return lambda request: json_response(rule.http_status, body)


def stream(*events: StreamEvent) -> Handler:
    content = b"".join(msgspec.json.encode(event) + b"\n" for event in events)
    headers = {"content-type": "application/x-ndjson"}
    return lambda request: httpx.Response(200, content=content, headers=headers)


def end(texts: list[str]) -> EndEvent:
    digest = token_digest(texts)
    outcome = msgspec.structs.replace(
        ANSWERED, output=None, n_tokens=len(texts), digest=digest
    )
    return EndEvent(outcome)


TOKENS = [TokenEvent(1, "a"), TokenEvent(2, "b")]
END = end(["a", "b"])


def test_calls_continue_without_an_address_answer() -> None:
    daemons = Daemons([answer] * 3, addresses_time_out=True)

    async def send_some() -> list[CallResult]:
        transport = httpx.MockTransport(daemons.answer)
        async with httpx.AsyncClient(transport=transport) as client:
            caller = Caller(URLS, client, random.Random(7), lambda: 100.0)
            return [await caller.send(Call("r", "p", "x")) for _ in range(3)]

    assert all(result.answered for result in asyncio.run(send_some()))
    assert daemons.n_address_queries == len(URLS)


def test_refused_connection_is_retried_at_the_other_daemon() -> None:
    daemons = Daemons([connection_refused, answer])
    result = daemons.send(Call("r", "p", "x"))
    assert result.answered
    assert result.n_attempts == 2
    assert len(set(daemons.hosts)) == 2


def test_request_refused_as_not_run_is_resent_with_the_same_id() -> None:
    daemons = Daemons([refusal(RefusalReason.LEAVING), answer])
    assert daemons.send(Call("r", "p", "x")).answered
    assert [body.request_id for body in daemons.sent] == ["r", "r"]
    assert len(set(daemons.hosts)) == 2


def test_broken_call_is_queried_and_never_sent_twice() -> None:
    daemons = Daemons([connection_reset], on_query=[connection_reset, answer])
    result = daemons.send(Call("r", "p", "x"))
    assert result.answered
    assert len(daemons.sent) == 1
    assert daemons.n_outcome_queries == 2


def test_refused_outcome_query_does_not_mean_not_run() -> None:
    leaving = outcome_response("", OutcomeStatus.REFUSED, RefusalReason.LEAVING, Ran.NO)
    daemons = Daemons([connection_reset], on_query=[leaving] * 50)
    result = daemons.send(Call("r", "p", "x", deadline_ms=300))
    assert isinstance(result.outcome, NoOutcome)
    assert result.outcome.ran is Ran.UNKNOWN
    assert len(daemons.sent) == 1


def test_running_call_is_queried_until_it_ends() -> None:
    claim_held = refusal(RefusalReason.CLAIM_HELD, Ran.UNKNOWN)
    daemons = Daemons([connection_reset], on_query=[claim_held, claim_held, answer])
    assert daemons.send(Call("r", "p", "x")).answered
    assert len(daemons.sent) == 1


def test_call_without_a_record_is_sent_again_with_the_same_id() -> None:
    not_found = refusal(RefusalReason.NOT_FOUND, Ran.UNKNOWN)
    daemons = Daemons([connection_reset, answer], on_query=[not_found])
    assert daemons.send(Call("r", "p", "x")).answered
    assert [body.request_id for body in daemons.sent] == ["r", "r"]


def test_unknown_outcome_ends_the_call() -> None:
    unknown = refusal(RefusalReason.OUTCOME_UNKNOWN, Ran.UNKNOWN)
    daemons = Daemons([connection_reset], on_query=[unknown])
    result = daemons.send(Call("r", "p", "x"))
    assert isinstance(result.outcome, OutcomeBody)
    assert result.outcome.reason is RefusalReason.OUTCOME_UNKNOWN
    assert len(daemons.sent) == 1


def test_refusal_after_a_broken_attempt_leaves_the_outcome_unknown() -> None:
    daemons = Daemons([connection_reset, refusal(RefusalReason.BAD_REQUEST)])
    result = daemons.send(Call("r", "p", "x", idempotent=True))
    assert isinstance(result.outcome, OutcomeBody)
    assert result.outcome.ran is Ran.UNKNOWN


def test_no_daemon_reached_means_not_run() -> None:
    daemons = Daemons([connection_refused] * 50)
    result = daemons.send(Call("r", "p", "x", deadline_ms=300))
    assert result.outcome == NoOutcome(Ran.NO, "ConnectError")


def test_deadline_shrinks_with_each_attempt() -> None:
    daemons = Daemons([refusal(RefusalReason.OVERLOADED), answer])
    daemons.send(Call("r", "p", "x", deadline_ms=5000))
    first, second = (body.deadline_ms for body in daemons.sent)
    assert first is not None and second is not None
    assert second < first <= 5000


def test_complete_stream_is_joined() -> None:
    sink = Tokens()
    result = Daemons([stream(*TOKENS, END)]).send(
        Call("r", "p", "x", stream=True), sink
    )
    assert isinstance(result.outcome, OutcomeBody)
    assert result.outcome.output == "ab"
    assert sink.texts == ["a", "b"]


@pytest.mark.parametrize(
    "events",
    [
        TOKENS,
        [TOKENS[0], END],
        [TOKENS[1], END],
        [TOKENS[0], TOKENS[0], END],
        [TokenEvent(1, "a"), TokenEvent(2, "c"), END],
    ],
    ids=["no end", "one lost", "gap", "repeated", "changed"],
)
def test_faulty_stream_is_never_reported_complete(events: list[StreamEvent]) -> None:
    sink = Tokens()
    daemons = Daemons([stream(*events), stream(*TOKENS, END)])
    call = Call("r", "p", "x", stream=True, idempotent=True)
    assert daemons.send(call, sink).n_attempts == 2
    assert sink.texts == ["a", "b"]


def test_outcome_of_another_request_is_not_used() -> None:
    other = msgspec.structs.replace(ANSWERED, request_id="other")
    daemons = Daemons([lambda request: json_response(200, other), answer])
    result = daemons.send(Call("r", "p", "x", idempotent=True))
    assert result.outcome == ANSWERED
