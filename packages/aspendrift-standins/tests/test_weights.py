"""Tests of the weight store stand-in."""

from __future__ import annotations

from aspendrift_standins.weights import WeightOptions, WeightStore


def test_reads_over_the_rate_are_refused() -> None:
    store = WeightStore(WeightOptions(n_bytes=8, reads_per_s=1, burst_s=1))
    status, content = store.get("m", 0)
    assert status == 200 and isinstance(content, bytes) and len(content) == 8
    assert store.get("m", 0.5)[0] == 429
    assert store.get("m", 1.0) == (200, content)
