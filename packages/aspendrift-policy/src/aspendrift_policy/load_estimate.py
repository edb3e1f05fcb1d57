"""Load of a target, estimated from delayed reports and this daemon's own requests."""

from __future__ import annotations

import math
from collections import deque
from typing import Final

from aspendrift_model.targets import LoadReport

__all__ = ["DecayedRate", "TargetLoad"]

_HISTORY_RETENTION_S: Final = 6.0
_ROUNDING_EPSILON: Final = 1e-9


class DecayedRate:
    """Rate of a quantity, as an exponentially decaying sum.

    Parameters
    ----------
    window_s : float
        Time constant in seconds.
    """

    __slots__ = ("_at", "_sum", "_window_s")

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._sum = 0.0
        self._at = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add an amount at a time."""
        self._sum = self._decayed(now) + amount
        self._at = max(now, self._at)

    def per_s(self, now: float) -> float:
        """Return the rate per second."""
        return self._decayed(now) / self._window_s

    def _decayed(self, now: float) -> float:
        if self._sum == 0.0:
            return 0.0
        return self._sum * math.exp(-max(0.0, now - self._at) / self._window_s)


class TargetLoad:
    """Requests at one target, of this daemon and of the other daemons.

    The requests that this daemon had in flight at the time that a report describes
    are subtracted from the reported number; the remainder belongs to the other
    daemons. Own requests are always counted exactly.

    Parameters
    ----------
    slots : int
        Requests that the target serves at the same time.
    """

    __slots__ = (
        "_history",
        "_observed_at",
        "_own_at_report",
        "_reported",
        "others",
        "own_active",
        "slots",
    )

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.own_active = 0
        self.others = 0.0
        self._observed_at = -math.inf
        self._own_at_report = 0
        self._reported = 0
        self._history: deque[tuple[float, int]] = deque()

    @property
    def observed_at(self) -> float:
        """Time that the latest report describes; minus infinity without one."""
        return self._observed_at

    @property
    def outstanding(self) -> float:
        """Estimated requests at the target now, of all daemons."""
        return self.others + self.own_active

    def sent(self, now: float) -> None:
        """Record a request that is sent."""
        self.own_active += 1
        self._record_history(now)

    def ended(self, now: float) -> None:
        """Record a request that has ended."""
        self.own_active -= 1
        self._record_history(now)

    def reported(self, report: LoadReport, now: float) -> None:
        """Apply a report, unless it describes an earlier time than the latest one."""
        observed_at = now - report.age_ms / 1000.0
        if observed_at < self._observed_at:
            return
        self._observed_at = observed_at
        self._reported = report.active + report.queued
        self._own_at_report = min(self._own_active_at(observed_at), self._reported)
        self.others = float(self._reported - self._own_at_report)
        if report.slots > 0:
            self.slots = report.slots

    def allowance(self, share: float, position: int, lent_rounding: float) -> int:
        """Return the number of requests that this daemon may have at the target.

        Parameters
        ----------
        share : float
            This daemon's share of the demand for the target, from 0 to 1.
        position : int
            Index of the target plus rank of the daemon. Fractions of a slot are
            accumulated along the positions and rounded there, so that the whole slots
            add up to the right totals for each daemon over the targets and for each
            target over the daemons.
        lent_rounding : float
            Number in [0, 1), drawn for each report, that rounds the lent slots
            randomly.

        Notes
        -----
        The daemon is entitled to its share of the slots, whatever the report says.
        Beyond its own requests it may use its share of the slots that the report
        shows free; these are lent to it. All daemons together then fill the free
        slots once, rather than each daemon filling all of them. When the report shows
        more requests than slots, the lent slots are returned.
        """
        entitled = self.slots * share
        lent = self._lent_slots(share)
        if lent > entitled:
            return math.floor(lent + lent_rounding)
        assigned_before = math.floor(position * entitled + _ROUNDING_EPSILON)
        return (
            math.floor((position + 1) * entitled + _ROUNDING_EPSILON) - assigned_before
        )

    def _lent_slots(self, share: float) -> float:
        if self._observed_at == -math.inf:
            return 0.0
        free = self.slots - self._reported
        return self._own_at_report + (free * share if free > 0 else free)

    def _record_history(self, now: float) -> None:
        history = self._history
        history.append((now, self.own_active))
        while len(history) > 1 and history[1][0] < now - _HISTORY_RETENTION_S:
            history.popleft()

    def _own_active_at(self, at: float) -> int:
        for changed_at, own_active in reversed(self._history):
            if changed_at <= at:
                return own_active
        return 0
