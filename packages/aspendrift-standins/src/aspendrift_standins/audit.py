"""Compares what callers were told with what ran at the targets."""

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
    """A promise that was broken."""

    DOUBLED = "doubled"
    CROSSED = "crossed"
    FALSE_NOT_RUN = "false_not_run"
    CUT = "cut"


@dataclass(frozen=True, slots=True)
class Violation:
    """One request for which a promise was broken."""

    kind: ViolationKind
    request_id: str
    detail: str


def audit(
    records: Iterable[RequestRecord], events: Iterable[RunEvent]
) -> list[Violation]:
    """Return every broken promise.

    Parameters
    ----------
    records : iterable of RequestRecord
        One for each request sent.
    events : iterable of RunEvent
        The run records of all targets together.
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
    for send, outcome in _told(record):
        if outcome.ran is Ran.NO and runs:
            told = msgspec.json.encode(outcome).decode()
            detail = f"sent {send}, told {told}, ran as {_attempts(runs)}"
            yield Violation(ViolationKind.FALSE_NOT_RUN, request.request_id, detail)
    if request.profile.idempotent:
        return
    for stage in request.profile.stages:
        of_stage = [event for event in runs if event.stage == stage.name]
        if len(of_stage) > 1:
            detail = f"{stage.name} ran as {_attempts(of_stage)}"
            yield Violation(ViolationKind.DOUBLED, request.request_id, detail)


def _told(record: RequestRecord) -> Iterator[tuple[str, OutcomeBody | NoOutcome]]:
    """Yield the outcomes that say whether the request ran, with the send of each.

    An idempotent request that is sent again may run again. That this second run
    was refused is true although the first took place, so it isn't compared.
    """
    if record.result is not None:
        yield "first", record.result.outcome
    if record.resent is not None and not record.request.profile.idempotent:
        yield "again", record.resent.outcome


def _attempts(runs: list[RunEvent]) -> str:
    return ", ".join(f"{event.stage}:{event.attempt_id}" for event in runs)
