"""Polls the cache events of engines and turns them into routing hints."""

from __future__ import annotations

import random
from collections.abc import Callable

import httpx
import msgspec

from aspendrift_daemon.interfaces import ConfigurationSource
from aspendrift_daemon.load_poller import LoadSink
from aspendrift_daemon.target_readers import TargetReaders
from aspendrift_model.decode_errors import DECODE_ERRORS
from aspendrift_model.ids import PrefixKey, TargetId
from aspendrift_model.settings_routing import RoutingSettings
from aspendrift_model.states import TargetKind
from aspendrift_model.targets import Target
from aspendrift_model.wire_target import CacheEvents
from aspendrift_policy.affinity import CacheHints

__all__ = ["CacheEventReader"]


class CacheEventReader:
    """Polls the cache events of each engine in use.

    After a gap in the sequence numbers, the hints about the engine are dropped.
    A wrong hint costs no more than a cache miss.

    Parameters
    ----------
    settings : RoutingSettings
        Interval, timeout and the limit on polls per second.
    configuration : ConfigurationSource
        Source of the engines.
    client_factory : callable
        Creates the HTTP client, which the reader closes.
    hints : CacheHints
        Receives the events.
    sink : LoadSink
        Tells which targets are in use.
    rng : random.Random
        Random source of the jitter.
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
        self._hints = hints
        self._sink = sink
        self._readers = TargetReaders(self, configuration, client_factory, rng)
        self._seq_by_id: dict[TargetId, int] = {}

    async def start(self) -> None:
        """Start polling."""
        await self._readers.start()

    async def stop(self) -> None:
        """Stop polling and close the client."""
        await self._readers.stop()

    def wants(self, target: Target) -> bool:
        """Return whether a target is an engine in use."""
        return target.kind is TargetKind.ENGINE and self._sink.uses(target.target_id)

    def interval_s(self, n_targets: int) -> float:
        """Return the time between two reads of one engine, in seconds."""
        settings = self._settings
        return max(settings.cache_poll_s, 2.0 * n_targets / settings.max_polls_per_s)

    def dropped(self, target_id: TargetId) -> None:
        """Drop the hints about an engine that is no longer polled."""
        self._hints.remove_targets([target_id])
        self._seq_by_id.pop(target_id, None)

    def apply(self, target_id: TargetId, answer: CacheEvents) -> None:
        """Apply one answer of an engine."""
        last_seq = self._seq_by_id.get(target_id, 0)
        has_gap = answer.oldest > last_seq + 1
        if has_gap:
            self._hints.remove_targets([target_id])
        for event in answer.events:
            if event.seq <= last_seq:
                continue
            last_seq = event.seq
            key = PrefixKey(event.prefix_key)
            if event.cached:
                self._hints.record_cached(target_id, key)
            else:
                self._hints.record_evicted(target_id, key)
        self._seq_by_id[target_id] = last_seq

    async def read(self, client: httpx.AsyncClient, target: Target) -> None:
        """Poll the events of an engine once."""
        after = self._seq_by_id.get(target.target_id, 0)
        try:
            response = await client.get(
                f"{target.url}/v1/cache-events",
                params={"after": after},
                timeout=self._settings.load_poll_timeout_s,
            )
            answer = msgspec.json.decode(response.content, type=CacheEvents)
        except (httpx.HTTPError, *DECODE_ERRORS):
            return
        self.apply(target.target_id, answer)
