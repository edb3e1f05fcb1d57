"""Watches which contents run where, and shares suspicions and convictions."""

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
from aspendrift_daemon.request_events import ContentConvicted, TargetCrashed
from aspendrift_model.ids import DaemonId, Fingerprint, RequestId, TargetId
from aspendrift_model.settings_requests import RequestSettings
from aspendrift_model.unreadable import UNREADABLE
from aspendrift_model.wire_platform import Condition, Row, Write
from aspendrift_policy.poison import (
    PoisonLimits,
    Standing,
    SuspectBook,
    Trial,
    TrialBook,
)

__all__ = ["PoisonGuard", "SendPermit", "Turn"]

_MS_PER_S: Final = 1000.0
_TOPIC_CRASH: Final = "poison.crash"
_TOPIC_CLEARED: Final = "poison.cleared"
_TOPIC_CONVICTED: Final = "poison.convicted"
_TOPIC_TRIAL: Final = "poison.trial"
_ROW_PREFIX: Final = "poison/"
_FIRST_RETRY_S: Final = 0.2
_MAX_RETRY_S: Final = 5.0
_MAX_WRITE_ATTEMPTS: Final = 20
_LOAD_PAGE: Final = 500


class CrashReport(msgspec.Struct, frozen=True):
    """A target crashed with these contents in flight at the sender."""

    target_id: str
    contents: tuple[str, ...]


class Cleared(msgspec.Struct, frozen=True):
    """A suspect ran to its end."""

    content: str


class Convicted(msgspec.Struct, frozen=True):
    """A content is refused from now on."""

    content: str
    target_ids: tuple[str, ...] = ()


class TrialNews(msgspec.Struct, frozen=True):
    """A trial of a suspect waits, runs or has ended."""

    content: str
    target_id: str
    running: bool = False
    ended: bool = False


class ConvictionRecord(msgspec.Struct, frozen=True):
    """Value of a conviction's row."""

    at_unix_ms: int
    target_ids: tuple[str, ...] = ()


_M = TypeVar("_M", CrashReport, Cleared, Convicted, TrialNews)


@dataclass(frozen=True, slots=True)
class SendPermit:
    """Whether an attempt may be sent to the target that was chosen."""

    allowed: bool
    convicted: bool = False


@dataclass(frozen=True, slots=True)
class Turn:
    """What holds for the next attempt of a content.

    Parameters
    ----------
    busy_targets : frozenset of TargetId
        Targets on which other suspects are being tried.
    """

    standing: Standing
    busy_targets: frozenset[TargetId] = frozenset()


_FREE_TURN: Final = Turn(Standing.CLEAN)
_GO: Final = SendPermit(True)
_ELSEWHERE: Final = SendPermit(False)
_NEVER: Final = SendPermit(False, True)


@dataclass(slots=True)
class _Flight:
    """A run that is open on this daemon."""

    content: Fingerprint
    target_id: TargetId | None = None
    trial: bool = False
    was_sent: bool = False


@dataclass(slots=True)
class PoisonGuard:
    """Keeps one content from crashing more than two targets.

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
    _flights_by_run: dict[RequestId, _Flight] = field(default_factory=dict)
    _trials_changed: asyncio.Event = field(default_factory=asyncio.Event)
    _book: SuspectBook = field(init=False)
    _trials: TrialBook = field(init=False)

    def __post_init__(self) -> None:
        settings = self.settings
        self._book = SuspectBook(
            PoisonLimits(
                suspicion_s=settings.poison_suspicion_s,
                conviction_s=settings.poison_conviction_s,
            )
        )
        self._trials = TrialBook(settings.poison_trial_s)

    async def start(self) -> None:
        """Listen to peers and read the convictions of earlier times."""
        self.bus.subscribe(_TOPIC_CRASH, self._on_crash_report)
        self.bus.subscribe(_TOPIC_CLEARED, self._on_cleared)
        self.bus.subscribe(_TOPIC_CONVICTED, self._on_convicted)
        self.bus.subscribe(_TOPIC_TRIAL, self._on_trial)
        self.spawn(self._load())

    def standing(self, content: Fingerprint) -> Standing:
        """Return what is known of a content."""
        return self._book.standing(content, self._now())

    def crashed_targets(self, content: Fingerprint) -> frozenset[TargetId]:
        """Return the targets that crashed with a content in flight."""
        return self._book.crashed_targets(content)

    def open(self, run_id: RequestId, content: Fingerprint) -> None:
        """Note a run before its first attempt."""
        self._flights_by_run[run_id] = _Flight(content)

    def close(self, run_id: RequestId, *, answered: bool) -> None:
        """Forget a run; a whole answer clears its content."""
        flight = self._flights_by_run.pop(run_id, None)
        if flight is None or not (answered and flight.was_sent):
            return
        if self._book.clear(flight.content):
            self._broadcast(_TOPIC_CLEARED, Cleared(flight.content))

    async def await_turn(self, run_id: RequestId, until: float) -> Turn:
        """Wait while the content is tried elsewhere."""
        flight = self._flights_by_run[run_id]
        while (now := self._now()) < until:
            standing = self._book.standing(flight.content, now)
            if standing is Standing.CLEAN:
                return _FREE_TURN
            if standing is Standing.CONVICTED:
                break
            if not self._trials.is_tried(flight.content, now):
                return Turn(standing, self._trials.busy_targets(now))
            await self.await_trials(until)
        return Turn(self.standing(flight.content))

    async def await_trials(self, until: float) -> None:
        """Wait until a trial begins or ends somewhere."""
        changed = self._trials_changed
        longest_s = min(until - self._now(), self.settings.poison_trial_s)
        try:
            async with asyncio.timeout(max(0.0, longest_s)):
                await changed.wait()
        except TimeoutError:
            return

    async def before_send(self, run_id: RequestId, target_id: TargetId) -> SendPermit:
        """Note an attempt; a suspect first announces its trial to the peers."""
        flight = self._flights_by_run[run_id]
        standing = self.standing(flight.content)
        if standing is Standing.CONVICTED:
            return _NEVER
        if standing is Standing.SUSPECT:
            permit = await self._begin_trial(flight, target_id)
            if not permit.allowed:
                return permit
        flight.target_id = target_id
        flight.was_sent = True
        return _GO

    def after_attempt(
        self, run_id: RequestId, target_id: TargetId, *, crashed: bool
    ) -> Standing:
        """Note the end of an attempt and return the standing of its content."""
        flight = self._flights_by_run[run_id]
        if crashed:
            self._report_crash(target_id)
        flight.target_id = None
        if flight.trial:
            flight.trial = False
            self._end_trial(flight.content, target_id)
        return self.standing(flight.content)

    async def _begin_trial(self, flight: _Flight, target_id: TargetId) -> SendPermit:
        content = flight.content
        trial = Trial(content, target_id, self.daemon_id)
        if not self._trials.begin(trial, self._now()):
            return _ELSEWHERE
        self._broadcast(_TOPIC_TRIAL, TrialNews(content, target_id))
        confirmed = False
        try:
            await asyncio.sleep(self.settings.poison_settle_ms / _MS_PER_S)
            if self.standing(content) is Standing.CONVICTED:
                return _NEVER
            confirmed = self._trials.confirm(trial, self._now())
        finally:
            if not confirmed:
                self._end_trial(content, target_id)
        if confirmed:
            flight.trial = True
            self._broadcast(_TOPIC_TRIAL, TrialNews(content, target_id, running=True))
        return _GO if confirmed else _ELSEWHERE

    def _end_trial(self, content: Fingerprint, target_id: TargetId) -> None:
        self._trials.end(content, target_id, self.daemon_id)
        self._broadcast(_TOPIC_TRIAL, TrialNews(content, target_id, ended=True))
        self._notify()

    def _notify(self) -> None:
        """Wake every run that waits for its turn."""
        self._trials_changed.set()
        self._trials_changed = asyncio.Event()

    def _report_crash(self, target_id: TargetId) -> None:
        """Make suspects of all that is in flight on a crashed target."""
        contents = {
            flight.content
            for flight in self._flights_by_run.values()
            if flight.target_id == target_id
        }
        self._broadcast(_TOPIC_CRASH, CrashReport(target_id, tuple(sorted(contents))))
        self.events.emit(TargetCrashed(target_id, tuple(sorted(contents))))
        self._note_crash(target_id, contents)

    def _note_crash(self, target_id: TargetId, contents: set[Fingerprint]) -> None:
        now = self._now()
        for content in self._book.report_crash(target_id, contents, now):
            self._announce_conviction(content)
        self._notify()

    def _announce_conviction(self, content: Fingerprint) -> None:
        target_ids = tuple(sorted(self._book.crashed_targets(content)))
        self._broadcast(_TOPIC_CONVICTED, Convicted(content, target_ids))
        self.events.emit(ContentConvicted(content, target_ids))
        self.spawn(self._record(content, target_ids))

    async def _record(
        self, content: Fingerprint, target_ids: tuple[TargetId, ...]
    ) -> None:
        """Keep a conviction for daemons that start later."""
        record = ConvictionRecord(int(self.clock.unix() * _MS_PER_S), target_ids)
        key = _ROW_PREFIX + content
        write = Write(key, msgspec.json.encode(record).decode())
        version = 0
        wait_s = _FIRST_RETRY_S
        for _ in range(_MAX_WRITE_ATTEMPTS):
            result = await self.table.transact([Condition(key, version)], [write])
            if isinstance(result, Committed):
                return
            if isinstance(result, Conflict):
                if version:
                    return
                version = result.rows[0].version
            await asyncio.sleep(wait_s * self.rng.uniform(0.5, 1.0))
            wait_s = min(_MAX_RETRY_S, wait_s * 2)

    async def _load(self) -> None:
        """Read the convictions that still hold, until the table answers."""
        after = ""
        wait_s = _FIRST_RETRY_S
        while True:
            read = await self.table.scan(_ROW_PREFIX, after, _LOAD_PAGE)
            if isinstance(read, StoreUnavailable):
                await asyncio.sleep(wait_s * self.rng.uniform(0.5, 1.0))
                wait_s = min(_MAX_RETRY_S, wait_s * 2)
                continue
            for row in read.rows:
                self._take_row(row)
            if len(read.rows) < _LOAD_PAGE:
                return
            after = read.rows[-1].key

    def _take_row(self, row: Row) -> None:
        try:
            record = msgspec.json.decode(row.value or "", type=ConvictionRecord)
        except UNREADABLE:
            return
        age_s = self.clock.unix() - record.at_unix_ms / _MS_PER_S
        if age_s < self.settings.poison_conviction_s:
            content = Fingerprint(row.key.removeprefix(_ROW_PREFIX))
            self._book.convict(content, self._now())

    def _on_crash_report(self, origin: DaemonId, payload: bytes) -> None:
        report = _decode(payload, CrashReport)
        if report is None:
            return
        target_id = TargetId(report.target_id)
        contents = {Fingerprint(content) for content in report.contents}
        self._note_crash(target_id, contents)
        for flight in self._flights_by_run.values():
            if flight.content in contents and flight.target_id not in (None, target_id):
                self._announce_running(flight)

    def _announce_running(self, flight: _Flight) -> None:
        """Tell peers of a suspect that was sent before it became one."""
        if flight.trial or flight.target_id is None:
            return
        flight.trial = True
        trial = Trial(flight.content, flight.target_id, self.daemon_id, True)
        self._trials.hear(trial, self._now())
        news = TrialNews(flight.content, flight.target_id, running=True)
        self._broadcast(_TOPIC_TRIAL, news)

    def _on_cleared(self, origin: DaemonId, payload: bytes) -> None:
        cleared = _decode(payload, Cleared)
        if cleared is not None:
            self._book.clear(Fingerprint(cleared.content))
            self._notify()

    def _on_convicted(self, origin: DaemonId, payload: bytes) -> None:
        convicted = _decode(payload, Convicted)
        if convicted is not None:
            self._book.convict(Fingerprint(convicted.content), self._now())
            self._notify()

    def _on_trial(self, origin: DaemonId, payload: bytes) -> None:
        news = _decode(payload, TrialNews)
        if news is None:
            return
        content, target_id = Fingerprint(news.content), TargetId(news.target_id)
        if news.ended:
            self._trials.end(content, target_id, origin)
        else:
            trial = Trial(content, target_id, origin, news.running)
            self._trials.hear(trial, self._now())
        self._notify()

    def _broadcast(self, topic: str, message: msgspec.Struct) -> None:
        self.bus.broadcast(topic, msgspec.msgpack.encode(message))

    def _now(self) -> float:
        return self.clock.monotonic()


def _decode(payload: bytes, kind: type[_M]) -> _M | None:
    try:
        return msgspec.msgpack.decode(payload, type=kind)
    except UNREADABLE:
        return None
