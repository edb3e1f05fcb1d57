"""Delay of an event loop, as measured by how late its timers run.

After a pause, what arrived meanwhile is read before anything is decided: an answer that
waits here isn't late, and a job that was withdrawn meanwhile isn't started.
"""

from __future__ import annotations

import math
from collections import deque
from typing import Final

__all__ = ["LagWindow", "PauseWatch"]

_WINDOW_S: Final = 1.0
# Delay that counts as a pause; other daemons and targets seem late after twice as much.
_MIN_PAUSE_S: Final = 0.15
# Time in which what arrived during a pause is read.
_CATCH_UP_S: Final = 0.02


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


class PauseWatch:
    """Tells after a pause of the event loop until when decisions should wait."""

    def __init__(self) -> None:
        self._due_at = math.inf
        self._catches_up_until = -math.inf

    def expect(self, due_at: float) -> None:
        """Record when a periodic timer is due next."""
        self._due_at = due_at

    def catches_up_until(self, now: float) -> float:
        """Return the end of the time in which decisions wait; it may have passed."""
        if now - self._due_at >= _MIN_PAUSE_S:
            self._catches_up_until = now + _CATCH_UP_S
        return self._catches_up_until
