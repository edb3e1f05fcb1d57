"""Memory for what callers and targets send or don't read.

Load it answers: many callers that send large requests slowly, and many that don't read
their answers, at a host with little memory. A limit for each connection alone would
allow thousands of connections to fill the memory together.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

__all__ = ["BufferBudget", "BufferShares", "UnreadAnswers"]

# Shares of the memory of a process. The interpreter and the state of a daemon take up
# to 70 MB of 160 MB.
_REQUESTS_SHARE: Final = 0.15
_ANSWERS_SHARE: Final = 0.15
_UNREAD_SHARE: Final = 0.1
_STORE_SHARE: Final = 0.05


class BufferBudget:
    """Bytes that are held at the same time, with a limit.

    Parameters
    ----------
    max_bytes : int
        Most bytes that may be held together.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.n_bytes = 0

    def reserve(self, n_bytes: int) -> bool:
        """Reserve bytes; return False, and reserve none, if there is no room."""
        if self.n_bytes + n_bytes > self.max_bytes:
            return False
        self.n_bytes += n_bytes
        return True

    def release(self, n_bytes: int) -> None:
        """Release bytes that were reserved."""
        self.n_bytes -= n_bytes


class UnreadAnswers:
    """Parts of answers that wait for their callers to read.

    If there is no room for another part, the answer that has waited longest is broken
    off: its caller has stalled, while others read.

    Parameters
    ----------
    budget : BufferBudget
        Memory for all parts that wait.
    """

    def __init__(self, budget: BufferBudget) -> None:
        self.budget = budget
        self._waiting_by_number: dict[int, tuple[int, Callable[[], None]]] = {}
        self._last_number = 0

    @property
    def n_waiting(self) -> int:
        """Number of answers that wait."""
        return len(self._waiting_by_number)

    def began(self, n_bytes: int, break_off: Callable[[], None]) -> int:
        """Record that a part waits; return the number by which it is ended.

        Parameters
        ----------
        break_off : callable
            Breaks the answer off if its memory is needed.
        """
        while not self.budget.reserve(n_bytes):
            if not self._waiting_by_number:
                # A single part always goes, also where the budget is smaller.
                n_bytes = 0
                continue
            number, (_, break_off_oldest) = next(iter(self._waiting_by_number.items()))
            self.ended(number)
            break_off_oldest()
        self._last_number += 1
        self._waiting_by_number[self._last_number] = (n_bytes, break_off)
        return self._last_number

    def ended(self, number: int) -> None:
        """Record that a part was read, or its answer broken off."""
        found = self._waiting_by_number.pop(number, None)
        if found is not None:
            self.budget.release(found[0])


@dataclass(frozen=True, slots=True)
class BufferShares:
    """Budgets of a process.

    Parameters
    ----------
    requests : BufferBudget
        Bodies of requests that are being received or served.
    answers : BufferBudget
        Answers of targets that are read as a whole.
    unread : UnreadAnswers
        Parts of answers that callers have not read yet.
    store : BufferBudget
        Answers of the platform's store that are being read.
    """

    requests: BufferBudget
    answers: BufferBudget
    unread: UnreadAnswers
    store: BufferBudget

    @classmethod
    def within(cls, memory_bytes: float) -> BufferShares:
        """Return the budgets of a process that may use this much memory."""
        return cls(
            BufferBudget(int(memory_bytes * _REQUESTS_SHARE)),
            BufferBudget(int(memory_bytes * _ANSWERS_SHARE)),
            UnreadAnswers(BufferBudget(int(memory_bytes * _UNREAD_SHARE))),
            BufferBudget(int(memory_bytes * _STORE_SHARE)),
        )
