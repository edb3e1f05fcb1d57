"""Tests of the deadlines of stages and attempts."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from aspendrift_model.profiles import Stage
from aspendrift_model.states import StageKind
from aspendrift_policy.deadlines import attempt_timeout_s, stage_deadline_at

times = st.floats(0, 10, allow_nan=False)


def stage(expected_ms):
    return Stage("s", StageKind.ENCODE, "p", expected_ms=expected_ms)


def test_time_of_later_stages_is_reserved():
    later = [stage(200), stage(300)]
    assert stage_deadline_at(10.0, 12.0, stage(100), later) == 11.5
    assert stage_deadline_at(10.0, 12.0, stage(100), later, 0.1) == 11.4


def test_insufficient_time_is_divided_among_stages():
    deadline_at = stage_deadline_at(0.0, 0.3, stage(100), [stage(500)])
    assert 0.0 < deadline_at < 0.3


@given(times, times, times, times)
def test_stage_ends_within_the_request(length, own, later, reserve):
    deadline_at = stage_deadline_at(
        5.0, 5.0 + length, stage(own * 1000), [stage(later * 1000)], reserve
    )
    assert 5.0 <= deadline_at <= 5.0 + length + 1e-9


def test_attempt_leaves_time_for_another():
    assert attempt_timeout_s(0.0, 4.0, stage(100), may_retry=True) == 2.0
    assert attempt_timeout_s(0.0, 4.0, stage(100), may_retry=False) == 4.0
    assert attempt_timeout_s(0.0, 1.0, stage(200), may_retry=True) == 0.8
    assert attempt_timeout_s(5.0, 4.0, stage(200), may_retry=True) == 0.0
