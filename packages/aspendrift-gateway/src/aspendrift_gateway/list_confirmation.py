"""Waits until the list of targets is known to be current as of some time."""

from __future__ import annotations

import asyncio
from typing import Final

from aspendrift_daemon.interfaces import Clock
from aspendrift_gateway.system_state import SystemState

__all__ = ["ListConfirmation"]

# Daemons read the list of targets twice a second, or ask one that does.
_TIMEOUT_S: Final = 1.2
_POLL_S: Final = 0.02


class ListConfirmation:
    """Tells whether the list of targets shows what was so at some time.

    Targets of another software version may have joined, or returned under their id,
    while a daemon was cut off, stood still or had not read the list yet.
    """

    def __init__(self, state: SystemState, clock: Clock) -> None:
        self._state = state
        self._clock = clock

    async def is_confirmed(self, since: float) -> bool:
        """Wait for the list as of a time; return False if it doesn't come in time."""
        until = self._clock.monotonic() + _TIMEOUT_S
        while self._state.targets_confirmed_at < since:
            if self._clock.monotonic() >= until:
                return False
            await asyncio.sleep(_POLL_S)
        return True
