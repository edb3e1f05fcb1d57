"""Tests of the expected answers and of the comparison with them."""

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
EXPECTED = expected_answer("r1", "input", PIPELINE)


def outcome_of(answer: ExpectedAnswer, tokens: tuple[str, ...]) -> OutcomeBody:
    return OutcomeBody(
        "r1",
        OutcomeStatus.ANSWERED,
        Ran.YES,
        None,
        len(tokens),
        token_digest(tokens),
    )


def test_complete_matching_answer_passes_streamed_or_not() -> None:
    outcome = outcome_of(EXPECTED, EXPECTED.tokens)
    assert answer_fault(EXPECTED, outcome, EXPECTED.tokens) is None
    with_output = OutcomeBody(
        "r1",
        OutcomeStatus.ANSWERED,
        Ran.YES,
        EXPECTED.output,
        outcome.n_tokens,
        outcome.digest,
    )
    assert answer_fault(EXPECTED, with_output, None) is None


def test_cut_answer_is_distinguished_from_a_crossed_one() -> None:
    cut = EXPECTED.tokens[:-1]
    fault = answer_fault(EXPECTED, outcome_of(EXPECTED, cut), cut)
    assert fault is not None and fault.cut
    other = expected_answer("r2", "input", PIPELINE)
    fault = answer_fault(EXPECTED, outcome_of(other, other.tokens), other.tokens)
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
    truncated = OutcomeBody("r1", OutcomeStatus.ANSWERED, Ran.YES, spaced[:-3])
    assert answer_fault(expected, truncated, None) is not None
