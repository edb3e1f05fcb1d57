"""Measures how fast a target generates a stream."""

from __future__ import annotations

from typing import Final

__all__ = ["StreamPace"]

# Events after which the pace of a stream is reported, and again at its end.
_MIN_PACE_EVENTS: Final = 5


class StreamPace:
    """Mean gap between the events that one target sends for a stream.

    Parameters
    ----------
    n_before : int
        Events of the stream that earlier targets sent.
    """

    def __init__(self, n_before: int) -> None:
        self._n_before = n_before
        self._n_first = 0
        self._n_events = 0
        self._first_at = 0.0
        self._last_at = 0.0
        self._is_reported = False

    def record(self, n_events: int, now: float) -> None:
        """Record the number of events so far."""
        n_own = n_events - self._n_before
        if n_own > self._n_events:
            if not self._n_events:
                self._n_first, self._first_at = n_own, now
            self._n_events, self._last_at = n_own, now

    def is_due(self) -> bool:
        """Return True once, when there are enough events to report."""
        if self._is_reported or self._n_events < _MIN_PACE_EVENTS:
            return False
        self._is_reported = True
        return True

    def gap_s(self) -> float | None:
        """Return the mean gap, in seconds; None after too few events."""
        if self._n_events < _MIN_PACE_EVENTS or self._n_events == self._n_first:
            return None
        return (self._last_at - self._first_at) / (self._n_events - self._n_first)
