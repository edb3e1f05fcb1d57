"""Admission control over the stages that a request needs.

Handles overload of a stage pool that lasts for seconds: a request that can't be
completed within its deadline is refused before its first piece is processed, with a
retry delay after which capacity is likely. Work and memory then go to requests that
can be served.

The owner of a pool measures its throughput and its queue by rank; every daemon
predicts from the latest measures. Higher ranks (lower numbers) are served first, so a
rank gets the capacity that the arrivals of higher ranks leave.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from aspendrift_model.ids import PoolName
from aspendrift_model.routes import PoolSpec, Route, StageSpec
from aspendrift_policy.chain_shares import StartShares
from aspendrift_policy.load_estimate import DecayedRate
from aspendrift_policy.stage_plan import StageTimes

__all__ = [
    "Admit",
    "Chain",
    "ChainAdmission",
    "HoldChain",
    "PoolMeasures",
    "PoolMeter",
    "RankLoad",
    "RefuseChain",
]

# Window of the measured rates: several batch calls, and a fraction of a surge.
_RATE_WINDOW_S: Final = 2.0
# A pool counts as saturated once pieces have been waiting continuously for this long;
# until then its measured rate reflects the demand rather than the capacity.
_SATURATION_DELAY_S: Final = 0.5
# Smallest share of a pool's capacity assumed for a rank; predictions with less are
# unreliable.
_MIN_CAPACITY_SHARE: Final = 0.05
# Older measures are ignored.
_MEASURES_MAX_AGE_S: Final = 1.5
# Share of the remaining time that the prediction may fill; it errs in both directions.
_MAX_PREDICTED_SHARE: Final = 0.9
# A pool is backlogged when the waiting pieces exceed this share of those that all its
# targets process at the same time.
_BACKLOG_SHARE: Final = 0.5
# Bounds of the retry delay, and its jitter, which keeps retries from coinciding.
_MIN_RETRY_S: Final = 0.5
_MAX_RETRY_S: Final = 4.0
_RETRY_JITTER: Final = 0.3
# Longest hold of a chain, as a share of its objective; a longer one leaves too little
# time for the stages.
_MAX_HOLD_SHARE: Final = 0.125
# Poll interval of held chains, with jitter so that they don't all start at once.
_HOLD_POLL_S: Final = 0.05
_HOLD_POLL_JITTER: Final = 0.4
# Smallest share of the capacity assumed beside higher ranks: the share that each rank
# keeps in an overload.
_MIN_START_CAPACITY: Final = 0.25
# The predicted time until the last stage is completed varies by this share; drawn for
# each chain, so that daemons with the same measures don't all decide the same.
_PREDICTION_JITTER: Final = 0.1
# Time constant with which refused work that was not reported yet is forgotten.
_REFUSED_WINDOW_S: Final = 2.0


@dataclass(frozen=True, slots=True)
class RankLoad:
    """Waiting pieces and arrival rate of one rank."""

    rank: int
    n_waiting: int
    arrivals_per_s: float


_ALL_START: Final = StartShares()


@dataclass(frozen=True, slots=True)
class PoolMeasures:
    """Throughput and load of a pool, measured by its owner.

    Parameters
    ----------
    completed_per_s : float
        Pieces that the pool completes per second; 0 unless it is saturated.
    capacity_per_s : float
        Pieces that its usable targets complete per second with full calls; 0 if that
        is unknown.
    usual_call_s, call_s, piece_s : float
        Average time of the recent calls, fixed time of a call and time per piece, as
        learned; 0 if they are unknown.
    on_time : tuple
        Rank and number of waiting pieces of jobs that can be on time.
    shares : StartShares
        Shares of the chains that start.
    """

    completed_per_s: float
    loads: tuple[RankLoad, ...]
    capacity_per_s: float = 0.0
    usual_call_s: float = 0.0
    call_s: float = 0.0
    piece_s: float = 0.0
    on_time: tuple[tuple[int, int], ...] = ()
    shares: StartShares = _ALL_START

    def start_wait_s(self, rank: int) -> float:
        """Return the expected wait of a new piece that can be on time.

        Overdue work goes after it and is not counted.
        """
        n_ahead = sum(count for each, count in self.on_time if each <= rank)
        if n_ahead == 0 or self.capacity_per_s <= 0:
            return 0.0
        higher_ranks_per_s = sum(
            each.arrivals_per_s for each in self.loads if each.rank < rank
        )
        return n_ahead / max(
            self.capacity_per_s - higher_ranks_per_s,
            self.capacity_per_s * _MIN_START_CAPACITY,
        )

    def wait_s(self, rank: int, nominal_per_s: float) -> float:
        """Return the expected wait of a new piece of a rank."""
        n_ahead = sum(each.n_waiting for each in self.loads if each.rank <= rank)
        if n_ahead == 0:
            return 0.0
        capacity_per_s = self.completed_per_s or nominal_per_s
        higher_ranks_per_s = sum(
            each.arrivals_per_s for each in self.loads if each.rank < rank
        )
        return n_ahead / max(
            capacity_per_s - higher_ranks_per_s,
            capacity_per_s * _MIN_CAPACITY_SHARE,
            1e-9,
        )


class PoolMeter:
    """Measures the throughput and arrivals of one pool at its owner."""

    def __init__(self) -> None:
        # Completion rate since the queue last became non-empty.
        self._completed = DecayedRate(_RATE_WINDOW_S)
        self._arrivals_by_rank: dict[int, DecayedRate] = {}
        self._waiting_since: float | None = None

    def record_arrivals(self, rank: int, n_pieces: int, now: float) -> None:
        """Record pieces that were submitted."""
        rate = self._arrivals_by_rank.setdefault(rank, DecayedRate(_RATE_WINDOW_S))
        rate.add(n_pieces, now)

    def record_completions(self, n_pieces: int, now: float) -> None:
        """Record pieces that were completed."""
        self._completed.add(n_pieces, now)

    def restart(self) -> None:
        """Measure the throughput anew: this process stood still, not the pool."""
        self._waiting_since = None

    def measures(self, waiting_by_rank: Mapping[int, int], now: float) -> PoolMeasures:
        """Return the current measures; called a few times per second."""
        if not any(waiting_by_rank.values()):
            self._waiting_since = None
        elif self._waiting_since is None:
            self._waiting_since = now
            self._completed = DecayedRate(_RATE_WINDOW_S)
        ranks = sorted(set(waiting_by_rank) | set(self._arrivals_by_rank))
        loads = tuple(
            RankLoad(rank, waiting_by_rank.get(rank, 0), self._per_s(rank, now))
            for rank in ranks
        )
        return PoolMeasures(self._completed_per_s(now), loads)

    def _completed_per_s(self, now: float) -> float:
        """Return the throughput while pieces wait; 0 if it is not known yet.

        A decayed rate rises from 0 while its window fills, which is corrected here.
        """
        waited_s = 0.0 if self._waiting_since is None else now - self._waiting_since
        if waited_s < _SATURATION_DELAY_S:
            return 0.0
        return self._completed.per_s(now) / -math.expm1(-waited_s / _RATE_WINDOW_S)

    def _per_s(self, rank: int, now: float) -> float:
        rate = self._arrivals_by_rank.get(rank)
        return 0.0 if rate is None else rate.per_s(now)


@dataclass(frozen=True, slots=True)
class Chain:
    """The stages that a request needs, and the pools that process them.

    Parameters
    ----------
    n_pieces : sequence of int
        Number of pieces of each stage, by stage index.
    targets_by_pool : mapping
        Number of usable targets of each pool.
    """

    route: Route
    n_pieces: Sequence[int]
    rank: int
    targets_by_pool: Mapping[PoolName, int]
    pools_by_name: Mapping[PoolName, PoolSpec]

    def stages(self) -> Iterator[tuple[StageSpec, int]]:
        """Yield each stage with its number of pieces."""
        for stage in self.route.stages:
            has_count = stage.index < len(self.n_pieces)
            yield stage, self.n_pieces[stage.index] if has_count else 0


@dataclass(frozen=True, slots=True)
class Admit:
    """The request is admitted; the prediction is for the log."""

    predicted_s: float


@dataclass(frozen=True, slots=True)
class RefuseChain:
    """The request can't be completed in time.

    ``share`` of the chains of its rank and account start at present.
    """

    predicted_s: float
    retry_after_s: float
    share: float = 1.0


@dataclass(frozen=True, slots=True)
class HoldChain:
    """The request waits shortly, and is decided again."""

    poll_s: float


@dataclass(frozen=True, slots=True)
class _Outlook:
    """What the latest measures predict for a chain.

    Parameters
    ----------
    on_time_s : float
        Time until the last stage is completed behind work that can be on time.
    share : float
        Share of such chains that start.
    is_partial : bool
        Whether the owner of a pool sent no capacity: it has no usable target, or runs
        an earlier version.
    """

    on_time_s: float
    share: float
    is_partial: bool


class ChainAdmission:
    """Admits requests by the latest measures of the pools of their stages."""

    # Whether objectives of stage jobs are set by service times, without waiting.
    is_rationed = True

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        # Time and number of the refused pieces that no job has reported yet.
        self._refused_by_key: dict[tuple[PoolName, int, int], tuple[float, float]] = {}
        self._measures_by_pool: dict[PoolName, tuple[float, PoolMeasures]] = {}

    def update_measures(
        self, pool: PoolName, measures: PoolMeasures, now: float
    ) -> None:
        """Record the measures of a pool."""
        self._measures_by_pool[pool] = (now, measures)

    def decide(
        self, chain: Chain, remaining_s: float, now: float
    ) -> Admit | RefuseChain:
        """Admit or refuse a request before its first piece is processed.

        Parameters
        ----------
        remaining_s : float
            Time remaining for the stages.
        """
        end_s_by_index: dict[int, float] = {}
        for stage, count in chain.stages():
            start_s = max(
                (end_s_by_index.get(each, 0.0) for each in stage.after), default=0.0
            )
            if count == 0:
                end_s_by_index[stage.index] = start_s
                continue
            spec = chain.pools_by_name.get(stage.pool)
            wait_s = self._wait_s(chain, stage.pool, now)
            end_s_by_index[stage.index] = (
                start_s + wait_s + _processing_time_s(spec, count)
            )
        predicted_s = max(end_s_by_index.values(), default=0.0)
        if predicted_s <= remaining_s * _MAX_PREDICTED_SHARE:
            return Admit(predicted_s)
        return RefuseChain(predicted_s, self.retry_after_s(chain, now))

    def decide_start(
        self,
        chain: Chain,
        account: int,
        objective_left_s: float,
        remaining_s: float,
        held_s: float,
        now: float,
    ) -> Admit | HoldChain | RefuseChain:
        """Start a chain, on time or late, or hold it shortly, or refuse it.

        Parameters
        ----------
        account : int
            Hash of the client account; 0 without one.
        objective_left_s, remaining_s : float
            Time remaining for the stages within the objective, and until the caller
            times out.
        held_s : float
            Time for which the chain has been held.
        """
        outlook = self._outlook(chain, account, now)
        if outlook.is_partial:
            return self.decide(chain, remaining_s, now)
        jitter = self._rng.uniform(1 - _PREDICTION_JITTER, 1 + _PREDICTION_JITTER)
        excess_s = outlook.on_time_s * jitter - objective_left_s
        if excess_s <= 0 and self._rng.random() < outlook.share:
            return Admit(outlook.on_time_s)
        if excess_s > 0 and outlook.share >= 1.0:
            # No work that can be on time needs the whole capacity.
            max_hold_s = _MAX_HOLD_SHARE * chain.route.objective_s
            if excess_s <= max_hold_s - held_s:
                return HoldChain(self._hold_poll_s())
            late = self.decide(chain, remaining_s, now)
            if isinstance(late, Admit):
                return late
        self._record_refused(chain, account, now)
        return RefuseChain(
            outlook.on_time_s,
            self._spread_retry_s(chain, outlook.share, now),
            outlook.share,
        )

    def take_refused(
        self, pool: PoolName, rank: int, account: int, now: float
    ) -> float:
        """Return the refused pieces that the next job reports to the pool's owner."""
        at, n_pieces = self._refused_by_key.pop((pool, rank, account), (now, 0.0))
        return n_pieces * math.exp((at - now) / _REFUSED_WINDOW_S)

    def _outlook(self, chain: Chain, account: int, now: float) -> _Outlook:
        end_s_by_index: dict[int, float] = {}
        share = 1.0
        is_partial = False
        for stage, count in chain.stages():
            end_s = max(
                (end_s_by_index.get(each, 0.0) for each in stage.after), default=0.0
            )
            if count:
                end_s += self._service_s(stage.pool, count, chain.pools_by_name)
                measured_at, measures = self._measures_by_pool.get(
                    stage.pool, _NO_MEASURES
                )
                if now - measured_at <= _MEASURES_MAX_AGE_S:
                    is_partial |= measures.capacity_per_s <= 0
                    share = min(share, measures.shares.of(chain.rank, account))
                    end_s += measures.start_wait_s(chain.rank)
            end_s_by_index[stage.index] = end_s
        on_time_s = max(end_s_by_index.values(), default=0.0)
        return _Outlook(on_time_s, share, is_partial)

    def _record_refused(self, chain: Chain, account: int, now: float) -> None:
        for stage, count in chain.stages():
            if count:
                earlier = self.take_refused(stage.pool, chain.rank, account, now)
                key = (stage.pool, chain.rank, account)
                self._refused_by_key[key] = (now, earlier + count)

    def _hold_poll_s(self) -> float:
        jitter = self._rng.uniform(1 - _HOLD_POLL_JITTER, 1 + _HOLD_POLL_JITTER)
        return _HOLD_POLL_S * jitter

    def _spread_retry_s(self, chain: Chain, share: float, now: float) -> float:
        """Return a retry delay: the backlog, and the time the refused work needs.

        The more chains are refused, the longer it takes to serve them, so the longer
        is the time over which their retries are spread.
        """
        spread_s = min(_MAX_RETRY_S, max(_MIN_RETRY_S, 1 / max(share, 0.01) - 1))
        first_s = self.retry_after_s(chain, now)
        return min(_MAX_RETRY_S, first_s) + self._rng.uniform(0.0, spread_s)

    def service_times(
        self,
        route: Route,
        n_pieces: Mapping[int, int],
        pools_by_name: Mapping[PoolName, PoolSpec],
    ) -> StageTimes:
        """Return the time of each stage of a request without waiting.

        Learned times have no maximum age: they are better than configured ones.

        Parameters
        ----------
        n_pieces : mapping
            Number of pieces of each stage that the request has, by stage index.
        """
        return StageTimes(
            {
                stage.index: self._service_s(
                    stage.pool, n_pieces.get(stage.index, 0), pools_by_name
                )
                for stage in route.stages
            }
        )

    def _service_s(
        self,
        pool: PoolName,
        n_pieces: int,
        pools_by_name: Mapping[PoolName, PoolSpec],
    ) -> float:
        spec = pools_by_name.get(pool)
        if spec is None or spec.pieces is None or n_pieces == 0:
            return 0.0
        _, measures = self._measures_by_pool.get(pool, _NO_MEASURES)
        n_pieces = min(n_pieces, spec.pieces.batch)
        if not measures.call_s:
            return spec.pieces.call_duration_s(n_pieces)
        own_s = measures.call_s + n_pieces * measures.piece_s
        return max(own_s, measures.usual_call_s)

    def is_backlogged(
        self,
        pool: PoolName,
        spec: PoolSpec | None,
        n_targets: int,
        rank: int,
        now: float,
    ) -> bool:
        """Return whether the pieces ahead of a rank exceed the backlog limit."""
        measured_at, measures = self._measures_by_pool.get(pool, _NO_MEASURES)
        if (
            now - measured_at > _MEASURES_MAX_AGE_S
            or spec is None
            or spec.pieces is None
        ):
            return False
        n_waiting = sum(each.n_waiting for each in measures.loads if each.rank <= rank)
        concurrent_pieces = spec.pieces.max_concurrent_pieces * max(1, n_targets)
        return n_waiting > concurrent_pieces * _BACKLOG_SHARE

    def retry_after_s(self, chain: Chain, now: float) -> float:
        """Return the retry delay: the longest present wait of a pool, with jitter."""
        waits_s = [
            self._wait_s(chain, stage.pool, now)
            for stage, count in chain.stages()
            if count
        ]
        wait_s = max(waits_s, default=0.0)
        bounded_s = min(_MAX_RETRY_S, max(_MIN_RETRY_S, wait_s))
        return bounded_s * self._rng.uniform(1 - _RETRY_JITTER, 1 + _RETRY_JITTER)

    def _wait_s(self, chain: Chain, pool: PoolName, now: float) -> float:
        """Return the expected queue time in a pool."""
        spec = chain.pools_by_name.get(pool)
        measured_at, measures = self._measures_by_pool.get(pool, _NO_MEASURES)
        if (
            now - measured_at > _MEASURES_MAX_AGE_S
            or spec is None
            or spec.pieces is None
        ):
            return 0.0
        n_targets = max(1, chain.targets_by_pool.get(pool, 0))
        return measures.wait_s(chain.rank, n_targets * spec.pieces.pieces_per_s)


_NO_MEASURES: Final = (float("-inf"), PoolMeasures(0.0, ()))


def _processing_time_s(spec: PoolSpec | None, n_pieces: int) -> float:
    """Return the time to process pieces in one batch call, without queue time."""
    if spec is None or spec.pieces is None:
        return 0.0
    return spec.pieces.call_duration_s(min(n_pieces, spec.pieces.batch))
