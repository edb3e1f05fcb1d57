"""Builds the response bodies of outcomes."""

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
_DELAYED_ACTIONS: Final = frozenset({CallerAction.RESEND, CallerAction.ASK_OUTCOME})


def outcome_body(
    request_id: RequestId,
    outcome: Outcome,
    *,
    daemon_id: DaemonId,
    revision: Revision,
    stages: tuple[StageTiming, ...] = (),
    addresses: Callable[[], Sequence[str]] = tuple,
    retry_after_ms: int | None = None,
    may_repeat: bool = True,
) -> OutcomeBody:
    """Return the body of an outcome.

    Parameters
    ----------
    addresses : callable
        Called only when the caller must resend elsewhere.
    retry_after_ms : int or None
        Retry delay for outcomes that have none of their own.
    may_repeat : bool
        Whether the request may run more than once.
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
    action = rule.action
    if action is CallerAction.RESEND and not (may_repeat or outcome.ran is Ran.NO):
        action = CallerAction.DO_NOT_RESEND
    if outcome.retry_after_ms is not None:
        retry_after_ms = outcome.retry_after_ms
    is_elsewhere = action is CallerAction.RESEND_ELSEWHERE
    return OutcomeBody(
        request_id,
        OutcomeStatus.REFUSED if is_refusal else OutcomeStatus.FAILED,
        outcome.ran,
        reason=outcome.reason,
        sentence=rule.sentence,
        detail=outcome.detail,
        action=action,
        retry_after_ms=retry_after_ms if action in _DELAYED_ACTIONS else None,
        addresses=tuple(addresses()) if is_elsewhere else (),
        stages=stages,
        daemon_id=daemon_id,
        revision=revision,
    )


def http_status(body: OutcomeBody) -> int:
    """Return the status of a response that carries a body."""
    if body.reason is None:
        return _HTTP_OK
    return REFUSAL_RULES[RefusalReason(body.reason)].http_status
