"""Selection of a target of a pool for a request.

In a pool without prompt caching, the target with the lowest expected time is chosen,
estimated from the requests in flight and the times of recent answers. In a pool with
prompt caching, the target that ranks first for the shared prefix of the prompt is
chosen, unless its load is clearly above the mean. A shared prefix is then processed on
one target, and no target is overloaded.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Sequence
from dataclasses import dataclass
from typing import Final

from aspendrift_model.ids import PrefixKey, TargetId, ZoneName
from aspendrift_model.states import AttemptEnd
from aspendrift_model.target_entries import TargetEntry, TargetKey
from aspendrift_policy.affinity import target_hash, top_targets
from aspendrift_policy.outliers import EjectionRules, HealthState, TargetHealth

__all__ = ["ChoiceInputs", "PoolChooser"]

# Weight of the newest answer in the moving average of a target's response time.
_RESPONSE_TIME_WEIGHT: Final = 0.3
# A learned response time loses its weight within this time, so that a target that was
# slow is used again.
_RESPONSE_TIME_DECAY_S: Final = 4.0
# Older load reports are ignored; reports are usually about 100 ms old.
_MAX_REPORT_AGE_S: Final = 1.0
# Cost of sending a request to another zone, as a share of one request.
_CROSS_ZONE_COST: Final = 0.15
# Affinity is ignored for targets with more load than a constant plus a multiple of the
# mean load.
_AFFINITY_LOAD_SLACK: Final = 8.0
_AFFINITY_LOAD_FACTOR: Final = 1.5


@dataclass(frozen=True, slots=True)
class ChoiceInputs:
    """Load figures behind a choice, for the log."""

    own_load: int
    reported_load: int
    report_age_s: float


@dataclass(slots=True)
class _TargetState:
    key: TargetKey
    health: TargetHealth
    hash: int
    n_own: int = 0
    reported: int = 0
    own_at_report: int = 0
    reported_at: float = float("-inf")
    took_s: float | None = None
    took_updated_at: float = float("-inf")


class PoolChooser:
    """Chooses targets of a pool by load, response time and health, for one daemon."""

    def __init__(self, rules: EjectionRules, rng: random.Random) -> None:
        self._rules = rules
        self._rng = rng
        self._states_by_id: dict[TargetId, _TargetState] = {}
        self._slow: frozenset[TargetKey] = frozenset()
        self._slow_until = float("-inf")

    def avoid(self, slow: frozenset[TargetKey], until: float) -> None:
        """Choose slow targets only if there is no other, until some time."""
        self._slow, self._slow_until = slow, until

    def choose(
        self,
        entries: Sequence[TargetEntry],
        zone: ZoneName,
        prefix: PrefixKey | None,
        excluded: Collection[TargetId],
        now: float,
        is_dry_run: bool = False,
    ) -> TargetEntry | None:
        """Return the target for a request, or None if there is none.

        Parameters
        ----------
        prefix : PrefixKey or None
            Key of the shared prefix of the prompt, if targets cache prompts.
        excluded : collection of TargetId
            Targets of earlier attempts of this request.
        is_dry_run : bool
            Whether no attempt follows the choice, so that no probe of an ejected
            target is used up.
        """
        self._evict_unlisted(entries)
        usable = [each for each in entries if each.key.target_id not in excluded]
        open_ = [each for each in usable if self._is_open(each, now)]
        probe = None if is_dry_run else self._due_probe(usable, now)
        if probe is not None:
            return probe
        candidates = self._without_slow(open_ or usable, now)
        if not candidates:
            return None
        if prefix is not None:
            return self._by_affinity(candidates, prefix, now)
        return min(
            candidates,
            key=lambda entry: (
                self._expected_cost(entry, zone, now),
                self._rng.random(),
            ),
        )

    def forget_failures(self) -> None:
        """Open all targets, since their failures were those of the links to them."""
        for state in self._states_by_id.values():
            state.health = TargetHealth(self._rules, float("-inf"))

    def inputs(self, entry: TargetEntry, now: float) -> ChoiceInputs:
        """Return the load figures of a target, for the log."""
        state = self._state(entry)
        return ChoiceInputs(state.n_own, state.reported, now - state.reported_at)

    def sent(self, entry: TargetEntry) -> None:
        """Record a request that is sent to a target."""
        self._state(entry).n_own += 1

    def ended(
        self, entry: TargetEntry, end: AttemptEnd, took_s: float | None, now: float
    ) -> None:
        """Record the end of a request; ``took_s`` is its duration if answered."""
        state = self._states_by_id.get(entry.key.target_id)
        if state is None or state.key != entry.key:
            return
        state.n_own = max(0, state.n_own - 1)
        state.health.attempt_ended(end, now, self._rng, self._may_eject(now))
        if took_s is not None:
            self._update_response_time(state, took_s, now)

    def reported(self, entry: TargetEntry, load: int, now: float) -> None:
        """Record the load that a target reported."""
        state = self._state(entry)
        state.reported = load
        state.own_at_report = state.n_own
        state.reported_at = now

    def load(self, entry: TargetEntry, now: float) -> float:
        """Return the estimated number of requests at a target."""
        state = self._state(entry)
        if now - state.reported_at > _MAX_REPORT_AGE_S:
            return float(state.n_own)
        n_sent_since = max(0, state.n_own - state.own_at_report)
        return float(max(state.n_own, state.reported + n_sent_since))

    def has_free_slot(self, entry: TargetEntry, now: float) -> bool:
        """Return whether a target is healthy and has a free slot by its load."""
        return self._is_open(entry, now) and self.load(entry, now) < entry.n_slots

    def declined(self, entry: TargetEntry, now: float) -> None:
        """Record that no request followed the choice of a target."""
        health = self._state(entry).health
        health.attempt_ended(AttemptEnd.CANCELLED, now, self._rng, False)

    def _without_slow(
        self, candidates: Sequence[TargetEntry], now: float
    ) -> Sequence[TargetEntry]:
        if now >= self._slow_until or not self._slow:
            return candidates
        return [each for each in candidates if each.key not in self._slow] or candidates

    def _by_affinity(
        self, candidates: Sequence[TargetEntry], prefix: PrefixKey, now: float
    ) -> TargetEntry:
        hashes = [self._state(entry).hash for entry in candidates]
        loads = [self.load(entry, now) for entry in candidates]
        bound = _AFFINITY_LOAD_SLACK + _AFFINITY_LOAD_FACTOR * sum(loads) / len(loads)
        ranked = top_targets(prefix, hashes, len(candidates))
        for index in ranked:
            if loads[index] <= bound:
                return candidates[index]
        return candidates[min(ranked, key=loads.__getitem__)]

    def _expected_cost(self, entry: TargetEntry, zone: ZoneName, now: float) -> float:
        n_ahead = self.load(entry, now) / max(1, entry.n_slots)
        zone_cost = 0.0 if entry.zone == zone else _CROSS_ZONE_COST
        return (1.0 + n_ahead + zone_cost) * self._time_factor(entry, now)

    def _time_factor(self, entry: TargetEntry, now: float) -> float:
        """Return a target's learned time over the pool's lowest, decaying to 1."""
        state = self._state(entry)
        times = [s.took_s for s in self._states_by_id.values() if s.took_s is not None]
        if state.took_s is None or not times:
            return 1.0
        weight = max(0.0, 1.0 - (now - state.took_updated_at) / _RESPONSE_TIME_DECAY_S)
        return 1.0 + (state.took_s / min(times) - 1.0) * weight

    def _update_response_time(
        self, state: _TargetState, took_s: float, now: float
    ) -> None:
        if state.took_s is None or now - state.took_updated_at > _RESPONSE_TIME_DECAY_S:
            state.took_s = took_s
        else:
            state.took_s += _RESPONSE_TIME_WEIGHT * (took_s - state.took_s)
        state.took_updated_at = now

    def _is_open(self, entry: TargetEntry, now: float) -> bool:
        return self._state(entry).health.state is HealthState.OPEN

    def _due_probe(
        self, entries: Sequence[TargetEntry], now: float
    ) -> TargetEntry | None:
        for entry in entries:
            health = self._state(entry).health
            if health.may_probe(now):
                health.probe_sent()
                return entry
        return None

    def _may_eject(self, now: float) -> bool:
        n_closed = sum(
            state.health.state is not HealthState.OPEN
            for state in self._states_by_id.values()
        )
        return n_closed + 1 < max(2, len(self._states_by_id))

    def _state(self, entry: TargetEntry) -> _TargetState:
        target_id = entry.key.target_id
        state = self._states_by_id.get(target_id)
        if state is None or state.key != entry.key:
            health = TargetHealth(self._rules, float("-inf"))
            state = _TargetState(entry.key, health, target_hash(target_id))
            self._states_by_id[target_id] = state
        return state

    def _evict_unlisted(self, entries: Sequence[TargetEntry]) -> None:
        if len(self._states_by_id) <= len(entries):
            return
        listed = {entry.key.target_id for entry in entries}
        for target_id in list(self._states_by_id):
            if target_id not in listed:
                del self._states_by_id[target_id]
