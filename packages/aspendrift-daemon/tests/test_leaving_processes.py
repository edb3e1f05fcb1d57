"""Tests of the graceful shutdown of real daemon processes."""

from __future__ import annotations

import asyncio
import json

import httpx
import msgspec
import pytest

from aspendrift_model.contracts import Contract
from aspendrift_model.profiles import Profile, Stage
from aspendrift_model.states import OutcomeStatus, Ran, StageKind
from aspendrift_model.states import RefusalReason as R
from aspendrift_model.wire_caller import OutcomeBody, RequestBody
from aspendrift_standins.fleet import DaemonSpec, Fleet
from aspendrift_standins.load_plan import LoadAccount
from aspendrift_standins.world import PoolPlan, World, start_world

ACCOUNT = LoadAccount("kaapwind", "token", 1.0)
N_REQUESTS = 12
LONG_TOKENS = 300
SHORT_LEAVE_SETTINGS = {"peers": {"address_keep_s": 0.3}, "leaving": {"margin_s": 0.2}}
TIMEOUT_S = 30.0


def chat_world():
    stage = Stage("generate", StageKind.GENERATE, "engines", max_tokens=LONG_TOKENS)
    return World(
        ("zone-1",),
        "region-1",
        (PoolPlan("engines", "engine", 2, 16),),
        (Profile("chat", (stage,), Contract(60_000)),),
        (ACCOUNT,),
    )


async def send(client, url, request_id):
    body = RequestBody(request_id, "chat", f"input {request_id}")
    response = await client.post(
        f"{url}/v1/requests",
        content=msgspec.json.encode(body),
        headers={"authorization": f"Bearer {ACCOUNT.token}"},
    )
    return msgspec.json.decode(response.content, type=OutcomeBody)


async def closes_connections(client, url):
    response = await client.get(f"{url}/livez")
    return response.headers.get("connection") == "close"


def events(fleet, name, event):
    lines = fleet.child(name).log_text().splitlines()
    parsed = [json.loads(line) for line in lines if line.startswith("{")]
    return [each for each in parsed if each.get("event") == event]


async def wait_for_event(fleet, name, event, **fields):
    for _ in range(int(TIMEOUT_S / 0.02)):
        for each in events(fleet, name, event):
            if fields.items() <= each.items():
                return each
        await asyncio.sleep(0.02)
    raise AssertionError(f"{name} never logged {event} {fields}")


async def started(fleet, client):
    """Start two daemons and open requests at the first."""
    daemons = [DaemonSpec(f"daemon-{n}", overlay=SHORT_LEAVE_SETTINGS) for n in (1, 2)]
    await start_world(fleet, chat_world(), daemons)
    url = fleet.url("daemon-1")
    open_requests = [
        asyncio.create_task(send(client, url, f"r{n}")) for n in range(N_REQUESTS)
    ]
    for n in range(N_REQUESTS):
        await wait_for_event(fleet, "daemon-1", "route_decided", request_id=f"r{n}")
    return url, open_requests


@pytest.mark.fault("daemon leaving", "request sent", "request partly answered")
@pytest.mark.fault(
    "daemon leaving", "leave announced", "leave draining", "leave exited"
)
def test_shutdown_cuts_off_no_request():
    async def scenario():
        async with (
            Fleet(stop_grace_s=1.0) as fleet,
            httpx.AsyncClient(timeout=TIMEOUT_S, trust_env=False) as client,
        ):
            url, open_requests = await started(fleet, client)
            assert not await closes_connections(client, url)
            fleet.terminate("daemon-1")
            phase = {"phase": "announced"}
            await wait_for_event(fleet, "daemon-1", "leave_phase_changed", **phase)
            assert await closes_connections(client, url)
            other = await client.get(f"{fleet.url('daemon-2')}/v1/addresses")
            phase = {"phase": "draining"}
            await wait_for_event(fleet, "daemon-1", "leave_phase_changed", **phase)
            refused = await send(client, url, "late")
            answers = await asyncio.gather(*open_requests)
            assert await fleet.child("daemon-1").wait_ended(TIMEOUT_S)
            return refused, answers, other.json(), fleet.child("daemon-1").exit_code

    refused, answers, addresses, exit_code = asyncio.run(scenario())
    assert [a.status for a in answers] == [OutcomeStatus.ANSWERED] * N_REQUESTS
    assert (refused.reason, refused.ran) == (R.LEAVING, Ran.NO)
    assert refused.addresses
    assert "daemon-2" in {each["daemon_id"] for each in addresses["addresses"]}
    assert exit_code == 0


@pytest.mark.fault("daemon leaving", "leave draining", "leave exited")
def test_second_signal_says_what_it_cut():
    async def scenario():
        async with (
            Fleet(stop_grace_s=1.0) as fleet,
            httpx.AsyncClient(timeout=TIMEOUT_S, trust_env=False) as client,
        ):
            _, open_requests = await started(fleet, client)
            fleet.terminate("daemon-1")
            phase = {"phase": "announced"}
            await wait_for_event(fleet, "daemon-1", "leave_phase_changed", **phase)
            fleet.terminate("daemon-1")
            cut = await wait_for_event(fleet, "daemon-1", "requests_cut")
            answers = await asyncio.gather(*open_requests, return_exceptions=True)
            assert await fleet.child("daemon-1").wait_ended(TIMEOUT_S)
            return cut["request_ids"], answers

    cut, answers = asyncio.run(scenario())
    assert set(cut) <= {f"r{n}" for n in range(N_REQUESTS)}
    received = [a for a in answers if isinstance(a, OutcomeBody)]
    answered = [a for a in received if a.status is OutcomeStatus.ANSWERED]
    assert cut
    assert len(answered) + len(cut) >= N_REQUESTS
    assert not any(a.ran is Ran.NO for a in received)
