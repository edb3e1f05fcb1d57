"""Whether a request that is late begins its stages, waits a moment or is refused.

Answers a surge that makes requests late faster than their pools catch up. A late
request that began would hold results in memory, or lose them, while requests that
can be on time need the turns; so it makes way while its pools have a backlog. One
that has made way for about a second is rarely served before its caller gives up:
its caller is told so at once, and when to come back.
"""

from __future__ import annotations

import random
from enum import Enum
from typing import Final

__all__ = ["DoorVerdict", "LateDoor"]

# Longest wait of a request over all its stages: 14 of 108 that waited for longer were
# served, but 19 of 26 that waited for less (docs/measurements/rounds.md).
_MOST_WAIT_S: Final = 1.0
# Pause between two looks: half of a usual call; spread, so that not all begin at once.
_PAUSE_S: Final = 0.15
_PAUSE_SPREAD: Final = 0.3


class DoorVerdict(Enum):
    """What a request does now."""

    BEGIN = "begin"
    WAIT = "wait"
    REFUSE = "refuse"


class LateDoor:
    """The waits of one request."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._waited_s = 0.0
        self._waiting_since: float | None = None

    def decide(self, is_late: bool, is_backlogged: bool, now: float) -> DoorVerdict:
        """Decide for a request that has no piece under way.

        Parameters
        ----------
        is_late : bool
            Whether it can't be on time any more.
        is_backlogged : bool
            Whether one of its pools has a backlog.
        """
        if self._waiting_since is not None:
            self._waited_s += now - self._waiting_since
            self._waiting_since = None
        if not (is_late and is_backlogged):
            return DoorVerdict.BEGIN
        if self._waited_s >= _MOST_WAIT_S:
            return DoorVerdict.REFUSE
        self._waiting_since = now
        return DoorVerdict.WAIT

    def pause_s(self) -> float:
        """Return when to look again."""
        spread = self._rng.uniform(1 - _PAUSE_SPREAD, 1 + _PAUSE_SPREAD)
        return _PAUSE_S * spread
