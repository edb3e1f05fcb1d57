"""The scenarios of the surge measurement."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Final, TypeAlias

from aspendrift_model.states import TargetKind
from aspendrift_standins.fleet import Fleet
from aspendrift_standins.surge_world import KAAPWIND, REGISTRY, Deployment

__all__ = ["SCENARIOS", "Scenario"]

_FLAP_INTERVAL_S: Final = 0.5
_LONG_SURGE_S: Final = 8.0
_OUTAGE_S: Final = 30.0
_AFTER_OUTAGE_S: Final = 12.0
_GREEDY_FACTOR: Final = 10.0

FaultInjector: TypeAlias = Callable[
    [Deployment, Fleet, tuple[str, ...], float], Awaitable[None]
]


@dataclass(frozen=True, slots=True)
class Scenario:
    """Load and faults of one run.

    Parameters
    ----------
    load : float
        Offered load of requests with generation, relative to engine capacity.
    pre_surge_load : float
        The same, before the surge.
    capacity : float
        Share of the engines' capacity that remains during the fault.
    factors_by_account : mapping of str to float
        Factor by which an account's request rate is multiplied.
    fault : callable or None
        Injects the fault for a number of seconds, then reverts it.
    surge_s : float or None
        Length of the surge, in seconds; None for that of the measurement.
    outage_s : float
        Length of an outage of all engines from the start of the surge, in seconds.
    skipped_strategies : frozenset of str
        Strategies that are not measured, to limit the total run time.
    """

    name: str
    deployment: Deployment
    load: float
    pre_surge_load: float = 0.3
    capacity: float = 1.0
    factors_by_account: Mapping[str, float] = field(default_factory=dict)
    fault: FaultInjector | None = None
    surge_s: float | None = None
    outage_s: float = 0.0
    skipped_strategies: frozenset[str] = frozenset()


def _engines(deployment: Deployment) -> list[str]:
    return [
        target.target_id
        for target in deployment.targets({})
        if target.kind is TargetKind.ENGINE
    ]


async def _slow_stage(
    deployment: Deployment, fleet: Fleet, daemons: tuple[str, ...], duration_s: float
) -> None:
    engines = _engines(deployment)
    await asyncio.gather(*(fleet.switch_faults(e, slow_factor=3.0) for e in engines))
    await asyncio.sleep(duration_s)
    await asyncio.gather(*(fleet.switch_faults(e, slow_factor=1.0) for e in engines))


async def _flapping_target(
    deployment: Deployment, fleet: Fleet, daemons: tuple[str, ...], duration_s: float
) -> None:
    engine = _engines(deployment)[0]
    for _ in range(int(duration_s / _FLAP_INTERVAL_S / 2)):
        await fleet.switch_faults(engine, fail_share=1.0)
        await asyncio.sleep(_FLAP_INTERVAL_S)
        await fleet.switch_faults(engine, fail_share=0.0)
        await asyncio.sleep(_FLAP_INTERVAL_S)


async def _stage_outage(
    deployment: Deployment, fleet: Fleet, daemons: tuple[str, ...], duration_s: float
) -> None:
    engines = _engines(deployment)
    await asyncio.gather(*(fleet.switch_faults(e, refuse_s=_OUTAGE_S) for e in engines))


async def _zone_outage(
    deployment: Deployment, fleet: Fleet, daemons: tuple[str, ...], duration_s: float
) -> None:
    zone = deployment.zones[0]
    lost_targets = [t.target_id for t in deployment.targets({}) if t.zone == zone]
    for daemon in daemons[:: len(deployment.zones)]:
        fleet.kill(daemon)
    await asyncio.gather(
        *(fleet.switch_faults(t, refuse_s=duration_s) for t in lost_targets)
    )
    await asyncio.sleep(duration_s + 0.5)


_GREEDY_WEIGHT: Final = KAAPWIND.weights_by_account["charter"] / sum(
    KAAPWIND.weights_by_account.values()
)
_MODERATE_LOAD: Final = 0.6
_BASELINES: Final = frozenset({"round_robin", "random_limit"})
SCENARIOS: Final = (
    Scenario("steady", KAAPWIND, _MODERATE_LOAD, pre_surge_load=_MODERATE_LOAD),
    Scenario("hour 0.9x", KAAPWIND, 0.9),
    Scenario("hour 1.5x", KAAPWIND, 1.5, surge_s=_LONG_SURGE_S),
    Scenario("hour 3x", KAAPWIND, 3.0, surge_s=_LONG_SURGE_S),
    Scenario(
        "greedy account 10x",
        KAAPWIND,
        _MODERATE_LOAD * (1.0 + _GREEDY_WEIGHT * (_GREEDY_FACTOR - 1.0)),
        pre_surge_load=0.3,
        factors_by_account={"charter": _GREEDY_FACTOR},
        surge_s=_LONG_SURGE_S,
    ),
    Scenario(
        "stage at a third", KAAPWIND, _MODERATE_LOAD, capacity=1 / 3, fault=_slow_stage
    ),
    Scenario(
        "target flapping",
        KAAPWIND,
        _MODERATE_LOAD,
        capacity=5 / 6,
        fault=_flapping_target,
    ),
    Scenario(
        "stage out 30 s",
        KAAPWIND,
        _MODERATE_LOAD,
        pre_surge_load=_MODERATE_LOAD,
        fault=_stage_outage,
        surge_s=_OUTAGE_S + _AFTER_OUTAGE_S,
        outage_s=_OUTAGE_S,
        skipped_strategies=_BASELINES,
    ),
    Scenario("zone gone", KAAPWIND, 0.5, capacity=2 / 3, fault=_zone_outage),
    Scenario("reports 2 s old, hour 1.5x", REGISTRY, 1.5, surge_s=_LONG_SURGE_S),
)
