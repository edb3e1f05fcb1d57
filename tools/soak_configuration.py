"""Play changes of the configuration at gateway processes over many seeds.

The scenario is that of ``tests/aspendrift_platform/configuration_changes.py``.

    python tools/soak_configuration.py --seeds 1-50
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
    first, _, last = seeds.partition("-")
    chosen = names or tuple(TROUBLES)
    n_failed = 0
    for seed in range(int(first), int(last or first) + 1):
        name = chosen[seed % len(chosen)]
        with tempfile.TemporaryDirectory(prefix="configuration-") as folder:
            changes = ConfigurationChanges(
                folder, seed, TROUBLES[name], n_gateways, n_changes
            )
            asyncio.run(changes.play())
            summary = changes.summary()
        violations = changes.violations()
        n_failed += bool(violations)
        record = {"seed": seed, "trouble": name, "n_violations": len(violations)}
        record |= {**summary, "violations": violations[:4]}
        click.echo(json.dumps(record))
    sys.exit(1 if n_failed else 0)


if __name__ == "__main__":
    main()
