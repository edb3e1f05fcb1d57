"""Retry budgets: limit retries to a share of the first attempts."""

from __future__ import annotations

import random
from collections import OrderedDict
from typing import Final, Generic, TypeVar

__all__ = ["RetryBudget", "RetryBudgets", "backoff_s"]

_K = TypeVar("_K")
_BUCKET_SIZE: Final = 10.0
_MAX_KEYS: Final = 4096
_BACKOFF_BASE_S: Final = 0.02
_BACKOFF_MAX_S: Final = 1.0


class RetryBudget:
    """Token bucket, filled by first attempts and time, drained by retries.

    Parameters
    ----------
    share : float
        Tokens added by each first attempt.
    floor_per_s : float
        Tokens added per second.
    now : float
        Current time in seconds.
    """

    __slots__ = ("_at", "_share", "_tokens", "floor_per_s")

    def __init__(self, share: float, floor_per_s: float, now: float) -> None:
        self._share = share
        self.floor_per_s = floor_per_s
        self._tokens = _BUCKET_SIZE / 2
        self._at = now

    def record_first_attempt(self, now: float) -> None:
        """Add the tokens of a first attempt."""
        self._refill(now)
        self._tokens = min(_BUCKET_SIZE, self._tokens + self._share)

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
        self._tokens = min(_BUCKET_SIZE, self._tokens + earned)


class RetryBudgets(Generic[_K]):
    """Budgets by key, with eviction of the least recently used key."""

    def __init__(self, share: float, floor_per_s: float) -> None:
        self._share = share
        self._floor_per_s = floor_per_s
        self._budgets_by_key: OrderedDict[_K, RetryBudget] = OrderedDict()

    def set_floor(self, floor_per_s: float) -> None:
        """Set the tokens added per second, for all keys."""
        self._floor_per_s = floor_per_s
        for budget in self._budgets_by_key.values():
            budget.floor_per_s = floor_per_s

    def of(self, key: _K, now: float) -> RetryBudget:
        """Return the budget of a key."""
        budget = self._budgets_by_key.get(key)
        if budget is None:
            budget = RetryBudget(self._share, self._floor_per_s, now)
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
