"""Prefix cache of a stand-in engine, and the log of its cache events."""

from __future__ import annotations

import os.path
import random
from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import Final

from aspendrift_model.wire_target import CacheEvent, CacheEvents

__all__ = ["CHARS_PER_TOKEN", "CacheEventLog", "PrefixCache"]

CHARS_PER_TOKEN: Final = 4


@dataclass(slots=True)
class _Entry:
    text: str | None
    n_bytes: int


class PrefixCache:
    """LRU cache of texts by prefix key, bounded by the memory of their KV cache.

    Parameters
    ----------
    limit_bytes : int
        Memory limit of the cached prefixes.
    bytes_per_token : int
        Memory that the KV cache of one token takes.
    """

    def __init__(self, limit_bytes: int, bytes_per_token: int) -> None:
        self._limit_bytes = limit_bytes
        self._bytes_per_token = bytes_per_token
        self._entries_by_key: OrderedDict[str, _Entry] = OrderedDict()
        self.n_bytes = 0

    def n_cached_tokens(self, key: str, text: str) -> int:
        """Return how many leading tokens of a text are cached under a key."""
        entry = self._entries_by_key.get(key)
        if entry is None:
            return 0
        self._entries_by_key.move_to_end(key)
        if entry.text is None:
            n_imported = entry.n_bytes // self._bytes_per_token
            return min(n_imported, len(text) // CHARS_PER_TOKEN)
        return len(os.path.commonprefix((entry.text, text))) // CHARS_PER_TOKEN

    def put(self, key: str, text: str) -> list[str]:
        """Cache a text; return the evicted keys."""
        n_bytes = (len(text) // CHARS_PER_TOKEN + 1) * self._bytes_per_token
        return self._insert(key, _Entry(text, n_bytes))

    def put_imported(self, key: str, n_bytes: int) -> list[str]:
        """Cache a prefix whose text is unknown; return the evicted keys."""
        return self._insert(key, _Entry(None, n_bytes))

    def _insert(self, key: str, entry: _Entry) -> list[str]:
        self.remove(key)
        if entry.n_bytes > self._limit_bytes:
            return []
        self._entries_by_key[key] = entry
        self.n_bytes += entry.n_bytes
        evicted: list[str] = []
        while self.n_bytes > self._limit_bytes:
            oldest = next(iter(self._entries_by_key))
            self.remove(oldest)
            evicted.append(oldest)
        return evicted

    def remove(self, key: str) -> None:
        """Remove a key, if cached."""
        entry = self._entries_by_key.pop(key, None)
        if entry is not None:
            self.n_bytes -= entry.n_bytes

    def n_bytes_of(self, key: str) -> int | None:
        """Return the memory that a key takes, or None if it is not cached."""
        entry = self._entries_by_key.get(key)
        return None if entry is None else entry.n_bytes

    def __contains__(self, key: str) -> bool:
        return key in self._entries_by_key


class CacheEventLog:
    """Log of cache events that become visible after a lag; some are lost.

    Parameters
    ----------
    lag_s : float
        Time until an event becomes visible, in seconds.
    gap_share : float
        Share of events that are lost.
    n_kept : int
        Number of events kept for readers.
    rng : random.Random
        Source of the random choice of lost events.
    """

    def __init__(
        self, lag_s: float, gap_share: float, n_kept: int, rng: random.Random
    ) -> None:
        self._lag_s = lag_s
        self._gap_share = gap_share
        self._rng = rng
        self._seq = 0
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=n_kept)

    def record(self, prefix_key: str, cached: bool, now: float) -> None:
        """Record that a prefix entered or left the cache."""
        self._seq += 1
        if self._rng.random() >= self._gap_share:
            event = CacheEvent(self._seq, prefix_key, cached)
            self._events.append((now, event))

    def after(self, seq: int, now: float) -> CacheEvents:
        """Return the visible events after a sequence number."""
        visible = [event for at, event in self._events if at + self._lag_s <= now]
        oldest = visible[0].seq if visible else 0
        return CacheEvents(oldest, tuple(event for event in visible if event.seq > seq))
