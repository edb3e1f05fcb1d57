"""Tests that every daemon applies an evacuation in time, in the measured conditions."""

from __future__ import annotations

import measure_evacuation
import pytest
from measure_evacuation import CONDITIONS, DEGRADED_S, SETTINGS


@pytest.mark.parametrize("condition", CONDITIONS)
@pytest.mark.parametrize("count", [8, 91])
def test_last_daemon_applies_an_evacuation_in_time(count, condition):
    # Daemons that the store turns away asked readers that it turned away as well.
    bound_s = SETTINGS.evacuation_s + (0.0 if condition == "up" else DEGRADED_S)
    assert max(measure_evacuation.measure(count, condition, 2)) < bound_s
