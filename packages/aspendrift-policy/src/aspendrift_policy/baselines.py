"""Simple routers that serve as baselines in measurements."""

from __future__ import annotations

import random

from aspendrift_policy.interfaces import RouteChoice, RouteQuery, RouteReason
from aspendrift_policy.router import Candidate, TargetPool

__all__ = ["RandomLimitRouter", "RoundRobinRouter"]


class RoundRobinRouter:
    """Chooses the targets of a pool round-robin, without a concurrency limit."""

    def __init__(self) -> None:
        self._n_chosen = 0

    def choose(
        self, pool: TargetPool, query: RouteQuery, service_s: float, now: float
    ) -> RouteChoice | None:
        """Return the next target, or None if there is none."""
        candidates = _candidates(pool, query)
        if not candidates:
            return None
        self._n_chosen += 1
        target = candidates[self._n_chosen % len(candidates)].target
        return RouteChoice(target, RouteReason.LEAST_LOADED, ())


class RandomLimitRouter:
    """Chooses a random target with fewer requests of this daemon than slots."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self, pool: TargetPool, query: RouteQuery, service_s: float, now: float
    ) -> RouteChoice | None:
        """Return a random target below its limit, or None if there is none."""
        free = [
            candidate
            for candidate in _candidates(pool, query)
            if candidate.load.own_active < candidate.target.slots
        ]
        if not free:
            return None
        target = self._rng.choice(free).target
        return RouteChoice(target, RouteReason.LEAST_LOADED, ())


def _candidates(pool: TargetPool, query: RouteQuery) -> list[Candidate]:
    return [
        candidate
        for candidate in pool.candidates_by_id.values()
        if not candidate.is_leaving
        and candidate.supports_model(query.stage.model)
        and candidate.target.target_id not in query.excluded
    ]
