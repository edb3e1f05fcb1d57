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

_POLL_S: Final = 0.05


@dataclass(frozen=True, slots=True)
class LeavePhaseChanged(Event):
    """A shutdown moved on."""

    name: ClassVar[str] = "leave_phase_changed"
    phase: LeavePhase
    n_open: int


@dataclass(frozen=True, slots=True)
class RequestsCut(Event):
    """A shutdown ended before these requests did."""

    name: ClassVar[str] = "requests_cut"
    request_ids: tuple[str, ...]


class OpenRequests(Protocol):
    """What a shutdown needs to know of the requests."""

    @property
    def n_open(self) -> int:
        """Requests that have no outcome yet."""

    def open_ids(self) -> Sequence[str]:
        """Return the ids of these requests."""

    def begin_leaving(self) -> None:
        """Refuse new requests; those that are open go on."""


class Shutdown:
    """Leaves when told to, without cutting off a request.

    Parameters
    ----------
    procedure : LeaveProcedure
        Decides the phases.
    requests : OpenRequests
        The requests of this daemon.
    announce : callable
        Tells the other daemons, which then name this one to no caller.
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

    def signalled(self) -> None:
        """Begin to leave; a second call leaves at once."""
        if self.is_leaving():
            self._procedure.cut()
            return
        self._procedure.announce(self._clock.monotonic())
        self._announce()

    def is_leaving(self) -> bool:
        """Return whether the daemon was told to leave."""
        return self._procedure.phase is not LeavePhase.SERVING

    async def wait(self) -> None:
        """Return when a shutdown that was signalled has come to its end."""
        phase = self._procedure.phase
        while phase is not LeavePhase.EXITED:
            await asyncio.sleep(_POLL_S)
            n_open = self._requests.n_open
            reached = self._procedure.step(n_open, self._clock.monotonic())
            if reached is phase:
                continue
            phase = reached
            self._events.emit(LeavePhaseChanged(phase, n_open))
            if phase is LeavePhase.DRAINING:
                self._stop_taking()
        self._stop_taking()
        if self._requests.n_open:
            self._events.emit(RequestsCut(tuple(self._requests.open_ids())))

    def _stop_taking(self) -> None:
        self._refuse()
        self._requests.begin_leaving()
