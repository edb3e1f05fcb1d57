"""Limit on the pieces of stages that the owner of a pool sends again.

Load it answers: targets that reject or fail many calls for seconds. Each call holds
pieces of several requests, so that repeats would be a multiple of the requests. One
daemon sends all calls of a pool, and counts what it sent in the last window; so most of
the common limit can be used.

The owner tells the other daemons what it sent again in the last window, and the next
one counts that as its own. A process that was told nothing uses a part of the limit
that grows until a window has passed since its start.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Final

from aspendrift_policy.retry_budget import RetryLimit

__all__ = ["RepeatWindow"]

# Share of the common limit that one owner uses. The rest covers calls of other daemons
# while the owner changes.
_OWNER_SHARE: Final = 0.65
# Share of this that a process that was told nothing may use at the end of its first
# window.
_UNTOLD_SHARE: Final = 0.33
# Share of what an owner may use from which on it tells what it used.
_TOLD_SHARE: Final = 0.5
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
    started_at : float
        Time in seconds at which the process started.
    """

    def __init__(self, limit: Callable[[], RetryLimit], started_at: float) -> None:
        self._limit = limit
        self._started_at = started_at
        self._is_told = False
        self._requests = _RecentCount()
        self._repeats = _RecentCount()

    def take_over(self, n_requests: int, n_repeats: int, now: float) -> None:
        """Count what the owner before told last of its window as sent now."""
        self._is_told = True
        self._requests.add(n_requests, now)
        self._repeats.add(n_repeats, now)

    def n_requests(self, now: float) -> int:
        """Return the number of requests in the window that ends now."""
        return self._requests.total(now, self._limit().window_s)

    def n_repeats(self, now: float) -> int:
        """Return the number of repeated pieces in the window that ends now."""
        return self._repeats.total(now, self._limit().window_s)

    def record_request(self, now: float) -> None:
        """Count a request that has pieces in the pool."""
        self._requests.add(1, now)

    def n_allowed(self, now: float) -> int:
        """Return how many pieces may be sent again now."""
        return max(0, int(self._allowance(now)) - self.n_repeats(now))

    def n_allowed_until(self, at: float, now: float) -> float:
        """Return how many pieces may likely be sent again until a time."""
        left_windows = max(0.0, at - now) / self._limit().window_s
        return self.n_allowed(now) + left_windows * self._allowance(now)

    def is_telling(self, now: float) -> bool:
        """Return whether the next owner must know of the repeats.

        Fewer leave room for all that a next owner may use beside them.
        """
        return self.n_repeats(now) >= _TOLD_SHARE * self._allowance(now) > 0.0

    def record_repeats(self, n_pieces: int, now: float) -> None:
        """Count pieces that are sent again."""
        self._repeats.add(n_pieces, now)

    def take_back(self, n_pieces: int) -> None:
        """Take back pieces that were counted and not sent."""
        self._repeats.take_back(n_pieces)

    def _allowance(self, now: float) -> float:
        """Return the repeats that are allowed in the window that ends at a time."""
        limit = self._limit()
        allowance = _OWNER_SHARE * (limit.extra + limit.share * self.n_requests(now))
        age = (now - self._started_at) / limit.window_s
        if self._is_told or age >= 1.0:
            return allowance
        return allowance * _UNTOLD_SHARE * age
