"""Measure the share of failed requests that the logs alone explain.

Reads log files, one per day, samples failed or refused requests at random and
looks up the cause of each as ``aspendrift log explain`` does. The last line is
``RESULT {json}``.
"""

from __future__ import annotations

import random
import sys
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import Final

import click
import msgspec

from aspendrift_client.log_explain import LogLine, explain, read_lines

_MIN_FAILURE_STATUS: Final = 400


def failed_ids(lines: Sequence[LogLine]) -> list[str]:
    """Return the ids of requests that failed, were refused or have no end."""
    ended: dict[str, bool] = {}
    for line in lines:
        request_id = line.fields.get("request_id")
        if line.event == "request_routed":
            ended.setdefault(str(request_id), False)
        elif line.event == "request_ended":
            status = int(line.fields.get("status", 0))
            is_cut = bool(line.fields.get("detail")) and status < _MIN_FAILURE_STATUS
            ended[str(request_id)] = status < _MIN_FAILURE_STATUS and not is_cut
    return sorted(each for each, is_served in ended.items() if not is_served)


@click.command()
@click.argument("paths", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("--sample", default=50, help="Number of requests to sample.")
@click.option("--seed", default=1, help="Seed of the random sample.")
def main(paths: tuple[Path, ...], sample: int, seed: int) -> None:
    """Sample failed requests from daily logs and count those explained."""
    candidates: list[tuple[Path, str]] = []
    lines_by_path: dict[Path, list[LogLine]] = {}
    for path in paths:
        text = path.read_text(errors="replace").splitlines()
        lines, _ = read_lines([(path.name, text)])
        lines_by_path[path] = lines
        candidates += [(path, request_id) for request_id in failed_ids(lines)]
    drawn = random.Random(seed).sample(candidates, min(sample, len(candidates)))
    kinds: Counter[str] = Counter()
    unexplained: list[str] = []
    for path, request_id in drawn:
        found = explain(request_id, lines_by_path[path], 0)
        kinds[found.kind] += 1
        click.echo(f"{path.name} {request_id} {found.cause}")
        if not found.is_explained:
            unexplained.append(request_id)
    result = {
        "failed": len(candidates),
        "drawn": len(drawn),
        "explained": len(drawn) - len(unexplained),
        "unexplained": unexplained,
        "kinds": dict(kinds.most_common()),
    }
    click.echo("RESULT " + msgspec.json.encode(result).decode())
    sys.exit(0 if not unexplained else 1)


if __name__ == "__main__":
    main()
