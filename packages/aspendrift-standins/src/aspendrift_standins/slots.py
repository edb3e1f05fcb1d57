"""Slots of a target with a priority queue, and its lagging load report."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import time
from collections import deque

from aspendrift_model.wire_target import LoadBody

__all__ = ["LaggingLoad", "SlotQueue"]


class LaggingLoad:
    """Reports load figures after a lag.

    Parameters
    ----------
    lag_s : float
        Time until figures become visible, in seconds.
    initial : LoadBody
        Figures reported until others become visible.
    """

    def __init__(self, lag_s: float, initial: LoadBody) -> None:
        self._lag_s = lag_s
        self._visible = (0.0, initial)
        self._pending: deque[tuple[float, LoadBody]] = deque()

    def record(self, body: LoadBody, now: float) -> None:
        """Record the figures that apply from now on."""
        self._apply_due(now)
        self._pending.append((now, body))

    def visible(self, now: float) -> LoadBody:
        """Return the figures that applied one lag ago."""
        self._apply_due(now)
        body = self._visible[1]
        age_ms = int(self._lag_s * 1e3)
        return LoadBody(
            body.active, body.queued, body.slots, age_ms, body.busy_s, body.models
        )

    def _apply_due(self, now: float) -> None:
        while self._pending and self._pending[0][0] <= now - self._lag_s:
            self._visible = self._pending.popleft()


class SlotQueue:
    """Grants slots in order of priority, then of arrival."""

    def __init__(self, n_slots: int, load_lag_s: float) -> None:
        self._n_slots = n_slots
        self._active = 0
        self._busy_s = 0.0
        self._order = itertools.count()
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self._lagging = LaggingLoad(load_lag_s, LoadBody(0, 0, n_slots))

    async def acquire(self, priority: int) -> None:
        """Wait for a slot and take it."""
        if self._active < self._n_slots:
            self._active += 1
            self._record_load()
            return
        granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (priority, next(self._order), granted))
        self._record_load()
        try:
            await granted
        except asyncio.CancelledError:
            if granted.done() and not granted.cancelled():
                self.release(0.0)
            raise

    def release(self, busy_s: float) -> None:
        """Release a slot after ``busy_s`` seconds of work."""
        self._busy_s += busy_s
        while self._waiting:
            granted = heapq.heappop(self._waiting)[2]
            if not granted.done():
                granted.set_result(None)
                self._record_load()
                return
        self._active -= 1
        self._record_load()

    def load(self, now: float) -> LoadBody:
        """Return the load report, which lags behind the current load."""
        return self._lagging.visible(now)

    def _record_load(self) -> None:
        queued = sum(not entry[2].done() for entry in self._waiting)
        body = LoadBody(self._active, queued, self._n_slots, 0, self._busy_s)
        self._lagging.record(body, time.monotonic())
