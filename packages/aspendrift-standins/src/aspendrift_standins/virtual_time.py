"""An asyncio event loop whose time jumps to the next timer.

Code under test sleeps and times out as usual, yet a run takes no real time and
has the same order of events every time.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, Final, TypeVar

__all__ = ["Stalled", "VirtualClock", "VirtualTimeLoop", "run_virtual"]

_T = TypeVar("_T")
_FIRST_UNIX_S: Final = 1_700_000_000.0


class Stalled(Exception):
    """Every task waits and no timer is set: the run could never go on."""


class _JumpingSelector(selectors.SelectSelector):
    """Selector that advances the loop's time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> Any:
        """Return what is ready now, after a jump of ``timeout`` seconds."""
        if timeout is None:
            raise Stalled
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop that starts at time 0 and jumps from timer to timer."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual time, in seconds."""
        return self._jumping.now


class VirtualClock:
    """The clocks of a process that runs on a virtual loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def monotonic(self) -> float:
        """Return the virtual time, in seconds."""
        return self._loop.time()

    def unix(self) -> float:
        """Return the virtual time as seconds since the epoch."""
        return _FIRST_UNIX_S + self._loop.time()


def run_virtual(main: Coroutine[Any, Any, _T]) -> _T:
    """Run a coroutine to its end in virtual time, then cancel what is left."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
