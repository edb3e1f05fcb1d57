"""Tests of reading the answers to batch calls."""

from __future__ import annotations

import json
from types import SimpleNamespace

import pytest

from aspendrift_gateway.interfaces import AnswerHead
from aspendrift_gateway.pool_runner import _CallReading
from aspendrift_gateway.target_client import CompleteAnswer
from aspendrift_model.pieces import Handle, PieceFailure
from aspendrift_policy.handle_history import HandleHistory

HEAD = AnswerHead(None, False, False, False, False)


class FakeCodec:
    def stage_outcomes(self, body, n_pieces):
        found = json.loads(body)
        if len(found) != n_pieces:
            return None
        return tuple(Handle(each) if each else PieceFailure.OVERDUE for each in found)


def answer(*handles, status=200):
    return CompleteAnswer(status, (), HEAD, json.dumps(handles).encode())


@pytest.fixture
def read():
    handles = HandleHistory()
    clock = SimpleNamespace(monotonic=lambda: 0.0)

    def reading(found, n_pieces=2):
        result = _CallReading(FakeCodec(), handles, clock, n_pieces)
        return result.is_sound(found), result

    return reading


@pytest.mark.parametrize("handles", [("t/1", "t/2"), ("t/1", "")])
def test_answer_with_new_results_is_that_of_its_call(read, handles):
    is_sound, result = read(answer(*handles))
    assert is_sound
    assert len(result.outcomes) == 2


@pytest.mark.parametrize(
    "second",
    [
        answer("t/1", "t/2"),
        answer("t/1", "t/3"),
        answer("t/3"),
        answer("t/3", "t/4", status=500),
    ],
    ids=["copy", "part-of-a-copy", "other-call", "failure"],
)
def test_connection_of_an_answer_that_is_not_the_calls_own_is_not_used_again(
    read, second
):
    read(answer("t/1", "t/2"))
    is_sound, result = read(second)
    assert not is_sound
    assert result.outcomes is None


def test_connection_of_an_answer_without_results_is_not_used_again(read):
    """A copy of such an answer can't be told, and would shift all that follow."""
    is_sound, result = read(answer("", ""))
    assert not is_sound
    assert result.outcomes == (PieceFailure.OVERDUE, PieceFailure.OVERDUE)
