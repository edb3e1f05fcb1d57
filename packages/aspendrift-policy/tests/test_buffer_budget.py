"""Tests of the memory for what callers and targets send or don't read."""

from __future__ import annotations

from aspendrift_policy.buffer_budget import BufferBudget, BufferShares, UnreadAnswers

SMALLEST_HOST_BYTES = 160e6
BASE_BYTES = 70e6


def test_bytes_beyond_the_budget_are_not_reserved():
    budget = BufferBudget(100)
    assert budget.reserve(60)
    assert not budget.reserve(41)
    assert budget.reserve(40)
    budget.release(60)
    assert budget.reserve(60)


def test_all_budgets_together_leave_room_for_the_process_on_the_smallest_host():
    shares = BufferShares.within(SMALLEST_HOST_BYTES)
    budgets = (shares.requests, shares.answers, shares.unread.budget)
    assert sum(each.max_bytes for each in budgets) + BASE_BYTES < SMALLEST_HOST_BYTES


def test_answer_that_waited_longest_is_broken_off_for_one_that_is_read():
    unread = UnreadAnswers(BufferBudget(250))
    broken_off = []
    stalled = unread.began(100, lambda: broken_off.append("stalled"))
    for _ in range(5):
        unread.ended(unread.began(100, lambda: broken_off.append("read")))
    unread.began(100, lambda: broken_off.append("slow"))
    unread.began(100, lambda: broken_off.append("next"))
    assert broken_off == ["stalled"]
    unread.ended(stalled)
    assert unread.n_waiting == 2


def test_answer_is_sent_where_the_budget_is_smaller_than_a_part():
    unread = UnreadAnswers(BufferBudget(10))
    unread.ended(unread.began(100, lambda: None))
    assert unread.budget.n_bytes == 0
