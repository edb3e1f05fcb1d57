"""Non-blocking standard output, limited in buffered bytes and in bytes per second.

A stalled reader must not slow down requests, and a surge must not fill the storage of
the logs. Lines beyond a limit are dropped and counted; the count is logged as a line
of its own as soon as the limits allow.
"""

from __future__ import annotations

import fcntl
import os
import time
from collections.abc import Callable
from typing import Final

import msgspec

__all__ = ["LogStream"]

_MAX_BUFFERED_BYTES: Final = 256 * 1024
# Twice the log volume of a host at the design peak: 240 requests per second with
# 1.9 KB each (docs/CAPACITY.md).
_MAX_BYTES_PER_S: Final = 1_000_000
# Size of a burst, in seconds of output at the rate limit.
_BURST_S: Final = 2.0
_RESUME_BURST_SHARE: Final = 0.1


class LogStream:
    """File object for structlog's byte logger.

    Parameters
    ----------
    descriptor : int
        Open file descriptor; it is set to non-blocking mode.
    max_buffered_bytes : int
        Maximum number of bytes buffered while the reader lags behind.
    max_bytes_per_s : float
        Maximum bytes per second, averaged over two seconds.
    clock : callable
        Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        descriptor: int,
        max_buffered_bytes: int = _MAX_BUFFERED_BYTES,
        max_bytes_per_s: float = _MAX_BYTES_PER_S,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._descriptor = descriptor
        self._max_buffered_bytes = max_buffered_bytes
        self._buffer = bytearray()
        self._max_bytes_per_s = max_bytes_per_s
        self._clock = clock
        self._allowance = max_bytes_per_s * _BURST_S
        self._refilled_at = clock()
        self.n_dropped = 0
        flags = fcntl.fcntl(descriptor, fcntl.F_GETFL)
        fcntl.fcntl(descriptor, fcntl.F_SETFL, flags | os.O_NONBLOCK)

    def write(self, line: bytes) -> int:
        """Buffer a line, or drop and count it if it exceeds a limit."""
        is_buffer_full = len(self._buffer) + len(line) > self._max_buffered_bytes
        if is_buffer_full or not self._consume_allowance(len(line), self._clock()):
            self.n_dropped += 1
            return len(line)
        if self.n_dropped:
            record = {"event": "log_lines_dropped", "n_lines": self.n_dropped}
            encoded = msgspec.json.encode(record) + b"\n"
            self._buffer += encoded
            self._allowance -= len(encoded)
            self.n_dropped = 0
        self._buffer += line
        return len(line)

    def _consume_allowance(self, n_bytes: int, now: float) -> bool:
        refill = (now - self._refilled_at) * self._max_bytes_per_s
        burst_bytes = self._max_bytes_per_s * _BURST_S
        self._allowance = min(burst_bytes, self._allowance + refill)
        self._refilled_at = now
        # After a drop, wait until part of the allowance is refilled; otherwise nearly
        # every line would be preceded by a count of dropped lines.
        if n_bytes > self._allowance or (
            self.n_dropped and self._allowance < burst_bytes * _RESUME_BURST_SHARE
        ):
            return False
        self._allowance -= n_bytes
        return True

    def flush(self) -> None:
        """Write as many bytes as the reader accepts without blocking."""
        while self._buffer:
            try:
                n_written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # The log can't be read any more, so the buffered lines are discarded.
                self._buffer.clear()
                return
            del self._buffer[:n_written]
