"""Tests of load estimates from delayed reports."""

from __future__ import annotations

import pytest

from aspendrift_model.ids import TargetId
from aspendrift_model.targets import LoadReport
from aspendrift_policy.load_estimate import DecayedRate, TargetLoad


def report(active: int, age_ms: int = 0, queued: int = 0, slots: int = 8) -> LoadReport:
    return LoadReport(TargetId("t"), active, queued, slots, age_ms)


def test_load_of_other_daemons_is_computed_at_the_report_time() -> None:
    load = TargetLoad(8)
    load.sent(1.0)
    load.sent(5.0)
    load.sent(5.1)
    load.reported(report(4, age_ms=2000), 5.5)
    assert load.others == 3
    assert load.outstanding == 6


def test_report_that_describes_an_earlier_time_is_ignored() -> None:
    load = TargetLoad(8)
    load.reported(report(5), 5.0)
    load.reported(report(1, age_ms=2000), 5.5)
    assert load.others == 5


def test_own_request_that_ended_no_longer_counts() -> None:
    load = TargetLoad(8)
    load.sent(1.0)
    load.reported(report(1), 2.0)
    load.ended(2.5)
    assert load.outstanding == 0


def test_full_target_leaves_a_daemon_its_share_only() -> None:
    load = TargetLoad(8)
    load.reported(report(8, queued=4), 1.0)
    assert load.allowance(0.25, 0, 0.0) == 2
    load.reported(report(0), 2.0)
    assert load.allowance(0.25, 0, 0.0) == 2
    load.sent(2.5)
    load.sent(2.5)
    load.reported(report(2), 3.0)
    assert load.allowance(0.25, 0, 0.0) == 3


@pytest.mark.fault("burst", "request sent")
def test_borrowed_slots_are_returned_when_the_target_is_overfull() -> None:
    load = TargetLoad(4)
    for _ in range(3):
        load.sent(1.0)
    load.reported(report(3, slots=4), 2.0)
    assert load.allowance(0.25, 0, 0.0) == 3
    load.reported(report(6, slots=4), 3.0)
    assert load.allowance(0.25, 0, 0.0) == 1


def test_fractions_of_slots_add_up_over_targets_and_daemons() -> None:
    n_daemons, n_targets = 6, 6
    load = TargetLoad(3)
    given = [
        [load.allowance(1 / n_daemons, target + rank, 0.0) for target in range(6)]
        for rank in range(n_daemons)
    ]
    assert [sum(row) for row in given] == [3] * n_daemons
    assert [sum(column) for column in zip(*given, strict=True)] == [3] * n_targets


def test_rate_converges_to_the_added_rate() -> None:
    rate = DecayedRate(3.0)
    for step in range(300):
        rate.add(0.5, step / 10)
    assert rate.per_s(30.0) == pytest.approx(5.0, rel=0.05)
    assert rate.per_s(60.0) < 0.01
