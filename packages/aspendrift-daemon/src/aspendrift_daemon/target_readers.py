"""Polls a set of targets at jittered intervals."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Final, Protocol

import httpx

from aspendrift_daemon.interfaces import ConfigurationSource
from aspendrift_model.configuration import Configuration
from aspendrift_model.ids import TargetId
from aspendrift_model.targets import Target

__all__ = ["TargetReader", "TargetReaders"]

_JITTER_SHARE: Final = 0.2


class TargetReader(Protocol):
    """Defines what is read, from which targets and how often."""

    def wants(self, target: Target) -> bool:
        """Return whether a target is read."""

    def interval_s(self, n_targets: int) -> float:
        """Return the time between two reads of one target, in seconds."""

    async def read(self, client: httpx.AsyncClient, target: Target) -> None:
        """Read a target once."""

    def dropped(self, target_id: TargetId) -> None:
        """Handle that a target is no longer read."""


class TargetReaders:
    """Runs one polling loop for each target that the reader wants.

    Parameters
    ----------
    reader : TargetReader
        Performs the reads.
    configuration : ConfigurationSource
        Source of the targets.
    client_factory : callable
        Creates the HTTP client, which `stop` closes.
    rng : random.Random
        Random source of the jitter.
    """

    def __init__(
        self,
        reader: TargetReader,
        configuration: ConfigurationSource,
        client_factory: Callable[[], httpx.AsyncClient],
        rng: random.Random,
    ) -> None:
        self._reader = reader
        self._configuration = configuration
        self._client_factory = client_factory
        self._rng = rng
        self._client: httpx.AsyncClient | None = None
        self._tasks_by_target: dict[tuple[TargetId, str], asyncio.Task[None]] = {}

    async def start(self) -> None:
        """Start the loops."""
        self._client = self._client_factory()
        self._configuration.on_change(self._configured)
        self._configured(self._configuration.current())

    async def stop(self) -> None:
        """Stop all loops and close the client."""
        client, self._client = self._client, None
        tasks = list(self._tasks_by_target.values())
        self._tasks_by_target.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if client is not None:
            await client.aclose()

    def _interval_s(self) -> float:
        return self._reader.interval_s(len(self._tasks_by_target))

    def _configured(self, configuration: Configuration) -> None:
        if self._client is None:
            return
        wanted = {
            (target.target_id, target.url): target
            for target in configuration.targets_by_id.values()
            if self._reader.wants(target)
        }
        for key in [key for key in self._tasks_by_target if key not in wanted]:
            self._tasks_by_target.pop(key).cancel()
            self._reader.dropped(key[0])
        for key, target in wanted.items():
            if key not in self._tasks_by_target:
                task = asyncio.create_task(self._read_forever(target))
                self._tasks_by_target[key] = task

    async def _read_forever(self, target: Target) -> None:
        await asyncio.sleep(self._interval_s() * self._rng.random())
        while self._client is not None:
            await self._reader.read(self._client, target)
            jitter = 1.0 + _JITTER_SHARE * (2.0 * self._rng.random() - 1.0)
            await asyncio.sleep(self._interval_s() * jitter)
