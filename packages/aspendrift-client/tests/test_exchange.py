"""Property tests of the exchange: any response gives a typed reply."""

from __future__ import annotations

import asyncio

import httpx
import msgspec
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from aspendrift_client.exchange import fetch_addresses, query_outcome, send_request
from aspendrift_client.resend import Broken, Reply
from aspendrift_model.digests import token_digest
from aspendrift_model.states import OutcomeStatus, Ran
from aspendrift_model.wire_caller import (
    EndEvent,
    OutcomeBody,
    RequestBody,
    TokenEvent,
)

BODY = RequestBody("r", "p", "x", stream=True)
DEEP = b'{"request_id":' + b"[" * 5000
JSON = "application/json"
NDJSON = "application/x-ndjson"


def client_of(content: bytes, content_type: str) -> httpx.AsyncClient:
    headers = {"content-type": content_type}
    return httpx.AsyncClient(
        transport=httpx.MockTransport(
            lambda request: httpx.Response(200, content=content, headers=headers)
        )
    )


async def send(content: bytes, content_type: str) -> Reply:
    async with client_of(content, content_type) as client:
        return await send_request(client, "http://d", BODY, None, 1.0)


def stream_of(texts: list[str], claimed: list[str]) -> bytes:
    outcome = OutcomeBody(
        "r",
        OutcomeStatus.ANSWERED,
        Ran.YES,
        n_tokens=len(claimed),
        digest=token_digest(claimed),
    )
    events: list[msgspec.Struct] = [
        TokenEvent(n, text) for n, text in enumerate(texts, start=1)
    ]
    events.append(EndEvent(outcome))
    return b"".join(msgspec.json.encode(event) + b"\n" for event in events)


@given(st.binary(max_size=100), st.sampled_from([JSON, NDJSON, "text/html"]))
@example(DEEP, JSON)
@example(DEEP, NDJSON)
@example(b"\xff\xfe\n", NDJSON)
def test_any_bytes_count_as_broken(content: bytes, content_type: str) -> None:
    assert isinstance(asyncio.run(send(content, content_type)), Broken)


@pytest.mark.parametrize("content", [b"", b"{}", b"\xff", DEEP])
def test_queries_survive_any_answer(content: bytes) -> None:
    async def query() -> tuple[Reply, object]:
        async with client_of(content, JSON) as client:
            reply = await query_outcome(client, "http://d", "r", 1.0)
            return reply, await fetch_addresses(client, "http://d", 1.0)

    reply, answer = asyncio.run(query())
    assert isinstance(reply, Broken)
    assert answer is None


@given(st.lists(st.text(max_size=4), max_size=6), st.lists(st.text(max_size=4)))
def test_stream_is_whole_only_with_the_claimed_tokens(
    texts: list[str], claimed: list[str]
) -> None:
    reply = asyncio.run(send(stream_of(texts, claimed), NDJSON))
    assert isinstance(reply, OutcomeBody) is (texts == claimed)


@given(st.lists(st.text(max_size=4), min_size=1, max_size=6), st.data())
def test_stream_cut_anywhere_is_broken(texts: list[str], data: st.DataObject) -> None:
    content = stream_of(texts, texts)
    cut = data.draw(st.integers(0, len(content) - 2))
    assert isinstance(asyncio.run(send(content[:cut], NDJSON)), Broken)
