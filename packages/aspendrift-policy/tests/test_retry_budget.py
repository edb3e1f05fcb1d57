"""Tests of retry budgets and back-off."""

from __future__ import annotations

import random

import pytest

from aspendrift_policy.retry_budget import RetryBudgets, backoff_s


@pytest.mark.fault("target failing", "request sent")
def test_retries_stay_a_share_of_first_attempts() -> None:
    budgets: RetryBudgets[str] = RetryBudgets(share=0.2, floor_per_s=1.0)
    n_retries = 0
    for step in range(3000):
        now = step / 100
        budget = budgets.of("ann", now)
        budget.record_first_attempt(now)
        if budget.may_retry(now):
            budget.consume()
            n_retries += 1
    assert 0.2 * 3000 <= n_retries <= 0.2 * 3000 + 30 + 10


def test_keys_have_budgets_of_their_own() -> None:
    budgets: RetryBudgets[str] = RetryBudgets(share=0.0, floor_per_s=0.0)
    while budgets.of("ann", 0.0).may_retry(0.0):
        budgets.of("ann", 0.0).consume()
    assert budgets.of("bob", 0.0).may_retry(0.0)


def test_backoff_grows_and_has_jitter() -> None:
    rng = random.Random(2)
    waits = [backoff_s(10, rng) for _ in range(200)]
    assert max(waits) <= 1.0
    assert min(waits) < 0.1
    assert all(backoff_s(0, rng) <= 0.02 for _ in range(100))
