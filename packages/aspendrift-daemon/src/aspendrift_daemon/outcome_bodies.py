"""Turns outcomes into the bodies that callers read."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Final

from aspendrift_model.ids import DaemonId, RequestId, Revision
from aspendrift_model.outcomes import REFUSAL_RULES, Answered, Outcome, Refused
from aspendrift_model.states import (
    CallerAction,
    OutcomeStatus,
    Ran,
    RefusalReason,
)
from aspendrift_model.wire_caller import OutcomeBody, StageTiming

__all__ = ["http_status", "outcome_body"]

_HTTP_OK: Final = 200


def outcome_body(
    request_id: RequestId,
    outcome: Outcome,
    *,
    daemon_id: DaemonId,
    revision: Revision,
    stages: tuple[StageTiming, ...] = (),
    addresses: Callable[[], Sequence[str]] = tuple,
) -> OutcomeBody:
    """Return the body of an outcome.

    ``addresses`` is asked only when the caller is to go elsewhere.
    """
    if isinstance(outcome, Answered):
        return OutcomeBody(
            request_id,
            OutcomeStatus.ANSWERED,
            Ran.YES,
            output=outcome.output,
            n_tokens=outcome.n_tokens,
            digest=outcome.digest,
            stages=stages,
            daemon_id=daemon_id,
            revision=revision,
        )
    is_refusal = isinstance(outcome, Refused)
    rule = REFUSAL_RULES[outcome.reason]
    elsewhere = rule.action is CallerAction.RESEND_ELSEWHERE
    return OutcomeBody(
        request_id,
        OutcomeStatus.REFUSED if is_refusal else OutcomeStatus.FAILED,
        outcome.ran,
        reason=outcome.reason,
        sentence=rule.sentence,
        detail=outcome.detail,
        action=rule.action,
        retry_after_ms=outcome.retry_after_ms,
        addresses=tuple(addresses()) if elsewhere else (),
        stages=stages,
        daemon_id=daemon_id,
        revision=revision,
    )


def http_status(body: OutcomeBody) -> int:
    """Return the status of a response that carries a body."""
    if body.reason is None:
        return _HTTP_OK
    return REFUSAL_RULES[RefusalReason(body.reason)].http_status
