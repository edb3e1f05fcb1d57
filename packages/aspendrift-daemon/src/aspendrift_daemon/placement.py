"""Placement of models and roles on the engines of every pool."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable, Sequence
from typing import Final

import httpx
import msgspec
import xxhash

from aspendrift_daemon.engine_orders import EngineLink
from aspendrift_daemon.events import EventHub
from aspendrift_daemon.interfaces import (
    Clock,
    ConfigurationSource,
    PeerBus,
    RowsRead,
    TableService,
)
from aspendrift_daemon.lease import LeaseManager
from aspendrift_daemon.placement_pool import PoolPlacer
from aspendrift_model.decode_errors import DECODE_ERRORS
from aspendrift_model.ids import DaemonId, ModelName, PoolName, TargetId
from aspendrift_model.settings_routing import PlacementSettings
from aspendrift_model.states import (
    MemberState,
    ProfileState,
    TargetKind,
    TargetState,
)
from aspendrift_model.targets import Target
from aspendrift_model.wire_placement import PlacementBody
from aspendrift_model.wire_platform import Condition, Write
from aspendrift_policy.fairness import model_key
from aspendrift_policy.forecast import HOUR_S, ForecastRow, HourForecast
from aspendrift_policy.leases import LeaseTimes
from aspendrift_policy.placement import ModelDemand

__all__ = ["PlacementService", "contenders"]

_LEASE_PREFIX: Final = "lease/placement/"
_FORECAST_PREFIX: Final = "forecast/"
_JITTER_SHARE: Final = 0.2

ModelDemandSource = Callable[[PoolName, ModelName], float]
IdleSink = Callable[[frozenset[TargetId]], None]


class PlacementService:
    """Learns the demand by phase of the hour and places models while it holds leases.

    Parameters
    ----------
    settings : PlacementSettings
        Times and bounds.
    daemon_id : DaemonId
        This daemon.
    clock : Clock
        Clocks of the process; the phase of the hour comes from its unix time.
    configuration : ConfigurationSource
        Engines and profiles.
    bus : PeerBus
        Lists the daemons that may contend for a lease.
    table : TableService
        Stores leases and forecasts.
    client_factory : callable
        Creates the HTTP client for engines, which the service closes.
    demand : callable
        Returns the slots that all daemons demand now, by pool and model.
    events : EventHub
        Receives an event for each order.
    rng : random.Random
        Source of the jitter and of the identifier of this run.
    on_idle : callable or None
        Called after each step with the engines that have no role.
    """

    def __init__(
        self,
        settings: PlacementSettings,
        daemon_id: DaemonId,
        clock: Clock,
        configuration: ConfigurationSource,
        bus: PeerBus,
        table: TableService,
        client_factory: Callable[[], httpx.AsyncClient],
        demand: ModelDemandSource,
        events: EventHub,
        rng: random.Random,
        on_idle: IdleSink | None = None,
    ) -> None:
        self._settings = settings
        self._daemon_id = daemon_id
        self._clock = clock
        self._configuration = configuration
        self._bus = bus
        self._table = table
        self._client_factory = client_factory
        self._demand = demand
        self._events = events
        self._rng = rng
        self._on_idle = on_idle
        self._holder = f"{daemon_id}.{rng.getrandbits(48):012x}"
        self._forecast = HourForecast()
        self._placers_by_pool: dict[PoolName, PoolPlacer] = {}
        self._link: EngineLink | None = None
        self._task: asyncio.Task[None] | None = None
        self._stored_at = clock.monotonic()

    async def start(self) -> None:
        """Start to learn the demand and to place models."""
        if not self._settings.enabled:
            return
        self._link = EngineLink(self._client_factory())
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop and release every lease."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
        for placer in self._placers_by_pool.values():
            await placer.release()
        if self._link is not None:
            await self._link.close()

    def body(self) -> PlacementBody:
        """Return the placement of the pools whose lease this daemon holds."""
        snapshots = (
            placer.snapshot(self._engines(pool))
            for pool, placer in self._placers_by_pool.items()
        )
        pools = tuple(each for each in snapshots if each is not None)
        return PlacementBody(self._daemon_id, pools)

    async def step(self) -> None:
        """Record the current demand and step each pool once."""
        self._observe()
        for pool in self._placed_pools():
            placer = self._placer(pool)
            await placer.step(self._engines(pool), self._contends(pool))
        if self._on_idle is not None:
            idle = [p.idle_engines() for p in self._placers_by_pool.values()]
            self._on_idle(frozenset().union(*idle))
        await self._store_forecast()

    async def _run(self) -> None:
        await self._restore_forecast()
        while True:
            await self.step()
            jitter = 1.0 + _JITTER_SHARE * (2.0 * self._rng.random() - 1.0)
            await asyncio.sleep(self._settings.step_s * jitter)

    def _placer(self, pool: PoolName) -> PoolPlacer:
        placer = self._placers_by_pool.get(pool)
        if placer is None:
            settings = self._settings
            times = LeaseTimes(
                settings.lease_s, settings.lease_margin_s, settings.takeover_wait_s
            )
            key = _LEASE_PREFIX + pool
            lease_manager = LeaseManager(
                key, self._holder, times, self._table, self._clock
            )
            assert self._link is not None
            placer = PoolPlacer(
                pool,
                settings,
                lease_manager,
                self._link,
                self._demands,
                self._clock,
                self._events,
            )
            self._placers_by_pool[pool] = placer
        return placer

    def _contends(self, pool: PoolName) -> bool:
        daemons = [
            host.daemon_id
            for host, state in self._bus.members()
            if state is MemberState.LIVE
        ]
        chosen = contenders(pool, daemons, self._settings.n_contenders)
        return self._daemon_id in chosen or not daemons

    def _engines(self, pool: PoolName) -> list[Target]:
        return [
            target
            for target in self._configuration.current().targets_by_id.values()
            if target.pool == pool
            and target.kind is TargetKind.ENGINE
            and target.state is not TargetState.REMOVED
        ]

    def _placed_pools(self) -> list[PoolName]:
        """Return the pools that have engines configured with models."""
        targets = self._configuration.current().targets_by_id.values()
        return sorted(
            {
                target.pool
                for target in targets
                if target.kind is TargetKind.ENGINE and target.models
            }
        )

    def _models(self, pool: PoolName) -> list[ModelName]:
        profiles = self._configuration.current().profiles_by_name.values()
        return sorted(
            {
                stage.model
                for profile in profiles
                if profile.state is ProfileState.PUBLISHED
                for stage in profile.stages
                if stage.pool == pool and stage.model is not None
            }
        )

    def _phase_s(self) -> float:
        return self._clock.unix() % HOUR_S

    def _observe(self) -> None:
        phase_s = self._phase_s()
        for pool in self._placed_pools():
            for model in self._models(pool):
                demand = self._demand(pool, model)
                self._forecast.observe(model_key(pool, model), demand, phase_s)

    def _demands(self, pool: PoolName) -> Sequence[ModelDemand]:
        settings = self._settings
        return [
            ModelDemand(
                model,
                self._demand(pool, model),
                self._forecast.expect(
                    model_key(pool, model),
                    self._phase_s(),
                    settings.ahead_s,
                    settings.keep_s,
                ),
            )
            for model in self._models(pool)
        ]

    async def _store_forecast(self) -> None:
        now = self._clock.monotonic()
        if now - self._stored_at < self._settings.store_forecast_s:
            return
        self._stored_at = now
        rows = self._forecast.rows()
        for pool, placer in self._placers_by_pool.items():
            if placer.lease_manager.may_act():
                await self._store_pool(pool, rows)

    async def _store_pool(self, pool: PoolName, rows: dict[str, ForecastRow]) -> None:
        own = {key: row for key, row in rows.items() if key.startswith(f"{pool}/")}
        key = _FORECAST_PREFIX + pool
        stored = await self._table.read([key])
        if isinstance(stored, RowsRead) and stored.rows:
            value = msgspec.json.encode(own).decode()
            condition = Condition(key, stored.rows[0].version)
            await self._table.transact([condition], [Write(key, value)])

    async def _restore_forecast(self) -> None:
        result = await self._table.scan(_FORECAST_PREFIX)
        if not isinstance(result, RowsRead):
            return
        for row in result.rows:
            try:
                stored = msgspec.json.decode(
                    row.value or "{}", type=dict[str, ForecastRow]
                )
            except DECODE_ERRORS:
                continue
            self._forecast.restore(stored)


def contenders(
    pool: PoolName, daemons: Sequence[DaemonId], n_contenders: int
) -> list[DaemonId]:
    """Return the daemons that contend for a pool's lease, by rendezvous hash."""

    def weight(daemon_id: DaemonId) -> int:
        return xxhash.xxh3_64_intdigest(f"{pool}|{daemon_id}".encode())

    return sorted(daemons, key=weight, reverse=True)[:n_contenders]
