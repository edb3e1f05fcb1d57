"""Demo: runs, checks and measures the complete request path on real processes."""

from __future__ import annotations

import asyncio
import hashlib
import sys
import time
from collections.abc import Coroutine
from pathlib import Path
from typing import Any, Final

import click
import msgspec

from aspendrift_model.wire_caller import OutcomeBody
from aspendrift_standins.commands import Commands
from aspendrift_standins.demo_report import DemoResult, report_lines, verdict_lines
from aspendrift_standins.demo_world import EXAMPLES, DemoWorld, read_world
from aspendrift_standins.errors import FleetError
from aspendrift_standins.expected import AnswerFault, answer_fault, expected_answer
from aspendrift_standins.fleet import Fleet
from aspendrift_standins.load import LoadSender
from aspendrift_standins.load_plan import LoadAccount, LoadPlan
from aspendrift_standins.load_report import LoadReport

__all__ = ["main", "run_demo"]

_COMMAND_ID: Final = "sent-by-command"
_COMMAND_INPUT: Final = "Passage from Simonstown to Saldanha"
_BASE_RATE_PER_S: Final = 10.0
_BURST_RATE_PER_S: Final = 30.0
_RESEND_SHARE: Final = 0.1


async def run_demo(
    world: DemoWorld, n_requests: int, seed: int, directory: Path | None = None
) -> DemoResult:
    """Start all processes, publish the configuration, send the load and stop."""
    async with Fleet(directory) as fleet:
        await fleet.start_stand_ins(world.stand_ins())
        platform = {
            "table_url": fleet.url("table"),
            "membership_url": fleet.url("hostlist"),
        }
        await fleet.start_daemons(world.daemons(), platform)
        commands = Commands(fleet.urls(fleet.daemon_ids))
        await _publish(world, fleet, commands)
        click.echo(await commands.run("status"))
        click.echo(await commands.run("address", "list"))
        command_fault = await _send_by_command(world, fleet)
        report = LoadReport()
        await _send(world, fleet, report, n_requests, seed)
        runs_by_id = await _runs_by_id(world, fleet)
    return DemoResult(report.summary(), runs_by_id, command_fault)


async def _publish(world: DemoWorld, fleet: Fleet, commands: Commands) -> None:
    """Publish every item by command line; wait until the last is in force."""
    urls_by_id = {each.target_id: fleet.url(each.target_id) for each in world.targets}
    pending: list[Coroutine[Any, Any, object]] = []
    for name, body in world.target_bodies(urls_by_id):
        pending.append(commands.put(fleet.directory, ("target", "add"), name, body))
    for account in world.accounts:
        digest = hashlib.sha256(_token(account.name).encode()).hexdigest()
        options = ["--share", str(account.share), "--token-sha256", digest]
        pending.append(commands.run("account", "add", account.name, *options))
    await asyncio.gather(*pending)
    *first, last = world.profile_files
    publish = ("profile", "publish")
    await asyncio.gather(*(commands.run(*publish, str(path)) for path in first))
    click.echo(await commands.run(*publish, str(last), "--wait"))


async def _send_by_command(world: DemoWorld, fleet: Fleet) -> AnswerFault | None:
    """Send a streamed request with ``aspendrift request send``, check the answer."""
    token = {"ASPENDRIFT_TOKEN": _token(world.accounts[0].name)}
    commands = Commands(fleet.urls(fleet.daemon_ids), token)
    profile = next(each for each in world.load_profiles() if each.idempotent)
    words = ["request", "send", profile.name, "--request-id", _COMMAND_ID]
    words += ["--input", _COMMAND_INPUT, "--stream", "--idempotent"]
    output = await commands.run("--output", "json", *words)
    outcome = msgspec.json.decode(output, type=OutcomeBody)
    expected = expected_answer(_COMMAND_ID, _COMMAND_INPUT, profile.stages)
    return answer_fault(expected, outcome, None)


async def _send(
    world: DemoWorld, fleet: Fleet, report: LoadReport, n_requests: int, seed: int
) -> None:
    """Send a tenth of the requests at a low rate, then the rest as a burst."""
    accounts = tuple(
        LoadAccount(each.name, _token(each.name), each.share) for each in world.accounts
    )
    sender = LoadSender(fleet.urls(fleet.daemon_ids), report.add)
    n_base = n_requests // 10
    phases = (
        ("calm", n_base, _BASE_RATE_PER_S),
        ("burst", n_requests - n_base, _BURST_RATE_PER_S),
    )
    for name, n_phase, rate_per_s in phases:
        plan = LoadPlan(
            name,
            seed,
            n_phase,
            rate_per_s,
            world.load_profiles(),
            accounts,
            resend_share=_RESEND_SHARE,
        )
        await sender.run(plan)


async def _runs_by_id(world: DemoWorld, fleet: Fleet) -> dict[str, int]:
    runs_by_id: dict[str, int] = {}
    for target_id in world.services():
        for request_id, n_runs in (await fleet.get_json(target_id, "/runs")).items():
            runs_by_id[request_id] = runs_by_id.get(request_id, 0) + n_runs
    return runs_by_id


def _token(account: str) -> str:
    return f"{account}-token"


@click.command()
@click.option("--requests", "n_requests", default=300, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--keep",
    type=click.Path(path_type=Path),
    help="Keep settings and logs in a folder.",
)
def main(n_requests: int, seed: int, keep: Path | None) -> None:
    """Run the demo and check every answer; exit with 0 only if all checks pass."""
    started_at = time.monotonic()
    world = read_world(EXAMPLES)
    try:
        result = asyncio.run(run_demo(world, n_requests, seed, keep))
    except FleetError as error:
        raise click.ClickException(str(error)) from error
    for line in report_lines(result):
        click.echo(line)
    click.echo()
    for line in verdict_lines(result):
        click.echo(line)
    click.echo(f"{time.monotonic() - started_at:.1f} s in total")
    sys.exit(0 if result.passed else 1)


if __name__ == "__main__":
    main()
