"""Tests of recognizing copies of an answer by their handles."""

from __future__ import annotations

from aspendrift_model.pieces import Handle
from aspendrift_policy.handle_history import HandleHistory

FIRST = [Handle("t/1"), Handle("t/2")]


def test_answer_with_a_handle_of_an_earlier_answer_is_a_copy():
    history = HandleHistory()
    assert not history.is_copy(FIRST, 0.0)
    assert history.is_copy([Handle("t/3"), FIRST[1]], 1.0)
    assert not history.is_copy([Handle("t/3")], 1.0)


def test_answers_without_handles_are_no_copies():
    history = HandleHistory()
    assert not history.is_copy([], 0.0)
    assert not history.is_copy([], 0.1)


def test_handles_are_not_retained_for_ever():
    history = HandleHistory()
    assert not history.is_copy(FIRST, 0.0)
    assert not history.is_copy(FIRST, 60.0)
