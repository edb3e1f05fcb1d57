"""The peer link: messages between daemons over pyzmq.

One PULL socket receives. One PUSH socket for each recently used peer sends. A
full queue drops the message: every protocol above the link recovers from loss.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from enum import Enum
from pathlib import Path
from typing import TYPE_CHECKING, ClassVar, Final, Protocol
from urllib.parse import urlsplit

import msgspec
import zmq
import zmq.asyncio

from aspendrift_daemon.events import Event, EventHub
from aspendrift_daemon.interfaces import Clock, MessageHandler, Topic
from aspendrift_model.decode_errors import DECODE_ERRORS
from aspendrift_model.hosts import Host, HostCapacity, Location
from aspendrift_model.ids import DaemonId, Incarnation, RegionName, ZoneName
from aspendrift_model.settings_peers import PeerSettings
from aspendrift_model.states import MemberState, PeerFeature
from aspendrift_model.wire_peer import PEER_PROTOCOL_VERSION, Envelope
from aspendrift_policy.gossip_push import SeenMessages, push_peers
from aspendrift_policy.membership import Member, MemberView
from aspendrift_policy.peer_features import FeatureTracker

if TYPE_CHECKING:
    from zmq.auth.asyncio import AsyncioAuthenticator

__all__ = [
    "LinkCounters",
    "LinkDirection",
    "LinkFilter",
    "PeerLink",
    "PeerMessageRejected",
    "PeerRejection",
]

_MAX_MESSAGE_BYTES: Final = 64 * 1024 * 1024
_CONNECT_TIMEOUT_MS: Final = 2_000
_RECONNECT_MS: Final = 200
_MAX_RECONNECT_MS: Final = 2_000
_MAX_UNACKNOWLEDGED_MS: Final = 5_000
_REFUSAL_CHECK_TIMEOUT_S: Final = 1.0
_BACKLOG: Final = 512
_RECEIVE_BATCH_SIZE: Final = 64


class LinkDirection(Enum):
    """Direction of a message, for a link filter."""

    IN = "in"
    OUT = "out"


class LinkFilter(Protocol):
    """Test hook that drops messages."""

    def passes(self, direction: LinkDirection, peer: DaemonId) -> bool:
        """Return whether a message may pass."""


class PeerRejection(Enum):
    """Why a message from a peer was dropped."""

    MALFORMED = "malformed"
    VERSION = "version"
    OLD_INCARNATION = "old_incarnation"


@dataclass(frozen=True, slots=True)
class PeerMessageRejected(Event):
    """A message from a peer was dropped."""

    name: ClassVar[str] = "peer_message_rejected"
    origin: str
    reason: PeerRejection


@dataclass(slots=True)
class LinkCounters:
    """Messages and bytes since the start; bytes are those of encoded envelopes."""

    n_sent: int = 0
    n_received: int = 0
    n_dropped: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0


@dataclass(slots=True)
class _OutLink:
    socket: zmq.Socket[bytes]
    endpoint: str
    used_at: float


class _AllowedKeys:
    """Accepts the CURVE keys of the settings."""

    def __init__(self, keys: Sequence[str]) -> None:
        self._keys = frozenset(key.encode() for key in keys)

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a client key may connect."""
        return key in self._keys


class PeerLink:
    """Best-effort messages between daemons, and the membership view.

    Parameters
    ----------
    settings : PeerSettings
        Endpoint, keys, seeds and bounds.
    host : Host
        This daemon; its ``peer_endpoint`` is replaced by the bound one.
    rng : random.Random
        Chooses the peers that a message is forwarded to.
    link_filter : LinkFilter or None
        Test hook that drops messages.
    features : iterable of PeerFeature
        Features that this daemon announces to its peers.
    """

    def __init__(
        self,
        settings: PeerSettings,
        host: Host,
        clock: Clock,
        events: EventHub,
        rng: random.Random,
        link_filter: LinkFilter | None = None,
        features: Iterable[PeerFeature] = (),
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._events = events
        self._rng = rng
        self._filter = link_filter
        self._handlers_by_topic: dict[Topic, list[MessageHandler]] = {}
        self._out_by_id: dict[DaemonId, _OutLink] = {}
        self._seen = SeenMessages()
        self._broadcast_sequence = 0
        self._decoder = msgspec.msgpack.Decoder(Envelope)
        self._encoder = msgspec.msgpack.Encoder()
        self._secret_key = b""
        self._context: zmq.asyncio.Context | None = None
        self._receive_task: asyncio.Task[None] | None = None
        self._authenticator: AsyncioAuthenticator | None = None
        self._in: zmq.asyncio.Socket | None = None
        self._cached_members: tuple[Member, ...] = ()
        self._hosts: Sequence[tuple[Host, MemberState]] = ()
        self._capacity_by_id: dict[DaemonId, HostCapacity] = {}
        # Members and feature changes that the capacities were taken from.
        self._capacities_of: tuple[Sequence[tuple[Host, MemberState]], int] = ((), -1)
        self.counters = LinkCounters()
        self.view = MemberView(host, clock.monotonic())
        self._features = FeatureTracker(host.daemon_id, features)

    @property
    def host(self) -> Host:
        """Own host, with the endpoint that peers connect to."""
        return self.view.own.host

    @property
    def endpoint(self) -> str:
        """Endpoint that peers connect to; known after :meth:`start`."""
        return self.host.peer_endpoint

    async def start(self) -> None:
        """Bind the socket, add the seeds to the view and start receiving."""
        self._context = zmq.asyncio.Context()
        self._load_key()
        self._in = self._context.socket(zmq.PULL)
        self._in.setsockopt(zmq.MAXMSGSIZE, _MAX_MESSAGE_BYTES)
        self._in.setsockopt(zmq.BACKLOG, _BACKLOG)
        self._in.setsockopt(zmq.LINGER, 0)
        if self._secret_key:
            self._authenticate(self._in)
        self._in.bind(self._settings.bind)
        bound = self._in.getsockopt_string(zmq.LAST_ENDPOINT).rstrip("\0")
        self._set_endpoint(self._settings.advertise_endpoint or bound)
        self.add_seeds()
        self._receive_task = asyncio.create_task(self._receive())

    async def stop(self) -> None:
        """Close every socket; messages not yet sent are dropped."""
        if self._receive_task is not None:
            self._receive_task.cancel()
            await asyncio.gather(self._receive_task, return_exceptions=True)
        if self._authenticator is not None:
            self._authenticator.stop()
        for link in self._out_by_id.values():
            link.socket.close(linger=0)
        self._out_by_id.clear()
        if self._in is not None:
            self._in.close(linger=0)
        if self._context is not None:
            self._context.term()

    def add_seeds(self) -> None:
        """Add the seeds of the settings to the view."""
        now = self._clock.monotonic()
        unknown = Location(ZoneName(""), RegionName(""))
        for seed in self._settings.seeds:
            daemon_id = DaemonId(seed.daemon_id)
            host = Host(daemon_id, Incarnation(0), unknown, "", seed.endpoint, seed.key)
            self.view.add_seed(host, now)

    def subscribe(self, topic: Topic, handler: MessageHandler) -> None:
        """Call a handler with the origin and payload of each message of a topic."""
        self._handlers_by_topic.setdefault(topic, []).append(handler)

    def broadcast(self, topic: Topic, payload: bytes) -> None:
        """Push a payload to every daemon in view at most once, best effort."""
        self._broadcast_sequence += 1
        envelope = self._envelope(topic, payload, self._broadcast_sequence)
        self._forward(envelope)

    def send(self, daemon_id: DaemonId, topic: Topic, payload: bytes) -> None:
        """Send a payload to one daemon, best effort."""
        self.send_each((daemon_id,), topic, payload)

    def send_each(
        self, daemon_ids: Iterable[DaemonId], topic: Topic, payload: bytes
    ) -> None:
        """Send a payload to each of some daemons, best effort."""
        encoded = self._encoder.encode(self._envelope(topic, payload, 0))
        for daemon_id in daemon_ids:
            self._transmit(daemon_id, encoded)

    def members(self) -> Sequence[tuple[Host, MemberState]]:
        """Return every known daemon that is not dead, this one included.

        The same object is returned until the view changes.
        """
        members = self.view.members()
        if members is not self._cached_members:
            self._cached_members = members
            self._hosts = [(member.host, member.state) for member in members]
        return self._hosts

    def live_ids(self) -> list[DaemonId]:
        """Return the ids of all live daemons, this one included."""
        return [
            host.daemon_id
            for host, state in self.members()
            if state is MemberState.LIVE
        ]

    def capacities(self) -> Mapping[DaemonId, HostCapacity]:
        """Return the capacities of the hosts of all daemons that may own work.

        Empty if one of them is of a build that doesn't know capacities, since all
        daemons have to choose the same owners. The same object is returned until
        something changes.
        """
        members = self.members()
        n_changes = self._features.n_changes
        if members is not self._capacities_of[0] or n_changes != self._capacities_of[1]:
            self._capacities_of = (members, n_changes)
            candidates = [
                host
                for host, state in members
                if state in (MemberState.LIVE, MemberState.JOINING)
            ]
            self._capacity_by_id = {
                host.daemon_id: host.capacity for host in candidates
            }
            if any(
                self.lacks(host.daemon_id, PeerFeature.CAPACITIES)
                for host in candidates
            ):
                self._capacity_by_id = {}
        return self._capacity_by_id

    def supports(self, daemon_id: DaemonId, feature: PeerFeature) -> bool:
        """Return whether a daemon has announced a feature since its last start.

        False for a daemon that isn't in view.
        """
        member = self.view.members_by_id.get(daemon_id)
        return member is not None and self._features.supports(
            daemon_id, member.host.incarnation, feature
        )

    def lacks(self, daemon_id: DaemonId, feature: PeerFeature) -> bool:
        """Return whether a daemon is known not to understand a feature.

        Both this and :meth:`supports` are False while nothing is known, as in the
        first seconds after a start.
        """
        member = self.view.members_by_id.get(daemon_id)
        return member is not None and self._features.lacks(
            daemon_id, member.host.incarnation, feature
        )

    @property
    def n_feature_changes(self) -> int:
        """Number of changes so far to what is known of the features of peers."""
        return self._features.n_changes

    def live_ids_supporting(self, feature: PeerFeature) -> list[DaemonId]:
        """Return the ids of the live daemons that have announced a feature."""
        return [each for each in self.live_ids() if self.supports(each, feature)]

    @property
    def announced_features(self) -> int:
        """What this daemon announces, as probes and acknowledgements carry it."""
        return self._features.own_encoded

    def record_features(self, daemon_id: DaemonId, features: int) -> None:
        """Record what the origin of the message being handled announces in it."""
        self._features.announced(daemon_id, features)

    async def is_refused(self, host: Host) -> bool:
        """Return whether a daemon's address refuses a connection.

        A timeout, an unreachable network and other errors are no refusal.
        """
        address = urlsplit(host.peer_endpoint)
        try:
            async with asyncio.timeout(_REFUSAL_CHECK_TIMEOUT_S):
                _, writer = await asyncio.open_connection(
                    address.hostname, address.port
                )
        except ConnectionRefusedError:
            return True
        except (OSError, ValueError):
            return False
        writer.close()
        return False

    def close_idle(self, now: float) -> None:
        """Close links that have not been used for ``idle_link_s``."""
        for daemon_id, link in list(self._out_by_id.items()):
            if now - link.used_at > self._settings.idle_link_s:
                link.socket.close(linger=0)
                del self._out_by_id[daemon_id]
        self._features.retain(self.view.members_by_id)

    def _envelope(self, topic: Topic, payload: bytes, sequence: int) -> Envelope:
        own = self.host
        return Envelope(
            PEER_PROTOCOL_VERSION,
            own.daemon_id,
            own.incarnation,
            topic,
            payload,
            sequence,
        )

    def _forward(self, envelope: Envelope, sender: str = "") -> None:
        encoded = self._encoder.encode(envelope)
        excluded = (envelope.origin, sender)
        for peer in push_peers(
            self.view, self._settings.push_fanout, self._rng, excluded
        ):
            self._transmit(peer, encoded)

    def _transmit(self, daemon_id: DaemonId, encoded: bytes) -> None:
        member = self.view.members_by_id.get(daemon_id)
        if member is None or daemon_id == self.view.own_id:
            return
        if self._filter and not self._filter.passes(LinkDirection.OUT, daemon_id):
            return
        if self._drops_for_test():
            return
        link = self._out_link(member.host)
        if link is None:
            return
        try:
            link.socket.send(encoded, zmq.NOBLOCK)
        except zmq.Again:
            self.counters.n_dropped += 1
            return
        self.counters.n_sent += 1
        self.counters.bytes_sent += len(encoded)

    def _out_link(self, host: Host) -> _OutLink | None:
        now = self._clock.monotonic()
        link = self._out_by_id.get(host.daemon_id)
        if link is not None and link.endpoint == host.peer_endpoint:
            link.used_at = now
            return link
        if link is not None:
            link.socket.close(linger=0)
            del self._out_by_id[host.daemon_id]
        if self._context is None:
            return None
        socket = self._connect(host)
        if socket is None:
            return None
        link = _OutLink(socket, host.peer_endpoint, now)
        self._out_by_id[host.daemon_id] = link
        return link

    def _connect(self, host: Host) -> zmq.Socket[bytes] | None:
        assert self._context is not None
        plain: zmq.Context[zmq.Socket[bytes]] = zmq.Context.shadow(
            self._context.underlying
        )
        socket = plain.socket(zmq.PUSH)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.SNDHWM, self._settings.max_queued)
        socket.setsockopt(zmq.CONNECT_TIMEOUT, _CONNECT_TIMEOUT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL, _RECONNECT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, _MAX_RECONNECT_MS)
        socket.setsockopt(zmq.TCP_MAXRT, _MAX_UNACKNOWLEDGED_MS)
        try:
            if self._secret_key:
                socket.curve_secretkey = self._secret_key
                socket.curve_publickey = zmq.curve_public(self._secret_key)
                socket.curve_serverkey = host.peer_key.encode()
            socket.connect(host.peer_endpoint)
        except zmq.ZMQError:
            socket.close(linger=0)
            return None
        return socket

    def _load_key(self) -> None:
        if self._settings.secret_key_file:
            text = Path(self._settings.secret_key_file).read_text(encoding="ascii")
            self._secret_key = text.strip().encode()

    def _authenticate(self, socket: zmq.asyncio.Socket) -> None:
        # Imported here since most links are not encrypted and a start should be short.
        from zmq.auth.asyncio import AsyncioAuthenticator

        authenticator = AsyncioAuthenticator(self._context)
        authenticator.start()
        allowed = _AllowedKeys(self._settings.allowed_keys)
        authenticator.configure_curve_callback("*", allowed)
        self._authenticator = authenticator
        socket.curve_secretkey = self._secret_key
        socket.curve_publickey = zmq.curve_public(self._secret_key)
        socket.curve_server = True

    def _set_endpoint(self, endpoint: str) -> None:
        key = zmq.curve_public(self._secret_key).decode() if self._secret_key else ""
        host = replace(self.host, peer_endpoint=endpoint, peer_key=key)
        self.view.set_own_host(host, self._clock.monotonic())

    def _drops_for_test(self) -> bool:
        share = self._settings.test_drop_share
        return share > 0 and self._rng.random() < share

    async def _receive(self) -> None:
        assert self._in is not None
        n_in_batch = 0
        while True:
            encoded = await self._in.recv()
            self._handle_message(encoded)
            n_in_batch += 1
            if n_in_batch >= _RECEIVE_BATCH_SIZE:
                n_in_batch = 0
                await asyncio.sleep(0)

    def _handle_message(self, encoded: bytes) -> None:
        self.counters.n_received += 1
        self.counters.bytes_received += len(encoded)
        try:
            envelope = self._decoder.decode(encoded)
        except DECODE_ERRORS:
            self._reject("", PeerRejection.MALFORMED)
            return
        origin = DaemonId(envelope.origin)
        if self._filter and not self._filter.passes(LinkDirection.IN, origin):
            return
        if envelope.version != PEER_PROTOCOL_VERSION:
            self._reject(origin, PeerRejection.VERSION)
        elif self._is_stale(envelope):
            self._reject(origin, PeerRejection.OLD_INCARNATION)
        elif not envelope.spread_sequence:
            self._deliver(envelope)
        elif self._is_unseen(envelope):
            self._forward(envelope)
            self._deliver(envelope)

    def _is_stale(self, envelope: Envelope) -> bool:
        origin = DaemonId(envelope.origin)
        known = self.view.members_by_id.get(origin)
        if known is None:
            return False
        if envelope.incarnation < known.host.incarnation:
            return True
        return not self._features.record_message(origin, envelope.incarnation)

    def _is_unseen(self, envelope: Envelope) -> bool:
        return envelope.origin != self.view.own_id and self._seen.is_new(
            envelope.origin, envelope.incarnation, envelope.spread_sequence
        )

    def _deliver(self, envelope: Envelope) -> None:
        for handler in self._handlers_by_topic.get(envelope.topic, ()):
            handler(DaemonId(envelope.origin), envelope.payload)

    def _reject(self, origin: str, reason: PeerRejection) -> None:
        self._events.emit(PeerMessageRejected(origin, reason))
