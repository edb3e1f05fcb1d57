"""Makes the pieces of all stages of one request."""

from __future__ import annotations

import asyncio
import math
import random
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from aspendrift_daemon.events import EventHub
from aspendrift_daemon.interfaces import Clock
from aspendrift_gateway.events import StageJobEnded, StageJobSent
from aspendrift_gateway.stage_work import StageWork
from aspendrift_model.ids import PoolName, ZoneName
from aspendrift_model.pieces import PieceFailure
from aspendrift_model.routes import PoolSpec, Route
from aspendrift_policy.chain_admission import ChainAdmission
from aspendrift_policy.late_door import DoorVerdict, LateDoor
from aspendrift_policy.stage_plan import StagePlan
from aspendrift_policy.stage_scheduler import JobId, JobNews, StageJob
from aspendrift_policy.stage_times import StageTimesBook

__all__ = ["StageDemand", "StagesFailed", "StagesMade", "StagesRunner"]

# Inputs that were lost with their target are made again this often.
_MAX_REDONE: Final = 4
# A stage that may wait is started this much before it has to be.
_EARLY_S: Final = 0.1
# Inputs count as gone this long before their time: a call has to begin before.
_KEEP_MARGIN_S: Final = 0.2
# Time from the last stage to the first event of an idle model engine.
_AFTER_STAGES_S: Final = 0.3


@dataclass(frozen=True, slots=True)
class StageDemand:
    """What the stages of a request have to keep to; times are monotonic."""

    route: Route
    pools_by_name: Mapping[PoolName, PoolSpec]
    rank: int
    objective_at: float
    deadline_at: float
    zone: ZoneName | None = None


@dataclass(frozen=True, slots=True)
class StagesMade:
    """Every piece has a result."""


@dataclass(frozen=True, slots=True)
class StagesFailed:
    """A stage can't be made."""

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
        work: StageWork,
        times: StageTimesBook,
        admission: ChainAdmission,
        clock: Clock,
        events: EventHub,
        rng: random.Random,
    ) -> None:
        self.work = work
        self.times = times
        self.clock = clock
        self.events = events
        self.rng = rng
        self._admission = admission

    def is_backlogged(self, pool: PoolName, demand: StageDemand) -> bool:
        """Return whether a pool has a backlog of pieces."""
        spec = demand.pools_by_name.get(pool)
        n_targets = self.work.n_targets(pool)
        now = self.clock.monotonic()
        return self._admission.is_backlogged(pool, spec, n_targets, demand.rank, now)

    async def run(
        self, plan: StagePlan, demand: StageDemand
    ) -> StagesMade | StagesFailed:
        """Make every piece; on any other end nothing is left queued."""
        run = _Run(self, plan, demand)
        try:
            return await run.finish()
        finally:
            run.cancel_jobs()

    def release(self, plan: StagePlan, route: Route) -> None:
        """Free every result that a plan still holds."""
        for stage in plan.release():
            self.work.free(route.stages[stage].pool, plan.handles(stage))


class _Run:
    """The stages of one request while they are made."""

    def __init__(
        self, runner: StagesRunner, plan: StagePlan, demand: StageDemand
    ) -> None:
        self._runner = runner
        self._plan = plan
        self._demand = demand
        self._jobs_by_stage: dict[int, _Job] = {}
        self._first_made_at: dict[int, float] = {}
        self._news: asyncio.Queue[JobNews] = asyncio.Queue()
        self._n_redone = 0
        self._has_begun = False
        self._door = LateDoor(runner.rng)

    async def finish(self) -> StagesMade | StagesFailed:
        """Hand over jobs and take in news until all is made."""
        while not self._plan.is_done:
            wait_s = self._begin_ready()
            if wait_s is None:
                return StagesFailed(self._plan.ready_stages()[0], PieceFailure.LATE)
            try:
                async with asyncio.timeout(wait_s):
                    news = await self._news.get()
            except TimeoutError:
                if self._runner.clock.monotonic() >= self._demand.deadline_at:
                    stage = min(self._jobs_by_stage, default=0)
                    return StagesFailed(stage, PieceFailure.LATE)
                continue
            failed = self._take(news)
            if failed is not None:
                return failed
        return StagesMade()

    def cancel_jobs(self) -> None:
        """Cancel what is still queued or worked on."""
        for job in self._jobs_by_stage.values():
            self._runner.work.cancel(job.job_id)
        self._jobs_by_stage.clear()

    def _begin_ready(self) -> float | None:
        """Hand over the stages that are due; return how long to wait for news.

        None if the request is not worth a wait any more.
        """
        now = self._runner.clock.monotonic()
        demand = self._demand
        times = self._runner.times.times(
            demand.route, demand.rank, demand.pools_by_name
        )
        wait_s = max(0.0, demand.deadline_at - now)
        for stage in self._plan.ready_stages():
            if stage in self._jobs_by_stage:
                continue
            verdict = self._pass_door(now)
            if verdict is DoorVerdict.REFUSE:
                return None
            if verdict is DoorVerdict.WAIT:
                return min(wait_s, self._door.pause_s())
            slack_s = self._plan.slack_s(stage, times) - _EARLY_S
            if slack_s > 0:
                wait_s = min(wait_s, slack_s)
                continue
            after_s = self._plan.remaining_s(times) - times.of(stage)
            self._begin(stage, after_s, now)
        return wait_s

    def _pass_door(self, now: float) -> DoorVerdict:
        """Let a request that has not begun begin, wait, or end."""
        if self._has_begun:
            return DoorVerdict.BEGIN
        demand = self._demand
        is_late = now + _AFTER_STAGES_S > demand.objective_at
        pools = {spec.pool for spec in self._plan.specs_by_index.values()}
        is_backlogged = is_late and any(
            self._runner.is_backlogged(each, demand) for each in pools
        )
        verdict = self._door.decide(is_late, is_backlogged, now)
        self._has_begun = verdict is DoorVerdict.BEGIN
        return verdict

    def _begin(self, stage: int, after_s: float, now: float) -> None:
        demand = self._demand
        spec = demand.route.stages[stage]
        works = tuple(self._plan.work(stage))
        job_id = self._runner.work.new_job_id()
        job = StageJob(
            job_id,
            works,
            spec.result_bytes,
            demand.rank,
            demand.objective_at - after_s - _AFTER_STAGES_S,
            demand.deadline_at - after_s - _AFTER_STAGES_S,
            *self._place(stage, len(works)),
            self._kept_until(stage),
        )
        self._jobs_by_stage[stage] = _Job(job_id, stage, spec.pool, now)
        owner = self._runner.work.submit(spec.pool, job, self._news.put_nowait)
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

    def _kept_until(self, stage: int) -> float:
        """Return until when all inputs of a stage are likely kept."""
        until = math.inf
        for before in self._plan.inputs_of(stage):
            pool = self._demand.route.stages[before].pool
            spec = self._demand.pools_by_name.get(pool)
            if spec is not None and spec.pieces is not None:
                made_at = self._first_made_at.get(before, math.inf)
                until = min(until, made_at + spec.pieces.keep_s - _KEEP_MARGIN_S)
        return until

    def _place(self, stage: int, n_pieces: int) -> tuple[ZoneName | None, float]:
        """Return the zone to work in, and the bytes worth a wait for it.

        Each piece fetches all of its inputs; the results of the last stages go to
        the target of the request. While a pool that holds the memory is pressed,
        no target waits for the sake of a zone.
        """
        stages = self._demand.route.stages
        inputs = self._plan.inputs_of(stage)
        zone: ZoneName | None = None
        moved_bytes = 0.0
        if inputs:
            handles = [handle for each in inputs for handle in self._plan.handles(each)]
            zones = Counter(self._runner.work.zone_of(handle) for handle in handles)
            zone = zones.most_common(1)[0][0]
            fetched = sum(
                stages[each].result_bytes * self._plan.n_pieces[each] for each in inputs
            )
            moved_bytes = fetched * n_pieces
        elif stage in self._plan.last_stages:
            zone = self._demand.zone
            moved_bytes = stages[stage].result_bytes * n_pieces
        holders = [stages[each].pool for each in inputs] or [stages[stage].pool]
        is_pressed = any(self._is_pressed(pool) for pool in holders)
        return zone, 0.0 if is_pressed else moved_bytes

    def _is_pressed(self, pool: PoolName) -> bool:
        demand = self._demand
        return self._runner.times.is_pressed(pool, demand.rank, demand.pools_by_name)

    def _take(self, news: JobNews) -> StagesFailed | None:
        job = self._job(news.job_id)
        if job is None:
            return None
        if news.failure is not None:
            return self._failed(job, news.failure)
        if news.results:
            now = self._runner.clock.monotonic()
            self._first_made_at.setdefault(job.stage, now)
        for piece_id, handle in news.results:
            if self._plan.has_result(piece_id):
                # Two owners made the piece; the first result counts.
                self._runner.work.free(job.pool, [handle])
                continue
            for used_up in self._plan.made(piece_id, handle):
                pool = self._demand.route.stages[used_up].pool
                self._runner.work.free(pool, self._plan.handles(used_up))
        if self._plan.is_made(job.stage):
            self._ended(job, "")
            self._runner.work.done(job.job_id)
        return None

    def _failed(self, job: _Job, failure: PieceFailure) -> StagesFailed | None:
        self._ended(job, failure.value)
        may_redo = failure is PieceFailure.INPUT_GONE and self._n_redone < _MAX_REDONE
        if not may_redo:
            return StagesFailed(job.stage, failure)
        self._n_redone += 1
        for before in self._plan.inputs_of(job.stage):
            pool = self._demand.route.stages[before].pool
            self._runner.work.free(pool, self._plan.handles(before))
            self._plan.lost(before)
            self._first_made_at.pop(before, None)
        self._has_begun = False
        return None

    def _ended(self, job: _Job, failure: str) -> None:
        del self._jobs_by_stage[job.stage]
        took_s = self._runner.clock.monotonic() - job.began_at
        if not failure:
            self._runner.times.learn(job.pool, self._demand.rank, took_s)
        self._runner.events.emit(
            StageJobEnded(self._plan.attempt_id, job.stage, job.pool, failure, took_s)
        )

    def _job(self, job_id: JobId) -> _Job | None:
        for job in self._jobs_by_stage.values():
            if job.job_id == job_id:
                return job
        return None
