"""The clocks of the process."""

from __future__ import annotations

import time

__all__ = ["SystemClock", "suspended_s"]


class SystemClock:
    """Clock that reads the operating system."""

    def monotonic(self) -> float:
        """Return seconds on the monotonic clock."""
        return time.monotonic()

    def unix(self) -> float:
        """Return seconds since the epoch; for timestamps, never for decisions."""
        return time.time()


def suspended_s() -> float:
    """Return for how long the host has been suspended since its boot, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()
