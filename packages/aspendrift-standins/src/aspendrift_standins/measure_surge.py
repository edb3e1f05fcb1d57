"""Measures attainment and cost under load surges, against two baseline strategies.

Real daemon processes route requests to stand-in targets. An open-loop sender
follows a seeded plan; latency is measured from the intended send time. The last
line printed is ``RESULT`` and a JSON object with every scenario.
"""

from __future__ import annotations

import asyncio
import itertools
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Final

import click
import msgspec

from aspendrift_model.settings_routing import RoutingStrategy
from aspendrift_standins.fleet import DaemonSpec, Fleet, StandInSpec
from aspendrift_standins.load import LoadSender, RequestRecord
from aspendrift_standins.load_plan import LoadPlan
from aspendrift_standins.surge_result import RunFigures, ScenarioCollector
from aspendrift_standins.surge_scenarios import SCENARIOS, Scenario
from aspendrift_standins.surge_world import Deployment, publish

__all__ = ["SurgeResult", "main"]

_PLATFORM_SERVICES: Final = ("table", "hostlist")
_PRE_SURGE_S: Final = 2.0
_SETTLE_S: Final = 1.0
_LAG_SAMPLE_INTERVAL_S: Final = 0.02
_SEED: Final = 7
_STRATEGIES: Final = tuple(strategy.value for strategy in RoutingStrategy)


class SurgeResult(msgspec.Struct, frozen=True):
    """Figures of every run of one invocation."""

    surge_s: float
    seed: int
    runs: tuple[RunFigures, ...]
    decisions: tuple[dict[str, float], ...] = ()


async def measure(
    strategies: Sequence[str], scenarios: Sequence[Scenario], surge_s: float, seed: int
) -> list[RunFigures]:
    """Run every scenario under every strategy."""
    figures: list[RunFigures] = []
    by_deployment = itertools.groupby(scenarios, lambda each: each.deployment)
    for deployment, group in by_deployment:
        group_scenarios = list(group)
        async with Fleet() as fleet:
            platform = await _start_platform(deployment, fleet)
            for number, strategy in enumerate(strategies):
                daemons = await _start_daemons(deployment, fleet, platform, strategy)
                if number == 0:
                    publish(deployment, fleet, fleet.url(daemons[0]))
                await asyncio.sleep(_SETTLE_S)
                for scenario in group_scenarios:
                    if strategy in scenario.skipped_strategies:
                        continue
                    run = _ScenarioRun(
                        scenario, strategy, fleet, daemons, surge_s, seed
                    )
                    figures.append(await run.measure())
                    _print_figures(figures[-1])
                for daemon in daemons:
                    fleet.kill(daemon)
    return figures


async def _start_platform(deployment: Deployment, fleet: Fleet) -> dict[str, str]:
    specs = [StandInSpec(name, name) for name in _PLATFORM_SERVICES]
    await fleet.start_stand_ins([*specs, *deployment.stand_ins()])
    return {
        "table_url": fleet.url("table"),
        "membership_url": fleet.url("hostlist"),
    }


async def _start_daemons(
    deployment: Deployment, fleet: Fleet, platform: dict[str, str], strategy: str
) -> tuple[str, ...]:
    overlay = {"peers": {"address_keep_s": 2.0}, "routing": {"strategy": strategy}}
    specs = [
        DaemonSpec(
            f"{strategy}-{i + 1}",
            deployment.zones[i % len(deployment.zones)],
            deployment.region,
            overlay,
        )
        for i in range(deployment.n_daemons)
    ]
    await fleet.start_daemons(specs, platform)
    return tuple(spec.daemon_id for spec in specs)


class _ScenarioRun:
    """One scenario under one strategy."""

    def __init__(
        self,
        scenario: Scenario,
        strategy: str,
        fleet: Fleet,
        daemons: tuple[str, ...],
        surge_s: float,
        seed: int,
    ) -> None:
        self._scenario = scenario
        self._strategy = strategy
        self._fleet = fleet
        self._daemons = daemons
        self._surge_s = scenario.surge_s or surge_s
        self._seed = seed

    async def measure(self) -> RunFigures:
        """Send the load before and during the surge, with the fault; return figures."""
        scenario = self._scenario
        collector = ScenarioCollector(scenario, self._strategy, _PRE_SURGE_S)
        surge = max(0.0, scenario.load - scenario.pre_surge_load)
        total_s = _PRE_SURGE_S + self._surge_s
        lag_sampler = asyncio.create_task(_sample_sender_lag(collector))
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(
                self._send("base", scenario.pre_surge_load, 0.0, total_s, collector)
            )
            if surge:
                send = self._send(
                    "surge", surge, _PRE_SURGE_S, self._surge_s, collector
                )
                tasks.create_task(send)
            if scenario.fault is not None:
                tasks.create_task(self._inject_fault())
        lag_sampler.cancel()
        return collector.figures(self._surge_s)

    async def _send(
        self,
        part: str,
        load: float,
        start_s: float,
        duration_s: float,
        collector: ScenarioCollector,
    ) -> None:
        await asyncio.sleep(start_s)
        scenario = self._scenario
        deployment = scenario.deployment
        rate_per_s = (
            load * deployment.generation_capacity_per_s / deployment.generation_share
        )
        is_surge = part == "surge" or scenario.load == scenario.pre_surge_load
        factors = scenario.factors_by_account if is_surge else {}
        plan = LoadPlan(
            f"{self._strategy}-{scenario.name}-{part}".replace(" ", "-"),
            self._seed,
            int(rate_per_s * duration_s),
            rate_per_s,
            deployment.load_profiles(),
            deployment.load_accounts(factors),
        )

        def add(record: RequestRecord) -> None:
            collector.add(record, start_s + record.request.at_s)

        await LoadSender(self._fleet.urls(self._daemons), add).run(plan)

    async def _inject_fault(self) -> None:
        scenario = self._scenario
        await asyncio.sleep(_PRE_SURGE_S)
        assert scenario.fault is not None
        await scenario.fault(
            scenario.deployment, self._fleet, self._daemons, self._surge_s
        )


async def _sample_sender_lag(collector: ScenarioCollector) -> None:
    while True:
        expected_at = time.monotonic() + _LAG_SAMPLE_INTERVAL_S
        await asyncio.sleep(_LAG_SAMPLE_INTERVAL_S)
        collector.add_sender_lag(max(0.0, time.monotonic() - expected_at))


def _print_figures(figures: RunFigures) -> None:
    click.echo(
        f"{figures.scenario:28} {figures.strategy:12} n={figures.n_requests:5}"
        f" attained={figures.attainment:.4f} bound={figures.bound:.4f}"
        f" of bound={figures.of_bound:.3f} with tail={figures.of_bound_with_tail:.3f}"
        f" small={figures.small_attainment:.4f}"
        f" p50={figures.p50_ms:.0f} p99={figures.p99_ms:.0f} ms"
        f" engine-s/answer={figures.engine_s_per_answer:.3f}"
        f" sender lag p99={figures.sender_lag_p99_ms:.0f} ms"
        f" faulty={figures.n_faulty} {figures.outcomes}"
    )


@click.command()
@click.option("--seconds", default=5.0, show_default=True, help="Length of a surge.")
@click.option("--seed", default=_SEED, show_default=True)
@click.option(
    "--strategy",
    "strategies",
    multiple=True,
    type=click.Choice(_STRATEGIES),
    default=_STRATEGIES,
)
@click.option(
    "--scenario", "names", multiple=True, help="Run only these; may be repeated."
)
@click.option("--decisions", type=click.Path(exists=True, path_type=Path))
@click.option("--save", type=click.Path(path_type=Path), help="File for the result.")
def main(
    seconds: float,
    seed: int,
    strategies: tuple[str, ...],
    names: tuple[str, ...],
    decisions: Path | None,
    save: Path | None,
) -> None:
    """Print one line for each run, and the result as the last line."""
    started_at = time.monotonic()
    selected = [each for each in SCENARIOS if not names or each.name in names]
    runs = asyncio.run(measure(strategies, selected, seconds, seed))
    decided = msgspec.json.decode(decisions.read_bytes()) if decisions else ()
    result = SurgeResult(seconds, seed, tuple(runs), tuple(decided))
    encoded = msgspec.json.encode(result)
    if save is not None:
        save.write_bytes(encoded)
    click.echo(f"{time.monotonic() - started_at:.0f} s in total")
    click.echo(f"RESULT {encoded.decode()}")
    sys.exit(0)


if __name__ == "__main__":
    main()
