"""Exchanges the paces of model targets, so that all daemons avoid slow ones.

The owner of a pool collects the samples of all daemons. It sends every daemon the
targets that it finds slow, and more rarely the speeds that it learned.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping
from typing import Final

import msgspec

from aspendrift_daemon.events import EventHub
from aspendrift_daemon.interfaces import Clock
from aspendrift_daemon.peer_decoding import PeerDecoder
from aspendrift_daemon.peers import PeerLink
from aspendrift_gateway.events import SlowTargetsChanged, TargetSpeedsChanged
from aspendrift_model.ids import DaemonId, PoolName, TargetId
from aspendrift_model.target_entries import TargetKey
from aspendrift_model.wire_work import (
    PaceMessage,
    PaceSamples,
    SlowTargets,
    TargetSpeeds,
)
from aspendrift_policy.pace import PaceTracker
from aspendrift_policy.target_loads import relay_groups
from aspendrift_policy.target_speeds import SpeedTracker, speed_of, speeds_interval_s

__all__ = ["PACE_TOPIC", "PaceExchange"]

PACE_TOPIC: Final = "p"

_STEP_INTERVAL_S: Final = 0.25
# Slow targets are sent at most at this interval while there are any, and avoided for a
# few of them.
_SEND_INTERVAL_S: Final = 1.0
_AVOIDED_S: Final = 3.0
# Speeds are valid for a few intervals, so that they outlast a change of the owner.
_SPEEDS_TTL_INTERVALS: Final = 4.0
# Speeds in one message; of more, the ones that differ most are sent.
_MAX_SPEEDS: Final = 128
_US_PER_S: Final = 1e6
_MS_PER_S: Final = 1000.0
_NEVER_SENT: Final[tuple[float, frozenset[TargetKey]]] = (float("-inf"), frozenset())


class PaceExchange:
    """Reports paces to the owners of pools, and applies what they find.

    Parameters
    ----------
    owner : callable
        Returns the daemon that owns a pool.
    avoid : callable
        Called with a pool, its slow targets and the time until which to avoid them.
    apply_speeds : callable
        Called with a pool, its targets' speeds and the time until which they are valid.
    """

    def __init__(
        self,
        link: PeerLink,
        owner: Callable[[PoolName, float], DaemonId],
        avoid: Callable[[PoolName, frozenset[TargetKey], float], None],
        apply_speeds: Callable[[PoolName, Mapping[TargetKey, float], float], None],
        clock: Clock,
        events: EventHub,
        rng: random.Random,
    ) -> None:
        self._link = link
        self._owner = owner
        self._avoid = avoid
        self._clock = clock
        self._events = events
        self._apply_speeds = apply_speeds
        self._rng = rng
        self._speeds_by_pool: dict[PoolName, SpeedTracker] = {}
        self._next_speeds_by_pool: dict[PoolName, float] = {}
        self._known_speeds_by_pool: dict[PoolName, Mapping[TargetKey, float]] = {}
        self._pending_by_pool: dict[PoolName, list[tuple[str, int, int]]] = {}
        self._trackers_by_pool: dict[PoolName, PaceTracker] = {}
        self._sent_by_pool: dict[PoolName, tuple[float, frozenset[TargetKey]]] = {}
        self._known_by_pool: dict[PoolName, frozenset[TargetKey]] = {}
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder: PeerDecoder[PaceMessage] = PeerDecoder(
            PaceMessage, PACE_TOPIC, events
        )
        self._task: asyncio.Task[None] | None = None
        link.subscribe(PACE_TOPIC, self._on_message)

    async def start(self) -> None:
        """Start exchanging."""
        self._task = asyncio.create_task(self._step_forever())

    async def stop(self) -> None:
        """Stop exchanging."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def record(self, pool: PoolName, key: TargetKey, gap_s: float) -> None:
        """Record the gap between the events of a stream."""
        sample = (key.target_id, key.born_ms, int(gap_s * _US_PER_S))
        self._pending_by_pool.setdefault(pool, []).append(sample)

    def step(self, now: float) -> None:
        """Send the samples to the owners, and slow targets to every daemon."""
        pending, self._pending_by_pool = self._pending_by_pool, {}
        for pool, samples in pending.items():
            owner = self._owner(pool, now)
            message = PaceSamples(pool, tuple(samples))
            if owner == self._link.host.daemon_id:
                self._on_samples(message, now)
            else:
                self._link.send(owner, PACE_TOPIC, self._encoder.encode(message))
        for pool, tracker in self._trackers_by_pool.items():
            self._send_slow(pool, frozenset(tracker.slow(now)), now)
        for pool, speeds in self._speeds_by_pool.items():
            self._send_speeds(pool, speeds.steps(now), now)

    def _send_slow(
        self, pool: PoolName, slow: frozenset[TargetKey], now: float
    ) -> None:
        sent_at, sent = self._sent_by_pool.get(pool, _NEVER_SENT)
        if not (slow or sent) or now - sent_at < _SEND_INTERVAL_S:
            return
        self._sent_by_pool[pool] = (now, slow)
        message = SlowTargets(
            pool, tuple((key.target_id, key.born_ms) for key in sorted(slow))
        )
        self._on_slow(message, now)
        encoded = self._encoder.encode(message)
        self._link.send_each(self._link.live_ids(), PACE_TOPIC, encoded)

    def _send_speeds(
        self, pool: PoolName, steps: Mapping[TargetKey, int], now: float
    ) -> None:
        """Send the speeds of a pool, unless they were sent a short time ago."""
        has_sent = pool in self._next_speeds_by_pool
        if not (steps or has_sent) or now < self._next_speeds_by_pool.get(pool, now):
            return
        largest = sorted(steps.items(), key=lambda each: -abs(each[1]))[:_MAX_SPEEDS]
        items = tuple((key.target_id, key.born_ms, step) for key, step in largest)
        own_id = self._link.host.daemon_id
        others = [each for each in self._link.live_ids() if each != own_id]
        groups = relay_groups(others, self._rng)
        n_bytes = len(groups) * len(self._encoder.encode(items))
        interval_s = speeds_interval_s(n_bytes)
        left_ms = int(interval_s * _SPEEDS_TTL_INTERVALS * _MS_PER_S)
        if steps:
            self._next_speeds_by_pool[pool] = now + interval_s
        else:
            del self._next_speeds_by_pool[pool]
        self._on_speeds(TargetSpeeds(pool, items, left_ms), now)
        for group in groups:
            message = TargetSpeeds(pool, items, left_ms, group.others)
            self._link.send(group.relay, PACE_TOPIC, self._encoder.encode(message))

    async def _step_forever(self) -> None:
        while True:
            await asyncio.sleep(_STEP_INTERVAL_S)
            self.step(self._clock.monotonic())

    def _on_message(self, origin: DaemonId, payload: bytes) -> None:
        now = self._clock.monotonic()
        message = self._decoder.decode(origin, payload, now)
        if message is None:
            return
        if isinstance(message, PaceSamples):
            self._on_samples(message, now)
        elif isinstance(message, TargetSpeeds):
            self._relay_speeds(message)
            self._on_speeds(message, now)
        else:
            self._on_slow(message, now)

    def _on_samples(self, message: PaceSamples, now: float) -> None:
        pool = PoolName(message.pool)
        tracker = self._trackers_by_pool.setdefault(pool, PaceTracker())
        speeds = self._speeds_by_pool.setdefault(pool, SpeedTracker())
        for target_id, born_ms, gap_us in message.samples:
            key = TargetKey(TargetId(target_id), born_ms)
            tracker.record(key, gap_us / _US_PER_S, now)
            speeds.record(key, gap_us / _US_PER_S, now)

    def _relay_speeds(self, message: TargetSpeeds) -> None:
        if message.relay_to:
            onward = TargetSpeeds(message.pool, message.targets, message.left_ms)
            others = [DaemonId(each) for each in message.relay_to]
            self._link.send_each(others, PACE_TOPIC, self._encoder.encode(onward))

    def _on_speeds(self, message: TargetSpeeds, now: float) -> None:
        pool = PoolName(message.pool)
        speeds = {
            TargetKey(TargetId(target_id), born_ms): speed_of(step)
            for target_id, born_ms, step in message.targets
        }
        self._apply_speeds(pool, speeds, now + message.left_ms / _MS_PER_S)
        if speeds != self._known_speeds_by_pool.get(pool, {}):
            self._known_speeds_by_pool[pool] = speeds
            self._events.emit(
                TargetSpeedsChanged(
                    pool,
                    tuple(
                        f"{key.target_id}={speeds[key]:.2f}" for key in sorted(speeds)
                    ),
                )
            )

    def _on_slow(self, message: SlowTargets, now: float) -> None:
        pool = PoolName(message.pool)
        slow = frozenset(
            TargetKey(TargetId(target_id), born_ms)
            for target_id, born_ms in message.targets
        )
        self._avoid(pool, slow, now + _AVOIDED_S)
        if slow != self._known_by_pool.get(pool, frozenset()):
            self._known_by_pool[pool] = slow
            ids = tuple(key.target_id for key in sorted(slow))
            self._events.emit(SlowTargetsChanged(pool, ids, _AVOIDED_S))
