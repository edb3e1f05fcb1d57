"""Standard output that never blocks, bounded in bytes held and bytes a second.

A reader that stalls must not slow a request, and a surge must not fill what keeps
the logs. Lines over a bound are dropped and counted; the count is written as a line
of its own as soon as there is room.
"""

from __future__ import annotations

import fcntl
import os
import time
from collections.abc import Callable
from typing import Final

import msgspec

__all__ = ["LogStream"]

_MAX_HELD_BYTES: Final = 256 * 1024
# Twice what a host writes at the peak that the system is sized for: 240 requests a
# second of 1.9 KB each (docs/CAPACITY.md).
_MAX_BYTES_PER_S: Final = 1_000_000
# Lines of this many seconds may come at once.
_BURST_S: Final = 2.0
_RESUME_SHARE: Final = 0.1


class LogStream:
    """A file object for structlog's byte logger.

    Parameters
    ----------
    descriptor : int
        Open file descriptor, set to non-blocking.
    max_held_bytes : int
        Bytes to hold while the reader is behind.
    max_bytes_per_s : float
        Bytes that are written in a second, averaged over two.
    clock : callable
        Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        descriptor: int,
        max_held_bytes: int = _MAX_HELD_BYTES,
        max_bytes_per_s: float = _MAX_BYTES_PER_S,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._descriptor = descriptor
        self._max_held_bytes = max_held_bytes
        self._held = bytearray()
        self._max_bytes_per_s = max_bytes_per_s
        self._clock = clock
        self._allowance = max_bytes_per_s * _BURST_S
        self._allowed_at = clock()
        self.n_dropped = 0
        flags = fcntl.fcntl(descriptor, fcntl.F_GETFL)
        fcntl.fcntl(descriptor, fcntl.F_SETFL, flags | os.O_NONBLOCK)

    def write(self, line: bytes) -> int:
        """Take a line, or drop it if it is over a bound."""
        is_held_full = len(self._held) + len(line) > self._max_held_bytes
        if is_held_full or not self._take_allowance(len(line), self._clock()):
            self.n_dropped += 1
            return len(line)
        if self.n_dropped:
            note = {"event": "log_lines_dropped", "n_lines": self.n_dropped}
            encoded = msgspec.json.encode(note) + b"\n"
            self._held += encoded
            self._allowance -= len(encoded)
            self.n_dropped = 0
        self._held += line
        return len(line)

    def _take_allowance(self, n_bytes: int, now: float) -> bool:
        earned = (now - self._allowed_at) * self._max_bytes_per_s
        most = self._max_bytes_per_s * _BURST_S
        self._allowance = min(most, self._allowance + earned)
        self._allowed_at = now
        # After a drop some room comes together first, or else every line after one
        # would need a count.
        if n_bytes > self._allowance or (
            self.n_dropped and self._allowance < most * _RESUME_SHARE
        ):
            return False
        self._allowance -= n_bytes
        return True

    def flush(self) -> None:
        """Write what the reader takes without waiting."""
        while self._held:
            try:
                n_written = os.write(self._descriptor, self._held)
            except BlockingIOError:
                return
            except OSError:
                # Nobody can read the log any more, so nothing is worth keeping.
                self._held.clear()
                return
            del self._held[:n_written]
