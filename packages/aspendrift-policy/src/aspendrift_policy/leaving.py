"""Graceful shutdown as a sequence of phases."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Final

__all__ = ["LeavePhase", "LeaveProcedure", "LeaveTimes"]

# Callers cache addresses for two seconds. A request accepted more than three seconds
# after the signal may not be cut off at the end of the grace period, so the daemon
# accepts none after that.
_ADDRESS_CACHE_S: Final = 2.6
_ANNOUNCEMENT_MARGIN_S: Final = 0.2
# Share of the grace period reserved for cutting off open requests and exiting. Cutting
# off earlier than necessary loses requests; the platform allows up to a sixth.
_EXIT_SHARE: Final = 0.1


class LeavePhase(Enum):
    """Phase of a daemon's shutdown."""

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
        Time for which callers cache an address response.
    margin_s : float
        Time for the announcement to reach the daemons that serve addresses.
    bound_s : float
        Maximum time from the announcement to the exit.
    """

    keep_s: float
    margin_s: float
    bound_s: float

    @classmethod
    def within(cls, grace_s: float) -> LeaveTimes:
        """Return the times of a process that is killed ``grace_s`` after the signal."""
        return cls(
            _ADDRESS_CACHE_S, _ANNOUNCEMENT_MARGIN_S, grace_s * (1 - _EXIT_SHARE)
        )


class LeaveProcedure:
    """State machine of a shutdown; it only moves forward.

    While ``ANNOUNCED`` the daemon accepts new requests, since callers still cache
    address responses that name it. Once those have expired it is ``DRAINING`` and
    only completes open requests. It has ``EXITED`` when no request is open, or at
    the time limit.
    """

    def __init__(self, times: LeaveTimes) -> None:
        self.times = times
        self._announced_at = 0.0
        self.phase = LeavePhase.SERVING

    def announce(self, now: float) -> None:
        """Start the shutdown; a second call has no effect."""
        if self.phase is LeavePhase.SERVING:
            self._announced_at = now
            self.phase = LeavePhase.ANNOUNCED

    def exit_now(self) -> None:
        """Exit at once, even if requests are open."""
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
