"""Tests of the delay of an event loop."""

from __future__ import annotations

import pytest

from aspendrift_policy.loop_lag import LagWindow


def test_delay_counts_for_a_second():
    lag = LagWindow()
    assert lag.longest_s(0.0) == 0.0
    lag.record(0.3, 1.0)
    lag.record(0.1, 1.5)
    assert lag.longest_s(2.0) == pytest.approx(0.3)
    assert lag.longest_s(2.2) == pytest.approx(0.1)
    assert lag.longest_s(3.0) == 0.0


def test_timer_that_runs_early_is_not_late():
    lag = LagWindow()
    lag.record(-0.001, 1.0)
    assert lag.longest_s(1.0) == 0.0
