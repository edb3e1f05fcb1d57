"""Tests of the phases of a shutdown."""

from __future__ import annotations

import pytest

from aspendrift_policy.leaving import LeavePhase, LeaveProcedure, LeaveTimes

TIMES = LeaveTimes(keep_s=10.0, margin_s=1.0, bound_s=30.0)


@pytest.fixture
def leave() -> LeaveProcedure:
    procedure = LeaveProcedure(TIMES)
    procedure.announce(100.0)
    return procedure


@pytest.mark.fault("daemon leaving", "leave announced")
def test_new_requests_are_served_until_address_answers_expire(
    leave: LeaveProcedure,
) -> None:
    assert leave.step(0, 100.0) is LeavePhase.ANNOUNCED
    assert leave.step(0, 110.9) is LeavePhase.ANNOUNCED


@pytest.mark.fault("daemon leaving", "leave draining")
def test_open_requests_delay_the_exit(leave: LeaveProcedure) -> None:
    assert leave.step(2, 111.0) is LeavePhase.DRAINING
    assert leave.step(1, 115.0) is LeavePhase.DRAINING
    assert leave.step(0, 116.0) is LeavePhase.EXITED


@pytest.mark.fault("daemon leaving", "leave exited")
def test_nothing_reopens_after_the_exit(leave: LeaveProcedure) -> None:
    leave.step(0, 111.0)
    leave.announce(112.0)
    assert leave.step(3, 112.0) is LeavePhase.EXITED


def test_bound_ends_a_shutdown_that_hangs(leave: LeaveProcedure) -> None:
    assert leave.step(1, 129.9) is LeavePhase.DRAINING
    assert leave.step(1, 130.0) is LeavePhase.EXITED


def test_second_announcement_does_not_restart_the_times(leave: LeaveProcedure) -> None:
    leave.announce(109.0)
    assert leave.step(0, 111.0) is LeavePhase.EXITED


def test_cut_exits_at_once(leave: LeaveProcedure) -> None:
    leave.exit_now()
    assert leave.step(5, 100.1) is LeavePhase.EXITED


def test_serving_daemon_does_not_exit() -> None:
    assert LeaveProcedure(TIMES).step(0, 1e9) is LeavePhase.SERVING


@pytest.mark.parametrize("grace_s", [3.0, 6.0, 8.0, 30.0])
def test_open_requests_continue_until_the_last_sixth_of_the_grace_time(
    grace_s: float,
) -> None:
    times = LeaveTimes.within(grace_s)
    assert grace_s * 5 / 6 <= times.bound_s < grace_s
    leave = LeaveProcedure(times)
    leave.announce(10.0)
    assert leave.step(1, 10.0 + grace_s * 5 / 6) is not LeavePhase.EXITED
    assert leave.step(1, 10.0 + grace_s * 0.95) is LeavePhase.EXITED


def test_no_request_is_accepted_three_seconds_after_the_signal() -> None:
    leave = LeaveProcedure(LeaveTimes.within(8.0))
    leave.announce(10.0)
    assert leave.step(1, 12.0) is LeavePhase.ANNOUNCED
    assert leave.step(1, 12.95) is LeavePhase.DRAINING


@pytest.mark.parametrize("grace_s", [0.3, 1.0, 3.0, 5.0, 8.0, 30.0])
def test_no_request_is_accepted_in_the_last_half_of_the_grace_time(
    grace_s: float,
) -> None:
    leave = LeaveProcedure(LeaveTimes.within(grace_s))
    leave.announce(10.0)
    assert leave.step(1, 10.0 + grace_s / 2) is LeavePhase.DRAINING


def test_request_read_late_by_a_delayed_process_is_not_accepted(
    leave: LeaveProcedure,
) -> None:
    assert leave.step(0, 105.0) is LeavePhase.ANNOUNCED
    assert leave.accepts(110.9)
    assert not leave.accepts(111.0)


def test_work_begins_only_if_it_can_end_before_the_exit(leave: LeaveProcedure) -> None:
    assert leave.last_start_at(4.0) == pytest.approx(126.0)
    assert leave.last_start_at(25.0) == pytest.approx(111.0)
    leave.exit_now()
    assert leave.last_start_at(0.0) < 100.0
    assert LeaveProcedure(TIMES).last_start_at(1e9) > 1e9


def test_times_changed_during_a_shutdown_do_not_move_its_end(
    leave: LeaveProcedure,
) -> None:
    leave.change_times(LeaveTimes.within(300.0))
    assert leave.step(1, 130.0) is LeavePhase.EXITED
    serving = LeaveProcedure(TIMES)
    serving.change_times(LeaveTimes.within(3.0))
    serving.announce(100.0)
    assert serving.step(1, 103.0) is LeavePhase.EXITED


@pytest.mark.parametrize("grace_s", [0.5, 3.0, 8.0, 30.0])
def test_exit_with_all_that_it_closes_ends_within_the_grace_time(
    grace_s: float,
) -> None:
    leave = LeaveProcedure(LeaveTimes.within(grace_s))
    leave.announce(10.0)
    assert leave.times.bound_s + sum(leave.closing_s()) <= 0.98 * grace_s
