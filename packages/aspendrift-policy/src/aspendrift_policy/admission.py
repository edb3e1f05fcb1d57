"""Admission control over all stages of a request, before the first one starts."""

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

_EWMA_WEIGHT: Final = 0.15
_STALE_AFTER_S: Final = 1.0
_STALE_HALF_LIFE_S: Final = 2.0
_SAFETY_DEVIATIONS: Final = 1.65
_WAIT_SHARE_BY_PRIORITY: Final = {
    Priority.URGENT: 1.0,
    Priority.NORMAL: 0.9,
    Priority.BACKGROUND: 0.7,
}
_MIN_OVER_SHARE_WAIT_FACTOR: Final = 0.5
_N_RESERVED_REQUESTS: Final = 7
_RETRY_AFTER_MIN_S: Final = 0.5
_RETRY_AFTER_MAX_S: Final = 10.0
_RETRY_JITTER: Final = 1.0
_MIN_SLOTS: Final = 1e-3
_WORK_EPSILON_S: Final = 1e-9
_HANDLING_OVERHEAD_S: Final = 0.1
_LOOP_LAG_DECAY_FACTOR: Final = 0.8
_LOOP_LAGS_PER_REQUEST: Final = 2.0
_MIN_ERROR_SAMPLES: Final = 10
_MARGIN_DEVIATIONS: Final = 0.5


@dataclass(frozen=True, slots=True)
class ServiceTime:
    """Predicted service time of a stage on a target, in seconds."""

    mean_s: float
    deviation_s: float


class _MovingEstimate:
    """Exponentially weighted moving mean and variance."""

    __slots__ = ("at", "mean", "n", "variance")

    def __init__(self, mean: float, now: float) -> None:
        self.mean = mean
        self.variance = 0.0
        self.n = 0
        self.at = now

    def observe(self, value: float, now: float) -> None:
        self.n += 1
        weight = max(_EWMA_WEIGHT, 1.0 / self.n)
        delta = value - self.mean
        self.mean += weight * delta
        self.variance = (1 - weight) * (self.variance + weight * delta * delta)
        self.at = now


class ServiceTimes:
    """Service times estimated for each stage of each profile.

    Notes
    -----
    Times of generating stages are estimated per requested token. An estimate
    without recent observations decays, so that requests are admitted again to a
    stage that has recovered.
    """

    def __init__(self) -> None:
        self._by_stage: dict[tuple[ProfileName, StageName], _MovingEstimate] = {}

    def predict(
        self, profile: Profile, stage: Stage, max_tokens: int, now: float
    ) -> ServiceTime:
        """Return the predicted service time of a stage.

        Parameters
        ----------
        profile, stage : Profile, Stage
            The stage of the pipeline.
        max_tokens : int
            Requested tokens; ignored by stages that generate none.
        now : float
            Current time in seconds.
        """
        estimate = self._estimate(profile, stage, now)
        scale = _scale(stage, max_tokens)
        stale_s = max(0.0, now - estimate.at - _STALE_AFTER_S)
        shrink = 0.5 ** (stale_s / _STALE_HALF_LIFE_S)
        return ServiceTime(
            estimate.mean * scale * shrink,
            math.sqrt(estimate.variance) * scale * shrink,
        )

    def observe(
        self, profile: Profile, stage: Stage, max_tokens: int, held_s: float, now: float
    ) -> None:
        """Record the duration of an answered attempt."""
        estimate = self._estimate(profile, stage, now)
        estimate.observe(held_s / _scale(stage, max_tokens), now)

    def _estimate(self, profile: Profile, stage: Stage, now: float) -> _MovingEstimate:
        key = (profile.name, stage.name)
        estimate = self._by_stage.get(key)
        if estimate is None:
            expected_s = stage.expected_ms / 1000.0 / _scale(stage, stage.max_tokens)
            estimate = self._by_stage[key] = _MovingEstimate(expected_s, now)
        return estimate


def _scale(stage: Stage, max_tokens: int) -> float:
    if stage.max_tokens <= 0:
        return 1.0
    return float(max(1, min(max_tokens, stage.max_tokens)))


@dataclass(frozen=True, slots=True)
class PoolCapacity:
    """Capacity of a pool that this daemon may use.

    Parameters
    ----------
    slots : float
        Slots of the available targets, for all daemons together.
    share : float
        This daemon's share of the slots, from 0 to 1.
    next_probe_at : float or None
        When a pool without available targets may next be probed.
    """

    slots: float
    share: float
    next_probe_at: float | None = None


@dataclass(frozen=True, slots=True)
class Prediction:
    """Predicted times of a request over its remaining stages, in seconds.

    ``step_s`` is the time that one more request adds to the wait at the slowest
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
    """Outstanding work of admitted requests at one pool."""

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

    def remaining_s(self, now: float) -> float:
        """Return the outstanding slot-seconds, without those already served."""
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
        remaining_s = self.work_by_account.get(account_id, 0.0) - work_s
        if remaining_s > _WORK_EPSILON_S:
            self.work_by_account[account_id] = remaining_s
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
    """Mean and deviation of the time by which requests exceed their prediction."""

    def __init__(self) -> None:
        self._estimate = _MovingEstimate(0.0, 0.0)

    def observe(self, error_s: float, now: float) -> None:
        self._estimate.observe(error_s, now)

    def margin_s(self, now: float) -> float:
        """Return the safety margin; it decays while no request confirms it."""
        estimate = self._estimate
        if estimate.n < _MIN_ERROR_SAMPLES:
            return _HANDLING_OVERHEAD_S
        stale_s = max(0.0, now - estimate.at - _STALE_AFTER_S)
        margin_s = estimate.mean + _MARGIN_DEVIATIONS * math.sqrt(estimate.variance)
        shrink = math.pow(0.5, stale_s / _STALE_HALF_LIFE_S)
        return max(_HANDLING_OVERHEAD_S, margin_s * shrink)


class AdmissionController:
    """Admits requests whose stages are all predicted to end before the deadline.

    The outstanding work of admitted requests is tracked for each pool. The
    predicted wait of a new request at a pool is the time in which this daemon's
    share of the slots serves that work. The time of later stages is therefore
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
        """Predict the times of a request if it were admitted now."""
        elapsed = wait = service = variance = slowest_s = step = 0.0
        slowest: PoolName | None = None
        for stage in offer.profile.stages:
            time = self._times.predict(offer.profile, stage, offer.max_tokens, now)
            queue_time_s = self._queue_time_s(stage.pool, pools[stage.pool], now)
            stage_wait = max(0.0, queue_time_s - elapsed)
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
        """Admit a request, or return the reason for refusing it.

        Parameters
        ----------
        offer : Offer
            The request.
        pools : mapping of PoolName to PoolCapacity
            All pools of the profile.
        over_share : bool
            Whether the client account exceeds its fair share.
        now : float
            Current time in seconds.
        rng : random.Random
            Source of the jitter of the retry delay.
        """
        refusal = _refuse_if_unavailable(offer, pools, now, rng)
        if refusal is not None:
            return refusal
        prediction = self.predict(offer, pools, now)
        safety_s = self._safety_s(prediction, now)
        slack_s = offer.deadline_at - now - prediction.service_s - safety_s
        if slack_s < 0.0:
            return _deadline_unreachable(prediction, slack_s, rng)
        over_share = over_share or self._exceeds_fair_share(
            offer, prediction.slowest_pool
        )
        wait_limit_s = _WAIT_SHARE_BY_PRIORITY[offer.profile.contract.priority]
        wait_limit_s *= slack_s
        if over_share:
            reserved_s = _N_RESERVED_REQUESTS * prediction.step_s
            min_limit_s = _MIN_OVER_SHARE_WAIT_FACTOR * wait_limit_s
            wait_limit_s = max(min_limit_s, wait_limit_s - reserved_s)
        if prediction.wait_s > wait_limit_s:
            return _overloaded(prediction, over_share, rng)
        self._add(offer, prediction, now)
        return None

    def record_loop_lag(self, lag_s: float) -> None:
        """Record the lag of the daemon's event loop.

        A request waits for the loop when it arrives and again when it is
        answered; no other measured time contains these waits. The maximum lag
        decays slowly.
        """
        self._loop_lag_s = max(lag_s, self._loop_lag_s * _LOOP_LAG_DECAY_FACTOR)

    def dominant_share_s(
        self, offer: Offer, pools: Mapping[PoolName, PoolCapacity], now: float
    ) -> float:
        """Return the dominant share: the largest part of a pool that a request uses."""
        return max(
            self._times.predict(offer.profile, stage, offer.max_tokens, now).mean_s
            / max(pools[stage.pool].slots, 1.0)
            for stage in offer.profile.stages
        )

    def stage_started(self, request_id: RequestId, stage: Stage, now: float) -> None:
        """Record that an attempt of a stage acquired a slot."""
        admitted = self._admitted_by_id.get(request_id)
        if admitted is None or stage.name in admitted.started_by_stage:
            return
        work_s = admitted.work_by_stage.get(stage.name)
        if work_s is not None:
            admitted.started_by_stage[stage.name] = now
            self._work_by_pool[stage.pool].start(work_s, now)

    def stage_stopped(self, request_id: RequestId, stage: Stage) -> None:
        """Record that an attempt of a stage released its slot without an answer."""
        admitted = self._admitted_by_id.get(request_id)
        if admitted is not None:
            self._stop(admitted, stage)

    def stage_ended(self, request_id: RequestId, stage: Stage) -> None:
        """Release the work reserved for a stage that was answered."""
        admitted = self._admitted_by_id.get(request_id)
        if admitted is not None:
            self._remove(admitted, stage)

    def release(self, request_id: RequestId, now: float) -> None:
        """Release all reservations of a request; no effect if it is unknown."""
        admitted = self._admitted_by_id.pop(request_id, None)
        if admitted is None:
            return
        error_s = now - admitted.admitted_at - admitted.predicted_s
        if not admitted.work_by_stage or error_s > 0.0:
            self._error.observe(error_s, now)
        for stage in admitted.offer.profile.stages:
            self._remove(admitted, stage)

    def has_started(self, request_id: RequestId) -> bool:
        """Return whether a stage of a request has already been answered."""
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
        """Return when a stage must end so that the later stages can finish in time.

        ``deadline_at`` is the upper bound given by the caller of this method; the
        earlier of the two is returned.
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
        """Return the safety margin for a prediction.

        The margin is zero while targets are idle: an attempt then delays no other
        request, and it shows whether a slow stage has recovered.
        """
        if prediction.wait_s <= 0.0:
            return 0.0
        lag_s = _LOOP_LAGS_PER_REQUEST * self._loop_lag_s
        deviation_s = _SAFETY_DEVIATIONS * prediction.deviation_s
        return max(deviation_s, self._error.margin_s(now)) + lag_s

    def _exceeds_fair_share(self, offer: Offer, pool: PoolName | None) -> bool:
        """Return whether an account has more than its fair share of a pool's work.

        Outstanding work shows a sudden surge at once; measured rates need seconds.
        """
        work = None if pool is None else self._work_by_pool.get(pool)
        if work is None:
            return False
        weights = self.weights_by_account
        active = {*work.work_by_account, offer.account_id}
        total_weight = sum(weights.get(account_id, 1.0) for account_id in active)
        fair_share = weights.get(offer.account_id, 1.0) / total_weight
        held_s = work.work_by_account.get(offer.account_id, 0.0)
        return held_s > fair_share * work.work_s

    def _queue_time_s(
        self, pool: PoolName, capacity: PoolCapacity, now: float
    ) -> float:
        work = self._work_by_pool.get(pool)
        slots = _usable_slots(capacity)
        if work is None or work.n_requests < slots:
            return 0.0
        return work.remaining_s(now) / slots

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


def _refuse_if_unavailable(
    offer: Offer,
    pools: Mapping[PoolName, PoolCapacity],
    now: float,
    rng: random.Random,
) -> Refused | None:
    for stage in offer.profile.stages:
        capacity = pools[stage.pool]
        if capacity.slots > 0:
            continue
        if capacity.next_probe_at is not None and capacity.next_probe_at <= now:
            continue
        opens_in_s = (
            1.0 if capacity.next_probe_at is None else capacity.next_probe_at - now
        )
        detail = f"stage {stage.name}: no target of pool {stage.pool} is available"
        return refused(RefusalReason.NO_TARGET, detail, retry_after_ms(opens_in_s, rng))
    return None


def _deadline_unreachable(
    prediction: Prediction, slack_s: float, rng: random.Random
) -> Refused:
    detail = f"predicted service time exceeds the remaining time by {-slack_s:.3f} s"
    return refused(
        RefusalReason.DEADLINE_UNREACHABLE,
        detail,
        retry_after_ms(prediction.wait_s, rng),
    )


def _overloaded(
    prediction: Prediction, over_share: bool, rng: random.Random
) -> Refused:
    """Refuse, with a retry delay in which the requests now waiting are served."""
    reason = RefusalReason.OVERLOADED
    if over_share:
        reason = RefusalReason.ACCOUNT_OVER_SHARE
    detail = f"predicted wait {prediction.wait_s:.3f} s, pool {prediction.slowest_pool}"
    return refused(reason, detail, retry_after_ms(prediction.wait_s, rng))


def retry_after_ms(wait_s: float, rng: random.Random) -> int:
    """Return the retry delay in milliseconds, with jitter."""
    base_s = min(_RETRY_AFTER_MAX_S, max(_RETRY_AFTER_MIN_S, wait_s))
    return round(1000 * base_s * (1.0 + _RETRY_JITTER * rng.random()))
