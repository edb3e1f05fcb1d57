"""Tests of the delay of an event loop."""

from __future__ import annotations

import pytest

from aspendrift_policy.loop_lag import LagWindow, PauseWatch


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


def test_decisions_wait_after_a_pause():
    pauses = PauseWatch()
    assert pauses.catches_up_until(5.0) < 5.0
    pauses.expect(1.0)
    assert pauses.catches_up_until(1.1) < 1.1
    until = pauses.catches_up_until(1.4)
    assert until == pytest.approx(1.42)
    pauses.expect(1.5)
    assert pauses.catches_up_until(1.41) == until
    assert pauses.catches_up_until(1.5) < 1.5
