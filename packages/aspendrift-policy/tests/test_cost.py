"""Tests of cost accounting."""

from __future__ import annotations

import pytest

from aspendrift_model.ids import AccountId, PoolName, ProfileName, StageName
from aspendrift_policy.cost import CostLedger, UseKey


def key(account: str) -> UseKey:
    return UseKey(
        StageName("generate"), PoolName("eng"), ProfileName("p"), AccountId(account)
    )


def test_full_engine_costs_its_own_time() -> None:
    ledger = CostLedger()
    for _ in range(8):
        ledger.record_attempt(
            key("ann"), held_s=2.0, busy_s=1.0, slots=8, answered=True
        )
    total = ledger.totals_by_key[key("ann")]
    assert total.held_s == pytest.approx(2.0)
    assert total.busy_s == pytest.approx(1.0)
    assert total.n_answered == 8


def test_provisioned_time_counts_idle_engines() -> None:
    ledger = CostLedger()
    for now in (10.0, 11.0, 12.0):
        ledger.record_provisioned([(PoolName("eng"), 6)], now)
    assert ledger.provisioned_s_by_pool == {PoolName("eng"): 12.0}


def test_accounts_beyond_the_limit_are_summed() -> None:
    ledger = CostLedger()
    for number in range(9000):
        ledger.record_attempt(key(f"a{number}"), 1.0, 1.0, 1, True)
    assert len(ledger.totals_by_key) == 8193
    held = sum(total.held_s for total in ledger.totals_by_key.values())
    assert held == pytest.approx(9000.0)
