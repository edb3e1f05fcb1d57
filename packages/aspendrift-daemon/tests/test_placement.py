"""Tests of placement against a table and engines in memory."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence

import httpx
import msgspec
import pytest

from aspendrift_daemon.events import Event, EventHub
from aspendrift_daemon.interfaces import (
    Committed,
    Conflict,
    NotWritten,
    RowsRead,
    StoreUnavailable,
    TransactResult,
    WriteUnknown,
)
from aspendrift_daemon.placement import PlacementService, contenders
from aspendrift_daemon.placement_events import OrderEnded, OrderSent
from aspendrift_model.configuration import Configuration
from aspendrift_model.contracts import Contract
from aspendrift_model.hosts import Host
from aspendrift_model.ids import (
    DaemonId,
    ModelName,
    PoolName,
    ProfileName,
    RegionName,
    Revision,
    StageName,
    TargetId,
    ZoneName,
)
from aspendrift_model.profiles import Profile, Stage
from aspendrift_model.settings_routing import PlacementSettings
from aspendrift_model.states import MemberState, StageKind, TargetKind
from aspendrift_model.targets import Target
from aspendrift_model.wire_platform import Condition, Row, Write
from aspendrift_model.wire_target import (
    EngineRole,
    EngineState,
    Order,
    OrderAnswer,
    OrderKind,
)

POOL = PoolName("eng")
DRAFT = ModelName("draft")
STAGE = Stage(StageName("generate"), StageKind.GENERATE, POOL, DRAFT)
PROFILE = Profile(ProfileName("p"), (STAGE,), Contract(1000))


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def monotonic(self) -> float:
        return self.now

    def unix(self) -> float:
        return self.now


class Table:
    """Table in memory that can be down or lose answers."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.version = 0
        self.is_down = False
        self.loses_answers = False

    async def read(self, keys: Sequence[str]) -> RowsRead | StoreUnavailable:
        if self.is_down:
            return StoreUnavailable("down")
        return RowsRead(tuple(self.rows.get(k, Row(k, 0, None)) for k in keys))

    async def scan(
        self, prefix: str, after: str = "", limit: int = 500
    ) -> RowsRead | StoreUnavailable:
        return RowsRead(tuple(r for k, r in self.rows.items() if k.startswith(prefix)))

    async def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> TransactResult:
        if self.is_down:
            return NotWritten("down")
        for condition in conditions:
            row = self.rows.get(condition.key, Row(condition.key, 0, None))
            if row.version != condition.version:
                return Conflict((row,))
        self.version += 1
        for write in writes:
            self.rows[write.key] = Row(write.key, self.version, write.value)
        return WriteUnknown("lost") if self.loses_answers else Committed(self.version)


class Engines:
    """Engines in memory behind an HTTP transport."""

    def __init__(self, checks_fencing: bool) -> None:
        self.models: dict[str, list[str]] = {"e0": ["draft"], "e1": [], "e2": []}
        self.highest = 0
        self.checks_fencing = checks_fencing
        self.orders: list[Order] = []
        self.loses_answers = False

    def handle(self, request: httpx.Request) -> httpx.Response:
        name = request.url.path.split("/")[1]
        if request.method == "GET":
            return self._json(200, self._state(name))
        order = msgspec.json.decode(request.content, type=Order)
        if self.checks_fencing and order.fencing < self.highest:
            answer = OrderAnswer(order.order_id, False, self.highest)
            return self._json(409, answer)
        self.highest = max(self.highest, order.fencing)
        self.orders.append(order)
        if order.kind is OrderKind.LOAD_MODEL and order.model:
            self.models[name].append(order.model)
        if self.loses_answers:
            raise httpx.ReadTimeout("lost")
        return self._json(200, OrderAnswer(order.order_id, True, self.highest))

    def _state(self, name: str) -> EngineState:
        models = tuple(self.models[name])
        return EngineState(EngineRole.BOTH, models, (), (), self.highest)

    def _json(self, status: int, body: msgspec.Struct) -> httpx.Response:
        return httpx.Response(status, content=msgspec.json.encode(body))


class FixedConfiguration:
    def current(self) -> Configuration:
        targets = [
            Target(
                TargetId(f"e{i}"),
                POOL,
                TargetKind.ENGINE,
                f"http://127.0.0.1:1/e{i}",
                ZoneName("abc"[i]),
                RegionName("r"),
                8,
                (DRAFT,),
            )
            for i in range(3)
        ]
        return Configuration(
            Revision(1),
            {PROFILE.name: PROFILE},
            {target.target_id: target for target in targets},
        )

    def on_change(self, listener: Callable[[Configuration], None]) -> None:
        pass


class EmptyBus:
    def subscribe(self, topic: str, handler: object) -> None:
        pass

    def broadcast(self, topic: str, payload: bytes) -> None:
        pass

    def send(self, daemon_id: DaemonId, topic: str, payload: bytes) -> None:
        pass

    def members(self) -> Sequence[tuple[Host, MemberState]]:
        return ()


class Cluster:
    """Placement services of several daemons over one table and the same engines."""

    def __init__(self, *, checks_fencing: bool = True) -> None:
        self.clock = Clock()
        self.table = Table()
        self.engines = Engines(checks_fencing)
        self.events: list[Event] = []

    def service(self, name: str) -> PlacementService:
        hub = EventHub()
        hub.connect_all(self.events.append)
        settings = PlacementSettings(store_forecast_s=1e9)
        transport = httpx.MockTransport(self.engines.handle)
        return PlacementService(
            settings,
            DaemonId(name),
            self.clock,
            FixedConfiguration(),
            EmptyBus(),
            self.table,
            lambda: httpx.AsyncClient(transport=transport),
            lambda pool, model: 4.0,
            hub,
            random.Random(name),
        )

    async def steps(self, n: int, *services: PlacementService) -> None:
        for _ in range(n):
            for service in services:
                await service.step()
            self.clock.now += 1.0

    def sent(self) -> list[OrderSent]:
        return [event for event in self.events if isinstance(event, OrderSent)]


async def started(cluster: Cluster, name: str) -> PlacementService:
    service = cluster.service(name)
    await service.start()
    assert service._task is not None
    service._task.cancel()
    return service


def test_holder_loads_the_missing_replica_and_explains_it() -> None:
    async def run() -> None:
        cluster = Cluster()
        service = await started(cluster, "d1")
        await cluster.steps(5, service)
        assert [order.kind for order in cluster.engines.orders] == [
            OrderKind.LOAD_MODEL
        ]
        (placement,) = service.body().pools
        assert placement.fencing == 1
        engine = next(e for e in placement.engines if e.target_id == "e1")
        assert engine.reasons_by_model == {"draft": "min_replica"}
        await service.stop()

    asyncio.run(run())


@pytest.mark.fault("daemon paused", "order sent", "lease taken")
@pytest.mark.fault("lease lapsed", "order sent", "lease taken", "order answered")
@pytest.mark.parametrize("checks_fencing", [True, False])
def test_paused_holder_sends_nothing_under_its_old_fencing_number(
    checks_fencing: bool,
) -> None:
    async def run() -> None:
        cluster = Cluster(checks_fencing=checks_fencing)
        paused, other = await started(cluster, "d1"), await started(cluster, "d2")
        await cluster.steps(1, paused)
        await cluster.steps(10, other)
        assert cluster.sent()
        cluster.engines.models["e2"].clear()
        cluster.engines.models["e1"].clear()
        n_before = len(cluster.sent())
        await paused.step()
        await cluster.steps(3, paused, other)
        later = cluster.sent()[n_before:]
        assert later
        assert {event.fencing for event in later} == {2}
        await paused.stop()
        await other.stop()

    asyncio.run(run())


@pytest.mark.fault("late answer", "order answered")
def test_order_whose_answer_is_lost_is_reconciled_not_repeated() -> None:
    async def run() -> None:
        cluster = Cluster()
        cluster.engines.loses_answers = True
        service = await started(cluster, "d1")
        await cluster.steps(8, service)
        assert len(cluster.engines.orders) == 1
        ended = [event for event in cluster.events if isinstance(event, OrderEnded)]
        assert [event.result.value for event in ended] == ["unknown"]
        await service.stop()

    asyncio.run(run())


@pytest.mark.fault("store down", "order sent", "lease taken", "order answered")
def test_no_order_is_sent_once_the_lease_ran_out_without_the_store() -> None:
    async def run() -> None:
        cluster = Cluster()
        service = await started(cluster, "d1")
        await cluster.steps(5, service)
        cluster.table.is_down = True
        await cluster.steps(8, service)
        n_before = len(cluster.sent())
        cluster.engines.models["e1"].clear()
        await cluster.steps(3, service)
        assert len(cluster.sent()) == n_before
        assert service.body().pools == ()
        cluster.table.is_down = False
        await cluster.steps(12, service)
        assert len(cluster.sent()) > n_before
        await service.stop()

    asyncio.run(run())


@pytest.mark.fault("store answer lost", "lease taken", "order sent")
def test_takeover_whose_answer_is_lost_is_not_acted_on() -> None:
    async def run() -> None:
        cluster = Cluster()
        cluster.table.loses_answers = True
        service = await started(cluster, "d1")
        await cluster.steps(6, service)
        assert cluster.sent() == []
        cluster.table.loses_answers = False
        await cluster.steps(12, service)
        assert cluster.sent()
        await service.stop()

    asyncio.run(run())


def test_few_daemons_contend_and_a_lost_one_moves_few_pools() -> None:
    daemons = [DaemonId(f"d{i}") for i in range(350)]
    chosen = contenders(POOL, daemons, 3)
    assert len(chosen) == 3
    rest = [daemon for daemon in daemons if daemon != chosen[0]]
    assert contenders(POOL, rest, 3)[:2] == chosen[1:]
