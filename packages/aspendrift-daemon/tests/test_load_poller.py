"""Tests of load polling."""

from __future__ import annotations

import asyncio
import random

import httpx
import msgspec
import pytest

from aspendrift_daemon.clock import SystemClock
from aspendrift_daemon.load_poller import LoadPoller
from aspendrift_model.configuration import Configuration
from aspendrift_model.ids import PoolName, RegionName, TargetId, ZoneName
from aspendrift_model.settings_routing import RoutingSettings
from aspendrift_model.states import TargetKind
from aspendrift_model.targets import LoadReport, Target
from aspendrift_model.wire_target import LoadBody


class Sink:
    def __init__(self) -> None:
        self.reports: list[LoadReport] = []
        self.missed: list[TargetId] = []
        self.changed = asyncio.Event()

    def uses(self, target_id: TargetId) -> bool:
        return target_id != "unused"

    def load_reported(self, report: LoadReport) -> None:
        self.reports.append(report)
        self.changed.set()

    def load_missed(self, target_id: TargetId) -> None:
        self.missed.append(target_id)
        self.changed.set()


class FixedConfiguration:
    def current(self) -> Configuration:
        targets = [
            Target(
                TargetId(name),
                PoolName("enc"),
                TargetKind.STAGE_POOL,
                f"http://127.0.0.1:1/{name}",
                ZoneName("a"),
                RegionName("r"),
            )
            for name in ("good", "bad", "unused")
        ]
        return Configuration(targets_by_id={t.target_id: t for t in targets})

    def on_change(self, listener: object) -> None:
        pass


def answer(request: httpx.Request) -> httpx.Response:
    if "bad" in request.url.path:
        raise httpx.ConnectError("refused")
    return httpx.Response(200, content=msgspec.json.encode(LoadBody(3, 1, 8, 200)))


@pytest.mark.fault("target crashing", "request sent")
def test_reports_and_misses_of_targets_in_use_reach_the_sink() -> None:
    async def run() -> None:
        sink = Sink()
        transport = httpx.MockTransport(answer)
        poller = LoadPoller(
            RoutingSettings(load_poll_s=0.01, max_polls_per_s=1000.0),
            SystemClock(),
            FixedConfiguration(),
            lambda: httpx.AsyncClient(transport=transport),
            sink,
            random.Random(1),
        )
        await poller.start()
        while not (sink.reports and sink.missed):
            sink.changed.clear()
            await sink.changed.wait()
        await poller.stop()
        report = sink.reports[0]
        assert (report.target_id, report.active, report.queued) == ("good", 3, 1)
        assert report.age_ms >= 200
        assert set(sink.missed) == {TargetId("bad")}

    asyncio.run(run())
