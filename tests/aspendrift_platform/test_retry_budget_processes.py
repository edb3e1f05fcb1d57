"""Tests of the common limit on repeats, with gateways that are real processes."""

from __future__ import annotations

import asyncio
import itertools
import random

import httpx
import pytest
from gateway_process import GatewayProcess, until_all_ready
from platform_emulator import Platform
from repeat_excess import first_and_repeated, worst_excess

N_GATEWAYS = 5
N_CLIENTS = 40
RETRY_SHARE = 0.2
RETRY_EXTRA = 60
WINDOW_S = 10.0
N_ROUNDS = 3
WAIT_S = 30.0


@pytest.mark.parametrize("seed", [1, 2])
def test_restarts_add_no_repeats_beyond_the_common_limit(tmp_path, seed):
    asyncio.run(_play_restarts(tmp_path, random.Random(seed)))


async def _play_restarts(folder, rng):
    """Kill and restart gateways in series while every answer of a pool is a failure."""
    platform = Platform()
    await platform.start()
    bounds = {
        "retryBudgetRatio": RETRY_SHARE,
        "budgetWindowS": WINDOW_S,
        "budgetExtra": RETRY_EXTRA,
    }
    gateways = [
        GatewayProcess(folder, number, platform.store.address, **bounds)
        for number in range(N_GATEWAYS)
    ]
    is_over = asyncio.Event()
    try:
        for number in range(3):
            target = await platform.add_target(f"desk-{number}", "desk")
            target.fails_next = 1 << 30
        platform.configure(1)
        async with httpx.AsyncClient(trust_env=False, timeout=WAIT_S) as client:
            for gateway in gateways:
                gateway.start()
            await until_all_ready(gateways, client, WAIT_S)
            ids = (f"{number:016x}" for number in itertools.count(1))
            clients = [
                asyncio.create_task(_send(client, gateways, ids, rng, is_over))
                for _ in range(N_CLIENTS)
            ]
            for _ in range(N_ROUNDS):
                for gateway in rng.sample(gateways, N_GATEWAYS):
                    gateway.kill()
                    await asyncio.sleep(rng.uniform(0.0, 0.2))
                    gateway.start()
                await until_all_ready(gateways, client, WAIT_S)
                await asyncio.sleep(1.0)
            is_over.set()
            await asyncio.gather(*clients)
    finally:
        for gateway in gateways:
            gateway.kill()
        await platform.stop()
    first_at, repeated_at = first_and_repeated(
        platform.records.arrivals_by_service["desk"]
    )
    excess = worst_excess(repeated_at, first_at, RETRY_SHARE, RETRY_EXTRA, WINDOW_S)
    assert excess <= 0, excess


async def _send(client, gateways, ids, rng, is_over):
    """Send requests, each to any gateway, on connections that are kept."""
    while not is_over.is_set():
        headers = {
            "Host": "h.example",
            "Attempt-Id": next(ids),
            "Deadline-Ms": "5000",
            "Credential": "key",
        }
        try:
            url = f"http://{rng.choice(gateways).front}/safe/x"
            await client.post(url, headers=headers, content=b"body")
        except httpx.HTTPError:
            pass
        await asyncio.sleep(rng.uniform(0.2, 0.6))
