"""Load of a target, estimated from lagging reports and own sends."""

from __future__ import annotations

import math
from collections import deque
from typing import Final

from aspendrift_model.targets import LoadReport

__all__ = ["DecayedRate", "TargetLoad"]

_HISTORY_S: Final = 6.0
_EPSILON: Final = 1e-9


class DecayedRate:
    """Rate of a quantity, with exponential forgetting.

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
    """Requests at one target: those of this daemon and those of the others.

    A report is compared with what this daemon had in flight at the time the
    report describes, so the part of the other daemons is what remains. Own
    requests are counted exactly from then on.

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
        """Time that the last report describes; minus infinity without one."""
        return self._observed_at

    @property
    def outstanding(self) -> float:
        """Estimated requests at the target now, of all daemons."""
        return self.others + self.own_active

    def sent(self, now: float) -> None:
        """Count a request that is sent."""
        self.own_active += 1
        self._remember(now)

    def ended(self, now: float) -> None:
        """Count a request that has ended."""
        self.own_active -= 1
        self._remember(now)

    def reported(self, report: LoadReport, now: float) -> None:
        """Take in a report; one that describes an earlier time is ignored."""
        observed_at = now - report.age_ms / 1000.0
        if observed_at < self._observed_at:
            return
        self._observed_at = observed_at
        self._reported = report.active + report.queued
        self._own_at_report = min(self._own_at(observed_at), self._reported)
        self.others = float(self._reported - self._own_at_report)
        if report.slots > 0:
            self.slots = report.slots

    def allowance(self, share: float, position: int, lent_rounding: float) -> int:
        """Return how many requests this daemon may have at the target.

        Parameters
        ----------
        share : float
            This daemon's part of the demand for the target, from 0 to 1.
        position : int
            Index of the target plus rank of the daemon. Fractions of a slot are
            dealt out in turn along it, so the whole numbers add up for each
            daemon over the targets and for each target over the daemons.
        lent_rounding : float
            Number in [0, 1) drawn for each report, which rounds what is lent.

        Notes
        -----
        The daemon is entitled to its share of the slots, whatever the report
        says. Of the slots that the report shows free it takes its share as
        well, so all daemons together fill them once, not each of them. When the
        report shows more requests than slots, what was lent is given back.
        """
        entitled = self.slots * share
        lent = self._lent(share)
        if lent > entitled:
            return math.floor(lent + lent_rounding)
        dealt_before = math.floor(position * entitled + _EPSILON)
        return math.floor((position + 1) * entitled + _EPSILON) - dealt_before

    def _lent(self, share: float) -> float:
        if self._observed_at == -math.inf:
            return 0.0
        free = self.slots - self._reported
        return self._own_at_report + (free * share if free > 0 else free)

    def _remember(self, now: float) -> None:
        history = self._history
        history.append((now, self.own_active))
        while len(history) > 1 and history[1][0] < now - _HISTORY_S:
            history.popleft()

    def _own_at(self, at: float) -> int:
        for changed_at, own_active in reversed(self._history):
            if changed_at <= at:
                return own_active
        return 0
