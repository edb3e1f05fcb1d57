"""Limit on the pieces of stages that the owner of a pool sends again.

Load it answers: targets that reject or fail many calls for seconds. Each call holds
pieces of several requests, so that repeats would be a multiple of the requests. One
daemon sends all calls of a pool, and counts what it sent in the last window; so most of
the common limit can be used.

A daemon that becomes the owner does not know what others sent before. It uses a part of
the limit that grows until a window has passed.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Final

from aspendrift_policy.retry_budget import RetryLimit

__all__ = ["RepeatWindow"]

# Share of the common limit that one owner uses. The rest covers calls of other daemons
# while the owner changes.
_OWNER_SHARE: Final = 0.7
# Share of this that a new owner may use at the end of its first window.
_NEW_OWNER_SHARE: Final = 0.2
# Time within which events are counted together.
_SLOT_S: Final = 0.05


class _RecentCount:
    """Number of events in the last window."""

    def __init__(self) -> None:
        self._slots: deque[tuple[float, int]] = deque()
        self._total = 0

    def add(self, n_events: int, now: float) -> None:
        """Count events."""
        if self._slots and now - self._slots[-1][0] < _SLOT_S:
            at, n_before = self._slots.pop()
            self._slots.append((at, n_before + n_events))
        else:
            self._slots.append((now, n_events))
        self._total += n_events

    def take_back(self, n_events: int) -> None:
        """Take back events that were counted last."""
        while n_events and self._slots:
            at, n_counted = self._slots.pop()
            n_taken = min(n_events, n_counted)
            n_events -= n_taken
            self._total -= n_taken
            if n_taken < n_counted:
                self._slots.append((at, n_counted - n_taken))

    def total(self, now: float, window_s: float) -> int:
        """Return the number of events in the window that ends now."""
        # A slot counts until all of its events have left the window.
        while self._slots and self._slots[0][0] + _SLOT_S < now - window_s:
            self._total -= self._slots.popleft()[1]
        return self._total


class RepeatWindow:
    """Counts the requests and the repeated pieces of one pool.

    Parameters
    ----------
    limit : callable
        Returns the limit on the repeats of all daemons that is in force.
    now : float
        Time in seconds at which this daemon became the owner.
    """

    def __init__(self, limit: Callable[[], RetryLimit], now: float) -> None:
        self._limit = limit
        self._owner_since = now
        self._requests = _RecentCount()
        self._repeats = _RecentCount()

    def begin(self, now: float) -> None:
        """Record that this daemon becomes the owner of the pool."""
        self._owner_since = now

    def record_request(self, now: float) -> None:
        """Count a request that has pieces in the pool."""
        self._requests.add(1, now)

    def n_allowed(self, now: float) -> int:
        """Return how many pieces may be sent again now."""
        window_s = self._limit().window_s
        return max(0, int(self._allowance(now)) - self._repeats.total(now, window_s))

    def n_allowed_until(self, at: float, now: float) -> float:
        """Return how many pieces may likely be sent again until a time."""
        left_windows = max(0.0, at - now) / self._limit().window_s
        return self.n_allowed(now) + left_windows * self._allowance(now)

    def record_repeats(self, n_pieces: int, now: float) -> None:
        """Count pieces that are sent again."""
        self._repeats.add(n_pieces, now)

    def take_back(self, n_pieces: int) -> None:
        """Take back pieces that were counted and not sent."""
        self._repeats.take_back(n_pieces)

    def _allowance(self, now: float) -> float:
        """Return the repeats that are allowed in the window that ends at a time."""
        limit = self._limit()
        n_requests = self._requests.total(now, limit.window_s)
        allowance = _OWNER_SHARE * (limit.extra + limit.share * n_requests)
        age = (now - self._owner_since) / limit.window_s
        return allowance if age >= 1.0 else allowance * _NEW_OWNER_SHARE * age
