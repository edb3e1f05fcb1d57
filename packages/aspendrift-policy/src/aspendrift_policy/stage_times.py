"""Learned times of stages and of the batch calls of a pool.

The time of a stage job, from its submission to its last result, includes the waiting.
It is learned per rank, because jobs of a lower rank number wait less for a busy pool.
The time of a batch call has no waiting; the owner of the pool learns it.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

from aspendrift_model.ids import PoolName
from aspendrift_model.routes import PieceLimits, PoolSpec, Route
from aspendrift_policy.stage_plan import StageTimes

__all__ = ["CallTimes", "StageTimeEstimates"]

# Weight of the newest job in the moving average, which covers about the last five jobs.
_JOB_TIME_WEIGHT: Final = 0.2
# A pool is contended if its jobs take this many times as long as one full batch call.
_CONTENTION_FACTOR: Final = 1.4
# Share that earlier calls keep at each new one: about the last 50 calls count.
_CALL_RETENTION: Final = 0.98
# Calls that the configured times of a call with one piece, and of a full one, count as.
_CONFIGURED_WEIGHT: Final = 1.0
# A call counts with at most this many times its expected time, so that a target that
# hangs does not change the times of the pool.
_MAX_CALL_RATIO: Final = 1.5
# Bounds of the learned times as multiples of the configured ones, which may be off by a
# factor of two.
_MIN_CONFIGURED_RATIO: Final = 0.3
_MAX_CONFIGURED_RATIO: Final = 4.0
# Weight of the newest call in the moving average of the usual call time.
_USUAL_WEIGHT: Final = 0.1


class CallTimes:
    """Fixed time of a pool's calls and time per piece, by weighted least squares.

    Parameters
    ----------
    limits : PieceLimits
        The configured times, which count until calls have been observed.
    """

    def __init__(self, limits: PieceLimits) -> None:
        self._limits = limits
        self.call_s = limits.call_s
        self.piece_s = limits.piece_s
        # Average time of the recent calls, whatever their size.
        self.usual_s = limits.full_call_s
        self._weight = self._n = self._nn = self._t = self._nt = 0.0

    @property
    def full_call_s(self) -> float:
        """Time of a call with the largest number of pieces, in seconds."""
        return self.call_duration_s(self._limits.batch)

    def call_duration_s(self, n_pieces: int) -> float:
        """Return the time of a call with this many pieces, in seconds."""
        return self.call_s + n_pieces * self.piece_s

    def record(self, n_pieces: int, took_s: float) -> None:
        """Record the time of a call that was answered."""
        took_s = min(took_s, _MAX_CALL_RATIO * self.call_duration_s(n_pieces))
        self.usual_s += _USUAL_WEIGHT * (took_s - self.usual_s)
        self._weight = self._weight * _CALL_RETENTION + 1.0
        self._n = self._n * _CALL_RETENTION + n_pieces
        self._nn = self._nn * _CALL_RETENTION + n_pieces * n_pieces
        self._t = self._t * _CALL_RETENTION + took_s
        self._nt = self._nt * _CALL_RETENTION + n_pieces * took_s
        self._fit()

    def _fit(self) -> None:
        limits = self._limits
        weight, n, nn, t, nt = self._weight, self._n, self._nn, self._t, self._nt
        for n_pieces in (1, limits.batch):
            configured_s = limits.call_duration_s(n_pieces)
            weight += _CONFIGURED_WEIGHT
            n += _CONFIGURED_WEIGHT * n_pieces
            nn += _CONFIGURED_WEIGHT * n_pieces * n_pieces
            t += _CONFIGURED_WEIGHT * configured_s
            nt += _CONFIGURED_WEIGHT * n_pieces * configured_s
        spread = weight * nn - n * n
        slope = (weight * nt - n * t) / spread if spread > 0 else limits.piece_s
        self.piece_s = _bounded(slope, limits.piece_s)
        self.call_s = _bounded((t - self.piece_s * n) / weight, limits.call_s)


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


def _bounded(learned_s: float, configured_s: float) -> float:
    return min(
        configured_s * _MAX_CONFIGURED_RATIO,
        max(configured_s * _MIN_CONFIGURED_RATIO, learned_s),
    )
