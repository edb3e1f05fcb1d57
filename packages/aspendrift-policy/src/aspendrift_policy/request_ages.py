"""Estimated age of a request, counted from its first transmission.

A caller that retries after a refusal states its remaining timeout. Callers of one route
start with the same timeout, so the difference from the full timeout is the age of the
request. A request that can no longer meet its objective must not be ranked as new.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

__all__ = ["RequestAges"]

_MAX_ROUTES: Final = 4096
# Smaller differences between caller timeouts are ignored.
_TOLERANCE_S: Final = 0.05


class RequestAges:
    """Longest caller timeout seen on each route."""

    def __init__(self) -> None:
        self._longest_s_by_route: OrderedDict[str, float] = OrderedDict()

    def age_s(self, route: str, caller_timeout_s: float | None) -> float:
        """Return the estimated age of a request, from its remaining caller timeout."""
        if caller_timeout_s is None:
            return 0.0
        longest_s = self._longest_s_by_route.get(route, 0.0)
        if caller_timeout_s >= longest_s:
            self._longest_s_by_route[route] = caller_timeout_s
            self._longest_s_by_route.move_to_end(route)
            if len(self._longest_s_by_route) > _MAX_ROUTES:
                self._longest_s_by_route.popitem(last=False)
            return 0.0
        age_s = longest_s - caller_timeout_s
        return age_s if age_s > _TOLERANCE_S else 0.0
