"""Log of the requests that arrived and ran at a target, by request id.

The log survives a crash of the target when it is written to a file.
"""

from __future__ import annotations

import os
from collections import Counter
from collections.abc import Iterable
from enum import Enum
from pathlib import Path

import msgspec

__all__ = ["RunEvent", "RunKind", "RunLog", "count_runs", "read_runs"]


class RunKind(Enum):
    """Whether an event records the arrival or the run of a request."""

    ARRIVED = "arrived"
    RAN = "ran"


class RunEvent(msgspec.Struct, frozen=True):
    """One arrival or run of a stage of a request."""

    kind: RunKind
    request_id: str
    attempt_id: str
    stage: str


class RunLog:
    """Counts arrivals and runs by request id; logs each to a file before it happens."""

    def __init__(self, path: str = "") -> None:
        self._file: int | None = None
        self._runs: Counter[str] = Counter()
        self._arrivals: Counter[str] = Counter()
        if path:
            for event in read_runs(path):
                self._count(event)
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
            self._file = os.open(path, flags, 0o600)

    def record(self, event: RunEvent) -> None:
        """Record an event."""
        self._count(event)
        if self._file is not None:
            os.write(self._file, msgspec.json.encode(event) + b"\n")

    def runs_by_id(self) -> dict[str, int]:
        """Return the number of runs by request id."""
        return dict(self._runs)

    def n_runs(self, request_id: str) -> int:
        """Return the number of runs of a request."""
        return self._runs[request_id]

    def n_arrivals(self, request_id: str) -> int:
        """Return the number of arrivals of a request."""
        return self._arrivals[request_id]

    def _count(self, event: RunEvent) -> None:
        counter = self._runs if event.kind is RunKind.RAN else self._arrivals
        counter[event.request_id] += 1


def read_runs(path: str) -> list[RunEvent]:
    """Return the events in a file; a line truncated by a crash is skipped."""
    if not Path(path).exists():
        return []
    lines = Path(path).read_bytes().split(b"\n")[:-1]
    return [msgspec.json.decode(line, type=RunEvent) for line in lines]


def count_runs(events: Iterable[RunEvent], kind: RunKind) -> dict[tuple[str, str], int]:
    """Return the number of events of a kind by request id and stage."""
    counter: Counter[tuple[str, str]] = Counter()
    for event in events:
        if event.kind is kind:
            counter[(event.request_id, event.stage)] += 1
    return dict(counter)
