"""Runs the phases of a graceful shutdown."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import ClassVar, Final, Protocol

from aspendrift_daemon.events import Event, EventHub
from aspendrift_daemon.interfaces import Clock
from aspendrift_policy.leaving import LeavePhase, LeaveProcedure

__all__ = ["LeavePhaseChanged", "OpenRequests", "RequestsCut", "Shutdown"]

_POLL_INTERVAL_S: Final = 0.05


@dataclass(frozen=True, slots=True)
class LeavePhaseChanged(Event):
    """A shutdown entered its next phase."""

    name: ClassVar[str] = "leave_phase_changed"
    phase: LeavePhase
    n_open: int


@dataclass(frozen=True, slots=True)
class RequestsCut(Event):
    """A shutdown ended while these requests were still open."""

    name: ClassVar[str] = "requests_cut"
    request_ids: tuple[str, ...]


class OpenRequests(Protocol):
    """The open requests of the daemon, as used by a shutdown."""

    @property
    def n_open(self) -> int:
        """Requests that have no outcome yet."""

    def open_ids(self) -> Sequence[str]:
        """Return the ids of these requests."""

    def begin_leaving(self) -> None:
        """Refuse new requests; open requests continue."""


class Shutdown:
    """Shuts the daemon down without interrupting open requests.

    Parameters
    ----------
    procedure : LeaveProcedure
        Decides when each phase begins.
    requests : OpenRequests
        The requests of this daemon.
    announce : callable
        Announces to the other daemons that this one is leaving, so that they no
        longer name it to callers.
    refuse : callable
        Makes the daemon refuse new work.
    """

    def __init__(
        self,
        procedure: LeaveProcedure,
        requests: OpenRequests,
        announce: Callable[[], None],
        refuse: Callable[[], None],
        clock: Clock,
        events: EventHub,
    ) -> None:
        self._procedure = procedure
        self._requests = requests
        self._announce = announce
        self._refuse = refuse
        self._clock = clock
        self._events = events

    def handle_signal(self) -> None:
        """Begin to leave; a second call ends the shutdown at once."""
        if self.is_leaving():
            self._procedure.exit_now()
            return
        self._procedure.announce(self._clock.monotonic())
        self._announce()

    def is_leaving(self) -> bool:
        """Return whether the daemon is leaving."""
        return self._procedure.phase is not LeavePhase.SERVING

    async def wait(self) -> None:
        """Wait until a shutdown has been signalled and has ended."""
        phase = self._procedure.phase
        while phase is not LeavePhase.EXITED:
            await asyncio.sleep(_POLL_INTERVAL_S)
            n_open = self._requests.n_open
            reached = self._procedure.step(n_open, self._clock.monotonic())
            if reached is phase:
                continue
            phase = reached
            self._events.emit(LeavePhaseChanged(phase, n_open))
            if phase is LeavePhase.DRAINING:
                self._refuse_new_requests()
        self._refuse_new_requests()
        if self._requests.n_open:
            self._events.emit(RequestsCut(tuple(self._requests.open_ids())))

    def _refuse_new_requests(self) -> None:
        self._refuse()
        self._requests.begin_leaving()
