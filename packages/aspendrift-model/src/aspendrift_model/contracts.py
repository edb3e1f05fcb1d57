"""What a profile promises its callers: deadline, priority, idempotence."""

from __future__ import annotations

from dataclasses import dataclass

from aspendrift_model.states import Priority

__all__ = ["Contract"]


@dataclass(frozen=True, slots=True)
class Contract:
    """The promise a profile makes for each of its requests.

    Parameters
    ----------
    deadline_ms : int
        Time from arrival to the whole answer, in milliseconds.
    priority : Priority
        Serving order under overload.
    idempotent : bool
        Whether a request may run more than once.
    """

    deadline_ms: int
    priority: Priority = Priority.NORMAL
    idempotent: bool = True
