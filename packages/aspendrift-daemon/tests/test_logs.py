"""Tests of the structured log."""

from __future__ import annotations

import io
import json
import sys
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, ClassVar

import pytest
import structlog

from aspendrift_daemon.events import Event, EventHub
from aspendrift_daemon.logs import configure_logging, connect_event_log
from aspendrift_model.states import Ran
from aspendrift_model.wire_caller import StageTiming


@dataclass(frozen=True, slots=True)
class Sample(Event):
    """An event with fields of several types."""

    name: ClassVar[str] = "sample"
    ran: Ran
    stages: tuple[StageTiming, ...]
    extra: Any


@pytest.fixture
def stderr(monkeypatch: pytest.MonkeyPatch) -> Iterator[io.BytesIO]:
    written = io.BytesIO()
    wrapper = io.TextIOWrapper(written)
    monkeypatch.setattr(sys, "stderr", wrapper)
    yield written
    wrapper.detach()


@pytest.fixture
def hub(stderr: io.BytesIO) -> Iterator[EventHub]:
    configure_logging("info")
    hub = EventHub()
    connect_event_log(hub)
    yield hub
    structlog.reset_defaults()


def logged(stderr: io.BytesIO) -> list[dict[str, Any]]:
    return [json.loads(line) for line in stderr.getvalue().splitlines()]


def test_event_is_one_line_of_json(hub: EventHub, stderr) -> None:
    timing = StageTiming("encode", "t1", 1, 0.5, 2.0, 1.0)
    hub.emit(Sample(Ran.NO, (timing,), None))
    (line,) = logged(stderr)
    assert line["event"] == "sample"
    assert line["ran"] == "no"
    assert line["stages"][0]["target_id"] == "t1"
    assert line["level"] == "info"
    assert line["timestamp"].endswith("Z")


@pytest.mark.parametrize("extra", ["\ud800", 1 << 80, {"\udfff": 1}, object()])
def test_value_that_json_cannot_hold_does_not_fail(
    hub: EventHub, stderr, extra: Any
) -> None:
    hub.emit(Sample(Ran.YES, (), extra))
    (line,) = logged(stderr)
    assert "sample" in json.dumps(line)


def test_level_is_respected(stderr) -> None:
    configure_logging("warning")
    hub = EventHub()
    connect_event_log(hub)
    hub.emit(Sample(Ran.NO, (), None))
    assert logged(stderr) == []
    structlog.reset_defaults()


def test_repeated_event_is_folded_and_counted_in_the_line_after(stderr) -> None:
    configure_logging("info", stderr)
    hub, now = EventHub(), 0.0
    connect_event_log(hub, lambda: now)
    for _ in range(40):
        hub.emit(Sample(Ran.NO, (), "same"))
        now += 0.01
    hub.emit(Sample(Ran.NO, (), "other"))
    hub.emit(Sample(Ran.NO, (), "other"))
    now += 6.0
    hub.emit(Sample(Ran.NO, (), "other"))
    lines = [(line["extra"], line.get("n_repeats")) for line in logged(stderr)]
    assert lines == [("same", None), ("other", 39), ("other", 1)]
    structlog.reset_defaults()
