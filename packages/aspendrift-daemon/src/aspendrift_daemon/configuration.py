"""The configuration in force at this daemon: loading, publishing and dissemination."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from typing import ClassVar, Final

import msgspec

from aspendrift_daemon.configuration_table import (
    ChangeOutcome,
    ChangeRecorded,
    ConfigurationTable,
)
from aspendrift_daemon.events import Event, EventHub
from aspendrift_daemon.interfaces import (
    Clock,
    PeerBus,
    StoreUnavailable,
    TableService,
)
from aspendrift_daemon.peer_decoding import PeerDecoder
from aspendrift_model.configuration import Configuration
from aspendrift_model.hosts import Host
from aspendrift_model.ids import DaemonId
from aspendrift_model.settings_peers import PeerSettings
from aspendrift_model.states import MemberState, RefusalReason
from aspendrift_model.wire_operator import ChangeRequest
from aspendrift_model.wire_peer import (
    ChangePush,
    ChangeRecord,
    Changes,
    ChangesPull,
    ConfigurationMessage,
    HeldRevision,
    HeldRevisionQuery,
    RevisionDigest,
    Snapshot,
    SnapshotPull,
)
from aspendrift_policy.configuration_log import ConfigurationLog
from aspendrift_policy.freshness import Freshness
from aspendrift_policy.gossip_push import head_read_delay_s
from aspendrift_policy.revision_tracker import RevisionProgress, RevisionTracker

__all__ = [
    "ConfigurationApplied",
    "ConfigurationDiverged",
    "ConfigurationManager",
    "HeadReadFailed",
]

CONFIGURATION_TOPIC: Final = "c"
_MAX_CHANGES_PER_MESSAGE: Final = 128
_ACCEPT_TIMEOUT_S: Final = 5.0
_ACCEPT_POLL_INTERVAL_S: Final = 0.02
_MIN_PULL_INTERVAL_S: Final = 0.25
_MIN_RELOAD_INTERVAL_S: Final = 30.0
_MAX_LOAD_DELAY_S: Final = 10.0
_CONFIRMATION_POLL_INTERVAL_S: Final = 0.5
_MAX_CONFIRMATION_QUERIES: Final = 64
_CONFIRMATION_POLLING_S: Final = 60.0


@dataclass(frozen=True, slots=True)
class ConfigurationApplied(Event):
    """A newer revision came into force at this daemon.

    ``hops`` counts the pushes from the publisher to this daemon; it is 0 if the
    revision arrived another way.
    """

    name: ClassVar[str] = "configuration_applied"
    revision: int
    n_changes: int
    hops: int


@dataclass(frozen=True, slots=True)
class ConfigurationDiverged(Event):
    """A peer holds other content at the same revision; the table is read again."""

    name: ClassVar[str] = "configuration_diverged"
    daemon_id: DaemonId
    revision: int


@dataclass(frozen=True, slots=True)
class HeadReadFailed(Event):
    """The head revision could not be read from the table."""

    name: ClassVar[str] = "head_read_failed"
    detail: str


class ConfigurationManager:
    """Holds the configuration, keeps it up to date and publishes changes.

    Parameters
    ----------
    table : TableService
        Stores the revisions.
    bus : PeerBus
        Carries messages to and from the other daemons.
    rng : random.Random
        Source of randomness for the choice of peers and for jitter.
    daemon_id : DaemonId
        This daemon.
    """

    def __init__(
        self,
        table: TableService,
        bus: PeerBus,
        clock: Clock,
        events: EventHub,
        rng: random.Random,
        settings: PeerSettings,
        daemon_id: DaemonId,
    ) -> None:
        self.table = ConfigurationTable(table, clock, rng)
        self._bus = bus
        self._clock = clock
        self._events = events
        self._rng = rng
        self._settings = settings
        self._daemon_id = daemon_id
        self._log = ConfigurationLog()
        limit_s = settings.freshness_limit_s
        self._freshness = Freshness(daemon_id, limit_s, clock.monotonic())
        self._revision_tracker = RevisionTracker()
        self._current = Configuration()
        self._listeners: list[Callable[[Configuration], None]] = []
        self._is_loaded = False
        self._is_leaving = False
        self._pulled_at = -_MIN_PULL_INTERVAL_S
        self._reloaded_at = -_MIN_RELOAD_INTERVAL_S
        self._polls_until = 0.0
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder: PeerDecoder[ConfigurationMessage] = PeerDecoder(
            ConfigurationMessage, CONFIGURATION_TOPIC, events
        )
        self._cached_members: Sequence[tuple[Host, MemberState]] = ()
        self._hosts_by_id: dict[DaemonId, Host] = {}
        self._cached_ids: list[DaemonId] = []
        self._tasks: set[asyncio.Task[None]] = set()
        bus.subscribe(CONFIGURATION_TOPIC, self._on_message)

    async def start(self) -> None:
        """Load the configuration and start the tasks that keep it up to date.

        If the table does not answer, loading is retried in the background.
        """
        if not await self.load_from_table():
            self._run(self._retry_load())
        self._run(self._read_head_forever())
        self._run(self._poll_confirmations_forever())

    async def stop(self) -> None:
        """Stop all tasks."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def current(self) -> Configuration:
        """Return the configuration in force."""
        return self._current

    @property
    def log(self) -> ConfigurationLog:
        """The items in force and the newest changes."""
        return self._log

    def on_change(self, listener: Callable[[Configuration], None]) -> None:
        """Call a listener after each newer revision is applied."""
        self._listeners.append(listener)

    def begin_leaving(self) -> None:
        """Refuse new work from now on."""
        self._is_leaving = True

    def may_serve(self, now: float) -> RefusalReason | None:
        """Return why new work is refused, or None if it is accepted."""
        if self._is_leaving:
            return RefusalReason.LEAVING
        if not self._is_loaded:
            return RefusalReason.NOT_READY
        return self._freshness.refusal_reason(
            self._log.revision, self._member_ids(), now
        )

    def fresh_at(self, now: float) -> float | None:
        """Return the latest time as of which this daemon holds all accepted changes."""
        return self._freshness.fresh_at(self._log.revision, self._member_ids(), now)

    def head_read_at(self) -> float | None:
        """Return the time of the newest known read of the head revision."""
        head = self._freshness.head
        return None if head is None else head.at

    async def publish(
        self, change: ChangeRequest, operator: str = "local"
    ) -> ChangeOutcome:
        """Record a change in the table and disseminate it.

        Returns
        -------
        ChangeOutcome
            ``ChangeRecorded`` once the table holds the change; :meth:`progress`
            returns whether it is accepted and in force.
        """
        outcome = await self.table.publish(change, operator)
        if isinstance(outcome, ChangeRecorded):
            if outcome.record is not None:
                self._apply_changes([outcome.record], self._daemon_id)
            if self._log.revision < outcome.revision:
                await self._catch_up(outcome.revision)
            self.poll_confirmations()
            await self._wait_accepted(outcome.revision)
        return outcome

    def progress(self, revision: int) -> RevisionProgress:
        """Return which daemons in this daemon's view hold a revision."""
        hosts = [host for host, _ in self._bus.members()]
        for host in hosts:
            if host.daemon_id == self._daemon_id:
                self._revision_tracker.record(host, self._log.revision)
        return self._revision_tracker.progress(revision, hosts)

    def revision_of(self, host: Host) -> int | None:
        """Return the revision that a daemon is known to hold."""
        return self._revision_tracker.revision_of(host)

    def poll_confirmations(self) -> None:
        """Query daemons without the newest revision periodically for a limited time."""
        self._polls_until = self._clock.monotonic() + _CONFIRMATION_POLLING_S

    def digest(self, now: float, is_answer: bool) -> RevisionDigest:
        """Return the digest for a probe or for its acknowledgement."""
        log = self._log
        ids = self._member_ids() if is_answer and self._is_loaded else []
        return self._freshness.digest(log.revision, log.content_hash, ids, now)

    def apply_digest(
        self,
        daemon_id: DaemonId,
        digest: RevisionDigest,
        as_of: float | None,
        views_agree: bool,
        now: float,
    ) -> None:
        """Apply a peer's digest; ``as_of`` is None if it did not answer a probe."""
        self._record_held(daemon_id, digest.revision)
        if as_of is not None:
            ids = self._member_ids() if views_agree else ()
            self._freshness.apply_digest(
                daemon_id, digest, as_of, ids, self._log.revision
            )
        if digest.revision > self._log.revision or not self._is_loaded:
            self._pull_from(daemon_id, now)
        elif digest.revision == self._log.revision:
            self._check_divergence(daemon_id, digest)

    def needs_refresh(self, now: float) -> bool:
        """Return whether to probe the peers more often."""
        ids = self._member_ids()
        return self._freshness.needs_refresh(self._log.revision, ids, now)

    def is_serving(self, now: float) -> bool:
        """Return whether this daemon accepts new work."""
        return self.may_serve(now) is None

    def _run(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _member_ids(self) -> list[DaemonId]:
        members = self._bus.members()
        if members is not self._cached_members:
            self._cached_members = members
            self._hosts_by_id = {host.daemon_id: host for host, _ in members}
            self._cached_ids = list(self._hosts_by_id)
        return self._cached_ids

    async def _retry_load(self) -> None:
        """Retry after random delays until the table or a peer has supplied the items.

        When all daemons start at once, a few read the whole table and the others
        receive the items from them.
        """
        while not self._is_loaded:
            await asyncio.sleep(self._rng.uniform(0, _MAX_LOAD_DELAY_S))
            if not self._is_loaded:
                await self.load_from_table(lambda: not self._is_loaded)

    async def load_from_table(
        self, should_retry: Callable[[], bool] = lambda: False
    ) -> bool:
        """Read every item from the table; return False if it does not answer."""
        requested_at = self._clock.monotonic()
        snapshot = await self.table.load(should_retry)
        if isinstance(snapshot, StoreUnavailable):
            self._events.emit(HeadReadFailed(snapshot.detail))
            return False
        self._load(snapshot)
        self._freshness.record_head_read(
            snapshot.revision, requested_at, self._log.revision
        )
        return True

    async def _read_head_forever(self) -> None:
        while True:
            n_daemons = len(self._bus.members())
            rate = self._settings.head_reads_per_s
            await asyncio.sleep(head_read_delay_s(n_daemons, rate, self._rng))
            if self._is_loaded:
                await self.read_head()

    async def read_head(self) -> None:
        """Read the head revision and fetch the changes that are missing here."""
        requested_at = self._clock.monotonic()
        revision = await self.table.head()
        if isinstance(revision, StoreUnavailable):
            self._events.emit(HeadReadFailed(revision.detail))
            return
        self._freshness.record_head_read(revision, requested_at, self._log.revision)
        if revision > self._log.revision:
            await self._catch_up(revision)

    async def _catch_up(self, revision: int) -> None:
        """Fetch the revisions up to a given one from the table."""
        while self._log.revision < revision:
            before = self._log.revision
            changes = await self.table.changes_after(before, revision)
            if isinstance(changes, StoreUnavailable):
                return
            self._apply_changes(changes, self._daemon_id)
            if self._log.revision == before:
                return

    async def _wait_accepted(self, revision: int) -> None:
        until = self._clock.monotonic() + _ACCEPT_TIMEOUT_S
        while self._clock.monotonic() < until:
            if self.progress(revision).is_accepted:
                return
            await asyncio.sleep(_ACCEPT_POLL_INTERVAL_S)

    async def _poll_confirmations_forever(self) -> None:
        while True:
            await asyncio.sleep(
                _CONFIRMATION_POLL_INTERVAL_S * self._rng.uniform(0.75, 1.25)
            )
            if self._clock.monotonic() < self._polls_until:
                self._query_unconfirmed()

    def _query_unconfirmed(self) -> None:
        progress = self.progress(self._log.revision)
        missing = list(progress.unconfirmed)
        self._rng.shuffle(missing)
        for daemon_id in missing[:_MAX_CONFIRMATION_QUERIES]:
            self._send(daemon_id, HeldRevisionQuery(self._log.revision))

    def _on_message(self, origin: DaemonId, payload: bytes) -> None:
        now = self._clock.monotonic()
        message = self._decoder.decode(origin, payload, now)
        if message is None:
            return
        if isinstance(message, ChangePush):
            self._apply_changes(
                [message.change], DaemonId(message.confirm_to), message.hops
            )
            if self._log.has_gap():
                self._pull_from(origin, now)
        elif isinstance(message, Changes):
            self._apply_changes(message.changes, None)
        elif isinstance(message, HeldRevision):
            self._record_held(origin, message.revision)
        elif isinstance(message, Snapshot):
            self._on_snapshot(message)
        else:
            self._answer(origin, message)

    def _answer(
        self, origin: DaemonId, message: HeldRevisionQuery | ChangesPull | SnapshotPull
    ) -> None:
        if isinstance(message, HeldRevisionQuery):
            self._send(origin, HeldRevision(self._log.revision, self._log.content_hash))
            if message.revision > self._log.revision:
                self._pull_from(origin, self._clock.monotonic())
        elif not self._is_loaded:
            return
        elif isinstance(message, SnapshotPull):
            self._send(origin, self._log.snapshot())
        else:
            changes = self._log.changes_after(message.after, _MAX_CHANGES_PER_MESSAGE)
            if changes:
                self._send(origin, Changes(changes))
            elif message.after < self._log.revision:
                self._send(origin, self._log.snapshot())

    def _on_snapshot(self, snapshot: Snapshot) -> None:
        if not self._is_loaded or snapshot.revision > self._log.revision:
            self._load(snapshot)

    def _apply_changes(
        self,
        changes: Sequence[ChangeRecord],
        confirm_to: DaemonId | None,
        hops: int = 0,
    ) -> None:
        """Apply changes; forward and confirm those from a push or from the table."""
        if not self._is_loaded:
            return
        applied = self._log.accept(changes)
        if not applied:
            return
        self._on_applied(len(applied), hops)
        if confirm_to is None:
            return
        for change in applied:
            self._push(change, confirm_to, hops + 1)
        self._confirm(confirm_to)

    def _push(self, change: ChangeRecord, confirm_to: DaemonId, hops: int) -> None:
        message = self._encoder.encode(ChangePush(change, confirm_to, hops))
        peers = [
            host.daemon_id
            for host, state in self._bus.members()
            if _is_reachable(state)
        ]
        others = [each for each in peers if each not in (self._daemon_id, confirm_to)]
        count = min(self._settings.push_fanout, len(others))
        for daemon_id in self._rng.sample(others, count):
            self._bus.send(daemon_id, CONFIGURATION_TOPIC, message)

    def _confirm(self, confirm_to: DaemonId) -> None:
        if confirm_to != self._daemon_id:
            held = HeldRevision(self._log.revision, self._log.content_hash)
            self._send(confirm_to, held)

    def _on_applied(self, n_changes: int, hops: int = 0) -> None:
        self._freshness.record_revision(self._log.revision)
        self._current = self._log.configuration()
        self._events.emit(ConfigurationApplied(self._log.revision, n_changes, hops))
        for listener in self._listeners:
            listener(self._current)

    def _load(self, snapshot: Snapshot) -> None:
        if not self._log.load(snapshot):
            return
        self._is_loaded = True
        self._on_applied(len(snapshot.items))

    def _pull_from(self, daemon_id: DaemonId, now: float) -> None:
        if now - self._pulled_at < _MIN_PULL_INTERVAL_S:
            return
        self._pulled_at = now
        if self._is_loaded:
            self._send(daemon_id, ChangesPull(self._log.revision))
        else:
            self._send(daemon_id, SnapshotPull())

    def _check_divergence(self, daemon_id: DaemonId, digest: RevisionDigest) -> None:
        if digest.content_hash == self._log.content_hash:
            return
        now = self._clock.monotonic()
        if now - self._reloaded_at < _MIN_RELOAD_INTERVAL_S:
            return
        self._reloaded_at = now
        self._events.emit(ConfigurationDiverged(daemon_id, digest.revision))
        self._run(self._reload())

    async def _reload(self) -> None:
        await self.load_from_table()

    def _record_held(self, daemon_id: DaemonId, revision: int) -> None:
        self._member_ids()
        host = self._hosts_by_id.get(daemon_id)
        if host is not None:
            self._revision_tracker.record(host, revision)

    def _send(self, daemon_id: DaemonId, message: ConfigurationMessage) -> None:
        payload = self._encoder.encode(message)
        self._bus.send(daemon_id, CONFIGURATION_TOPIC, payload)


def _is_reachable(state: MemberState) -> bool:
    return state not in (MemberState.DEAD, MemberState.UNREACHABLE)
