"""Runs all stages of one request until their pieces are completed."""

from __future__ import annotations

import asyncio
import math
import random
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from aspendrift_daemon.events import EventHub
from aspendrift_daemon.interfaces import Clock
from aspendrift_gateway.events import StageJobEnded, StageJobSent
from aspendrift_gateway.stage_dispatcher import StageDispatcher
from aspendrift_model.ids import AccountId, PoolName, ZoneName
from aspendrift_model.pieces import Handle, PieceFailure
from aspendrift_model.routes import PoolSpec, Route
from aspendrift_policy.chain_admission import (
    Admit,
    Chain,
    ChainAdmission,
    HoldChain,
    RefuseChain,
)
from aspendrift_policy.fairness import name_hash
from aspendrift_policy.overdue_admission import OverdueAdmission, OverdueDecision
from aspendrift_policy.stage_plan import StagePlan, StageTimes
from aspendrift_policy.stage_scheduler import JobId, JobUpdate, StageJob
from aspendrift_policy.stage_times import StageTimeEstimates

__all__ = ["StageDemand", "StagesCompleted", "StagesFailed", "StagesRunner"]

# Times per request that inputs lost with their target are computed again.
_MAX_RECOMPUTES: Final = 4
# A stage with slack starts this much before its latest start time.
_START_MARGIN_S: Final = 0.1
# Inputs count as expired this long before their expiry, since a call that uses them
# must begin earlier.
_EXPIRY_MARGIN_S: Final = 0.2
# Time from the last stage to the first event of an idle model engine.
_FIRST_EVENT_S: Final = 0.3
# Time that a model engine takes for its first bytes and a few more events.
_FIRST_EVENTS_S: Final = 0.5


@dataclass(frozen=True, slots=True)
class StageDemand:
    """Constraints on the stages of a request; times are monotonic."""

    route: Route
    pools_by_name: Mapping[PoolName, PoolSpec]
    rank: int
    objective_at: float
    deadline_at: float
    zone: ZoneName | None = None
    account_id: AccountId | None = None

    @property
    def account(self) -> int:
        """Hash of the client account; 0 without one."""
        return name_hash(self.account_id) if self.account_id else 0


@dataclass(frozen=True, slots=True)
class StagesCompleted:
    """Every piece has a result."""


@dataclass(frozen=True, slots=True)
class StagesFailed:
    """A stage can't be completed."""

    stage: int
    failure: PieceFailure


@dataclass(slots=True)
class _Job:
    job_id: JobId
    stage: int
    pool: PoolName
    began_at: float


class StagesRunner:
    """Runs the stages of requests through the owners of their pools."""

    def __init__(
        self,
        dispatcher: StageDispatcher,
        times: StageTimeEstimates,
        admission: ChainAdmission,
        clock: Clock,
        events: EventHub,
        rng: random.Random,
    ) -> None:
        self.dispatcher = dispatcher
        self.times = times
        self.clock = clock
        self.events = events
        self.rng = rng
        self._admission = admission

    async def admit(self, chain: Chain, demand: StageDemand) -> Admit | RefuseChain:
        """Decide whether a request starts its stages; may hold it shortly."""
        arrived_at = self.clock.monotonic()
        while True:
            now = self.clock.monotonic()
            decision = self._admission.decide_start(
                chain,
                demand.account,
                demand.objective_at - _FIRST_EVENT_S - now,
                demand.deadline_at - _FIRST_EVENTS_S - now,
                now - arrived_at,
                now,
            )
            if not isinstance(decision, HoldChain):
                return decision
            await asyncio.sleep(decision.poll_s)

    def take_refused(self, pool: PoolName, demand: StageDemand, now: float) -> float:
        """Return the refused pieces that the next job of a pool reports."""
        return self._admission.take_refused(pool, demand.rank, demand.account, now)

    def service_times(self, plan: StagePlan, demand: StageDemand) -> StageTimes:
        """Return the times of the stages of a request without waiting.

        Those with waiting are returned if chains are not rationed.
        """
        if not self._admission.is_rationed:
            return self.times.times(demand.route, demand.rank, demand.pools_by_name)
        return self._admission.service_times(
            demand.route, plan.n_pieces, demand.pools_by_name
        )

    def is_backlogged(self, pool: PoolName, demand: StageDemand) -> bool:
        """Return whether a pool has a backlog of pieces."""
        spec = demand.pools_by_name.get(pool)
        n_targets = self.dispatcher.n_targets(pool)
        now = self.clock.monotonic()
        return self._admission.is_backlogged(pool, spec, n_targets, demand.rank, now)

    async def run(
        self, plan: StagePlan, demand: StageDemand
    ) -> StagesCompleted | StagesFailed:
        """Complete every piece; on failure or cancellation no job stays queued."""
        run = _Run(self, plan, demand)
        try:
            return await run.finish()
        finally:
            run.cancel_jobs()

    def release(self, plan: StagePlan, route: Route) -> None:
        """Free every result that a plan still holds."""
        for stage in plan.release():
            self.dispatcher.free(route.stages[stage].pool, plan.handles(stage))


class _Run:
    """The state of one request's stages while they run."""

    def __init__(
        self, runner: StagesRunner, plan: StagePlan, demand: StageDemand
    ) -> None:
        self._runner = runner
        self._plan = plan
        self._demand = demand
        self._jobs_by_stage: dict[int, _Job] = {}
        self._first_result_at: dict[int, float] = {}
        self._updates: asyncio.Queue[JobUpdate] = asyncio.Queue()
        self._n_recomputes = 0
        self._has_started = False
        self._overdue_admission = OverdueAdmission(runner.rng)

    async def finish(self) -> StagesCompleted | StagesFailed:
        """Submit jobs and apply their updates until all pieces are completed."""
        while not self._plan.is_done:
            wait_s = self._start_ready()
            if wait_s is None:
                return StagesFailed(self._plan.ready_stages()[0], PieceFailure.OVERDUE)
            try:
                async with asyncio.timeout(wait_s):
                    update = await self._updates.get()
            except TimeoutError:
                if self._runner.clock.monotonic() >= self._demand.deadline_at:
                    stage = min(self._jobs_by_stage, default=0)
                    return StagesFailed(stage, PieceFailure.OVERDUE)
                continue
            failed = self._apply(update)
            if failed is not None:
                return failed
        return StagesCompleted()

    def cancel_jobs(self) -> None:
        """Cancel the jobs that are queued or running."""
        for job in self._jobs_by_stage.values():
            self._runner.dispatcher.cancel(job.job_id)
        self._jobs_by_stage.clear()

    def _start_ready(self) -> float | None:
        """Submit the stages that are due; return how long to wait for updates.

        Returns None if an overdue request is refused.
        """
        now = self._runner.clock.monotonic()
        demand = self._demand
        times = self._runner.times.times(
            demand.route, demand.rank, demand.pools_by_name
        )
        # Times with waiting would grow in an overload until every job seemed overdue.
        service = self._runner.service_times(self._plan, demand)
        wait_s = max(0.0, demand.deadline_at - now)
        for stage in self._plan.ready_stages():
            if stage in self._jobs_by_stage:
                continue
            decision = self._decide_overdue(now)
            if decision is OverdueDecision.REFUSE:
                return None
            if decision is OverdueDecision.WAIT:
                return min(wait_s, self._overdue_admission.poll_delay_s())
            slack_s = self._plan.slack_s(stage, times) - _START_MARGIN_S
            if slack_s > 0:
                wait_s = min(wait_s, slack_s)
                continue
            after_s = self._plan.remaining_s(service) - service.of(stage)
            self._start(stage, after_s, now)
        return wait_s

    def _decide_overdue(self, now: float) -> OverdueDecision:
        """Decide whether a request that has not started starts, waits or is refused."""
        if self._has_started:
            return OverdueDecision.START
        demand = self._demand
        is_overdue = now + _FIRST_EVENT_S > demand.objective_at
        pools = {spec.pool for spec in self._plan.specs_by_index.values()}
        is_backlogged = is_overdue and any(
            self._runner.is_backlogged(each, demand) for each in pools
        )
        decision = self._overdue_admission.decide(is_overdue, is_backlogged, now)
        self._has_started = decision is OverdueDecision.START
        return decision

    def _start(self, stage: int, after_s: float, now: float) -> None:
        demand = self._demand
        spec = demand.route.stages[stage]
        works = tuple(self._plan.work(stage))
        job_id = self._runner.dispatcher.new_job_id()
        job = StageJob(
            job_id,
            works,
            spec.result_bytes,
            demand.rank,
            demand.objective_at - after_s - _FIRST_EVENT_S,
            demand.deadline_at - after_s - _FIRST_EVENT_S,
            *self._place(stage, len(works)),
            self._inputs_until(stage),
            self._runner.take_refused(spec.pool, demand, now),
            demand.account,
            self._plan.begin(stage),
        )
        self._jobs_by_stage[stage] = _Job(job_id, stage, spec.pool, now)
        owner = self._runner.dispatcher.submit(spec.pool, job, self._updates.put_nowait)
        self._runner.events.emit(
            StageJobSent(
                self._plan.attempt_id,
                stage,
                spec.pool,
                owner,
                len(works),
                demand.deadline_at - now,
            )
        )

    def _inputs_until(self, stage: int) -> float:
        """Return the time until which all inputs of a stage are likely retained."""
        until = math.inf
        for before in self._plan.inputs_of(stage):
            pool = self._demand.route.stages[before].pool
            spec = self._demand.pools_by_name.get(pool)
            if spec is not None and spec.pieces is not None:
                first_result_at = self._first_result_at.get(before, math.inf)
                until = min(
                    until, first_result_at + spec.pieces.result_ttl_s - _EXPIRY_MARGIN_S
                )
        return until

    def _place(self, stage: int, n_pieces: int) -> tuple[ZoneName | None, float]:
        """Return the preferred zone, and the bytes moved across zones otherwise.

        Each piece fetches all of its inputs; the target of the request fetches the
        results of the last stages. The bytes are 0 while a pool that holds the inputs
        (without inputs, the stage's own pool) is congested, so that no target stays
        idle to keep a job in its zone.
        """
        stages = self._demand.route.stages
        inputs = self._plan.inputs_of(stage)
        zone: ZoneName | None = None
        moved_bytes = 0.0
        if inputs:
            handles = [handle for each in inputs for handle in self._plan.handles(each)]
            zones = Counter(
                self._runner.dispatcher.zone_of(handle) for handle in handles
            )
            zone = zones.most_common(1)[0][0]
            fetched = sum(
                stages[each].result_bytes * self._plan.n_pieces[each] for each in inputs
            )
            moved_bytes = fetched * n_pieces
        elif stage in self._plan.last_stages:
            zone = self._demand.zone
            moved_bytes = stages[stage].result_bytes * n_pieces
        holders = [stages[each].pool for each in inputs] or [stages[stage].pool]
        is_congested = any(self._is_congested(pool) for pool in holders)
        return zone, 0.0 if is_congested else moved_bytes

    def _is_congested(self, pool: PoolName) -> bool:
        demand = self._demand
        return self._runner.times.is_congested(pool, demand.rank, demand.pools_by_name)

    def _apply(self, update: JobUpdate) -> StagesFailed | None:
        job = self._job(update.job_id)
        if job is None:
            self._free_results(update)
            return None
        if update.failure is not None:
            return self._failed(job, update.failure)
        if update.results:
            now = self._runner.clock.monotonic()
            self._first_result_at.setdefault(job.stage, now)
        unneeded: list[int] = []
        for piece_id, handle in update.results:
            if self._plan.has_result(piece_id):
                # Two owners completed the piece; the first result is used.
                self._runner.dispatcher.free(job.pool, [handle])
                continue
            unneeded += self._plan.record_result(piece_id, handle)
        if self._plan.is_completed(job.stage):
            self._ended(job, "")
            self._runner.dispatcher.done(job.job_id)
        # Only now no owner starts a call that names them.
        for stage in unneeded:
            self._free_stage(stage, self._plan.handles(stage))
        return None

    def _free_results(self, update: JobUpdate) -> None:
        """Free results of a job that was cancelled since they came."""
        for piece_id, handle in update.results:
            self._free_stage(piece_id.stage, [handle])

    def _free_stage(self, stage: int, handles: Iterable[Handle]) -> None:
        pool = self._demand.route.stages[stage].pool
        self._runner.dispatcher.free(pool, handles)

    def _failed(self, job: _Job, failure: PieceFailure) -> StagesFailed | None:
        self._ended(job, failure.value)
        may_recompute = (
            failure is PieceFailure.INPUT_GONE and self._n_recomputes < _MAX_RECOMPUTES
        )
        if not may_recompute:
            return StagesFailed(job.stage, failure)
        self._n_recomputes += 1
        discarded = {
            before: self._plan.handles(before)
            for before in self._plan.inputs_of(job.stage)
        }
        for before in discarded:
            self._plan.discard_results(before)
            self._first_result_at.pop(before, None)
        self._cancel_without_inputs()
        for before, handles in discarded.items():
            self._free_stage(before, handles)
        self._has_started = False
        return None

    def _cancel_without_inputs(self) -> None:
        """Cancel the jobs whose inputs are to be computed again."""
        for job in list(self._jobs_by_stage.values()):
            inputs = self._plan.inputs_of(job.stage)
            if not all(self._plan.is_completed(each) for each in inputs):
                self._ended(job, PieceFailure.INPUT_GONE.value)
                self._runner.dispatcher.cancel(job.job_id)

    def _ended(self, job: _Job, failure: str) -> None:
        del self._jobs_by_stage[job.stage]
        took_s = self._runner.clock.monotonic() - job.began_at
        if not failure:
            self._runner.times.record(job.pool, self._demand.rank, took_s)
        self._runner.events.emit(
            StageJobEnded(self._plan.attempt_id, job.stage, job.pool, failure, took_s)
        )

    def _job(self, job_id: JobId) -> _Job | None:
        for job in self._jobs_by_stage.values():
            if job.job_id == job_id:
                return job
        return None
