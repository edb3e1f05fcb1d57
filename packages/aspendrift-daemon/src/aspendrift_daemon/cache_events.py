"""Reads the cache events of engines into hints for the router."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Final

import httpx
import msgspec

from aspendrift_daemon.interfaces import ConfigurationSource
from aspendrift_daemon.load_poller import LoadSink
from aspendrift_model.configuration import Configuration
from aspendrift_model.ids import PrefixKey, TargetId
from aspendrift_model.settings_routing import RoutingSettings
from aspendrift_model.states import TargetKind
from aspendrift_model.targets import Target
from aspendrift_model.unreadable import UNREADABLE
from aspendrift_model.wire_target import CacheEvents
from aspendrift_policy.affinity import CacheHints

__all__ = ["CacheEventReader"]

_JITTER_SHARE: Final = 0.2


class CacheEventReader:
    """Follows the cache events of each engine in use.

    After a gap in the numbers what was known of the engine is dropped; a hint
    that is wrong costs a cache miss and nothing else.

    Parameters
    ----------
    settings : RoutingSettings
        Interval, timeout and the limit on polls per second.
    configuration : ConfigurationSource
        Names the engines.
    client_factory : callable
        Makes the HTTP client, which the reader closes.
    hints : CacheHints
        Takes in the events.
    sink : LoadSink
        Says which targets are in use.
    rng : random.Random
        Source of the jitter.
    """

    def __init__(
        self,
        settings: RoutingSettings,
        configuration: ConfigurationSource,
        client_factory: Callable[[], httpx.AsyncClient],
        hints: CacheHints,
        sink: LoadSink,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._configuration = configuration
        self._client_factory = client_factory
        self._hints = hints
        self._sink = sink
        self._rng = rng
        self._client: httpx.AsyncClient | None = None
        self._tasks_by_url: dict[tuple[TargetId, str], asyncio.Task[None]] = {}
        self._seq_by_id: dict[TargetId, int] = {}

    async def start(self) -> None:
        """Start to read."""
        self._client = self._client_factory()
        self._configuration.on_change(self._configured)
        self._configured(self._configuration.current())

    async def stop(self) -> None:
        """Stop every read and close the client."""
        client, self._client = self._client, None
        tasks = list(self._tasks_by_url.values())
        self._tasks_by_url.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if client is not None:
            await client.aclose()

    def take(self, target_id: TargetId, answer: CacheEvents) -> None:
        """Take in one answer of an engine."""
        seen = self._seq_by_id.get(target_id, 0)
        has_gap = answer.oldest > seen + 1
        if has_gap:
            self._hints.forget([target_id])
        for event in answer.events:
            if event.seq <= seen:
                continue
            seen = event.seq
            key = PrefixKey(event.prefix_key)
            if event.cached:
                self._hints.cached(target_id, key)
            else:
                self._hints.evicted(target_id, key)
        self._seq_by_id[target_id] = seen

    def _interval_s(self) -> float:
        spread_s = len(self._tasks_by_url) / self._settings.max_polls_per_s
        return max(self._settings.cache_poll_s, 2.0 * spread_s)

    def _configured(self, configuration: Configuration) -> None:
        if self._client is None:
            return
        wanted = {
            (target.target_id, target.url): target
            for target in configuration.targets_by_id.values()
            if target.kind is TargetKind.ENGINE and self._sink.uses(target.target_id)
        }
        for key in [key for key in self._tasks_by_url if key not in wanted]:
            self._tasks_by_url.pop(key).cancel()
            self._hints.forget([key[0]])
            self._seq_by_id.pop(key[0], None)
        for key, target in wanted.items():
            if key not in self._tasks_by_url:
                task = asyncio.create_task(self._read_forever(target))
                self._tasks_by_url[key] = task

    async def _read_forever(self, target: Target) -> None:
        await asyncio.sleep(self._interval_s() * self._rng.random())
        while self._client is not None:
            await self._read(self._client, target)
            jitter = 1.0 + _JITTER_SHARE * (2.0 * self._rng.random() - 1.0)
            await asyncio.sleep(self._interval_s() * jitter)

    async def _read(self, client: httpx.AsyncClient, target: Target) -> None:
        after = self._seq_by_id.get(target.target_id, 0)
        try:
            response = await client.get(
                f"{target.url}/v1/cache-events",
                params={"after": after},
                timeout=self._settings.load_poll_timeout_s,
            )
            answer = msgspec.json.decode(response.content, type=CacheEvents)
        except (httpx.HTTPError, *UNREADABLE):
            return
        self.take(target.target_id, answer)
