"""Graceful shutdown as a sequence of phases."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from typing import Final

__all__ = ["LeavePhase", "LeaveProcedure", "LeaveTimes"]

# Callers cache addresses for two seconds. A request accepted more than three seconds
# after the signal may not be cut off at the end of the grace period, so the daemon
# accepts none after that.
_ADDRESS_CACHE_S: Final = 2.6
_ANNOUNCEMENT_MARGIN_S: Final = 0.2
# Share of the grace period in which new requests are accepted at most, so that there
# is time to answer them.
_ACCEPT_SHARE: Final = 0.5
# Share of the grace period reserved for cutting off open requests and exiting. Cutting
# off earlier than necessary loses requests; the platform allows up to a sixth.
_EXIT_SHARE: Final = 0.1
# Shares of the grace period for the last answers and the servers, then for everything
# else; what is left is for the end of the process and a delayed event loop.
_CLOSE_SHARE: Final = 0.04
_CLEANUP_SHARE: Final = 0.03
# Time for each of both if no process is killed.
_DEFAULT_CLOSE_S: Final = 2.0


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
    close_s, cleanup_s : float
        Maximum time after the exit to close the servers, and then everything else.
    """

    keep_s: float
    margin_s: float
    bound_s: float
    close_s: float = _DEFAULT_CLOSE_S
    cleanup_s: float = _DEFAULT_CLOSE_S

    @classmethod
    def within(cls, grace_s: float) -> LeaveTimes:
        """Return the times of a process that is killed ``grace_s`` after the signal."""
        return cls(
            min(_ADDRESS_CACHE_S, grace_s * _ACCEPT_SHARE - _ANNOUNCEMENT_MARGIN_S),
            _ANNOUNCEMENT_MARGIN_S,
            grace_s * (1 - _EXIT_SHARE),
            grace_s * _CLOSE_SHARE,
            grace_s * _CLEANUP_SHARE,
        )

    @property
    def accept_s(self) -> float:
        """Time from the announcement for which new requests are accepted."""
        return self.keep_s + self.margin_s


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

    def change_times(self, times: LeaveTimes) -> None:
        """Change the times of a shutdown that has not begun.

        The process is killed by the times that held when the shutdown began.
        """
        if self.phase is LeavePhase.SERVING:
            self.times = times

    def closing_s(self) -> tuple[float, float]:
        """Return the times to close the servers, and then everything else.

        They are bounded by the grace period only after a signal.
        """
        if self.phase is LeavePhase.SERVING:
            return _DEFAULT_CLOSE_S, _DEFAULT_CLOSE_S
        return self.times.close_s, self.times.cleanup_s

    def elapsed_s(self, now: float) -> float:
        """Return the time since the announcement; 0 before it."""
        is_serving = self.phase is LeavePhase.SERVING
        return 0.0 if is_serving else now - self._announced_at

    def accepts(self, now: float) -> bool:
        """Return whether a new request is accepted; needs no recent step."""
        if self.phase in (LeavePhase.DRAINING, LeavePhase.EXITED):
            return False
        return self.elapsed_s(now) < self.times.accept_s

    def last_start_at(self, takes_s: float) -> float:
        """Return the latest time at which work that takes some time may begin.

        Work that begins while new requests are accepted always may.
        """
        if self.phase is LeavePhase.SERVING:
            return math.inf
        if self.phase is LeavePhase.EXITED:
            return -math.inf
        after_s = max(self.times.accept_s, self.times.bound_s - takes_s)
        return self._announced_at + after_s

    def step(self, n_open: int, now: float) -> LeavePhase:
        """Return the phase at ``now`` with ``n_open`` requests open."""
        if self.phase in (LeavePhase.SERVING, LeavePhase.EXITED):
            return self.phase
        elapsed_s = now - self._announced_at
        if elapsed_s >= self.times.bound_s:
            self.phase = LeavePhase.EXITED
        elif elapsed_s >= self.times.accept_s:
            self.phase = LeavePhase.DRAINING if n_open else LeavePhase.EXITED
        return self.phase
