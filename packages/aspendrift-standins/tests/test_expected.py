"""Tests of the expected answers and of the check against them."""

from __future__ import annotations

import pytest

from aspendrift_model.digests import token_digest
from aspendrift_model.states import OutcomeStatus, Ran, StageKind
from aspendrift_model.wire_caller import OutcomeBody
from aspendrift_standins.expected import (
    ExpectedAnswer,
    ExpectedStage,
    answer_fault,
    expected_answer,
)

PIPELINE = (
    ExpectedStage("encode", StageKind.ENCODE),
    ExpectedStage("retrieve", StageKind.RETRIEVE),
    ExpectedStage("rerank", StageKind.RERANK),
    ExpectedStage("generate", StageKind.GENERATE, 16),
)
MINE = expected_answer("r1", "input", PIPELINE)


def outcome_of(answer: ExpectedAnswer, tokens: tuple[str, ...]) -> OutcomeBody:
    return OutcomeBody(
        "r1",
        OutcomeStatus.ANSWERED,
        Ran.YES,
        None,
        len(tokens),
        token_digest(tokens),
    )


def test_whole_answer_of_its_own_passes_streamed_or_not() -> None:
    outcome = outcome_of(MINE, MINE.tokens)
    assert answer_fault(MINE, outcome, MINE.tokens) is None
    whole = OutcomeBody(
        "r1",
        OutcomeStatus.ANSWERED,
        Ran.YES,
        MINE.output,
        outcome.n_tokens,
        outcome.digest,
    )
    assert answer_fault(MINE, whole, None) is None


def test_cut_answer_is_told_from_a_crossed_one() -> None:
    cut = MINE.tokens[:-1]
    fault = answer_fault(MINE, outcome_of(MINE, cut), cut)
    assert fault is not None and fault.cut
    other = expected_answer("r2", "input", PIPELINE)
    fault = answer_fault(MINE, outcome_of(other, other.tokens), other.tokens)
    assert fault is not None and not fault.cut


@pytest.mark.parametrize("n_stages", [1, 2, 3, 4])
def test_every_stage_depends_on_request_and_input(n_stages: int) -> None:
    stages = PIPELINE[:n_stages]
    answers = {
        expected_answer(request_id, text, stages).output
        for request_id in ("r1", "r2")
        for text in ("input", "other")
    }
    assert len(answers) == 4


def test_answer_of_a_service_is_compared_as_json() -> None:
    stages = (ExpectedStage("deposit", StageKind.CALL),)
    expected = expected_answer("r1", "input", stages)
    spaced = expected.output.replace(":", " : ")
    outcome = OutcomeBody("r1", OutcomeStatus.ANSWERED, Ran.YES, spaced)
    assert answer_fault(expected, outcome, None) is None
    bad = OutcomeBody("r1", OutcomeStatus.ANSWERED, Ran.YES, spaced[:-3])
    assert answer_fault(expected, bad, None) is not None
