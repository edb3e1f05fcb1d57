"""Bounds what reading one connection takes of the processor.

Load it answers: a peer that sends bytes without end in chunks of one byte, or interim
heads without end, at a host with a third of a core. Parsing costs processor time for
each line and each chunk, whatever its size, so a bound on bytes does not bound it.
"""

from __future__ import annotations

from typing import Final

__all__ = ["BodyChunks", "HeadLines", "ChunkQuota", "SharedPace", "turn_end"]

# Lines that are parsed in one turn of the event loop: a few milliseconds of a core, for
# the framing of 64 chunks or the headers of several heads.
_MAX_LINES_PER_TURN: Final = 128
# Lines of the head of an answer and of all interim heads before it. Sound ones have
# tens.
_MAX_HEAD_LINES: Final = 1024
# A body may have this many chunks of any size; beyond them its chunks must have a
# minimum mean size, below that of any event or token.
_MAX_SMALL_CHUNKS: Final = 4096
_MIN_MEAN_CHUNK_BYTES: Final = 4
# Chunks that a connection may deliver at once, and the rate at which it may go on; a
# stream has up to a few hundred events per second.
_QUOTA_CHUNKS: Final = 4096
_QUOTA_CHUNKS_PER_S: Final = 500.0
# Rate at which all connections over their quota deliver chunks together: about a tenth
# of a core.
_SHARED_CHUNKS_PER_S: Final = 2000.0


def turn_end(data: bytes | bytearray, start: int, max_bytes: int) -> int:
    """Return the end of the bytes to parse in one turn of the event loop.

    Parameters
    ----------
    start : int
        Index of the first byte.
    max_bytes : int
        Most bytes of a turn.
    """
    limit = min(len(data), start + max_bytes)
    if data.count(b"\n", start, limit) <= _MAX_LINES_PER_TURN:
        return limit
    end = start
    for _ in range(_MAX_LINES_PER_TURN):
        end = data.find(b"\n", end, limit) + 1
    return end


class HeadLines:
    """Counts the lines up to the end of an answer's head."""

    def __init__(self) -> None:
        self._n_lines = 0
        self.is_open = False

    def begin(self) -> None:
        """Count anew, for the next answer of a connection."""
        self._n_lines = 0
        self.is_open = True

    def end(self) -> None:
        """Stop counting: the head is complete."""
        self.is_open = False

    def is_too_long(self, data: bytes) -> bool:
        """Count the lines of some bytes; return whether the head has too many."""
        if self.is_open:
            self._n_lines += data.count(b"\n")
        return self.is_open and self._n_lines > _MAX_HEAD_LINES


class BodyChunks:
    """Counts the chunks of one body, and tells one that is fragmented beyond use."""

    def __init__(self) -> None:
        self.n_chunks = 0
        self.n_bytes = 0

    def record(self, n_bytes: int) -> None:
        """Record a chunk."""
        self.n_chunks += 1
        self.n_bytes += n_bytes

    @property
    def is_fragmented(self) -> bool:
        """Whether there are many chunks and they are smaller than sound ones."""
        n_small = self.n_chunks - self.n_bytes / _MIN_MEAN_CHUNK_BYTES
        return n_small > _MAX_SMALL_CHUNKS


class ChunkQuota:
    """Chunks that a connection may deliver without being paced."""

    def __init__(self, now: float) -> None:
        self._n_left = float(_QUOTA_CHUNKS)
        self._counted_at = now

    def excess(self, n_chunks: int, now: float) -> int:
        """Count chunks; return how many of them are over the quota."""
        refill = (now - self._counted_at) * _QUOTA_CHUNKS_PER_S
        self._n_left = min(float(_QUOTA_CHUNKS), self._n_left + refill)
        self._counted_at = now
        n_within = min(n_chunks, int(self._n_left))
        self._n_left -= n_within
        return n_chunks - n_within


class SharedPace:
    """Rate that all connections over their quota share."""

    def __init__(self) -> None:
        self._free_at = float("-inf")

    def delay_s(self, n_chunks: int, now: float) -> float:
        """Return how long to wait before more is read, after some chunks."""
        self._free_at = max(self._free_at, now) + n_chunks / _SHARED_CHUNKS_PER_S
        return self._free_at - now
