"""Tests of the metrics that are derived from events."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

import pytest

from aspendrift_daemon.events import Event, EventHub
from aspendrift_daemon.metrics import Metrics
from aspendrift_model.states import RefusalReason


@dataclass(frozen=True, slots=True)
class Refusal(Event):
    """A request was refused."""

    name: ClassVar[str] = "refusal"
    request_id: str
    reason: RefusalReason | None
    waited_ms: float


@pytest.fixture
def metrics() -> Metrics:
    return Metrics()


def test_event_is_counted_by_its_enumerations(metrics: Metrics) -> None:
    hub = EventHub()
    metrics.connect(hub)
    for n in range(3):
        hub.emit(Refusal(f"r{n}", RefusalReason.OVERLOADED, 20.0))
    text = metrics.exposition().decode()
    counts = [t for t in text.splitlines() if t.startswith("aspendrift_refusal_total")]
    assert len(counts) == 1
    assert 'reason="overloaded"' in counts[0]
    assert counts[0].endswith(" 3.0")
    assert "r0" not in text


def test_label_is_kept_when_the_first_event_lacks_it(metrics: Metrics) -> None:
    metrics.record(Refusal("r", None, 1.0))
    metrics.record(Refusal("r", RefusalReason.POISON, 1.0))
    text = metrics.exposition().decode()
    assert 'reason=""' in text
    assert 'reason="poison"' in text


def test_duration_is_a_histogram_in_seconds(metrics: Metrics) -> None:
    metrics.record(Refusal("r", RefusalReason.OVERLOADED, 20.0))
    text = metrics.exposition().decode()
    sums = [t for t in text.splitlines() if "waited_duration_seconds_sum" in t]
    assert sums[0].endswith(" 0.02")


def test_gauge_is_read_at_each_pull(metrics: Metrics) -> None:
    values = [1, 2]
    metrics.gauge("streams", "1", "Open streams.", lambda: values.pop(0))
    assert "aspendrift_streams" in metrics.exposition().decode()
    assert " 2.0" in metrics.exposition().decode()
