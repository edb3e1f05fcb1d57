"""Admission, queueing and routing of the daemon, based on the policy package."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random
from typing import Final

from aspendrift_daemon.events import EventHub
from aspendrift_daemon.interfaces import Clock, ConfigurationSource, PeerBus
from aspendrift_daemon.pool_directory import Pool, PoolDirectory, Ticket
from aspendrift_daemon.routing_events import (
    AdmissionRefused,
    AttemptReleased,
    RouteRefused,
)
from aspendrift_daemon.use_exchange import UseExchange
from aspendrift_model.configuration import Configuration
from aspendrift_model.hosts import Location
from aspendrift_model.ids import (
    AccountId,
    DaemonId,
    ModelName,
    PoolName,
    RequestId,
    TargetId,
)
from aspendrift_model.outcomes import Refused, refused
from aspendrift_model.settings_routing import RoutingSettings, RoutingStrategy
from aspendrift_model.states import AttemptEnd, Priority, RefusalReason
from aspendrift_model.targets import LoadReport
from aspendrift_policy.admission import (
    AdmissionController,
    PoolCapacity,
    ServiceTimes,
    retry_after_ms,
)
from aspendrift_policy.affinity import CacheHints
from aspendrift_policy.baselines import RandomLimitRouter, RoundRobinRouter
from aspendrift_policy.fairness import FairShares, model_key, name_hash
from aspendrift_policy.interfaces import (
    AttemptResult,
    Offer,
    RouteAnswer,
    RouteChoice,
    RouteQuery,
)
from aspendrift_policy.queueing import QueueEntry, Rank
from aspendrift_policy.retry_budget import RetryBudgets, backoff_s
from aspendrift_policy.router import Router, TwoChoiceRouter

__all__ = ["DaemonDispatcher"]

_TICK_INTERVAL_S: Final = 0.1
_MAX_QUEUE_SKIPS: Final = 16
_MAX_BUDGET_CHOICES: Final = 4


class DaemonDispatcher:
    """Dispatcher of a daemon; see `aspendrift_policy.interfaces.Dispatcher`.

    Parameters
    ----------
    settings : RoutingSettings
        Limits and penalties.
    location : Location
        Where the daemon runs.
    clock : Clock
        Clocks of the process.
    configuration : ConfigurationSource
        Current targets and client accounts.
    bus : PeerBus
        Carries use digests between daemons.
    events : EventHub
        Receives an event for each decision.
    rng : random.Random
        Random source for sampling and jitter.
    daemon_id : DaemonId or None
        This daemon, which receives none of its own digests.
    """

    def __init__(
        self,
        settings: RoutingSettings,
        location: Location,
        clock: Clock,
        configuration: ConfigurationSource,
        bus: PeerBus,
        events: EventHub,
        rng: random.Random,
        daemon_id: DaemonId | None = None,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._events = events
        self._rng = rng
        self._pools = PoolDirectory(settings, location, rng)
        self._weights: dict[int, float] = {}
        self._times = ServiceTimes()
        self._admission = AdmissionController(self._times)
        self._shares = FairShares()
        self.hints = CacheHints()
        self._is_baseline = settings.strategy is not RoutingStrategy.ASPENDRIFT
        self._router = self._make_router()
        self._account_budgets: RetryBudgets[AccountId] = RetryBudgets(
            settings.retry_share, settings.retry_floor_per_s
        )
        self._target_budgets: RetryBudgets[TargetId] = RetryBudgets(
            settings.retry_share, settings.retry_floor_per_s
        )
        self._peers = UseExchange(
            settings, clock, bus, self._shares, self, rng, daemon_id
        )
        self._ticker: asyncio.Task[None] | None = None
        configuration.on_change(self._configured)
        self._configured(configuration.current())

    async def start(self) -> None:
        """Start exchanging digests and serving the queues periodically."""
        await self._peers.start()
        self._ticker = asyncio.create_task(self._tick_forever())

    async def stop(self) -> None:
        """Stop the background tasks; queued attempts keep their timers."""
        await self._peers.stop()
        if self._ticker is not None:
            self._ticker.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._ticker

    def admit(self, offer: Offer) -> Refused | None:
        """Admit a request or return the refusal; call ``depart`` when it has ended."""
        if self._is_baseline:
            return None
        now = self._clock.monotonic()
        pools: dict[PoolName, PoolCapacity] = {}
        for stage in offer.profile.stages:
            pool = self._pools.pools_by_name.get(stage.pool)
            if pool is None:
                detail = f"stage {stage.name}: pool {stage.pool} has no target"
                answer = refused(RefusalReason.NO_TARGET, detail)
                return self._refuse_admission(offer, answer)
            pools[stage.pool] = pool.capacity()
        for stage in offer.profile.stages:
            time = self._times.predict(offer.profile, stage, offer.max_tokens, now)
            self._shares.record_demand(stage.pool, time.mean_s, now)
            if stage.model is not None:
                key = model_key(stage.pool, stage.model)
                self._shares.record_demand(key, time.mean_s, now)
        dominant_share_s = self._admission.dominant_share_s(offer, pools, now)
        self._shares.record_offered(offer.account_id, dominant_share_s, now)
        is_over_share = self._shares.over_share(
            offer.account_id, self._weights, self._peers.n_daemons(), now
        )
        refusal = self._admission.admit(offer, pools, is_over_share, now, self._rng)
        if refusal is not None:
            return self._refuse_admission(offer, refusal)
        self._shares.record_admitted(offer.account_id, dominant_share_s, now)
        return None

    def depart(self, request_id: RequestId) -> None:
        """Remove an admitted request that has ended."""
        self._admission.release(request_id, self._clock.monotonic())

    async def acquire(self, query: RouteQuery) -> RouteAnswer:
        """Wait, within the deadline, for a slot on a target and acquire it."""
        now = self._clock.monotonic()
        pool = self._pools.pools_by_name.get(query.stage.pool)
        if pool is None:
            detail = f"pool {query.stage.pool} has no target"
            return self._refuse(query, RefusalReason.NO_TARGET, detail, now, now)
        latest_start = self._latest_start(query, now)
        if latest_start < now:
            return self._refuse_overdue(query, now, now)
        budget_refusal = self._charge_account_budget(query, now)
        if budget_refusal is not None:
            return budget_refusal
        if query.is_retry:
            await asyncio.sleep(backoff_s(len(query.excluded), self._rng))
            now = self._clock.monotonic()
        if not len(pool.queue):
            choice = self._choose(pool, query, now, now)
            if choice is not None:
                return choice
        if not self._can_wait(pool, query, now):
            return self._refuse_without_target(pool, query, now, now)
        return await self._wait(pool, query, latest_start, now)

    def release(
        self, query: RouteQuery, choice: RouteChoice, result: AttemptResult
    ) -> None:
        """Release the slot and record the attempt; call once per choice."""
        now = self._clock.monotonic()
        target_id = choice.target.target_id
        self._events.emit(
            AttemptReleased(
                query.request_id,
                query.account_id,
                query.profile.name,
                query.stage.name,
                query.stage.pool,
                target_id,
                result.end,
                result.held_s,
                result.busy_s,
            )
        )
        if result.end is AttemptEnd.ANSWERED:
            self._record_answered(query, target_id, result, now)
        else:
            self._admission.stage_stopped(query.request_id, query.stage)
        pool = self._pools.pools_by_target.get(target_id)
        if pool is None:
            return
        pool.targets.record_ended(target_id, now)
        pool.targets.attempt_ended(target_id, result.end, now)
        self._serve_queue(pool, now)

    def model_demand(self, pool: PoolName, model: ModelName) -> float:
        """Return the number of slots that the requests of all daemons need now."""
        now = self._clock.monotonic()
        n_daemons = self._peers.n_daemons()
        return self._shares.system_demand(model_key(pool, model), n_daemons, now)

    def uses(self, target_id: TargetId) -> bool:
        """Return whether this daemon sends requests to a target."""
        return target_id in self._pools.pools_by_target

    def n_in_flight(self, target_id: TargetId) -> int:
        """Return how many attempts of this daemon hold a slot on a target."""
        candidate = self._pools.candidate(target_id)
        return 0 if candidate is None else candidate.load.own_active

    def load_reported(self, report: LoadReport) -> None:
        """Apply a load report and share it with peers."""
        now = self._clock.monotonic()
        self.apply_report(report, now)
        self._peers.share_report(report, now)

    def load_missed(self, target_id: TargetId) -> None:
        """Record that a target did not answer a load poll."""
        pool = self._pools.pools_by_target.get(target_id)
        if pool is not None:
            pool.targets.record_missed_poll(target_id, self._clock.monotonic())

    def target_by_hash(self, name_hash: int) -> TargetId | None:
        """Return the target in use whose id has the given hash."""
        return self._pools.target_by_hash(name_hash)

    def _make_router(self) -> Router:
        if self._settings.strategy is RoutingStrategy.ROUND_ROBIN:
            return RoundRobinRouter()
        if self._settings.strategy is RoutingStrategy.RANDOM_LIMIT:
            return RandomLimitRouter(self._rng)
        return TwoChoiceRouter(self._settings, self.hints, self._rng)

    def _configured(self, configuration: Configuration) -> None:
        now = self._clock.monotonic()
        self._pools.configure(configuration.targets_by_id.values(), now)
        for pool in self._pools.pools_by_name.values():
            self._serve_queue(pool, now)
        weights = {
            account.account_id: account.share
            for account in configuration.accounts_by_id.values()
        }
        self._admission.weights_by_account = weights
        self._weights = {name_hash(name): share for name, share in weights.items()}

    def _refuse_admission(self, offer: Offer, answer: Refused) -> Refused:
        self._events.emit(
            AdmissionRefused(
                offer.request_id,
                offer.account_id,
                answer.reason,
                answer.detail,
                answer.retry_after_ms,
            )
        )
        return answer

    def _latest_start(self, query: RouteQuery, now: float) -> float:
        if self._is_baseline:
            return query.deadline_at
        time = self._times.predict(query.profile, query.stage, query.max_tokens, now)
        latest_end = self._admission.latest_end(
            query.request_id,
            query.profile,
            query.stage,
            query.deadline_at,
            query.max_tokens,
            now,
        )
        return latest_end - max(0.0, time.mean_s - time.deviation_s)

    def _charge_account_budget(self, query: RouteQuery, now: float) -> Refused | None:
        budget = self._account_budgets.of(query.account_id, now)
        if not query.is_retry:
            budget.record_first_attempt(now)
            return None
        if not budget.may_retry(now):
            detail = f"client account {query.account_id}"
            reason = RefusalReason.RETRY_BUDGET_SPENT
            return self._refuse(query, reason, detail, now, now)
        budget.consume()
        return None

    def _choose(
        self, pool: Pool, query: RouteQuery, queued_at: float, now: float
    ) -> RouteChoice | None:
        time = self._times.predict(query.profile, query.stage, query.max_tokens, now)
        choice = self._router.choose(pool.targets, query, time.mean_s, now)
        if query.is_retry:
            choice = self._within_budget(pool, query, choice, time.mean_s, now)
        if choice is None:
            return None
        target_id = choice.target.target_id
        pool.targets.record_sent(target_id, now)
        self._admission.stage_started(query.request_id, query.stage, now)
        budget = self._target_budgets.of(target_id, now)
        if query.is_retry:
            budget.consume()
        else:
            budget.record_first_attempt(now)
        return dataclasses.replace(choice, queued_s=now - queued_at)

    def _within_budget(
        self,
        pool: Pool,
        query: RouteQuery,
        choice: RouteChoice | None,
        service_s: float,
        now: float,
    ) -> RouteChoice | None:
        """Replace a choice whose target lacks retry budget, a few times at most."""
        for _ in range(_MAX_BUDGET_CHOICES):
            if choice is None:
                return None
            target_id = choice.target.target_id
            if self._target_budgets.of(target_id, now).may_retry(now):
                return choice
            excluded = query.excluded | {target_id}
            query = dataclasses.replace(query, excluded=excluded)
            choice = self._router.choose(pool.targets, query, service_s, now)
        return None

    def _can_wait(self, pool: Pool, query: RouteQuery, now: float) -> bool:
        if not any(pool.targets.tiers):
            return False
        if self._is_baseline or self._admission.has_started(query.request_id):
            return True
        return pool.targets.may_serve(query, now)

    async def _wait(
        self, pool: Pool, query: RouteQuery, latest_start: float, now: float
    ) -> RouteAnswer:
        loop = asyncio.get_running_loop()
        ticket = Ticket(query, loop.create_future(), now)
        waiting = pool.queue.push(self._rank(query, latest_start, now), ticket, now)
        self._serve_queue(pool, now)
        self._arm_timer(pool, now)
        try:
            return await ticket.answer
        except asyncio.CancelledError:
            self._abandon(pool, waiting)
            raise

    def _rank(self, query: RouteQuery, latest_start: float, now: float) -> Rank:
        if self._is_baseline:
            return Rank(False, False, query.priority, 0.0, latest_start)
        is_unstarted = not self._admission.has_started(query.request_id)
        is_over_share = is_unstarted and self._shares.over_share(
            query.account_id, self._weights, self._peers.n_daemons(), now
        )
        priority = query.priority if is_unstarted else Priority.URGENT
        return Rank(is_unstarted, is_over_share, priority, latest_start, latest_start)

    def _abandon(self, pool: Pool, waiting: QueueEntry[Ticket]) -> None:
        pool.queue.remove(waiting)
        answer = waiting.ticket.answer
        if answer.cancelled() or not answer.done():
            return
        choice = answer.result()
        if isinstance(choice, RouteChoice):
            unused = AttemptResult(AttemptEnd.CANCELLED, 0.0, 0.0)
            self.release(waiting.ticket.query, choice, unused)

    def _serve_queue(self, pool: Pool, now: float) -> None:
        if not len(pool.queue):
            return

        def assign(ticket: Ticket) -> bool:
            if ticket.answer.done():
                return True
            choice = self._choose(pool, ticket.query, ticket.queued_at, now)
            if choice is not None:
                ticket.answer.set_result(choice)
            return choice is not None

        pool.queue.serve(assign, _MAX_QUEUE_SKIPS)

    def _expire(self, pool: Pool, now: float) -> None:
        for waiting in pool.queue.expire(now):
            ticket = waiting.ticket
            if not ticket.answer.done():
                answer = self._refuse_overdue(ticket.query, ticket.queued_at, now)
                ticket.answer.set_result(answer)

    def _arm_timer(self, pool: Pool, now: float) -> None:
        if pool.timer is not None:
            pool.timer.cancel()
            pool.timer = None
        expiry = pool.queue.next_expiry()
        if expiry is not None:
            loop = asyncio.get_running_loop()
            delay_s = max(0.0, expiry - now) + 0.001
            pool.timer = loop.call_later(delay_s, self._timer_fired, pool)

    def _timer_fired(self, pool: Pool) -> None:
        now = self._clock.monotonic()
        pool.timer = None
        self._expire(pool, now)
        self._arm_timer(pool, now)

    async def _tick_forever(self) -> None:
        while True:
            due = self._clock.monotonic() + _TICK_INTERVAL_S
            await asyncio.sleep(_TICK_INTERVAL_S)
            now = self._clock.monotonic()
            self._admission.record_loop_lag(max(0.0, now - due))
            self._tick(now)

    def _tick(self, now: float) -> None:
        n_daemons = self._peers.n_daemons()
        for name, pool in self._pools.pools_by_name.items():
            n_slots = pool.targets.n_open_slots
            pool.share = self._shares.share_of_pool(name, n_slots, n_daemons, now)
            pool.targets.refresh(pool.share, self._peers.rank(), now)
            self._serve_queue(pool, now)
            self._refuse_unserved(pool, now)

    def _refuse_unserved(self, pool: Pool, now: float) -> None:
        if pool.targets.n_open_slots:
            return
        for waiting in pool.queue.waiting():
            ticket = waiting.ticket
            if ticket.answer.done() or self._can_wait(pool, ticket.query, now):
                continue
            pool.queue.remove(waiting)
            answer = self._refuse_without_target(
                pool, ticket.query, ticket.queued_at, now
            )
            ticket.answer.set_result(answer)

    def _record_answered(
        self,
        query: RouteQuery,
        target_id: TargetId,
        result: AttemptResult,
        now: float,
    ) -> None:
        args = (query.profile, query.stage, query.max_tokens)
        predicted_s = self._times.predict(*args, now).mean_s
        self._times.observe(*args, result.held_s, now)
        self._admission.stage_ended(query.request_id, query.stage)
        candidate = self._pools.candidate(target_id)
        if candidate is not None and predicted_s > 0.0:
            candidate.update_slowness(result.held_s / predicted_s)

    def apply_report(self, report: LoadReport, now: float) -> None:
        """Apply a load report, polled by this daemon or a peer."""
        pool = self._pools.pools_by_target.get(report.target_id)
        if pool is not None:
            pool.targets.apply_report(report, now)
            self._serve_queue(pool, now)

    def _refuse_overdue(
        self, query: RouteQuery, queued_at: float, now: float
    ) -> Refused:
        reason = RefusalReason.DEADLINE_UNREACHABLE
        if query.deadline_at <= now:
            reason = RefusalReason.DEADLINE_EXCEEDED
        detail = f"stage {query.stage.name} can no longer end before its deadline"
        return self._refuse(query, reason, detail, queued_at, now)

    def _refuse_without_target(
        self, pool: Pool, query: RouteQuery, queued_at: float, now: float
    ) -> Refused:
        next_probe_at = pool.targets.next_probe_at()
        wait_s = 1.0 if next_probe_at is None else max(0.0, next_probe_at - now)
        detail = f"no target of pool {query.stage.pool} accepts the stage now"
        return self._refuse(
            query, RefusalReason.NO_TARGET, detail, queued_at, now, wait_s
        )

    def _refuse(
        self,
        query: RouteQuery,
        reason: RefusalReason,
        detail: str,
        queued_at: float,
        now: float,
        wait_s: float = 0.0,
    ) -> Refused:
        self._events.emit(
            RouteRefused(
                query.request_id, query.stage.name, reason, detail, now - queued_at
            )
        )
        return refused(reason, detail, retry_after_ms(wait_s, self._rng))
