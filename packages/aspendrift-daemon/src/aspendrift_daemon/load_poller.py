"""Polls the load reports of the targets that this daemon uses."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Final, Protocol

import httpx
import msgspec

from aspendrift_daemon.interfaces import Clock, ConfigurationSource
from aspendrift_model.configuration import Configuration
from aspendrift_model.ids import ModelName, TargetId
from aspendrift_model.settings_routing import RoutingSettings
from aspendrift_model.targets import LoadReport, Target
from aspendrift_model.unreadable import UNREADABLE
from aspendrift_model.wire_target import LoadBody

__all__ = ["LoadPoller", "LoadSink"]

_JITTER_SHARE: Final = 0.2


class LoadSink(Protocol):
    """Takes in what the polls learn."""

    def uses(self, target_id: TargetId) -> bool:
        """Return whether the target's load is of interest."""

    def load_reported(self, report: LoadReport) -> None:
        """Take in a report."""

    def load_missed(self, target_id: TargetId) -> None:
        """Take in that a target did not answer."""


class LoadPoller:
    """Asks each target in use for its load, at jittered intervals.

    Parameters
    ----------
    settings : RoutingSettings
        Interval, timeout and the limit on polls per second.
    clock : Clock
        Measures how long an answer took.
    configuration : ConfigurationSource
        Names the targets.
    client_factory : callable
        Makes the HTTP client, which the poller closes.
    sink : LoadSink
        Takes in the reports.
    rng : random.Random or None
        Source of the jitter.
    """

    def __init__(
        self,
        settings: RoutingSettings,
        clock: Clock,
        configuration: ConfigurationSource,
        client_factory: Callable[[], httpx.AsyncClient],
        sink: LoadSink,
        rng: random.Random | None = None,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._configuration = configuration
        self._client_factory = client_factory
        self._sink = sink
        self._rng = rng or random.Random()
        self._client: httpx.AsyncClient | None = None
        self._tasks_by_url: dict[tuple[TargetId, str], asyncio.Task[None]] = {}

    async def start(self) -> None:
        """Start to poll."""
        self._client = self._client_factory()
        self._configuration.on_change(self._configured)
        self._configured(self._configuration.current())

    async def stop(self) -> None:
        """Stop every poll and close the client."""
        client, self._client = self._client, None
        tasks = list(self._tasks_by_url.values())
        self._tasks_by_url.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if client is not None:
            await client.aclose()

    def interval_s(self) -> float:
        """Return the time between two polls of one target, in seconds."""
        settings = self._settings
        spread_s = len(self._tasks_by_url) / settings.max_polls_per_s
        return max(settings.load_poll_s, spread_s)

    def _configured(self, configuration: Configuration) -> None:
        if self._client is None:
            return
        wanted = {
            (target.target_id, target.url): target
            for target in configuration.targets_by_id.values()
            if self._sink.uses(target.target_id)
        }
        for key in [key for key in self._tasks_by_url if key not in wanted]:
            self._tasks_by_url.pop(key).cancel()
        for key, target in wanted.items():
            if key not in self._tasks_by_url:
                task = asyncio.create_task(self._poll_forever(target))
                self._tasks_by_url[key] = task

    async def _poll_forever(self, target: Target) -> None:
        await asyncio.sleep(self.interval_s() * self._rng.random())
        while self._client is not None:
            await self._poll(self._client, target)
            jitter = 1.0 + _JITTER_SHARE * (2.0 * self._rng.random() - 1.0)
            await asyncio.sleep(self.interval_s() * jitter)

    async def _poll(self, client: httpx.AsyncClient, target: Target) -> None:
        sent_at = self._clock.monotonic()
        try:
            response = await client.get(
                f"{target.url}/v1/load", timeout=self._settings.load_poll_timeout_s
            )
            body = msgspec.json.decode(response.content, type=LoadBody)
        except (httpx.HTTPError, *UNREADABLE):
            self._sink.load_missed(target.target_id)
            return
        one_way_s = (self._clock.monotonic() - sent_at) / 2
        self._sink.load_reported(_report(target, body, one_way_s))


def _report(target: Target, body: LoadBody, one_way_s: float) -> LoadReport:
    return LoadReport(
        target_id=target.target_id,
        active=body.active,
        queued=body.queued,
        slots=body.slots,
        age_ms=body.age_ms + round(1000 * one_way_s),
        busy_s=body.busy_s,
        models=tuple(ModelName(model) for model in body.models),
    )
