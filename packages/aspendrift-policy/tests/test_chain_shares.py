"""Tests of the shares of offered chains that start."""

from __future__ import annotations

import pytest

from aspendrift_policy.chain_shares import DemandMeter


def offered(demands, capacity_per_s=100.0, n_waiting=20):
    """Return the shares for demands in pieces per second, by rank and account."""
    meter = DemandMeter()
    for tick in range(300):
        for (rank, account), per_s in demands.items():
            meter.record(rank, account, per_s * 0.02, tick * 0.02)
    return meter.shares(capacity_per_s, n_waiting, 6.0)


def test_every_chain_starts_while_the_capacity_suffices():
    shares = offered({(0, 1): 40.0, (2, 2): 40.0})
    assert shares.of(0, 1) == shares.of(2, 2) == 1.0


def test_started_work_is_no_more_than_the_capacity_at_the_usual_backlog():
    demands = {(0, 1): 150.0, (0, 2): 30.0, (2, 1): 120.0, (2, 3): 100.0}
    shares = offered(demands)
    started = sum(per_s * shares.of(*key) for key, per_s in demands.items())
    assert started == pytest.approx(90.0, rel=0.05)


@pytest.mark.parametrize("factor", [1.2, 2.0, 4.0])
def test_no_rank_or_account_starts_less_than_a_quarter_as_often_as_all(factor):
    """Guards against starving the lowest rank or a large account."""
    demands = {(0, 1): 40.0, (0, 2): 20.0, (2, 1): 30.0, (2, 3): 10.0}
    demands = {key: factor * per_s for key, per_s in demands.items()}
    shares = offered(demands)
    common = 90.0 / sum(demands.values())
    assert all(shares.of(*key) >= 0.25 * common for key in demands)
    assert shares.of(0, 2) >= shares.of(2, 3)
    assert shares.of(0, 2) >= shares.of(0, 1)


def test_unused_shares_are_lent_to_a_large_account():
    shares = offered({(0, 1): 200.0, (0, 2): 5.0})
    assert shares.of(0, 2) > 0.7
    assert 200.0 * shares.of(0, 1) > 80.0


def test_a_backlog_reduces_the_shares():
    demands = {(0, 1): 200.0}
    assert offered(demands, n_waiting=40).of(0, 1) < 0.7 * offered(demands).of(0, 1)
