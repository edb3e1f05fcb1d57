"""Play changes of the configuration at gateway processes over many seeds.

The scenario is that of ``tests/aspendrift_platform/configuration_changes.py``.

    python tools/soak_configuration.py --seeds 1-50
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Final

import click
from seeded_soak import play_seeds

ROOT: Final = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests" / "aspendrift_platform"))

from configuration_changes import ConfigurationChanges, Trouble  # noqa: E402

TROUBLES: Final = {
    "none": Trouble(),
    "slow": Trouble(delay_s=0.9),
    "hidden": Trouble(hidden_share=0.5),
    "slow,hidden": Trouble(delay_s=0.5, hidden_share=0.5),
    "stops": Trouble(stops=True),
    "freezes": Trouble(freezes=True),
    "all": Trouble(delay_s=0.5, hidden_share=0.5, stops=True, freezes=True),
}


@click.command()
@click.option("--seeds", default="1-50", help="First and last seed.")
@click.option("--trouble", "names", multiple=True, type=click.Choice(list(TROUBLES)))
@click.option("--gateways", "n_gateways", default=4)
@click.option("--changes", "n_changes", default=3, help="Changes of each seed.")
def main(seeds: str, names: tuple[str, ...], n_gateways: int, n_changes: int) -> None:
    """Play the seeds, each with the next trouble; exit with 1 if a check failed."""
    chosen = names or tuple(TROUBLES)

    def make(folder: str, seed: int) -> tuple[str, ConfigurationChanges]:
        name = chosen[seed % len(chosen)]
        return name, ConfigurationChanges(
            folder, seed, TROUBLES[name], n_gateways, n_changes
        )

    play_seeds(seeds, make)


if __name__ == "__main__":
    main()
