"""Draws the figures of the surge measurement as SVG."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Any, Final

import click
import matplotlib
import msgspec

from aspendrift_standins.measure_surge import SurgeResult
from aspendrift_standins.surge_result import RunFigures

matplotlib.use("svg")
import matplotlib.pyplot as plt  # noqa: E402

__all__ = ["draw_report", "main"]

_COLORS_BY_STRATEGY: Final = {
    "aspendrift": "#1b6ca8",
    "round_robin": "#d98e04",
    "random_limit": "#8a8a8a",
}
_BAR_WIDTH: Final = 0.26
_HOUR: Final = "hour"
_STAGES: Final = ("encode", "retrieve", "rerank", "generate", "call")


def draw_report(result: SurgeResult, folder: Path) -> list[Path]:
    """Draw every figure into a folder; return the files."""
    matplotlib.rcParams["svg.hashsalt"] = "aspendrift"
    folder.mkdir(parents=True, exist_ok=True)
    return [
        _draw_attainment(result.runs, folder / "surge-attainment.svg"),
        _draw_latency(result.runs, folder / "surge-latency.svg"),
        _draw_cost(result.runs, folder / "surge-cost-by-stage.svg"),
        _draw_hour(result.runs, folder / "surge-over-the-hour.svg"),
    ]


def _draw_attainment(runs: Sequence[RunFigures], path: Path) -> Path:
    figure, axes = plt.subplots(figsize=(11, 4.5))
    _bars(axes, runs, "attainment")
    names = _scenarios(runs)
    bounds = [next(r.bound for r in runs if r.scenario == name) for name in names]
    for i, bound in enumerate(bounds):
        label = "min(1, capacity / offered)" if i == 0 else "_"
        axes.hlines(bound, i - 0.4, i + 0.4, colors="black", label=label)
    axes.set_ylabel("share answered whole and in time")
    axes.set_ylim(0, 1.05)
    return _save(figure, axes, path)


def _draw_latency(runs: Sequence[RunFigures], path: Path) -> Path:
    figure, axes = plt.subplots(figsize=(11, 4.5))
    _bars(axes, runs, "p99_ms")
    axes.set_ylabel("99th percentile of answers in time, ms")
    return _save(figure, axes, path)


def _draw_cost(runs: Sequence[RunFigures], path: Path) -> Path:
    figure, axes = plt.subplots(figsize=(11, 4.5))
    names = _scenarios(runs)
    for number, strategy in enumerate(_COLORS_BY_STRATEGY):
        bottoms = [0.0] * len(names)
        for depth, stage in enumerate(_STAGES):
            heights = [_held_s(runs, name, strategy, stage) for name in names]
            places = [i + (number - 1) * _BAR_WIDTH for i in range(len(names))]
            axes.bar(
                places,
                heights,
                _BAR_WIDTH * 0.9,
                bottom=bottoms,
                color=f"C{depth}",
                label=stage if number == 0 else None,
            )
            bottoms = [a + b for a, b in zip(bottoms, heights, strict=True)]
    _name_scenarios(axes, names)
    axes.set_ylabel("slot-seconds held for each answer in time")
    axes.set_title(f"from left to right: {', '.join(_COLORS_BY_STRATEGY)}")
    return _save(figure, axes, path)


def _draw_hour(runs: Sequence[RunFigures], path: Path) -> Path:
    names = [name for name in _scenarios(runs) if name.startswith(_HOUR)]
    figure, rows = plt.subplots(1, max(1, len(names)), figsize=(12, 4), squeeze=False)
    axes = rows[0][0]
    for axes, name in zip(rows[0], names, strict=False):
        for run in runs:
            if run.scenario != name:
                continue
            seconds = sorted(run.offered_by_s)
            color = _COLORS_BY_STRATEGY[run.strategy]
            attained = [run.attained_by_s.get(s, 0) for s in seconds]
            axes.plot(seconds, attained, color=color, label=run.strategy)
        offered = [run.offered_by_s[s] for s in seconds]
        axes.plot(seconds, offered, color="black", linestyle=":", label="offered")
        axes.set_title(name)
        axes.set_xlabel("second of the send time")
        axes.set_ylim(bottom=0)
    rows[0][0].set_ylabel("requests a second")
    return _save(figure, axes, path)


def _bars(axes: Any, runs: Sequence[RunFigures], field: str) -> None:
    names = _scenarios(runs)
    for number, (strategy, color) in enumerate(_COLORS_BY_STRATEGY.items()):
        values_by_name = {
            run.scenario: getattr(run, field)
            for run in runs
            if run.strategy == strategy
        }
        places = [i + (number - 1) * _BAR_WIDTH for i in range(len(names))]
        heights = [values_by_name.get(name, 0.0) for name in names]
        axes.bar(places, heights, _BAR_WIDTH * 0.9, color=color, label=strategy)
    _name_scenarios(axes, names)


def _name_scenarios(axes: Any, names: Sequence[str]) -> None:
    axes.set_xticks(range(len(names)))
    axes.set_xticklabels(names, rotation=20, ha="right", fontsize=8)


def _held_s(runs: Sequence[RunFigures], name: str, strategy: str, stage: str) -> float:
    for run in runs:
        if run.scenario == name and run.strategy == strategy:
            figures = run.stages.get(stage)
            answered = max(1.0, run.n_requests * run.attainment)
            return 0.0 if figures is None else figures.held_s / answered
    return 0.0


def _scenarios(runs: Sequence[RunFigures]) -> list[str]:
    return list(dict.fromkeys(run.scenario for run in runs))


def _save(figure: Any, axes: Any, path: Path) -> Path:
    if axes.get_legend_handles_labels()[1]:
        axes.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    plt.close(figure)
    return path


@click.command()
@click.argument("result", type=click.Path(exists=True, path_type=Path))
@click.argument("folder", type=click.Path(path_type=Path, file_okay=False))
def main(result: Path, folder: Path) -> None:
    """Draw the saved RESULT of a measurement into FOLDER."""
    decoded = msgspec.json.decode(result.read_bytes(), type=SurgeResult)
    for path in draw_report(decoded, folder):
        click.echo(str(path))


if __name__ == "__main__":
    main()
