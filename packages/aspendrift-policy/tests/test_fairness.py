"""Tests of fair shares between accounts and daemons."""

from __future__ import annotations

import math

import msgspec
import pytest

from aspendrift_model.ids import AccountId, DaemonId, PoolName
from aspendrift_policy.fairness import FairShares, UsageDigest, fair_level

POOL = PoolName("eng")


def use(shares: FairShares, account: str, per_s: float, until: float) -> None:
    for step in range(int(until * 10)):
        now = step / 10
        shares.record_offered(AccountId(account), per_s / 10, now)
        shares.record_admitted(AccountId(account), per_s / 10, now)
        shares.record_demand(POOL, per_s / 10, now)


def test_fair_level_lends_what_small_accounts_leave_unused() -> None:
    level = fair_level({1: 0.1, 2: 0.1, 3: 9.0}, {}, 1.0)
    assert level == pytest.approx(0.8)
    assert fair_level({1: 0.1, 2: 0.2}, {}, 1.0) == math.inf


def test_fair_level_follows_the_weights() -> None:
    level = fair_level({1: 9.0, 2: 9.0}, {1: 3.0, 2: 1.0}, 1.0)
    assert level == pytest.approx(0.25)


@pytest.mark.fault("burst", "request admitted")
def test_only_the_greedy_account_is_over_its_share() -> None:
    shares = FairShares()
    use(shares, "greedy", 3.0, 10.0)
    use(shares, "small", 0.1, 10.0)
    assert shares.over_share(AccountId("greedy"), {}, 1, 10.0)
    assert not shares.over_share(AccountId("small"), {}, 1, 10.0)


@pytest.mark.fault("burst", "request admitted")
def test_use_of_an_account_is_summed_over_daemons() -> None:
    n_daemons = 8
    greedy = FairShares()
    use(greedy, "greedy", 0.5, 10.0)
    digest = msgspec.msgpack.encode(greedy.digest(10.0))
    here = FairShares()
    use(here, "greedy", 0.5, 10.0)
    use(here, "small", 0.05, 10.0)
    assert not here.over_share(AccountId("greedy"), {}, n_daemons, 10.0)
    for peer in range(n_daemons - 1):
        received = msgspec.msgpack.decode(digest, type=UsageDigest)
        here.apply_digest(DaemonId(f"d{peer}"), received, 10.0)
    assert here.over_share(AccountId("greedy"), {}, n_daemons, 10.2)
    assert not here.over_share(AccountId("small"), {}, n_daemons, 10.2)


def test_digest_stays_small_with_many_accounts() -> None:
    shares = FairShares()
    for number in range(2600):
        shares.record_offered(AccountId(f"account-{number}"), 0.01, 1.0)
    assert len(msgspec.msgpack.encode(shares.digest(1.0))) < 600


def test_share_of_a_pool_follows_the_demand_of_each_daemon() -> None:
    here = FairShares()
    use(here, "ann", 3.0, 40.0)
    assert here.share_of_pool(POOL, 4, 4, 40.0) == pytest.approx(0.25)
    other = FairShares()
    use(other, "ann", 1.0, 40.0)
    for peer in range(3):
        here.apply_digest(DaemonId(f"d{peer}"), other.digest(40.0), 40.0)
    assert here.share_of_pool(POOL, 4, 4, 40.0) == pytest.approx(0.5, rel=0.05)


def test_unrequested_slots_are_divided_evenly() -> None:
    here = FairShares()
    for peer in range(3):
        here.apply_digest(DaemonId(f"d{peer}"), FairShares().digest(40.0), 40.0)
    assert here.share_of_pool(POOL, 100, 4, 40.0) == pytest.approx(0.25)
    use(here, "ann", 20.0, 40.0)
    assert here.share_of_pool(POOL, 100, 4, 40.0) == pytest.approx(0.4, rel=0.05)


@pytest.mark.fault("peer link cut", "request admitted")
def test_digest_of_a_silent_peer_expires() -> None:
    here = FairShares()
    here.apply_digest(DaemonId("d1"), FairShares().digest(0.0), 0.0)
    assert here.recent_digests(5.0)
    assert not here.recent_digests(7.0)
