"""Watches the links of this daemon to the targets, and tells the other daemons.

What counts as lost is decided in `aspendrift_policy.link_health`.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from typing import Final

import msgspec

from aspendrift_daemon.events import EventHub
from aspendrift_daemon.interfaces import Clock
from aspendrift_daemon.peer_decoding import PeerDecoder
from aspendrift_daemon.peers import PeerLink
from aspendrift_gateway.events import LinksChanged, PeerLinksChanged
from aspendrift_model.ids import DaemonId
from aspendrift_model.target_entries import TargetEntry
from aspendrift_model.wire_work import LinksReport
from aspendrift_policy.link_health import (
    LinkHealth,
    PeersWithoutLinks,
    choose_probes,
    report_interval_s,
    without_links,
)

__all__ = ["LINKS_TOPIC", "LinkExchange"]

LINKS_TOPIC: Final = "n"

_STEP_INTERVAL_S: Final = 0.1


class LinkExchange:
    """Probes targets when none answers; knows which daemons lost their links.

    Parameters
    ----------
    entries : callable
        Returns the usable targets of all pools.
    accepts : callable
        Returns whether a target accepts a new connection.
    on_change : callable
        Called when the own links are lost or back.
    """

    def __init__(
        self,
        link: PeerLink,
        entries: Callable[[], Sequence[TargetEntry]],
        accepts: Callable[[TargetEntry], Awaitable[bool]],
        clock: Clock,
        events: EventHub,
        rng: random.Random,
        on_change: Callable[[], None],
    ) -> None:
        self._link = link
        self._entries = entries
        self._accepts = accepts
        self._clock = clock
        self._events = events
        self._rng = rng
        self._on_change = on_change
        self._health = LinkHealth()
        self._peers = PeersWithoutLinks()
        self._reported_at = float("-inf")
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder: PeerDecoder[LinksReport] = PeerDecoder(
            LinksReport, LINKS_TOPIC, events
        )
        self._task: asyncio.Task[None] | None = None
        self._probe: asyncio.Task[None] | None = None
        link.subscribe(LINKS_TOPIC, self._on_message)

    async def start(self) -> None:
        """Start watching."""
        self._task = asyncio.create_task(self._step_forever())

    async def stop(self) -> None:
        """Stop watching."""
        tasks = [each for each in (self._task, self._probe) if each is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @property
    def is_lost(self) -> bool:
        """Whether this daemon reaches no target."""
        return self._health.is_lost

    def sent(self) -> None:
        """Record that something was sent to a target."""
        self._health.sent(self._clock.monotonic())

    def received(self) -> None:
        """Record that a target answered."""
        self._health.received(self._clock.monotonic())

    def failed(self) -> None:
        """Record that a connection to a target failed."""
        self._health.failed(self._clock.monotonic())

    def without_links(self, now: float) -> frozenset[DaemonId]:
        """Return the daemons that get no work; none if all have lost their links."""
        lost = self._peers.lost(now)
        if self.is_lost:
            lost |= {self._link.host.daemon_id}
        return without_links(lost, self._link.live_ids()) if lost else lost

    def step(self, now: float) -> None:
        """Probe and report what is due."""
        if self._health.is_probe_due(now):
            self._health.probe_began(now)
            self._probe = asyncio.create_task(self._probe_targets())
        if self.is_lost:
            interval_s = report_interval_s(len(self._link.live_ids()))
            if now - self._reported_at >= interval_s:
                self._report(now)

    async def _step_forever(self) -> None:
        while True:
            await asyncio.sleep(_STEP_INTERVAL_S)
            self.step(self._clock.monotonic())

    async def _probe_targets(self) -> None:
        probes = choose_probes(self._entries(), self._rng)
        is_reached = not probes or await self._is_any_reached(probes)
        now = self._clock.monotonic()
        silent_s = self._health.silent_s(now)
        if self._health.probe_ended(is_reached, now):
            self._events.emit(LinksChanged(self.is_lost, len(probes), silent_s))
            self._report(now)
            self._on_change()

    async def _is_any_reached(self, probes: Sequence[TargetEntry]) -> bool:
        first, *others = probes
        if await self._accepts(first):
            return True
        return any(await asyncio.gather(*(self._accepts(each) for each in others)))

    def _report(self, now: float) -> None:
        self._reported_at = now
        message = self._encoder.encode(LinksReport(self.is_lost))
        self._link.send_each(self._link.live_ids(), LINKS_TOPIC, message)

    def _on_message(self, origin: DaemonId, payload: bytes) -> None:
        now = self._clock.monotonic()
        message = self._decoder.decode(origin, payload, now)
        if message is None or origin == self._link.host.daemon_id:
            return
        n_daemons = len(self._link.live_ids())
        if self._peers.reported(origin, message.is_lost, n_daemons, now):
            self._events.emit(PeerLinksChanged(origin, message.is_lost))
