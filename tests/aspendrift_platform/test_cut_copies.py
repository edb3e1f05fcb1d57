"""Tests of an answer that a target writes once more, in part, before the next one."""

from __future__ import annotations

import pytest
from scripted_target import Script

WHOLE = b"Content-Length: 5"
SUCCESS = b"HTTP/1.1 200 OK"
NAMED = SUCCESS + b"\r\nAttempt-Id: 0f"
CUT_COPIES = [
    SUCCESS + b" ",
    NAMED,
    NAMED + b"\r\nResponse-Signature: s",
    SUCCESS + b"\r\nContent-Type: text/pl",
]
CUT_REFUSAL = b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nEngine-Load: 0"


@pytest.mark.parametrize("path", ["/once/x", "/safe/x"], ids=["once", "safe"])
@pytest.mark.parametrize("copy", CUT_COPIES, ids=["reason", "id", "signature", "type"])
def test_failure_after_a_cut_copy_of_a_success_is_no_success(run_scripted, copy, path):
    """Guards against heads of two answers that are taken for one."""

    async def scenario(world):
        await world.keep_one_target()
        world.script(Script(b"wrong", WHOLE, status=b"500 Failed", before=copy))
        answer = await world.call(path)
        assert answer.status_code == 502
        assert world.targets[0].n_requests == 1

    run_scripted("desk", scenario)


def test_success_after_a_cut_copy_of_a_failure_is_no_failure_of_its_target(
    run_scripted,
):
    async def scenario(world):
        await world.keep_one_target()
        copy = b"HTTP/1.1 404 Not Found\r\nAttempt-Id: 0f"
        world.script(Script(b"right", WHOLE, before=copy))
        answer = await world.call("/once/x")
        assert answer.status_code == 502
        assert "response-signature" not in answer.headers

    run_scripted("desk", scenario)


def test_request_after_a_cut_copy_of_a_refusal_counts_as_run(run_scripted):
    """Guards against a request that ran and is refused, or sent again."""

    async def scenario(world):
        answers = [Script(b"right", WHOLE, before=CUT_REFUSAL) for _ in range(5)]
        world.script(*answers)
        answer = await world.call("/once/x")
        assert answer.status_code == 502
        assert sum(target.n_requests for target in world.targets) == 1

    run_scripted("desk", scenario)


@pytest.mark.parametrize("copy", [CUT_REFUSAL, NAMED], ids=["refusal", "success"])
def test_stage_call_after_a_cut_copy_gives_no_results(run_scripted, copy):
    async def scenario(world):
        answers = [Script(b"{}", b"Content-Length: 2", before=copy) for _ in range(30)]
        world.script(*answers)
        (gateway,) = world.cluster.gateways
        _, answer = await world.cluster.stream(gateway, pieces="1,1,1")
        assert answer.status_code in (502, 503)

    run_scripted("first", scenario)
