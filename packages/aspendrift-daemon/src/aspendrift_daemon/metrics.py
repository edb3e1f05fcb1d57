"""OpenTelemetry metrics, exposed by the Prometheus reader on ``/metrics``.

Each type of event becomes a counter with its enumerations as labels, and a
histogram for each of its duration fields. Metrics are pulled; there is no
exporter thread.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable
from enum import Enum
from typing import Any, Final, get_args, get_type_hints

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Counter, Histogram, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from prometheus_client import CollectorRegistry
from prometheus_client.exposition import generate_latest

from aspendrift_daemon.events import Event, EventHub

__all__ = ["Metrics"]

_PREFIX: Final = "aspendrift"
_TEXT_LABELS: Final = ("profile", "stage")
_MS_PER_S: Final = 1000.0
_BUCKETS_S: Final = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    6.0,
    15.0,
    60.0,
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Instruments:
    """The instruments of one type of event."""

    counter: Counter
    labels: tuple[str, ...]
    durations: tuple[tuple[str, Histogram, float], ...]


class Metrics:
    """The instruments of one daemon."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(registry=self._registry)
        buckets = ExplicitBucketHistogramAggregation(_BUCKETS_S)
        views = [View(instrument_name="*.duration", aggregation=buckets)]
        provider = MeterProvider([reader], views=views, shutdown_on_exit=False)
        self._provider = provider
        self._meter = provider.get_meter(_PREFIX)
        self._instruments_by_type: dict[type[Event], _Instruments] = {}

    def connect(self, hub: EventHub) -> None:
        """Record every event of a hub."""
        hub.connect_all(self.record)

    def record(self, event: Event) -> None:
        """Count an event and record its durations."""
        instruments = self._instruments_by_type.get(type(event))
        if instruments is None:
            instruments = self._create_instruments(event)
            self._instruments_by_type[type(event)] = instruments
        attributes = _attributes(event, instruments.labels)
        instruments.counter.add(1, attributes)
        for name, histogram, factor in instruments.durations:
            value = getattr(event, name)
            if value is not None:
                histogram.record(value * factor, attributes)

    def gauge(
        self, name: str, unit: str, doc: str, read: Callable[[], float | int]
    ) -> None:
        """Create a gauge whose value is read whenever the metrics are pulled."""

        def observe(options: CallbackOptions) -> Iterable[Observation]:
            return (Observation(read()),)

        self._meter.create_observable_gauge(
            f"{_PREFIX}.{name}", callbacks=[observe], unit=unit, description=doc
        )

    def exposition(self) -> bytes:
        """Return every metric in the Prometheus text format."""
        return generate_latest(self._registry)

    def close(self) -> None:
        """Shut the instruments down."""
        self._provider.shutdown()

    def _create_instruments(self, event: Event) -> _Instruments:
        hints = get_type_hints(type(event))
        names = [field.name for field in dataclasses.fields(event)]
        prefix = f"{_PREFIX}.{event.name}"
        counter = self._meter.create_counter(prefix, description=_summary(type(event)))
        labels = tuple(name for name in names if _is_label(name, hints[name]))
        durations = tuple(
            (name, self._histogram(prefix, name), _factor(name))
            for name in names
            if _is_duration(name)
        )
        return _Instruments(counter, labels, durations)

    def _histogram(self, prefix: str, field: str) -> Histogram:
        base_name = field.rpartition("_")[0]
        return self._meter.create_histogram(f"{prefix}.{base_name}.duration", unit="s")


def _is_label(name: str, hint: Any) -> bool:
    options = get_args(hint) or (hint,)
    enumerated = any(
        isinstance(option, type) and issubclass(option, Enum | bool)
        for option in options
    )
    return enumerated or name in _TEXT_LABELS


def _is_duration(name: str) -> bool:
    return name.endswith(("_ms", "_s"))


def _factor(name: str) -> float:
    return 1.0 / _MS_PER_S if name.endswith("_ms") else 1.0


def _attributes(event: Event, labels: tuple[str, ...]) -> dict[str, str]:
    return {name: _label(getattr(event, name)) for name in labels}


def _label(value: Any) -> str:
    if value is None:
        return ""
    return str(value.value if isinstance(value, Enum) else value)


def _summary(kind: type[Event]) -> str:
    return (kind.__doc__ or kind.__name__).strip().splitlines()[0]
