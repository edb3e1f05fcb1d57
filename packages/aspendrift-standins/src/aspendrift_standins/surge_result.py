"""Figures of the surge measurement."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import Final

import msgspec
from hdrh.histogram import HdrHistogram

from aspendrift_model.wire_caller import OutcomeBody
from aspendrift_standins.load import RequestRecord
from aspendrift_standins.surge_scenarios import Scenario

__all__ = ["RunFigures", "ScenarioCollector", "StageFigures"]

_MAX_US: Final = 600_000_000
_GENERATING_PROFILE: Final = "pipeline"
_BIN_S: Final = 1.0
_RECOVERY_WINDOW_S: Final = 3
_RECOVERY_SHARE: Final = 0.95


class StageFigures(msgspec.Struct):
    """Slot-seconds of one stage over a run."""

    held_s: float = 0.0
    busy_s: float = 0.0
    attempts: int = 0


class RunFigures(msgspec.Struct, frozen=True):
    """Figures of one scenario under one strategy.

    ``bound`` is the upper bound of the attainment: min(1, capacity / offered load)
    for the requests that need engines, 1 for the others. ``bound_with_tail`` also
    counts requests that are queued when the surge ends and served before their
    deadlines. ``engine_s_per_answer`` is the engine time held per pipeline request
    that was answered completely and in time. ``sender_lag_p99_ms`` is the
    scheduling delay of the load sender's event loop; a high value means that the
    machine was overloaded. ``back_after_s`` is the time from the end of an outage
    to the first second that begins a three-second window in which at least 95 of
    100 requests are answered.
    """

    scenario: str
    strategy: str
    n_requests: int
    attainment: float
    bound: float
    bound_with_tail: float
    of_bound: float
    of_bound_with_tail: float
    small_attainment: float
    p50_ms: float
    p95_ms: float
    p99_ms: float
    engine_s_per_answer: float
    sender_lag_p99_ms: float
    back_after_s: int | None
    n_faulty: int
    attainment_by_account: dict[str, float]
    outcomes: dict[str, int]
    stages: dict[str, StageFigures]
    attained_by_s: dict[int, int]
    offered_by_s: dict[int, int]


class ScenarioCollector:
    """Collects the request records of one scenario under one strategy.

    Parameters
    ----------
    from_s : float
        Start of the surge, in seconds. Requests sent earlier count only in the
        series by second and in the number of faulty answers.
    """

    def __init__(self, scenario: Scenario, strategy: str, from_s: float) -> None:
        self._scenario = scenario
        self._strategy = strategy
        self._from_s = from_s
        self._n_by_account: Counter[str] = Counter()
        self._attained_by_account: Counter[str] = Counter()
        self._n_by_profile: Counter[str] = Counter()
        self._attained_by_profile: Counter[str] = Counter()
        self._outcomes: Counter[str] = Counter()
        self._n_faulty = 0
        self._latency = HdrHistogram(1, _MAX_US, 3)
        self._sender_lag = HdrHistogram(1, _MAX_US, 3)
        self._stages: defaultdict[str, StageFigures] = defaultdict(StageFigures)
        self._offered_by_s: Counter[int] = Counter()
        self._attained_by_s: Counter[int] = Counter()

    def add(self, record: RequestRecord, sent_at_s: float) -> None:
        """Add a record; ``sent_at_s`` counts from the start of the scenario."""
        self._n_faulty += record.fault is not None
        second = int(sent_at_s / _BIN_S)
        self._offered_by_s[second] += 1
        self._attained_by_s[second] += record.attained
        if sent_at_s < self._from_s:
            return
        request = record.request
        self._n_by_account[request.account.account_id] += 1
        self._n_by_profile[request.profile.name] += 1
        if record.attained:
            self._attained_by_account[request.account.account_id] += 1
            self._attained_by_profile[request.profile.name] += 1
            us = int(record.latency_s * 1e6)
            self._latency.record_value(min(_MAX_US, max(1, us)))
        self._add_outcome(record)

    def add_sender_lag(self, seconds: float) -> None:
        """Record one scheduling delay of the sender's event loop."""
        self._sender_lag.record_value(max(1, int(seconds * 1e6)))

    def figures(self, surge_s: float) -> RunFigures:
        """Return the figures; ``surge_s`` is the length of the surge in seconds."""
        n_requests = self._n_by_profile.total()
        attained = self._attained_by_profile.total()
        bound, with_tail = self._bounds(surge_s)
        attainment = attained / max(1, n_requests)
        p50, p95, p99 = (
            self._latency.get_value_at_percentile(p) / 1e3 for p in (50, 95, 99)
        )
        deployment = self._scenario.deployment
        generate = self._stages["generate"]
        slots = next(
            t.slots for t in deployment.targets({}) if t.pool == deployment.engine_pool
        )
        answered = max(1, self._attained_by_profile[_GENERATING_PROFILE])
        return RunFigures(
            self._scenario.name,
            self._strategy,
            n_requests,
            round(attainment, 4),
            round(bound, 4),
            round(with_tail, 4),
            round(attainment / bound, 4),
            round(attainment / with_tail, 4),
            round(self._small_attainment(), 4),
            round(p50, 1),
            round(p95, 1),
            round(p99, 1),
            round(generate.held_s / slots / answered, 4),
            round(self._sender_lag.get_value_at_percentile(99) / 1e3, 1),
            self._recovery_s(),
            self._n_faulty,
            {
                name: round(self._attained_by_account[name] / n, 4)
                for name, n in sorted(self._n_by_account.items())
            },
            dict(self._outcomes),
            dict(self._stages),
            dict(self._attained_by_s),
            dict(self._offered_by_s),
        )

    def _bounds(self, surge_s: float) -> tuple[float, float]:
        scenario = self._scenario
        deployment = scenario.deployment
        capacity_per_s = deployment.generation_capacity_per_s * scenario.capacity
        n_generating = max(1, self._n_by_profile[_GENERATING_PROFILE])
        tail_s = max(0.0, deployment.deadline_s - deployment.unloaded_latency_s)
        share = n_generating / max(1, self._n_by_profile.total())
        up_s = surge_s - scenario.outage_s
        up_share = up_s / surge_s
        with_tail = min(1.0, up_share + tail_s / surge_s)
        with_tail = min(with_tail, capacity_per_s * (up_s + tail_s) / n_generating)
        without_tail = min(up_share, capacity_per_s * up_s / n_generating)
        return share * without_tail + 1 - share, share * with_tail + 1 - share

    def _recovery_s(self) -> int | None:
        outage_s = self._scenario.outage_s
        if not outage_s:
            return None
        outage_end = int(self._from_s + outage_s)
        for second in range(outage_end, max(self._offered_by_s, default=0)):
            window = range(second, second + _RECOVERY_WINDOW_S)
            offered = sum(self._offered_by_s[s] for s in window)
            attained = sum(self._attained_by_s[s] for s in window)
            if attained >= _RECOVERY_SHARE * offered:
                return second - outage_end
        return None

    def _small_attainment(self) -> float:
        small = self._scenario.deployment.small_accounts
        n_small = sum(self._n_by_account[name] for name in small)
        attained = sum(self._attained_by_account[name] for name in small)
        return attained / max(1, n_small)

    def _add_outcome(self, record: RequestRecord) -> None:
        result = record.result
        outcome = None if result is None else result.outcome
        if not isinstance(outcome, OutcomeBody):
            self._outcomes["no outcome"] += 1
            return
        reason = "" if outcome.reason is None else f" {outcome.reason.value}"
        late = "" if record.attained or not outcome.output else " late"
        self._outcomes[f"{outcome.status.value}{reason}{late}"] += 1
        for timing in outcome.stages:
            stage = self._stages[timing.stage]
            stage.held_s += timing.held_ms / 1e3
            stage.busy_s += timing.busy_ms / 1e3
            stage.attempts += timing.attempts
