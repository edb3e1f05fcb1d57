"""Learned times of stages, from handing over a job to its last result.

Each rank has its own: higher ranks wait less for a pool that is busy.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

from aspendrift_model.ids import PoolName
from aspendrift_model.routes import PoolSpec, Route
from aspendrift_policy.stage_plan import StageTimes

__all__ = ["StageTimesBook"]

# Weight of the newest job: about the last five jobs count.
_LEARN_WEIGHT: Final = 0.2
# A pool is pressed if its jobs take this many times as long as one full call.
_PRESSED_FACTOR: Final = 1.4


class StageTimesBook:
    """Expected time of a job by pool and rank, in seconds."""

    def __init__(self) -> None:
        self._took_s_by_key: dict[tuple[PoolName, int], float] = {}

    def learn(self, pool: PoolName, rank: int, took_s: float) -> None:
        """Take in the time of a job."""
        key = (pool, rank)
        known = self._took_s_by_key.get(key)
        if known is None:
            self._took_s_by_key[key] = took_s
        else:
            self._took_s_by_key[key] = known + _LEARN_WEIGHT * (took_s - known)

    def times(
        self, route: Route, rank: int, pools_by_name: Mapping[PoolName, PoolSpec]
    ) -> StageTimes:
        """Return the expected time of each stage of a route."""
        return StageTimes(
            {
                stage.index: self._expected_s(stage.pool, rank, pools_by_name)
                for stage in route.stages
            }
        )

    def is_pressed(
        self, pool: PoolName, rank: int, pools_by_name: Mapping[PoolName, PoolSpec]
    ) -> bool:
        """Return whether jobs of a pool wait for turns or for memory."""
        learned = self._took_s_by_key.get((pool, rank))
        if learned is None:
            return False
        return learned > _PRESSED_FACTOR * _full_call_s(pools_by_name.get(pool))

    def _expected_s(
        self, pool: PoolName, rank: int, pools_by_name: Mapping[PoolName, PoolSpec]
    ) -> float:
        """Return a learned time; before any job, that of a full call."""
        learned = self._took_s_by_key.get((pool, rank))
        if learned is not None:
            return learned
        return _full_call_s(pools_by_name.get(pool))


def _full_call_s(spec: PoolSpec | None) -> float:
    if spec is None or spec.pieces is None:
        return 0.0
    return spec.pieces.full_call_s
