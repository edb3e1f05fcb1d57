"""Asyncio event loop with virtual time, which advances to the next timer at once.

Sleeps and time-outs of the code under test need no real time, and the order of
events is the same in every run.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, Final, TypeVar

__all__ = ["Stalled", "VirtualClock", "VirtualTimeLoop", "run_virtual"]

_T = TypeVar("_T")
_START_UNIX_S: Final = 1_700_000_000.0


class Stalled(Exception):
    """Deadlock: every task waits and no timer is set."""


class _VirtualTimeSelector(selectors.SelectSelector):
    """Selector that advances the virtual time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> Any:
        """Advance the time by ``timeout`` seconds and return the ready files."""
        if timeout is None:
            raise Stalled
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose virtual time starts at 0."""

    def __init__(self) -> None:
        self._time_selector = _VirtualTimeSelector()
        super().__init__(self._time_selector)

    def time(self) -> float:
        """Return the virtual time, in seconds."""
        return self._time_selector.now

    def pause(self, duration_s: float) -> None:
        """Let time pass without a turn for any task, as when a process stands still."""
        self._time_selector.now += duration_s


class VirtualClock:
    """Clocks of a process that runs on a virtual-time loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def monotonic(self) -> float:
        """Return the virtual time, in seconds."""
        return self._loop.time()

    def unix(self) -> float:
        """Return the virtual time as seconds since the epoch."""
        return _START_UNIX_S + self._loop.time()


def run_virtual(main: Coroutine[Any, Any, _T]) -> _T:
    """Run a coroutine to completion in virtual time, then cancel other tasks."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
