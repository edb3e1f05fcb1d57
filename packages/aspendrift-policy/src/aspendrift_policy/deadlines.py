"""Deadlines of stages and attempts, derived from the deadline of the request."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from aspendrift_model.profiles import Stage

__all__ = ["attempt_timeout_s", "expected_s", "stage_deadline_at"]

_MS_PER_S: Final = 1000.0
_FIRST_ATTEMPT_SHARE: Final = 0.5
_EXPECTED_TIME_FACTOR: Final = 4.0


def expected_s(stages: Sequence[Stage]) -> float:
    """Return the expected service time of stages, in seconds."""
    return sum(stage.expected_ms for stage in stages) / _MS_PER_S


def stage_deadline_at(
    now: float,
    deadline_at: float,
    stage: Stage,
    later: Sequence[Stage],
    reserve_s: float = 0.0,
) -> float:
    """Return the latest end of a stage that leaves enough time for the later ones.

    Parameters
    ----------
    now, deadline_at : float
        Current time and deadline of the request, monotonic seconds.
    later : sequence of Stage
        Stages that still have to run afterwards.
    reserve_s : float
        Time to reserve after the last stage, in seconds.

    Notes
    -----
    When the remaining time is shorter than the expected time of all stages, it
    is divided in proportion to the expected time of each.
    """
    later_s = expected_s(later) + reserve_s
    own_s = expected_s([stage])
    remaining_s = max(0.0, deadline_at - now)
    if remaining_s >= own_s + later_s or own_s + later_s <= 0:
        return now + remaining_s - min(later_s, remaining_s)
    return now + remaining_s * own_s / (own_s + later_s)


def attempt_timeout_s(
    now: float, deadline_at: float, stage: Stage, *, may_retry: bool
) -> float:
    """Return how long one attempt of a stage may take, in seconds.

    An attempt that may be retried leaves half of the remaining time to the next
    one, unless a multiple of its expected time is longer.
    """
    remaining_s = max(0.0, deadline_at - now)
    if not may_retry:
        return remaining_s
    needed_s = expected_s([stage]) * _EXPECTED_TIME_FACTOR
    return min(remaining_s, max(remaining_s * _FIRST_ATTEMPT_SHARE, needed_s))
