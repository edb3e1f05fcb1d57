"""Exchanges use digests and load reports between daemons."""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import Final, Protocol

import msgspec

from aspendrift_daemon.interfaces import Clock, PeerBus
from aspendrift_model.decode_errors import DECODE_ERRORS
from aspendrift_model.ids import DaemonId, TargetId
from aspendrift_model.settings_routing import RoutingSettings
from aspendrift_model.states import MemberState
from aspendrift_model.targets import LoadReport
from aspendrift_policy.fairness import FairShares, UsageDigest, name_hash

__all__ = ["UseExchange", "SharedLoad", "PeerReportSink", "UseMessage"]

TOPIC: Final = "routing.use"
_JITTER_SHARE: Final = 0.2
_MAX_LOADS_PER_MESSAGE: Final = 32
_VERSION: Final = 1
_COUNTED_STATES: Final = frozenset({MemberState.LIVE, MemberState.SUSPECT})


class PeerReportSink(Protocol):
    """Resolves hashed target ids and applies load reports of peers."""

    def target_by_hash(self, name_hash: int) -> TargetId | None:
        """Return the target in use whose id has the given hash."""

    def apply_report(self, report: LoadReport, now: float) -> None:
        """Apply a load report that a peer polled."""


class SharedLoad(msgspec.Struct, frozen=True, array_like=True):
    """A load report sent to a peer; ``target`` is the hash of the target id."""

    target: int
    active: int
    queued: int
    slots: int
    age_ms: int


class UseMessage(msgspec.Struct, frozen=True, array_like=True):
    """The use digest of a daemon and the load reports that it polled."""

    version: int
    digest: UsageDigest
    loads: tuple[SharedLoad, ...] = ()


class UseExchange:
    """Sends digests to a few random peers and applies the digests of peers.

    Parameters
    ----------
    settings : RoutingSettings
        Interval and fan-out.
    clock : Clock
        Clocks of the process.
    bus : PeerBus
        Transports the messages.
    shares : FairShares
        Source of own digests; receives those of peers.
    targets : PeerReportSink
        Resolves hashed target ids and receives the load reports of peers.
    rng : random.Random
        Random source for the choice of peers and the jitter.
    daemon_id : DaemonId or None
        This daemon.
    """

    def __init__(
        self,
        settings: RoutingSettings,
        clock: Clock,
        bus: PeerBus,
        shares: FairShares,
        targets: PeerReportSink,
        rng: random.Random,
        daemon_id: DaemonId | None,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._bus = bus
        self._shares = shares
        self._targets = targets
        self._rng = rng
        self._daemon_id = daemon_id
        self._polled_reports_by_id: dict[TargetId, tuple[LoadReport, float]] = {}
        self._sender: asyncio.Task[None] | None = None
        self._n_daemons = 1
        self._rank = 0
        bus.subscribe(TOPIC, self._received)

    async def start(self) -> None:
        """Start sending digests."""
        self._sender = asyncio.create_task(self._send_forever())

    async def stop(self) -> None:
        """Stop sending digests."""
        if self._sender is not None:
            self._sender.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._sender

    def n_daemons(self) -> int:
        """Return the number of live daemons at the last digest, including this one."""
        return self._n_daemons

    def rank(self) -> int:
        """Return the rank of this daemon among the live daemons, ordered by id."""
        return self._rank

    def share_report(self, report: LoadReport, now: float) -> None:
        """Send a polled report with the next digest."""
        self._polled_reports_by_id[report.target_id] = (report, now)

    async def _send_forever(self) -> None:
        while True:
            n_bytes = self.send(self._clock.monotonic())
            settings = self._settings
            interval_s = max(settings.digest_s, n_bytes / settings.digest_bytes_per_s)
            jitter = 1.0 + _JITTER_SHARE * (2.0 * self._rng.random() - 1.0)
            await asyncio.sleep(interval_s * jitter)

    def send(self, now: float) -> int:
        """Send one digest to a few random peers; return the bytes sent."""
        peers = [
            host.daemon_id
            for host, state in self._bus.members()
            if state in _COUNTED_STATES and host.daemon_id != self._daemon_id
        ]
        self._n_daemons = len(peers) + 1
        own = self._daemon_id or ""
        self._rank = sum(1 for peer in peers if peer < own)
        digest = self._shares.digest(now)
        message = UseMessage(_VERSION, digest, self._drain_loads(now))
        payload = msgspec.msgpack.encode(message)
        n_chosen = min(len(peers), self._settings.digest_fanout)
        for peer in self._rng.sample(peers, n_chosen):
            self._bus.send(peer, TOPIC, payload)
        return len(payload) * n_chosen

    def _drain_loads(self, now: float) -> tuple[SharedLoad, ...]:
        reports = sorted(self._polled_reports_by_id.values(), key=lambda each: -each[1])
        self._polled_reports_by_id.clear()
        return tuple(
            SharedLoad(
                name_hash(report.target_id),
                report.active,
                report.queued,
                report.slots,
                report.age_ms + round(1000 * (now - at)),
            )
            for report, at in reports[:_MAX_LOADS_PER_MESSAGE]
        )

    def _received(self, origin: DaemonId, payload: bytes) -> None:
        try:
            message = msgspec.msgpack.decode(payload, type=UseMessage)
        except DECODE_ERRORS:
            return
        if message.version != _VERSION or origin == self._daemon_id:
            return
        now = self._clock.monotonic()
        self._shares.apply_digest(origin, message.digest, now)
        for load in message.loads:
            target_id = self._targets.target_by_hash(load.target)
            if target_id is None:
                continue
            report = LoadReport(
                target_id,
                load.active,
                load.queued,
                load.slots,
                load.age_ms,
            )
            self._targets.apply_report(report, now)
