"""Fixtures that run a scenario on gateways and an emulated platform."""

from __future__ import annotations

import asyncio
import gc

import pytest
from emulated_world import Cluster
from scripted_target import ScriptedPool, ScriptedTarget


@pytest.fixture(scope="module", autouse=True)
def _exempt_from_collection():
    """Exempt what earlier tests left from garbage collection, as a gateway does.

    A collection that visits all of it pauses gateways for longer than an owner has to
    accept a job; the job then runs at two owners.
    """
    gc.collect()
    gc.freeze()
    yield
    gc.unfreeze()


async def _play(scenario, n_gateways):
    """Run a scenario on a test cluster, which is stopped afterwards."""
    cluster = Cluster()
    try:
        await cluster.start(n_gateways)
        await scenario(cluster)
        assert cluster.platform.records.violations == []
    finally:
        await cluster.stop()


@pytest.fixture
def run_scenario():
    """Run a scenario on a test cluster."""

    def run(scenario, n_gateways=1):
        asyncio.run(_play(scenario, n_gateways))

    return run


@pytest.fixture
def run_scripted():
    """Run a scenario against two targets of a pool that send scripted bytes."""

    def run(service, scenario):
        async def with_scripted_targets(cluster):
            store = cluster.platform.store
            targets = [
                ScriptedTarget(store, f"scripted-{name}", service) for name in "01"
            ]
            try:
                for name, target in zip("01", targets, strict=True):
                    store.remove("servers", f"{service}-{name}")
                    await target.start()
                pool = ScriptedPool(cluster, targets)
                await pool.until_listed()
                await scenario(pool)
            finally:
                for target in targets:
                    await target.stop()

        asyncio.run(_play(with_scripted_targets, 1))

    return run
