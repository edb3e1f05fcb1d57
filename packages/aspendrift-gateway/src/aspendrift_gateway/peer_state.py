"""Shares the state read from the store among daemons.

A few daemons follow the store. The others query one of them at short intervals, and
are sent changes at once. Whether a daemon follows, and whom it queries, is decided in
`aspendrift_policy.state_sources`.
"""

from __future__ import annotations

import asyncio
import random
import zlib
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any, Final, Protocol

import msgspec

from aspendrift_daemon.events import EventHub
from aspendrift_daemon.interfaces import Clock
from aspendrift_daemon.peer_decoding import PeerDecoder
from aspendrift_daemon.peers import PeerLink
from aspendrift_gateway.events import ConfigurationRejected, StateSourceChanged
from aspendrift_gateway.settings import GatewaySettings
from aspendrift_gateway.store_reader import (
    StoreReader,
    long_poll_s,
    targets_interval_s,
)
from aspendrift_gateway.system_state import SystemState
from aspendrift_model.ids import DaemonId, TargetId, ZoneName
from aspendrift_model.states import MemberState, PeerFeature
from aspendrift_model.store_rows import NO_POSITION, StorePosition, StoreRow
from aspendrift_model.target_entries import TargetKey
from aspendrift_model.wire_peer import RevisionDigest
from aspendrift_model.wire_work import (
    ContentCompleted,
    CrashReport,
    StateMessage,
    StateQuery,
    StateUpdate,
    TargetLeaving,
)
from aspendrift_policy.evacuations import EvacuationRecord, ZoneState
from aspendrift_policy.state_sources import (
    QuerySource,
    SourceAges,
    SourceStep,
    SourceTimes,
    StateFollower,
    readers_in_order,
)
from aspendrift_policy.target_registry import RegistryChange

__all__ = ["STATE_TOPIC", "PeerState"]

STATE_TOPIC: Final = "g"

_MS_PER_S: Final = 1000.0
_CHECK_INTERVAL_S: Final = 0.1
# As long as a probe of the failure detector waits.
_ANSWER_TIMEOUT_S: Final = 0.4
# A request whose target is chosen may wait this long for a connection to it.
_SEND_MARGIN_S: Final = 0.5
# Interval between direct reads while the store rejects them.
_STORE_RETRY_S: Final = 3.0
# Time after which another source is asked beside a read of the store that goes on.
_READ_PATIENCE_S: Final = 0.8
# Margin for a call to the store.
_READ_MARGIN_S: Final = 0.2
# Changes are sent without a query for this number of query intervals after the last
# query.
_SUBSCRIPTION_INTERVALS: Final = 3.0
# Minimum interval between queries for a newer configuration seen in a digest.
_MIN_PULL_INTERVAL_S: Final = 0.4
# Minimum interval between configurations sent to a daemon that holds an older one.
_MIN_PUSH_INTERVAL_S: Final = 0.1
# A longer suspension of the host makes the age of its state unknown.
_MAX_SUSPENSION_S: Final = 0.2
_UNKNOWN_AGE_MS: Final = 1 << 30
_NEVER: Final = float("-inf")
_ZONE_STATES: Final = {state.value: state for state in ZoneState}


class SharedQuarantines(Protocol):
    """Quarantines of prompts, which daemons are told with the state."""

    def digest(self) -> int:
        """Return a hash of the quarantines that this daemon holds."""

    def answer(self, daemon_id: DaemonId, digest: int) -> None:
        """Send the quarantines to a daemon that holds others."""


@dataclass(slots=True)
class _Subscriber:
    """A daemon that queries this one, and the versions that it was last sent."""

    asked_at: float
    configuration_version: int
    targets_position: StorePosition


class PeerState:
    """Keeps the state current through the store or a peer, and answers peers.

    Provides the digest that membership probes carry.

    Parameters
    ----------
    settings : callable
        Returns the settings in force.
    suspended_s : callable
        Returns the total time for which the host has been suspended, in seconds; the
        monotonic clock does not count it.
    is_ready : callable
        Returns whether this daemon accepts requests.
    on_crash : callable
        Called with reports of peers on targets that broke while running a request.
    on_completed : callable
        Called with reports of peers on contents that completed there.
    quarantines : SharedQuarantines
        Quarantines that daemons are told with the state.
    """

    def __init__(
        self,
        link: PeerLink,
        state: SystemState,
        reader: StoreReader,
        settings: Callable[[], GatewaySettings],
        clock: Clock,
        events: EventHub,
        rng: random.Random,
        suspended_s: Callable[[], float],
        is_ready: Callable[[], bool],
        on_crash: Callable[[CrashReport], None],
        on_completed: Callable[[ContentCompleted], None],
        quarantines: SharedQuarantines,
    ) -> None:
        self._link = link
        self._state = state
        self._reader = reader
        self._settings = settings
        self._clock = clock
        self._events = events
        self._rng = rng
        self._suspended_s = suspended_s
        self._is_ready = is_ready
        self._on_crash = on_crash
        self._on_completed = on_completed
        self._quarantines = quarantines
        self._follower = StateFollower()
        self._known_members: tuple[object, int] | None = None
        self._is_reader = True
        self._is_reading = False
        self._known_suspended_s = suspended_s()
        self._pulled_at = _NEVER
        self._pushed_at_by_id: dict[DaemonId, float] = {}
        self._compressed = (-1, b"")
        self._subscribers_by_id: dict[DaemonId, _Subscriber] = {}
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder: PeerDecoder[StateMessage] = PeerDecoder(
            StateMessage, STATE_TOPIC, events
        )
        self._tasks: set[asyncio.Task[None]] = set()
        link.subscribe(STATE_TOPIC, self._on_message)
        state.on_change(self._on_state_change)

    async def start(self) -> None:
        """Start the task that keeps the state current."""
        self._run(self._check_forever())

    async def stop(self) -> None:
        """Stop it."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def broadcast_crash(self, report: CrashReport) -> None:
        """Notify every daemon that a target broke while it ran a request."""
        self._link.broadcast(STATE_TOPIC, self._encoder.encode(report))

    def broadcast_completed(self, report: ContentCompleted) -> None:
        """Notify every daemon that a content completed at this one."""
        self._link.broadcast(STATE_TOPIC, self._encoder.encode(report))

    def target_leaving(self, key: TargetKey) -> None:
        """Use a target no more that says that it leaves, and tell every daemon."""
        if self._state.target_leaving(key, self._clock.monotonic()):
            message = TargetLeaving(key.target_id, key.born_ms)
            self._link.broadcast(STATE_TOPIC, self._encoder.encode(message))

    def n_readers(self) -> int:
        """Return the number of daemons that follow the store."""
        ids = self._candidate_ids()
        capacities = self._link.capacities()
        readers = {
            *readers_in_order(ids, capacities),
            *readers_in_order(self._understanding(ids), capacities),
        }
        return max(1, len(readers))

    def reader_ids(self) -> list[DaemonId]:
        """Return the daemons that follow the store."""
        return readers_in_order(self._candidate_ids(), self._link.capacities())

    def pull(self, daemon_id: DaemonId) -> None:
        """Query a daemon that holds a newer configuration."""
        now = self._clock.monotonic()
        if now - self._pulled_at >= _MIN_PULL_INTERVAL_S:
            self._pulled_at = now
            self._send_query(daemon_id, 0)

    def push(self, daemon_id: DaemonId) -> None:
        """Send the configuration to a daemon that holds an older one."""
        now = self._clock.monotonic()
        pushed_at = self._pushed_at_by_id.get(daemon_id, _NEVER)
        if now - pushed_at >= _MIN_PUSH_INTERVAL_S:
            self._pushed_at_by_id[daemon_id] = now
            recipient = _Subscriber(now, -1, self._state.targets_position)
            self._send_update(daemon_id, recipient, 0, now)

    # State that membership probes carry.

    def digest(self, now: float, is_answer: bool) -> RevisionDigest:
        """Return the versions that this daemon holds, and the age of its state."""
        state = self._state
        return RevisionDigest(
            max(0, state.configuration_version),
            0,
            max(0, state.targets_version),
            _age_ms(state.confirmed_at(), now),
        )

    def needs_refresh(self, now: float) -> bool:
        """Return False: queries are separate messages and need no extra probes."""
        return False

    def apply_digest(
        self,
        daemon_id: DaemonId,
        digest: RevisionDigest,
        as_of: float | None,
        views_agree: bool,
        now: float,
    ) -> None:
        """Query a peer that holds a newer configuration."""
        if digest.revision > self._state.configuration_version:
            self.pull(daemon_id)

    def is_serving(self, now: float) -> bool:
        """Return whether this daemon accepts requests."""
        return self._is_ready()

    # The own state.

    def step(self, now: float) -> None:
        """Perform what is due; called by the task and by tests."""
        self._check_suspension()
        self._state.expire_evacuations(now)
        self._update_role(now)
        if self._reader.is_following and not self._is_stale(now):
            return
        self._perform(self._follower.steps(now, self._times()), now)

    async def _check_forever(self) -> None:
        while True:
            self.step(self._clock.monotonic())
            await asyncio.sleep(_CHECK_INTERVAL_S * self._rng.uniform(0.9, 1.1))

    def _update_role(self, now: float) -> None:
        """Follow the store if this daemon is a reader or knows no state yet."""
        members = self._link.members()
        known = self._known_members
        n_changes = self._link.n_feature_changes
        if known is None or members is not known[0] or n_changes != known[1]:
            self._known_members = members, n_changes
            live_ids = self._candidate_ids()
            sources = self._understanding(live_ids)
            capacities = self._link.capacities()
            own_id = self._link.host.daemon_id
            # Daemons of the previous version choose their sources among all.
            self._is_reader = own_id in {
                *readers_in_order(live_ids, capacities),
                *readers_in_order(sources, capacities),
            }
            self._follower.set_members(own_id, sources, capacities)
        is_wanted = self._is_reader or not self._state.is_complete
        if is_wanted != self._reader.is_following:
            self._reader.follow(is_wanted)
            # What was just read is current for an interval.
            interval_s = targets_interval_s(self._settings())
            self._follower.query_at(now + interval_s * self._rng.uniform(0.5, 1.0))
            self._report("store" if is_wanted else "peer", "readers changed")

    def _candidate_ids(self) -> list[DaemonId]:
        """Return the daemons that are live, or listed and not yet reached.

        Without the latter each daemon would read for itself until it has reached
        others, and all of them start at once after a loss of power.
        """
        return [
            host.daemon_id
            for host, state in self._link.members()
            if state in (MemberState.LIVE, MemberState.JOINING)
        ]

    def _understanding(self, daemon_ids: list[DaemonId]) -> list[DaemonId]:
        """Return the daemons whose answers may tell of all that is followed here.

        Those of which nothing is known count, as nobody knows any in the first second
        after a loss of power.
        """
        return [
            each
            for each in daemon_ids
            if not self._link.lacks(each, PeerFeature.EVACUATIONS)
        ]

    def _times(self) -> SourceTimes:
        """Return the times of a follower.

        The state of a source may be as old as leaves time for a query interval, an
        answer that is missing and a direct read until a change must be in force.
        """
        settings = self._settings()
        interval_s = targets_interval_s(settings)
        reserved_s = interval_s + _ANSWER_TIMEOUT_S + _READ_MARGIN_S
        return SourceTimes(
            interval_s,
            _ANSWER_TIMEOUT_S,
            _STORE_RETRY_S,
            max(
                settings.configuration_s - reserved_s,
                long_poll_s(settings) + _READ_MARGIN_S,
            ),
            max(settings.drain_s - reserved_s, interval_s + _READ_MARGIN_S),
            max(
                settings.evacuation_s - reserved_s - _SEND_MARGIN_S,
                long_poll_s(settings) + _READ_MARGIN_S,
            ),
        )

    def _is_stale(self, now: float) -> bool:
        times = self._times()
        state = self._state
        return (
            now - state.configuration_confirmed_at > times.max_configuration_age_s
            or now - state.targets_confirmed_at > times.max_targets_age_s
            or now - state.evacuations_confirmed_at > times.max_evacuations_age_s
        )

    def _perform(self, steps: list[SourceStep], now: float) -> None:
        for step in steps:
            if isinstance(step, QuerySource):
                self._send_query(step.daemon_id, step.number)
                continue
            if step.failure is not None:
                self._report("peer", f"{step.source_id} {step.failure.value}")
            if not self._reader.is_following:
                if not self._is_reading:
                    self._is_reading = True
                    self._run(self._read_store())
            else:
                # The reader tries all the time, and this state is old nevertheless.
                self._follower.read_failed(now)

    async def _read_store(self) -> None:
        loop = asyncio.get_running_loop()
        late = loop.call_later(
            _READ_PATIENCE_S,
            lambda: self._follower.read_failed(self._clock.monotonic()),
        )
        try:
            if not await self._reader.read_once():
                self._follower.read_failed(self._clock.monotonic())
        finally:
            late.cancel()
            self._is_reading = False

    def _check_suspension(self) -> None:
        """Treat the state as unconfirmed after a suspension of the host."""
        suspended_s = self._suspended_s()
        if suspended_s - self._known_suspended_s > _MAX_SUSPENSION_S:
            self._state.configuration_confirmed_at = _NEVER
            self._state.targets_confirmed_at = _NEVER
            self._state.evacuations_confirmed_at = _NEVER
            self._follower.query_at(_NEVER)
        self._known_suspended_s = suspended_s

    def _report(self, source: str, reason: str) -> None:
        now = self._clock.monotonic()
        state = self._state
        self._events.emit(
            StateSourceChanged(
                source,
                self._follower.source_id or "",
                reason,
                state.configuration_version,
                state.configuration_age_s(now),
                _known_age_s(state.targets_confirmed_at, now),
            )
        )

    # Messages.

    def _send_query(self, daemon_id: DaemonId, number: int) -> None:
        state = self._state
        query = StateQuery(
            number,
            state.configuration_version,
            state.targets_version,
            number > 0,
            self._quarantines.digest(),
            state.store_era,
        )
        self._send(daemon_id, query)

    def _send(self, daemon_id: DaemonId, message: StateMessage) -> None:
        self._link.send(daemon_id, STATE_TOPIC, self._encoder.encode(message))

    def _on_message(self, origin: DaemonId, payload: bytes) -> None:
        now = self._clock.monotonic()
        message = self._decoder.decode(origin, payload, now)
        if message is None:
            return
        if isinstance(message, StateQuery):
            self._on_query(origin, message, now)
        elif isinstance(message, StateUpdate):
            self._on_update(origin, message, now)
        elif isinstance(message, TargetLeaving):
            key = TargetKey(TargetId(message.target_id), message.born_ms)
            self._state.target_leaving(key, now)
        elif isinstance(message, ContentCompleted):
            self._on_completed(message)
        else:
            self._on_crash(message)

    def _on_query(self, origin: DaemonId, query: StateQuery, now: float) -> None:
        self._check_suspension()
        subscriber = _Subscriber(
            now,
            query.configuration_version,
            StorePosition(query.targets_era, query.targets_version),
        )
        self._send_update(origin, subscriber, query.number, now)
        self._quarantines.answer(origin, query.quarantine_digest)
        if query.subscribes:
            self._subscribers_by_id[origin] = subscriber

    def _on_state_change(self, changes: list[RegistryChange]) -> None:
        """Send a change to the daemons that queried this one lately."""
        now = self._clock.monotonic()
        kept_s = targets_interval_s(self._settings()) * _SUBSCRIPTION_INTERVALS
        for daemon_id, subscriber in list(self._subscribers_by_id.items()):
            if now - subscriber.asked_at > kept_s:
                del self._subscribers_by_id[daemon_id]
            else:
                self._send_update(daemon_id, subscriber, 0, now)

    def _send_update(
        self, daemon_id: DaemonId, recipient: _Subscriber, number: int, now: float
    ) -> None:
        """Send what a daemon lacks, and record that it has it."""
        state = self._state
        is_newer = state.configuration_version > recipient.configuration_version
        changes = state.target_changes(recipient.targets_position)
        update = StateUpdate(
            number,
            state.configuration_version,
            _age_ms(state.configuration_confirmed_at, now),
            self._compressed_configuration() if is_newer else b"",
            state.targets_version,
            _age_ms(state.targets_confirmed_at, now),
            -1 if changes.after is None else changes.after.version,
            tuple((row.key, row.version, row.value) for row in changes.rows),
            state.store_era,
            tuple(
                (each.zone, each.state.value, int(each.time_s * _MS_PER_S))
                for each in state.evacuations.records(now)
            ),
            state.evacuations.position.era,
            state.evacuations.position.version,
            _age_ms(state.evacuations_confirmed_at, now),
        )
        self._send(daemon_id, update)
        if is_newer:
            recipient.configuration_version = state.configuration_version
        recipient.targets_position = max(
            recipient.targets_position, state.targets_position
        )

    def _on_update(self, origin: DaemonId, update: StateUpdate, now: float) -> None:
        # First, so that nothing is sent to a new target of an evacuated zone.
        self._apply_evacuations(origin, update, now)
        self._apply_targets(update, now)
        if update.configuration:
            self._apply_configuration(origin, update.configuration)
        knows_evacuations = update.evacuations_version >= 0
        asked_at, steps = self._follower.answered(
            update.number,
            SourceAges(
                update.configuration_age_ms / _MS_PER_S,
                update.targets_age_ms / _MS_PER_S,
                update.evacuations_age_ms / _MS_PER_S if knows_evacuations else None,
            ),
            now - self._state.evacuations_confirmed_at,
            now,
            self._times(),
        )
        if asked_at is not None:
            self._confirm(update, asked_at, now)
        self._perform(steps, now)

    def _compressed_configuration(self) -> bytes:
        """Return the configuration as it is sent; it goes to many daemons at once."""
        state = self._state
        version, compressed = self._compressed
        if version != state.configuration_version:
            compressed = zlib.compress(state.configuration_value)
            self._compressed = (state.configuration_version, compressed)
        return compressed

    def _apply_configuration(self, origin: DaemonId, compressed: bytes) -> None:
        try:
            value = zlib.decompress(compressed)
        except zlib.error as error:
            kept = self._state.configuration_version
            self._events.emit(ConfigurationRejected(f"peer {origin}: {error}", kept))
            return
        self._state.apply_configuration(value, f"peer {origin}")

    def _apply_evacuations(
        self, origin: DaemonId, update: StateUpdate, now: float
    ) -> None:
        if update.evacuations_version < 0:
            return
        records = [
            EvacuationRecord(ZoneName(zone), _ZONE_STATES[state], ms / _MS_PER_S)
            for zone, state, ms in update.evacuations
            if state in _ZONE_STATES
        ]
        self._state.apply_evacuation_records(
            records, _evacuations_position(update), f"peer {origin}", now
        )

    def _apply_targets(self, update: StateUpdate, now: float) -> None:
        state = self._state
        rows = [StoreRow(*row) for row in update.targets]
        position = _targets_position(update)
        if not rows or position <= state.targets_position:
            return
        if update.targets_after < 0:
            present = [(row.key, row.value) for row in rows if row.value is not None]
            state.replace_targets(present, position, now)
        elif position.era == state.store_era and (
            update.targets_after <= state.targets_version
        ):
            state.update_targets(rows, position, now)
        else:
            # An earlier change was lost on its way.
            self._follower.query_at(now)

    def _confirm(self, update: StateUpdate, asked_at: float, now: float) -> None:
        """Record as of when the state is known to be current."""
        state = self._state
        if update.configuration_version == state.configuration_version >= 0:
            at = asked_at - update.configuration_age_ms / _MS_PER_S
            state.configuration_confirmed_at = max(state.configuration_confirmed_at, at)
        if _evacuations_position(update) == state.evacuations.position != NO_POSITION:
            at = asked_at - update.evacuations_age_ms / _MS_PER_S
            state.evacuations_confirmed_at = max(state.evacuations_confirmed_at, at)
        age_s = update.targets_age_ms / _MS_PER_S
        is_unchanged = not update.targets and update.targets_after >= 0
        if is_unchanged and age_s <= self._times().max_targets_age_s:
            # The registry tells an outage by the time without such updates.
            state.update_targets((), _targets_position(update), now)
        if _targets_position(update) == state.targets_position != NO_POSITION:
            at = asked_at - age_s
            state.targets_confirmed_at = max(state.targets_confirmed_at, at)

    def _run(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _targets_position(update: StateUpdate) -> StorePosition:
    return StorePosition(update.targets_era, update.targets_version)


def _evacuations_position(update: StateUpdate) -> StorePosition:
    return StorePosition(update.evacuations_era, update.evacuations_version)


def _age_ms(at: float, now: float) -> int:
    return int(min((now - at) * _MS_PER_S, _UNKNOWN_AGE_MS))


def _known_age_s(at: float, now: float) -> float | None:
    return None if at == _NEVER else now - at
