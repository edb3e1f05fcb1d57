"""Keeps the system state current by following the store."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from typing import Any, Final

from aspendrift_daemon.events import EventHub
from aspendrift_daemon.interfaces import Clock
from aspendrift_gateway.events import (
    Dependency,
    DependencyChanged,
    FeedMissedChange,
)
from aspendrift_gateway.interfaces import StoreRows
from aspendrift_gateway.settings import GatewaySettings
from aspendrift_gateway.store_client import HistoryGone, StoreClient, StoreFailure
from aspendrift_gateway.system_state import SystemState
from aspendrift_model.ids import ZoneName
from aspendrift_model.store_rows import NO_POSITION, StorePosition, StoreRow

__all__ = ["DependencyWatch", "StoreReader", "long_poll_s", "targets_interval_s"]

# Long-poll time of the configuration feed, which answers at once on a change: a share
# of the time within which a configuration must be in force, at most this. A dead
# connection is detected after this time plus the timeout of the call.
_LONG_POLL_SHARE: Final = 0.5
_MAX_LONG_POLL_S: Final = 1.5
# Interval at which the configuration is read beside its feed, which may pass a change
# without its row: a share of the time within which a configuration must be in force.
# The rest is for a call that takes long.
_CHECK_INTERVAL_SHARE: Final = 0.5
# Share of the store's reads for these checks.
_CHECK_READS_SHARE: Final = 0.1
# Entries change constantly, so their feed is polled at an interval: a share of the time
# within which a draining target must be known, at most this. The other shares are for
# the daemons that follow a reader, and for replacing one.
_TARGETS_INTERVAL_SHARE: Final = 0.25
_MAX_TARGETS_INTERVAL_S: Final = 1.0
# Share of the store's reads for the feed of targets; the rest is for the other tables
# and for full reads after an outage.
_TARGETS_READS_SHARE: Final = 0.5
# Delay after a failed call: short enough to detect the end of an outage soon, without
# overloading a store in trouble.
_RETRY_DELAY_S: Final = 0.4
# Time after which the feed of the targets is checked with a full read; longer for a
# long list, so that these checks read a bounded number of entries a second.
_FULL_READ_AFTER_S: Final = 2.5
_CHECKED_ENTRIES_PER_S: Final = 50.0


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


def long_poll_s(settings: GatewaySettings) -> float:
    """Return the time that one call of the configuration feed waits for a change."""
    return min(_MAX_LONG_POLL_S, settings.configuration_s * _LONG_POLL_SHARE)


def check_interval_s(settings: GatewaySettings, n_readers: int) -> float:
    """Return the interval between reads of the whole configuration."""
    share_per_s = settings.store_reads_per_s * _CHECK_READS_SHARE / n_readers
    return max(settings.configuration_s * _CHECK_INTERVAL_SHARE, 1 / share_per_s)


def targets_interval_s(settings: GatewaySettings) -> float:
    """Return the interval between reads of the targets."""
    return min(_MAX_TARGETS_INTERVAL_S, settings.drain_s * _TARGETS_INTERVAL_SHARE)


class StoreReader:
    """Reads the operators' configuration, evacuated zones and the list of targets.

    It follows both while this is asked of it; otherwise it reads them on request.

    Parameters
    ----------
    settings : callable
        Returns the settings in force.
    n_readers : callable
        Returns the number of daemons that follow the store.
    """

    def __init__(
        self,
        store: StoreClient,
        state: SystemState,
        settings: Callable[[], GatewaySettings],
        n_readers: Callable[[], int],
        clock: Clock,
        events: EventHub,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._state = state
        self._settings = settings
        self._n_readers = n_readers
        self._clock = clock
        self._events = events
        self._rng = rng
        self._configuration = DependencyWatch(Dependency.STORE_CONFIGURATION, events)
        self._targets = DependencyWatch(Dependency.STORE_TARGETS, events)
        self._feed_position = NO_POSITION
        self._is_configuration_confirmed = False
        self._read_fully_at = float("-inf")
        self._targets_checked_at = float("-inf")
        self._following = asyncio.Event()
        self._following.set()
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def is_following(self) -> bool:
        """Whether the tables are followed."""
        return self._following.is_set()

    def follow(self, is_wanted: bool) -> None:
        """Start or stop following both tables."""
        if is_wanted and not self.is_following:
            self._targets_checked_at = self._clock.monotonic()
            self._following.set()
        elif not is_wanted:
            self._following.clear()

    async def read_once(self) -> bool:
        """Read what changed in both tables; return whether the store answered."""
        if not await self._read_whole_configuration(restarts_feed=False):
            return False
        return await self._update_targets(is_checked=False)

    async def start(self) -> None:
        """Start reading both tables."""
        self._run(self._follow(self._read_configuration))
        self._run(self._follow(self._check_when_due))
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
            await self._following.wait()
            delay_s = await step()
            await asyncio.sleep(delay_s * self._rng.uniform(0.9, 1.1))

    async def _read_configuration(self) -> float:
        """Wait for a change of the configuration; return the delay before the next.

        An answer with a change may have been on its way for long, so that the next call
        does not wait.
        """
        is_confirmed = self._is_configuration_confirmed
        wait_s = long_poll_s(self._settings()) if is_confirmed else 0.0
        if not await self._update_configuration(wait_s):
            return _RETRY_DELAY_S
        return _RETRY_DELAY_S if self._state.table is None else 0.0

    async def _check_when_due(self) -> float:
        """Wait until the next check of the configuration is due, and perform it.

        While the store fails, the feed alone is tried.
        """
        interval_s = check_interval_s(self._settings(), self._n_readers())
        due_s = self._read_fully_at + interval_s - self._clock.monotonic()
        if due_s > 0.0:
            await asyncio.sleep(due_s)
        elif self._configuration.is_lost:
            await asyncio.sleep(interval_s)
        else:
            await self._read_whole_configuration(restarts_feed=False)
        return 0.0

    async def _read_whole_configuration(self, *, restarts_feed: bool) -> bool:
        """Read the whole configuration; return whether the store answered.

        One read of the table, so that evacuations and configuration are as of one
        position. The feed goes on from there if it has to, or if the store came back
        from a copy.
        """
        state = self._state
        known_version = state.configuration_version
        known_position = self._feed_position
        requested_at = self._clock.monotonic()
        self._read_fully_at = requested_at
        result = await self._store.read_table(self._store.codec.configuration_table)
        if not isinstance(result, StoreRows):
            self._configuration.failed(getattr(result, "detail", "history gone"))
            return False
        self._configuration.succeeded()
        self._apply_rows(result, is_full_read=True)
        if result.position >= known_position:
            # Otherwise the rows are older than what the feed told before.
            self._confirm(result, requested_at)
        at = self._feed_position
        if restarts_feed or (at != NO_POSITION and result.era > at.era):
            is_complete = state.table is not None
            self._feed_position = result.position if is_complete else NO_POSITION
        is_newer = state.configuration_version > known_version >= 0
        if is_newer and self._has_passed(result, known_position):
            self._events.emit(
                FeedMissedChange(known_version, state.configuration_version)
            )
        return True

    def _has_passed(self, result: StoreRows, position: StorePosition) -> bool:
        """Return whether a position is not before the configuration's row."""
        return any(
            StorePosition(result.era, row.version) <= position
            for row in result.rows
            if row.key == self._store.codec.configuration_key
        )

    async def _read_targets(self) -> float:
        """Read the targets; return the delay before the next read."""
        started_at = self._clock.monotonic()
        if not await self._update_targets(is_checked=True):
            return _RETRY_DELAY_S
        return max(0.0, self._interval_s() - (self._clock.monotonic() - started_at))

    async def _update_configuration(self, wait_s: float) -> bool:
        """Read the changes of the configuration; return whether the store answered."""
        after = self._feed_position
        result: StoreRows | HistoryGone | StoreFailure = HistoryGone()
        requested_at = self._clock.monotonic()
        if after != NO_POSITION:
            table = self._store.codec.configuration_table
            result = await self._feed(table, after, wait_s)
        if isinstance(result, HistoryGone):
            if self._feed_position != after:
                # A check has read the table of the new era meanwhile.
                return True
            if not await self._read_whole_configuration(restarts_feed=True):
                return False
            self._is_configuration_confirmed = True
            return True
        if isinstance(result, StoreFailure):
            self._configuration.failed(result.detail)
            return False
        self._configuration.succeeded()
        self._apply_rows(result, is_full_read=False)
        self._is_configuration_confirmed = not result.rows
        read_at = requested_at
        if not result.rows:
            # The store answered after the whole wait at the earliest.
            read_at = min(requested_at + wait_s, self._clock.monotonic())
        self._confirm(result, read_at)
        self._feed_position = result.position
        return True

    def _confirm(self, result: StoreRows, read_at: float) -> None:
        """Record that the configuration and the evacuations were current at a time."""
        state = self._state
        state.configuration_confirmed_at = max(
            state.configuration_confirmed_at, read_at
        )
        if result.era == state.evacuations.position.era:
            state.evacuations_confirmed_at = max(
                state.evacuations_confirmed_at, read_at
            )

    def _apply_rows(self, result: StoreRows, is_full_read: bool) -> None:
        """Apply rows of the configuration's table."""
        for row in result.rows:
            if row.key == self._store.codec.configuration_key and row.value is not None:
                self._state.apply_configuration(row.value, "store")
        now = self._clock.monotonic()
        found = self._is_evacuated_by_zone(result.rows)
        if is_full_read:
            zones = {zone for zone, is_evacuated in found.items() if is_evacuated}
            self._state.apply_evacuations(zones, result.position, "store", now)
        else:
            self._state.update_evacuations(found, result.position, "store", now)

    def _is_evacuated_by_zone(self, rows: Sequence[StoreRow]) -> dict[ZoneName, bool]:
        found: dict[ZoneName, bool] = {}
        for row in rows:
            zone = self._store.codec.evacuated_zone(row.key)
            if zone is not None:
                found[zone] = row.value is not None
        return found

    async def _feed(
        self, table: str, after: StorePosition, wait_s: float
    ) -> StoreRows | HistoryGone | StoreFailure:
        """Read the changes after a position; there are none for one of another era."""
        result = await self._store.feed(table, after.version, wait_s)
        if isinstance(result, StoreRows) and result.era != after.era:
            return HistoryGone()
        return result

    async def _update_targets(self, is_checked: bool) -> bool:
        """Read the targets; return whether the store answered.

        If the list is followed, ``is_checked`` verifies its feed at intervals by
        reading the complete list.
        """
        state = self._state
        table = self._store.codec.targets_table
        requested_at = self._clock.monotonic()
        check_after_s = max(
            _FULL_READ_AFTER_S, state.n_targets / _CHECKED_ENTRIES_PER_S
        )
        is_suspect = (
            is_checked and requested_at - self._targets_checked_at > check_after_s
        )
        result: StoreRows | HistoryGone | StoreFailure = HistoryGone()
        if state.targets_position != NO_POSITION and not is_suspect:
            result = await self._feed(table, state.targets_position, 0.0)
        is_full_read = isinstance(result, HistoryGone)
        if is_full_read:
            requested_at = self._clock.monotonic()
            result = await self._store.read_table(table)
        if not isinstance(result, StoreRows):
            self._targets.failed(getattr(result, "detail", "history gone"))
            return False
        self._targets.succeeded()
        now = self._clock.monotonic()
        if is_full_read:
            found = [(row.key, row.value) for row in result.rows if row.value]
            state.replace_targets(
                [(key, value) for key, value in found if value is not None],
                result.position,
                now,
            )
        else:
            state.update_targets(result.rows, result.position, now)
        if is_full_read:
            self._targets_checked_at = now
        state.targets_confirmed_at = max(state.targets_confirmed_at, requested_at)
        return True

    def _interval_s(self) -> float:
        """Return the interval between reads of the targets.

        It keeps the readers together within the store's rate limit; beyond it, the
        store would reject reads of every daemon at times.
        """
        settings = self._settings()
        share_per_s = (
            settings.store_reads_per_s * _TARGETS_READS_SHARE / self._n_readers()
        )
        return max(targets_interval_s(settings), 1 / share_per_s)
