"""Measures the cost of the control plane per daemon: CPU time, bytes and memory.

Runs real daemon processes, idle and then with changes and restarts at a multiple
of their daily rates. One daemon is restarted; the others are measured. The cost
that changes and restarts add is divided by the multiple. The cost with membership
views of up to 350 members is added from ``tools/measure_view.py``.
"""

from __future__ import annotations

import asyncio
import functools
import json
import random
import subprocess
import sys
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any, Final

import click
import psutil

from aspendrift_standins.fleet import Fleet
from aspendrift_standins.measure_support import (
    ControlClient,
    daemon_fleet,
    print_result,
    run_with_retries,
    slope,
)

__all__ = ["ControlFigures", "main"]

_CHANGES_PER_DAY: Final = 580
_RESTARTS_PER_DAY: Final = 66
_SECONDS_PER_DAY: Final = 86_400
_SPEED_UP: Final = 60
_DESIGN_N_DAEMONS: Final = 350
_CORE_SHARE_LIMIT: Final = 0.041
_BYTES_PER_S_LIMIT: Final = 11_000
_MEMORY_LIMIT_BYTES: Final = 128 * 1024 * 1024
_OVERHEAD_BYTES_PER_MESSAGE: Final = 52 + 52 + 4
_SETTLE_S: Final = 25.0
_RESTART_PAUSE_S: Final = 2.0
_SEED: Final = 7
_VIEW_TOOL: Final = Path("tools") / "measure_view.py"


@dataclass(frozen=True, slots=True)
class _Reading:
    """Totals over the measured daemons at one point in time."""

    at: float
    cpu_s: float
    n_sent: int
    n_received: int
    n_bytes: int
    resident_bytes: int
    n_files: int


@dataclass(frozen=True, slots=True)
class ControlFigures:
    """Cost of the control plane per daemon.

    ``*_core`` is a share of one core. ``*_bytes_per_s`` counts both directions,
    including TCP/IP headers and one TCP acknowledgement for each message.
    ``n_files`` counts open files and sockets.
    """

    n_daemons: int
    idle_core: float
    idle_messages_per_s: float
    idle_bytes_per_s: float
    loaded_core: float
    loaded_bytes_per_s: float
    resident_mb: float
    n_files: float


@click.command()
@click.option("--daemons", "sizes", default="4,16,48,96", help="Numbers of daemons.")
@click.option("--seconds", "window_s", default=20.0, help="Length of each window.")
@click.option(
    "--settings", default="{}", help="Settings that override the defaults, as JSON."
)
@click.option(
    "--view/--no-view", default=True, help="Also measure filled membership views."
)
def main(sizes: str, window_s: float, settings: str, view: bool) -> None:
    """Measure each number of daemons, idle and loaded, one after the other."""
    overlay: dict[str, Any] = json.loads(settings)
    runs: list[ControlFigures] = []
    for n_daemons in (int(size) for size in sizes.split(",")):
        run = functools.partial(_run, n_daemons, window_s, overlay)
        runs.append(run_with_retries(run))
        click.echo(asdict(runs[-1]))
    result: dict[str, Any] = {
        "settings": overlay,
        "runs": [asdict(run) for run in runs],
        "line": _fit_lines(runs),
        "limits": [_CORE_SHARE_LIMIT, _BYTES_PER_S_LIMIT, _MEMORY_LIMIT_BYTES],
    }
    if view:
        result["view"] = _measure_view()
    print_result(result)


async def _run(
    n_daemons: int, window_s: float, settings: dict[str, Any]
) -> ControlFigures:
    async with daemon_fleet(n_daemons, settings) as fleet:
        client = ControlClient(fleet)
        await asyncio.sleep(_SETTLE_S)
        first = await _read(fleet, client)
        await asyncio.sleep(window_s)
        second = await _read(fleet, client)
        load = asyncio.create_task(_apply_load(fleet, client, window_s))
        await asyncio.sleep(window_s)
        third = await _read(fleet, client)
        await load
        await client.close()
    return _figures(n_daemons, first, second, third)


async def _apply_load(fleet: Fleet, client: ControlClient, window_s: float) -> None:
    """Apply changes and restarts at a multiple of their daily rates."""
    rng = random.Random(_SEED)
    window_days = _SPEED_UP * window_s / _SECONDS_PER_DAY
    restarted, observed = fleet.daemon_ids[-1], fleet.daemon_ids[:-1]
    restarts = asyncio.create_task(
        _restart(fleet, restarted, max(1, round(_RESTARTS_PER_DAY * window_days)))
    )
    n_changes = max(1, round(_CHANGES_PER_DAY * window_days))
    for number in range(n_changes):
        await client.add_account(rng.choice(observed), f"account-{number}")
        await asyncio.sleep(0.8 * window_s / n_changes)
    await restarts


async def _restart(fleet: Fleet, daemon_id: str, n_restarts: int) -> None:
    for _ in range(n_restarts):
        fleet.kill(daemon_id)
        await fleet.child(daemon_id).wait_ended(_RESTART_PAUSE_S)
        await asyncio.sleep(_RESTART_PAUSE_S)
        await fleet.restart(daemon_id)


async def _read(fleet: Fleet, client: ControlClient) -> _Reading:
    cpu_s = 0.0
    resident_bytes = n_files = 0
    observed = fleet.daemon_ids[:-1]
    for daemon_id in observed:
        process = psutil.Process(fleet.child(daemon_id).pid)
        times = process.cpu_times()
        cpu_s += times.user + times.system
        resident_bytes += process.memory_info().rss
        n_files += process.num_fds()
    at = time.monotonic()
    links = [(await client.status(each))["link"] for each in observed]
    return _Reading(
        at,
        cpu_s,
        sum(link["n_sent"] for link in links),
        sum(link["n_received"] for link in links),
        sum(link["bytes_sent"] + link["bytes_received"] for link in links),
        resident_bytes,
        n_files,
    )


def _figures(
    n_daemons: int, first: _Reading, second: _Reading, third: _Reading
) -> ControlFigures:
    n_observed = n_daemons - 1
    idle_core, idle_messages, idle_bytes = _rates(n_observed, first, second)
    busy_core, _, busy_bytes = _rates(n_observed, second, third)
    added_core = max(0.0, busy_core - idle_core) / _SPEED_UP
    added_bytes = max(0.0, busy_bytes - idle_bytes) / _SPEED_UP
    return ControlFigures(
        n_daemons,
        round(idle_core, 5),
        round(idle_messages, 2),
        round(idle_bytes, 1),
        round(idle_core + added_core, 5),
        round(idle_bytes + added_bytes, 1),
        round(third.resident_bytes / n_observed / 1024 / 1024, 1),
        round(third.n_files / n_observed, 1),
    )


def _rates(
    n_daemons: int, before: _Reading, after: _Reading
) -> tuple[float, float, float]:
    """Return the core share, messages and bytes per second of one daemon."""
    seconds = (after.at - before.at) * n_daemons
    n_messages = after.n_sent - before.n_sent + after.n_received - before.n_received
    n_bytes = after.n_bytes - before.n_bytes + n_messages * _OVERHEAD_BYTES_PER_MESSAGE
    core = (after.cpu_s - before.cpu_s) / seconds
    return core, n_messages / seconds, n_bytes / seconds


def _fit_lines(runs: list[ControlFigures]) -> dict[str, dict[str, float]]:
    """Fit lines over the number of daemons and extrapolate them to the design size."""
    sizes = [float(run.n_daemons) for run in runs]
    fits: dict[str, dict[str, float]] = {}
    for name in ("loaded_core", "loaded_bytes_per_s", "resident_mb", "n_files"):
        per_daemon, offset = slope(sizes, [getattr(run, name) for run in runs])
        fits[name] = {
            "per_daemon": per_daemon,
            "offset": offset,
            "at_design_size": offset + per_daemon * _DESIGN_N_DAEMONS,
        }
    return fits


def _measure_view() -> dict[str, Any]:
    """Return the costs with filled membership views, measured in a separate process."""
    arguments = [sys.executable, str(_VIEW_TOOL)]
    output = subprocess.run(
        arguments, check=True, capture_output=True, text=True
    ).stdout
    last = output.strip().splitlines()[-1]
    view: dict[str, Any] = json.loads(last.removeprefix("RESULT "))
    return view


if __name__ == "__main__":
    main()
