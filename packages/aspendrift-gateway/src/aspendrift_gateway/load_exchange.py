"""Exchanges the loads of targets, so that no daemon sends more work to loaded ones.

Each daemon sends samples of load reports over a bound to the owner of the pool, which
names the loaded targets to all daemons. Nothing is sent for a pool without load.
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
from aspendrift_gateway.events import LoadedTargetsChanged
from aspendrift_model.ids import DaemonId, PoolName, TargetId
from aspendrift_model.load_reports import LoadReport
from aspendrift_model.target_entries import TargetKey
from aspendrift_model.wire_work import (
    LoadedTargets,
    LoadMessage,
    LoadSamples,
    TargetLoadItem,
)
from aspendrift_policy.target_loads import (
    LoadTracker,
    ObservedLoad,
    is_loaded,
    list_interval_s,
    max_listed,
    relay_groups,
    sample_interval_s,
)

__all__ = ["LOAD_TOPIC", "LoadExchange"]

LOAD_TOPIC: Final = "l"

_STEP_INTERVAL_S: Final = 0.25
# Targets in one message of samples; a daemon rarely sees more in its interval.
_MAX_SAMPLES: Final = 4
# The list of loaded targets expires after a few of its intervals.
_LIST_TTL_S: Final = 1.5
# Samples that wait longer than this for their interval say nothing any more.
_MAX_PENDING_S: Final = 1.0
# The list changes with each message under load, and is logged at this interval.
_LOG_INTERVAL_S: Final = 5.0
_MS_PER_S: Final = 1000.0
_NEVER: Final = float("-inf")

LoadListener = Callable[
    [PoolName, Mapping[TargetKey, ObservedLoad], float, float], None
]


class LoadExchange:
    """Reports loads to the owners of pools, and applies what they name.

    Parameters
    ----------
    owner : callable
        Returns the daemon that owns a pool.
    apply : callable
        Called with a pool, its loaded targets, the time, and until when that is valid.
    """

    def __init__(
        self,
        link: PeerLink,
        owner: Callable[[PoolName, float], DaemonId],
        apply: LoadListener,
        clock: Clock,
        events: EventHub,
        rng: random.Random,
    ) -> None:
        self._link = link
        self._owner = owner
        self._apply = apply
        self._clock = clock
        self._events = events
        self._rng = rng
        self._pending_by_pool: dict[PoolName, dict[TargetKey, ObservedLoad]] = {}
        self._sampled_at_by_pool: dict[PoolName, float] = {}
        self._trackers_by_pool: dict[PoolName, LoadTracker] = {}
        self._sent_by_pool: dict[PoolName, tuple[float, bool]] = {}
        self._listed_by_pool: dict[PoolName, tuple[frozenset[TargetKey], float]] = {}
        self._logged_by_pool: dict[PoolName, tuple[frozenset[TargetKey], float]] = {}
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder: PeerDecoder[LoadMessage] = PeerDecoder(
            LoadMessage, LOAD_TOPIC, events
        )
        self._task: asyncio.Task[None] | None = None
        link.subscribe(LOAD_TOPIC, self._on_message)

    async def start(self) -> None:
        """Start exchanging."""
        self._task = asyncio.create_task(self._step_forever())

    async def stop(self) -> None:
        """Stop exchanging."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def n_listed(self) -> int:
        """Return the number of targets that are known as loaded."""
        now = self._clock.monotonic()
        return sum(
            len(keys) for keys, until in self._listed_by_pool.values() if now < until
        )

    def record(self, pool: PoolName, key: TargetKey, report: LoadReport) -> None:
        """Record a load report, if its target is loaded or was named as loaded."""
        listed, _ = self._listed_by_pool.get(pool, (frozenset(), _NEVER))
        if is_loaded(report) or key in listed:
            load = ObservedLoad(report, self._clock.monotonic())
            self._pending_by_pool.setdefault(pool, {})[key] = load

    def step(self, now: float) -> None:
        """Send the samples to the owners, and loaded targets to every daemon."""
        for pool in list(self._pending_by_pool):
            self._send_samples(pool, now)
        for pool, tracker in self._trackers_by_pool.items():
            self._send_loaded(pool, tracker, now)

    def _send_samples(self, pool: PoolName, now: float) -> None:
        """Send the latest samples of a pool once their interval has passed."""
        samples = self._pending_by_pool[pool]
        for key, load in list(samples.items()):
            if now - load.observed_at > _MAX_PENDING_S:
                del samples[key]
        owner = self._owner(pool, now)
        if owner == self._link.host.daemon_id:
            for key, load in self._pending_by_pool.pop(pool).items():
                self._tracker(pool).record(key, load)
            return
        interval_s = sample_interval_s(len(self._link.members()))
        if not samples or now - self._sampled_at_by_pool.get(pool, _NEVER) < interval_s:
            return
        self._sampled_at_by_pool[pool] = now
        latest = sorted(samples.items(), key=lambda each: -each[1].observed_at)
        del self._pending_by_pool[pool]
        items = _items(dict(latest[:_MAX_SAMPLES]), now)
        message = LoadSamples(pool, items)
        self._link.send(owner, LOAD_TOPIC, self._encoder.encode(message))

    def _send_loaded(self, pool: PoolName, tracker: LoadTracker, now: float) -> None:
        """Send the loaded targets of a pool; an empty list once they are none."""
        next_at, had_some = self._sent_by_pool.get(pool, (_NEVER, False))
        if now < next_at:
            return
        loaded = tracker.loaded(now)
        if not (loaded or had_some):
            return
        own_id = self._link.host.daemon_id
        daemon_ids = [each for each in self._link.live_ids() if each != own_id]
        listed = dict(list(loaded.items())[: max_listed(len(daemon_ids))])
        items = _items(listed, now)
        self._on_loaded(LoadedTargets(pool, items), now)
        n_bytes = 0
        for group in relay_groups(daemon_ids, self._rng):
            encoded = self._encoder.encode(LoadedTargets(pool, items, group.others))
            self._link.send(group.relay, LOAD_TOPIC, encoded)
            n_bytes += len(encoded)
        self._sent_by_pool[pool] = now + list_interval_s(n_bytes), bool(loaded)

    async def _step_forever(self) -> None:
        while True:
            await asyncio.sleep(_STEP_INTERVAL_S)
            self.step(self._clock.monotonic())

    def _tracker(self, pool: PoolName) -> LoadTracker:
        return self._trackers_by_pool.setdefault(pool, LoadTracker())

    def _on_message(self, origin: DaemonId, payload: bytes) -> None:
        now = self._clock.monotonic()
        message = self._decoder.decode(origin, payload, now)
        if message is None:
            return
        if isinstance(message, LoadSamples):
            tracker = self._tracker(PoolName(message.pool))
            for key, load in _loads(message.samples, now).items():
                tracker.record(key, load)
            return
        if message.relay_to:
            onward = self._encoder.encode(LoadedTargets(message.pool, message.targets))
            others = [DaemonId(each) for each in message.relay_to]
            self._link.send_each(others, LOAD_TOPIC, onward)
        self._on_loaded(message, now)

    def _on_loaded(self, message: LoadedTargets, now: float) -> None:
        pool, until = PoolName(message.pool), now + _LIST_TTL_S
        loads = _loads(message.targets, now)
        self._listed_by_pool[pool] = frozenset(loads), until
        self._apply(pool, loads, now, until)
        self._log(pool, frozenset(loads), now)

    def _log(self, pool: PoolName, keys: frozenset[TargetKey], now: float) -> None:
        logged, at = self._logged_by_pool.get(pool, (frozenset(), _NEVER))
        if keys == logged or now - at < _LOG_INTERVAL_S:
            return
        self._logged_by_pool[pool] = keys, now
        ids = tuple(key.target_id for key in sorted(keys))
        self._events.emit(LoadedTargetsChanged(pool, ids, _LIST_TTL_S))


def _items(
    loads: Mapping[TargetKey, ObservedLoad], now: float
) -> tuple[TargetLoadItem, ...]:
    return tuple(
        (
            key.target_id,
            key.born_ms,
            load.report.n_running,
            load.report.n_waiting,
            load.report.n_slots,
            int((now - load.observed_at) * _MS_PER_S),
        )
        for key, load in loads.items()
    )


def _loads(
    items: tuple[TargetLoadItem, ...], now: float
) -> dict[TargetKey, ObservedLoad]:
    return {
        TargetKey(TargetId(target_id), born_ms): ObservedLoad(
            LoadReport(n_running, n_waiting, n_slots), now - age_ms / _MS_PER_S
        )
        for target_id, born_ms, n_running, n_waiting, n_slots, age_ms in items
    }
