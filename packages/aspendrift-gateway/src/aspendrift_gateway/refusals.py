"""Refusals: answers of the gateway itself, with their status and body."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

import msgspec

from aspendrift_model.states import RefusalReason

__all__ = ["POISON_RETRY_AFTER_S", "Refusal", "refusal_body", "refusal_status"]

POISON_RETRY_AFTER_S: Final = 60.0

# Status that guarantees that the request has not run and never will, as 421 does.
_NOT_RUN_STATUS: Final = 503
_STATUS_BY_REASON: Final = {
    RefusalReason.BAD_REQUEST: 400,
    RefusalReason.UNAUTHENTICATED: 401,
    RefusalReason.NOT_FOUND: 404,
    RefusalReason.TOO_LARGE: 413,
    RefusalReason.CONFIGURATION_BEHIND: 421,
    RefusalReason.TARGET_FAILED: 502,
    RefusalReason.OUTCOME_UNKNOWN: 502,
    RefusalReason.INTERNAL: 502,
    RefusalReason.DEADLINE_EXCEEDED: 504,
}


@dataclass(frozen=True, slots=True)
class Refusal:
    """A request that the gateway answers itself.

    Parameters
    ----------
    retry_after_s : float or None
        Time after which the caller may retry; None if waiting makes no difference.
    """

    reason: RefusalReason
    detail: str = ""
    retry_after_s: float | None = None


def refusal_status(reason: RefusalReason) -> int:
    """Return the HTTP status of a reason; 503 is used only if nothing has run."""
    return _STATUS_BY_REASON.get(reason, _NOT_RUN_STATUS)


def refusal_body(refusal: Refusal) -> bytes:
    """Return the JSON body of a refusal."""
    return msgspec.json.encode(
        {"reason": refusal.reason.value, "detail": refusal.detail}
    )
