"""Delay of an event loop, as measured by how late its timers run."""

from __future__ import annotations

from collections import deque
from typing import Final

__all__ = ["LagWindow"]

_WINDOW_S: Final = 1.0


class LagWindow:
    """The delays of the timers that ran within the last second."""

    def __init__(self) -> None:
        self._lags: deque[tuple[float, float]] = deque()

    def record(self, lag_s: float, now: float) -> None:
        """Record how late a timer ran."""
        self._lags.append((now, max(0.0, lag_s)))
        self._expire(now)

    def longest_s(self, now: float) -> float:
        """Return the longest recent delay in seconds; 0 without any."""
        self._expire(now)
        return max((lag_s for _, lag_s in self._lags), default=0.0)

    def _expire(self, now: float) -> None:
        while self._lags and now - self._lags[0][0] > _WINDOW_S:
            self._lags.popleft()
