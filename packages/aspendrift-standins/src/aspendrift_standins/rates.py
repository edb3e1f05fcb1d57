"""Token bucket for the rate limits of stand-ins."""

from __future__ import annotations

__all__ = ["TokenBucket"]


class TokenBucket:
    """Grants units at a fixed rate, with bursts up to the size of the bucket.

    Parameters
    ----------
    per_second : float
        Units granted per second; 0 or less for no limit.
    burst_s : float
        Size of the bucket, in seconds at the rate.
    """

    def __init__(self, per_second: float, burst_s: float = 1.0) -> None:
        self._per_second = per_second
        self._size = per_second * burst_s
        self._level = self._size
        self._filled_at: float | None = None

    def take(self, n_units: float, now: float) -> bool:
        """Take units if available; a full bucket grants any number."""
        if self._per_second <= 0:
            return True
        if self._filled_at is not None:
            refilled = self._level + (now - self._filled_at) * self._per_second
            self._level = min(self._size, refilled)
        self._filled_at = now
        if self._level < min(n_units, self._size):
            return False
        self._level -= n_units
        return True

    def wait_s(self, n_units: float, now: float) -> float:
        """Reserve units, on credit if needed; return the seconds to wait for them."""
        if self._per_second <= 0:
            return 0.0
        if self._filled_at is not None:
            refilled = self._level + (now - self._filled_at) * self._per_second
            self._level = min(self._size, refilled)
        self._filled_at = now
        self._level -= n_units
        return max(0.0, -self._level / self._per_second)
