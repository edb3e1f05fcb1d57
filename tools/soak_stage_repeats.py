"""Play trouble of stage targets behind gateway processes over many seeds.

The scenario is that of ``tests/aspendrift_platform/stage_repeats.py``.

    python tools/soak_stage_repeats.py --seeds 1-50
"""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
from pathlib import Path
from typing import Any, Final

import click

ROOT: Final = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests" / "aspendrift_platform"))

from stage_repeats import STAGE_SERVICES, StageRepeats  # noqa: E402

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
    first, _, last = seeds.partition("-")
    chosen = names or tuple(TROUBLES)
    n_failed = 0
    for seed in range(int(first), int(last or first) + 1):
        name = chosen[seed % len(chosen)]
        with tempfile.TemporaryDirectory(prefix="stage-repeats-") as folder:
            play = StageRepeats(folder, seed, **TROUBLES[name], n_gateways=n_gateways)
            asyncio.run(play.play())
        n_failed += any(play.worst_excess(each) > 0 for each in STAGE_SERVICES)
        record = {"seed": seed, "trouble": name, **play.summary()}
        click.echo(json.dumps(record))
    sys.exit(1 if n_failed else 0)


if __name__ == "__main__":
    main()
