"""Keeps the system state current by following the store."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Final

from aspendrift_daemon.events import EventHub
from aspendrift_daemon.interfaces import Clock
from aspendrift_gateway.events import Dependency, DependencyChanged
from aspendrift_gateway.interfaces import StoreRows
from aspendrift_gateway.settings import GatewaySettings
from aspendrift_gateway.store_client import HistoryGone, StoreClient, StoreFailure
from aspendrift_gateway.system_state import SystemState

__all__ = ["DependencyWatch", "StoreReader"]

# Long-poll time of the configuration feed, which answers at once on a change. A dead
# connection is detected after this time plus the timeout of the call.
_CONFIGURATION_LONG_POLL_S: Final = 2.0
# Entries change constantly, so their feed is polled at an interval: half of the time
# within which a draining target must be known, at most this.
_MAX_TARGETS_INTERVAL_S: Final = 1.0
# Share of the store's reads for the feed of targets; the rest is for the other tables
# and for full reads after an outage.
_TARGETS_READS_SHARE: Final = 0.5
# Delay after a failed call: short enough to detect the end of an outage soon, without
# overloading a store in trouble.
_RETRY_DELAY_S: Final = 0.4
# Time without changes after which the feed is assumed to miss some, since entries
# change with every heartbeat; a full read follows.
_FULL_READ_AFTER_S: Final = 2.5


class DependencyWatch:
    """Reports a dependency once when it is lost and once when it recovers."""

    def __init__(self, dependency: Dependency, events: EventHub) -> None:
        self._dependency = dependency
        self._events = events
        self.is_lost = False

    def failed(self, detail: str) -> None:
        """Record a failure."""
        if not self.is_lost:
            self.is_lost = True
            self._events.emit(DependencyChanged(self._dependency, True, detail))

    def succeeded(self) -> None:
        """Record a success."""
        if self.is_lost:
            self.is_lost = False
            self._events.emit(DependencyChanged(self._dependency, False, ""))


class StoreReader:
    """Follows the operators' configuration and the list of targets.

    Parameters
    ----------
    settings : callable
        Returns the settings in force.
    n_daemons : callable
        Returns the number of daemons in view.
    """

    def __init__(
        self,
        store: StoreClient,
        state: SystemState,
        settings: Callable[[], GatewaySettings],
        n_daemons: Callable[[], int],
        clock: Clock,
        events: EventHub,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._state = state
        self._settings = settings
        self._n_daemons = n_daemons
        self._clock = clock
        self._rng = rng
        self._configuration = DependencyWatch(Dependency.STORE_CONFIGURATION, events)
        self._targets = DependencyWatch(Dependency.STORE_TARGETS, events)
        self._feed_version = -1
        self._changed_at = float("-inf")
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start reading both tables."""
        self._run(self._follow(self._read_configuration))
        self._run(self._follow(self._read_targets))

    async def stop(self) -> None:
        """Stop reading."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _run(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(coroutine))

    async def _follow(self, step: Callable[[], Awaitable[float]]) -> None:
        while True:
            delay_s = await step()
            await asyncio.sleep(delay_s * self._rng.uniform(0.9, 1.1))

    async def _read_configuration(self) -> float:
        """Read the configuration once; return the delay before the next read."""
        codec = self._store.codec
        table = codec.configuration_table
        if self._feed_version < 0:
            result = await self._store.read_key(table, codec.configuration_key)
        else:
            result = await self._store.feed(
                table, self._feed_version, _CONFIGURATION_LONG_POLL_S
            )
        if isinstance(result, HistoryGone):
            self._feed_version = -1
            return 0.0
        if isinstance(result, StoreFailure):
            self._configuration.failed(result.detail)
            return _RETRY_DELAY_S
        self._configuration.succeeded()
        self._apply_configuration(result)
        if self._state.table is None:
            return _RETRY_DELAY_S
        self._feed_version = result.version
        return 0.0

    def _apply_configuration(self, result: StoreRows) -> None:
        for row in result.rows:
            if row.key == self._store.codec.configuration_key and row.value is not None:
                self._state.apply_configuration(row.value, "store")
        self._state.configuration_confirmed_at = self._clock.monotonic()

    async def _read_targets(self) -> float:
        """Read the list of targets once; return the delay before the next read."""
        state = self._state
        table = self._store.codec.targets_table
        requested_at = self._clock.monotonic()
        if (
            state.targets_version < 0
            or requested_at - self._changed_at > _FULL_READ_AFTER_S
        ):
            result = await self._store.read_table(table)
            is_full_read = True
        else:
            result = await self._store.feed(table, state.targets_version, 0.0)
            is_full_read = False
        if isinstance(result, HistoryGone):
            self._changed_at = float("-inf")
            return 0.0
        if isinstance(result, StoreFailure):
            self._targets.failed(result.detail)
            return _RETRY_DELAY_S
        self._targets.succeeded()
        now = self._clock.monotonic()
        if is_full_read:
            found = [(row.key, row.value) for row in result.rows if row.value]
            state.replace_targets(
                [(key, value) for key, value in found if value is not None],
                result.version,
                now,
            )
        else:
            state.update_targets(result.rows, result.version, now)
        if result.rows or is_full_read:
            self._changed_at = now
        state.targets_confirmed_at = requested_at
        return max(0.0, self._targets_interval_s() - (now - requested_at))

    def _targets_interval_s(self) -> float:
        """Return the interval between reads of the targets.

        It keeps the daemons together within the store's rate limit; beyond it, the
        store would reject reads of every daemon at times.
        """
        settings = self._settings()
        share_per_s = (
            settings.store_reads_per_s * _TARGETS_READS_SHARE / self._n_daemons()
        )
        desired_s = min(_MAX_TARGETS_INTERVAL_S, settings.drain_s / 2)
        return max(desired_s, 1 / share_per_s)
