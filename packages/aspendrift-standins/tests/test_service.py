"""Tests of the plain service and of the faults of targets without streaming."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import httpx
import msgspec
import pytest

from aspendrift_model.states import StageKind
from aspendrift_standins.expected import ExpectedStage, expected_answer
from aspendrift_standins.faults import TargetFaults
from aspendrift_standins.process import serving
from aspendrift_standins.runs import (
    RunEvent,
    RunKind,
    RunLog,
    count_runs,
    read_runs,
)
from aspendrift_standins.service import ServiceStandIn
from aspendrift_standins.stage_pool import StagePoolStandIn
from aspendrift_standins.target_base import PoolOptions

CALL = {
    "request_id": "r1",
    "attempt_id": "a1",
    "stage": "deposit",
    "kind": "call",
    "input": "text",
    "remaining_ms": 0,
}
END = b'"busy_ms":1.0}'
EXPECTED = expected_answer("r1", "text", (ExpectedStage("deposit", StageKind.CALL),))


def call_once(faults: TargetFaults, runs_file: str = "") -> tuple[Any, int]:
    """Send one call; return its answer, status or error, and the number of runs."""
    service = ServiceStandIn(PoolOptions(service_ms=1, runs_file=runs_file), faults)

    async def run() -> tuple[Any, int]:
        async with serving(service) as url, httpx.AsyncClient(base_url=url) as client:
            try:
                response = await client.post("/v1/stage", json=CALL)
                is_success = response.status_code == 200
                result = response.json() if is_success else response.status_code
            except httpx.HTTPError as error:
                result = type(error).__name__
        async with serving(service) as url, httpx.AsyncClient(base_url=url) as client:
            return result, (await client.get("/runs/r1")).json()

    return asyncio.run(run())


def test_answer_echoes_both_ids_and_is_the_expected_one() -> None:
    answer, n_runs = call_once(TargetFaults())
    assert (answer["request_id"], answer["attempt_id"]) == ("r1", "a1")
    assert answer["output"] == msgspec.json.decode(EXPECTED.output)
    assert n_runs == 1


@pytest.mark.parametrize("share", ["drop_share", "late_share", "twice_share"])
def test_run_counts_also_when_the_answer_goes_wrong(share: str) -> None:
    assert call_once(TargetFaults(**{share: 1.0}))[1] == 1  # type: ignore[arg-type]


def test_second_answer_follows_on_the_same_connection() -> None:
    async def run() -> bytes:
        service = ServiceStandIn(PoolOptions(service_ms=1), TargetFaults(twice_share=1))
        body = msgspec.json.encode(CALL)
        head = "POST /v1/stage HTTP/1.1\r\nhost: x\r\n"
        head += f"content-length: {len(body)}\r\n\r\n"
        async with serving(service) as url:
            port = int(url.rpartition(":")[2])
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(head.encode() + body)
            answer = await reader.readuntil(END) + await reader.readuntil(END)
            writer.close()
            return answer

    assert asyncio.run(run()).count(b"HTTP/1.1 200") == 2


def test_failure_comes_before_the_run() -> None:
    assert call_once(TargetFaults(fail_share=1)) == (500, 0)


def test_foreign_answer_carries_another_attempt_id() -> None:
    answer, _ = call_once(TargetFaults(foreign_share=1))
    assert answer["attempt_id"] != "a1"


def test_run_record_survives_in_its_file(tmp_path: Path) -> None:
    path = str(tmp_path / "runs")
    call_once(TargetFaults(), path)
    assert call_once(TargetFaults(), path)[1] == 2
    with open(path, "ab") as file:
        file.write(b'{"kind":"ra')
    events = read_runs(path)
    assert count_runs(events, RunKind.RAN) == {("r1", "deposit"): 2}


class ArrivalLog(RunLog):
    def __init__(self, arrived: asyncio.Event) -> None:
        super().__init__()
        self._arrived = arrived

    def record(self, event: RunEvent) -> None:
        super().record(event)
        self._arrived.set()


def test_only_a_stage_pool_honours_a_cancel() -> None:
    async def run(kind: type[ServiceStandIn] | type[StagePoolStandIn]) -> str:
        target = kind(PoolOptions(service_ms=50), TargetFaults())
        arrived = asyncio.Event()
        target.runs = ArrivalLog(arrived)
        async with serving(target) as url, httpx.AsyncClient(base_url=url) as client:
            sent = asyncio.create_task(client.post("/v1/stage", json=CALL))
            await arrived.wait()
            assert (await client.delete("/v1/attempts/a1")).status_code == 204
            try:
                return str((await sent).status_code)
            except httpx.HTTPError:
                return "cut"

    assert asyncio.run(run(ServiceStandIn)) == "200"
    assert asyncio.run(run(StagePoolStandIn)) == "cut"
