"""Queue of attempts that wait for a slot of a pool, each for a limited time."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from aspendrift_model.states import Priority

__all__ = ["PoolQueue", "QueueEntry", "Rank"]

_T = TypeVar("_T")


@dataclass(frozen=True, slots=True, order=True)
class Rank:
    """Sort key of the queue; smaller ranks are served first.

    Started requests precede unstarted ones, so that the work spent on them is
    not wasted. Within each group, accounts within their fair share come first;
    further order is by priority and urgency. ``latest_start`` bounds the wait.
    """

    is_unstarted: bool
    is_over_share: bool
    priority: Priority
    urgency: float
    latest_start: float


@dataclass(slots=True, order=True)
class QueueEntry(Generic[_T]):
    """Queue entry of one attempt; ``ticket`` is opaque to the queue."""

    rank: Rank
    number: int
    ticket: _T = field(compare=False)
    since: float = field(compare=False)
    is_done: bool = field(default=False, compare=False)


class PoolQueue(Generic[_T]):
    """Priority queue of the attempts of one pool, each with a latest start."""

    def __init__(self) -> None:
        self._by_rank: list[QueueEntry[_T]] = []
        self._by_latest_start: list[tuple[float, int, QueueEntry[_T]]] = []
        self._n_pushed = 0
        self._n_waiting = 0

    def __len__(self) -> int:
        return self._n_waiting

    def push(self, rank: Rank, ticket: _T, now: float) -> QueueEntry[_T]:
        """Add an attempt."""
        self._n_pushed += 1
        waiting = QueueEntry(rank, self._n_pushed, ticket, now)
        heapq.heappush(self._by_rank, waiting)
        entry = (rank.latest_start, self._n_pushed, waiting)
        heapq.heappush(self._by_latest_start, entry)
        self._n_waiting += 1
        return waiting

    def remove(self, waiting: QueueEntry[_T]) -> None:
        """Remove an attempt; no effect if it was already removed."""
        if waiting.is_done:
            return
        waiting.is_done = True
        self._n_waiting -= 1

    def waiting(self) -> list[QueueEntry[_T]]:
        """Return the waiting attempts, in no particular order."""
        return [waiting for waiting in self._by_rank if not waiting.is_done]

    def expire(self, now: float) -> list[QueueEntry[_T]]:
        """Remove and return the attempts whose latest start has passed."""
        expired: list[QueueEntry[_T]] = []
        while self._by_latest_start:
            latest_start, _, waiting = self._by_latest_start[0]
            if not waiting.is_done:
                if latest_start >= now:
                    break
                self.remove(waiting)
                expired.append(waiting)
            heapq.heappop(self._by_latest_start)
        return expired

    def next_expiry(self) -> float | None:
        """Return the earliest latest start, or None when the queue is empty."""
        while self._by_latest_start and self._by_latest_start[0][2].is_done:
            heapq.heappop(self._by_latest_start)
        return self._by_latest_start[0][0] if self._by_latest_start else None

    def serve(self, offer: Callable[[_T], bool], n_skips: int) -> int:
        """Offer slots to attempts in order of rank.

        Parameters
        ----------
        offer : callable
            Tries to assign a slot to a ticket and returns whether it did.
        n_skips : int
            Attempts that may be skipped, because no free target suits them, before
            serving stops.

        Returns
        -------
        int
            Number of attempts served.
        """
        skipped: list[QueueEntry[_T]] = []
        n_served = 0
        while self._by_rank and len(skipped) <= n_skips:
            waiting = heapq.heappop(self._by_rank)
            if waiting.is_done:
                continue
            if offer(waiting.ticket):
                self.remove(waiting)
                n_served += 1
            else:
                skipped.append(waiting)
        for waiting in skipped:
            heapq.heappush(self._by_rank, waiting)
        return n_served
