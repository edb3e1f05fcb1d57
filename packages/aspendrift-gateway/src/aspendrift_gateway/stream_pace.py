"""Measures how fast a target generates a stream."""

from __future__ import annotations

from collections import deque
from typing import Final

__all__ = ["StreamPace"]

# Gaps after which the pace of a stream is reported, and again at its end.
_MIN_GAPS: Final = 10
_MAX_GAPS: Final = 20


class StreamPace:
    """Gap between the events that one target sends for a stream.

    The lower quartile of the last gaps is used: a target that reads the prompt of
    another request stretches some gaps, a slow one all of them.

    Parameters
    ----------
    n_before : int
        Events of the stream that earlier targets sent.
    """

    def __init__(self, n_before: int) -> None:
        self._n_events = n_before
        self._last_at: float | None = None
        self._gaps_s: deque[float] = deque(maxlen=_MAX_GAPS)
        self._is_reported = False

    def record(self, n_events: int, now: float) -> None:
        """Record the number of events so far; several may arrive in one read."""
        n_new = n_events - self._n_events
        if n_new <= 0:
            return
        if self._last_at is not None:
            self._gaps_s.append((now - self._last_at) / n_new)
        self._n_events, self._last_at = n_events, now

    def is_due(self) -> bool:
        """Return True once, when there are enough gaps to report."""
        if self._is_reported or len(self._gaps_s) < _MIN_GAPS:
            return False
        self._is_reported = True
        return True

    def gap_s(self) -> float | None:
        """Return the gap between events, in seconds; None after too few events."""
        if len(self._gaps_s) < _MIN_GAPS:
            return None
        return sorted(self._gaps_s)[len(self._gaps_s) // 4]
