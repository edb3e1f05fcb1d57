"""Measures the guarantees for single requests under random failures.

Eight daemons and their targets run as processes. A run without failures ("calm")
comes first, then a run in which daemons, the store and targets fail at random.
The last line printed is ``RESULT`` with the figures as JSON; the exit code is 1
if a guarantee was violated.
"""

from __future__ import annotations

import asyncio
import os
import sys
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

import click
import msgspec

from aspendrift_standins.audit import Violation, ViolationKind, audit
from aspendrift_standins.chaos import (
    ChaosEvent,
    ChaosPlan,
    ChaosRunner,
    chaos_events,
)
from aspendrift_standins.fleet import DaemonSpec, Fleet
from aspendrift_standins.load import RequestRecord
from aspendrift_standins.load_plan import LoadPlan, LoadProfile
from aspendrift_standins.load_process import send_from_processes
from aspendrift_standins.load_report import LoadReport, LoadSummary
from aspendrift_standins.runs import RunEvent, read_runs
from aspendrift_standins.world import World, load_profile, small_world, start_world

__all__ = ["OutcomesResult", "main", "measure"]

_SETTLE_S: Final = 3.0
_N_SENDERS: Final = 3
_MAX_VIOLATIONS_SHOWN: Final = 40
_MEAN_FAILURE_GAP_S: Final = 1.5
_RESEND_SHARE: Final = 0.05
_ABANDON_SHARE: Final = 0.02
_WEIGHT_BY_PROFILE: Final = {
    "briefing": 6.0,
    "quote": 2.0,
    "deposit": 1.5,
    "letter": 0.5,
}
_STREAM_SHARE_BY_PROFILE: Final = {"briefing": 0.5, "letter": 0.5}


@dataclass(frozen=True, slots=True)
class OutcomesOptions:
    """Seed and size of the measurement."""

    seed: int
    n_requests: int
    n_calm_requests: int
    rate_per_s: float
    n_daemons: int
    directory: Path | None


class OutcomesResult(msgspec.Struct, frozen=True):
    """Figures of both runs; the first four count violations and must be 0.

    ``load_average_*`` is the load average of the whole machine over the last five
    minutes of each run.
    """

    doubled: int
    crossed: int
    false_not_run: int
    cut: int
    seed: int
    n_daemons: int
    n_requests: int
    n_not_idempotent: int
    n_resends_not_idempotent: int
    n_failures_injected: int
    failures_injected: dict[str, int]
    attainment_calm: float
    attainment_faults: float
    unknown_share_calm: float
    unknown_share_faults: float
    claim_rows_per_s_calm: float
    claim_rows_per_s_faults: float
    claim_added_p50_ms: float
    claim_added_p99_ms: float
    cpu_share_by_role_calm: dict[str, float]
    cpu_share_by_role_faults: dict[str, float]
    load_average_calm: float
    load_average_faults: float
    calm: LoadSummary
    faults: LoadSummary

    @property
    def passed(self) -> bool:
        """Whether no guarantee was violated."""
        return not (self.doubled or self.crossed or self.false_not_run or self.cut)


@dataclass(frozen=True, slots=True)
class _Phase:
    """Records and figures of one run."""

    records: list[RequestRecord]
    summary: LoadSummary
    claim_rows_per_s: float
    cpu_share_by_role: dict[str, float]
    failures: list[ChaosEvent]
    load_average: float


async def measure(options: OutcomesOptions) -> OutcomesResult:
    """Run both phases on a fleet of processes and audit their outcomes."""
    world = small_world()
    async with Fleet(options.directory, stop_grace_s=1.0) as fleet:
        await start_world(fleet, world, _daemons(world, options.n_daemons))
        calm = await _run_phase(fleet, _plan(world, options, calm=True), [])
        _print_summary("calm", calm.summary)
        plan = _plan(world, options, calm=False)
        events = chaos_events(_chaos_plan(fleet, world, plan))
        faults = await _run_phase(fleet, plan, events)
        _print_summary("with faults", faults.summary)
        await asyncio.sleep(_SETTLE_S)
        runs = _read_run_events(fleet, world)
    violations = audit([*calm.records, *faults.records], runs)
    _print_violations(violations)
    return _result(options, calm, faults, violations)


def _daemons(world: World, n_daemons: int) -> list[DaemonSpec]:
    zones = world.zones
    return [
        DaemonSpec(f"daemon-{i + 1}", zones[i % len(zones)], world.region)
        for i in range(n_daemons)
    ]


def _plan(world: World, options: OutcomesOptions, calm: bool) -> LoadPlan:
    return LoadPlan(
        f"{'calm' if calm else 'faults'}-{options.seed}",
        options.seed if calm else options.seed + 1,
        options.n_calm_requests if calm else options.n_requests,
        options.rate_per_s,
        _load_profiles(world),
        world.accounts,
        0.0 if calm else _RESEND_SHARE,
        0.0 if calm else _ABANDON_SHARE,
    )


def _load_profiles(world: World) -> tuple[LoadProfile, ...]:
    return tuple(
        load_profile(
            profile,
            _WEIGHT_BY_PROFILE[profile.name],
            _STREAM_SHARE_BY_PROFILE.get(profile.name, 0.0),
        )
        for profile in world.profiles
    )


def _chaos_plan(fleet: Fleet, world: World, plan: LoadPlan) -> ChaosPlan:
    return ChaosPlan(
        plan.seed,
        plan.n_requests / plan.rate_per_s,
        _MEAN_FAILURE_GAP_S,
        fleet.daemon_ids,
        "table",
        world.target_names(),
    )


async def _run_phase(
    fleet: Fleet, plan: LoadPlan, events: Sequence[ChaosEvent]
) -> _Phase:
    runner = ChaosRunner(fleet)
    cpu_s_by_role = _cpu_s_by_role(fleet)
    n_rows = await _count_claim_rows(fleet)
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(runner.run(events))
        seeds = fleet.urls(fleet.daemon_ids)
        records = await send_from_processes(fleet, seeds, plan, _N_SENDERS)
    duration_s = plan.n_requests / plan.rate_per_s
    for problem in runner.errors:
        click.echo(f"failure not injected: {problem}")
    n_rows = await _count_claim_rows(fleet) - n_rows
    report = LoadReport()
    for record in records:
        report.add(record)
    cpu_share_by_role = {
        role: round(max(0.0, cpu_s - cpu_s_by_role[role]) / duration_s, 3)
        for role, cpu_s in _cpu_s_by_role(fleet).items()
    }
    rows_per_s = round(n_rows / duration_s, 2)
    return _Phase(
        records,
        report.summary(),
        rows_per_s,
        cpu_share_by_role,
        runner.completed,
        round(os.getloadavg()[1], 1),
    )


def _cpu_s_by_role(fleet: Fleet) -> dict[str, float]:
    daemon_ids = set(fleet.daemon_ids)
    cpu_s_by_role = {"daemons": 0.0, "stand-ins": 0.0}
    for name in fleet.names:
        role = "daemons" if name in daemon_ids else "stand-ins"
        cpu_s_by_role[role] += fleet.child(name).cpu_s()
    return cpu_s_by_role


async def _count_claim_rows(fleet: Fleet) -> int:
    counts = await fleet.get_json("table", "/counts")
    by_prefix: dict[str, int] = counts["rows_written_by_prefix"]
    return sum(n for prefix, n in by_prefix.items() if prefix != "config")


def _read_run_events(fleet: Fleet, world: World) -> list[RunEvent]:
    return [
        event
        for name in world.target_names()
        for event in read_runs(str(fleet.runs_file(name)))
    ]


def _result(
    options: OutcomesOptions,
    calm: _Phase,
    faults: _Phase,
    violations: Sequence[Violation],
) -> OutcomesResult:
    counts = Counter(violation.kind for violation in violations)
    records = [*calm.records, *faults.records]
    by_profile = calm.summary.latency_by_profile
    claimed, unclaimed = by_profile.get("deposit"), by_profile.get("quote")
    added_p50, added_p99 = 0.0, 0.0
    if claimed is not None and unclaimed is not None:
        added_p50 = round(claimed.p50_ms - unclaimed.p50_ms, 3)
        added_p99 = round(claimed.p99_ms - unclaimed.p99_ms, 3)
    return OutcomesResult(
        counts[ViolationKind.DOUBLED],
        counts[ViolationKind.CROSSED],
        counts[ViolationKind.FALSE_NOT_RUN],
        counts[ViolationKind.CUT],
        options.seed,
        options.n_daemons,
        len(records),
        sum(not record.request.profile.idempotent for record in records),
        sum(
            record.resent is not None and not record.request.profile.idempotent
            for record in records
        ),
        len(faults.failures),
        dict(Counter(event.kind.value for event in faults.failures)),
        calm.summary.attainment,
        faults.summary.attainment,
        calm.summary.unknown_share,
        faults.summary.unknown_share,
        calm.claim_rows_per_s,
        faults.claim_rows_per_s,
        added_p50,
        added_p99,
        calm.cpu_share_by_role,
        faults.cpu_share_by_role,
        calm.load_average,
        faults.load_average,
        calm.summary,
        faults.summary,
    )


def _print_summary(title: str, summary: LoadSummary) -> None:
    click.echo(
        f"{title}: {summary.n_requests} sent, {summary.n_answered} answered, "
        f"{summary.attainment:.2%} attained, {summary.unknown_share:.2%} unknown"
    )
    delay = summary.sent_late
    click.echo(f"  send delay p50 {delay.p50_ms:.1f} ms  p99 {delay.p99_ms:.1f} ms")
    _print_counts("refused", summary.refusals_by_reason)
    _print_counts("failed", summary.failures_by_reason)
    for name, figures in summary.latency_by_profile.items():
        click.echo(
            f"  {name:<10} p50 {figures.p50_ms:8.1f} ms  p99 {figures.p99_ms:8.1f} ms"
        )


def _print_counts(title: str, counts: dict[str, int]) -> None:
    for reason, n in sorted(counts.items()):
        click.echo(f"  {title} {reason}: {n}")


def _print_violations(violations: Sequence[Violation]) -> None:
    for violation in violations[:_MAX_VIOLATIONS_SHOWN]:
        click.echo(f"{violation.kind.value} {violation.request_id}: {violation.detail}")


@click.command()
@click.option("--seed", default=1, show_default=True, help="Seed of load and failures.")
@click.option(
    "--requests", default=20_000, show_default=True, help="Requests with failures."
)
@click.option("--calm-requests", default=2_000, show_default=True, help="Without.")
@click.option("--rate", default=50.0, show_default=True, help="Requests per second.")
@click.option("--daemons", default=8, show_default=True, help="Daemon processes.")
@click.option(
    "--directory", default=None, help="Directory for settings, logs and run records."
)
def main(**parameters: Any) -> None:
    """Measure outcomes under random failures."""
    directory = parameters["directory"]
    options = OutcomesOptions(
        parameters["seed"],
        parameters["requests"],
        parameters["calm_requests"],
        parameters["rate"],
        parameters["daemons"],
        None if directory is None else Path(directory),
    )
    result = asyncio.run(measure(options))
    click.echo("RESULT " + msgspec.json.encode(result).decode())
    sys.exit(0 if result.passed else 1)


if __name__ == "__main__":
    main()
