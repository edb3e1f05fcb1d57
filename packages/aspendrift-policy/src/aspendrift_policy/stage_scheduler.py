"""Turns, batches and memory of the targets of one stage pool.

Answers a load that is close to what the pool can do: a call has a fixed cost, so
full calls do several times the work of calls with one piece, and results fill a
target's memory before its time runs out. One scheduler counts turns and bytes of
every target, whatever daemon a job came from.

A target gets its next call when it has finished one, up to as many at a time as it
can work on. The call is made of the most urgent pieces of any job, as many as its
batch and its memory allow.
A job starts only while the pool has memory for all of its results, and a job that
has results already goes before those that have none.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final, NewType, TypeAlias

from aspendrift_model.ids import ZoneName
from aspendrift_model.pieces import (
    Handle,
    PieceFailure,
    PieceId,
    PieceOutcome,
    PieceWork,
)
from aspendrift_model.routes import PieceLimits
from aspendrift_model.target_entries import TargetEntry, TargetKey

__all__ = [
    "JobId",
    "JobNews",
    "PlannedCall",
    "StageJob",
    "StageScheduler",
]

JobId = NewType("JobId", str)
# One of the calls that a target can work on at the same time.
_Turn: TypeAlias = tuple[TargetKey, int]

# Weight of the newest call in a target's learned slowness.
_LEARN_WEIGHT: Final = 0.3
# A call this many times its expected time, plus a constant, is overdue: its pieces
# are made elsewhere as well. Half a call of spread is usual on healthy targets.
_OVERDUE_FACTOR: Final = 2.5
_OVERDUE_S: Final = 0.25
# Time for which a target that failed gets no work, doubled at each further failure.
_REST_S: Final = 0.25
_MAX_REST_S: Final = 2.0
# Time for which a full target is left alone.
_FULL_REST_S: Final = 0.05
# Time for which a target that had no room counts as full, but for what is freed: most
# of a usual call. A call that finds no room is answered at once.
_NO_ROOM_S: Final = 0.2
# A job that would move at least this much between zones waits for a target of its
# zone while it has time: the transfer costs more than the wait.
_LARGE_BYTES: Final = 500_000
# Longest such wait: a third of a usual call.
_ZONE_WAIT_S: Final = 0.1
# A call that is due now ends this much later at the soonest.
_SOON_S: Final = 0.001
# Calls whose expected ends differ by less are equal: learned times vary by as much.
_EQUAL_END_S: Final = 0.05
# A piece that failed this often fails its job.
_MAX_FAILURES: Final = 3


@dataclass(frozen=True, slots=True)
class StageJob:
    """The pieces of one stage of one request, as one daemon submitted them.

    Parameters
    ----------
    result_bytes : float
        Approximate size of each result.
    rank : int
        Order among jobs; lower goes first.
    objective_at, deadline_at : float
        When the job should be done for its request to be on time, and when it is
        of no use any more; monotonic, in seconds.
    zone : ZoneName or None
        Zone of the inputs, or else that in which the results are used.
    moved_bytes : float
        What travels between zones if the job is done in another zone.
    inputs_until : float
        Until when the inputs are kept; a job without a turn until then ends, rather
        than waste a turn on inputs that are gone.
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


@dataclass(frozen=True, slots=True)
class PlannedCall:
    """A call to send now."""

    call_id: int
    target: TargetEntry
    works: tuple[PieceWork, ...]
    expected_s: float


@dataclass(frozen=True, slots=True)
class JobNews:
    """What became of pieces of a job.

    Results may come in parts; ``is_done`` tells that these were the last ones.
    A failure ends the job.
    """

    job_id: JobId
    results: tuple[tuple[PieceId, Handle], ...] = ()
    is_done: bool = False
    failure: PieceFailure | None = None


@dataclass(slots=True)
class _Job:
    spec: StageJob
    queued: dict[PieceId, PieceWork]
    unmade: set[PieceId]
    n_failures: int = 0
    has_begun: bool = False

    @property
    def n_queued(self) -> int:
        return len(self.queued)


@dataclass(slots=True)
class _Call:
    plan: PlannedCall
    bytes_each: tuple[float, ...]
    job_ids: tuple[JobId, ...]
    sent_at: float
    is_overdue: bool = False


@dataclass(slots=True)
class _Target:
    entry: TargetEntry
    slowness: float = 1.0
    rests_until: float = 0.0
    n_failures: int = 0
    calls_by_id: dict[int, _Call] = field(default_factory=dict)
    foreign_bytes: float = 0.0
    foreign_until: float = 0.0


@dataclass(slots=True)
class _Result:
    key: TargetKey
    n_bytes: float
    until: float


class StageScheduler:
    """Decides which target of a pool works on which pieces next.

    Parameters
    ----------
    limits : PieceLimits
        What one target can do.
    """

    # Whether jobs go in the order in which they came.
    is_first_in_first_out = False

    def __init__(self, limits: PieceLimits) -> None:
        self.set_limits(limits)
        self._targets_by_key: dict[TargetKey, _Target] = {}
        self._jobs_by_id: dict[JobId, _Job] = {}
        self._results_by_handle: dict[Handle, _Result] = {}
        self._held_by_key: dict[TargetKey, float] = {}
        self._usable: frozenset[TargetKey] = frozenset()
        self._next_call_id = 0

    @property
    def n_jobs(self) -> int:
        """Jobs that are not done."""
        return len(self._jobs_by_id)

    def set_limits(self, limits: PieceLimits) -> None:
        """Use these limits from now on."""
        self.limits = limits

    def set_targets(self, entries: Iterable[TargetEntry]) -> None:
        """Use these targets from now on; calls at others are still waited for."""
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

    def submit(self, job: StageJob) -> None:
        """Take a job; its pieces wait for a turn."""
        queued = {work.piece_id: work for work in job.works}
        self._jobs_by_id[job.job_id] = _Job(job, queued, set(queued))

    def cancel(self, job_id: JobId) -> None:
        """Forget a job; results that still come are returned as unneeded."""
        self._jobs_by_id.pop(job_id, None)

    def freed(self, handles: Iterable[Handle]) -> None:
        """Note that results were freed."""
        for handle in handles:
            self._release(handle)

    def plan(self, now: float) -> list[PlannedCall]:
        """Return the calls to send now, each noted as sent."""
        self._expire_results(now)
        waiting = self._in_order(now)
        free_at = {
            (key, number): at
            for key, target in self._targets_by_key.items()
            if key in self._usable
            for number, at in enumerate(self._free_at(target, now))
        }
        limit = self._call_size(waiting, free_at, now)
        calls: list[PlannedCall] = []
        while waiting and free_at:
            turn = self._best_turn(free_at, waiting[0])
            target = self._targets_by_key[turn[0]]
            # What the best target would take waits for it if it is busy.
            is_free = free_at[turn] <= now
            taken = self._take(waiting, target, free_at, now, limit, is_free)
            if not taken:
                del free_at[turn]
                continue
            expected_s = self._expected_s(target, len(taken))
            if is_free:
                calls.append(self._send(target, taken, expected_s, now))
            free_at[turn] = max(free_at[turn], now) + expected_s
            if all(at > now + self.limits.full_call_s for at in free_at.values()):
                break
        return calls

    def ended(
        self, call_id: int, key: TargetKey, outcomes: Sequence[PieceOutcome], now: float
    ) -> tuple[list[JobNews], list[Handle]]:
        """Take in a target's answer: news for jobs, and results nobody needs."""
        call = self._close(call_id, key, now)
        if call is None:
            return [], []
        self._learn(key, call, now)
        news: list[JobNews] = []
        unneeded: list[Handle] = []
        results_by_job: dict[JobId, list[tuple[PieceId, Handle]]] = {}
        pieces = zip(
            call.plan.works, call.job_ids, call.bytes_each, outcomes, strict=True
        )
        for work, job_id, n_bytes, outcome in pieces:
            if isinstance(outcome, PieceFailure):
                news += self._piece_failed(job_id, work, outcome)
                continue
            self._hold(outcome, key, n_bytes, now)
            if self._take_result(job_id, work.piece_id):
                results_by_job.setdefault(job_id, []).append((work.piece_id, outcome))
            else:
                unneeded.append(outcome)
        if PieceFailure.NO_ROOM in outcomes:
            self._had_no_room(key, now)
        for job_id, results in results_by_job.items():
            is_done = job_id not in self._jobs_by_id
            news.append(JobNews(job_id, tuple(results), is_done))
        return news, unneeded

    def failed(
        self, call_id: int, key: TargetKey, is_full: bool, now: float
    ) -> list[JobNews]:
        """Note that a call made no result; its pieces wait for another turn."""
        call = self._close(call_id, key, now)
        if call is None:
            return []
        target = self._targets_by_key.get(key)
        if target is not None:
            target.n_failures += 0 if is_full else 1
            rest_s = min(_MAX_REST_S, _REST_S * 2 ** max(0, target.n_failures - 1))
            target.rests_until = now + (_FULL_REST_S if is_full else rest_s)
        news: list[JobNews] = []
        for work, job_id in zip(call.plan.works, call.job_ids, strict=True):
            if is_full:
                self._requeue(job_id, work)
            else:
                news += self._piece_failed(job_id, work, PieceFailure.ERROR)
        return news

    def step(self, now: float) -> list[JobNews]:
        """End jobs that are past their time; make overdue pieces elsewhere too."""
        news = [
            JobNews(job_id, failure=failure)
            for job_id, job in self._jobs_by_id.items()
            if (failure := _out_of_time(job, now)) is not None
        ]
        for each in news:
            del self._jobs_by_id[each.job_id]
        for target in self._targets_by_key.values():
            for call in target.calls_by_id.values():
                self._check_overdue(target, call, now)
        return news

    def next_due(self, now: float) -> float | None:
        """Return when :meth:`plan` or :meth:`step` may have something to do."""
        times = [
            call.sent_at + _overdue_s(call)
            for target in self._targets_by_key.values()
            for call in target.calls_by_id.values()
            if not call.is_overdue
        ]
        if self._jobs_by_id:
            times += [
                min(job.spec.deadline_at, job.spec.inputs_until)
                for job in self._jobs_by_id.values()
            ]
            times += [
                target.rests_until
                for target in self._targets_by_key.values()
                if target.rests_until > now
            ]
            times += [
                target.foreign_until
                for target in self._targets_by_key.values()
                if target.foreign_until > now
            ]
            times += [result.until for result in self._results_by_handle.values()]
        return min(times, default=None)

    def backlog(self) -> Mapping[int, int]:
        """Return the number of queued pieces by rank."""
        by_rank: dict[int, int] = {}
        for job in self._jobs_by_id.values():
            rank = job.spec.rank
            by_rank[rank] = by_rank.get(rank, 0) + job.n_queued
        return by_rank

    def _call_size(
        self, jobs: Sequence[_Job], free_at: Mapping[_Turn, float], now: float
    ) -> int:
        """Return the most pieces for a call.

        Calls that free targets can take now are of equal size: as many calls, of
        which the last one ends sooner.
        """
        batch = self.limits.batch
        n_queued = sum(job.n_queued for job in jobs)
        n_calls = math.ceil(n_queued / batch)
        n_free = sum(at <= now for at in free_at.values())
        if n_calls == 0 or n_calls > n_free:
            return batch
        return math.ceil(n_queued / n_calls)

    def _in_order(self, now: float) -> list[_Job]:
        jobs = [job for job in self._jobs_by_id.values() if job.queued]
        done_at = now + self.limits.full_call_s
        if not self.is_first_in_first_out:
            jobs.sort(key=lambda job: _urgency(job, done_at))
        return jobs

    def _free_at(self, target: _Target, now: float) -> list[float]:
        """Return from when on a target can work on each of its calls at a time."""
        at = max(now, target.rests_until)
        n_slots = self.limits.n_slots
        ends = sorted(_ends_at(call, now) for call in target.calls_by_id.values())
        busy = [max(at, end) for end in ends[-n_slots:]]
        return [at] * (n_slots - len(busy)) + busy

    def _best_turn(self, free_at: Mapping[_Turn, float], job: _Job) -> _Turn:
        """Return the turn that ends a call soonest; of equal ones, one near a job."""
        full_s = self.limits.full_call_s
        ends_at = {
            turn: at + full_s * self._targets_by_key[turn[0]].slowness
            for turn, at in free_at.items()
        }
        latest = min(ends_at.values()) + _EQUAL_END_S
        return min(
            (turn for turn, at in ends_at.items() if at <= latest),
            key=lambda turn: (
                not _is_near(job, self._targets_by_key[turn[0]]),
                ends_at[turn],
                turn,
            ),
        )

    def _take(
        self,
        jobs: list[_Job],
        target: _Target,
        free_at: Mapping[_Turn, float],
        now: float,
        limit: int,
        real: bool,
    ) -> list[tuple[_Job, PieceWork]]:
        """Take pieces off the jobs for one call, most urgent first.

        ``real`` is whether the call is sent now; otherwise the pieces are only
        set aside while the rest is planned.
        """
        room = self._room(target, now)
        taken: list[tuple[_Job, PieceWork]] = []
        for job in list(jobs):
            if len(taken) == limit:
                break
            if not self._may_take(job, target, free_at, now):
                continue
            works = list(job.queued.values())[: limit - len(taken)]
            size = job.spec.result_bytes
            if real and size > 0:
                works = works[: max(0, int(room / size))]
                room -= size * len(works)
            if not works:
                continue
            taken += [(job, work) for work in works]
            if real:
                for work in works:
                    del job.queued[work.piece_id]
                job.has_begun = True
            if not real or not job.queued:
                jobs.remove(job)
        return taken

    def _may_take(
        self,
        job: _Job,
        target: _Target,
        free_at: Mapping[_Turn, float],
        now: float,
    ) -> bool:
        """Return whether a target may work on a job."""
        if not job.has_begun and not self._fits_pool(job, now):
            return False
        return not self._waits_for_zone(job, target, free_at, now)

    def _waits_for_zone(
        self,
        job: _Job,
        target: _Target,
        free_at: Mapping[_Turn, float],
        now: float,
    ) -> bool:
        """Return whether a job is better done in its zone.

        It is done elsewhere only if the wait would make its request late.
        """
        spec = job.spec
        if spec.zone is None or spec.zone == target.entry.zone:
            return False
        if spec.moved_bytes < _LARGE_BYTES:
            return False
        begins = [
            free_at[turn]
            for turn in free_at
            if self._targets_by_key[turn[0]].entry.zone == spec.zone
        ]
        if not begins:
            return False
        return min(begins) - now <= _ZONE_WAIT_S

    def _room(self, target: _Target, now: float) -> float:
        foreign = target.foreign_bytes if target.foreign_until > now else 0.0
        held = self._held_by_key.get(target.entry.key, 0.0)
        return self.limits.room_bytes - held - foreign

    def _had_no_room(self, key: TargetKey, now: float) -> None:
        """Note that what is not known to be held here is held by others.

        Results that an owner before this one left fill memory until they expire, and
        sizes are approximate. Reports tell room in whole megabytes, of which some
        targets have less than one.
        """
        target = self._targets_by_key.get(key)
        if target is not None:
            held = self._held_by_key.get(key, 0.0)
            target.foreign_bytes = max(0.0, self.limits.room_bytes - held)
            target.foreign_until = now + _NO_ROOM_S

    def _fits_pool(self, job: _Job, now: float) -> bool:
        """Return whether the pool has memory for every result of a job."""
        size = job.spec.result_bytes
        if size <= 0:
            return True
        n_fit = sum(
            max(0, int(self._room(target, now) / size))
            for key, target in self._targets_by_key.items()
            if key in self._usable
        )
        return n_fit >= len(job.queued)

    def _send(
        self,
        target: _Target,
        taken: Sequence[tuple[_Job, PieceWork]],
        expected_s: float,
        now: float,
    ) -> PlannedCall:
        self._next_call_id += 1
        works = tuple(work for _, work in taken)
        plan = PlannedCall(self._next_call_id, target.entry, works, expected_s)
        sizes = tuple(job.spec.result_bytes for job, _ in taken)
        job_ids = tuple(job.spec.job_id for job, _ in taken)
        target.calls_by_id[plan.call_id] = _Call(plan, sizes, job_ids, now)
        self._add_held(target.entry.key, sum(sizes))
        return plan

    def _close(self, call_id: int, key: TargetKey, now: float) -> _Call | None:
        target = self._targets_by_key.get(key)
        if target is None:
            return None
        call = target.calls_by_id.pop(call_id, None)
        if call is not None:
            self._add_held(key, -sum(call.bytes_each))
        if key not in self._usable and not target.calls_by_id:
            del self._targets_by_key[key]
        return call

    def _learn(self, key: TargetKey, call: _Call, now: float) -> None:
        target = self._targets_by_key.get(key)
        if target is None:
            return
        target.n_failures = 0
        ratio = (now - call.sent_at) / self.limits.work_s(len(call.plan.works))
        target.slowness += _LEARN_WEIGHT * (max(0.5, ratio) - target.slowness)

    def _piece_failed(
        self, job_id: JobId, work: PieceWork, failure: PieceFailure
    ) -> list[JobNews]:
        job = self._jobs_by_id.get(job_id)
        if job is None or work.piece_id not in job.unmade:
            return []
        if failure is PieceFailure.NO_ROOM:
            self._requeue(job_id, work)
            return []
        job.n_failures += 1
        is_final = failure in (PieceFailure.LATE, PieceFailure.INPUT_GONE)
        if is_final or job.n_failures >= _MAX_FAILURES * len(job.spec.works):
            del self._jobs_by_id[job_id]
            return [JobNews(job_id, failure=failure)]
        self._requeue(job_id, work)
        return []

    def _requeue(self, job_id: JobId, work: PieceWork) -> None:
        """Queue a piece again, for any target."""
        job = self._jobs_by_id.get(job_id)
        if job is not None and work.piece_id in job.unmade:
            job.queued[work.piece_id] = work

    def _take_result(self, job_id: JobId, piece_id: PieceId) -> bool:
        """Note a result; False if nobody waits for it."""
        job = self._jobs_by_id.get(job_id)
        if job is None or piece_id not in job.unmade:
            return False
        job.unmade.discard(piece_id)
        job.queued.pop(piece_id, None)
        if not job.unmade:
            del self._jobs_by_id[job_id]
        return True

    def _check_overdue(self, target: _Target, call: _Call, now: float) -> None:
        if call.is_overdue or now - call.sent_at < _overdue_s(call):
            return
        call.is_overdue = True
        target.slowness = max(target.slowness, _OVERDUE_FACTOR)
        for work, job_id in zip(call.plan.works, call.job_ids, strict=True):
            self._requeue(job_id, work)

    def _hold(self, handle: Handle, key: TargetKey, n_bytes: float, now: float) -> None:
        until = now + self.limits.keep_s
        self._results_by_handle[handle] = _Result(key, n_bytes, until)
        self._add_held(key, n_bytes)

    def _release(self, handle: Handle) -> None:
        result = self._results_by_handle.pop(handle, None)
        if result is not None:
            self._add_held(result.key, -result.n_bytes)

    def _add_held(self, key: TargetKey, n_bytes: float) -> None:
        held = self._held_by_key.get(key, 0.0) + n_bytes
        if held > 0.5:
            self._held_by_key[key] = held
        else:
            self._held_by_key.pop(key, None)

    def _expire_results(self, now: float) -> None:
        # Results are kept in the order in which they were made, so the oldest
        # come first.
        while self._results_by_handle:
            handle = next(iter(self._results_by_handle))
            if self._results_by_handle[handle].until > now:
                return
            self._release(handle)

    def _expected_s(self, target: _Target, n_pieces: int) -> float:
        return self.limits.work_s(n_pieces) * target.slowness


def _out_of_time(job: _Job, now: float) -> PieceFailure | None:
    if job.spec.deadline_at <= now:
        return PieceFailure.LATE
    if job.spec.inputs_until <= now and job.queued:
        return PieceFailure.INPUT_GONE
    return None


def _urgency(job: _Job, done_at: float) -> tuple[bool, bool, int, float]:
    """Return what orders jobs: begun ones, then those still on time, by rank.

    ``done_at`` is when a job that starts now is done; a job that is late then makes
    way for those that are not, or else all of them end a little late.
    """
    spec = job.spec
    return (
        not job.has_begun,
        spec.objective_at < done_at,
        spec.rank,
        spec.objective_at,
    )


def _is_near(job: _Job, target: _Target) -> bool:
    return job.spec.zone is None or job.spec.zone == target.entry.zone


def _ends_at(call: _Call, now: float) -> float:
    """Return when a call is expected to end; later than now."""
    due_at = call.sent_at + call.plan.expected_s
    late_s = call.plan.expected_s if call.is_overdue else 0.0
    return max(due_at, now + late_s + _SOON_S)


def _overdue_s(call: _Call) -> float:
    return call.plan.expected_s * _OVERDUE_FACTOR + _OVERDUE_S
