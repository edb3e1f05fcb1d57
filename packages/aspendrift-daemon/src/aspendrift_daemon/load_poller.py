"""Polls the load reports of the targets that this daemon uses."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Protocol

import httpx
import msgspec

from aspendrift_daemon.interfaces import Clock, ConfigurationSource
from aspendrift_daemon.target_readers import TargetReaders
from aspendrift_model.decode_errors import DECODE_ERRORS
from aspendrift_model.ids import ModelName, TargetId
from aspendrift_model.settings_routing import RoutingSettings
from aspendrift_model.targets import LoadReport, Target
from aspendrift_model.wire_target import LoadBody

__all__ = ["LoadPoller", "LoadSink"]


class LoadSink(Protocol):
    """Receives the results of load polls."""

    def uses(self, target_id: TargetId) -> bool:
        """Return whether the load of a target is needed."""

    def load_reported(self, report: LoadReport) -> None:
        """Apply a report."""

    def load_missed(self, target_id: TargetId) -> None:
        """Record that a target did not answer."""


class LoadPoller:
    """Polls the load of each target in use, at jittered intervals.

    Parameters
    ----------
    settings : RoutingSettings
        Interval, timeout and the limit on polls per second.
    clock : Clock
        Measures the round-trip time of a poll.
    configuration : ConfigurationSource
        Source of the targets.
    client_factory : callable
        Creates the HTTP client, which the poller closes.
    sink : LoadSink
        Receives the reports.
    rng : random.Random or None
        Random source of the jitter.
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
        self._sink = sink
        self._readers = TargetReaders(
            self, configuration, client_factory, rng or random.Random()
        )

    async def start(self) -> None:
        """Start polling."""
        await self._readers.start()

    async def stop(self) -> None:
        """Stop polling and close the client."""
        await self._readers.stop()

    def wants(self, target: Target) -> bool:
        """Return whether the load of a target is needed."""
        return self._sink.uses(target.target_id)

    def interval_s(self, n_targets: int) -> float:
        """Return the time between two polls of one target, in seconds."""
        settings = self._settings
        return max(settings.load_poll_s, n_targets / settings.max_polls_per_s)

    async def read(self, client: httpx.AsyncClient, target: Target) -> None:
        """Poll a target once."""
        sent_at = self._clock.monotonic()
        try:
            response = await client.get(
                f"{target.url}/v1/load", timeout=self._settings.load_poll_timeout_s
            )
            body = msgspec.json.decode(response.content, type=LoadBody)
        except (httpx.HTTPError, *DECODE_ERRORS):
            self._sink.load_missed(target.target_id)
            return
        one_way_s = (self._clock.monotonic() - sent_at) / 2
        self._sink.load_reported(_report(target, body, one_way_s))

    def dropped(self, target_id: TargetId) -> None:
        """Handle that a target is no longer polled; nothing is kept per target."""


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
