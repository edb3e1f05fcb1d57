"""Tests that an answer is framed as complete only if its target completed it."""

from __future__ import annotations

import httpx
import pytest
from scripted_target import CHUNKED, Script, chunks


def events(*numbers):
    return b"".join(b"id: %d\ndata: x\n\n" % number for number in numbers)


@pytest.mark.parametrize(
    "body",
    [events(1, 2), events(1) + b"id: 2\nda"],
    ids=["after-an-event", "inside-an-event"],
)
@pytest.mark.parametrize("framing", [b"", CHUNKED], ids=["unframed", "chunked"])
def test_stream_that_a_crash_ended_plainly_is_not_framed_as_complete(
    run_scripted, body, framing
):
    async def scenario(world):
        sent = chunks(body, ends=False) if framing else body
        world.script(Script(sent, framing, crashes=True))
        with pytest.raises(httpx.RemoteProtocolError):
            await world.call("/model/x")

    run_scripted("model", scenario)


@pytest.mark.parametrize(
    "body",
    [events(1, 2), events(1, 2) + b"id: 3\nda"],
    ids=["after-an-event", "inside-an-event"],
)
def test_stream_that_a_crash_ended_plainly_is_continued_elsewhere(run_scripted, body):
    async def scenario(world):
        rest = Script(chunks(events(3, 4)), CHUNKED)
        world.script(Script(body, crashes=True), rest)
        answer = await world.call("/resume/x")
        assert answer.content == events(1, 2, 3, 4)
        asked = [each for t in world.targets for each in t.last_event_ids]
        assert sorted(asked, key=str) == ["2", None]

    run_scripted("model", scenario)


def test_stream_that_was_reset_is_not_framed_as_complete(run_scripted):
    async def scenario(world):
        world.script(Script(events(1, 2), resets=True))
        with pytest.raises(httpx.RemoteProtocolError):
            await world.call("/model/x")

    run_scripted("model", scenario)


def test_answer_that_a_crash_ended_plainly_is_not_framed_as_complete(run_scripted):
    async def scenario(world):
        world.script(Script(b"half of an ans", crashes=True))
        answer = await world.call("/once/x")
        assert answer.status_code == 502

    run_scripted("desk", scenario)


def test_answer_that_a_crash_ended_plainly_is_repeated_if_its_kind_allows(
    run_scripted,
):
    async def scenario(world):
        whole = Script(b"whole", b"Content-Length: 5")
        world.script(Script(b"who", crashes=True), whole)
        answer = await world.call("/safe/x")
        assert answer.content == b"whole"

    run_scripted("desk", scenario)


@pytest.mark.parametrize(
    ("path", "service"),
    [("/once/x", "desk"), ("/safe/x", "desk"), ("/model/x", "model")],
    ids=["once", "safe", "stream"],
)
def test_answer_without_length_or_chunks_is_complete_if_its_target_lives(
    run_scripted, path, service
):
    async def scenario(world):
        world.script(Script(events(1, 2)))
        answer = await world.call(path)
        assert answer.status_code == 200
        assert answer.content == events(1, 2)

    run_scripted(service, scenario)


EVENTS = b"text/event-stream"
ERROR = b"HTTP/1.1 500 Failed\r\n\r\nfailed\n\n"


@pytest.mark.parametrize(
    "second",
    [
        Script(ERROR, b"Content-Length: %d" % len(ERROR), status=b"500 Failed"),
        Script(ERROR, b"Content-Length: %d" % len(ERROR), status=b"404 Not Found"),
        Script(b"", b"Not-Executed: 1\r\nContent-Length: 0", status=b"503 Full"),
        Script(chunks(ERROR), CHUNKED, content_type=b"text/html"),
        Script(b"", b"Content-Length: 0"),
        Script(b"", b"Content-Length: 0", content_type=EVENTS),
        Script(b"", b"Connection: close", status=b"204 No Content"),
    ],
    ids=["500", "404", "not-run", "html", "no-type", "no-body", "204"],
)
def test_error_after_a_stream_began_is_not_put_into_the_stream(run_scripted, second):
    """Guards against an error's text in a stream, or a stream that it completes."""

    async def scenario(world):
        broken = Script(events(1, 2), crashes=True, content_type=EVENTS)
        world.script(broken, *[second] * 5)
        (gateway,) = world.cluster.gateways
        got, is_complete = await world.cluster.call_until_cut(gateway, "/resume/x")
        assert (got, is_complete) == (events(1, 2), False)

    run_scripted("model", scenario)


SIGNED = b"HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: s.s\r\n"
CUT_HEADS = [
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 20",
    SIGNED,
    SIGNED + b"Content-Le",
    SIGNED + b"Content-Length: 1",
    b"HTTP/1.1 100 Continue\r\n\r\n",
]


@pytest.mark.parametrize(
    ("service", "path", "n_attempts"),
    [("desk", "/once/", 1), ("desk", "/safe/", 2), ("model", "/model/", 1)],
    ids=["once", "safe", "stream"],
)
def test_answer_that_stops_inside_its_head_is_no_success(
    run_scripted, service, path, n_attempts
):
    """Guards against a 200 with an empty or short body, framed as whole."""

    async def scenario(world):
        for number, head in enumerate(CUT_HEADS):
            before = sum(target.n_requests for target in world.targets)
            world.script(*[Script(b"", cut_head=head) for _ in range(5)])
            answer = await world.call(f"{path}{number}")
            assert answer.status_code == 502
            after = sum(target.n_requests for target in world.targets)
            assert after - before == n_attempts

    run_scripted(service, scenario)


@pytest.mark.parametrize("head", [CUT_HEADS[3], CUT_HEADS[5]], ids=["cut", "interim"])
def test_stream_whose_rest_stops_inside_its_head_is_not_framed_as_complete(
    run_scripted, head
):
    async def scenario(world):
        broken = Script(events(1, 2), crashes=True, content_type=EVENTS)
        world.script(broken, *[Script(b"", cut_head=head) for _ in range(5)])
        (gateway,) = world.cluster.gateways
        got, is_complete = await world.cluster.call_until_cut(gateway, "/resume/x")
        assert (got, is_complete) == (events(1, 2), False)

    run_scripted("model", scenario)


@pytest.mark.parametrize("head", [CUT_HEADS[4], CUT_HEADS[5]], ids=["cut", "interim"])
def test_stage_call_whose_answer_stops_inside_its_head_gives_no_results(
    run_scripted, head
):
    async def scenario(world):
        world.script(*[Script(b"", cut_head=head) for _ in range(30)])
        (gateway,) = world.cluster.gateways
        _, answer = await world.cluster.stream(gateway, pieces="1,1,1")
        assert answer.status_code in (502, 503)

    run_scripted("first", scenario)
