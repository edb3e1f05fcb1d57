"""Tests of the computations that the measurements share."""

from __future__ import annotations

import pytest

from aspendrift_standins.measure_config import _first_applied_at
from aspendrift_standins.measure_support import AppliedRevision, quantile, slope


def test_slope_of_points_on_a_line() -> None:
    per_unit, offset = slope([4, 16, 96], [3.0, 9.0, 49.0])
    assert per_unit == pytest.approx(0.5)
    assert offset == pytest.approx(1.0)


def test_quantile_takes_a_value_that_occurred() -> None:
    values = [float(each) for each in range(100)]
    assert quantile(values, 0.99) == 99.0
    assert quantile(values, 0.5) == 50.0
    assert quantile([3.0], 0.99) == 3.0


def test_newer_revision_counts_for_the_older_ones() -> None:
    events = [
        AppliedRevision("a", 1, 1.0, 0),
        AppliedRevision("a", 2, 2.0, 0),
        AppliedRevision("b", 2, 3.0, 1),
    ]
    assert _first_applied_at(events, 2) == {
        1: {"a": 1.0, "b": 3.0},
        2: {"a": 2.0, "b": 3.0},
    }


def test_revision_that_no_daemon_reached_is_left_out() -> None:
    assert _first_applied_at([], 2) == {}
