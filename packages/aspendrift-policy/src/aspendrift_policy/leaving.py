"""Graceful shutdown as a sequence of phases."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Final

__all__ = ["LeavePhase", "LeaveProcedure", "LeaveTimes"]

# Callers keep addresses for two seconds. A request that is taken more than three after
# the signal may not be cut at the end of the grace time, so none is.
_KEEP_S: Final = 2.6
_MARGIN_S: Final = 0.2
# Share of the grace time in which a process ends what is open and exits. Callers
# lose what ends earlier than it has to, and the platform allows a sixth.
_EXIT_SHARE: Final = 0.1


class LeavePhase(Enum):
    """How far a daemon is on its way out."""

    SERVING = "serving"
    ANNOUNCED = "announced"
    DRAINING = "draining"
    EXITED = "exited"


@dataclass(frozen=True, slots=True)
class LeaveTimes:
    """Times of a shutdown, in seconds.

    Parameters
    ----------
    keep_s : float
        Time for which callers keep an address answer.
    margin_s : float
        Time for the announcement to reach the daemons that give addresses.
    bound_s : float
        Longest time from the announcement to the exit.
    """

    keep_s: float
    margin_s: float
    bound_s: float

    @classmethod
    def within(cls, grace_s: float) -> LeaveTimes:
        """Return the times of a process that is killed ``grace_s`` after the signal."""
        return cls(_KEEP_S, _MARGIN_S, grace_s * (1 - _EXIT_SHARE))


class LeaveProcedure:
    """Phases of a shutdown; moves forward only.

    While ``ANNOUNCED`` the daemon takes new requests, since callers still hold
    answers that name it. Once those have expired it is ``DRAINING`` and only
    finishes what is open. It has ``EXITED`` when nothing is open, or at the bound.
    """

    def __init__(self, times: LeaveTimes) -> None:
        self.times = times
        self._announced_at = 0.0
        self.phase = LeavePhase.SERVING

    def announce(self, now: float) -> None:
        """Begin; a second call has no effect."""
        if self.phase is LeavePhase.SERVING:
            self._announced_at = now
            self.phase = LeavePhase.ANNOUNCED

    def cut(self) -> None:
        """Exit at once, whatever is open."""
        self.phase = LeavePhase.EXITED

    def step(self, n_open: int, now: float) -> LeavePhase:
        """Return the phase at ``now`` with ``n_open`` requests open."""
        if self.phase in (LeavePhase.SERVING, LeavePhase.EXITED):
            return self.phase
        elapsed_s = now - self._announced_at
        if elapsed_s >= self.times.bound_s:
            self.phase = LeavePhase.EXITED
        elif elapsed_s >= self.times.keep_s + self.times.margin_s:
            self.phase = LeavePhase.DRAINING if n_open else LeavePhase.EXITED
        return self.phase
