"""Selection of a target for one attempt of one stage."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final, Protocol

from aspendrift_model.hosts import Location
from aspendrift_model.ids import ModelName, PrefixKey, TargetId
from aspendrift_model.settings_routing import RoutingSettings
from aspendrift_model.states import AttemptEnd, StageKind, TargetKind, TargetState
from aspendrift_model.targets import LoadReport, Target
from aspendrift_policy.affinity import CacheHints, target_hash, top_targets
from aspendrift_policy.interfaces import (
    CandidateScore,
    RouteChoice,
    RouteQuery,
    RouteReason,
)
from aspendrift_policy.load_estimate import TargetLoad
from aspendrift_policy.outliers import EjectionRules, HealthState, TargetHealth

__all__ = ["Candidate", "Router", "TargetPool", "TwoChoiceRouter"]

_N_CHOICES: Final = 2
_MAX_SAMPLE_DRAWS: Final = 6
_N_AFFINITY_TARGETS: Final = 2
_AFFINITY_GAIN_SHARE: Final = 0.3
_SLOWNESS_WEIGHT: Final = 0.1
_MIN_SLOWNESS: Final = 0.2
_MAX_RANKED_PREFIXES: Final = 4096


class Candidate:
    """One target of a pool with its load, health and learned speed.

    ``allowance`` is the number of requests that this daemon may have in flight at
    the target. It is stored rather than computed on access because each choice reads
    it for many candidates.
    """

    __slots__ = (
        "allowance",
        "distance",
        "hash",
        "health",
        "index",
        "is_leaving",
        "lent_rounding",
        "lists_models",
        "load",
        "models",
        "slowness",
        "target",
    )

    def __init__(
        self, target: Target, distance: int, health: TargetHealth, rounding: float
    ) -> None:
        self.target = target
        self.distance = distance
        self.health = health
        self.lent_rounding = rounding
        self.index = 0
        self.hash = target_hash(target.target_id)
        self.load = TargetLoad(target.slots)
        self.models = frozenset(target.models)
        self.lists_models = bool(target.models)
        self.slowness = 1.0
        self.is_leaving = target.state is not TargetState.ACTIVE
        self.allowance = 0

    def is_open(self) -> bool:
        """Return whether the target accepts new requests, regardless of free slots."""
        return not self.is_leaving and self.health.state is HealthState.OPEN

    def has_free_capacity(self) -> bool:
        """Return whether this daemon may send one more request to the target."""
        return (
            self.load.own_active < self.allowance
            and self.health.state is HealthState.OPEN
            and not self.is_leaving
        )

    def supports_model(self, model: ModelName | None) -> bool:
        """Return whether the target can run a model."""
        if model is None or self.target.kind is not TargetKind.ENGINE:
            return True
        return not self.lists_models or model in self.models

    def update_slowness(self, ratio: float) -> None:
        """Update the slowness from the ratio of measured to predicted attempt time."""
        self.slowness += _SLOWNESS_WEIGHT * (ratio - self.slowness)
        self.slowness = max(_MIN_SLOWNESS, self.slowness)

    def score(self, service_s: float, penalties: Sequence[float]) -> float:
        """Return the estimated time to completion in seconds; lower is better."""
        load = self.load
        n_per_slot = (load.others + load.own_active + 1.0) / load.slots
        return n_per_slot * service_s * self.slowness + penalties[self.distance]


class TargetPool:
    """The targets of one pool that this daemon uses.

    Parameters
    ----------
    settings : RoutingSettings
        Limits and penalties.
    location : Location
        Zone and region of this daemon.
    rng : random.Random
        Source of the random rounding of allowances and of the ejection jitter.
    """

    def __init__(
        self, settings: RoutingSettings, location: Location, rng: random.Random
    ) -> None:
        self._settings = settings
        self._location = location
        self._rng = rng
        self._rules = EjectionRules(
            settings.failures_to_eject,
            settings.ejection_s,
            settings.max_ejection_s,
            settings.slow_start_s,
        )
        self._share = 1.0
        self._rank = 0
        self._is_configured = False
        self._n_slots = 0
        self._outstanding = 0.0
        self._own_active = 0
        self._allowance = 0
        self._ranked_by_prefix: dict[PrefixKey, list[Candidate]] = {}
        self.n_ejected = 0
        self.n_open_slots = 0
        self.last_freed: Candidate | None = None
        self.is_full = False
        self.candidates_by_id: dict[TargetId, Candidate] = {}
        self.tiers: tuple[list[Candidate], list[Candidate], list[Candidate]]
        self.tiers = ([], [], [])

    def __len__(self) -> int:
        return len(self.candidates_by_id)

    def configure(self, targets: Iterable[Target], now: float) -> None:
        """Apply the pool's targets of a newer configuration."""
        kept: dict[TargetId, Candidate] = {}
        for target in targets:
            known = self.candidates_by_id.get(target.target_id)
            if known is None or known.target.url != target.url:
                known = self._new_candidate(target, now)
            known.target = target
            known.is_leaving = target.state is not TargetState.ACTIVE
            kept[target.target_id] = known
        self.candidates_by_id = kept
        self._is_configured = True
        self._assign_tiers()
        self._ranked_by_prefix.clear()
        self.last_freed = None
        self._update_totals()
        self.refresh(self._share, self._rank, now)

    def refresh(self, share: float, rank: int, now: float) -> None:
        """Recompute the allowance of every candidate.

        Parameters
        ----------
        share : float
            This daemon's share of the demand for the pool, from 0 to 1.
        rank : int
            Rank of this daemon among the live daemons.
        now : float
            Current time in seconds.
        """
        self._share = share
        self._rank = rank
        self.is_full = False
        for candidate in self.candidates_by_id.values():
            self._refresh_allowance(candidate, now)
        self._update_totals()
        self._ensure_minimum_allowance()

    def record_sent(self, target_id: TargetId, now: float) -> None:
        """Record a request that is sent to a target."""
        self.candidates_by_id[target_id].load.sent(now)
        self._outstanding += 1.0
        self._own_active += 1

    def record_ended(self, target_id: TargetId, now: float) -> None:
        """Record a request that has ended at a target.

        The count of a target whose address changed restarts at zero, so an end
        without a counted request is ignored.
        """
        candidate = self.candidates_by_id.get(target_id)
        if candidate is None or not candidate.load.own_active:
            return
        candidate.load.ended(now)
        self._outstanding -= 1.0
        self._own_active -= 1
        self.last_freed = candidate
        self.is_full = False

    def apply_report(self, report: LoadReport, now: float) -> None:
        """Apply a load report."""
        candidate = self.candidates_by_id.get(report.target_id)
        if candidate is None:
            return
        candidate.health.poll_answered()
        others_before = candidate.load.others
        candidate.load.reported(report, now)
        self._outstanding += candidate.load.others - others_before
        self.is_full = False
        candidate.lent_rounding = self._rng.random()
        if report.models or candidate.models:
            candidate.models = frozenset(report.models)
            candidate.lists_models = True
        self._refresh_allowance(candidate, now)

    def record_missed_poll(self, target_id: TargetId, now: float) -> None:
        """Record that a target did not answer a load poll."""
        candidate = self.candidates_by_id.get(target_id)
        if candidate is not None:
            candidate.health.poll_missed(now, self._rng)
            self._update_totals()

    def attempt_ended(self, target_id: TargetId, end: AttemptEnd, now: float) -> None:
        """Update a target's health from the end of an attempt."""
        candidate = self.candidates_by_id.get(target_id)
        if candidate is None:
            return
        state_before = candidate.health.state
        candidate.health.attempt_ended(end, now, self._rng, self._may_eject())
        if candidate.health.state is not state_before:
            self._update_totals()
            self._refresh_allowance(candidate, now)

    def may_serve(self, query: RouteQuery, now: float) -> bool:
        """Return whether any target can serve the query now or when a slot is free."""
        return any(
            candidate.supports_model(query.stage.model)
            and candidate.target.target_id not in query.excluded
            and not candidate.is_leaving
            and (candidate.is_open() or candidate.health.may_probe(now))
            for candidate in self.candidates_by_id.values()
        )

    def next_probe_at(self) -> float | None:
        """Return when the next ejected target may be probed, None without one."""
        times = [
            candidate.health.ejected_until
            for candidate in self.candidates_by_id.values()
            if not candidate.is_leaving
            and not candidate.is_open()
            and not candidate.health.is_unreachable
        ]
        return min(times) if times else None

    def due_probe(self, query: RouteQuery, now: float) -> Candidate | None:
        """Return an ejected target that is due for a probe request, or None."""
        if query.is_retry:
            return None
        if not query.profile.contract.idempotent and self.n_open_slots:
            return None
        if not self.n_ejected:
            return None
        for candidate in self.candidates_by_id.values():
            if (
                candidate.health.state is HealthState.EJECTED
                and not candidate.is_leaving
                and candidate.health.may_probe(now)
                and candidate.target.target_id not in query.excluded
                and candidate.supports_model(query.stage.model)
            ):
                return candidate
        return None

    def has_free_capacity(self) -> bool:
        """Return whether this daemon may have more requests in the whole pool.

        When the share changes, its fractions of slots are assigned to other targets.
        Checking only the allowance of each target would therefore let the daemon's
        total exceed its share.
        """
        return self._own_active < self._allowance

    def mean_load(self) -> float:
        """Return the mean number of outstanding requests per slot."""
        return self._outstanding / self._n_slots if self._n_slots else 0.0

    def ranked_for_prefix(self, prefix_key: PrefixKey) -> list[Candidate]:
        """Return the top-ranked targets of the nearest non-empty tier for a prefix."""
        known = self._ranked_by_prefix.get(prefix_key)
        if known is not None:
            return known
        near = self.tiers[0] or self.tiers[1] or self.tiers[2]
        hashes = [candidate.hash for candidate in near]
        ranked = [near[i] for i in top_targets(prefix_key, hashes, _N_AFFINITY_TARGETS)]
        if len(self._ranked_by_prefix) >= _MAX_RANKED_PREFIXES:
            self._ranked_by_prefix.clear()
        self._ranked_by_prefix[prefix_key] = ranked
        return ranked

    def _new_candidate(self, target: Target, now: float) -> Candidate:
        opened_at = now if self._is_configured else -math.inf
        distance = 2
        if target.zone == self._location.zone:
            distance = 0
        elif target.region == self._location.region:
            distance = 1
        health = TargetHealth(self._rules, opened_at)
        return Candidate(target, distance, health, self._rng.random())

    def _ensure_minimum_allowance(self) -> None:
        """Allow one request at one target if every allowance rounds to zero."""
        open_candidates = [c for c in self.candidates_by_id.values() if c.is_open()]
        if open_candidates and not any(
            candidate.allowance for candidate in open_candidates
        ):
            open_candidates[self._rank % len(open_candidates)].allowance = 1
            self._allowance = 1

    def _assign_tiers(self) -> None:
        self.tiers = ([], [], [])
        for index, target_id in enumerate(sorted(self.candidates_by_id)):
            self.candidates_by_id[target_id].index = index
        for candidate in self.candidates_by_id.values():
            if not candidate.is_leaving:
                self.tiers[candidate.distance].append(candidate)

    def _refresh_allowance(self, candidate: Candidate, now: float) -> None:
        share = self._share * candidate.health.slow_start_share(now)
        self._allowance -= candidate.allowance
        candidate.allowance = candidate.load.allowance(
            share, candidate.index + self._rank, candidate.lent_rounding
        )
        self._allowance += candidate.allowance

    def _update_totals(self) -> None:
        candidates = self.candidates_by_id.values()
        n_open, n_ejected = 0, 0
        for candidate in candidates:
            if candidate.is_open():
                n_open += candidate.load.slots
            elif not candidate.is_leaving:
                n_ejected += 1
        self.n_open_slots, self.n_ejected = n_open, n_ejected
        self._n_slots = sum(candidate.load.slots for candidate in candidates)
        self._outstanding = sum(candidate.load.outstanding for candidate in candidates)
        self._own_active = sum(candidate.load.own_active for candidate in candidates)
        self._allowance = sum(candidate.allowance for candidate in candidates)

    def _may_eject(self) -> bool:
        n_active = sum(len(tier) for tier in self.tiers)
        return self.n_ejected + 1 <= self._settings.max_ejected_share * n_active


class Router(Protocol):
    """Chooses among the targets of a pool that have a free slot."""

    def choose(
        self, pool: TargetPool, query: RouteQuery, service_s: float, now: float
    ) -> RouteChoice | None:
        """Return a choice, or None if no eligible target has a free slot."""


@dataclass(slots=True)
class TwoChoiceRouter:
    """Power of two choices with zone preference and prefix affinity.

    Parameters
    ----------
    settings : RoutingSettings
        Penalties for other zones and regions, and the load bound of affinity.
    hints : CacheHints
        Prefixes that engines reported as cached.
    rng : random.Random
        Source of the random samples.
    """

    settings: RoutingSettings
    hints: CacheHints
    rng: random.Random

    def choose(
        self, pool: TargetPool, query: RouteQuery, service_s: float, now: float
    ) -> RouteChoice | None:
        """Return a choice, or None if no eligible target has a free slot.

        Parameters
        ----------
        pool : TargetPool
            Targets to choose from.
        query : RouteQuery
            The attempt that needs a target.
        service_s : float
            Predicted service time in seconds.
        now : float
            Current time in seconds.
        """
        probe = pool.due_probe(query, now)
        if probe is not None:
            probe.health.probe_sent()
            return RouteChoice(probe.target, RouteReason.PROBE, ())
        if query.avoid_sharing:
            return self._least_loaded(pool, query, service_s)
        if pool.is_full or not pool.has_free_capacity():
            return None
        sample = self._sample(pool, query)
        if not sample:
            pool.is_full = not query.excluded and query.stage.model is None
            return None
        penalties = self._penalties()
        scored = sorted(
            ((c.score(service_s, penalties), i, c) for i, c in enumerate(sample)),
        )
        scores = tuple(
            CandidateScore(candidate.target.target_id, score)
            for score, _, candidate in scored
        )
        affine = self._affinity_candidate(pool, query)
        if affine is not None:
            score = affine.score(service_s, penalties)
            if score <= scored[0][0] + _AFFINITY_GAIN_SHARE * service_s:
                all_scores = (CandidateScore(affine.target.target_id, score), *scores)
                return RouteChoice(
                    affine.target, RouteReason.PREFIX_AFFINITY, all_scores
                )
        best = scored[0][2]
        return RouteChoice(best.target, _reason(best, sample), scores)

    def _penalties(self) -> tuple[float, float, float]:
        settings = self.settings
        return (0.0, settings.cross_zone_penalty_s, settings.cross_region_penalty_s)

    def _sample(self, pool: TargetPool, query: RouteQuery) -> list[Candidate]:
        near = self._sample_tier(pool.tiers[0], query)
        near += self._sample_tier(pool.tiers[1], query)
        near = near or self._sample_tier(pool.tiers[2], query)
        if near:
            return near
        if pool.last_freed is not None and _is_eligible(pool.last_freed, query):
            return [pool.last_freed]
        return self._first_free(pool, query)

    def _first_free(self, pool: TargetPool, query: RouteQuery) -> list[Candidate]:
        for tier in pool.tiers:
            start = int(self.rng.random() * len(tier))
            for i in range(len(tier)):
                candidate = tier[i - start]
                if candidate.has_free_capacity() and _is_eligible(candidate, query):
                    return [candidate]
        return []

    def _sample_tier(
        self, tier: Sequence[Candidate], query: RouteQuery
    ) -> list[Candidate]:
        n_candidates = len(tier)
        if n_candidates <= _N_CHOICES:
            return [c for c in tier if _is_eligible(c, query)]
        found: list[Candidate] = []
        for _ in range(_MAX_SAMPLE_DRAWS):
            candidate = tier[int(self.rng.random() * n_candidates)]
            if _is_eligible(candidate, query) and candidate not in found:
                found.append(candidate)
                if len(found) == _N_CHOICES:
                    return found
        return found

    def _affinity_candidate(
        self, pool: TargetPool, query: RouteQuery
    ) -> Candidate | None:
        if not query.prefix_key or query.stage.kind is not StageKind.GENERATE:
            return None
        bound = self.settings.affinity_load_bound
        for candidate in self._holders(pool, query):
            load = candidate.load
            is_below_bound = (
                load.outstanding <= bound * pool.mean_load() * load.slots + 1.0
            )
            if is_below_bound and _is_eligible(candidate, query):
                return candidate
        return None

    def _holders(self, pool: TargetPool, query: RouteQuery) -> list[Candidate]:
        by_id = pool.candidates_by_id
        hinted = [
            by_id[target_id]
            for target_id in self.hints.holders(query.prefix_key)
            if target_id in by_id
        ]
        if hinted:
            return hinted
        return pool.ranked_for_prefix(query.prefix_key)

    def _least_loaded(
        self, pool: TargetPool, query: RouteQuery, service_s: float
    ) -> RouteChoice | None:
        eligible = [c for c in pool.candidates_by_id.values() if _is_eligible(c, query)]
        if not eligible:
            return None
        best = min(eligible, key=lambda candidate: candidate.load.outstanding)
        score = CandidateScore(
            best.target.target_id, best.score(service_s, self._penalties())
        )
        return RouteChoice(best.target, RouteReason.ISOLATION, (score,))


def _is_eligible(candidate: Candidate, query: RouteQuery) -> bool:
    return (
        candidate.has_free_capacity()
        and candidate.supports_model(query.stage.model)
        and candidate.target.target_id not in query.excluded
    )


def _reason(best: Candidate, sample: Sequence[Candidate]) -> RouteReason:
    if len(sample) == 1:
        return RouteReason.ONLY_CANDIDATE
    if best.distance == 0 and any(c.distance > 0 for c in sample):
        return RouteReason.SAME_ZONE
    return RouteReason.LEAST_LOADED
