"""Tests of the pass criterion of the outcomes measurement."""

from __future__ import annotations

import msgspec
import pytest

from aspendrift_standins.load_report import LoadReport
from aspendrift_standins.measure_outcomes import OutcomesResult

EMPTY = LoadReport().summary()


def result(**counts: int) -> OutcomesResult:
    fields = msgspec.structs.fields(OutcomesResult)
    values = {field.name: 0 for field in fields}
    summaries = {"calm": EMPTY, "faults": EMPTY}
    return OutcomesResult(**(values | summaries | counts))  # type: ignore[arg-type]


def test_run_without_a_breach_passes() -> None:
    assert result(n_requests=20_000).passed


@pytest.mark.parametrize("kind", ["doubled", "crossed", "false_not_run", "cut"])
def test_one_breach_of_any_kind_fails(kind: str) -> None:
    assert not result(**{kind: 1}).passed
