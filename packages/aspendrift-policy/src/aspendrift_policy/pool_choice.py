"""Selection of a target of a pool for a request.

In a pool without prompt caching, the target with the lowest expected time is chosen,
estimated from the requests in flight and the times of recent answers. In a pool with
prompt caching, the target that ranks first for the shared prefix of the prompt is
chosen, unless its load is clearly above the mean. A shared prefix is then processed on
one target, and no target is overloaded.
"""

from __future__ import annotations

import math
import random
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from aspendrift_model.ids import PrefixKey, TargetId, ZoneName
from aspendrift_model.load_reports import LoadReport
from aspendrift_model.states import AttemptEnd
from aspendrift_model.target_entries import TargetEntry, TargetKey
from aspendrift_policy.affinity import target_hash, top_targets
from aspendrift_policy.outliers import EjectionRules, HealthState, TargetHealth
from aspendrift_policy.target_loads import LOADED_SHARE, ObservedLoad, is_loaded

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
# Affinity is ignored for targets whose load is over a share of their slots plus a
# multiple of the mean load. An eighth is 8 requests of 64 slots; a count of requests
# would let small targets queue before their load counts.
_AFFINITY_SLACK_SHARE: Final = 0.125
_AFFINITY_LOAD_FACTOR: Final = 1.5
# The slowdown of a machine changes every 0.1 s to 0.6 s, and a stream takes one to two
# seconds. What counts is thus the mean over such a time, and one report is at most half
# of the estimate, so that a moment's figure doesn't move all daemons to one target.
_SLOWDOWN_SMOOTHING_S: Final = 2.0
_MAX_SLOWDOWN_WEIGHT: Final = 0.5
_MAX_SLOWDOWN: Final = 10.0
# A target that was loaded gets its cached work back over this time. All daemons learn
# at once that it is free again, from a list that is about 0.7 s old. In that time the
# work of a hot prompt would fill all of its slots again. The part that it doesn't get
# at first is this multiple of its load over the bound: all of it from full slots on.
_RETURN_S: Final = 8.0
_EXCESS_WEIGHT: Final = 4.0
# If more than this share of a pool is loaded, the rest can't take the work of all of
# them: it would be loaded in turn, and the work move back and forth. Then only the most
# loaded ones are avoided, up to the second share of the pool.
_MAX_LOADED_SHARE: Final = 0.3
_MAX_AVOIDED_SHARE: Final = 0.1


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
    is_loaded: bool = False
    slowdown: float = 1.0
    took_s: float | None = None
    took_updated_at: float = float("-inf")


@dataclass(frozen=True, slots=True)
class _Return:
    """Share of the work cached at a target that it doesn't get yet."""

    share: float
    at: float

    def share_now(self, now: float) -> float:
        """Return the share now, if the target wasn't loaded since."""
        return self.share - max(0.0, now - self.at) / _RETURN_S


class PoolChooser:
    """Chooses targets of a pool by load, response time and health, for one daemon."""

    def __init__(self, rules: EjectionRules, rng: random.Random) -> None:
        self._rules = rules
        self._rng = rng
        self._states_by_id: dict[TargetId, _TargetState] = {}
        self._slow: frozenset[TargetKey] = frozenset()
        self._slow_until = float("-inf")
        self._listed: Mapping[TargetKey, ObservedLoad] = {}
        self._listed_until = float("-inf")
        self._own_at_list_by_key: dict[TargetKey, int] = {}
        self._return_by_key: dict[TargetKey, _Return] = {}
        self._speed_by_key: Mapping[TargetKey, float] = {}
        self._speeds_until = float("-inf")

    def avoid(self, slow: frozenset[TargetKey], until: float) -> None:
        """Choose slow targets only if there is no other, until some time."""
        self._slow, self._slow_until = slow, until

    def apply_loaded(
        self, loads: Mapping[TargetKey, ObservedLoad], now: float, until: float
    ) -> None:
        """Replace the targets that are loaded as far as all daemons know."""
        returning = {}
        for key, known in self._return_by_key.items():
            share = known.share if key in self._listed else known.share_now(now)
            if share > 0.0:
                returning[key] = _Return(share, now)
        for key, load in loads.items():
            share = min(1.0, _EXCESS_WEIGHT * (load.share - LOADED_SHARE))
            if share > 0.0 and (key not in returning or share > returning[key].share):
                returning[key] = _Return(share, now)
        self._return_by_key = returning
        self._listed, self._listed_until = loads, until
        self._own_at_list_by_key = {
            state.key: state.n_own
            for state in self._states_by_id.values()
            if state.key in loads
        }

    def apply_speeds(self, speeds: Mapping[TargetKey, float], until: float) -> None:
        """Replace the speeds that differ from the median of the pool."""
        self._speed_by_key, self._speeds_until = speeds, until

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
        avoided = self._avoided(candidates, now)
        free = [each for each in candidates if each.key not in avoided]
        if len(free) > 2 and any(self._is_loaded(each, now) for each in free):
            # All daemons have the same list, so the best of two avoids that they all
            # choose the least loaded target.
            free = self._rng.sample(free, 2)
        return min(
            free or candidates,
            key=lambda entry: (
                self._expected_cost(entry, zone, now),
                self._rng.expovariate(self._speed(entry, now)),
            ),
        )

    def forget_failures(self) -> None:
        """Open all targets, since their failures were those of the links to them."""
        for state in self._states_by_id.values():
            state.health = TargetHealth(self._rules, float("-inf"))

    def inputs(self, entry: TargetEntry, now: float) -> ChoiceInputs:
        """Return the load figures of a target, for the log."""
        state = self._state(entry)
        listed = self._listed_load(state, now)
        if listed is not None:
            reported, at = listed.report.n_requests, listed.observed_at
        else:
            reported, at = state.reported, state.reported_at
        return ChoiceInputs(state.n_own, reported, now - at)

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

    def reported(self, entry: TargetEntry, report: LoadReport, now: float) -> None:
        """Record the load that a target reported."""
        state = self._state(entry)
        known = _decayed_slowdown(state, now)
        age_s = now - state.reported_at
        weight = min(
            _MAX_SLOWDOWN_WEIGHT, 1.0 - math.exp(-age_s / _SLOWDOWN_SMOOTHING_S)
        )
        state.slowdown = known + weight * (min(report.slowdown, _MAX_SLOWDOWN) - known)
        state.reported = report.n_requests
        state.is_loaded = is_loaded(report)
        state.own_at_report = state.n_own
        state.reported_at = now

    def load(self, entry: TargetEntry, now: float) -> float:
        """Return the estimated number of requests at a target."""
        state = self._state(entry)
        listed = self._listed_load(state, now)
        if listed is not None:
            own_at_list = self._own_at_list_by_key.get(state.key, 0)
            n_sent_since = max(0, state.n_own - own_at_list)
            return float(max(state.n_own, listed.report.n_requests + n_sent_since))
        is_old = now - state.reported_at > _MAX_REPORT_AGE_S
        if is_old and not self._is_loaded(entry, now):
            return float(state.n_own)
        n_sent_since = max(0, state.n_own - state.own_at_report)
        return float(max(state.n_own, state.reported + n_sent_since))

    def slowdown(self, entry: TargetEntry, now: float) -> float:
        """Return how long work takes on a target's machine, smoothed; 1 is usual."""
        return _decayed_slowdown(self._state(entry), now)

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
        speeds = [self._speed(entry, now) for entry in candidates]
        shares = [
            self.load(entry, now)
            * self.slowdown(entry, now)
            / (max(1, entry.n_slots) * speed)
            for entry, speed in zip(candidates, speeds, strict=True)
        ]
        mean_share = sum(shares) / len(shares)
        bound = _AFFINITY_SLACK_SHARE + _AFFINITY_LOAD_FACTOR * mean_share
        has_speeds = any(speed != 1.0 for speed in speeds)
        ranked = top_targets(
            prefix, hashes, len(candidates), speeds if has_speeds else None
        )
        if self._fits(candidates[ranked[0]], now):
            return candidates[ranked[0]]
        avoided = self._avoided(candidates, now)
        ranked = [i for i in ranked if candidates[i].key not in avoided] or ranked
        n_returning = sum(each.key in self._return_by_key for each in candidates)
        is_full = n_returning > _MAX_LOADED_SHARE * len(candidates)
        for index in ranked:
            if shares[index] > bound:
                continue
            if is_full or self._may_return(candidates[index], now):
                return candidates[index]
        return candidates[min(ranked, key=shares.__getitem__)]

    def _listed_load(self, state: _TargetState, now: float) -> ObservedLoad | None:
        """Return what all daemons know of a target, unless this one knows better."""
        listed = self._listed.get(state.key) if now < self._listed_until else None
        if listed is None or state.reported_at > listed.observed_at:
            return None
        return listed

    def _is_loaded(self, entry: TargetEntry, now: float) -> bool:
        """Return whether a target is listed, and wasn't below the bound since."""
        if now >= self._listed_until or entry.key not in self._listed:
            return False
        state = self._state(entry)
        return state.is_loaded or self._listed_load(state, now) is not None

    def _avoided(
        self, candidates: Sequence[TargetEntry], now: float
    ) -> frozenset[TargetKey]:
        """Return the loaded targets; only the most loaded if the pool is full."""
        if now >= self._listed_until or not self._listed:
            return frozenset()
        loaded = [each for each in candidates if self._is_loaded(each, now)]
        if len(loaded) > _MAX_LOADED_SHARE * len(candidates):
            loaded.sort(key=lambda each: -self.load(each, now) / max(1, each.n_slots))
            loaded = loaded[: max(1, int(_MAX_AVOIDED_SHARE * len(candidates)))]
        return frozenset(each.key for each in loaded)

    def _fits(self, entry: TargetEntry, now: float) -> bool:
        """Return whether a loaded target takes a request whose prompt it has cached.

        The probability falls with the slots that are free, since all daemons see the
        same load until the next message.
        """
        if not self._is_loaded(entry, now):
            return False
        n_free = entry.n_slots - self.load(entry, now)
        n_reserved = (1.0 - LOADED_SHARE) * entry.n_slots
        return n_free >= 1.0 and self._rng.random() * n_reserved < n_free

    def _speed(self, entry: TargetEntry, now: float) -> float:
        """Return a target's speed, relative to the median of the pool."""
        if now >= self._speeds_until:
            return 1.0
        return self._speed_by_key.get(entry.key, 1.0)

    def _may_return(self, entry: TargetEntry, now: float) -> bool:
        """Return whether a target that was loaded takes a request cached there."""
        found = self._return_by_key.get(entry.key)
        return found is None or self._rng.random() >= found.share_now(now)

    def _expected_cost(self, entry: TargetEntry, zone: ZoneName, now: float) -> float:
        n_ahead = self.load(entry, now) / max(1, entry.n_slots)
        n_ahead /= self._speed(entry, now)
        zone_cost = 0.0 if entry.zone == zone else _CROSS_ZONE_COST
        # Learned times include the slowdown of the machine, so it isn't counted twice.
        slowness = max(self._time_factor(entry, now), self.slowdown(entry, now))
        return (1.0 + n_ahead + zone_cost) * slowness

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


def _decayed_slowdown(state: _TargetState, now: float) -> float:
    """Return the slowdown, which returns to the usual 1 without further reports."""
    if state.slowdown == 1.0:
        return 1.0
    age_s = max(0.0, now - state.reported_at - _MAX_REPORT_AGE_S)
    return 1.0 + (state.slowdown - 1.0) * math.exp(-age_s / _SLOWDOWN_SMOOTHING_S)
