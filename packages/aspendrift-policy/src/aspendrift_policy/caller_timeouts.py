"""Caller timeouts, which can be shorter than the time that a caller states."""

from __future__ import annotations

from typing import Final

from aspendrift_model.routes import RequestKind, Route

__all__ = ["caller_timeout_s", "first_byte_timeout_s"]

# Callers close a stream on which nothing arrives for the longest of these times, also
# before its first event (caller protocol).
_MIN_FIRST_BYTE_TIMEOUT_S: Final = 2.0
_FIRST_BYTE_TIMEOUT_OBJECTIVES: Final = 4.0
_FIRST_BYTE_TIMEOUT_GAPS: Final = 8.0


def caller_timeout_s(route: Route, stated_s: float | None) -> float:
    """Return the caller timeout: the smaller of the route's and the stated one."""
    return route.timeout_s if stated_s is None else min(route.timeout_s, stated_s)


def first_byte_timeout_s(route: Route, stated_s: float | None) -> float:
    """Return how long a caller waits for the first bytes of its answer, in seconds."""
    total_timeout_s = caller_timeout_s(route, stated_s)
    if route.kind is not RequestKind.STREAMING:
        return total_timeout_s
    stream_timeout_s = max(
        _MIN_FIRST_BYTE_TIMEOUT_S,
        _FIRST_BYTE_TIMEOUT_OBJECTIVES * route.objective_s,
        _FIRST_BYTE_TIMEOUT_GAPS * route.event_gap_s,
    )
    return min(total_timeout_s, stream_timeout_s)
