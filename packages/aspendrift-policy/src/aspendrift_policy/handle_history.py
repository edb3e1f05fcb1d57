"""Handles that a pool's targets returned lately, to recognize copies of an answer.

Batch calls of stages carry no id that their answer repeats. A target that sends an
answer a second time, late, on a connection that is in use again would hand the results
of one request to another. Handles are unique, so one that was returned before marks
such a copy.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from typing import Final

from aspendrift_model.pieces import Handle

__all__ = ["HandleHistory"]

# A copy can only arrive where an answer is awaited on the same connection: within the
# time for which an idle connection is reused, plus the longest call.
_RETENTION_S: Final = 10.0
# Handles of ten seconds of a pool that returns several thousand results a second.
_MAX_HANDLES: Final = 50_000


class HandleHistory:
    """Handles of one pool, retained for as long as a copy of an answer may arrive."""

    def __init__(self) -> None:
        self._returned_at: OrderedDict[Handle, float] = OrderedDict()

    def is_copy(self, handles: Iterable[Handle], now: float) -> bool:
        """Return whether an answer has a handle that another answer had before.

        Otherwise its handles are recorded.
        """
        self._expire(now)
        found = list(handles)
        if any(handle in self._returned_at for handle in found):
            return True
        for handle in found:
            self._returned_at[handle] = now
        return False

    def _expire(self, now: float) -> None:
        while self._returned_at:
            oldest_at = next(iter(self._returned_at.values()))
            is_kept = now - oldest_at <= _RETENTION_S
            if is_kept and len(self._returned_at) <= _MAX_HANDLES:
                return
            self._returned_at.popitem(last=False)
