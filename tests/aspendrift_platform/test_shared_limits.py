"""Tests of the limits that all gateways share, on the emulated platform."""

from __future__ import annotations

import pytest

N_GATEWAYS = 4


def test_limits_are_divided_by_members_found_after_the_configuration(run_scenario):
    async def scenario(cluster):
        # 0.6 of 50 repeats, and 0.8 of 100 connections to a target.
        for gateway in cluster.gateways:
            await cluster.until(
                lambda g=gateway: g.budgets.bucket_size == pytest.approx(7.5)
            )
            assert gateway.client.connections_per_target == 20

    run_scenario(scenario, N_GATEWAYS)
