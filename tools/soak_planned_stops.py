"""Play planned stops of gateway processes over many seeds.

The scenario is that of ``tests/aspendrift_platform/planned_stops.py``; here a process
that outlives its grace time is killed, as the platform does.

    python tools/soak_planned_stops.py --seeds 1-50
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Final

import click
from seeded_soak import play_seeds

ROOT: Final = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests" / "aspendrift_platform"))

from planned_stops import PlannedStops  # noqa: E402


@click.command()
@click.option("--seeds", default="1-50", help="First and last seed.")
@click.option("--grace", "grace_s", default=8.0, help="Grace time in seconds.")
@click.option("--stops", "n_stops", default=3, help="Stops of each seed.")
def main(seeds: str, grace_s: float, n_stops: int) -> None:
    """Play the seeds one after the other; exit with 1 if a check failed."""
    play_seeds(
        seeds,
        lambda folder, seed: (
            "stops",
            PlannedStops(folder, seed, grace_s, n_stops, kills=True),
        ),
    )


if __name__ == "__main__":
    main()
