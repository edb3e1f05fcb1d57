"""Tests of the limits of targets, from the caller to the target."""

from __future__ import annotations

import asyncio

from platform_emulator import configuration

COLD_S = 60.0


def cold_services(*names):
    """Return the services, the named ones with a limit on cold targets."""
    return [
        {**each, "coldStartS": COLD_S, "coldPerS": 5.5}
        if each["name"] in names
        else each
        for each in configuration()["services"]
    ]


def most_in(times, window_s):
    return max(sum(at <= each < at + window_s for each in times) for at in times)


async def configure(cluster, *names):
    cluster.platform.configure(2, services=cold_services(*names))
    await cluster.until(
        lambda: all(g.state.configuration_version == 2 for g in cluster.gateways)
    )


async def replace_targets(cluster, service):
    """Replace the targets of a service by one that appears now and is cold."""
    for name in (f"{service}-0", f"{service}-1"):
        cluster.platform.store.remove("servers", name)
    target = await cluster.platform.add_target(f"{service}-new", service, COLD_S)
    await cluster.until(
        lambda: all(
            [each.key.target_id for each in g.state.registry.usable(service)]
            == [target.name]
            for g in cluster.gateways
        )
    )
    return target


async def load(cluster, path, count, within_s):
    """Send requests at all gateways, spread over a time; return the answers."""

    async def call(number):
        await asyncio.sleep(within_s * number / count)
        gateway = cluster.gateways[number % len(cluster.gateways)]
        return (await cluster.call(gateway, path, **{"Deadline-Ms": "1200"}))[1]

    return await asyncio.gather(*(call(number) for number in range(count)))


def test_cold_target_gets_at_most_the_bound_from_all_gateways(run_scenario):
    """Each gateway alone would send it all of its requests."""

    async def scenario(cluster):
        await configure(cluster, "desk")
        target = await replace_targets(cluster, "desk")
        answers = await load(cluster, "/safe/x", 160, 5.0)
        assert most_in(target.arrived_at, 1.0) <= 13.25
        n_served = sum(each.status_code == 200 for each in answers)
        assert n_served == len(target.arrived_at) >= 5
        refused = [each for each in answers if each.status_code != 200]
        assert {each.json()["detail"] for each in refused} == {"targets limited"}
        assert all(float(each.headers["retry-after"]) > 0.0 for each in refused)

    run_scenario(scenario, n_gateways=3)


def test_stage_calls_to_cold_targets_need_permits(run_scenario):
    async def scenario(cluster):
        await configure(cluster, "first")
        target = await replace_targets(cluster, "first")
        await asyncio.sleep(2.5)
        calls = [
            cluster.stream(gateway, pieces="3,2,2") for gateway in cluster.gateways * 5
        ]
        await asyncio.gather(*calls)
        await cluster.until(lambda: len(target.arrived_at) >= 6)
        assert most_in(target.arrived_at, 1.0) <= 13.25

    run_scenario(scenario, n_gateways=2)


def test_stated_limit_is_kept_by_all_gateways_that_know_it(run_scenario):
    async def scenario(cluster):
        target = await replace_targets(cluster, "desk")
        target.limit_per_s = 3.0
        await load(cluster, "/safe/x", 6, 0.1)
        await asyncio.sleep(5.0)
        n_before = len(target.arrived_at)
        await load(cluster, "/safe/x", 100, 3.0)
        assert 4 <= len(target.arrived_at) - n_before <= 3.0 * 4 * 1.5 + 5

    run_scenario(scenario, n_gateways=2)


def test_target_that_says_when_to_come_back_is_left_alone(run_scenario):
    async def scenario(cluster):
        first = cluster.platform.targets_by_name["desk-0"]
        first.retry_after_s = 3.0
        answers = await load(cluster, "/safe/x", 60, 2.0)
        assert {each.status_code for each in answers} == {200}
        began_at = first.arrived_at[0]
        assert len(first.arrived_at) >= 1
        assert sum(at > began_at + 0.5 for at in first.arrived_at) <= 2

    run_scenario(scenario)
