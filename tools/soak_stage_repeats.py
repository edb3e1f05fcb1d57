"""Play trouble of stage targets behind gateway processes over many seeds.

The scenario is that of ``tests/aspendrift_platform/stage_repeats.py``.

    python tools/soak_stage_repeats.py --seeds 1-50
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any, Final

import click
from seeded_soak import play_seeds

ROOT: Final = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests" / "aspendrift_platform"))

from stage_repeats import StageRepeats  # noqa: E402

TROUBLES: Final[dict[str, dict[str, Any]]] = {
    "rejected 0.9": {"rejected_share": 0.9},
    "rejected 0.3": {"rejected_share": 0.3},
    "rejected 0.1": {"rejected_share": 0.1},
    "failed 0.9": {"failed_share": 0.9},
    "failed 0.3": {"failed_share": 0.3},
    "rejected 0.9, kills": {"rejected_share": 0.9, "kill_interval_s": 2.0},
    "failed 0.5, kills": {"failed_share": 0.5, "kill_interval_s": 2.0},
    "kills": {"kill_interval_s": 2.0},
}


@click.command()
@click.option("--seeds", default="1-50", help="First and last seed.")
@click.option("--trouble", "names", multiple=True, type=click.Choice(list(TROUBLES)))
@click.option("--gateways", "n_gateways", default=3)
def main(seeds: str, names: tuple[str, ...], n_gateways: int) -> None:
    """Play the seeds, each with the next trouble; exit with 1 if a check failed."""
    chosen = names or tuple(TROUBLES)

    def make(folder: str, seed: int) -> tuple[str, StageRepeats]:
        name = chosen[seed % len(chosen)]
        play = StageRepeats(folder, seed, **TROUBLES[name], n_gateways=n_gateways)
        return name, play

    play_seeds(seeds, make)


if __name__ == "__main__":
    main()
