"""The clocks of the process."""

from __future__ import annotations

import time

__all__ = ["SystemClock"]


class SystemClock:
    """Clock that reads the operating system."""

    def monotonic(self) -> float:
        """Return seconds on the monotonic clock."""
        return time.monotonic()

    def unix(self) -> float:
        """Return seconds since the epoch; for timestamps, never for decisions."""
        return time.time()
