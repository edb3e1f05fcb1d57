"""Run the users' bench if it is installed and print one line of results.

The bench is not part of the project. If it is absent, the script says so and exits
with code 0, so that it can be part of a list of checks.
"""

from __future__ import annotations

import re
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

import click
import msgspec

KIT: Final = Path(__file__).resolve().parents[2] / "given/kit/more/system"
SITES: Final = ("kaapwind-fleet", "gcfr-aspendrift")
_SCORE: Final = re.compile(r"^score on the standard days of \S+ .*: (-?[0-9.]+)")
# Line of one day: name, hosts/targets, score, worth.
_DAY: Final = re.compile(r"^(\S.*?)\s+\d+/\d+\s+-?[0-9.]+\s+(-?[0-9.]+)\s")
_BROKEN: Final = re.compile(r"BROKEN: ([^(]+)")


@dataclass(slots=True)
class Result:
    """Results of the bench for one site."""

    site: str
    gate: str = "not run"
    score: float | None = None
    worth_by_day: dict[str, float] = field(default_factory=dict)
    broken_by_day: dict[str, str] = field(default_factory=dict)


def read_result(site: str, text: str) -> Result:
    """Parse the output of the bench."""
    result = Result(site)
    for line in text.splitlines():
        if found := _SCORE.match(line):
            result.score = float(found[1])
        elif found := _DAY.match(line):
            result.worth_by_day[found[1]] = float(found[2])
            if broken := _BROKEN.search(line):
                result.broken_by_day[found[1]] = broken[1].strip()
        elif line.startswith("GATE "):
            result.gate = line.removeprefix("GATE ").split()[0]
    return result


def run_bench(verb: str, site: str, options: list[str]) -> Result:
    """Run the bench on a site, echo its output and return the parsed result."""
    command = [str(KIT / "bin/fleetbench"), verb, str(KIT / f"sites/{site}.toml")]
    done = subprocess.run(
        [*command, *options], capture_output=True, text=True, check=False
    )
    click.echo(done.stdout + done.stderr)
    return read_result(site, done.stdout)


@click.command()
@click.argument("verb", type=click.Choice(["score", "hunt"]))
@click.option("--days", default=40, help="Days of a hunt on each site.")
@click.option("--jobs", default=4, help="Days run in parallel.")
@click.option("--why", default="", help="Line for the journal.")
def main(verb: str, days: int, jobs: int, why: str) -> None:
    """Run the bench command VERB on every site."""
    if not KIT.is_dir():
        click.echo("the users' bench is not installed; nothing was run")
        click.echo('RESULT {"ran":false}')
        return
    options = ["--jobs", str(jobs), *(["--why", why] if why else [])]
    if verb == "hunt":
        options += ["--days", str(days)]
    results = [run_bench(verb, site, options) for site in SITES]
    click.echo("RESULT " + msgspec.json.encode(results).decode())
    is_bad = any(each.gate == "failed" or each.broken_by_day for each in results)
    sys.exit(1 if is_bad or not all(each.worth_by_day for each in results) else 0)


if __name__ == "__main__":
    main()
