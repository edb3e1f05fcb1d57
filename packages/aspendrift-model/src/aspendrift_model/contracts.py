"""Service contract of a profile: deadline, priority and idempotence."""

from __future__ import annotations

from dataclasses import dataclass

from aspendrift_model.states import Priority

__all__ = ["Contract"]


@dataclass(frozen=True, slots=True)
class Contract:
    """Service level that a profile guarantees for each of its requests.

    Parameters
    ----------
    deadline_ms : int
        Time from arrival of a request to its complete answer, in milliseconds.
    priority : Priority
        Order in which requests are served under overload.
    idempotent : bool
        Whether a request may run more than once.
    """

    deadline_ms: int
    priority: Priority = Priority.NORMAL
    idempotent: bool = True
