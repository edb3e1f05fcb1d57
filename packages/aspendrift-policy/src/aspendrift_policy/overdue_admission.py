"""Admission of overdue requests: they start their stages, wait or are refused.

Handles a surge in which requests become overdue faster than their pools catch up. An
overdue request that starts holds results in memory, or loses them, and takes slots
that requests that can still meet their objective need. It therefore waits while its
pools have a backlog. An overdue request that has waited for about a second is rarely
served before its caller times out, so it is refused at once with a retry delay.
"""

from __future__ import annotations

import random
from enum import Enum
from typing import Final

__all__ = ["OverdueAdmission", "OverdueDecision"]

# Longest total wait of a request; requests that waited longer are rarely served.
_MAX_WAIT_S: Final = 1.0
# Poll interval: half of a usual batch call, with jitter so that waiting requests don't
# all start at once.
_POLL_INTERVAL_S: Final = 0.15
_POLL_JITTER: Final = 0.3


class OverdueDecision(Enum):
    """What a request does next."""

    START = "begin"
    WAIT = "wait"
    REFUSE = "refuse"


class OverdueAdmission:
    """Admission of one request, with a limit on its total wait."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._waited_s = 0.0
        self._waiting_since: float | None = None

    def decide(
        self, is_overdue: bool, is_backlogged: bool, now: float
    ) -> OverdueDecision:
        """Decide for a request that has no piece in progress.

        Parameters
        ----------
        is_overdue : bool
            Whether it can no longer meet its objective.
        is_backlogged : bool
            Whether one of its pools has a backlog.
        """
        if self._waiting_since is not None:
            self._waited_s += now - self._waiting_since
            self._waiting_since = None
        if not (is_overdue and is_backlogged):
            return OverdueDecision.START
        if self._waited_s >= _MAX_WAIT_S:
            return OverdueDecision.REFUSE
        self._waiting_since = now
        return OverdueDecision.WAIT

    def poll_delay_s(self) -> float:
        """Return the delay until the next poll, in seconds."""
        jitter = self._rng.uniform(1 - _POLL_JITTER, 1 + _POLL_JITTER)
        return _POLL_INTERVAL_S * jitter
