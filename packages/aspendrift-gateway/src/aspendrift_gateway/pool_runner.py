"""Sends the batch calls that a stage scheduler plans and reports their outcomes."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Coroutine, Iterable, Sequence
from dataclasses import replace
from typing import Final

from aspendrift_daemon.events import EventHub
from aspendrift_daemon.interfaces import Clock
from aspendrift_gateway.events import (
    StageCallEnded,
    StageCallSent,
    StageFreeFailed,
)
from aspendrift_gateway.interfaces import TargetCodec
from aspendrift_gateway.permit_exchange import Permit, PermitExchange
from aspendrift_gateway.target_client import (
    Broken,
    CompleteAnswer,
    NotSent,
    TargetClient,
)
from aspendrift_model.ids import PoolName, TargetId
from aspendrift_model.pieces import Handle, JobOrigin, PieceFailure, PieceOutcome
from aspendrift_model.target_entries import TargetEntry
from aspendrift_model.wire_work import PoolLoad
from aspendrift_policy.chain_admission import PoolMeasures, PoolMeter
from aspendrift_policy.chain_shares import DemandMeter
from aspendrift_policy.handle_history import HandleHistory
from aspendrift_policy.repeat_window import RepeatWindow
from aspendrift_policy.stage_scheduler import (
    JobId,
    JobUpdate,
    PlannedCall,
    StageJob,
    StageScheduler,
)

__all__ = ["PoolRunner"]

# Frees requested within this time are sent in one call.
_FREE_DELAY_S: Final = 0.01
_FREE_TIMEOUT_S: Final = 1.0
# Frees that got no permit are collected for at least this long, so that they take few
# of the permits.
_MIN_POSTPONED_FREE_S: Final = 0.5
_UNLIMITED: Final = Permit()
_OK: Final = 200


def _no_pause(now: float) -> float:
    return -math.inf


class PoolRunner:
    """Sends the batch calls of one daemon to the targets of one stage pool.

    Parameters
    ----------
    entries : callable
        Returns the usable targets of the pool.
    is_evacuated : callable
        Returns whether there are none because all are in evacuated zones.
    on_update : callable
        Receives job updates.
    permits : PermitExchange or None
        Gives the permits for calls to limited targets.
    repeats : RepeatWindow or None
        Limits the pieces that are sent again.
    catches_up_until : callable
        Returns until when what arrived during a pause of this process is being read.
    """

    def __init__(
        self,
        pool: PoolName,
        scheduler: StageScheduler,
        entries: Callable[[], Sequence[TargetEntry]],
        is_evacuated: Callable[[], bool],
        client: TargetClient,
        codec: TargetCodec,
        clock: Clock,
        events: EventHub,
        on_update: Callable[[JobUpdate], None],
        permits: PermitExchange | None = None,
        repeats: RepeatWindow | None = None,
        catches_up_until: Callable[[float], float] = _no_pause,
    ) -> None:
        self.pool = pool
        self.scheduler = scheduler
        self.meter = PoolMeter()
        self.demand = DemandMeter()
        self._entries = entries
        self._is_evacuated = is_evacuated
        self._client = client
        self._codec = codec
        self._clock = clock
        self._events = events
        self._on_update = on_update
        self._permits = permits
        self._repeats = repeats
        self._is_owner = False
        if repeats is not None:
            scheduler.limit_repeats(repeats)
        self._catches_up_until = catches_up_until
        # Time to which the steps after a pause were put off.
        self._resumes_at: float | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._is_step_scheduled = False
        self._pending_frees: list[Handle] = []
        self._n_sent_bytes = 0
        self._handles = HandleHistory()
        self._tasks: set[asyncio.Task[None]] = set()

    async def stop(self) -> None:
        """Cancel all calls."""
        if self._timer is not None:
            self._timer.cancel()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def set_owner(self, is_owner: bool, told: PoolLoad | None, now: float) -> None:
        """Set whether this daemon schedules the pool, and what the owner before told.

        Parameters
        ----------
        told : PoolLoad or None
            Last load that another owner sent within the window; None if there is none.
        """
        is_new = is_owner and not self._is_owner
        self._is_owner = is_owner
        if is_new and told is not None and self._repeats is not None:
            self._repeats.take_over(told.n_requests, told.n_repeats, now)

    def is_telling(self, now: float) -> bool:
        """Return whether the next owner must know of the repeated pieces."""
        return self._repeats is not None and self._repeats.is_telling(now)

    def recent_counts(self, now: float) -> tuple[int, int]:
        """Return the requests and the repeated pieces of the last window."""
        if self._repeats is None:
            return 0, 0
        return self._repeats.n_requests(now), self._repeats.n_repeats(now)

    def submit(self, job: StageJob) -> None:
        """Submit a stage job to the scheduler."""
        now = self._clock.monotonic()
        n_pieces = len(job.works)
        self.meter.record_arrivals(job.rank, n_pieces, now)
        self.demand.record(job.rank, job.account, n_pieces + job.n_refused, now)
        if self._repeats is not None and job.origin is JobOrigin.FIRST:
            self._repeats.record_request(now)
        self.scheduler.submit(job)
        self.schedule_step()

    def cancel(self, job_id: JobId) -> None:
        """Cancel a stage job."""
        self.scheduler.cancel(job_id)
        self.schedule_step()

    def withdraw(self, job_id: JobId) -> None:
        """Send no more calls for a stage job that another owner runs."""
        self.scheduler.withdraw(job_id)
        self.schedule_step()

    def free(self, handles: Iterable[Handle]) -> None:
        """Free results; frees requested within a short time are batched."""
        if not self._pending_frees:
            asyncio.get_running_loop().call_later(_FREE_DELAY_S, self._send_frees)
        self._pending_frees += handles

    def measures(self, now: float) -> PoolMeasures:
        """Return the throughput and the backlog of the pool."""
        times = self.scheduler.times
        capacity_per_s = self.scheduler.capacity_per_s()
        on_time = self.scheduler.backlog_on_time()
        return replace(
            self.meter.measures(self.scheduler.backlog(), now),
            capacity_per_s=capacity_per_s,
            usual_call_s=times.usual_s,
            call_s=times.call_s,
            piece_s=times.piece_s,
            on_time=tuple(sorted(on_time.items())),
            shares=self.demand.shares(capacity_per_s, sum(on_time.values()), now),
        )

    def take_sent_bytes(self) -> int:
        """Return the bytes of the calls since the last time, and count anew."""
        n_bytes, self._n_sent_bytes = self._n_sent_bytes, 0
        return n_bytes

    def schedule_step(self) -> None:
        """Schedule one scheduler step for all changes in this event loop iteration."""
        if not self._is_step_scheduled:
            self._is_step_scheduled = True
            asyncio.get_running_loop().call_soon(self._step)

    def _step(self) -> None:
        self._is_step_scheduled = False
        now = self._clock.monotonic()
        if self._is_catching_up(now):
            return
        self.scheduler.set_targets(self._entries())
        self._pause_restricted(now)
        for update in self.scheduler.check_deadlines(now):
            self._on_update(update)
        if self._is_evacuated():
            # Refused at once, since nobody knows when the zone returns.
            for update in self.scheduler.fail_queued():
                self._on_update(update)
        for call in self.scheduler.plan(now):
            self._run(self._call(call))
        due = self.scheduler.next_due(now)
        self._set_timer(None if due is None else max(0.005, due - now))

    def _is_catching_up(self, now: float) -> bool:
        """Return whether a step is put off, once after a pause of this process."""
        if self._resumes_at is None:
            until = self._catches_up_until(now)
            if until <= now:
                return False
            self._resumes_at = until
            self._set_timer(until - now)
        if now < self._resumes_at:
            return True
        self._resumes_at = None
        return False

    def _set_timer(self, delay_s: float | None) -> None:
        """Schedule a step after some time instead of the one set before."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if delay_s is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay_s, self.schedule_step)

    def _pause_restricted(self, now: float) -> None:
        """Plan no calls to targets that would get no permit, or that back off."""
        permits, entries = self._permits, self._entries()
        if permits is None or permits.restrictions(self.pool, entries, now) is None:
            return
        for entry in entries:
            sendable_at = permits.sendable_at(entry, now)
            if sendable_at > now:
                self.scheduler.pause_target(entry.key, sendable_at)

    async def _permit(self, entry: TargetEntry, now: float) -> Permit | float:
        """Return a permit for a call to a target, or the time to ask again."""
        if self._permits is None or not self._permits.is_restricted(entry, now):
            return _UNLIMITED
        outcome = await self._permits.acquire(entry, now)
        return outcome if isinstance(outcome, Permit) else outcome.retry_at

    def _run(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(self, planned: PlannedCall) -> None:
        sent_at = self._clock.monotonic()
        target_id = planned.target.key.target_id
        permit = await self._permit(planned.target, sent_at)
        if not isinstance(permit, Permit):
            self._postpone(planned, permit)
            return
        call = self._without_unneeded(planned)
        if call is None:
            if self._permits is not None:
                self._permits.release(permit)
            return
        encoded = self._codec.stage_run(call.works)
        self._record_sent(call, len(encoded.body))
        headers = self._codec.stage_headers(target_id)
        reading = _CallReading(self._codec, self._handles, self._clock, len(call.works))
        try:
            async with asyncio.timeout(call.timeout_s):
                answer = await self._client.send_and_read(
                    call.target, encoded, headers, sent_at, reading.is_sound
                )
        except TimeoutError:
            answer = Broken("timeout")
        if isinstance(answer, NotSent) and self._permits is not None:
            self._permits.release(permit)
        now = self._clock.monotonic()
        outcomes, is_full = reading.outcomes, reading.is_full
        detail = reading.detail if isinstance(answer, CompleteAnswer) else answer.detail
        key = call.target.key
        if reading.is_copy:
            self._client.disable_reuse(target_id, now)
        n_completed = 0
        if outcomes is None:
            was_sent = not isinstance(answer, NotSent)
            updates = self.scheduler.failed(
                call.call_id, key, is_full, now, was_sent=was_sent
            )
        else:
            n_completed = sum(not isinstance(each, PieceFailure) for each in outcomes)
            self.meter.record_completions(n_completed, now)
            updates, unneeded = self.scheduler.ended(
                call.call_id,
                key,
                outcomes,
                now,
                was_read_late=self._catches_up_until(now) > sent_at,
            )
            if unneeded:
                self.free(unneeded)
        verdict = "full" if is_full else "failed" if outcomes is None else "made"
        self._events.emit(
            StageCallEnded(
                call.call_id,
                target_id,
                self.pool,
                verdict,
                n_completed,
                detail,
                now - sent_at,
            )
        )
        for update in updates:
            self._on_update(update)
        self.schedule_step()

    def _record_sent(self, call: PlannedCall, n_bytes: int) -> None:
        request_ids = tuple(
            dict.fromkeys(work.piece_id.attempt_id for work in call.works)
        )
        n_repeated = self.scheduler.record_sent(call.call_id, call.target.key)
        self._n_sent_bytes += n_bytes
        self._events.emit(
            StageCallSent(
                call.call_id,
                call.target.key.target_id,
                self.pool,
                len(call.works),
                n_repeated,
                request_ids,
                self.scheduler.n_jobs,
                call.expected_s,
                n_bytes,
            )
        )

    def _without_unneeded(self, planned: PlannedCall) -> PlannedCall | None:
        """Return a call without pieces whose jobs have ended; None if none is left."""
        call, updates = self.scheduler.remove_unneeded(
            planned.call_id, planned.target.key, self._clock.monotonic()
        )
        for update in updates:
            self._on_update(update)
        if call is None:
            self.schedule_step()
        return call

    def _postpone(self, call: PlannedCall, until: float) -> None:
        """Queue the pieces of a call again that got no permit."""
        key, now = call.target.key, self._clock.monotonic()
        for update in self.scheduler.postponed(call.call_id, key, now):
            self._on_update(update)
        self.scheduler.pause_target(key, until)
        self.schedule_step()

    def _send_frees(self) -> None:
        handles, self._pending_frees = self._pending_frees, []
        entries_by_address = {entry.address: entry for entry in self._entries()}
        by_target: dict[TargetId, list[Handle]] = {}
        found: dict[TargetId, TargetEntry] = {}
        for handle in handles:
            entry = entries_by_address.get(self._codec.holder(handle))
            if entry is not None:
                found[entry.key.target_id] = entry
                by_target.setdefault(entry.key.target_id, []).append(handle)
        for target_id, held in by_target.items():
            self._run(self._free_at(found[target_id], held))

    async def _free_at(self, entry: TargetEntry, handles: Sequence[Handle]) -> None:
        headers = self._codec.stage_headers(entry.key.target_id)
        call = self._codec.stage_free(handles)
        now = self._clock.monotonic()
        permit = await self._permit(entry, now)
        if not isinstance(permit, Permit):
            delay_s = max(_MIN_POSTPONED_FREE_S, permit - now)
            asyncio.get_running_loop().call_later(delay_s, self.free, handles)
            return
        answer: CompleteAnswer | NotSent | Broken
        try:
            async with asyncio.timeout(_FREE_TIMEOUT_S):
                answer = await self._client.send_and_read(entry, call, headers, now)
        except TimeoutError:
            answer = Broken("timeout")
        if isinstance(answer, CompleteAnswer) and answer.status == _OK:
            self.scheduler.record_freed(handles)
            self.schedule_step()
            return
        if isinstance(answer, CompleteAnswer):
            detail = f"status {answer.status}"
        else:
            detail = answer.detail
        target_id = entry.key.target_id
        self._events.emit(StageFreeFailed(target_id, self.pool, len(handles), detail))


class _CallReading:
    """Decodes the answer to a batch call, and tells whether it can be that call's own.

    Answers to batch calls name no request. Only results that no other answer had show
    that one belongs to its call; a copy of another one, of whatever kind, leaves the
    true answer to come on the connection.
    """

    def __init__(
        self, codec: TargetCodec, handles: HandleHistory, clock: Clock, n_pieces: int
    ) -> None:
        self._codec = codec
        self._handles = handles
        self._clock = clock
        self._n_pieces = n_pieces
        self.outcomes: tuple[PieceOutcome, ...] | None = None
        self.is_full = False
        self.is_copy = False
        self.detail = ""

    def is_sound(self, answer: CompleteAnswer) -> bool:
        """Decode an answer; return whether it certainly belongs to the call."""
        if answer.status != _OK:
            self.is_full = answer.head.has_not_run and answer.status != 421
            self.detail = f"status {answer.status}"
            return False
        outcomes = self._codec.stage_outcomes(answer.body, self._n_pieces)
        if outcomes is None:
            self.detail = "unreadable answer"
            return False
        handles = [each for each in outcomes if not isinstance(each, PieceFailure)]
        if self._handles.is_copy(handles, self._clock.monotonic()):
            self.is_copy = True
            self.detail = "copy of an earlier answer"
            return False
        self.outcomes = outcomes
        failures = [each.value for each in outcomes if isinstance(each, PieceFailure)]
        self.detail = ",".join(failures)
        return bool(handles)
