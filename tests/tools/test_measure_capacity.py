"""Tests that the measurement of capacity runs against the present interfaces."""

from __future__ import annotations

import measure_capacity


def test_slopes_of_a_pool_are_measured(monkeypatch):
    monkeypatch.setattr(measure_capacity, "SIZES", (4, 8))
    slopes = measure_capacity.pool_slopes()
    assert set(slopes) == {"bytes", "refresh_us"}
    assert slopes["bytes"]["per_item"] > 0
