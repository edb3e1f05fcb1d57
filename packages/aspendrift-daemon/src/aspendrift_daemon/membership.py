"""Membership view of the daemons, from probes, gossip and the platform's list."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Coroutine, Sequence
from dataclasses import dataclass
from typing import ClassVar, Final, Protocol

import msgspec

from aspendrift_daemon.events import Event, EventHub
from aspendrift_daemon.interfaces import Clock, MembershipList, StoreUnavailable
from aspendrift_daemon.peer_decoding import PeerDecoder
from aspendrift_daemon.peers import PeerLink
from aspendrift_model.ids import DaemonId
from aspendrift_model.settings_peers import PeerSettings
from aspendrift_model.states import MemberState
from aspendrift_model.wire_peer import (
    Ack,
    BucketHashes,
    FeatureAnnouncement,
    Gossip,
    MemberMessage,
    MemberUpdate,
    Probe,
    ProbeRequest,
    RevisionDigest,
    ViewRecords,
)
from aspendrift_policy.failure_detection import (
    ProbeAction,
    ProbeMember,
    Prober,
    ProbeTimes,
    RequestIndirectProbes,
)
from aspendrift_policy.host_list import HostListTracker
from aspendrift_policy.membership import Member

__all__ = ["DigestExchange", "MemberChanged", "MembershipManager"]

MEMBER_TOPIC: Final = "m"
_TICK_INTERVAL_S: Final = 0.1
_MAX_UPDATES_PER_MESSAGE: Final = 8
_MAX_RELAYED: Final = 10
# Bounds the announcements after all daemons of a large fleet started at once: 100 per
# second, each of about 60 bytes.
_MAX_ANNOUNCEMENTS_PER_TICK: Final = 10
_MIN_SYNC_INTERVAL_S: Final = 1.0
_DEAD_RETENTION_S: Final = 60.0
_HOUSEKEEPING_INTERVAL_S: Final = 5.0


class DigestExchange(Protocol):
    """Source and sink of the digests that probes carry besides membership updates."""

    def digest(self, now: float, is_answer: bool) -> RevisionDigest:
        """Return the digest for a probe or for its acknowledgement."""

    def needs_refresh(self, now: float) -> bool:
        """Return whether to probe the peers more often."""

    def apply_digest(
        self,
        daemon_id: DaemonId,
        digest: RevisionDigest,
        as_of: float | None,
        views_agree: bool,
        now: float,
    ) -> None:
        """Apply a peer's digest; ``as_of`` is None if it did not answer a probe."""

    def is_serving(self, now: float) -> bool:
        """Return whether this daemon accepts new work."""


@dataclass(frozen=True, slots=True)
class MemberChanged(Event):
    """The state of a member changed in this daemon's view."""

    name: ClassVar[str] = "member_changed"
    daemon_id: DaemonId
    incarnation: int
    state: MemberState


class MembershipManager:
    """Runs the failure detector and the exchange of views.

    Parameters
    ----------
    link : PeerLink
        Carries the messages and holds the view.
    listing : MembershipList or None
        The platform's list of hosts, which may be out of date.
    digests : DigestExchange
        Source and sink of the configuration digests on probes.
    """

    def __init__(
        self,
        link: PeerLink,
        listing: MembershipList | None,
        settings: PeerSettings,
        clock: Clock,
        events: EventHub,
        rng: random.Random,
        digests: DigestExchange,
    ) -> None:
        self._link = link
        self._view = link.view
        self._listing = listing
        self._settings = settings
        self._clock = clock
        self._events = events
        self._rng = rng
        self._digests = digests
        self._host_list = HostListTracker()
        times = ProbeTimes(
            settings.probe_interval_s, settings.probe_timeout_s, settings.suspicion_s
        )
        self._prober = Prober(times)
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder: PeerDecoder[MemberMessage] = PeerDecoder(
            MemberMessage, MEMBER_TOPIC, events
        )
        self._synced_at = -_MIN_SYNC_INTERVAL_S
        self._last_housekeeping_at = 0.0
        self._acknowledged: set[DaemonId] = set()
        self._reported_states: dict[DaemonId, tuple[int, MemberState]] = {}
        self._reported_members: tuple[Member, ...] = ()
        self._to_announce_to: dict[DaemonId, None] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        link.subscribe(MEMBER_TOPIC, self._on_message)

    async def start(self) -> None:
        """Start to probe and to read the platform's list; the link must be started."""
        self._run(self._tick_forever())
        if self._listing is not None:
            self._run(self._read_list_forever())

    async def stop(self) -> None:
        """Stop all tasks."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def begin_leaving(self) -> None:
        """Notify the other daemons that this one accepts no new work and will stop."""
        now = self._clock.monotonic()
        self._view.leave(now)
        own = self._view.update_of(self._view.own)
        records = self._encoder.encode(ViewRecords((own,)))
        self._link.broadcast(MEMBER_TOPIC, records)

    def step(self, now: float) -> None:
        """Perform the actions that are due; called by the tick task and by tests."""
        own = self._view.own.host
        serving = self._digests.is_serving(now)
        needs_refresh = self._digests.needs_refresh(now)
        self._view.record_contact(own.daemon_id, own.incarnation, serving, now)
        for action in self._prober.tick(self._view, now, self._rng, needs_refresh):
            self._act(action, now)
        if now - self._last_housekeeping_at > _HOUSEKEEPING_INTERVAL_S:
            self._last_housekeeping_at = now
            self._view.expire_dead(now, _DEAD_RETENTION_S)
            self._link.add_seeds()
            self._link.close_idle(now)
        self._report_changes()
        self._announce_features()

    def _run(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _tick_forever(self) -> None:
        while True:
            self.step(self._clock.monotonic())
            await asyncio.sleep(_TICK_INTERVAL_S)

    async def _read_list_forever(self) -> None:
        assert self._listing is not None
        while True:
            hosts = await self._listing.hosts()
            if not isinstance(hosts, StoreUnavailable):
                self._host_list.update(hosts, self._view, self._clock.monotonic())
            await asyncio.sleep(self._list_interval_s() * self._rng.uniform(0.75, 1.25))

    def _list_interval_s(self) -> float:
        """Return the interval that keeps all daemons within the rate of list reads."""
        settings = self._settings
        n_live = sum(each.state is MemberState.LIVE for each in self._view.members())
        return max(settings.list_interval_s, n_live / settings.list_reads_per_s)

    def _act(self, action: ProbeAction, now: float) -> None:
        if isinstance(action, ProbeMember):
            gossip = self._gossip(now, self._own_update(action.daemon_id), False)
            self._send(action.daemon_id, Probe(action.sequence, gossip))
        elif isinstance(action, RequestIndirectProbes):
            request = ProbeRequest(action.sequence, action.daemon_id)
            for helper_id in action.helper_ids:
                self._send(helper_id, request)
        else:
            self._view.escalate_state(action.daemon_id, MemberState.SUSPECT, now)
            self._acknowledged.discard(action.daemon_id)
            self._run(self._check_connection_refused(action.daemon_id))

    async def _check_connection_refused(self, daemon_id: DaemonId) -> None:
        """Declare a member dead if its address refuses a connection."""
        member = self._view.members_by_id.get(daemon_id)
        if member is not None and await self._link.is_refused(member.host):
            self._mark_dead(daemon_id, member.host.incarnation)

    def _mark_dead(self, daemon_id: DaemonId, incarnation: int) -> None:
        member = self._view.members_by_id.get(daemon_id)
        if member is not None and member.host.incarnation == incarnation:
            self._view.escalate_state(
                daemon_id, MemberState.DEAD, self._clock.monotonic()
            )

    def _on_message(self, origin: DaemonId, payload: bytes) -> None:
        now = self._clock.monotonic()
        message = self._decoder.decode(origin, payload, now)
        if message is None:
            return
        if isinstance(message, Probe):
            self._on_probe(origin, message, now)
        elif isinstance(message, Ack):
            self._on_ack(origin, message, now)
        elif isinstance(message, ProbeRequest):
            self._on_probe_request(origin, message, now)
        elif isinstance(message, BucketHashes):
            differing = self._view.differing_updates(message.hashes)
            self._send(origin, ViewRecords(differing))
        elif isinstance(message, FeatureAnnouncement):
            self._link.record_features(origin, message.features)
        else:
            self._apply(message.updates, now)

    def _on_probe(self, origin: DaemonId, probe: Probe, now: float) -> None:
        self._apply_gossip(origin, probe.gossip, None, now)
        refutable = self._refutable_update(origin)
        gossip = self._gossip(now, refutable, True)
        self._send(origin, Ack(probe.sequence, gossip))

    def _on_ack(self, origin: DaemonId, ack: Ack, now: float) -> None:
        probe = self._prober.pop_acknowledged(ack.sequence)
        if probe is None:
            return
        if probe.requester is not None:
            self._send(probe.requester, Ack(probe.requester_sequence))
        if ack.gossip is not None:
            self._acknowledged.add(origin)
            self._apply_gossip(origin, ack.gossip, probe.sent_at, now)

    def _on_probe_request(
        self, origin: DaemonId, request: ProbeRequest, now: float
    ) -> None:
        daemon_id = DaemonId(request.daemon_id)
        action = self._prober.probe_for_peer(daemon_id, origin, request.sequence, now)
        self._act(action, now)

    def _apply_gossip(
        self, origin: DaemonId, gossip: Gossip, as_of: float | None, now: float
    ) -> None:
        self._apply(gossip.updates, now)
        self._link.record_features(origin, gossip.features)
        member = self._view.members_by_id.get(origin)
        if member is not None:
            self._view.record_contact(
                origin, member.host.incarnation, gossip.serving, now
            )
        views_agree = gossip.view_hash == self._view.view_hash
        if not views_agree and now - self._synced_at >= _MIN_SYNC_INTERVAL_S:
            self._synced_at = now
            self._send(origin, BucketHashes(self._view.bucket_hashes))
        self._digests.apply_digest(origin, gossip.digest, as_of, views_agree, now)

    def _gossip(
        self, now: float, first: tuple[MemberUpdate, ...], is_answer: bool
    ) -> Gossip:
        updates = first + self._view.next_updates(_MAX_UPDATES_PER_MESSAGE)
        return Gossip(
            self._view.view_hash,
            self._digests.digest(now, is_answer),
            self._digests.is_serving(now),
            updates,
            self._link.announced_features,
        )

    def _own_update(self, daemon_id: DaemonId) -> tuple[MemberUpdate, ...]:
        """Return this daemon's own record for a peer that may not know it."""
        if daemon_id in self._acknowledged:
            return ()
        return (self._view.update_of(self._view.own),)

    def _refutable_update(self, daemon_id: DaemonId) -> tuple[MemberUpdate, ...]:
        """Return a member's record for it to refute, if it is not joining or live."""
        member = self._view.members_by_id.get(daemon_id)
        if member is None or member.state in (MemberState.JOINING, MemberState.LIVE):
            return ()
        return (self._view.update_of(member),)

    def _apply(self, updates: Sequence[MemberUpdate], now: float) -> None:
        """Apply updates, and relay them if they are few.

        A large batch comes from a sync of views, so others know the updates already.
        """
        relays = len(updates) <= _MAX_RELAYED
        for update in updates:
            self._view.apply(update, now, relays)

    def _send(self, daemon_id: DaemonId, message: MemberMessage) -> None:
        self._link.send(daemon_id, MEMBER_TOPIC, self._encoder.encode(message))

    def _announce_features(self) -> None:
        """Send the own features to some of the members that are new in the view."""
        if not self._link.announced_features:
            self._to_announce_to.clear()
        message = FeatureAnnouncement(self._link.announced_features)
        for daemon_id in list(self._to_announce_to)[:_MAX_ANNOUNCEMENTS_PER_TICK]:
            del self._to_announce_to[daemon_id]
            self._send(daemon_id, message)

    def _report_changes(self) -> None:
        members_in_view = self._view.members()
        if members_in_view is self._reported_members:
            return
        self._reported_members = members_in_view
        members = self._view.members_by_id
        for daemon_id, member in members.items():
            state = (int(member.host.incarnation), member.state)
            known = self._reported_states.get(daemon_id)
            if known != state:
                if known is None or known[0] != state[0]:
                    self._to_announce_to[daemon_id] = None
                self._reported_states[daemon_id] = state
                self._events.emit(MemberChanged(daemon_id, *state))
        for daemon_id in [
            each for each in self._reported_states if each not in members
        ]:
            del self._reported_states[daemon_id]
