"""Finds targets that generate streams more slowly than the others of their pool.

Load it answers: many daemons before many targets, some of which turn slow while their
health checks stay good. Each daemon sees a target too rarely to notice in time, so one
daemon collects the paces that all of them observe. A pace is judged by the median of
several streams, since a slow caller or a lossy link of one daemon also stretches the
gaps between events.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from statistics import median
from typing import Final

from aspendrift_model.target_entries import TargetKey

__all__ = ["PaceTracker"]

# Age of the last sample until which a target counts as slow. A target that gets no
# requests is thus tried again after this time.
_MAX_SAMPLE_AGE_S: Final = 3.0
# Of two samples within this time, the faster one counts.
_SAME_TIME_S: Final = 1.0
# Multiple of the pool's median gap from which a target counts as slow.
_SLOW_FACTOR: Final = 2.0
# Number of targets that form the median of a pool, and the age of their last samples.
_MIN_TARGETS: Final = 4
_MAX_PACE_AGE_S: Final = 30.0


@dataclass(slots=True)
class _Pace:
    """The last two samples of a target: gaps between events, in seconds."""

    gap_s: float
    sampled_at: float
    earlier_gap_s: float = 0.0
    earlier_at: float = float("-inf")

    @property
    def value_s(self) -> float:
        """The gap by which the target is judged."""
        if self.sampled_at - self.earlier_at > _SAME_TIME_S:
            return self.gap_s
        return min(self.gap_s, self.earlier_gap_s)


class PaceTracker:
    """Gaps between the events of streams, by target of one pool."""

    def __init__(self) -> None:
        self._pace_by_key: dict[TargetKey, _Pace] = {}

    def record(self, key: TargetKey, gap_s: float, now: float) -> None:
        """Record the gap between the events of one stream, in seconds."""
        known = self._pace_by_key.get(key)
        if known is None:
            self._pace_by_key[key] = _Pace(gap_s, now)
        else:
            earlier = known.gap_s, known.sampled_at
            self._pace_by_key[key] = _Pace(gap_s, now, *earlier)

    def slow(self, now: float) -> Sequence[TargetKey]:
        """Return the targets that are slow now, in order of their keys."""
        for key, pace in list(self._pace_by_key.items()):
            if now - pace.sampled_at > _MAX_PACE_AGE_S:
                del self._pace_by_key[key]
        if len(self._pace_by_key) < _MIN_TARGETS:
            return ()
        median_s = median(each.value_s for each in self._pace_by_key.values())
        return tuple(
            key
            for key, pace in sorted(self._pace_by_key.items())
            if pace.value_s > median_s * _SLOW_FACTOR
            and now - pace.sampled_at <= _MAX_SAMPLE_AGE_S
        )
