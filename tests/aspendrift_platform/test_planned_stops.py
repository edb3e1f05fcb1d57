"""Tests of planned stops, with gateways that are real processes."""

from __future__ import annotations

import asyncio

import pytest
from planned_stops import PlannedStops

GRACE_S = 5.0
N_STOPS = 2


@pytest.mark.parametrize("seed", [1, 2])
def test_planned_stop_cuts_off_no_request_that_it_passed_on_late(tmp_path, seed):
    stops = PlannedStops(tmp_path, seed, GRACE_S, N_STOPS)
    asyncio.run(stops.play())
    assert stops.violations() == []
