"""Retry budgets: limit retries to a share of the first attempts.

A budget is a token bucket. Where all daemons share a limit on the retries within a
window, each of them gets an equal part of what flows in and of what a bucket holds, so
that all of them together stay within the limit also when every bucket is full.

A process does not know what its predecessor on the host spent. Its buckets start empty
until a window has passed since its start.
"""

from __future__ import annotations

import math
import random
from collections import OrderedDict
from dataclasses import dataclass
from typing import Final, Generic, TypeVar

__all__ = ["RetryBudget", "RetryBudgets", "RetryLimit", "backoff_s"]

_K = TypeVar("_K")
_BUCKET_SIZE: Final = 10.0
_MAX_KEYS: Final = 4096
_BACKOFF_BASE_S: Final = 0.02
_BACKOFF_MAX_S: Final = 1.0
# Shares of a common limit: of the retries for first attempts, and of the constant, as
# what flows in within a window and as what all buckets hold. The rest covers differing
# views of the number of daemons.
_ATTEMPTS_SHARE: Final = 0.6
_FLOOR_SHARE: Final = 0.2
_BUCKETS_SHARE: Final = 0.6
# A bucket that holds less would never allow a retry.
_MIN_BUCKET_SIZE: Final = 1.0


@dataclass(frozen=True, slots=True)
class RetryLimit:
    """Limit on the retries of all daemons within any window.

    Parameters
    ----------
    share : float
        Retries for each first attempt.
    extra : float
        Retries beside these, in each window.
    window_s : float
        Length of the window in seconds.
    """

    share: float
    extra: float
    window_s: float


class RetryBudget:
    """Token bucket, filled by first attempts and time, drained by retries.

    Parameters
    ----------
    share : float
        Tokens added by each first attempt.
    floor_per_s : float
        Tokens added per second.
    size : float
        Maximum number of tokens.
    tokens : float
        Number of tokens at the beginning.
    now : float
        Current time in seconds.
    """

    __slots__ = ("_at", "_share", "_size", "_tokens", "floor_per_s")

    def __init__(
        self, share: float, floor_per_s: float, size: float, tokens: float, now: float
    ) -> None:
        self._share = share
        self.floor_per_s = floor_per_s
        self._size = size
        self._tokens = tokens
        self._at = now

    def set_size(self, size: float) -> None:
        """Set the maximum number of tokens."""
        self._size = size
        self._tokens = min(size, self._tokens)

    def record_first_attempt(self, now: float) -> None:
        """Add the tokens of a first attempt."""
        self._refill(now)
        self._tokens = min(self._size, self._tokens + self._share)

    def may_retry(self, now: float) -> bool:
        """Return whether a retry is allowed now, without consuming a token."""
        self._refill(now)
        return self._tokens >= 1.0

    def consume(self) -> None:
        """Consume the token of one retry."""
        self._tokens -= 1.0

    def _refill(self, now: float) -> None:
        earned = max(0.0, now - self._at) * self.floor_per_s
        self._at = now
        self._tokens = min(self._size, self._tokens + earned)


class RetryBudgets(Generic[_K]):
    """Budgets by key, with eviction of the least recently used key.

    Parameters
    ----------
    share : float
        Tokens that each first attempt adds to its budget.
    floor_per_s : float
        Tokens added to each budget per second.
    empty_until : float
        Time in seconds until which new budgets start empty; later ones start with half
        of their tokens.
    """

    def __init__(
        self, share: float, floor_per_s: float, empty_until: float = -math.inf
    ) -> None:
        self._share = share
        self._floor_per_s = floor_per_s
        self._empty_until = empty_until
        self._size = _BUCKET_SIZE
        self._budgets_by_key: OrderedDict[_K, RetryBudget] = OrderedDict()

    @property
    def bucket_size(self) -> float:
        """Maximum number of tokens of one budget."""
        return self._size

    @classmethod
    def within(
        cls, limit: RetryLimit, n_daemons: int, started_at: float = -math.inf
    ) -> RetryBudgets[_K]:
        """Return one daemon's part of the budgets under a common limit.

        ``started_at`` is when the process started, in seconds.
        """
        empty_until = started_at + limit.window_s
        budgets = cls(limit.share * _ATTEMPTS_SHARE, 0.0, empty_until)
        budgets.divide(limit, n_daemons)
        return budgets

    def divide(self, limit: RetryLimit, n_daemons: int) -> None:
        """Apply a common limit's constant and the number of daemons, for all keys."""
        part = limit.extra / n_daemons
        self._floor_per_s = part * _FLOOR_SHARE / limit.window_s
        self._size = max(_MIN_BUCKET_SIZE, part * _BUCKETS_SHARE)
        for budget in self._budgets_by_key.values():
            budget.floor_per_s = self._floor_per_s
            budget.set_size(self._size)

    def of(self, key: _K, now: float) -> RetryBudget:
        """Return the budget of a key."""
        budget = self._budgets_by_key.get(key)
        if budget is None:
            tokens = self._size / 2 if now >= self._empty_until else 0.0
            budget = RetryBudget(
                self._share, self._floor_per_s, self._size, tokens, now
            )
            self._budgets_by_key[key] = budget
            if len(self._budgets_by_key) > _MAX_KEYS:
                self._budgets_by_key.popitem(last=False)
        else:
            self._budgets_by_key.move_to_end(key)
        return budget


def backoff_s(n_earlier: int, rng: random.Random) -> float:
    """Return the delay before a retry: exponential back-off with full jitter."""
    ceiling = min(_BACKOFF_MAX_S, _BACKOFF_BASE_S * 2 ** min(n_earlier, 16))
    return rng.uniform(0.0, ceiling)
