"""Admission over the whole chain of stages, before any of it runs."""

from __future__ import annotations

import math
import random
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from aspendrift_model.ids import AccountId, PoolName, ProfileName, RequestId, StageName
from aspendrift_model.outcomes import Refused, refused
from aspendrift_model.profiles import Profile, Stage
from aspendrift_model.states import Priority, RefusalReason
from aspendrift_policy.interfaces import Offer

__all__ = [
    "AdmissionController",
    "PoolCapacity",
    "Prediction",
    "ServiceTime",
    "ServiceTimes",
    "retry_after_ms",
]

_LEARNING_WEIGHT: Final = 0.15
_STALE_AFTER_S: Final = 1.0
_STALE_HALVING_S: Final = 2.0
_SAFETY_DEVIATIONS: Final = 1.65
_WAIT_SHARE_BY_PRIORITY: Final = {
    Priority.URGENT: 1.0,
    Priority.NORMAL: 0.9,
    Priority.BACKGROUND: 0.7,
}
_MIN_OVER_SHARE_FACTOR: Final = 0.5
_N_KEPT_FREE: Final = 7
_RETRY_AFTER_MIN_S: Final = 0.5
_RETRY_AFTER_MAX_S: Final = 10.0
_RETRY_JITTER: Final = 1.0
_MIN_SLOTS: Final = 1e-3
_NO_WORK_S: Final = 1e-9
_HANDLING_S: Final = 0.1
_LAG_KEPT: Final = 0.8
_LAGS_PER_REQUEST: Final = 2.0
_MIN_ERRORS: Final = 10
_MARGIN_DEVIATIONS: Final = 0.5


@dataclass(frozen=True, slots=True)
class ServiceTime:
    """Predicted time of a stage on a target, in seconds."""

    mean_s: float
    deviation_s: float


class _Learned:
    __slots__ = ("at", "mean", "n", "variance")

    def __init__(self, mean: float, now: float) -> None:
        self.mean = mean
        self.variance = 0.0
        self.n = 0
        self.at = now

    def observe(self, value: float, now: float) -> None:
        self.n += 1
        weight = max(_LEARNING_WEIGHT, 1.0 / self.n)
        delta = value - self.mean
        self.mean += weight * delta
        self.variance = (1 - weight) * (self.variance + weight * delta * delta)
        self.at = now


class ServiceTimes:
    """Service times learned for each stage of each profile.

    Notes
    -----
    The time of a stage that generates is learned for each token asked for. An
    estimate that nothing has confirmed for a while shrinks, so that a stage
    that has recovered is tried again.
    """

    def __init__(self) -> None:
        self._by_stage: dict[tuple[ProfileName, StageName], _Learned] = {}

    def predict(
        self, profile: Profile, stage: Stage, max_tokens: int, now: float
    ) -> ServiceTime:
        """Return the predicted time of a stage.

        Parameters
        ----------
        profile, stage : Profile, Stage
            The stage of the pipeline.
        max_tokens : int
            Tokens asked for; ignored by stages that generate none.
        now : float
            Present time in seconds.
        """
        learned = self._learned(profile, stage, now)
        scale = _scale(stage, max_tokens)
        stale_s = max(0.0, now - learned.at - _STALE_AFTER_S)
        shrink = 0.5 ** (stale_s / _STALE_HALVING_S)
        return ServiceTime(
            learned.mean * scale * shrink,
            math.sqrt(learned.variance) * scale * shrink,
        )

    def observe(
        self, profile: Profile, stage: Stage, max_tokens: int, held_s: float, now: float
    ) -> None:
        """Learn from an attempt that was answered."""
        learned = self._learned(profile, stage, now)
        learned.observe(held_s / _scale(stage, max_tokens), now)

    def _learned(self, profile: Profile, stage: Stage, now: float) -> _Learned:
        key = (profile.name, stage.name)
        learned = self._by_stage.get(key)
        if learned is None:
            expected_s = stage.expected_ms / 1000.0 / _scale(stage, stage.max_tokens)
            learned = self._by_stage[key] = _Learned(expected_s, now)
        return learned


def _scale(stage: Stage, max_tokens: int) -> float:
    if stage.max_tokens <= 0:
        return 1.0
    return float(max(1, min(max_tokens, stage.max_tokens)))


@dataclass(frozen=True, slots=True)
class PoolCapacity:
    """What a pool gives this daemon.

    Parameters
    ----------
    slots : float
        Slots of open targets, all daemons together.
    share : float
        This daemon's part of the demand.
    opens_at : float or None
        When a pool without open targets may be probed next.
    """

    slots: float
    share: float
    opens_at: float | None = None


@dataclass(frozen=True, slots=True)
class Prediction:
    """Predicted course of a request over its remaining stages, in seconds.

    ``step_s`` is by how much one more request lengthens the wait at the slowest
    pool.
    """

    wait_s: float
    service_s: float
    deviation_s: float
    slowest_pool: PoolName | None
    step_s: float


@dataclass(slots=True)
class _Admitted:
    offer: Offer
    work_by_stage: dict[StageName, float]
    started_by_stage: dict[StageName, float]
    admitted_at: float
    predicted_s: float


class _PoolWork:
    """Work that admitted requests still need from one pool."""

    __slots__ = (
        "n_requests",
        "n_running",
        "running_s",
        "started_sum",
        "work_by_account",
        "work_s",
    )

    def __init__(self) -> None:
        self.n_requests = 0
        self.work_s = 0.0
        self.work_by_account: dict[AccountId, float] = {}
        self.n_running = 0
        self.running_s = 0.0
        self.started_sum = 0.0

    def left_s(self, now: float) -> float:
        """Return the slot-seconds left, less what has been served already."""
        served_s = self.n_running * now - self.started_sum
        return max(0.0, self.work_s - min(served_s, self.running_s))

    def add(self, account_id: AccountId, work_s: float) -> None:
        self.n_requests += 1
        self.work_s += work_s
        held_s = self.work_by_account.get(account_id, 0.0)
        self.work_by_account[account_id] = held_s + work_s

    def remove(self, account_id: AccountId, work_s: float) -> None:
        self.n_requests -= 1
        self.work_s = max(0.0, self.work_s - work_s)
        left_s = self.work_by_account.get(account_id, 0.0) - work_s
        if left_s > _NO_WORK_S:
            self.work_by_account[account_id] = left_s
        else:
            self.work_by_account.pop(account_id, None)

    def start(self, work_s: float, at: float) -> None:
        self.n_running += 1
        self.running_s += work_s
        self.started_sum += at

    def stop(self, work_s: float, started_at: float) -> None:
        self.n_running -= 1
        self.running_s = max(0.0, self.running_s - work_s)
        self.started_sum = self.started_sum - started_at if self.n_running else 0.0


class _PredictionError:
    """By how much requests take longer than predicted, mean and deviation."""

    def __init__(self) -> None:
        self._learned = _Learned(0.0, 0.0)

    def observe(self, error_s: float, now: float) -> None:
        self._learned.observe(error_s, now)

    def margin_s(self, now: float) -> float:
        """Return the time to keep in reserve, halved for each while unconfirmed."""
        learned = self._learned
        if learned.n < _MIN_ERRORS:
            return _HANDLING_S
        stale_s = max(0.0, now - learned.at - _STALE_AFTER_S)
        margin_s = learned.mean + _MARGIN_DEVIATIONS * math.sqrt(learned.variance)
        shrink = math.pow(0.5, stale_s / _STALE_HALVING_S)
        return max(_HANDLING_S, margin_s * shrink)


class AdmissionController:
    """Admits the requests whose whole chain fits into their deadline.

    The work that admitted requests still need is kept for each pool. A new
    request waits at a pool until the part of it that is ahead has been served
    by this daemon's share of the slots, so the time of later stages is
    reserved before an earlier stage starts.
    """

    def __init__(self, times: ServiceTimes) -> None:
        self._times = times
        self._admitted_by_id: dict[RequestId, _Admitted] = {}
        self._work_by_pool: dict[PoolName, _PoolWork] = {}
        self._error = _PredictionError()
        self._loop_lag_s = 0.0
        self.weights_by_account: Mapping[AccountId, float] = {}

    def __len__(self) -> int:
        return len(self._admitted_by_id)

    def predict(
        self, offer: Offer, pools: Mapping[PoolName, PoolCapacity], now: float
    ) -> Prediction:
        """Predict the course of a request that would be admitted now."""
        elapsed = wait = service = variance = slowest_s = step = 0.0
        slowest: PoolName | None = None
        for stage in offer.profile.stages:
            time = self._times.predict(offer.profile, stage, offer.max_tokens, now)
            ahead_s = self._ahead_s(stage.pool, pools[stage.pool], now)
            stage_wait = max(0.0, ahead_s - elapsed)
            if stage_wait > slowest_s:
                slowest, slowest_s = stage.pool, stage_wait
                step = time.mean_s / _usable_slots(pools[stage.pool])
            wait += stage_wait
            service += time.mean_s
            variance += time.deviation_s**2
            elapsed = wait + service
        return Prediction(wait, service, math.sqrt(variance), slowest, step)

    def admit(
        self,
        offer: Offer,
        pools: Mapping[PoolName, PoolCapacity],
        over_share: bool,
        now: float,
        rng: random.Random,
    ) -> Refused | None:
        """Admit a request, or say why not.

        Parameters
        ----------
        offer : Offer
            The request.
        pools : mapping of PoolName to PoolCapacity
            Every pool of the profile.
        over_share : bool
            Whether the client account is over its fair share.
        now : float
            Present time in seconds.
        rng : random.Random
            Source of the jitter in the time to come back.
        """
        closed = _closed_pool(offer, pools, now, rng)
        if closed is not None:
            return closed
        prediction = self.predict(offer, pools, now)
        safety_s = self._safety_s(prediction, now)
        slack_s = offer.deadline_at - now - prediction.service_s - safety_s
        if slack_s < 0.0:
            return _too_late(prediction, slack_s, rng)
        over_share = over_share or self._crowds(offer, prediction.slowest_pool)
        wait_limit_s = _WAIT_SHARE_BY_PRIORITY[offer.profile.contract.priority]
        wait_limit_s *= slack_s
        if over_share:
            kept_s = _N_KEPT_FREE * prediction.step_s
            least_s = _MIN_OVER_SHARE_FACTOR * wait_limit_s
            wait_limit_s = max(least_s, wait_limit_s - kept_s)
        if prediction.wait_s > wait_limit_s:
            return _too_full(prediction, over_share, rng)
        self._add(offer, prediction, now)
        return None

    def loop_lagged(self, lag_s: float) -> None:
        """Take in how late the daemon's event loop ran.

        A request waits for the loop before the daemon sees it and again when it
        is answered, which no other time shows; the highest lag fades slowly.
        """
        self._loop_lag_s = max(lag_s, self._loop_lag_s * _LAG_KEPT)

    def dominant_s(
        self, offer: Offer, pools: Mapping[PoolName, PoolCapacity], now: float
    ) -> float:
        """Return the largest part of a pool's capacity that a request uses."""
        return max(
            self._times.predict(offer.profile, stage, offer.max_tokens, now).mean_s
            / max(pools[stage.pool].slots, 1.0)
            for stage in offer.profile.stages
        )

    def stage_started(self, request_id: RequestId, stage: Stage, now: float) -> None:
        """Note that an attempt of a stage took a slot."""
        admitted = self._admitted_by_id.get(request_id)
        if admitted is None or stage.name in admitted.started_by_stage:
            return
        work_s = admitted.work_by_stage.get(stage.name)
        if work_s is not None:
            admitted.started_by_stage[stage.name] = now
            self._work_by_pool[stage.pool].start(work_s, now)

    def stage_stopped(self, request_id: RequestId, stage: Stage) -> None:
        """Note that an attempt of a stage gave its slot back without an answer."""
        admitted = self._admitted_by_id.get(request_id)
        if admitted is not None:
            self._stop(admitted, stage)

    def stage_ended(self, request_id: RequestId, stage: Stage) -> None:
        """Release the work reserved for a stage that was answered."""
        admitted = self._admitted_by_id.get(request_id)
        if admitted is not None:
            self._remove(admitted, stage)

    def depart(self, request_id: RequestId, now: float) -> None:
        """Release everything reserved for a request; harmless when unknown."""
        admitted = self._admitted_by_id.pop(request_id, None)
        if admitted is None:
            return
        error_s = now - admitted.admitted_at - admitted.predicted_s
        if not admitted.work_by_stage or error_s > 0.0:
            self._error.observe(error_s, now)
        for stage in admitted.offer.profile.stages:
            self._remove(admitted, stage)

    def has_started(self, request_id: RequestId) -> bool:
        """Return whether a stage of a request was answered already."""
        admitted = self._admitted_by_id.get(request_id)
        if admitted is None:
            return False
        return len(admitted.work_by_stage) < len(admitted.offer.profile.stages)

    def latest_end(
        self,
        request_id: RequestId,
        profile: Profile,
        stage: Stage,
        deadline_at: float,
        max_tokens: int,
        now: float,
    ) -> float:
        """Return when a stage must end so that the later stages still fit.

        ``deadline_at`` is the bound that the caller gave; the earlier of the two
        is returned.
        """
        admitted = self._admitted_by_id.get(request_id)
        if admitted is None:
            return deadline_at
        reserve_s = 0.0
        for later in reversed(profile.stages):
            if later.name == stage.name:
                break
            time = self._times.predict(profile, later, max_tokens, now)
            reserve_s += time.mean_s
        return min(deadline_at, admitted.offer.deadline_at - reserve_s)

    def _safety_s(self, prediction: Prediction, now: float) -> float:
        """Return the time to keep in reserve.

        Nothing is kept while targets are idle: they lose nothing by an attempt,
        and it shows whether a stage that was slow has recovered.
        """
        if prediction.wait_s <= 0.0:
            return 0.0
        lag_s = _LAGS_PER_REQUEST * self._loop_lag_s
        deviation_s = _SAFETY_DEVIATIONS * prediction.deviation_s
        return max(deviation_s, self._error.margin_s(now)) + lag_s

    def _crowds(self, offer: Offer, pool: PoolName | None) -> bool:
        """Return whether an account holds more of a pool's work than its share.

        This is known at once, while rates take seconds to show a sudden surge.
        """
        work = None if pool is None else self._work_by_pool.get(pool)
        if work is None:
            return False
        weights = self.weights_by_account
        active = {*work.work_by_account, offer.account_id}
        whole = sum(weights.get(account_id, 1.0) for account_id in active)
        fair_share = weights.get(offer.account_id, 1.0) / whole
        held_s = work.work_by_account.get(offer.account_id, 0.0)
        return held_s > fair_share * work.work_s

    def _ahead_s(self, pool: PoolName, capacity: PoolCapacity, now: float) -> float:
        work = self._work_by_pool.get(pool)
        slots = _usable_slots(capacity)
        if work is None or work.n_requests < slots:
            return 0.0
        return work.left_s(now) / slots

    def _add(self, offer: Offer, prediction: Prediction, now: float) -> None:
        work_by_stage: dict[StageName, float] = {}
        for stage in offer.profile.stages:
            time = self._times.predict(offer.profile, stage, offer.max_tokens, now)
            work_by_stage[stage.name] = time.mean_s
            self._work_by_pool.setdefault(stage.pool, _PoolWork()).add(
                offer.account_id, time.mean_s
            )
        self._admitted_by_id[offer.request_id] = _Admitted(
            offer, work_by_stage, {}, now, prediction.wait_s + prediction.service_s
        )

    def _stop(self, admitted: _Admitted, stage: Stage) -> None:
        started_at = admitted.started_by_stage.pop(stage.name, None)
        if started_at is not None:
            work_s = admitted.work_by_stage[stage.name]
            self._work_by_pool[stage.pool].stop(work_s, started_at)

    def _remove(self, admitted: _Admitted, stage: Stage) -> None:
        self._stop(admitted, stage)
        work_s = admitted.work_by_stage.pop(stage.name, None)
        if work_s is not None:
            account_id = admitted.offer.account_id
            self._work_by_pool[stage.pool].remove(account_id, work_s)


def _usable_slots(capacity: PoolCapacity) -> float:
    return max(capacity.slots * capacity.share, _MIN_SLOTS)


def _closed_pool(
    offer: Offer,
    pools: Mapping[PoolName, PoolCapacity],
    now: float,
    rng: random.Random,
) -> Refused | None:
    for stage in offer.profile.stages:
        capacity = pools[stage.pool]
        if capacity.slots > 0:
            continue
        if capacity.opens_at is not None and capacity.opens_at <= now:
            continue
        opens_in_s = 1.0 if capacity.opens_at is None else capacity.opens_at - now
        detail = f"stage {stage.name}: no target of pool {stage.pool} is open"
        return refused(RefusalReason.NO_TARGET, detail, retry_after_ms(opens_in_s, rng))
    return None


def _too_late(prediction: Prediction, slack_s: float, rng: random.Random) -> Refused:
    detail = f"the stages take {-slack_s:.3f} s more than the deadline leaves"
    return refused(
        RefusalReason.DEADLINE_UNREACHABLE,
        detail,
        retry_after_ms(prediction.wait_s, rng),
    )


def _too_full(prediction: Prediction, over_share: bool, rng: random.Random) -> Refused:
    """Refuse until what waits now has been served; coming back earlier is vain."""
    reason = RefusalReason.OVERLOADED
    if over_share:
        reason = RefusalReason.ACCOUNT_OVER_SHARE
    detail = f"predicted wait {prediction.wait_s:.3f} s, pool {prediction.slowest_pool}"
    return refused(reason, detail, retry_after_ms(prediction.wait_s, rng))


def retry_after_ms(wait_s: float, rng: random.Random) -> int:
    """Return when to come back, in milliseconds, spread by jitter."""
    base_s = min(_RETRY_AFTER_MAX_S, max(_RETRY_AFTER_MIN_S, wait_s))
    return round(1000 * base_s * (1.0 + _RETRY_JITTER * rng.random()))
