"""Measures how long a configuration change takes to be in force on every daemon.

Runs real daemon processes over a table stand-in. The propagation time of a change
to a daemon runs from the moment at which the first daemon (the one that recorded
it) applied it until that daemon did; both times are read from the daemons' logs.
"""

from __future__ import annotations

import asyncio
import functools
import random
import statistics
import time
from dataclasses import asdict, dataclass
from typing import Any, Final

import click

from aspendrift_standins.fleet import Fleet
from aspendrift_standins.measure_support import (
    AppliedRevision,
    ControlClient,
    applied_events,
    daemon_fleet,
    print_result,
    quantile,
    run_with_retries,
)

__all__ = ["PropagationFigures", "main"]

_IN_FORCE_LIMIT_S: Final = 7.0
_SEED: Final = 7
_SETTLE_TIMEOUT_S: Final = 120.0
_CONFIRM_TIMEOUT_S: Final = 15.0


@dataclass(frozen=True, slots=True)
class PropagationFigures:
    """Figures of one run; times in seconds.

    ``spread_*`` is the propagation time over every daemon and change,
    ``in_force_*`` that to the last daemon of each change, and ``confirmed_*`` the
    time until the operator API reported the change as in force. ``repaired``
    counts daemons that received a change other than by a gossip push.
    """

    n_daemons: int
    lost_share: float
    n_changes: int
    n_missing: int
    spread_p50: float
    spread_p99: float
    in_force_p50: float
    in_force_p99: float
    in_force_max: float
    confirmed_p50: float
    confirmed_max: float
    hops_mean: float
    hops_max: int
    repaired: int
    step_per_hop: float
    settle_s: float


@click.command()
@click.option("--daemons", "sizes", default="8,32,96", help="Numbers of daemons.")
@click.option("--changes", "n_changes", default=30, help="Changes in each run.")
@click.option("--losses", default="0,0.01", help="Shares of peer messages dropped.")
@click.option("--interval", "interval_s", default=0.5, help="Seconds between changes.")
def main(sizes: str, n_changes: int, losses: str, interval_s: float) -> None:
    """Measure each number of daemons with each loss share, one after the other."""
    runs: list[dict[str, Any]] = []
    for n_daemons in (int(size) for size in sizes.split(",")):
        for lost_share in (float(share) for share in losses.split(",")):
            run = functools.partial(_run, n_daemons, lost_share, n_changes, interval_s)
            figures = asdict(run_with_retries(run))
            click.echo(figures)
            runs.append(figures)
    worst = max(run["in_force_max"] for run in runs)
    missing = sum(run["n_missing"] for run in runs)
    holds = worst <= _IN_FORCE_LIMIT_S and missing == 0
    print_result({"limit_s": _IN_FORCE_LIMIT_S, "holds": holds, "runs": runs})


async def _run(
    n_daemons: int, lost_share: float, n_changes: int, interval_s: float
) -> PropagationFigures:
    settings = {"peers": {"test_drop_share": lost_share}}
    async with daemon_fleet(n_daemons, settings) as fleet:
        client = ControlClient(fleet)
        started = time.monotonic()
        await _wait_all_live(fleet, client, n_daemons)
        settle_s = time.monotonic() - started
        rng = random.Random(_SEED)
        change_tasks: list[asyncio.Task[float]] = []
        for number in range(n_changes):
            daemon_id = rng.choice(fleet.daemon_ids)
            change = _time_change(client, daemon_id, f"account-{number}")
            change_tasks.append(asyncio.create_task(change))
            await asyncio.sleep(interval_s)
        confirmed = list(await asyncio.gather(*change_tasks))
        await asyncio.sleep(2 * interval_s)
        await client.close()
        return _figures(fleet, lost_share, n_changes, confirmed, settle_s)


async def _wait_all_live(fleet: Fleet, client: ControlClient, n_daemons: int) -> None:
    """Wait until every daemon sees every other daemon as live."""
    async with asyncio.timeout(_SETTLE_TIMEOUT_S):
        for daemon_id in fleet.daemon_ids:
            while True:
                status = await client.status(daemon_id)
                live = [d for d in status["daemons"] if d["state"] == "live"]
                if len(live) == n_daemons and status["refusal"] is None:
                    break
                await asyncio.sleep(0.2)


async def _time_change(client: ControlClient, daemon_id: str, name: str) -> float:
    """Make a change; return the seconds until the operator API confirms it."""
    started = time.monotonic()
    answer = await client.add_account(daemon_id, name)
    while answer["status"] in ("recorded", "accepted"):
        if time.monotonic() - started > _CONFIRM_TIMEOUT_S:
            break
        await asyncio.sleep(0.05)
        answer = await client.find_change(daemon_id, answer["change_id"])
    return time.monotonic() - started


def _figures(
    fleet: Fleet,
    lost_share: float,
    n_changes: int,
    confirmed: list[float],
    settle_s: float,
) -> PropagationFigures:
    n_daemons = len(fleet.daemon_ids)
    events = applied_events(fleet, fleet.daemon_ids)
    applied_at_by_revision = _first_applied_at(events, n_changes)
    pushed = [event for event in events if event.hops > 0]
    hops = [event.hops for event in pushed]
    delay_and_hops = [
        (event.at - min(applied_at_by_revision[event.revision].values()), event.hops)
        for event in pushed
    ]
    propagation_s: list[float] = []
    in_force_s: list[float] = []
    for applied_at in applied_at_by_revision.values():
        first = min(applied_at.values())
        propagation_s += [at - first for at in applied_at.values()]
        in_force_s.append(max(applied_at.values()) - first)
    n_applied = sum(len(applied_at) for applied_at in applied_at_by_revision.values())
    return PropagationFigures(
        n_daemons,
        lost_share,
        n_changes,
        n_changes * n_daemons - n_applied,
        round(quantile(propagation_s, 0.5), 4),
        round(quantile(propagation_s, 0.99), 4),
        round(quantile(in_force_s, 0.5), 4),
        round(quantile(in_force_s, 0.99), 4),
        round(max(in_force_s), 4),
        round(quantile(confirmed, 0.5), 4),
        round(max(confirmed), 4),
        round(statistics.fmean(hops), 2) if hops else 0.0,
        max(hops, default=0),
        n_applied - len(hops) - len(applied_at_by_revision),
        _delay_per_hop(delay_and_hops),
        round(settle_s, 2),
    )


def _first_applied_at(
    events: list[AppliedRevision], n_changes: int
) -> dict[int, dict[str, float]]:
    """Return when each daemon first applied each revision or a newer one."""
    applied_at: dict[int, dict[str, float]] = {r: {} for r in range(1, n_changes + 1)}
    for event in sorted(events, key=lambda event: event.at):
        for revision in range(1, event.revision + 1):
            applied_at[revision].setdefault(event.daemon_id, event.at)
    return {revision: times for revision, times in applied_at.items() if times}


def _delay_per_hop(delay_and_hops: list[tuple[float, int]]) -> float:
    """Return the median delay per hop of the changes received by gossip push."""
    delays = [delay / hops for delay, hops in delay_and_hops]
    return round(statistics.median(delays), 4) if delays else 0.0


if __name__ == "__main__":
    main()
