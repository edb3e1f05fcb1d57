"""Tests of the HTTP routes for callers."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
import socket

import httpx
import msgspec
import pytest
import uvicorn
from litestar import Litestar

from aspendrift_daemon.authentication import AccountAuthenticator
from aspendrift_daemon.request_routes import caller_routes, exception_handlers
from aspendrift_model.accounts import ClientAccount
from aspendrift_model.configuration import Configuration
from aspendrift_model.digests import token_digest
from aspendrift_model.states import RefusalReason as R
from aspendrift_model.wire_caller import EndEvent, StreamEvent, TokenEvent

TOKEN = "kaapwind-token"


class Accounts:
    def current(self):
        account = ClientAccount("kaapwind", hashlib.sha256(TOKEN.encode()).hexdigest())
        return Configuration(1, {}, {}, {"kaapwind": account})

    def on_change(self, listener):
        pass


async def wait_until(condition):
    for _ in range(1000):
        if condition():
            return
        await asyncio.sleep(0.01)
    pytest.fail("the condition did not become true within 10 s")


@contextlib.asynccontextmanager
async def serving(net):
    """Serve the routes on a free port and yield a client."""
    routes = caller_routes(
        net.services[0], AccountAuthenticator(Accounts()), net.settings
    )
    app = Litestar(routes, exception_handlers=exception_handlers(), openapi_config=None)
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    config = uvicorn.Config(app, loop="asyncio", log_level="critical", lifespan="off")
    server = uvicorn.Server(config)
    task = asyncio.create_task(server.serve([listener]))
    url = f"http://127.0.0.1:{listener.getsockname()[1]}"
    headers = {"authorization": f"Bearer {TOKEN}"}
    try:
        async with httpx.AsyncClient(base_url=url, headers=headers) as client:
            await wait_until(lambda: server.started)
            yield client
    finally:
        server.should_exit = True
        await task


def content(box, **more):
    return msgspec.json.encode(box.body(**more))


BAD_INPUTS = {
    "bad json": (b"{", 400, "bad_request"),
    "not utf-8": (b"\xff\xfe", 400, "bad_request"),
    "deep nesting": (b"[" * 100_000, 400, "bad_request"),
    "wrong type": (b'{"request_id":1,"profile":"p","input":"x"}', 400, "bad_request"),
    "missing key": (b'{"request_id":"r","input":"x"}', 400, "bad_request"),
    "unknown key": (
        b'{"request_id":"r","profile":"p","input":"x","prio":1}',
        400,
        "bad_request",
    ),
    "empty": (b"", 400, "bad_request"),
    "unknown profile": (
        b'{"request_id":"r","profile":"p","input":"x"}',
        404,
        "unknown_profile",
    ),
    "oversized": (b" " * 600_000, 413, "too_large"),
}


@pytest.mark.parametrize("name", BAD_INPUTS)
def test_bad_input_is_refused_with_a_type(box, name):
    sent, status, reason = BAD_INPUTS[name]

    async def scenario():
        async with box.network() as net, serving(net) as client:
            return await client.post("/v1/requests", content=sent)

    response = asyncio.run(scenario())
    answer = response.json()
    assert (response.status_code, answer["reason"]) == (status, reason)
    assert answer["ran"] == "no"
    assert answer["sentence"]
    assert "Traceback" not in response.text


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [("GET", "/nothing", 404), ("DELETE", "/v1/requests", 405)],
)
def test_routing_errors_are_typed(box, method, path, status):
    async def scenario():
        async with box.network() as net, serving(net) as client:
            return await client.request(method, path)

    response = asyncio.run(scenario())
    assert response.status_code == status
    assert response.json()["ran"] == "no"


@pytest.mark.parametrize("header", ["", "Bearer", "Bearer other", "Basic abc"])
def test_unknown_token_is_refused(box, header):
    async def scenario():
        async with box.network() as net, serving(net) as client:
            return await client.post(
                "/v1/requests",
                content=content(box),
                headers={"authorization": header},
            )

    response = asyncio.run(scenario())
    assert response.status_code == 401
    assert response.json()["reason"] == "unauthenticated"


def test_stream_is_numbered_and_ends_with_count_and_digest(box):
    async def scenario():
        async with box.network() as net, serving(net) as client:
            return await client.post("/v1/requests", content=content(box, stream=True))

    response = asyncio.run(scenario())
    assert response.headers["content-type"].startswith("application/x-ndjson")
    events = [
        msgspec.json.decode(line, type=StreamEvent)
        for line in response.content.splitlines()
    ]
    tokens = [event for event in events if isinstance(event, TokenEvent)]
    assert [token.n for token in tokens] == list(range(1, 9))
    assert isinstance(events[-1], EndEvent)
    outcome = events[-1].outcome
    assert outcome.n_tokens == 8
    assert outcome.digest == token_digest(token.text for token in tokens)


def test_plain_call_and_outcome_lookup(box):
    async def scenario():
        async with box.network() as net, serving(net) as client:
            sent = await client.post(
                "/v1/requests", content=content(box, profile="deposit")
            )
            found = await client.get("/v1/requests/r1")
            missing = await client.get("/v1/requests/r2")
            return sent, found, missing

    sent, found, missing = asyncio.run(scenario())
    assert sent.status_code == found.status_code == 200
    assert json.loads(sent.content) == json.loads(found.content)
    assert missing.status_code == 404
    assert missing.json()["ran"] == "unknown"


@pytest.mark.fault("caller gone", "request sent")
@pytest.mark.parametrize("stream", [False, True])
def test_closed_connection_cancels_the_attempt(box, stream):
    async def scenario():
        async with box.network() as net, serving(net) as client:
            started = asyncio.Event()

            async def stuck(call):
                async for item in box.tokens(call, until=2):
                    yield item
                started.set()
                await asyncio.sleep(60)

            net.targets.scripts["engine-1"] = [stuck]
            sent = asyncio.create_task(
                client.post("/v1/requests", content=content(box, stream=stream))
            )
            await started.wait()
            sent.cancel()
            await asyncio.wait({sent})
            await wait_until(lambda: net.targets.cancelled)
            assert net.services[0].n_open == 0

    asyncio.run(asyncio.wait_for(scenario(), 20))


@pytest.mark.fault("store down", "daemon starting")
@pytest.mark.parametrize("reason", [R.NOT_READY, R.ISOLATED])
def test_daemon_without_fresh_accounts_does_not_reject_the_token(box, reason):
    async def scenario():
        async with box.network() as net, serving(net) as client:
            net.services[0]._may_serve = lambda now: reason
            return await client.post(
                "/v1/requests",
                content=content(box),
                headers={"authorization": "Bearer not-known-here"},
            )

    response = asyncio.run(scenario())
    refusal = response.json()
    assert (refusal["reason"], refusal["ran"]) == (reason.value, "no")
    assert refusal["action"] == "resend_elsewhere"
    assert refusal["addresses"]
    assert response.status_code == 503
