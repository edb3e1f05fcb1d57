"""Scheduling of the slots, batch calls and memory of the targets of one stage pool.

The scheduler is designed for a load close to the capacity of the pool. A batch call has
a fixed cost, so a full call does several times the work of a call with one piece, and
the memory for results is usually exhausted before the processing time is. One scheduler
therefore accounts for the slots and bytes of every target, whatever daemon a job came
from.

A target gets its next call when one of its slots is free. The call consists of the most
urgent pieces of any job, up to the batch size and the free memory of the target. A job
starts only while the pool has memory for all of its results and can complete the jobs
that have started, and those go before the others.

Jobs that can't meet their objective any more go after all others, whether they have
started or not. With a backlog and arrivals near the capacity, work for them would
otherwise make every later job overdue as well. An overdue job that gets no capacity
for a while is given up, so that its inputs are freed.

A piece that was sent before is sent again only within the limit on repeats of the pool.
Until that allows it, others go first; a job that it won't allow to complete in time is
given up. A target that failed or rejected its last call is probed with one
piece.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import Final, NewType, TypeAlias

from aspendrift_model.ids import ZoneName
from aspendrift_model.pieces import (
    Handle,
    JobOrigin,
    PieceFailure,
    PieceId,
    PieceOutcome,
    PieceWork,
)
from aspendrift_model.routes import PieceLimits
from aspendrift_model.target_entries import TargetEntry, TargetKey
from aspendrift_policy.repeat_window import RepeatWindow
from aspendrift_policy.stage_times import CallTimes

__all__ = [
    "JobId",
    "JobUpdate",
    "PlannedCall",
    "PoolState",
    "StageJob",
    "StageScheduler",
]

JobId = NewType("JobId", str)
# One of the calls that a target can process at the same time.
_Slot: TypeAlias = tuple[TargetKey, int]

# Weight of the newest call in the moving average of a target's slowness.
_SLOWNESS_WEIGHT: Final = 0.3
# A call is overdue after its expected time multiplied by the factor, plus the constant;
# its pieces are then sent to another target as well. The times of healthy targets
# usually vary by half a call.
_OVERDUE_FACTOR: Final = 2.5
_OVERDUE_MARGIN_S: Final = 0.25
# A call ends after its expected time multiplied by the factor, plus the constant: a
# target that has just turned several times slower may still answer.
_TIMEOUT_FACTOR: Final = 4.0
_TIMEOUT_MARGIN_S: Final = 0.5
# A call is late this long after its expected end; its target may get another one.
_LATE_MARGIN_S: Final = 0.2
# Backoff after a failed call of a target, doubled at each further failure.
_BACKOFF_S: Final = 0.25
_MAX_BACKOFF_S: Final = 2.0
# Backoff after a target rejected a call because it was full, doubled as above.
_FULL_TARGET_BACKOFF_S: Final = 0.05
# Pieces of a call to a target that failed or rejected the one before.
_PROBE_PIECES: Final = 1
# Interval at which pieces that wait for the limit on repeats are looked at.
_REPEATS_POLL_S: Final = 0.05
# Time for which a target that had no memory for a piece counts as full for pieces of
# its size, except for memory freed since: most of a usual call. Such a piece is
# rejected at once, so a retry is cheap.
_MEMORY_EXHAUSTED_S: Final = 0.2
# A job that would transfer at least this much between zones waits for a target in its
# own zone, because the transfer costs more than a short wait.
_LARGE_TRANSFER_BYTES: Final = 500_000
# Longest such wait: about a third of a usual call.
_MAX_ZONE_WAIT_S: Final = 0.1
# Minimum remaining time assumed for a call that is due or overdue.
_MIN_REMAINING_S: Final = 0.001
# Calls whose expected ends differ by less count as equal, because learned times vary
# by as much.
_END_TOLERANCE_S: Final = 0.05
# Jobs that can't be on time beside others before the remaining ones are not examined;
# bounds the work of one plan in an overload.
_MAX_LEFT_OUT: Final = 8
# A job fails after this many failures per piece.
_MAX_FAILURES_PER_PIECE: Final = 3
# An overdue job of which no piece was sent for this many full calls, while jobs that
# can be on time wait, is given up: the pool has no capacity left for it.
_GIVE_UP_CALLS: Final = 2.0
# A call is not made smaller than this share of a full one to end within the objective
# of its most urgent piece; smaller calls would cost more than a fifth of the capacity.
_MIN_CALL_SHARE: Final = 0.5
# A call that is smaller than a full one gets this share of a full one more if that
# completes a job, which otherwise would wait for a second call.
_MAX_EXTENSION_SHARE: Final = 0.17


@dataclass(frozen=True, slots=True)
class StageJob:
    """The pieces of one stage of one request, as one daemon submitted them.

    Parameters
    ----------
    result_bytes : float
        Approximate size of each result.
    rank : int
        Priority among jobs; a lower rank goes first.
    objective_at, deadline_at : float
        Time by which the job should be completed for its request to meet its
        objective, and time after which its results are useless; monotonic, in seconds.
    zone : ZoneName or None
        Zone of the inputs, or without inputs the zone in which the results are used.
    moved_bytes : float
        Bytes transferred between zones if the job runs in another zone.
    inputs_until : float
        Time until which the inputs are retained. A job with pieces still queued then
        fails, so that no call is spent on missing inputs.
    n_refused : float
        Pieces of refused requests of the same account that the job also stands for in
        the measured demand.
    account : int
        Hash of the client account; 0 without one.
    origin : JobOrigin
        Why the job was submitted.
    """

    job_id: JobId
    works: tuple[PieceWork, ...]
    result_bytes: float
    rank: int
    objective_at: float
    deadline_at: float
    zone: ZoneName | None = None
    moved_bytes: float = 0.0
    inputs_until: float = math.inf
    n_refused: float = 0.0
    account: int = 0
    origin: JobOrigin = JobOrigin.FIRST


@dataclass(frozen=True, slots=True)
class PlannedCall:
    """A batch call to send now."""

    call_id: int
    target: TargetEntry
    works: tuple[PieceWork, ...]
    expected_s: float

    @property
    def timeout_s(self) -> float:
        """Time after which the answer counts as lost."""
        return self.expected_s * _TIMEOUT_FACTOR + _TIMEOUT_MARGIN_S


@dataclass(frozen=True, slots=True)
class JobUpdate:
    """Results of pieces of a stage job, or its failure.

    Results may arrive in several updates; ``is_done`` marks the last one, after which
    pieces may be missing if the job was withdrawn. A failure ends the job.
    """

    job_id: JobId
    results: tuple[tuple[PieceId, Handle], ...] = ()
    is_done: bool = False
    failure: PieceFailure | None = None


@dataclass(frozen=True, slots=True)
class PoolState:
    """What holds up the jobs of a pool at one moment.

    Parameters
    ----------
    n_overdue : int
        Jobs with queued pieces that can't meet their objectives.
    n_without_memory : int
        Jobs that have not started and don't fit into the free memory of the targets.
    memory_share : float
        Share of the memory for results that is in use, of all usable targets.
    n_working, n_targets : int
        Usable targets with a call, and all of them.
    n_repeats : int
        Queued pieces that wait for the limit on repeats.
    """

    n_jobs: int
    n_overdue: int
    n_without_memory: int
    memory_share: float
    n_working: int
    n_targets: int
    n_repeats: int


@dataclass(slots=True)
class _Job:
    spec: StageJob
    queued: dict[PieceId, PieceWork]
    incomplete: set[PieceId]
    # Pieces that were sent to a target, so that another call repeats them.
    sent: set[PieceId] = field(default_factory=set)
    # Those of them that the target had no memory for, in a call that it processed.
    declined: set[PieceId] = field(default_factory=set)
    n_failures: int = 0
    has_started: bool = False
    # Time since which the job is overdue and got no capacity.
    unserved_since: float | None = None
    # Whether another owner runs the job, so that no more calls are sent for it.
    is_withdrawn: bool = False

    @property
    def n_queued(self) -> int:
        return len(self.queued)

    @property
    def n_held(self) -> int:
        """Number of queued pieces that wait for the limit on repeats."""
        if not self.sent:
            return 0
        return sum(self.is_held(each) for each in self.queued)

    def is_held(self, piece_id: PieceId) -> bool:
        """Return whether a piece is sent again only within the limit on repeats."""
        return piece_id in self.sent and piece_id not in self.declined

    @property
    def has_inputs(self) -> bool:
        return bool(self.spec.works and self.spec.works[0].inputs)


@dataclass(slots=True)
class _Call:
    plan: PlannedCall
    bytes_each: tuple[float, ...]
    job_ids: tuple[JobId, ...]
    sent_at: float
    # Pieces that no call had before, once it is being sent.
    first: list[tuple[JobId, PieceId]] = field(default_factory=list)
    # Pieces that were counted as repeats.
    n_repeats: int = 0
    is_overdue: bool = False


@dataclass(slots=True)
class _Target:
    entry: TargetEntry
    slowness: float = 1.0
    backoff_until: float = 0.0
    n_failures: int = 0
    # Calls that it rejected since its last answer.
    n_rejections: int = 0
    calls_by_id: dict[int, _Call] = field(default_factory=dict)
    untracked_bytes: float = 0.0
    untracked_until: float = 0.0

    @property
    def is_doubtful(self) -> bool:
        """Whether the last call was not processed."""
        return self.n_failures > 0 or self.n_rejections > 1


@dataclass(slots=True)
class _Result:
    key: TargetKey
    n_bytes: float
    until: float


@dataclass(frozen=True, slots=True)
class _Forecast:
    """Expected ends of jobs that a pool serves one after the other.

    Parameters
    ----------
    begins_at : float
        Time at which the first of them starts; monotonic, in seconds.
    pieces_per_s : float
        Pieces per second of all targets with full calls.
    call_s : float
        Duration of a full call.
    """

    begins_at: float
    pieces_per_s: float
    call_s: float

    def are_on_time(self, jobs: Iterable[_Job]) -> bool:
        """Return whether all jobs meet their objectives in this order."""
        n_before = 0
        for job in jobs:
            starts_at = self.begins_at + n_before / self.pieces_per_s
            if starts_at + self.call_s > job.spec.objective_at:
                return False
            n_before += job.n_queued
        return True


class StageScheduler:
    """Assigns the pieces of stage jobs to the targets of a pool.

    Parameters
    ----------
    limits : PieceLimits
        Capacity and call times of one target.
    """

    # Whether jobs are ordered by submission instead of urgency.
    is_fifo = False
    # Whether overdue jobs yield their capacity to jobs that can be on time.
    is_rationed = True

    def __init__(self, limits: PieceLimits) -> None:
        self.limits = limits
        self.times = CallTimes(limits)
        self.set_limits(limits)
        self._targets_by_key: dict[TargetKey, _Target] = {}
        self._jobs_by_id: dict[JobId, _Job] = {}
        self._results_by_handle: dict[Handle, _Result] = {}
        self._held_bytes_by_key: dict[TargetKey, float] = {}
        self._usable: frozenset[TargetKey] = frozenset()
        # Results of a size that fit into the memory of the pool, during one plan.
        self._n_fit_by_size: dict[float, int] = {}
        # Bytes of the results and calls of incomplete jobs, and the most that one of
        # them still needs, during one plan.
        self._incomplete_bytes = 0.0
        self._max_needed_bytes = 0.0
        self._next_call_id = 0
        self._repeats: RepeatWindow | None = None
        # Repeats that are allowed, during one plan.
        self._n_repeats_left = math.inf
        # Whether jobs that can be on time were left over when all free slots had calls.
        # Those that arrive while all slots work are no sign of that: with room in the
        # calls, the next one takes them.
        self._has_waiting_on_time = False
        # Until then, overdue jobs get nothing: each of their pieces would make a call
        # longer that others wait for.
        self._contended_until = -math.inf

    @property
    def n_jobs(self) -> int:
        """Number of jobs that have not ended."""
        return len(self._jobs_by_id)

    def has_job(self, job_id: JobId) -> bool:
        """Return whether a job has not ended."""
        return job_id in self._jobs_by_id

    def set_limits(self, limits: PieceLimits) -> None:
        """Replace the limits; learned times stay unless the limits differ."""
        if limits != self.limits:
            self.limits = limits
            self.times = CallTimes(limits)

    def set_targets(self, entries: Iterable[TargetEntry]) -> None:
        """Replace the set of targets; open calls to removed targets may still end."""
        by_key = {entry.key: entry for entry in entries}
        for key, entry in by_key.items():
            known = self._targets_by_key.get(key)
            if known is None:
                self._targets_by_key[key] = _Target(entry)
            else:
                known.entry = entry
        for key, target in list(self._targets_by_key.items()):
            if key not in by_key and not target.calls_by_id:
                del self._targets_by_key[key]
        self._usable = frozenset(by_key)

    def limit_repeats(self, repeats: RepeatWindow) -> None:
        """Send pieces again only as far as a limit allows."""
        self._repeats = repeats

    def submit(self, job: StageJob) -> None:
        """Accept a job and queue its pieces."""
        queued = {work.piece_id: work for work in job.works}
        sent = set(queued) if job.origin is JobOrigin.REPEATED else set()
        self._jobs_by_id[job.job_id] = _Job(job, queued, set(queued), sent)

    def cancel(self, job_id: JobId) -> None:
        """Remove a job; :meth:`ended` returns its later results as unneeded."""
        self._jobs_by_id.pop(job_id, None)

    def withdraw(self, job_id: JobId) -> None:
        """Send no more calls for a job that another owner runs.

        Calls that are open may still complete pieces of it.
        """
        job = self._jobs_by_id.get(job_id)
        if job is None:
            return
        job.is_withdrawn = True
        job.queued.clear()
        self._drop_withdrawn([job_id])

    def record_freed(self, handles: Iterable[Handle]) -> None:
        """Record that results were freed."""
        for handle in handles:
            self._release_result(handle)

    def plan(self, now: float) -> list[PlannedCall]:
        """Return the calls to send now and record them as sent."""
        self._expire_results(now)
        self._measure_memory()
        free_at = {
            (key, number): at
            for key, target in self._targets_by_key.items()
            if key in self._usable
            for number, at in enumerate(self._slot_free_times(target, now))
        }
        n_free = sum(at <= now for at in free_at.values())
        if n_free == 0:
            return []
        waiting = self._ordered_jobs(free_at, now)
        if self._repeats is not None:
            self._n_repeats_left = self._repeats.n_allowed(now)
            waiting = [job for job in waiting if self._has_sendable(job)]
        if self.is_rationed and now < self._contended_until:
            waiting = [job for job in waiting if job.unserved_since is None]
        limit = self._call_size(waiting, free_at, now)
        full_s = self.limits.full_call_s
        calls: list[PlannedCall] = []
        full_s_by_key = {
            key: full_s * self._assumed_slowness(target)
            for key, target in self._targets_by_key.items()
        }
        # Pieces are set aside for a busy slot only if that leaves a free one to others.
        while waiting and n_free:
            slot = self._best_slot(free_at, waiting[0], full_s_by_key)
            target = self._targets_by_key[slot[0]]
            # If the best slot is busy, its pieces wait for it and join no other call.
            is_free = free_at[slot] <= now
            selected = self._select_pieces(
                waiting, target, free_at, now, limit, is_free
            )
            n_free -= is_free
            if not selected:
                del free_at[slot]
                continue
            expected_s = self._expected_s(target, len(selected))
            if is_free:
                calls.append(self._record_call(target, selected, expected_s, now))
            free_at[slot] = max(free_at[slot], now) + expected_s
            if all(at > now + full_s for at in free_at.values()):
                break
        self._has_waiting_on_time = n_free == 0 and any(
            job.unserved_since is None and not _prefers_zone(job) for job in waiting
        )
        if self._has_waiting_on_time and calls:
            self._contended_until = now + self.times.full_call_s
        return calls

    def remove_unneeded(
        self, call_id: int, key: TargetKey, now: float
    ) -> tuple[PlannedCall | None, list[JobUpdate]]:
        """Return a planned call without the pieces that nobody needs any more.

        To be asked before a call is sent: the inputs of such pieces may be freed. None,
        and the call is ended, if no piece is left. Also returns updates of jobs.
        """
        target = self._targets_by_key.get(key)
        call = None if target is None else target.calls_by_id.get(call_id)
        if call is None:
            return None, []
        plan, job_ids = call.plan, call.job_ids
        needed = [
            number
            for number, work in enumerate(plan.works)
            if self._is_needed(job_ids[number], work.piece_id)
        ]
        if len(needed) < len(plan.works):
            n_bytes = sum(call.bytes_each)
            call.plan = replace(plan, works=tuple(plan.works[n] for n in needed))
            call.bytes_each = tuple(call.bytes_each[n] for n in needed)
            call.job_ids = tuple(job_ids[n] for n in needed)
            self._add_held_bytes(key, sum(call.bytes_each) - n_bytes)
        if not needed:
            self._close_call(call_id, key, now)
        dropped = self._drop_withdrawn(job_ids)
        updates = [JobUpdate(job_id, is_done=True) for job_id in dropped]
        return (call.plan if needed else None), updates

    def record_sent(self, call_id: int, key: TargetKey) -> int:
        """Record that a call is being sent; return how many pieces were sent before."""
        target = self._targets_by_key.get(key)
        call = None if target is None else target.calls_by_id.get(call_id)
        if call is None:
            return 0
        for work, job_id in zip(call.plan.works, call.job_ids, strict=True):
            job = self._jobs_by_id.get(job_id)
            if job is not None and work.piece_id not in job.sent:
                job.sent.add(work.piece_id)
                call.first.append((job_id, work.piece_id))
        return len(call.plan.works) - len(call.first)

    def postponed(self, call_id: int, key: TargetKey, now: float) -> list[JobUpdate]:
        """Queue the pieces of a call again that was not sent yet."""
        call = self._close_call(call_id, key, now)
        if call is None:
            return []
        self._undo_sending(call)
        for work, job_id in zip(call.plan.works, call.job_ids, strict=True):
            self._requeue(job_id, work)
        return self._withdrawn_updates(call)

    def _undo_sending(self, call: _Call) -> None:
        """Record that nothing of a call reached its target."""
        if self._repeats is not None:
            self._repeats.take_back(call.n_repeats)
        for job_id, piece_id in call.first:
            job = self._jobs_by_id.get(job_id)
            if job is not None:
                job.sent.discard(piece_id)

    def _withdrawn_updates(self, call: _Call) -> list[JobUpdate]:
        return [
            JobUpdate(job_id, is_done=True)
            for job_id in self._drop_withdrawn(call.job_ids)
        ]

    def _is_needed(self, job_id: JobId, piece_id: PieceId) -> bool:
        job = self._jobs_by_id.get(job_id)
        return job is not None and not job.is_withdrawn and piece_id in job.incomplete

    def ended(
        self,
        call_id: int,
        key: TargetKey,
        outcomes: Sequence[PieceOutcome],
        now: float,
        *,
        was_read_late: bool = False,
    ) -> tuple[list[JobUpdate], list[Handle]]:
        """Apply a target's answer; return updates of jobs and unneeded results.

        Nothing is learned of the times of calls from an answer that ``was_read_late``,
        since this process stood still.
        """
        call = self._close_call(call_id, key, now)
        if call is None:
            return [], []
        self._target_answered(key)
        if not was_read_late:
            self._update_slowness(key, call, now)
        updates: list[JobUpdate] = []
        unneeded: list[Handle] = []
        results_by_job: dict[JobId, list[tuple[PieceId, Handle]]] = {}
        pieces = zip(
            call.plan.works, call.job_ids, call.bytes_each, outcomes, strict=True
        )
        for work, job_id, n_bytes, outcome in pieces:
            if isinstance(outcome, PieceFailure):
                updates += self._piece_failed(job_id, work, outcome)
                continue
            self._record_result(outcome, key, n_bytes, now)
            if self._accept_result(job_id, work.piece_id):
                results_by_job.setdefault(job_id, []).append((work.piece_id, outcome))
            else:
                unneeded.append(outcome)
        rejected_bytes = [
            n_bytes
            for n_bytes, outcome in zip(call.bytes_each, outcomes, strict=True)
            if outcome is PieceFailure.NO_MEMORY
        ]
        if rejected_bytes:
            self._record_memory_exhausted(key, min(rejected_bytes), now)
        for job_id in self._drop_withdrawn(call.job_ids):
            results_by_job.setdefault(job_id, [])
        for job_id, results in results_by_job.items():
            is_done = job_id not in self._jobs_by_id
            updates.append(JobUpdate(job_id, tuple(results), is_done))
        return updates, unneeded

    def failed(
        self,
        call_id: int,
        key: TargetKey,
        is_full: bool,
        now: float,
        *,
        was_sent: bool = True,
    ) -> list[JobUpdate]:
        """Record that a call gave no results; its pieces are queued again."""
        call = self._close_call(call_id, key, now)
        if call is None:
            return []
        if not was_sent:
            self._undo_sending(call)
        target = self._targets_by_key.get(key)
        if target is not None:
            if is_full:
                target.n_rejections += 1
                backoff_s = _backoff_s(_FULL_TARGET_BACKOFF_S, target.n_rejections)
            else:
                target.n_failures += 1
                backoff_s = _backoff_s(_BACKOFF_S, target.n_failures)
            target.backoff_until = now + backoff_s
        updates: list[JobUpdate] = []
        for work, job_id in zip(call.plan.works, call.job_ids, strict=True):
            if is_full:
                self._requeue(job_id, work)
            else:
                updates += self._piece_failed(job_id, work, PieceFailure.ERROR)
        return updates + self._withdrawn_updates(call)

    def pause_target(self, key: TargetKey, until: float) -> None:
        """Plan no call to a target before a time."""
        target = self._targets_by_key.get(key)
        if target is not None:
            target.backoff_until = max(target.backoff_until, until)

    def check_deadlines(self, now: float) -> list[JobUpdate]:
        """End expired jobs, and queue the pieces of overdue calls again."""
        self._mark_overdue(now)
        updates = [
            JobUpdate(job_id, failure=failure)
            for job_id, job in self._jobs_by_id.items()
            if (failure := self._expiry_failure(job, now)) is not None
        ]
        for each in updates:
            del self._jobs_by_id[each.job_id]
        updates += self._give_up_unaffordable(now)
        for target in self._targets_by_key.values():
            for call in target.calls_by_id.values():
                self._check_overdue(target, call, now)
        return updates

    def _give_up_unaffordable(self, now: float) -> list[JobUpdate]:
        """End the jobs whose repeats won't be allowed before their deadlines.

        Load it answers: targets that reject or lose most calls for seconds. Jobs that
        wait in vain would hold the memory of those that don't.
        """
        if self._repeats is None:
            return []
        held = [
            job
            for job in self._jobs_by_id.values()
            if job.n_held and not self._is_in_call(job)
        ]
        n_ahead = 0
        updates = []
        for job in _by_objective(held):
            n_needed = n_ahead + job.n_held
            if n_needed > self._repeats.n_allowed_until(job.spec.deadline_at, now):
                job_id = job.spec.job_id
                del self._jobs_by_id[job_id]
                updates.append(JobUpdate(job_id, failure=PieceFailure.OVERDUE))
            else:
                n_ahead = n_needed
        return updates

    def fail_queued(self) -> list[JobUpdate]:
        """End the jobs with queued pieces, since no target is left for those."""
        due = [job_id for job_id, job in self._jobs_by_id.items() if job.queued]
        for job_id in due:
            del self._jobs_by_id[job_id]
        return [JobUpdate(job_id, failure=PieceFailure.ERROR) for job_id in due]

    def next_due(self, now: float) -> float | None:
        """Return when :meth:`plan` or :meth:`check_deadlines` is due next, or None."""
        times = [
            call.sent_at + _overdue_s(call)
            for target in self._targets_by_key.values()
            for call in target.calls_by_id.values()
            if not call.is_overdue
        ]
        if self._jobs_by_id:
            times += [
                late_at
                for target in self._targets_by_key.values()
                for call in target.calls_by_id.values()
                if (late_at := _late_at(call)) > now
            ]
            times += [
                min(job.spec.deadline_at, job.spec.inputs_until)
                for job in self._jobs_by_id.values()
            ]
            times += [
                target.backoff_until
                for target in self._targets_by_key.values()
                if target.backoff_until > now
            ]
            times += [
                target.untracked_until
                for target in self._targets_by_key.values()
                if target.untracked_until > now
            ]
            times += [result.until for result in self._results_by_handle.values()]
            if any(job.n_held for job in self._jobs_by_id.values()):
                times.append(now + _REPEATS_POLL_S)
        return min(times, default=None)

    def backlog(self) -> Mapping[int, int]:
        """Return the number of queued pieces by rank."""
        by_rank: dict[int, int] = {}
        for job in self._jobs_by_id.values():
            rank = job.spec.rank
            by_rank[rank] = by_rank.get(rank, 0) + job.n_queued
        return by_rank

    def backlog_on_time(self) -> Mapping[int, int]:
        """Return the number of queued pieces of jobs that can be on time, by rank."""
        by_rank: dict[int, int] = {}
        for job in self._jobs_by_id.values():
            if job.queued and job.unserved_since is None:
                rank = job.spec.rank
                by_rank[rank] = by_rank.get(rank, 0) + job.n_queued
        return by_rank

    def state(self, now: float) -> PoolState:
        """Return what holds up the jobs; for logs and metrics."""
        self._measure_memory()
        done_at = now + self.times.full_call_s
        queued = [job for job in self._jobs_by_id.values() if job.queued]
        targets = [self._targets_by_key[key] for key in self._usable]
        memory_bytes = len(targets) * self.limits.result_memory_bytes
        free_bytes = sum(max(0.0, self._free_bytes(each, now)) for each in targets)
        return PoolState(
            len(self._jobs_by_id),
            sum(job.spec.objective_at < done_at for job in queued),
            sum(
                not job.has_started and not self._fits_pool(job, now) for job in queued
            ),
            1.0 - free_bytes / memory_bytes if memory_bytes else 0.0,
            sum(bool(each.calls_by_id) for each in targets),
            len(targets),
            sum(job.n_held for job in queued),
        )

    def capacity_per_s(self) -> float:
        """Return the pieces per second that the usable targets complete, full calls.

        It is 0 without rationing, as from an owner that doesn't know it.
        """
        if not self.is_rationed:
            return 0.0
        per_target = self.limits.max_concurrent_pieces / self.times.full_call_s
        return len(self._usable) * per_target

    def _call_size(
        self, jobs: Sequence[_Job], free_at: Mapping[_Slot, float], now: float
    ) -> int:
        """Return the maximum number of pieces of a call.

        If the free slots can take all queued pieces, the calls get equal sizes: the
        number of calls stays the same and the last one ends sooner.
        """
        batch = self.limits.batch
        if jobs and self.is_rationed and not self.is_fifo:
            batch = self._batch_within(jobs[0].spec.objective_at - now)
        n_queued = sum(job.n_queued for job in jobs)
        n_calls = math.ceil(n_queued / batch)
        n_free = sum(at <= now for at in free_at.values())
        if n_calls == 0 or n_calls > n_free:
            return batch
        return math.ceil(n_queued / n_calls)

    def _batch_within(self, remaining_s: float) -> int:
        """Return the size of the largest call that ends within a time.

        It is a full call if the time is too short for a call of the smallest share.
        """
        batch = self.limits.batch
        smallest = math.ceil(batch * _MIN_CALL_SHARE)
        n_fit = int((remaining_s - self.times.call_s) / max(1e-9, self.times.piece_s))
        return min(batch, n_fit) if n_fit >= smallest else batch

    def _n_within(self, remaining_s: float) -> int:
        """Return the number of pieces of a call that ends within a time."""
        n_fit = (remaining_s - self.times.call_s) / max(1e-9, self.times.piece_s)
        return int(min(float(self.limits.batch), max(0.0, n_fit)))

    def _earliest_done_at(self, n_queued: int, now: float) -> float:
        """Return the end of the smallest call that starts now with a backlog."""
        smallest = math.ceil(self.limits.batch * _MIN_CALL_SHARE)
        return now + self.times.call_duration_s(min(smallest, n_queued))

    def _mark_overdue(self, now: float) -> float:
        """Mark queued jobs that can't be on time; return when they would be done."""
        n_queued = sum(job.n_queued for job in self._jobs_by_id.values())
        done_at = self._earliest_done_at(n_queued, now)
        if not self.is_fifo:
            for job in self._jobs_by_id.values():
                if job.unserved_since is None and job.queued:
                    if job.spec.objective_at < done_at:
                        job.unserved_since = now
        return done_at

    def _is_in_call(self, job: _Job) -> bool:
        """Return whether a call still works on pieces of a job and uses its inputs.

        Pieces of a call that takes too long are queued again while it is open.
        """
        return any(
            job.spec.job_id in call.job_ids
            for target in self._targets_by_key.values()
            for call in target.calls_by_id.values()
        )

    def _expiry_failure(self, job: _Job, now: float) -> PieceFailure | None:
        if job.spec.deadline_at <= now:
            return PieceFailure.OVERDUE
        if job.spec.inputs_until <= now and job.queued:
            return PieceFailure.INPUT_GONE
        if (
            self.is_rationed
            and self._has_waiting_on_time
            and job.unserved_since is not None
            and len(job.queued) == len(job.incomplete)
            and now - job.unserved_since > _GIVE_UP_CALLS * self.times.full_call_s
            and not self._is_in_call(job)
        ):
            return PieceFailure.OVERDUE
        return None

    def _ordered_jobs(self, free_at: Mapping[_Slot, float], now: float) -> list[_Job]:
        """Return the jobs with queued pieces in the order in which they are served.

        Jobs that have started go first, then those with inputs, by objective: their
        chains were chosen by rank when they started, and waiting for higher ranks now
        would waste the work of the earlier stages. The others that can meet their
        objectives follow, by objective as far as all of them then meet it, else by
        rank. Overdue jobs go last, also those that have started.
        """
        jobs = [job for job in self._jobs_by_id.values() if job.queued]
        if self.is_fifo or not free_at:
            return jobs
        if not self.is_rationed:
            return self._ranked_jobs(jobs, free_at, now)
        done_at = self._mark_overdue(now)
        jobs.sort(key=lambda job: _urgency(job, done_at))
        late = [job for job in jobs if job.spec.objective_at < done_at]
        in_time = jobs[: len(jobs) - len(late)]
        started = [job for job in in_time if job.has_started]
        others = in_time[len(started) :]
        continued = [job for job in others if job.has_inputs]
        on_time = [job for job in others if not job.has_inputs]
        n_ahead = sum(job.n_queued for job in (*started, *continued))
        forecast = self._forecast(free_at, n_ahead)
        return [
            *started,
            *_by_objective(continued),
            *_order_by_objective(on_time, forecast),
            *late,
        ]

    def _ranked_jobs(
        self, jobs: list[_Job], free_at: Mapping[_Slot, float], now: float
    ) -> list[_Job]:
        """Return jobs that have started first, then those that can be on time."""
        done_at = now + self.limits.full_call_s
        jobs.sort(key=lambda job: (not job.has_started, *_urgency(job, done_at)))
        started = [job for job in jobs if job.has_started]
        others = jobs[len(started) :]
        late = [job for job in others if job.spec.objective_at < done_at]
        on_time = others[: len(others) - len(late)]
        n_ahead = sum(job.n_queued for job in started)
        forecast = self._forecast(free_at, n_ahead)
        return [*started, *_order_by_objective(on_time, forecast), *late]

    def _forecast(self, free_at: Mapping[_Slot, float], n_ahead: int) -> _Forecast:
        """Return the forecast of ends for jobs behind a number of pieces."""
        full_s = self.limits.full_call_s
        pieces_per_s = sum(
            self.limits.batch / (full_s * self._assumed_slowness(target))
            for target in (self._targets_by_key[key] for key, _ in free_at)
        )
        begins_at = sum(free_at.values()) / len(free_at) + n_ahead / pieces_per_s
        return _Forecast(begins_at, pieces_per_s, self.times.full_call_s)

    def _slot_free_times(self, target: _Target, now: float) -> list[float]:
        """Return the time at which each slot of a target is free.

        Load it answers: targets that do their work but whose answers are lost. A late
        call does not occupy its slot, so that the target is not idle until the call
        times out; if it still works on that call, the next one waits in its queue.
        With more late calls than slots, it probably hangs.
        """
        at = max(now, target.backoff_until)
        n_slots = self.limits.n_slots
        calls = list(target.calls_by_id.values())
        in_time = [call for call in calls if now < _late_at(call)]
        if len(calls) - len(in_time) <= n_slots:
            calls = in_time
        ends = sorted(_ends_at(call, now) for call in calls)
        busy = [max(at, end) for end in ends[-n_slots:]]
        return [at] * (n_slots - len(busy)) + busy

    def _best_slot(
        self,
        free_at: Mapping[_Slot, float],
        job: _Job,
        full_s_by_key: Mapping[TargetKey, float],
    ) -> _Slot:
        """Return the slot that ends a call first; on a tie, one in the job's zone."""
        ends_at = {slot: at + full_s_by_key[slot[0]] for slot, at in free_at.items()}
        latest = min(ends_at.values()) + _END_TOLERANCE_S
        return min(
            (slot for slot, at in ends_at.items() if at <= latest),
            key=lambda slot: (
                not _is_in_zone(job, self._targets_by_key[slot[0]]),
                ends_at[slot],
                slot,
            ),
        )

    def _assumed_slowness(self, target: _Target) -> float:
        """Return the slowness of a target; it may have risen if a call is overdue."""
        if any(call.is_overdue for call in target.calls_by_id.values()):
            return max(target.slowness, _OVERDUE_FACTOR)
        return target.slowness

    def _select_pieces(
        self,
        jobs: list[_Job],
        target: _Target,
        free_at: Mapping[_Slot, float],
        now: float,
        limit: int,
        is_sent: bool,
    ) -> list[tuple[_Job, PieceWork]]:
        """Select pieces of the jobs for one call, most urgent first.

        ``is_sent`` is whether the call is sent now; otherwise the pieces stay queued
        and are only left out of the rest of this plan.
        """
        free_bytes = self._free_bytes(target, now)
        if target.is_doubtful:
            limit = _PROBE_PIECES
        selected: list[tuple[_Job, PieceWork]] = []
        for job in list(jobs):
            if len(selected) >= limit:
                break
            if not self._may_run(job, target, free_at, now):
                continue
            works = self._sendable(job)[: self._n_addable(job, selected, limit, now)]
            if target.is_doubtful:
                works = works[: limit - len(selected)]
            size = job.spec.result_bytes
            if is_sent and size > 0:
                works = works[: max(0, int(free_bytes / size))]
                free_bytes -= size * len(works)
            if not works:
                continue
            selected += [(job, work) for work in works]
            if is_sent:
                self._take(job, works, now)
            if not is_sent or not job.queued:
                jobs.remove(job)
        return selected

    def _take(self, job: _Job, works: Sequence[PieceWork], now: float) -> None:
        """Take pieces from the queue of a job for a call that is sent now."""
        self._count_repeats(job, works, now)
        for work in works:
            del job.queued[work.piece_id]
            job.declined.discard(work.piece_id)
        job.has_started = True
        size = job.spec.result_bytes
        self._incomplete_bytes += size * len(works)
        self._max_needed_bytes = max(self._max_needed_bytes, size * job.n_queued)
        if job.unserved_since is not None:
            job.unserved_since = now

    def _has_sendable(self, job: _Job) -> bool:
        """Return whether a job has queued pieces that may be sent now."""
        return self._n_repeats_left >= 1 or job.n_held < job.n_queued

    def _sendable(self, job: _Job) -> list[PieceWork]:
        """Return the queued pieces of a job that may be sent now, new ones first."""
        if not job.n_held:
            return list(job.queued.values())
        held = [each for each in job.queued.values() if job.is_held(each.piece_id)]
        free = [each for each in job.queued.values() if not job.is_held(each.piece_id)]
        n_allowed = min(len(held), self._n_repeats_left)
        return free + held[: int(n_allowed)]

    def _count_repeats(self, job: _Job, works: Sequence[PieceWork], now: float) -> None:
        """Count the pieces that a call repeats.

        Those that an earlier owner may have sent are counted and not held back, since
        most of them were not sent. Nor are those that a target had no memory for, as
        the others of their job hold memory meanwhile.
        """
        n_repeats = self._n_repeated(job, works)
        if self._repeats is not None and n_repeats:
            self._repeats.record_repeats(n_repeats, now)
            self._n_repeats_left = max(0, self._n_repeats_left - n_repeats)

    def _n_repeated(self, job: _Job, works: Iterable[PieceWork]) -> int:
        is_charged = job.spec.origin is JobOrigin.RESUBMITTED
        return sum(is_charged or each.piece_id in job.sent for each in works)

    def _n_addable(
        self,
        job: _Job,
        selected: Sequence[tuple[_Job, PieceWork]],
        limit: int,
        now: float,
    ) -> int:
        """Return how many pieces of a job a call may get beside those selected.

        Overdue pieces get spare places only as far as the others stay on time.
        """
        n_selected = len(selected)
        n_max = limit - n_selected
        if not self.is_rationed:
            return n_max
        if job.unserved_since is not None:
            on_time = (each for each, _ in selected if each.unserved_since is None)
            objective_at = min(
                (each.spec.objective_at for each in on_time), default=math.inf
            )
            n_in_time = self._n_within(objective_at - now)
            return max(0, min(n_max, n_in_time - n_selected))
        n_over = job.n_queued - n_max
        if 0 < n_over <= self.limits.batch * _MAX_EXTENSION_SHARE:
            return min(job.n_queued, self.limits.batch - n_selected)
        return n_max

    def _may_run(
        self,
        job: _Job,
        target: _Target,
        free_at: Mapping[_Slot, float],
        now: float,
    ) -> bool:
        """Return whether a target may process pieces of a job now."""
        if not job.has_started and not self._fits_pool(job, now):
            return False
        return not self._waits_for_zone(job, target, free_at, now)

    def _waits_for_zone(
        self,
        job: _Job,
        target: _Target,
        free_at: Mapping[_Slot, float],
        now: float,
    ) -> bool:
        """Return whether a job should wait for a slot in its own zone.

        Only jobs with large transfers wait, and only if a slot in their zone is free
        within the maximum wait.
        """
        spec = job.spec
        if not _prefers_zone(job) or spec.zone == target.entry.zone:
            return False
        free_times = [
            free_at[slot]
            for slot in free_at
            if self._targets_by_key[slot[0]].entry.zone == spec.zone
        ]
        if not free_times:
            return False
        return min(free_times) - now <= _MAX_ZONE_WAIT_S

    def _free_bytes(self, target: _Target, now: float) -> float:
        untracked = target.untracked_bytes if target.untracked_until > now else 0.0
        held = self._held_bytes_by_key.get(target.entry.key, 0.0)
        return self.limits.result_memory_bytes - held - untracked

    def _record_memory_exhausted(
        self, key: TargetKey, n_bytes: float, now: float
    ) -> None:
        """Count as used what is not accounted for here, save less than ``n_bytes``.

        A target that has no memory for a large result may have some for small ones.
        Results left by a previous owner of the pool occupy memory until they expire,
        and sizes are approximate. Load reports can't be used instead: they give free
        memory in whole megabytes, and some targets have less than one.
        """
        target = self._targets_by_key.get(key)
        if target is not None:
            used = self._held_bytes_by_key.get(key, 0.0) + max(0.0, n_bytes - 1.0)
            target.untracked_bytes = max(0.0, self.limits.result_memory_bytes - used)
            target.untracked_until = now + _MEMORY_EXHAUSTED_S

    def _measure_memory(self) -> None:
        """Prepare :meth:`_fits_pool`."""
        self._n_fit_by_size.clear()
        started = [job for job in self._jobs_by_id.values() if job.has_started]
        self._incomplete_bytes = sum(
            job.spec.result_bytes * (len(job.spec.works) - job.n_queued)
            for job in started
        )
        self._max_needed_bytes = max(
            (job.spec.result_bytes * job.n_queued for job in started), default=0.0
        )

    def _fits_pool(self, job: _Job, now: float) -> bool:
        """Return whether the pool has memory for all results of a job."""
        size = job.spec.result_bytes
        if size <= 0:
            return True
        n_fit = self._n_fit_by_size.get(size)
        if n_fit is None:
            n_fit = self._n_fit_by_size[size] = sum(
                max(0, int(self._free_bytes(target, now) / size))
                for key, target in self._targets_by_key.items()
                if key in self._usable
            )
        return n_fit >= job.n_queued and self._can_complete_with(job)

    def _can_complete_with(self, job: _Job) -> bool:
        """Return whether the jobs that have started can be completed beside another.

        Load it answers: a target that crashes while the others are full. Incomplete
        jobs would hold all memory of the others until their results expire. Results of
        complete jobs are freed soon, and a single piece holds nothing while it waits.
        """
        size = job.spec.result_bytes
        if job.n_queued == 1:
            return True
        n_each = int(self.limits.result_memory_bytes / size)
        left_bytes = n_each * size * self._n_answering() - self._incomplete_bytes
        return left_bytes >= max(self._max_needed_bytes, size * job.n_queued)

    def _n_answering(self) -> int:
        """Return how many usable targets answered their last call; all if none did."""
        n_failing = sum(
            self._targets_by_key[key].n_failures > 0 for key in self._usable
        )
        return len(self._usable) - n_failing or len(self._usable)

    def _record_call(
        self,
        target: _Target,
        selected: Sequence[tuple[_Job, PieceWork]],
        expected_s: float,
        now: float,
    ) -> PlannedCall:
        self._next_call_id += 1
        works = tuple(work for _, work in selected)
        plan = PlannedCall(self._next_call_id, target.entry, works, expected_s)
        sizes = tuple(job.spec.result_bytes for job, _ in selected)
        job_ids = tuple(job.spec.job_id for job, _ in selected)
        n_repeats = sum(self._n_repeated(job, [work]) for job, work in selected)
        call = _Call(plan, sizes, job_ids, now, n_repeats=n_repeats)
        target.calls_by_id[plan.call_id] = call
        self._add_held_bytes(target.entry.key, sum(sizes))
        return plan

    def _close_call(self, call_id: int, key: TargetKey, now: float) -> _Call | None:
        target = self._targets_by_key.get(key)
        if target is None:
            return None
        call = target.calls_by_id.pop(call_id, None)
        if call is not None:
            self._add_held_bytes(key, -sum(call.bytes_each))
        if key not in self._usable and not target.calls_by_id:
            del self._targets_by_key[key]
        return call

    def _target_answered(self, key: TargetKey) -> None:
        target = self._targets_by_key.get(key)
        if target is not None:
            target.n_failures = target.n_rejections = 0

    def _update_slowness(self, key: TargetKey, call: _Call, now: float) -> None:
        target = self._targets_by_key.get(key)
        if target is None:
            return
        n_pieces, took_s = len(call.plan.works), now - call.sent_at
        ratio = took_s / self.limits.call_duration_s(n_pieces)
        self.times.record(n_pieces, took_s)
        target.slowness += _SLOWNESS_WEIGHT * (max(0.5, ratio) - target.slowness)

    def _piece_failed(
        self, job_id: JobId, work: PieceWork, failure: PieceFailure
    ) -> list[JobUpdate]:
        job = self._jobs_by_id.get(job_id)
        if job is None or job.is_withdrawn or work.piece_id not in job.incomplete:
            return []
        if failure is PieceFailure.NO_MEMORY:
            job.declined.add(work.piece_id)
            self._requeue(job_id, work)
            return []
        job.n_failures += 1
        is_final = failure in (PieceFailure.OVERDUE, PieceFailure.INPUT_GONE)
        if is_final or job.n_failures >= _MAX_FAILURES_PER_PIECE * len(job.spec.works):
            del self._jobs_by_id[job_id]
            return [JobUpdate(job_id, failure=failure)]
        self._requeue(job_id, work)
        return []

    def _requeue(self, job_id: JobId, work: PieceWork) -> None:
        """Queue a piece again, for any target."""
        job = self._jobs_by_id.get(job_id)
        if job is None or job.is_withdrawn:
            return
        if work.piece_id in job.incomplete:
            job.queued[work.piece_id] = work

    def _drop_withdrawn(self, job_ids: Iterable[JobId]) -> list[JobId]:
        """Remove withdrawn jobs without an open call; return those removed."""
        dropped = [
            job_id
            for job_id in dict.fromkeys(job_ids)
            if (job := self._jobs_by_id.get(job_id)) is not None
            and job.is_withdrawn
            and not self._is_in_call(job)
        ]
        for job_id in dropped:
            del self._jobs_by_id[job_id]
        return dropped

    def _accept_result(self, job_id: JobId, piece_id: PieceId) -> bool:
        """Record a result; return False if no job needs it."""
        job = self._jobs_by_id.get(job_id)
        if job is None or piece_id not in job.incomplete:
            return False
        job.incomplete.discard(piece_id)
        job.queued.pop(piece_id, None)
        if not job.incomplete:
            del self._jobs_by_id[job_id]
        return True

    def _check_overdue(self, target: _Target, call: _Call, now: float) -> None:
        if call.is_overdue or now - call.sent_at < _overdue_s(call):
            return
        call.is_overdue = True
        for work, job_id in zip(call.plan.works, call.job_ids, strict=True):
            self._requeue(job_id, work)

    def _record_result(
        self, handle: Handle, key: TargetKey, n_bytes: float, now: float
    ) -> None:
        until = now + self.limits.result_ttl_s
        self._results_by_handle[handle] = _Result(key, n_bytes, until)
        self._add_held_bytes(key, n_bytes)

    def _release_result(self, handle: Handle) -> None:
        result = self._results_by_handle.pop(handle, None)
        if result is not None:
            self._add_held_bytes(result.key, -result.n_bytes)

    def _add_held_bytes(self, key: TargetKey, n_bytes: float) -> None:
        self._n_fit_by_size.clear()
        held = self._held_bytes_by_key.get(key, 0.0) + n_bytes
        if held > 0.5:
            self._held_bytes_by_key[key] = held
        else:
            self._held_bytes_by_key.pop(key, None)

    def _expire_results(self, now: float) -> None:
        # Results are stored in the order of their completion, so the oldest are first.
        while self._results_by_handle:
            handle = next(iter(self._results_by_handle))
            if self._results_by_handle[handle].until > now:
                return
            self._release_result(handle)

    def _expected_s(self, target: _Target, n_pieces: int) -> float:
        return self.limits.call_duration_s(n_pieces) * target.slowness


def _backoff_s(first_s: float, n_failures: int) -> float:
    """Return the backoff after a number of failures in a row, at least one."""
    return min(_MAX_BACKOFF_S, first_s * 2.0 ** min(n_failures - 1, 16))


def _urgency(job: _Job, done_at: float) -> tuple[bool, bool, int, float]:
    """Return the sort key of a job: able to meet its objective, then started, by rank.

    ``done_at`` is the time at which a job that starts now is completed. A job that
    would miss its objective goes after those that can still meet theirs; otherwise all
    of them would miss it slightly.
    """
    spec = job.spec
    return (
        spec.objective_at < done_at,
        not job.has_started,
        spec.rank,
        spec.objective_at,
    )


def _by_objective(jobs: Iterable[_Job]) -> list[_Job]:
    return sorted(jobs, key=lambda job: (job.spec.objective_at, job.spec.rank))


def _order_by_objective(jobs: Sequence[_Job], forecast: _Forecast) -> list[_Job]:
    """Return jobs by objective, without those that would make others miss theirs.

    Load it answers: a pool that is busy all the time and could still serve everyone in
    time. A strict order by rank makes the lowest rank late there, although the others
    could wait. ``jobs`` are ordered by rank; those left out go last in this order.
    """
    chosen = _by_objective(jobs)
    if forecast.are_on_time(chosen):
        return chosen
    chosen = []
    left_out: list[_Job] = []
    for job in jobs:
        if len(left_out) < _MAX_LEFT_OUT:
            candidates = _by_objective([*chosen, job])
            if forecast.are_on_time(candidates):
                chosen = candidates
                continue
        left_out.append(job)
    return [*chosen, *left_out]


def _prefers_zone(job: _Job) -> bool:
    """Return whether a job waits for a slot in its zone for a short time."""
    spec = job.spec
    return spec.zone is not None and spec.moved_bytes >= _LARGE_TRANSFER_BYTES


def _is_in_zone(job: _Job, target: _Target) -> bool:
    return job.spec.zone is None or job.spec.zone == target.entry.zone


def _ends_at(call: _Call, now: float) -> float:
    """Return the expected end of a call, always later than now."""
    due_at = call.sent_at + call.plan.expected_s
    overdue_s = call.plan.expected_s if call.is_overdue else 0.0
    return max(due_at, now + overdue_s + _MIN_REMAINING_S)


def _late_at(call: _Call) -> float:
    """Return the time from which a call does not occupy its slot."""
    return call.sent_at + call.plan.expected_s + _LATE_MARGIN_S


def _overdue_s(call: _Call) -> float:
    return call.plan.expected_s * _OVERDUE_FACTOR + _OVERDUE_MARGIN_S
