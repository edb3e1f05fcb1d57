"""Learns how fast the targets of a pool generate, relative to each other.

Load it answers: a pool whose targets run on different hardware, which nothing states.
Equal shares of the work overload the slow targets and leave the fast ones idle. The
owner of the pool learns the speeds from the gaps between the events of all daemons'
streams.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from statistics import median
from typing import Final

from aspendrift_model.target_entries import TargetKey

__all__ = ["SpeedTracker", "speed_of", "speeds_interval_s"]

# A speed is a power of two in quarters: 1, 1.19, 1.41, 1.68, 2 and their inverses. Each
# change moves cached prompts, so small differences are ignored.
_STEPS_PER_DOUBLING: Final = 4
_MAX_STEP: Final = 4
# Steps that a target has to differ from the median, and then from its present step.
# Load also stretches gaps: up to 1.3 times the median is no difference in speed.
_MIN_STEPS: Final = 1.5
_HYSTERESIS_STEPS: Final = 0.75
# A target that gets more work becomes slower by that, so its speed moves by one step at
# a time, and then not until the average has followed.
_STEP_INTERVAL_S: Final = 2.5
_SMOOTHING_S: Final = 4.0
# Weight of one sample at most, and samples before a target is judged: a machine is
# slowed down for parts of a second.
_MAX_WEIGHT: Final = 0.3
_MIN_SAMPLES: Final = 8
# Targets that form the median of a pool, and the age of their last samples.
_MIN_TARGETS: Final = 4
_MAX_AGE_S: Final = 30.0
# The speeds are sent again at this interval, or more rarely if they take many bytes.
_MIN_SEND_INTERVAL_S: Final = 5.0
_SENT_BYTES_PER_S: Final = 4096.0


@dataclass(slots=True)
class _Speed:
    log_gap: float
    sampled_at: float
    n_samples: int = 1
    step: int = 0
    stepped_at: float = float("-inf")


class SpeedTracker:
    """Speeds of the targets of one pool, at the pool's owner."""

    def __init__(self) -> None:
        self._speed_by_key: dict[TargetKey, _Speed] = {}

    def record(self, key: TargetKey, gap_s: float, now: float) -> None:
        """Record the gap between the events of one stream, in seconds."""
        log_gap = math.log2(max(gap_s, 1e-6))
        known = self._speed_by_key.get(key)
        if known is None:
            self._speed_by_key[key] = _Speed(log_gap, now)
            return
        known.n_samples += 1
        decayed = 1.0 - math.exp(-(now - known.sampled_at) / _SMOOTHING_S)
        weight = max(1.0 / known.n_samples, min(_MAX_WEIGHT, decayed))
        known.log_gap += weight * (log_gap - known.log_gap)
        known.sampled_at = now

    def steps(self, now: float) -> dict[TargetKey, int]:
        """Return the steps of the targets whose speed differs from the median."""
        for key, speed in list(self._speed_by_key.items()):
            if now - speed.sampled_at > _MAX_AGE_S:
                del self._speed_by_key[key]
        judged = [
            each
            for each in self._speed_by_key.values()
            if each.n_samples >= _MIN_SAMPLES
        ]
        if len(judged) >= _MIN_TARGETS:
            median_gap = median(each.log_gap for each in judged)
            for each in judged:
                _move(each, median_gap, now)
        return {
            key: each.step
            for key, each in sorted(self._speed_by_key.items())
            if each.step
        }


def speed_of(step: int) -> float:
    """Return a speed relative to the median of the pool."""
    bounded = max(-_MAX_STEP, min(_MAX_STEP, step))
    return float(2.0 ** (bounded / _STEPS_PER_DOUBLING))


def speeds_interval_s(n_bytes: int) -> float:
    """Return the time until speeds that took this many bytes are sent again."""
    return max(_MIN_SEND_INTERVAL_S, n_bytes / _SENT_BYTES_PER_S)


def _move(speed: _Speed, median_gap: float, now: float) -> None:
    """Move a speed by at most one step towards what was measured."""
    if now - speed.stepped_at < _STEP_INTERVAL_S:
        return
    measured = (median_gap - speed.log_gap) * _STEPS_PER_DOUBLING
    threshold = _HYSTERESIS_STEPS if speed.step else _MIN_STEPS
    if abs(measured - speed.step) <= threshold:
        return
    step = speed.step + (1 if measured > speed.step else -1)
    speed.step = max(-_MAX_STEP, min(_MAX_STEP, step))
    speed.stepped_at = now
