"""Tests of the failure classification of the target client."""

from __future__ import annotations

import asyncio
import time

import httpx
import msgspec
import pytest

from aspendrift_daemon.targets import (
    Broken,
    ForeignAnswer,
    NotSent,
    Rejected,
    StageAnswered,
    TargetClient,
    TimedOut,
)
from aspendrift_model.digests import token_digest
from aspendrift_model.settings_requests import RequestSettings
from aspendrift_model.states import StageKind, TargetKind
from aspendrift_model.targets import Target
from aspendrift_model.wire_target import (
    GeneratedEnd,
    GeneratedToken,
    StageAnswer,
    StageCall,
    StageRejection,
)

TARGET = Target("t1", "pool", TargetKind.ENGINE, "http://127.0.0.1:9", "z", "r")
CALL = StageCall("r1", "a.1", "s", StageKind.CALL, "in", 1000)


class Clock:
    def monotonic(self):
        return time.monotonic()

    def unix(self):
        return 0.0


class LineStream(httpx.AsyncByteStream):
    """Body that yields lines, then fails, stalls or ends."""

    def __init__(self, messages, then=None):
        self.messages = messages
        self.then = then
        self.closed = False
        self.is_read_to_end = False

    async def __aiter__(self):
        for message in self.messages:
            yield msgspec.json.encode(message) + b"\n"
        if self.then == "stall":
            await asyncio.sleep(60)
        elif self.then is not None:
            raise self.then
        self.is_read_to_end = True

    async def aclose(self):
        self.closed = True


def client_with(handler, **settings):
    transport = httpx.MockTransport(handler)
    return TargetClient(RequestSettings(**settings), Clock(), transport)


def answering(status, message):
    async def handler(request):
        return httpx.Response(status, content=msgspec.json.encode(message))

    return handler


def failing(error, *, then_down=False):
    async def handler(request):
        if request.url.path == "/v1/load":
            if then_down:
                raise httpx.ConnectError("refused")
            return httpx.Response(200)
        raise error

    return handler


def run_call(handler, timeout_s=5.0):
    return asyncio.run(client_with(handler).call(TARGET, CALL, timeout_s))


def run_stream(handler, *, resume=False, timeout_s=5.0, **settings):
    async def scenario():
        client = client_with(handler, **settings)
        if resume:
            items = client.resume(TARGET, CALL, 2, timeout_s)
        else:
            items = client.generate(TARGET, CALL, timeout_s)
        return [item async for item in items]

    return asyncio.run(scenario())


def own_answer(output=b'"x"', request_id="r1", attempt_id="a.1"):
    return StageAnswer(request_id, attempt_id, msgspec.Raw(output), 2.0)


def test_answer_with_matching_ids_is_accepted():
    assert run_call(answering(200, own_answer())) == StageAnswered(b'"x"', 2.0)


@pytest.mark.parametrize("ids", [("r1", "a.2"), ("r2", "a.1")])
def test_answer_with_other_ids_is_foreign(ids):
    answer = own_answer(request_id=ids[0], attempt_id=ids[1])
    assert run_call(answering(200, answer)) == ForeignAnswer(ids[1])


@pytest.mark.parametrize(
    "error",
    [httpx.ConnectError("x"), httpx.ConnectTimeout("x"), httpx.PoolTimeout("x")],
)
def test_no_connection_means_not_sent(error):
    assert run_call(failing(error)) == NotSent(type(error).__name__)


@pytest.mark.parametrize("error", [httpx.ReadError("x"), httpx.WriteError("x")])
@pytest.mark.parametrize("down", [False, True])
def test_cut_connection_is_broken_and_detects_a_crash(error, down):
    result = run_call(failing(error, then_down=down))
    assert result == Broken(type(error).__name__, crashed=down)


@pytest.mark.parametrize("status", [400, 429, 503])
def test_error_with_the_attempt_id_is_a_rejection(status):
    refused = answering(status, StageRejection("a.1"))
    assert run_call(refused) == Rejected(f"status {status}")


@pytest.mark.parametrize(
    ("status", "message"),
    [
        (503, StageRejection("a.2")),
        (503, {"error": "busy"}),
        (500, StageRejection("a.1")),
        (200, {"nothing": 1}),
    ],
)
def test_other_errors_may_have_run(status, message):
    assert isinstance(run_call(answering(status, message)), Broken)


def test_missing_answer_times_out():
    async def handler(request):
        await asyncio.sleep(60)

    assert run_call(handler, 0.01) == TimedOut()


def streaming(body, paths=None):
    async def handler(request):
        if request.url.path == "/v1/load":
            return httpx.Response(200)
        if paths is not None:
            paths.append(str(request.url.raw_path.decode()))
        return httpx.Response(200, stream=body)

    return handler


TOKENS = [GeneratedToken("a.1", n, f"w{n}") for n in (1, 2)]
END = GeneratedEnd("a.1", 2, token_digest(["w1", "w2"]))


def test_stream_to_its_end():
    body = LineStream([*TOKENS, END])
    assert run_stream(streaming(body)) == [*TOKENS, END]
    assert body.closed
    assert body.is_read_to_end, (
        "a connection whose body is not read to its end is not reused"
    )


def test_stream_that_stays_open_after_its_end_is_closed():
    body = LineStream([*TOKENS, END], "stall")
    assert run_stream(streaming(body)) == [*TOKENS, END]
    assert body.closed


def test_stream_resumed_after_a_token():
    paths = []
    body = LineStream([END])
    assert run_stream(streaming(body, paths), resume=True) == [END]
    assert paths == ["/v1/attempts/a.1/resume?after=2"]


def test_stream_without_its_end_is_broken():
    items = run_stream(streaming(LineStream(TOKENS)))
    assert items[:2] == TOKENS
    assert isinstance(items[2], Broken)


def test_cut_stream_is_broken():
    items = run_stream(streaming(LineStream(TOKENS, httpx.ReadError("cut"))))
    assert items[2] == Broken("ReadError")


def test_stalled_stream_is_broken():
    items = run_stream(streaming(LineStream(TOKENS, "stall")), token_stall_ms=10)
    assert items[2] == Broken("the stream stalled")


def test_stream_past_its_timeout_times_out():
    items = run_stream(streaming(LineStream(TOKENS, "stall")), timeout_s=0.05)
    assert items[2] == TimedOut()


def test_abandoned_stream_is_closed():
    body = LineStream(TOKENS, "stall")

    async def scenario():
        items = client_with(streaming(body)).generate(TARGET, CALL, 5.0)
        assert await anext(items) == TOKENS[0]
        await items.aclose()

    asyncio.run(scenario())
    assert body.closed


def test_refused_stream_is_rejected():
    items = run_stream(answering(503, StageRejection("a.1")))
    assert items == [Rejected("status 503")]


@pytest.mark.fault("target crashing", "request sent", "request partly answered")
def test_exiting_target_that_still_accepts_is_probed_again():
    errors = [httpx.ReadError("cut"), httpx.RemoteProtocolError("closed")]

    async def handler(request):
        if request.url.path == "/v1/load":
            raise errors.pop(0) if errors else httpx.ConnectError("refused")
        raise httpx.ReadError("cut")

    assert run_call(handler) == Broken("ReadError", crashed=True)


@pytest.mark.fault("target crashing", "request partly answered")
def test_refused_connection_at_a_resume_is_a_crash():
    async def handler(request):
        raise httpx.ConnectError("refused")

    assert run_stream(handler, resume=True) == [Broken("ConnectError", crashed=True)]
