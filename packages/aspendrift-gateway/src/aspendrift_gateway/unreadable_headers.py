"""Counts headers of targets that can't be decoded, and logs them at a bounded rate."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from aspendrift_daemon.events import EventHub
from aspendrift_gateway.events import TargetHeaderUnreadable
from aspendrift_model.ids import TargetId

__all__ = ["UnreadableHeaders"]

# A target is logged once in this time: each of its answers may have such a header.
_LOG_INTERVAL_S: Final = 60.0


@dataclass(slots=True)
class _Logged:
    at: float
    n_since: int = 0


class UnreadableHeaders:
    """Answers with a header that could not be decoded, by target."""

    def __init__(self, events: EventHub) -> None:
        self._events = events
        self._logged_by_id: dict[TargetId, _Logged] = {}
        self.n_answers = 0

    def record(self, target_id: TargetId, detail: str, now: float) -> None:
        """Count an answer; log it unless its target was logged within a minute."""
        self.n_answers += 1
        logged = self._logged_by_id.get(target_id)
        if logged is not None and now - logged.at < _LOG_INTERVAL_S:
            logged.n_since += 1
            return
        n_answers = 1 + (0 if logged is None else logged.n_since)
        self._evict(now)
        self._logged_by_id[target_id] = _Logged(now)
        self._events.emit(TargetHeaderUnreadable(target_id, detail, n_answers))

    def _evict(self, now: float) -> None:
        """Forget targets whose last answers of this kind were all logged."""
        for target_id, logged in list(self._logged_by_id.items()):
            if now - logged.at >= 2 * _LOG_INTERVAL_S:
                del self._logged_by_id[target_id]
