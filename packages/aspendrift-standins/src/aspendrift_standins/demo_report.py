"""Tables and verdict that the demo prints."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from aspendrift_client.output import format_table
from aspendrift_standins.expected import AnswerFault
from aspendrift_standins.load_report import LatencyFigures, LoadSummary

__all__ = ["DemoResult", "report_lines", "verdict_lines"]

_PERCENTILES = ("p50 ms", "p95 ms", "p99 ms")


@dataclass(frozen=True, slots=True)
class DemoResult:
    """Measurements and check results of a demo run.

    Parameters
    ----------
    runs_by_id : mapping
        Number of runs at the services, by id of each request that isn't idempotent.
    command_fault : AnswerFault or None
        Fault in the answer to the request sent by command line.
    """

    summary: LoadSummary
    runs_by_id: Mapping[str, int]
    command_fault: AnswerFault | None = None

    @property
    def n_duplicate_runs(self) -> int:
        """Number of non-idempotent requests that ran more than once."""
        return sum(n_runs > 1 for n_runs in self.runs_by_id.values())

    @property
    def unanswered_profiles(self) -> list[str]:
        """Profiles for which no request was answered."""
        latency = self.summary.latency_by_profile
        return [
            name for name in self.summary.attainment_by_profile if name not in latency
        ]

    @property
    def passed(self) -> bool:
        """Whether answers are complete and match their requests, and none ran twice."""
        faults = self.summary.n_cut + self.summary.n_crossed + self.n_duplicate_runs
        if faults or self.command_fault is not None:
            return False
        return not self.unanswered_profiles and bool(self.summary.n_answered)


def report_lines(result: DemoResult) -> Iterator[str]:
    """Yield the tables of the report, as text."""
    summary = result.summary
    yield _section("attainment and latency by profile")
    rows = [
        (name, f"{share:.4f}", *_figures(summary.latency_by_profile.get(name)))
        for name, share in summary.attainment_by_profile.items()
    ]
    yield format_table(("profile", "attainment", "answered", *_PERCENTILES), rows)
    yield _section("latency and cost by stage")
    yield format_table(_STAGE_COLUMNS, list(_stage_rows(summary)))
    yield _section("streams")
    rows = [
        ("first token", *_figures(summary.first_token)),
        ("between tokens", *_figures(summary.token_gap)),
    ]
    yield format_table(("time", "n", *_PERCENTILES), rows)
    yield _section("refused and failed")
    reasons = {**summary.refusals_by_reason, **summary.failures_by_reason}
    yield format_table(("reason", "n"), sorted(reasons.items()) or [("none", 0)])


def verdict_lines(result: DemoResult) -> Iterator[str]:
    """Yield the results of the checks."""
    summary = result.summary
    yield (
        f"{summary.n_requests} sent, {summary.n_answered} answered, "
        f"attainment {summary.attainment:.4f}"
    )
    yield (
        f"truncated answers {summary.n_cut}, answers of another request "
        f"{summary.n_crossed}, requests run twice {result.n_duplicate_runs} "
        f"of {len(result.runs_by_id)}"
    )
    if result.command_fault is not None:
        yield f"wrong answer to the command-line request: {result.command_fault}"
    if result.unanswered_profiles:
        yield f"no request answered for: {', '.join(result.unanswered_profiles)}"
    yield "passed" if result.passed else "FAILED"


_STAGE_COLUMNS = (
    "stage",
    "attempts",
    "queue p50 ms",
    "queue p95 ms",
    "held p50 ms",
    "held p95 ms",
    "held s",
    "busy s",
)


def _stage_rows(summary: LoadSummary) -> Iterator[tuple[object, ...]]:
    for stage, cost in summary.cost_by_stage.items():
        queue = summary.queue_by_stage[stage]
        held = summary.held_by_stage[stage]
        yield (
            stage,
            cost.attempts,
            queue.p50_ms,
            queue.p95_ms,
            held.p50_ms,
            held.p95_ms,
            cost.held_s,
            cost.busy_s,
        )


def _figures(figures: LatencyFigures | None) -> tuple[object, ...]:
    if figures is None:
        return (0, None, None, None)
    return (figures.n, figures.p50_ms, figures.p95_ms, figures.p99_ms)


def _section(title: str) -> str:
    return f"\n{title}"
