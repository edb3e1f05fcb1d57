"""Play a scenario over many seeds, and print a record of each."""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
from collections.abc import Callable
from typing import Any, Final, Protocol

import click

__all__ = ["Scenario", "play_seeds"]

_MAX_SHOWN: Final = 8


class Scenario(Protocol):
    """A play with checks."""

    async def play(self) -> None:
        """Play the scenario."""

    def violations(self) -> list[str]:
        """Return what broke a check."""

    def summary(self) -> dict[str, Any]:
        """Return the figures of the play."""


def play_seeds(seeds: str, make: Callable[[str, int], tuple[str, Scenario]]) -> None:
    """Play seeds one after the other; exit with 1 if a check failed.

    Parameters
    ----------
    seeds : str
        First and last seed, such as ``1-50``.
    make : callable
        Returns the name of the trouble and the scenario for a folder and a seed.
    """
    first, _, last = seeds.partition("-")
    n_failed = 0
    for seed in range(int(first), int(last or first) + 1):
        with tempfile.TemporaryDirectory(prefix="soak-") as folder:
            trouble, scenario = make(folder, seed)
            asyncio.run(scenario.play())
            summary = scenario.summary()
        violations = scenario.violations()
        n_failed += bool(violations)
        record = {
            "seed": seed,
            "trouble": trouble,
            **summary,
            "n_violations": len(violations),
            "violations": violations[:_MAX_SHOWN],
        }
        click.echo(json.dumps(record))
    sys.exit(1 if n_failed else 0)
