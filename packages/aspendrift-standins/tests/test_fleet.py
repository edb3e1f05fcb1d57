"""Tests of starting, stopping and restarting the processes of a fleet."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

import httpx
import pytest

from aspendrift_standins.errors import AlreadyRunning, ProcessEnded, UnknownProcess
from aspendrift_standins.fleet import Fleet, StandInSpec, merged


def is_running(pid: int) -> bool:
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


def test_everything_started_is_stopped_also_on_an_error() -> None:
    seen: list[tuple[int, Path]] = []

    async def run() -> None:
        async with Fleet() as fleet:
            await fleet.start_stand_ins([StandInSpec("table", "table")])
            assert (await fleet.get_json("table", "/counts"))["reads"] == 0
            seen.append((fleet.child("table").pid, fleet.directory))
            fleet.pause("table")
            raise RuntimeError

    with pytest.raises(RuntimeError):
        asyncio.run(run())
    pid, directory = seen[0]
    assert not is_running(pid)
    assert not directory.exists()


def test_killed_target_restarts_at_its_address_with_its_runs(tmp_path: Path) -> None:
    call = {
        "request_id": "r1",
        "attempt_id": "a1",
        "stage": "s",
        "kind": "call",
        "input": "CRASH-TARGET",
        "remaining_ms": 100,
    }

    async def run() -> None:
        async with Fleet(tmp_path) as fleet:
            options = {"runs_file": str(fleet.runs_file("service"))}
            await fleet.start_stand_ins([StandInSpec("service", "service", options)])
            url = fleet.url("service")
            async with httpx.AsyncClient() as client:
                with pytest.raises(httpx.HTTPError):
                    await client.post(f"{url}/v1/stage", json=call)
            assert await fleet.child("service").wait_ended(10)
            await fleet.restart("service")
            assert fleet.url("service") == url
            assert await fleet.get_json("service", "/runs") == {"r1": 1}

    asyncio.run(run())


def test_process_that_fails_to_start_is_an_error_with_its_log() -> None:
    async def run() -> None:
        async with Fleet() as fleet:
            await fleet.start_stand_ins([StandInSpec("table", "table", {"bad": 1})])

    with pytest.raises(ProcessEnded, match="bad"):
        asyncio.run(run())


def test_running_process_is_not_started_again() -> None:
    async def run() -> None:
        async with Fleet() as fleet:
            await fleet.start_stand_ins([StandInSpec("table", "table")])
            pid = fleet.child("table").pid
            with pytest.raises(AlreadyRunning):
                await fleet.restart("table")
            assert fleet.child("table").pid == pid

    asyncio.run(run())


def test_unknown_process_is_an_error() -> None:
    with pytest.raises(UnknownProcess):
        Fleet().child("none")


def test_settings_are_merged_in_depth() -> None:
    base = {"peers": {"bind": "x", "seeds": [1]}, "zone": "a"}
    overlay = {"peers": {"seeds": []}, "region": "r"}
    assert merged(base, overlay) == {
        "peers": {"bind": "x", "seeds": []},
        "zone": "a",
        "region": "r",
    }
