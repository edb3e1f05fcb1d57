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
BENCH: Final = KIT / "bin/fleetbench"
_LARGE_SITE_JOBS: Final = 1
_SCORE: Final = re.compile(r"^score on the standard days of \S+ .*: (-?[0-9.]+)")
# Line of one day: name, hosts/targets, score, worth.
_DAY: Final = re.compile(r"^(\S.*?)\s+\d+/\d+\s+-?[0-9.]+\s+(-?[0-9.]+)\s")
_BROKEN: Final = re.compile(r"BROKEN: ([^(]+)")


@dataclass(frozen=True, slots=True)
class Site:
    """A deployment that the regression runs play.

    Parameters
    ----------
    folder : str
        Folder of its file, below the bench's pages.
    n_hunt_days : int
        Days of a hunt before a landing.
    is_large : bool
        Whether to play one day at a time, since each takes gigabytes of memory.
    """

    folder: str
    name: str
    n_hunt_days: int = 40
    is_large: bool = False

    @property
    def path(self) -> Path:
        """The site's file."""
        return KIT / self.folder / f"{self.name}.toml"


SITES: Final = (
    Site("sites", "kaapwind-fleet"),
    Site("sites", "gcfr-aspendrift"),
    Site("grown", "kaapwind-fleet-grown", 8, is_large=True),
    Site("grown", "gcfr-aspendrift-grown", 8, is_large=True),
    Site("large", "kaapwind-fleet-large", 8, is_large=True),
    Site("demands", "oberland-konfig-grown", 8, is_large=True),
    Site("demands", "pakkasafn-grown", 8, is_large=True),
)


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


def arguments(
    verb: str, site: Site, jobs: int, why: str, days: int | None, is_small: bool
) -> list[str]:
    """Return the command that plays a site.

    Small twins of a large site need no more memory than other days; a hunt has none and
    plays its days at full size.
    """
    has_twins = is_small and verb == "score"
    is_one_by_one = site.is_large and not has_twins
    command = [str(BENCH), verb, str(site.path)]
    command += ["--jobs", str(_LARGE_SITE_JOBS if is_one_by_one else jobs)]
    if verb == "hunt":
        command += ["--days", str(days or site.n_hunt_days)]
    if has_twins and site.is_large:
        command.append("--small")
    return command + (["--why", why] if why else [])


def run_bench(site: Site, command: list[str]) -> Result:
    """Run the bench on a site, echo its output and return the parsed result."""
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    click.echo(done.stdout + done.stderr)
    return read_result(site.name, done.stdout)


@click.command()
@click.argument("verb", type=click.Choice(["score", "hunt"]))
@click.option("--site", "names", multiple=True, help="Sites to play; all by default.")
@click.option("--days", type=int, help="Days of a hunt on each site.")
@click.option("--jobs", default=4, help="Days of a small site run in parallel.")
@click.option("--small", is_flag=True, help="Score small twins of large sites.")
@click.option("--why", default="", help="Line for the journal.")
def main(
    verb: str,
    names: tuple[str, ...],
    days: int | None,
    jobs: int,
    small: bool,
    why: str,
) -> None:
    """Run the bench command VERB on the sites of the regression runs."""
    if not KIT.is_dir():
        click.echo("the users' bench is not installed; nothing was run")
        click.echo('RESULT {"ran":false}')
        return
    unknown = set(names) - {site.name for site in SITES}
    if unknown:
        raise click.BadParameter(f"unknown: {', '.join(sorted(unknown))}")
    results = [
        run_bench(site, arguments(verb, site, jobs, why, days, small))
        for site in SITES
        if not names or site.name in names
    ]
    click.echo("RESULT " + msgspec.json.encode(results).decode())
    is_bad = any(each.gate == "failed" or each.broken_by_day for each in results)
    sys.exit(1 if is_bad or not all(each.worth_by_day for each in results) else 0)


if __name__ == "__main__":
    main()
