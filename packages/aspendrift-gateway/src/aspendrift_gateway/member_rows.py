"""Discovers the other daemons through rows in the platform's store."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Final

import msgspec

from aspendrift_daemon.events import EventHub
from aspendrift_daemon.interfaces import StoreUnavailable
from aspendrift_gateway.events import Dependency
from aspendrift_gateway.interfaces import StoreRows
from aspendrift_gateway.store_client import StoreClient, StoreFailure, Written
from aspendrift_gateway.store_reader import DependencyWatch
from aspendrift_model.decode_errors import DECODE_ERRORS
from aspendrift_model.hosts import Host
from aspendrift_model.wire_platform import HostEntry

__all__ = ["MemberRows"]

_TABLE: Final = "aspendrift-members"
# Interval between attempts to write this daemon's row.
_RETRY_INTERVAL_S: Final = 0.5


class MemberRows:
    """Writes this daemon's row and reads the rows of the others.

    Provides the platform's list of hosts for membership. Rows of daemons that ended
    remain until these start again; such members never answer probes, so callers
    never get their addresses.
    """

    def __init__(
        self, store: StoreClient, events: EventHub, rng: random.Random
    ) -> None:
        self._store = store
        self._rng = rng
        self._watch = DependencyWatch(Dependency.STORE_MEMBERS, events)
        self._write_task: asyncio.Task[None] | None = None
        self._is_leaving = False

    def begin(self, host: Callable[[], Host]) -> None:
        """Start writing this daemon's row; retry until the store accepts it."""
        self._write_task = asyncio.create_task(self._register(host))

    def begin_again(self, host: Callable[[], Host], within_s: float) -> None:
        """Write this daemon's row again, as the store has lost what it had.

        The rows of all daemons are spread over ``within_s``.
        """
        if self._is_leaving:
            return
        if self._write_task is not None:
            self._write_task.cancel()
        delay_s = self._rng.uniform(0.0, within_s)
        self._write_task = asyncio.create_task(self._register(host, delay_s))

    def begin_removal(self, host: Host) -> None:
        """Start removing this daemon's row, once: a stale row is harmless."""
        self._is_leaving = True
        if self._write_task is not None:
            self._write_task.cancel()
        self._write_task = asyncio.create_task(self._remove(host))

    async def stop(self) -> None:
        """Cancel a pending write or removal."""
        if self._write_task is not None:
            self._write_task.cancel()
            await asyncio.gather(self._write_task, return_exceptions=True)

    async def hosts(self) -> tuple[HostEntry, ...] | StoreUnavailable:
        """Return the daemons that have a row."""
        result = await self._store.read_table(_TABLE)
        if not isinstance(result, StoreRows):
            detail = getattr(result, "detail", "history gone")
            self._watch.failed(detail)
            return StoreUnavailable(detail)
        self._watch.succeeded()
        found = [_entry(row.value) for row in result.rows if row.value is not None]
        return tuple(entry for entry in found if entry is not None)

    async def _remove(self, host: Host) -> None:
        result = await self._store.remove(_TABLE, host.daemon_id)
        if isinstance(result, StoreFailure):
            self._watch.failed(result.detail)

    async def _register(self, host: Callable[[], Host], delay_s: float = 0.0) -> None:
        await asyncio.sleep(delay_s)
        while True:
            own_host = host()
            entry = HostEntry(
                own_host.daemon_id,
                own_host.url,
                own_host.peer_endpoint,
                own_host.location.zone,
                own_host.location.region,
                peer_key=own_host.peer_key,
                cores=own_host.capacity.cores,
                link_bits_per_s=own_host.capacity.link_bits_per_s,
            )
            value = msgspec.json.encode(entry)
            if isinstance(
                await self._store.put(_TABLE, own_host.daemon_id, value), Written
            ):
                return
            await asyncio.sleep(_RETRY_INTERVAL_S * self._rng.uniform(0.8, 1.2))


def _entry(value: bytes) -> HostEntry | None:
    """Decode a row; None if it can't be decoded."""
    try:
        return msgspec.json.decode(value, type=HostEntry)
    except DECODE_ERRORS:
        return None
