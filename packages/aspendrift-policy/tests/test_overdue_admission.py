"""Tests of the admission of overdue requests, and of how long they wait."""

from __future__ import annotations

import random

from aspendrift_policy.overdue_admission import OverdueAdmission, OverdueDecision


def poll(admission, times, is_overdue=True, is_backlogged=True):
    return [admission.decide(is_overdue, is_backlogged, at) for at in times]


def test_request_in_time_or_without_a_backlog_starts():
    admission = OverdueAdmission(random.Random(0))
    assert admission.decide(False, True, 0.0) is OverdueDecision.START
    assert admission.decide(True, False, 0.1) is OverdueDecision.START


def test_overdue_request_waits_about_a_second_and_is_refused():
    verdicts = poll(OverdueAdmission(random.Random(0)), [0.0, 0.4, 0.9, 1.0])
    assert verdicts == [*[OverdueDecision.WAIT] * 3, OverdueDecision.REFUSE]


def test_overdue_request_starts_once_the_backlog_ends():
    admission = OverdueAdmission(random.Random(0))
    poll(admission, [0.0, 0.5])
    assert admission.decide(True, False, 0.7) is OverdueDecision.START


def test_earlier_waits_count_but_work_time_does_not():
    admission = OverdueAdmission(random.Random(0))
    poll(admission, [0.0, 0.5])
    assert admission.decide(True, False, 0.6) is OverdueDecision.START
    assert poll(admission, [9.0, 9.3]) == [OverdueDecision.WAIT] * 2
    assert admission.decide(True, True, 9.5) is OverdueDecision.REFUSE


def test_polls_of_many_requests_have_jitter():
    delays = {
        OverdueAdmission(random.Random(seed)).poll_delay_s() for seed in range(20)
    }
    assert len(delays) == 20
    assert 0.1 < min(delays) < max(delays) < 0.2
