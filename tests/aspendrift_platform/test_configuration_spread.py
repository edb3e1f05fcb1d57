"""Tests of how a change of the configuration reaches gateways, on the emulator."""

from __future__ import annotations

import asyncio

import pytest
from platform_emulator import configuration, route

from aspendrift_gateway.events import RequestDenied, RequestRouted

N_GATEWAYS = 3
SLOW_CALL_S = 0.9
# Calls that are open when the store turns slow are answered within this time.
OPEN_CALLS_S = 2.0


def moved_to(service):
    """Return routes of which one is served by another service than at first."""
    return [*configuration()["routes"], route("/moved/", "idempotent", service)]


async def until_version(cluster, version):
    await cluster.until(
        lambda: all(
            gateway.state.configuration_version == version
            for gateway in cluster.gateways
        )
    )


def test_change_is_applied_while_each_call_of_the_store_takes_long(run_scenario):
    async def scenario(cluster):
        cluster.platform.store.delay_s = SLOW_CALL_S
        for version in (2, 3):
            await asyncio.sleep(OPEN_CALLS_S)
            cluster.platform.configure(version, routes=moved_to("desk"))
        await until_version(cluster, 3)

    run_scenario(scenario, N_GATEWAYS)


def test_change_is_applied_although_the_feed_passes_it_without_its_row(run_scenario):
    async def scenario(cluster):
        cluster.platform.store.hidden_share = 1.0
        await asyncio.sleep(OPEN_CALLS_S)
        cluster.platform.configure(2, routes=moved_to("desk"))
        await until_version(cluster, 2)

    run_scenario(scenario, N_GATEWAYS)


@pytest.mark.parametrize("path", ["/moved/x", "/none/x"])
def test_version_age_and_source_of_each_decision_are_logged(run_scenario, path):
    async def scenario(cluster):
        cluster.platform.configure(2, routes=moved_to("desk"))
        await until_version(cluster, 2)
        attempt_id, _ = await cluster.call(cluster.gateways[0], path)
        (event,) = [
            each
            for each in cluster.events
            if isinstance(each, RequestRouted | RequestDenied)
            and each.request_id == attempt_id
        ]
        assert event.configuration_version == 2
        assert event.configuration_age_s >= 0.0
        assert event.configuration_source.partition(" ")[0] in ("store", "peer")

    run_scenario(scenario, N_GATEWAYS)
