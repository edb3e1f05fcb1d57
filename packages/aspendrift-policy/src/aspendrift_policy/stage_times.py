"""Learned times of stages, from the submission of a stage job to its last result.

Times are learned per rank, because jobs of a lower rank number wait less for a busy
pool.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

from aspendrift_model.ids import PoolName
from aspendrift_model.routes import PoolSpec, Route
from aspendrift_policy.stage_plan import StageTimes

__all__ = ["StageTimeEstimates"]

# Weight of the newest job in the moving average, which covers about the last five jobs.
_JOB_TIME_WEIGHT: Final = 0.2
# A pool is contended if its jobs take this many times as long as one full batch call.
_CONTENTION_FACTOR: Final = 1.4


class StageTimeEstimates:
    """Expected time of a stage job by pool and rank, in seconds."""

    def __init__(self) -> None:
        self._mean_s_by_key: dict[tuple[PoolName, int], float] = {}

    def record(self, pool: PoolName, rank: int, took_s: float) -> None:
        """Record the time of a stage job."""
        key = (pool, rank)
        known = self._mean_s_by_key.get(key)
        if known is None:
            self._mean_s_by_key[key] = took_s
        else:
            self._mean_s_by_key[key] = known + _JOB_TIME_WEIGHT * (took_s - known)

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

    def is_congested(
        self, pool: PoolName, rank: int, pools_by_name: Mapping[PoolName, PoolSpec]
    ) -> bool:
        """Return whether jobs of a pool wait for slots or memory."""
        learned = self._mean_s_by_key.get((pool, rank))
        if learned is None:
            return False
        return learned > _CONTENTION_FACTOR * _full_call_s(pools_by_name.get(pool))

    def _expected_s(
        self, pool: PoolName, rank: int, pools_by_name: Mapping[PoolName, PoolSpec]
    ) -> float:
        """Return the learned time; before the first job, the time of a full call."""
        learned = self._mean_s_by_key.get((pool, rank))
        if learned is not None:
            return learned
        return _full_call_s(pools_by_name.get(pool))


def _full_call_s(spec: PoolSpec | None) -> float:
    if spec is None or spec.pieces is None:
        return 0.0
    return spec.pieces.full_call_s
