"""Whether the whole chain of stages can still serve a request in time.

Answers a load above what a stage pool can do, for seconds at a time: a request that
can't be done within its deadline is refused before any of its pieces is made, with
the time at which there is likely room, so that the work and the memory go to those
that can be served.

A pool's owner measures what its pool does and what waits, by rank; every daemon
predicts from the newest measures. Higher ranks go first, so a rank has what is left
of the pool after what arrives above it.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from aspendrift_model.ids import PoolName
from aspendrift_model.routes import PoolSpec, Route, StageSpec
from aspendrift_policy.load_estimate import DecayedRate

__all__ = [
    "Admit",
    "Chain",
    "ChainAdmission",
    "PoolMeasures",
    "PoolMeter",
    "RankLoad",
    "RefuseChain",
]

# Window of the measured rates: some calls long, a fraction of a surge.
_RATE_WINDOW_S: Final = 2.0
# A pool counts as saturated once pieces have waited for this long without a pause;
# before, its measured rate is that of the demand.
_SATURATED_S: Final = 0.5
# Least share of a pool that a rank is taken to have: with less, no prediction holds.
_LEAST_SHARE: Final = 0.05
# Measures older than this say nothing.
_MEASURES_S: Final = 1.5
# Share of the time left that a prediction may take: it errs to both sides.
_TIME_SHARE: Final = 0.9
# Share of one turn of all targets that may wait before a pool is backlogged.
_BACKLOG_SHARE: Final = 0.5
# Bounds of the time to come back, and its spread, so that returns don't meet.
_LEAST_RETRY_S: Final = 0.5
_MOST_RETRY_S: Final = 4.0
_RETRY_SPREAD: Final = 0.3


@dataclass(frozen=True, slots=True)
class RankLoad:
    """Pieces of one rank: those that wait, and those that arrive in a second."""

    rank: int
    n_waiting: int
    arrivals_per_s: float


@dataclass(frozen=True, slots=True)
class PoolMeasures:
    """What the owner of a pool measured.

    Parameters
    ----------
    made_per_s : float
        Pieces that the pool makes in a second; 0 unless it is saturated.
    """

    made_per_s: float
    loads: tuple[RankLoad, ...]

    def wait_s(self, rank: int, nominal_per_s: float) -> float:
        """Return the expected wait of a new piece of a rank."""
        n_ahead = sum(each.n_waiting for each in self.loads if each.rank <= rank)
        if n_ahead == 0:
            return 0.0
        able = self.made_per_s or nominal_per_s
        above = sum(each.arrivals_per_s for each in self.loads if each.rank < rank)
        return n_ahead / max(able - above, able * _LEAST_SHARE, 1e-9)


class PoolMeter:
    """Measures one pool at its owner."""

    def __init__(self) -> None:
        # Made since pieces began to wait.
        self._made = DecayedRate(_RATE_WINDOW_S)
        self._arrivals_by_rank: dict[int, DecayedRate] = {}
        self._waiting_since: float | None = None

    def arrived(self, rank: int, n_pieces: int, now: float) -> None:
        """Note pieces that were submitted."""
        rate = self._arrivals_by_rank.setdefault(rank, DecayedRate(_RATE_WINDOW_S))
        rate.add(n_pieces, now)

    def made(self, n_pieces: int, now: float) -> None:
        """Note pieces that were made."""
        self._made.add(n_pieces, now)

    def measures(self, waiting_by_rank: Mapping[int, int], now: float) -> PoolMeasures:
        """Return the measures now; called a few times a second."""
        if not any(waiting_by_rank.values()):
            self._waiting_since = None
        elif self._waiting_since is None:
            self._waiting_since = now
            self._made = DecayedRate(_RATE_WINDOW_S)
        ranks = sorted(set(waiting_by_rank) | set(self._arrivals_by_rank))
        loads = tuple(
            RankLoad(rank, waiting_by_rank.get(rank, 0), self._per_s(rank, now))
            for rank in ranks
        )
        return PoolMeasures(self._made_per_s(now), loads)

    def _made_per_s(self, now: float) -> float:
        """Return what the pool makes while pieces wait; 0 if that is not known yet.

        A decayed rate approaches the true one from 0 while its window fills.
        """
        waited_s = 0.0 if self._waiting_since is None else now - self._waiting_since
        if waited_s < _SATURATED_S:
            return 0.0
        return self._made.per_s(now) / -math.expm1(-waited_s / _RATE_WINDOW_S)

    def _per_s(self, rank: int, now: float) -> float:
        rate = self._arrivals_by_rank.get(rank)
        return 0.0 if rate is None else rate.per_s(now)


@dataclass(frozen=True, slots=True)
class Chain:
    """The stages that a request needs, and the pools that make them.

    Parameters
    ----------
    n_pieces : sequence of int
        Pieces of each stage, by its index.
    targets_by_pool : mapping
        Usable targets of each pool.
    """

    route: Route
    n_pieces: Sequence[int]
    rank: int
    targets_by_pool: Mapping[PoolName, int]
    pools_by_name: Mapping[PoolName, PoolSpec]

    def stages(self) -> Iterator[tuple[StageSpec, int]]:
        """Return each stage with its number of pieces."""
        for stage in self.route.stages:
            has_count = stage.index < len(self.n_pieces)
            yield stage, self.n_pieces[stage.index] if has_count else 0


@dataclass(frozen=True, slots=True)
class Admit:
    """The request can be done; the prediction is for the log."""

    predicted_s: float


@dataclass(frozen=True, slots=True)
class RefuseChain:
    """The request can't be done in time."""

    predicted_s: float
    retry_after_s: float


class ChainAdmission:
    """Predicts chains of stages from the newest measures of their pools."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._measures_by_pool: dict[PoolName, tuple[float, PoolMeasures]] = {}

    def measured(self, pool: PoolName, measures: PoolMeasures, now: float) -> None:
        """Take in the measures of a pool."""
        self._measures_by_pool[pool] = (now, measures)

    def decide(self, chain: Chain, left_s: float, now: float) -> Admit | RefuseChain:
        """Admit or refuse a request before its first piece.

        Parameters
        ----------
        left_s : float
            Time left for the stages.
        """
        done_s: dict[int, float] = {}
        for stage, count in chain.stages():
            begins_s = max((done_s.get(each, 0.0) for each in stage.after), default=0.0)
            if count == 0:
                done_s[stage.index] = begins_s
                continue
            spec = chain.pools_by_name.get(stage.pool)
            wait_s = self._wait_s(chain, stage.pool, now)
            done_s[stage.index] = begins_s + wait_s + _make_s(spec, count)
        predicted_s = max(done_s.values(), default=0.0)
        if predicted_s <= left_s * _TIME_SHARE:
            return Admit(predicted_s)
        return RefuseChain(predicted_s, self.retry_s(chain, now))

    def is_backlogged(
        self,
        pool: PoolName,
        spec: PoolSpec | None,
        n_targets: int,
        rank: int,
        now: float,
    ) -> bool:
        """Return whether more waits ahead of a rank than a turn of half the targets."""
        measured_at, measures = self._measures_by_pool.get(pool, _NOTHING)
        if now - measured_at > _MEASURES_S or spec is None or spec.pieces is None:
            return False
        n_waiting = sum(each.n_waiting for each in measures.loads if each.rank <= rank)
        a_turn = spec.pieces.turn_pieces * max(1, n_targets)
        return n_waiting > a_turn * _BACKLOG_SHARE

    def retry_s(self, chain: Chain, now: float) -> float:
        """Return when to come back: after the longest wait that there is now."""
        waits_s = [
            self._wait_s(chain, stage.pool, now)
            for stage, count in chain.stages()
            if count
        ]
        wait_s = max(waits_s, default=0.0)
        bounded_s = min(_MOST_RETRY_S, max(_LEAST_RETRY_S, wait_s))
        return bounded_s * self._rng.uniform(1 - _RETRY_SPREAD, 1 + _RETRY_SPREAD)

    def _wait_s(self, chain: Chain, pool: PoolName, now: float) -> float:
        """Return the expected wait for a turn in a pool."""
        spec = chain.pools_by_name.get(pool)
        measured_at, measures = self._measures_by_pool.get(pool, _NOTHING)
        if now - measured_at > _MEASURES_S or spec is None or spec.pieces is None:
            return 0.0
        n_targets = max(1, chain.targets_by_pool.get(pool, 0))
        return measures.wait_s(chain.rank, n_targets * spec.pieces.pieces_per_s)


_NOTHING: Final = (float("-inf"), PoolMeasures(0.0, ()))


def _make_s(spec: PoolSpec | None, n_pieces: int) -> float:
    """Return the time to make pieces once they have a turn, without a wait."""
    if spec is None or spec.pieces is None:
        return 0.0
    return spec.pieces.work_s(min(n_pieces, spec.pieces.batch))
