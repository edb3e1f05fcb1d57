"""Tests of retry budgets and back-off."""

from __future__ import annotations

import random

import pytest

from aspendrift_policy.retry_budget import RetryBudgets, RetryLimit, backoff_s


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


@pytest.mark.parametrize("n_daemons", [1, 2, 6, 8, 20])
@pytest.mark.parametrize("attempts_per_s", [0.0, 2.0, 40.0])
def test_budgets_of_all_daemons_stay_within_their_common_limit(
    n_daemons: int, attempts_per_s: float
) -> None:
    limit = RetryLimit(0.2, 56.0, 10.0)
    daemons = [RetryBudgets[str].within(limit, n_daemons) for _ in range(n_daemons)]
    rng = random.Random(1)
    retried_at: list[float] = []
    attempted_at: list[float] = []
    for step in range(600):
        now = 60.0 + step / 10
        for budgets in daemons:
            budget = budgets.of("pool", now)
            if rng.random() < attempts_per_s / 10 / n_daemons:
                attempted_at.append(now)
                budget.record_first_attempt(now)
            # All of the first half succeeds, so that every bucket is full.
            while step >= 300 and budget.may_retry(now):
                budget.consume()
                retried_at.append(now)
    assert retried_at
    for begin in retried_at:
        n_retries = sum(begin <= at < begin + 10.0 for at in retried_at)
        n_attempts = sum(begin <= at < begin + 10.0 for at in attempted_at)
        assert n_retries <= 0.2 * n_attempts + 56.0


def test_restarts_within_a_window_add_no_retries_beyond_the_limit() -> None:
    limit = RetryLimit(0.2, 60.0, 10.0)
    daemons = [RetryBudgets[str].within(limit, 5) for _ in range(5)]
    retried_at: list[float] = []
    attempted_at: list[float] = []
    for step in range(600):
        now = 60.0 + step / 10
        for number in range(5):
            # In the second half all answers are failures, and daemons are killed.
            if step >= 300 and (step + 7 * number) % 33 == 0:
                daemons[number] = RetryBudgets[str].within(limit, 5, now)
            budget = daemons[number].of("pool", now)
            if step % 5 == 0:
                budget.record_first_attempt(now)
                attempted_at.append(now)
            while step >= 300 and budget.may_retry(now):
                budget.consume()
                retried_at.append(now)
    for begin in retried_at:
        n_retries = sum(begin <= at < begin + 10.0 for at in retried_at)
        n_attempts = sum(begin <= at < begin + 10.0 for at in attempted_at)
        assert n_retries <= 0.2 * n_attempts + 60.0


def test_bucket_that_shrinks_loses_its_tokens() -> None:
    limit = RetryLimit(0.0, 50.0, 10.0)
    budgets = RetryBudgets[str].within(limit, 1)
    budgets.of("a", 0.0)
    budgets.divide(limit, 50)
    budget = budgets.of("a", 0.0)
    assert budget.may_retry(0.0)
    budget.consume()
    assert not budget.may_retry(0.0)


def test_backoff_grows_and_has_jitter() -> None:
    rng = random.Random(2)
    waits = [backoff_s(10, rng) for _ in range(200)]
    assert max(waits) <= 1.0
    assert min(waits) < 0.1
    assert all(backoff_s(0, rng) <= 0.02 for _ in range(100))
