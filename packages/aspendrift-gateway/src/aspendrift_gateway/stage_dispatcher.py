"""Submits stage jobs to the daemon that schedules their pool.

The owner of a pool is the first daemon in the pool's order that is live, or listed and
not yet contacted. An owner that does not accept a job within a short time, or stops
sending, is suspected for some time: its jobs go to the next daemon in the order, in
the worst case to this daemon itself.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Final

import msgspec

from aspendrift_daemon.events import EventHub
from aspendrift_daemon.interfaces import Clock
from aspendrift_daemon.peer_decoding import PeerDecoder
from aspendrift_daemon.peers import PeerLink
from aspendrift_gateway.events import StagePoolRationed, StagePoolState
from aspendrift_gateway.interfaces import TargetCodec
from aspendrift_gateway.permit_exchange import PermitExchange
from aspendrift_gateway.pool_runner import PoolRunner
from aspendrift_gateway.system_state import SystemState
from aspendrift_gateway.target_client import TargetClient
from aspendrift_model.hosts import Host, HostCapacity
from aspendrift_model.ids import AttemptId, DaemonId, PoolName, ZoneName
from aspendrift_model.pieces import (
    Handle,
    JobOrigin,
    PieceFailure,
    PieceId,
    PieceWork,
)
from aspendrift_model.routes import PieceLimits
from aspendrift_model.states import MemberState
from aspendrift_model.wire_work import (
    CancelJob,
    FreeResults,
    JobAccepted,
    JobEnded,
    JobResults,
    OwnerHeartbeat,
    PoolLoad,
    SubmitJob,
    WorkMessage,
)
from aspendrift_policy.chain_admission import (
    ChainAdmission,
    PoolMeasures,
    RankLoad,
)
from aspendrift_policy.chain_shares import StartShares
from aspendrift_policy.loop_lag import LagWindow, PauseWatch
from aspendrift_policy.owner_choice import (
    HostDemand,
    assign_pools,
    owners_in_order,
    pool_demand,
)
from aspendrift_policy.repeat_window import RepeatWindow
from aspendrift_policy.retry_budget import RetryLimit
from aspendrift_policy.stage_scheduler import JobId, JobUpdate, StageJob, StageScheduler

__all__ = ["WORK_TOPIC", "JobListener", "StageDispatcher"]

WORK_TOPIC: Final = "w"

JobListener = Callable[[JobUpdate], None]


def _no_daemons(now: float) -> frozenset[DaemonId]:
    return frozenset()


_MS_PER_S: Final = 1000.0
# Sent as the remaining time of inputs that don't expire.
_NO_EXPIRY_S: Final = 3600.0
_STEP_INTERVAL_S: Final = 0.1
# The latency between daemons is a few milliseconds; a job that is not accepted within
# this time is likely lost with its owner.
_ACCEPT_TIMEOUT_S: Final = 0.25
# Owners send heartbeats at this interval to each daemon that has jobs at them; an
# owner counts as lost after three missed heartbeats.
_HEARTBEAT_INTERVAL_S: Final = 0.25
_HEARTBEAT_TIMEOUT_S: Final = 0.8
_SUSPECT_S: Final = 3.0
_OWNER_STATES: Final = frozenset({MemberState.LIVE, MemberState.JOINING})
# Maximum rate at which an owner sends the load of one pool to the other daemons.
_LOADS_PER_S: Final = 200.0
# Shortest interval between log lines on the rationing of one pool.
_RATIONING_LOG_INTERVAL_S: Final = 1.0
# Interval between log lines on the state of the pools scheduled here.
_STATE_LOG_INTERVAL_S: Final = 1.0


@dataclass(slots=True)
class _SubmittedJob:
    """A job that this daemon submitted to an owner."""

    pool: PoolName
    job: StageJob
    listener: JobListener
    owner: DaemonId
    sent_at: float
    is_accepted: bool = False
    earlier_owners: tuple[DaemonId, ...] = ()


class StageDispatcher:
    """Submits jobs to owners, and runs jobs of all daemons in the pools it owns.

    Parameters
    ----------
    without_links : callable
        Returns the daemons that reach no target and therefore own no pool.
    repeat_limit : callable or None
        Returns the limit on the pieces of one pool that all owners send again.
    """

    def __init__(
        self,
        link: PeerLink,
        state: SystemState,
        client: TargetClient,
        codec: TargetCodec,
        admission: ChainAdmission,
        clock: Clock,
        events: EventHub,
        make_scheduler: Callable[[PieceLimits], StageScheduler],
        without_links: Callable[[float], frozenset[DaemonId]] = _no_daemons,
        repeat_limit: Callable[[], RetryLimit] | None = None,
    ) -> None:
        self._link = link
        self._make_scheduler = make_scheduler
        self._repeat_limit = repeat_limit
        self._without_links = without_links
        self._admission = admission
        self._state = state
        self._client = client
        self._codec = codec
        self._clock = clock
        self._events = events
        self._runners_by_pool: dict[PoolName, PoolRunner] = {}
        self._submitted_by_id: dict[JobId, _SubmittedJob] = {}
        self._origins_by_job: dict[JobId, tuple[DaemonId, PoolName]] = {}
        self._received_at_by_owner: dict[DaemonId, float] = {}
        self._suspected_until: dict[DaemonId, float] = {}
        # Owners for the members, suspects, capacities and demands that they were
        # chosen from.
        self._owner_by_pool: dict[PoolName, DaemonId] = {}
        self._capacity_by_id: Mapping[DaemonId, HostCapacity] = {}
        self._demand_by_pool: dict[PoolName, HostDemand] = {}
        self._members: Sequence[tuple[Host, MemberState]] = ()
        self._suspects: frozenset[DaemonId] = frozenset()
        self._heartbeat_sent_at = 0.0
        self._loads_sent_at = 0.0
        # Pools whose load the other daemons were sent last time.
        self._announced_pools: set[PoolName] = set()
        self._rationing_logged_at: dict[PoolName, float] = {}
        self._started_at = self._state_logged_at = clock.monotonic()
        # Loads that other owners sent, with the time of their arrival.
        self._received_load_by_pool: dict[PoolName, tuple[float, PoolLoad]] = {}
        self._lag = LagWindow()
        self._pauses = PauseWatch()
        self._sequence = 0
        self._task: asyncio.Task[None] | None = None
        self._permits: PermitExchange | None = None
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder: PeerDecoder[WorkMessage] = PeerDecoder(
            WorkMessage, WORK_TOPIC, events
        )
        link.subscribe(WORK_TOPIC, self._on_message)

    def require_permits(self, permits: PermitExchange) -> None:
        """Send calls to limited targets only with a permit."""
        self._permits = permits

    async def start(self) -> None:
        """Start monitoring the owners of jobs."""
        self._task = asyncio.create_task(self._step_forever())

    async def stop(self) -> None:
        """Cancel all calls and stop."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        for runner in self._runners_by_pool.values():
            await runner.stop()

    def new_job_id(self) -> JobId:
        """Return an id that no other job of any daemon has."""
        self._sequence += 1
        host = self._link.host
        return JobId(f"{host.daemon_id}/{host.incarnation}/{self._sequence}")

    def owner(self, pool: PoolName, now: float) -> DaemonId:
        """Return the daemon that should schedule a pool."""
        members = self._link.members()
        suspects = self._without_links(now).union(
            each for each, until in self._suspected_until.items() if until > now
        )
        capacities = self._link.capacities()
        if (
            members is not self._members
            or suspects != self._suspects
            or capacities is not self._capacity_by_id
        ):
            self._members, self._suspects = members, suspects
            self._capacity_by_id = capacities
            self._update_demands()
            self._owner_by_pool.clear()
        if not self._owner_by_pool:
            self._owner_by_pool = assign_pools(
                self._demand_by_pool, self._candidates(now), capacities
            )
        found = self._owner_by_pool.get(pool)
        if found is None:
            found = owners_in_order(pool, self._candidates(now))[0]
            self._owner_by_pool[pool] = found
        return found

    def _update_demands(self) -> bool:
        """Update what owning each pool takes; return whether that changed."""
        table = self._state.table
        if table is None:
            return False
        demands = {
            pool: pool_demand(spec, self.n_targets(pool), len(self._members))
            for pool, spec in table.configuration.pools_by_name.items()
        }
        is_changed = demands != self._demand_by_pool
        self._demand_by_pool = demands
        return is_changed

    def _candidates(self, now: float) -> list[DaemonId]:
        """Return the daemons that may own pools.

        Load it answers: the first seconds after many daemons started. All know the
        list of members before they have reached each other; if only live members
        counted, each would own every pool for itself, and the results of all would
        fill the memory of the targets.
        """
        own_id = self._link.host.daemon_id
        others = [
            host.daemon_id
            for host, state in self._members
            if host.daemon_id != own_id
            and state in _OWNER_STATES
            and host.daemon_id not in self._suspects
        ]
        if others and own_id in self._without_links(now):
            return others
        return [own_id, *others]

    def submit(self, pool: PoolName, job: StageJob, listener: JobListener) -> DaemonId:
        """Submit a job; the listener receives its updates. Return the owner."""
        now = self._clock.monotonic()
        owner = self.owner(pool, now)
        submitted = _SubmittedJob(pool, job, listener, owner, now)
        earlier = self._submitted_by_id.get(job.job_id)
        if earlier is not None:
            submitted.job = job = _resubmitted(job)
            submitted.earlier_owners = (*earlier.earlier_owners, earlier.owner)
            if earlier.owner != owner:
                self._cancel_at(earlier.owner, pool, job.job_id, keeps_calls=True)
        self._submitted_by_id[job.job_id] = submitted
        if owner == self._link.host.daemon_id:
            self._submit_here(pool, job)
        else:
            self._send(owner, _submit_message(pool, job, now))
        return owner

    def cancel(self, job_id: JobId) -> None:
        """Cancel a job at every owner that it was submitted to."""
        submitted = self._submitted_by_id.pop(job_id, None)
        if submitted is not None:
            for owner in (submitted.owner, *submitted.earlier_owners):
                self._cancel_at(owner, submitted.pool, job_id)

    def done(self, job_id: JobId) -> None:
        """Remove a job whose pieces are all completed.

        If it was submitted to several owners, one of them may still run it, so it is
        cancelled at all of them.
        """
        submitted = self._submitted_by_id.get(job_id)
        if submitted is not None and submitted.earlier_owners:
            self.cancel(job_id)
        self._submitted_by_id.pop(job_id, None)

    def _cancel_at(
        self,
        owner: DaemonId,
        pool: PoolName,
        job_id: JobId,
        *,
        keeps_calls: bool = False,
    ) -> None:
        if owner != self._link.host.daemon_id:
            self._send(owner, CancelJob(job_id, pool, keeps_calls))
        else:
            self._cancel_here(pool, job_id, keeps_calls)

    def _cancel_here(self, pool: PoolName, job_id: JobId, keeps_calls: bool) -> None:
        runner = self._runners_by_pool.get(pool)
        if runner is None:
            return
        if keeps_calls:
            runner.withdraw(job_id)
        else:
            runner.cancel(job_id)

    def free(self, pool: PoolName, handles: Iterable[Handle]) -> None:
        """Free results of a pool."""
        found = tuple(handles)
        if not found:
            return
        owner = self.owner(pool, self._clock.monotonic())
        if owner == self._link.host.daemon_id:
            self._free_here(pool, found)
        else:
            self._send(owner, FreeResults(pool, found))

    def n_targets(self, pool: PoolName) -> int:
        """Return the number of usable targets of a pool."""
        return len(self._state.registry.usable(pool))

    def zone_of(self, handle: Handle) -> ZoneName | None:
        """Return the zone of the target that holds a result."""
        return self._state.zone_of_address(self._codec.holder(handle))

    def targets_changed(self) -> None:
        """Apply the targets and limits now in force."""
        if self._update_demands():
            self._owner_by_pool.clear()
        for runner in self._runners_by_pool.values():
            runner.schedule_step()

    def loop_lag_s(self) -> float:
        """Return the longest recent delay of this daemon's event loop, in seconds."""
        return self._lag.longest_s(self._clock.monotonic())

    async def _step_forever(self) -> None:
        while True:
            due_at = self._clock.monotonic() + _STEP_INTERVAL_S
            self._pauses.expect(due_at)
            await asyncio.sleep(_STEP_INTERVAL_S)
            now = self._clock.monotonic()
            lag_s = max(0.0, now - due_at)
            if self._pauses.catches_up_until(now) > now:
                for runner in self._runners_by_pool.values():
                    runner.meter.restart()
            self._lag.record(lag_s, now)
            self._exclude_lag(lag_s, now)
            self.step(now)

    def _exclude_lag(self, lag_s: float, now: float) -> None:
        """Leave the time that this daemon stood still out of the silence of owners.

        It read none of their messages then. All daemons may have stood still, so that
        an owner's reply may also come later.
        """
        for submitted in self._submitted_by_id.values():
            submitted.sent_at = min(now, submitted.sent_at + lag_s)
        for owner, received_at in self._received_at_by_owner.items():
            self._received_at_by_owner[owner] = min(now, received_at + lag_s)

    def step(self, now: float) -> None:
        """Resubmit jobs of lost owners; send heartbeats and pool loads."""
        own_id = self._link.host.daemon_id
        without_links = self._without_links(now)
        for submitted in list(self._submitted_by_id.values()):
            if submitted.owner != own_id and self._is_lost(submitted, now):
                self._suspected_until[submitted.owner] = now + _SUSPECT_S
            elif submitted.owner not in without_links:
                continue
            self.submit(submitted.pool, submitted.job, submitted.listener)
        for pool, runner in self._runners_by_pool.items():
            self._set_owner(pool, runner, now)
        if now - self._heartbeat_sent_at >= _HEARTBEAT_INTERVAL_S:
            self._heartbeat_sent_at = now
            for origin in {origin for origin, _ in self._origins_by_job.values()}:
                self._send(origin, OwnerHeartbeat())
            interval_s = len(self._link.members()) / _LOADS_PER_S
            if now - self._loads_sent_at >= interval_s:
                self._loads_sent_at = now
                self._send_loads(now)
        if now - self._state_logged_at >= _STATE_LOG_INTERVAL_S:
            self._log_states(now - self._state_logged_at, now)
            self._state_logged_at = now

    def _send_loads(self, now: float) -> None:
        """Send the load of the pools scheduled here to every daemon.

        Directly: relayed by daemons that don't know who has it, each message would
        cross the network several times for each daemon.
        """
        for pool, runner in self._runners_by_pool.items():
            measures = runner.measures(now)
            is_loaded = any(each.n_waiting for each in measures.loads)
            is_announced = is_loaded or runner.is_telling(now)
            if not is_announced and pool not in self._announced_pools:
                continue
            # The end of a backlog is sent once, so that daemons start chains again.
            self._announced_pools.discard(pool)
            if is_announced:
                self._announced_pools.add(pool)
            n_requests, n_repeats = runner.recent_counts(now)
            self._admission.update_measures(pool, measures, now)
            self._log_rationing(pool, measures, now)
            loads = tuple(
                (each.rank, each.n_waiting, each.arrivals_per_s)
                for each in measures.loads
            )
            encoded = self._encoder.encode(
                PoolLoad(
                    pool,
                    measures.completed_per_s,
                    loads,
                    measures.capacity_per_s,
                    measures.usual_call_s,
                    measures.call_s,
                    measures.piece_s,
                    measures.on_time,
                    tuple(measures.shares.by_rank.items()),
                    tuple(
                        (rank, account, share)
                        for (rank, account), share in measures.shares.by_account.items()
                    ),
                    n_requests,
                    n_repeats,
                )
            )
            self._link.send_each(self._link.live_ids(), WORK_TOPIC, encoded)

    def _log_rationing(
        self, pool: PoolName, measures: PoolMeasures, now: float
    ) -> None:
        by_rank = measures.shares.by_rank
        logged_at = self._rationing_logged_at.get(pool, -math.inf)
        if not by_rank or now - logged_at < _RATIONING_LOG_INTERVAL_S:
            return
        self._rationing_logged_at[pool] = now
        self._events.emit(
            StagePoolRationed(
                pool,
                measures.capacity_per_s,
                sum(each.n_waiting for each in measures.loads),
                sum(count for _, count in measures.on_time),
                ", ".join(f"{rank}: {share:.2f}" for rank, share in by_rank.items()),
                len(measures.shares.by_account),
            )
        )

    def _log_states(self, since_s: float, now: float) -> None:
        for pool, runner in self._runners_by_pool.items():
            n_bytes = runner.take_sent_bytes()
            scheduler = runner.scheduler
            if not scheduler.n_jobs:
                continue
            state = scheduler.state(now)
            self._events.emit(
                StagePoolState(
                    pool,
                    state.n_jobs,
                    state.n_overdue,
                    state.n_without_memory,
                    state.memory_share,
                    state.n_working,
                    state.n_targets,
                    state.n_repeats,
                    scheduler.times.full_call_s,
                    scheduler.limits.full_call_s,
                    n_bytes / since_s,
                    self._lag.longest_s(now),
                )
            )

    def _is_lost(self, submitted: _SubmittedJob, now: float) -> bool:
        received_at = self._received_at_by_owner.get(submitted.owner, 0.0)
        if not submitted.is_accepted:
            return now - submitted.sent_at > _ACCEPT_TIMEOUT_S
        return now - max(received_at, submitted.sent_at) > _HEARTBEAT_TIMEOUT_S

    def _submit_here(self, pool: PoolName, job: StageJob) -> None:
        runner = self._runner(pool)
        if runner is None:
            self._on_update(pool, JobUpdate(job.job_id, failure=PieceFailure.ERROR))
        else:
            runner.submit(job)

    def _free_here(self, pool: PoolName, handles: Iterable[Handle]) -> None:
        runner = self._runner(pool)
        if runner is not None:
            runner.free(handles)

    def _runner(self, pool: PoolName) -> PoolRunner | None:
        """Return the runner of a pool; None for a pool that never had stage pieces."""
        table = self._state.table
        spec = None if table is None else table.configuration.pools_by_name.get(pool)
        if spec is None or spec.pieces is None:
            return self._runners_by_pool.get(pool)
        runner = self._runners_by_pool.get(pool)
        if runner is None:
            runner = PoolRunner(
                pool,
                self._make_scheduler(spec.pieces),
                lambda: self._state.registry.usable(pool),
                lambda: self._state.is_evacuated(pool),
                self._client,
                self._codec,
                self._clock,
                self._events,
                lambda update: self._on_update(pool, update),
                self._permits,
                self._repeat_window(),
                self._pauses.catches_up_until,
            )
            self._runners_by_pool[pool] = runner
            self._set_owner(pool, runner, self._clock.monotonic())
        runner.scheduler.set_limits(spec.pieces)
        return runner

    def _repeat_window(self) -> RepeatWindow | None:
        if self._repeat_limit is None:
            return None
        return RepeatWindow(self._repeat_limit, self._started_at)

    def _set_owner(self, pool: PoolName, runner: PoolRunner, now: float) -> None:
        is_owner = self.owner(pool, now) == self._link.host.daemon_id
        runner.set_owner(is_owner, self._told(pool, now), now)

    def _told(self, pool: PoolName, now: float) -> PoolLoad | None:
        """Return the last load of a pool that another owner sent within the window."""
        told_at, load = self._received_load_by_pool.get(pool, (-math.inf, None))
        if self._repeat_limit is None or now - told_at > self._repeat_limit().window_s:
            return None
        return load

    def _on_update(self, pool: PoolName, update: JobUpdate) -> None:
        """Forward an update of a job scheduled here to the daemon that submitted it."""
        origin = self._origins_by_job.get(update.job_id)
        if origin is None:
            self._deliver(pool, update)
            return
        daemon_id, _ = origin
        if update.failure is not None:
            del self._origins_by_job[update.job_id]
            self._send(daemon_id, JobEnded(update.job_id, update.failure.value))
            return
        if update.is_done:
            del self._origins_by_job[update.job_id]
        results = tuple((piece.piece, handle) for piece, handle in update.results)
        self._send(daemon_id, JobResults(update.job_id, pool, results))

    def _deliver(self, pool: PoolName, update: JobUpdate) -> None:
        """Notify the listener of a job, or free results if the job is unknown."""
        submitted = self._submitted_by_id.get(update.job_id)
        if submitted is None:
            self.free(pool, [handle for _, handle in update.results])
            return
        if update.failure is not None:
            del self._submitted_by_id[update.job_id]
        submitted.listener(update)

    def _send(self, daemon_id: DaemonId, message: WorkMessage) -> None:
        self._link.send(daemon_id, WORK_TOPIC, self._encoder.encode(message))

    def _on_message(self, origin: DaemonId, payload: bytes) -> None:
        now = self._clock.monotonic()
        message = self._decoder.decode(origin, payload, now)
        if message is None:
            return
        self._received_at_by_owner[origin] = now
        if isinstance(message, SubmitJob):
            self._on_submit(origin, message, now)
        elif isinstance(message, JobAccepted):
            submitted = self._submitted_by_id.get(JobId(message.job_id))
            if submitted is not None and submitted.owner == origin:
                submitted.is_accepted = True
        elif isinstance(message, JobResults):
            self._on_results(origin, message)
        elif isinstance(message, JobEnded):
            self._on_ended(origin, message)
        elif isinstance(message, PoolLoad):
            self._received_load_by_pool[PoolName(message.pool)] = now, message
            loads = tuple(RankLoad(*each) for each in message.loads)
            measures = PoolMeasures(
                message.made_per_s,
                loads,
                message.capacity_per_s,
                message.usual_call_s,
                message.call_s,
                message.piece_s,
                message.on_time,
                StartShares(
                    dict(message.rank_shares),
                    {
                        (rank, account): share
                        for rank, account, share in message.account_shares
                    },
                ),
            )
            self._admission.update_measures(PoolName(message.pool), measures, now)
        elif isinstance(message, CancelJob):
            self._on_cancel(message)
        elif isinstance(message, FreeResults):
            handles = [Handle(each) for each in message.handles]
            self._free_here(PoolName(message.pool), handles)

    def _on_submit(self, origin: DaemonId, message: SubmitJob, now: float) -> None:
        pool = PoolName(message.pool)
        job = _job_of(message, now)
        self._origins_by_job[job.job_id] = (origin, pool)
        self._send(origin, JobAccepted(job.job_id))
        self._submit_here(pool, job)

    def _on_results(self, origin: DaemonId, message: JobResults) -> None:
        job_id = JobId(message.job_id)
        submitted = self._submitted_by_id.get(job_id)
        if submitted is None:
            handles = tuple(handle for _, handle in message.results)
            self._send(origin, FreeResults(message.pool, handles))
            return
        pieces = {work.piece_id.piece: work.piece_id for work in submitted.job.works}
        results = tuple(
            (pieces[piece], Handle(handle))
            for piece, handle in message.results
            if piece in pieces
        )
        submitted.listener(JobUpdate(job_id, results))

    def _on_ended(self, origin: DaemonId, message: JobEnded) -> None:
        """Apply a failure, unless the job was resubmitted to another owner."""
        job_id = JobId(message.job_id)
        submitted = self._submitted_by_id.get(job_id)
        if submitted is not None and submitted.owner == origin:
            failure = _failure(message.failure)
            self._deliver(submitted.pool, JobUpdate(job_id, failure=failure))

    def _on_cancel(self, message: CancelJob) -> None:
        pool, job_id = PoolName(message.pool), JobId(message.job_id)
        self._cancel_here(pool, job_id, message.keeps_calls)
        runner = self._runners_by_pool.get(pool)
        if runner is None or not runner.scheduler.has_job(job_id):
            self._origins_by_job.pop(job_id, None)


def _failure(value: str) -> PieceFailure:
    """Return a failure; an owner of a later version may send one not known here."""
    try:
        return PieceFailure(value)
    except ValueError:
        return PieceFailure.ERROR


def _origin(value: str) -> JobOrigin:
    """Return an origin; a daemon of a later version may send one not known here."""
    try:
        return JobOrigin(value)
    except ValueError:
        return JobOrigin.FIRST


def _resubmitted(job: StageJob) -> StageJob:
    """Return a job for another owner, after one that may have sent its pieces."""
    if job.origin is JobOrigin.REPEATED:
        return job
    return replace(job, origin=JobOrigin.RESUBMITTED)


def _submit_message(pool: PoolName, job: StageJob, now: float) -> SubmitJob:
    first = job.works[0].piece_id
    return SubmitJob(
        job.job_id,
        pool,
        first.attempt_id,
        first.stage,
        tuple(work.piece_id.piece for work in job.works),
        job.works[0].key,
        job.works[0].inputs,
        job.result_bytes,
        job.rank,
        int((job.objective_at - now) * _MS_PER_S),
        int((job.deadline_at - now) * _MS_PER_S),
        job.zone or "",
        job.moved_bytes,
        int(min(job.inputs_until - now, _NO_EXPIRY_S) * _MS_PER_S),
        job.n_refused,
        job.account,
        job.origin.value,
    )


def _job_of(message: SubmitJob, now: float) -> StageJob:
    attempt_id = AttemptId(message.attempt_id)
    inputs = tuple(Handle(handle) for handle in message.inputs)
    works = tuple(
        PieceWork(PieceId(attempt_id, message.stage, piece), message.key, inputs)
        for piece in message.pieces
    )
    return StageJob(
        JobId(message.job_id),
        works,
        message.result_bytes,
        message.rank,
        now + message.objective_left_ms / _MS_PER_S,
        now + message.left_ms / _MS_PER_S,
        ZoneName(message.zone) if message.zone else None,
        message.moved_bytes,
        now + message.inputs_left_ms / _MS_PER_S,
        message.n_refused,
        message.account,
        _origin(message.origin),
    )
