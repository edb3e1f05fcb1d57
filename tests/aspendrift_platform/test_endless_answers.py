"""Tests that answers without end are broken off before they fill the memory."""

from __future__ import annotations

import pytest
from scripted_target import CHUNKED, MAX_REPEATED_BYTES, Script, chunks

FILLER = b"x" * 100_000


def assert_broken_off(world):
    sent = [target.n_bytes_sent for target in world.targets]
    assert 0 < max(sent) < MAX_REPEATED_BYTES


@pytest.mark.parametrize(
    "script",
    [
        Script(FILLER, repeats=True),
        Script(chunks(FILLER, ends=False), CHUNKED, repeats=True),
        Script(FILLER, b"Content-Length: 99999999999", repeats=True),
        Script(FILLER, repeats=True, status=b"404 Not Found", is_signed=False),
        Script(b"", repeats_head=True),
    ],
    ids=["unframed", "chunked", "length", "unsigned", "head"],
)
def test_answer_without_end_is_not_kept(run_scripted, script):
    async def scenario(world):
        world.script(script)
        answer = await world.call("/once/x")
        assert answer.status_code == 502
        assert_broken_off(world)

    run_scripted("desk", scenario)


@pytest.mark.parametrize("framing", [b"", CHUNKED], ids=["unframed", "chunked"])
def test_event_without_end_is_not_kept(run_scripted, framing):
    async def scenario(world):
        filler = chunks(FILLER, ends=False) if framing else FILLER
        world.script(Script(filler, framing, repeats=True))
        answer = await world.call("/model/x")
        assert answer.status_code == 502
        assert_broken_off(world)

    run_scripted("model", scenario)


def test_results_of_pieces_without_end_are_not_kept(run_scripted):
    async def scenario(world):
        world.script(*[Script(FILLER, repeats=True) for _ in range(30)])
        (gateway,) = world.cluster.gateways
        _, answer = await world.cluster.stream(gateway, pieces="1,1,1")
        assert answer.status_code in (502, 503)
        assert_broken_off(world)

    run_scripted("first", scenario)
