"""Compares the outcomes that callers received with what ran at the targets."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum

import msgspec

from aspendrift_client.caller import NoOutcome
from aspendrift_model.states import Ran
from aspendrift_model.wire_caller import OutcomeBody
from aspendrift_standins.load import RequestRecord
from aspendrift_standins.runs import RunEvent, RunKind

__all__ = ["Violation", "ViolationKind", "audit"]


class ViolationKind(Enum):
    """A guarantee that was violated."""

    DOUBLED = "doubled"
    CROSSED = "crossed"
    FALSE_NOT_RUN = "false_not_run"
    CUT = "cut"


@dataclass(frozen=True, slots=True)
class Violation:
    """One request for which a guarantee was violated."""

    kind: ViolationKind
    request_id: str
    detail: str


def audit(
    records: Iterable[RequestRecord], events: Iterable[RunEvent]
) -> list[Violation]:
    """Return every violated guarantee.

    Parameters
    ----------
    records : iterable of RequestRecord
        One for each request sent.
    events : iterable of RunEvent
        The run events of all targets.
    """
    runs_by_id: defaultdict[str, list[RunEvent]] = defaultdict(list)
    for event in events:
        if event.kind is RunKind.RAN:
            runs_by_id[event.request_id].append(event)
    violations: list[Violation] = []
    for record in records:
        runs = runs_by_id.get(record.request.request_id, [])
        violations += _answer_violations(record)
        violations += _run_violations(record, runs)
    return violations


def _answer_violations(record: RequestRecord) -> Iterator[Violation]:
    request_id = record.request.request_id
    for fault in (record.fault, record.resent_fault):
        if fault is not None:
            kind = ViolationKind.CUT if fault.cut else ViolationKind.CROSSED
            detail = f"found {fault.found[:60]!r}, expected {fault.expected[:60]!r}"
            yield Violation(kind, request_id, detail)


def _run_violations(record: RequestRecord, runs: list[RunEvent]) -> Iterator[Violation]:
    request = record.request
    for submission, outcome in _reported_outcomes(record):
        if outcome.ran is Ran.NO and runs:
            reported = msgspec.json.encode(outcome).decode()
            detail = (
                f"sent {submission}: reported {reported}, "
                f"but ran as {_format_attempts(runs)}"
            )
            yield Violation(ViolationKind.FALSE_NOT_RUN, request.request_id, detail)
    if request.profile.idempotent:
        return
    for stage in request.profile.stages:
        stage_runs = [event for event in runs if event.stage == stage.name]
        if len(stage_runs) > 1:
            detail = f"{stage.name} ran as {_format_attempts(stage_runs)}"
            yield Violation(ViolationKind.DOUBLED, request.request_id, detail)


def _reported_outcomes(
    record: RequestRecord,
) -> Iterator[tuple[str, OutcomeBody | NoOutcome]]:
    """Yield each outcome that reports whether the request ran, and its submission.

    An idempotent request that is resent may run again. An outcome that reports the
    resent request as not run is correct even if the first one ran, so it is not
    compared.
    """
    if record.result is not None:
        yield "first", record.result.outcome
    if record.resent is not None and not record.request.profile.idempotent:
        yield "again", record.resent.outcome


def _format_attempts(runs: list[RunEvent]) -> str:
    return ", ".join(f"{event.stage}:{event.attempt_id}" for event in runs)
