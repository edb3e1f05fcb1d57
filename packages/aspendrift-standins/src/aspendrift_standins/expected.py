"""Answers of the stand-in targets, as deterministic functions of the request.

Every output depends on the request id, the stage, the input and the output of
the previous stage. A checker that knows only the request can therefore tell
whether an answer is complete, and whether any part of it belongs to another
request.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Any, Final

import msgspec

from aspendrift_model.digests import token_digest
from aspendrift_model.states import StageKind
from aspendrift_model.wire_caller import OutcomeBody

__all__ = [
    "AnswerFault",
    "ExpectedAnswer",
    "ExpectedStage",
    "answer_fault",
    "expected_answer",
    "generated_tokens",
    "stage_output",
    "stage_input_digest",
]

_N_PASSAGES: Final = 4
_TOKEN_HEX_DIGITS: Final = 6


@dataclass(frozen=True, slots=True)
class ExpectedStage:
    """Properties of a pipeline stage on which the answer depends."""

    name: str
    kind: StageKind
    max_tokens: int = 0


@dataclass(frozen=True, slots=True)
class ExpectedAnswer:
    """Complete answer to a request; ``tokens`` is empty unless it is generated."""

    output: str
    tokens: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class AnswerFault:
    """An answer that is not the expected one.

    Parameters
    ----------
    cut : bool
        Whether it is a prefix of the expected answer, as if truncated.
    """

    cut: bool
    found: str
    expected: str


def stage_input_digest(
    request_id: str, stage: str, kind: StageKind, text: str, context: Any
) -> str:
    """Return a digest of everything on which the output of a stage depends."""
    canonical = msgspec.json.encode(context, order="deterministic")
    parts = (request_id.encode(), stage.encode(), kind.value.encode(), text.encode())
    digest = hashlib.blake2b(digest_size=16)
    for part in (*parts, canonical):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def stage_output(
    request_id: str, stage: str, kind: StageKind, text: str, context: Any
) -> dict[str, Any]:
    """Return the output of a stage pool or service."""
    digest = stage_input_digest(request_id, stage, kind, text, context)
    output: dict[str, Any] = {"stage": stage, "kind": kind.value, "digest": digest}
    if kind is StageKind.RETRIEVE:
        output["passages"] = [f"{digest[:8]}-{i}" for i in range(_N_PASSAGES)]
    elif kind is StageKind.RERANK and isinstance(context, dict):
        passages = context.get("passages", [])
        order = sorted(passages, key=lambda passage: rerank_key(digest, passage))
        output["passages"] = order[: max(1, len(order) // 2)]
    return output


def rerank_key(digest: str, passage: str) -> str:
    """Return the sort key of a passage for reranking."""
    return hashlib.blake2b(f"{digest}{passage}".encode(), digest_size=8).hexdigest()


def n_generated(digest: str, max_tokens: int) -> int:
    """Return the number of generated tokens, at most an eighth below the maximum."""
    n_lengths = max_tokens // 8 + 1
    return max(1, max_tokens - int(digest[:8], 16) % n_lengths)


def generated_token(digest: str, n: int) -> str:
    """Return the n-th token, counted from 1."""
    material = hashlib.blake2b(f"{digest}{n}".encode(), digest_size=8).hexdigest()
    return f" {material[:_TOKEN_HEX_DIGITS]}"


def generated_tokens(digest: str, max_tokens: int) -> Iterator[str]:
    """Yield the tokens of a complete generation."""
    for n in range(1, n_generated(digest, max_tokens) + 1):
        yield generated_token(digest, n)


def expected_answer(
    request_id: str, text: str, stages: Sequence[ExpectedStage]
) -> ExpectedAnswer:
    """Return the complete answer of a pipeline to a request."""
    context: Any = None
    answer = ExpectedAnswer("")
    for stage in stages:
        if stage.kind is StageKind.GENERATE:
            digest = stage_input_digest(
                request_id, stage.name, stage.kind, text, context
            )
            tokens = tuple(generated_tokens(digest, stage.max_tokens))
            answer = ExpectedAnswer("".join(tokens), tokens)
            context = answer.output
        else:
            context = stage_output(request_id, stage.name, stage.kind, text, context)
            answer = ExpectedAnswer(msgspec.json.encode(context).decode())
    return answer


def answer_fault(
    expected: ExpectedAnswer, outcome: OutcomeBody, streamed: Sequence[str] | None
) -> AnswerFault | None:
    """Return the fault of an answered outcome, or None if it is as expected.

    Parameters
    ----------
    streamed : sequence of str or None
        Tokens received before the outcome, if the answer was streamed.
    """
    if expected.tokens:
        return _token_fault(expected, outcome, streamed)
    found = outcome.output or ""
    if _same_json(found, expected.output):
        return None
    return AnswerFault(expected.output.startswith(found), found, expected.output)


def _token_fault(
    expected: ExpectedAnswer, outcome: OutcomeBody, streamed: Sequence[str] | None
) -> AnswerFault | None:
    found = "".join(streamed) if streamed is not None else outcome.output or ""
    is_complete = (
        found == expected.output
        and outcome.n_tokens == len(expected.tokens)
        and outcome.digest == token_digest(expected.tokens)
        and (outcome.output is None or outcome.output == expected.output)
    )
    if is_complete:
        return None
    return AnswerFault(expected.output.startswith(found), found, expected.output)


def _same_json(first: str, second: str) -> bool:
    try:
        return bool(msgspec.json.decode(first) == msgspec.json.decode(second))
    except msgspec.DecodeError:
        return False
