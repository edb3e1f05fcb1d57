"""Tests of the engine stand-in over HTTP."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import httpx
import msgspec
import pytest

from aspendrift_model.states import StageKind
from aspendrift_model.wire_target import GeneratedEvent, GeneratedToken
from aspendrift_standins.engine import EngineStandIn
from aspendrift_standins.engine_core import EngineOptions
from aspendrift_standins.expected import ExpectedStage, expected_answer
from aspendrift_standins.faults import TargetFaults
from aspendrift_standins.process import serving
from aspendrift_standins.target_base import FOREIGN_ATTEMPT

TOKENS = expected_answer(
    "r1", "text", (ExpectedStage("generate", StageKind.GENERATE, 8),)
).tokens
CALL = {
    "request_id": "r1",
    "attempt_id": "a1",
    "stage": "generate",
    "kind": "generate",
    "input": "text",
    "remaining_ms": 1000,
    "max_tokens": 8,
}


def with_engine(
    faults: TargetFaults, run: Callable[[httpx.AsyncClient], Awaitable[Any]]
) -> Any:
    async def serve() -> Any:
        engine = EngineStandIn(EngineOptions(step_ms=1), faults)
        async with serving(engine) as url, httpx.AsyncClient(base_url=url) as client:
            return await run(client)

    return asyncio.run(serve())


def events(content: bytes) -> list[GeneratedEvent]:
    decoder = msgspec.json.Decoder(GeneratedEvent)
    return [decoder.decode(line) for line in content.splitlines()]


def test_stream_is_the_expected_answer() -> None:
    async def run(client: httpx.AsyncClient) -> bytes:
        return (await client.post("/v1/generate", json=CALL)).content

    *tokens, end = events(with_engine(TargetFaults(), run))
    assert tuple(t.text for t in tokens if isinstance(t, GeneratedToken)) == TOKENS
    assert end.attempt_id == "a1"


def test_cut_stream_is_resumed_after_the_tokens_received() -> None:
    async def run(client: httpx.AsyncClient) -> bytes:
        with pytest.raises(httpx.HTTPError):
            await client.post("/v1/generate", json=CALL)
        await client.post("/faults", json={"drop_share": 0})
        return (await client.post("/v1/attempts/a1/resume?after=3")).content

    first = events(with_engine(TargetFaults(drop_share=1), run))[0]
    assert isinstance(first, GeneratedToken)
    assert (first.n, first.text) == (4, TOKENS[3])


def test_foreign_tokens_are_sent_among_its_own() -> None:
    async def run(client: httpx.AsyncClient) -> bytes:
        return (await client.post("/v1/generate", json=CALL)).content

    found = events(with_engine(TargetFaults(foreign_share=1), run))
    own = [e for e in found if e.attempt_id == "a1"]
    assert len(own) == len(TOKENS) + 1
    assert any(e.attempt_id == FOREIGN_ATTEMPT for e in found)


def test_resume_of_an_unknown_attempt_is_not_found() -> None:
    async def run(client: httpx.AsyncClient) -> int:
        return (await client.post("/v1/attempts/none/resume?after=0")).status_code

    assert with_engine(TargetFaults(), run) == 404


def test_failure_comes_before_any_work() -> None:
    async def run(client: httpx.AsyncClient) -> tuple[int, int]:
        status = (await client.post("/v1/generate", json=CALL)).status_code
        return status, (await client.get("/runs/r1")).json()

    assert with_engine(TargetFaults(fail_share=1), run) == (500, 0)
