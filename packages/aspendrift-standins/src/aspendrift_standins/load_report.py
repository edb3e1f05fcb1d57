"""Latency, attainment and cost figures of a load run."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import Final

import msgspec
from hdrh.histogram import HdrHistogram

from aspendrift_client.caller import CallResult
from aspendrift_model.states import OutcomeStatus, Ran
from aspendrift_model.wire_caller import OutcomeBody
from aspendrift_standins.load import RequestRecord

__all__ = ["LatencyFigures", "LoadReport", "LoadSummary", "StageCost"]

_MAX_US: Final = 600_000_000
_SIGNIFICANT_DIGITS: Final = 3
_US_PER_MS: Final = 1_000
_US_PER_S: Final = 1_000_000


class LatencyFigures(msgspec.Struct, frozen=True):
    """Percentiles of a duration, in milliseconds."""

    n: int
    p50_ms: float
    p95_ms: float
    p99_ms: float
    max_ms: float


_NO_TIMES: Final = LatencyFigures(0, 0.0, 0.0, 0.0, 0.0)


class StageCost(msgspec.Struct):
    """Slot time, busy time and number of attempts of a stage over a run."""

    held_s: float = 0.0
    busy_s: float = 0.0
    attempts: int = 0


class LoadSummary(msgspec.Struct, frozen=True):
    """Figures of a run."""

    n_requests: int
    n_answered: int
    n_attained: int
    attainment: float
    n_crossed: int
    n_cut: int
    n_abandoned: int
    unknown_share: float
    refusals_by_reason: dict[str, int]
    failures_by_reason: dict[str, int]
    attainment_by_profile: dict[str, float]
    latency_by_profile: dict[str, LatencyFigures]
    latency_by_account: dict[str, LatencyFigures]
    queue_by_stage: dict[str, LatencyFigures]
    held_by_stage: dict[str, LatencyFigures]
    cost_by_stage: dict[str, StageCost]
    first_token: LatencyFigures
    token_gap: LatencyFigures
    sent_late: LatencyFigures = _NO_TIMES


class _Histograms:
    """Histograms of durations, by name."""

    def __init__(self) -> None:
        self._histograms_by_name: dict[str, HdrHistogram] = {}

    def add(self, name: str, seconds: float) -> None:
        """Record a duration."""
        histogram = self._histograms_by_name.get(name)
        if histogram is None:
            histogram = HdrHistogram(1, _MAX_US, _SIGNIFICANT_DIGITS)
            self._histograms_by_name[name] = histogram
        us = int(seconds * _US_PER_S)
        histogram.record_value(min(_MAX_US, max(1, us)))

    def figures(self, name: str) -> LatencyFigures:
        """Return the percentiles of one name."""
        histogram = self._histograms_by_name.get(name)
        if histogram is None:
            return _NO_TIMES
        values = (histogram.get_value_at_percentile(p) for p in (50, 95, 99, 100))
        p50, p95, p99, maximum = (round(value / _US_PER_MS, 3) for value in values)
        return LatencyFigures(histogram.get_total_count(), p50, p95, p99, maximum)

    def all_figures(self) -> dict[str, LatencyFigures]:
        """Return the percentiles of every name."""
        return {name: self.figures(name) for name in sorted(self._histograms_by_name)}


class LoadReport:
    """Aggregates the records of requests into the figures of a run."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._n_by_profile: Counter[str] = Counter()
        self._attained_by_profile: Counter[str] = Counter()
        self._refusals_by_reason: Counter[str] = Counter()
        self._failures_by_reason: Counter[str] = Counter()
        self._latency_by_profile = _Histograms()
        self._latency_by_account = _Histograms()
        self._queue_by_stage = _Histograms()
        self._held_by_stage = _Histograms()
        self._overall = _Histograms()
        self._cost_by_stage: defaultdict[str, StageCost] = defaultdict(StageCost)

    def add(self, record: RequestRecord) -> None:
        """Add the record of one request."""
        self._counts["requests"] += 1
        self._overall.add("late", record.sent_late_s)
        for fault in (record.fault, record.resent_fault):
            if fault is not None:
                self._counts["cut" if fault.cut else "crossed"] += 1
        if record.result is None:
            self._counts["abandoned"] += 1
            return
        profile = record.request.profile.name
        self._n_by_profile[profile] += 1
        if record.attained:
            self._attained_by_profile[profile] += 1
        self._add_result(record, record.result)

    def summary(self) -> LoadSummary:
        """Return the figures so far."""
        n_ended = self._n_by_profile.total()
        n_attained = self._attained_by_profile.total()
        return LoadSummary(
            self._counts["requests"],
            self._counts["answered"],
            n_attained,
            _share(n_attained, n_ended),
            self._counts["crossed"],
            self._counts["cut"],
            self._counts["abandoned"],
            _share(self._counts["unknown"], n_ended),
            dict(self._refusals_by_reason),
            dict(self._failures_by_reason),
            {
                name: _share(self._attained_by_profile[name], n)
                for name, n in sorted(self._n_by_profile.items())
            },
            self._latency_by_profile.all_figures(),
            self._latency_by_account.all_figures(),
            self._queue_by_stage.all_figures(),
            self._held_by_stage.all_figures(),
            dict(self._cost_by_stage),
            self._overall.figures("first"),
            self._overall.figures("gap"),
            self._overall.figures("late"),
        )

    def _add_result(self, record: RequestRecord, result: CallResult) -> None:
        outcome = result.outcome
        if outcome.ran is Ran.UNKNOWN:
            self._counts["unknown"] += 1
        if not isinstance(outcome, OutcomeBody):
            self._failures_by_reason[f"no_outcome/{outcome.ran.value}"] += 1
            return
        self._add_stages(outcome)
        if outcome.status is OutcomeStatus.ANSWERED:
            self._counts["answered"] += 1
            self._add_times(record)
            return
        reason = "none" if outcome.reason is None else outcome.reason.value
        if outcome.status is OutcomeStatus.REFUSED:
            self._refusals_by_reason[reason] += 1
        else:
            self._failures_by_reason[f"{reason}/{outcome.ran.value}"] += 1

    def _add_times(self, record: RequestRecord) -> None:
        self._latency_by_profile.add(record.request.profile.name, record.latency_s)
        self._latency_by_account.add(
            record.request.account.account_id, record.latency_s
        )
        if record.first_token_s is not None:
            self._overall.add("first", record.first_token_s)
        for gap_s in record.token_gaps_s:
            self._overall.add("gap", gap_s)

    def _add_stages(self, outcome: OutcomeBody) -> None:
        for timing in outcome.stages:
            self._queue_by_stage.add(timing.stage, timing.queue_ms / 1e3)
            self._held_by_stage.add(timing.stage, timing.held_ms / 1e3)
            cost = self._cost_by_stage[timing.stage]
            cost.held_s += timing.held_ms / 1e3
            cost.busy_s += timing.busy_ms / 1e3
            cost.attempts += timing.attempts


def _share(part: int, whole: int) -> float:
    return round(part / whole, 6) if whole else 0.0
