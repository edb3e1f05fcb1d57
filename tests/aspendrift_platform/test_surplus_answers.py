"""Tests of answers that a target writes once more before that to the next request."""

from __future__ import annotations

from dataclasses import replace

import pytest
from scripted_target import CHUNKED, Script, chunks

WHOLE = b"Content-Length: 5"
NAMED = b"HTTP/1.1 200 OK\r\nAttempt-Id: 0f\r\nResponse-Signature: s\r\n"
COPY = NAMED + WHOLE + b"\r\n\r\nstale"
COPY_IN_CHUNKS = NAMED + CHUNKED + b"\r\n\r\n" + chunks(b"st", b"ale")
UNNAMED_COPY = COPY.replace(b"Attempt-Id: 0f\r\n", b"")
CUT_COPY = NAMED + b"Content-Length: 500\r\n\r\nstale"
REFUSAL_COPY = (
    b"HTTP/1.1 503 Full\r\nAttempt-Id: 0f\r\nNot-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)
MAX_SURPLUS_ANSWERS = 8
FIRST = Script(b"first", WHOLE)


@pytest.mark.parametrize("path", ["/once/x", "/safe/x"], ids=["once", "safe"])
@pytest.mark.parametrize(
    "copies",
    [COPY, COPY_IN_CHUNKS, UNNAMED_COPY, REFUSAL_COPY, COPY * MAX_SURPLUS_ANSWERS],
    ids=["length", "chunks", "unnamed", "refusal", "several"],
)
def test_answer_after_surplus_ones_is_that_of_its_request(run_scripted, copies, path):
    """Guards against requests that fail or run twice though their target answered."""

    async def scenario(world):
        await world.keep_one_target()
        own = Script(b"right", WHOLE, status=b"404 Not Found", before=copies)
        world.script(FIRST, own, Script(b"other", WHOLE))
        assert (await world.call(path)).status_code == 200
        answer = await world.call(path)
        assert (answer.status_code, answer.content) == (404, b"right")
        assert world.targets[0].n_requests == 2

    run_scripted("desk", scenario)


def test_stream_after_a_surplus_answer_is_that_of_its_request(run_scripted):
    async def scenario(world):
        await world.keep_one_target()
        events = b"id: 1\ndata: x\n\n"
        own = Script(chunks(events), CHUNKED)
        world.script(own, replace(own, before=COPY))
        assert (await world.call("/model/x")).status_code == 200
        answer = await world.call("/model/x")
        assert (answer.status_code, answer.content) == (200, events)

    run_scripted("model", scenario)


@pytest.mark.parametrize(
    "before",
    [CUT_COPY, COPY + b"no answer\r\n\r\n", COPY * (MAX_SURPLUS_ANSWERS + 1)],
    ids=["cut", "garbage", "too-many"],
)
def test_request_whose_answer_is_not_found_may_have_run(run_scripted, before):
    async def scenario(world):
        await world.keep_one_target()
        own = Script(b"right", WHOLE, before=before)
        world.script(FIRST, own, Script(b"other", WHOLE))
        assert (await world.call("/once/x")).status_code == 200
        answer = await world.call("/once/x")
        assert answer.status_code == 502
        assert world.targets[0].n_requests == 2

    run_scripted("desk", scenario)


def test_answers_after_one_with_a_surplus_one_are_those_of_their_requests(
    run_scripted,
):
    """Guards against a copy that was read with an answer and waits unseen."""

    async def scenario(world):
        await world.keep_one_target()
        large = b"x" * 100_000
        world.script(
            Script(b"first", WHOLE, surplus=COPY),
            Script(large, b"Content-Length: 100000", surplus=COPY),
            Script(b"third", WHOLE, surplus=COPY),
            Script(b"fifth", WHOLE),
        )
        for body in (b"first", large, b"third", b"fifth"):
            assert (await world.call("/once/x")).content == body

    run_scripted("desk", scenario)
