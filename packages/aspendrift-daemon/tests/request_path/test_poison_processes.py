"""Tests of the bound on poison requests with real processes."""

from __future__ import annotations

import asyncio
import random

import httpx
import msgspec
import pytest

from aspendrift_model.contracts import Contract
from aspendrift_model.profiles import Profile, Stage
from aspendrift_model.states import OutcomeStatus, StageKind
from aspendrift_model.states import RefusalReason as R
from aspendrift_model.wire_caller import OutcomeBody, RequestBody
from aspendrift_standins.fleet import DaemonSpec, Fleet
from aspendrift_standins.load_plan import LoadAccount
from aspendrift_standins.world import PoolPlan, World, start_world

POISON = "CRASH-TARGET"
N_DAEMONS = 4
N_ENGINES = 6
SETTINGS = {"requests": {"poison_settle_ms": 300}}
ACCOUNT = LoadAccount("kaapwind", "token", 1.0)


def chat_world():
    stage = Stage("generate", StageKind.GENERATE, "engines", None, None, 200.0, 16)
    return World(
        ("zone-1",),
        "region-1",
        (PoolPlan("engines", "engine", N_ENGINES, 8),),
        (Profile("chat", (stage,), Contract(20_000)),),
        (ACCOUNT,),
    )


async def send(client, url, request_id, text):
    body = RequestBody(request_id, "chat", text)
    headers = {"authorization": f"Bearer {ACCOUNT.token}"}
    response = await client.post(
        f"{url}/v1/requests", content=msgspec.json.encode(body), headers=headers
    )
    return msgspec.json.decode(response.content, type=OutcomeBody)


async def wait_until_all_listed(client, urls):
    """Wait until each daemon lists all others, so that updates reach all of them."""
    for _ in range(300):
        answers = [await client.get(f"{url}/v1/addresses") for url in urls]
        if all(len(each.json()["addresses"]) >= N_DAEMONS - 1 for each in answers):
            return
        await asyncio.sleep(0.1)
    pytest.fail("the daemons did not list each other within 30 s")


@pytest.mark.fault("poison", "request sent")
@pytest.mark.fault("target crashing", "request sent", "request partly answered")
def test_poison_stops_two_engines_and_fails_no_clean_request():
    async def scenario():
        daemons = [
            DaemonSpec(f"daemon-{i + 1}", overlay=SETTINGS) for i in range(N_DAEMONS)
        ]
        rng = random.Random(3)
        async with Fleet(stop_grace_s=1.0) as fleet:
            world = chat_world()
            await start_world(fleet, world, daemons)
            urls = fleet.urls(fleet.daemon_ids)
            async with httpx.AsyncClient(timeout=30.0, trust_env=False) as client:
                await wait_until_all_listed(client, urls)
                clean_runs = [
                    asyncio.create_task(
                        send(client, rng.choice(urls), f"i{i}", f"innocent {i}")
                    )
                    for i in range(12)
                ]
                poison_outcomes = [
                    await send(client, rng.choice(urls), f"p{i}", POISON)
                    for i in range(50)
                ]
                answers = await asyncio.gather(*clean_runs)
                again = [
                    await send(client, rng.choice(urls), f"a{i}", f"innocent {i}")
                    for i in range(12)
                ]
            stopped = [
                name for name in world.target_names() if not fleet.child(name).running
            ]
        return stopped, poison_outcomes, [*answers, *again]

    stopped, poison_outcomes, answers = asyncio.run(scenario())
    assert len(stopped) == 2
    assert {outcome.reason for outcome in poison_outcomes} == {R.POISON}
    assert {answer.status for answer in answers} == {OutcomeStatus.ANSWERED}
