"""Keeps the state current: follows the store, or peers that reach it."""

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

# The feed of the configuration answers at once when it changes; a connection that
# went silent is noticed after this wait and the call's own timeout.
_CONFIGURATION_WAIT_S: Final = 2.0
# Entries change all the time, so their feed is read at a pace: half of the time in
# which a target's leaving has to be known, at most this.
_MAX_TARGETS_PACE_S: Final = 1.0
# Share of the store's reads for the feed of targets; the rest is for the other
# tables, and for whole reads after an outage.
_READS_SHARE: Final = 0.5
# Pause after a failed call, so that an outage is noticed to end soon without
# pressing on a store that is in trouble.
_RETRY_S: Final = 0.4
# A feed without any change for this long hides something: entries change with
# every heartbeat.
_QUIET_S: Final = 2.5


class DependencyWatch:
    """Reports a dependency once when it is lost and once when it is back."""

    def __init__(self, dependency: Dependency, events: EventHub) -> None:
        self._dependency = dependency
        self._events = events
        self.is_lost = False

    def failed(self, detail: str) -> None:
        """Note a failure."""
        if not self.is_lost:
            self.is_lost = True
            self._events.emit(DependencyChanged(self._dependency, True, detail))

    def worked(self) -> None:
        """Note a success."""
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
        Returns the daemons in view.
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
        """Begin to follow."""
        self._run(self._follow(self._configuration_step))
        self._run(self._follow(self._targets_step))

    async def stop(self) -> None:
        """Stop."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _run(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(coroutine))

    async def _follow(self, step: Callable[[], Awaitable[float]]) -> None:
        while True:
            pause_s = await step()
            await asyncio.sleep(pause_s * self._rng.uniform(0.9, 1.1))

    async def _configuration_step(self) -> float:
        """Read the configuration once; return the pause before the next read."""
        codec = self._store.codec
        table = codec.configuration_table
        if self._feed_version < 0:
            result = await self._store.read_key(table, codec.configuration_key)
        else:
            result = await self._store.feed(
                table, self._feed_version, _CONFIGURATION_WAIT_S
            )
        if isinstance(result, HistoryGone):
            self._feed_version = -1
            return 0.0
        if isinstance(result, StoreFailure):
            self._configuration.failed(result.detail)
            return _RETRY_S
        self._configuration.worked()
        self._take_configuration(result)
        if self._state.table is None:
            return _RETRY_S
        self._feed_version = result.version
        return 0.0

    def _take_configuration(self, result: StoreRows) -> None:
        for row in result.rows:
            if row.key == self._store.codec.configuration_key and row.value is not None:
                self._state.put_configuration(row.value, "store")
        self._state.configuration_confirmed_at = self._clock.monotonic()

    async def _targets_step(self) -> float:
        """Read the list of targets once; return the pause before the next read."""
        state = self._state
        table = self._store.codec.targets_table
        asked_at = self._clock.monotonic()
        if state.targets_version < 0 or asked_at - self._changed_at > _QUIET_S:
            result = await self._store.read_table(table)
            is_whole = True
        else:
            result = await self._store.feed(table, state.targets_version, 0.0)
            is_whole = False
        if isinstance(result, HistoryGone):
            self._changed_at = float("-inf")
            return 0.0
        if isinstance(result, StoreFailure):
            self._targets.failed(result.detail)
            return _RETRY_S
        self._targets.worked()
        now = self._clock.monotonic()
        if is_whole:
            found = [(row.key, row.value) for row in result.rows if row.value]
            state.replace_targets(
                [(key, value) for key, value in found if value is not None],
                result.version,
                now,
            )
        else:
            state.update_targets(result.rows, result.version, now)
        if result.rows or is_whole:
            self._changed_at = now
        state.targets_confirmed_at = asked_at
        return max(0.0, self._pace_s() - (now - asked_at))

    def _pace_s(self) -> float:
        """Return the time between two reads of the targets.

        Beyond the store's rate every daemon would be turned away at times.
        """
        settings = self._settings()
        share_per_s = settings.store_reads_per_s * _READS_SHARE / self._n_daemons()
        wanted_s = min(_MAX_TARGETS_PACE_S, settings.drain_s / 2)
        return max(wanted_s, 1 / share_per_s)
