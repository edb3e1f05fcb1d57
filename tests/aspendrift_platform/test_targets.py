"""Tests of target calls that compute pieces of stages."""

from __future__ import annotations

import json

import pytest

from aspendrift_model.ids import AttemptId
from aspendrift_model.pieces import Handle, PieceFailure, PieceId, PieceWork
from aspendrift_platform.targets import PlatformTargetCodec

CODEC = PlatformTargetCodec()


def test_pieces_are_sent_with_a_key_or_their_inputs():
    first = PieceWork(PieceId(AttemptId("a"), 0, 2), "key", ())
    second = PieceWork(PieceId(AttemptId("b"), 2, 0), "", (Handle("10.0.0.1:1/x"),))
    call = CODEC.stage_run([first, second])
    assert (call.method, call.target_path) == ("POST", "/-/stage-run")
    assert json.loads(call.body)["items"] == [
        {"id": "a", "stage": 0, "piece": 2, "key": "key"},
        {"id": "b", "stage": 2, "piece": 0, "inputs": ["10.0.0.1:1/x"]},
    ]


def test_outcomes_are_decoded_in_order():
    body = json.dumps(
        {
            "items": [
                {"handle": "10.0.0.1:1/x"},
                {"reason": "late"},
                {"reason": "gone"},
                {"reason": "room"},
                {"reason": "error"},
                {"reason": "something new"},
            ]
        }
    ).encode()
    assert CODEC.stage_outcomes(body, 6) == (
        Handle("10.0.0.1:1/x"),
        PieceFailure.OVERDUE,
        PieceFailure.INPUT_GONE,
        PieceFailure.NO_MEMORY,
        PieceFailure.ERROR,
        PieceFailure.ERROR,
    )


@pytest.mark.parametrize("body", [b"", b"{}", b'{"items":[]}', b'{"items":[3]}'])
def test_answer_that_does_not_fit_the_call_is_none(body):
    assert CODEC.stage_outcomes(body, 1) is None


def test_holder_of_a_result():
    assert CODEC.holder(Handle("10.0.0.1:8080/91bd")) == "10.0.0.1:8080"
