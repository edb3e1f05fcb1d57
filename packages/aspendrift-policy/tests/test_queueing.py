"""Tests of the queue of a pool."""

from __future__ import annotations

import pytest

from aspendrift_model.states import Priority
from aspendrift_policy.queueing import PoolQueue, Rank


def rank(
    latest: float = 9.0,
    *,
    unstarted: bool = True,
    over: bool = False,
    priority: Priority = Priority.NORMAL,
) -> Rank:
    return Rank(unstarted, over, priority, latest, latest)


def served(queue: PoolQueue[str], n: int = 99) -> list[str]:
    names: list[str] = []

    def accept(name: str) -> bool:
        if len(names) == n:
            return False
        names.append(name)
        return True

    queue.serve(accept, 0)
    return names


def test_order_is_started_share_priority_then_deadline() -> None:
    queue: PoolQueue[str] = PoolQueue()
    queue.push(rank(5.0, over=True), "over", 0.0)
    queue.push(rank(7.0), "later", 0.0)
    queue.push(rank(6.0), "sooner", 0.0)
    queue.push(rank(8.0, priority=Priority.URGENT), "urgent", 0.0)
    queue.push(rank(9.0, unstarted=False), "started", 0.0)
    assert served(queue) == ["started", "urgent", "sooner", "later", "over"]


@pytest.mark.fault("burst", "request admitted")
def test_attempts_past_their_latest_start_are_returned_once() -> None:
    queue: PoolQueue[str] = PoolQueue()
    queue.push(rank(1.0), "first", 0.0)
    queue.push(rank(2.0), "second", 0.0)
    assert queue.next_expiry() == 1.0
    assert [each.ticket for each in queue.expire(1.5)] == ["first"]
    assert queue.expire(1.5) == []
    assert served(queue) == ["second"]
    assert len(queue) == 0


def test_attempt_that_no_free_target_suits_is_passed_over() -> None:
    queue: PoolQueue[str] = PoolQueue()
    queue.push(rank(1.0), "picky", 0.0)
    queue.push(rank(2.0), "easy", 0.0)
    assert queue.serve(lambda name: name == "easy", 4) == 1
    assert len(queue) == 1
    assert served(queue) == ["picky"]


def test_removed_attempt_is_neither_served_nor_expired() -> None:
    queue: PoolQueue[str] = PoolQueue()
    waiting = queue.push(rank(1.0), "gone", 0.0)
    queue.remove(waiting)
    queue.remove(waiting)
    assert len(queue) == 0
    assert queue.next_expiry() is None
    assert served(queue) == []
