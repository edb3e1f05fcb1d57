"""Play planned stops of gateway processes over many seeds.

The scenario is that of ``tests/aspendrift_platform/planned_stops.py``; here a process
that outlives its grace time is killed, as the platform does.

    python tools/soak_planned_stops.py --seeds 1-50
"""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
from pathlib import Path
from typing import Final

import click

ROOT: Final = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests" / "aspendrift_platform"))

from planned_stops import PlannedStops  # noqa: E402


@click.command()
@click.option("--seeds", default="1-50", help="First and last seed.")
@click.option("--grace", "grace_s", default=8.0, help="Grace time in seconds.")
@click.option("--stops", "n_stops", default=3, help="Stops of each seed.")
def main(seeds: str, grace_s: float, n_stops: int) -> None:
    """Play the seeds one after the other; exit with 1 if a check failed."""
    first, _, last = seeds.partition("-")
    n_failed = 0
    for seed in range(int(first), int(last or first) + 1):
        with tempfile.TemporaryDirectory(prefix="planned-stops-") as folder:
            stops = PlannedStops(folder, seed, grace_s, n_stops, kills=True)
            asyncio.run(stops.play())
        violations = stops.violations()
        n_failed += bool(violations)
        record = {"seed": seed, **stops.summary(), "violations": violations[:8]}
        click.echo(json.dumps(record))
    sys.exit(1 if n_failed else 0)


if __name__ == "__main__":
    main()
