"""Quarantines contents that crash targets, together with the other daemons."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any, Final, TypeVar

import msgspec

from aspendrift_daemon.events import EventHub
from aspendrift_daemon.interfaces import (
    Clock,
    Committed,
    Conflict,
    PeerBus,
    StoreUnavailable,
    TableService,
)
from aspendrift_daemon.request_events import ContentQuarantined, TargetCrashed
from aspendrift_model.decode_errors import DECODE_ERRORS
from aspendrift_model.ids import DaemonId, Fingerprint, RequestId, TargetId
from aspendrift_model.settings_requests import RequestSettings
from aspendrift_model.wire_platform import Condition, Row, Write
from aspendrift_policy.poison import (
    ContentState,
    PoisonLimits,
    SuspectTracker,
    Trial,
    TrialTracker,
)

__all__ = ["PoisonGuard", "AttemptPermit", "AttemptClearance"]

_MS_PER_S: Final = 1000.0
_TOPIC_CRASH: Final = "poison.crash"
_TOPIC_CLEARED: Final = "poison.cleared"
_TOPIC_QUARANTINED: Final = "poison.convicted"
_TOPIC_TRIAL: Final = "poison.trial"
_ROW_PREFIX: Final = "poison/"
_FIRST_RETRY_DELAY_S: Final = 0.2
_MAX_RETRY_DELAY_S: Final = 5.0
_MAX_WRITE_ATTEMPTS: Final = 20
_LOAD_PAGE_ROWS: Final = 500


class CrashReport(msgspec.Struct, frozen=True):
    """A target crashed with these contents in flight at the sender."""

    target_id: str
    contents: tuple[str, ...]


class Cleared(msgspec.Struct, frozen=True):
    """A suspect content ran to completion and is no longer suspect."""

    content: str


class Quarantined(msgspec.Struct, frozen=True):
    """A content is quarantined: refused from now on."""

    content: str
    target_ids: tuple[str, ...] = ()


class TrialUpdate(msgspec.Struct, frozen=True):
    """A trial of a suspect content is announced, running or ended."""

    content: str
    target_id: str
    running: bool = False
    ended: bool = False


class QuarantineRecord(msgspec.Struct, frozen=True):
    """Value of the table row of a quarantined content."""

    at_unix_ms: int
    target_ids: tuple[str, ...] = ()


_M = TypeVar("_M", CrashReport, Cleared, Quarantined, TrialUpdate)


@dataclass(frozen=True, slots=True)
class AttemptPermit:
    """Whether an attempt may be sent to the chosen target."""

    allowed: bool
    quarantined: bool = False


@dataclass(frozen=True, slots=True)
class AttemptClearance:
    """Restrictions on the next attempt of a content.

    Parameters
    ----------
    busy_targets : frozenset of TargetId
        Targets on which trials of other suspects are running.
    """

    state: ContentState
    busy_targets: frozenset[TargetId] = frozenset()


_UNRESTRICTED: Final = AttemptClearance(ContentState.CLEAN)
_ALLOWED: Final = AttemptPermit(True)
_BLOCKED_BY_TRIAL: Final = AttemptPermit(False)
_QUARANTINED: Final = AttemptPermit(False, True)


@dataclass(slots=True)
class _OpenRun:
    """A run that is open on this daemon, with its current attempt."""

    content: Fingerprint
    target_id: TargetId | None = None
    in_trial: bool = False
    was_sent: bool = False


@dataclass(slots=True)
class PoisonGuard:
    """Prevents a poison content from crashing more than two targets.

    Parameters
    ----------
    spawn : callable
        Runs a coroutine in the background.
    """

    settings: RequestSettings
    daemon_id: DaemonId
    clock: Clock
    table: TableService
    bus: PeerBus
    events: EventHub
    rng: random.Random
    spawn: Callable[[Coroutine[Any, Any, None]], None]
    _open_runs_by_id: dict[RequestId, _OpenRun] = field(default_factory=dict)
    _trials_changed: asyncio.Event = field(default_factory=asyncio.Event)
    _suspects: SuspectTracker = field(init=False)
    _trials: TrialTracker = field(init=False)

    def __post_init__(self) -> None:
        settings = self.settings
        self._suspects = SuspectTracker(
            PoisonLimits(
                suspicion_s=settings.poison_suspicion_s,
                quarantine_s=settings.poison_conviction_s,
            )
        )
        self._trials = TrialTracker(settings.poison_trial_s)

    async def start(self) -> None:
        """Subscribe to peers and load the stored quarantine records."""
        self.bus.subscribe(_TOPIC_CRASH, self._on_crash_report)
        self.bus.subscribe(_TOPIC_CLEARED, self._on_cleared)
        self.bus.subscribe(_TOPIC_QUARANTINED, self._on_quarantined)
        self.bus.subscribe(_TOPIC_TRIAL, self._on_trial)
        self.spawn(self._load_quarantines())

    def content_state(self, content: Fingerprint) -> ContentState:
        """Return the state of a content."""
        return self._suspects.content_state(content, self._now())

    def crashed_targets(self, content: Fingerprint) -> frozenset[TargetId]:
        """Return the targets that crashed with a content in flight."""
        return self._suspects.crashed_targets(content)

    def open(self, run_id: RequestId, content: Fingerprint) -> None:
        """Register a run before its first attempt."""
        self._open_runs_by_id[run_id] = _OpenRun(content)

    def close(self, run_id: RequestId, *, answered: bool) -> None:
        """Remove a run; a complete answer clears its content of suspicion."""
        run = self._open_runs_by_id.pop(run_id, None)
        if run is None or not (answered and run.was_sent):
            return
        if self._suspects.clear(run.content):
            self._broadcast(_TOPIC_CLEARED, Cleared(run.content))

    async def await_clearance(
        self, run_id: RequestId, until: float
    ) -> AttemptClearance:
        """Wait while a trial of the content is running elsewhere."""
        run = self._open_runs_by_id[run_id]
        while (now := self._now()) < until:
            state = self._suspects.content_state(run.content, now)
            if state is ContentState.CLEAN:
                return _UNRESTRICTED
            if state is ContentState.QUARANTINED:
                break
            if not self._trials.has_trial(run.content, now):
                return AttemptClearance(state, self._trials.busy_targets(now))
            await self.await_trial_change(until)
        return AttemptClearance(self.content_state(run.content))

    async def await_trial_change(self, until: float) -> None:
        """Wait until any trial begins or ends, at most for the length of a trial."""
        changed = self._trials_changed
        timeout_s = min(until - self._now(), self.settings.poison_trial_s)
        try:
            async with asyncio.timeout(max(0.0, timeout_s)):
                await changed.wait()
        except TimeoutError:
            return

    async def before_send(
        self, run_id: RequestId, target_id: TargetId
    ) -> AttemptPermit:
        """Record an attempt; for a suspect, announce a trial to the peers first."""
        run = self._open_runs_by_id[run_id]
        state = self.content_state(run.content)
        if state is ContentState.QUARANTINED:
            return _QUARANTINED
        if state is ContentState.SUSPECT:
            permit = await self._begin_trial(run, target_id)
            if not permit.allowed:
                return permit
        run.target_id = target_id
        run.was_sent = True
        return _ALLOWED

    def after_attempt(
        self, run_id: RequestId, target_id: TargetId, *, crashed: bool
    ) -> ContentState:
        """Record the end of an attempt and return the state of its content."""
        run = self._open_runs_by_id[run_id]
        if crashed:
            self._report_crash(target_id)
        run.target_id = None
        if run.in_trial:
            run.in_trial = False
            self._end_trial(run.content, target_id)
        return self.content_state(run.content)

    async def _begin_trial(self, run: _OpenRun, target_id: TargetId) -> AttemptPermit:
        content = run.content
        trial = Trial(content, target_id, self.daemon_id)
        if not self._trials.begin(trial, self._now()):
            return _BLOCKED_BY_TRIAL
        self._broadcast(_TOPIC_TRIAL, TrialUpdate(content, target_id))
        confirmed = False
        try:
            await asyncio.sleep(self.settings.poison_settle_ms / _MS_PER_S)
            if self.content_state(content) is ContentState.QUARANTINED:
                return _QUARANTINED
            confirmed = self._trials.confirm(trial, self._now())
        finally:
            if not confirmed:
                self._end_trial(content, target_id)
        if confirmed:
            run.in_trial = True
            self._broadcast(_TOPIC_TRIAL, TrialUpdate(content, target_id, running=True))
        return _ALLOWED if confirmed else _BLOCKED_BY_TRIAL

    def _end_trial(self, content: Fingerprint, target_id: TargetId) -> None:
        self._trials.end(content, target_id, self.daemon_id)
        self._broadcast(_TOPIC_TRIAL, TrialUpdate(content, target_id, ended=True))
        self._wake_waiters()

    def _wake_waiters(self) -> None:
        """Wake every run that waits for a trial to begin or end."""
        self._trials_changed.set()
        self._trials_changed = asyncio.Event()

    def _report_crash(self, target_id: TargetId) -> None:
        """Mark all contents in flight on a crashed target as suspects."""
        contents = {
            run.content
            for run in self._open_runs_by_id.values()
            if run.target_id == target_id
        }
        self._broadcast(_TOPIC_CRASH, CrashReport(target_id, tuple(sorted(contents))))
        self.events.emit(TargetCrashed(target_id, tuple(sorted(contents))))
        self._record_crash(target_id, contents)

    def _record_crash(self, target_id: TargetId, contents: set[Fingerprint]) -> None:
        now = self._now()
        for content in self._suspects.record_crash(target_id, contents, now):
            self._announce_quarantine(content)
        self._wake_waiters()

    def _announce_quarantine(self, content: Fingerprint) -> None:
        target_ids = tuple(sorted(self._suspects.crashed_targets(content)))
        self._broadcast(_TOPIC_QUARANTINED, Quarantined(content, target_ids))
        self.events.emit(ContentQuarantined(content, target_ids))
        self.spawn(self._store_quarantine(content, target_ids))

    async def _store_quarantine(
        self, content: Fingerprint, target_ids: tuple[TargetId, ...]
    ) -> None:
        """Store a quarantine record for daemons that start later."""
        record = QuarantineRecord(int(self.clock.unix() * _MS_PER_S), target_ids)
        key = _ROW_PREFIX + content
        write = Write(key, msgspec.json.encode(record).decode())
        version = 0
        wait_s = _FIRST_RETRY_DELAY_S
        for _ in range(_MAX_WRITE_ATTEMPTS):
            result = await self.table.transact([Condition(key, version)], [write])
            if isinstance(result, Committed):
                return
            if isinstance(result, Conflict):
                if version:
                    return
                version = result.rows[0].version
            await asyncio.sleep(wait_s * self.rng.uniform(0.5, 1.0))
            wait_s = min(_MAX_RETRY_DELAY_S, wait_s * 2)

    async def _load_quarantines(self) -> None:
        """Load the unexpired quarantine records, retrying until the table answers."""
        after = ""
        wait_s = _FIRST_RETRY_DELAY_S
        while True:
            read = await self.table.scan(_ROW_PREFIX, after, _LOAD_PAGE_ROWS)
            if isinstance(read, StoreUnavailable):
                await asyncio.sleep(wait_s * self.rng.uniform(0.5, 1.0))
                wait_s = min(_MAX_RETRY_DELAY_S, wait_s * 2)
                continue
            for row in read.rows:
                self._apply_row(row)
            if len(read.rows) < _LOAD_PAGE_ROWS:
                return
            after = read.rows[-1].key

    def _apply_row(self, row: Row) -> None:
        try:
            record = msgspec.json.decode(row.value or "", type=QuarantineRecord)
        except DECODE_ERRORS:
            return
        age_s = self.clock.unix() - record.at_unix_ms / _MS_PER_S
        if age_s < self.settings.poison_conviction_s:
            content = Fingerprint(row.key.removeprefix(_ROW_PREFIX))
            self._suspects.quarantine(content, self._now())

    def _on_crash_report(self, origin: DaemonId, payload: bytes) -> None:
        report = _decode(payload, CrashReport)
        if report is None:
            return
        target_id = TargetId(report.target_id)
        contents = {Fingerprint(content) for content in report.contents}
        self._record_crash(target_id, contents)
        for run in self._open_runs_by_id.values():
            if run.content in contents and run.target_id not in (
                None,
                target_id,
            ):
                self._announce_running(run)

    def _announce_running(self, run: _OpenRun) -> None:
        """Announce to peers a suspect that was sent before it became suspect."""
        if run.in_trial or run.target_id is None:
            return
        run.in_trial = True
        trial = Trial(run.content, run.target_id, self.daemon_id, True)
        self._trials.apply_update(trial, self._now())
        update = TrialUpdate(run.content, run.target_id, running=True)
        self._broadcast(_TOPIC_TRIAL, update)

    def _on_cleared(self, origin: DaemonId, payload: bytes) -> None:
        cleared = _decode(payload, Cleared)
        if cleared is not None:
            self._suspects.clear(Fingerprint(cleared.content))
            self._wake_waiters()

    def _on_quarantined(self, origin: DaemonId, payload: bytes) -> None:
        quarantined = _decode(payload, Quarantined)
        if quarantined is not None:
            self._suspects.quarantine(Fingerprint(quarantined.content), self._now())
            self._wake_waiters()

    def _on_trial(self, origin: DaemonId, payload: bytes) -> None:
        update = _decode(payload, TrialUpdate)
        if update is None:
            return
        content, target_id = Fingerprint(update.content), TargetId(update.target_id)
        if update.ended:
            self._trials.end(content, target_id, origin)
        else:
            trial = Trial(content, target_id, origin, update.running)
            self._trials.apply_update(trial, self._now())
        self._wake_waiters()

    def _broadcast(self, topic: str, message: msgspec.Struct) -> None:
        self.bus.broadcast(topic, msgspec.msgpack.encode(message))

    def _now(self) -> float:
        return self.clock.monotonic()


def _decode(payload: bytes, kind: type[_M]) -> _M | None:
    try:
        return msgspec.msgpack.decode(payload, type=kind)
    except DECODE_ERRORS:
        return None
