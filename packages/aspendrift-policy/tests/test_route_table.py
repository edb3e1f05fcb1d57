"""Tests of the lookup of routes, pools and accounts."""

from __future__ import annotations

from collections import Counter

import pytest

from aspendrift_model.ids import AccountId, AttemptId, PoolName
from aspendrift_model.routes import (
    KeyedAccount,
    RequestKind,
    Route,
    RoutingConfiguration,
    WeightedPool,
)
from aspendrift_policy.route_table import RouteTable


def route(prefix: str, *pools: WeightedPool, host: str = "h") -> Route:
    return Route(
        name=f"{host}{prefix}",
        host=host,
        prefix=prefix,
        kind=RequestKind.IDEMPOTENT,
        timeout_s=1.0,
        objective_s=0.2,
        priority=0,
        pools=pools or (WeightedPool(PoolName("p"), 1.0),),
        max_attempts=1,
    )


def make_table(*routes: Route, accounts: tuple[KeyedAccount, ...] = ()) -> RouteTable:
    return RouteTable(RoutingConfiguration(1, routes, {}, accounts=accounts))


@pytest.mark.parametrize(
    ("host", "path", "expected"),
    [
        ("h", "/a/x", "h/a/"),
        ("h", "/a/b/x", "h/a/b/"),
        ("h", "/a/b", "h/a/"),
        ("h", "/a", None),
        ("h", "/b/x", None),
        ("other", "/a/x", None),
        ("h", "/a/bc/x", "h/a/"),
    ],
)
def test_longest_prefix_of_the_host_wins(host, path, expected):
    matched = make_table(route("/a/"), route("/a/b/")).match(host, path)
    assert (matched and matched.name) == expected


def test_split_follows_the_weights_and_every_daemon_agrees():
    split = route("/a/", WeightedPool("p", 90.0), WeightedPool("q", 10.0))
    tables = [make_table(split), make_table(split)]
    ids = [AttemptId(f"{number:016x}") for number in range(4000)]
    chosen = [tables[0].pool(split, each) for each in ids]
    assert chosen == [tables[1].pool(split, each) for each in ids]
    assert 300 < Counter(chosen)["q"] < 500


def test_pool_without_weight_gets_nothing():
    split = route("/a/", WeightedPool("p", 0.0), WeightedPool("q", 1.0))
    chosen = {make_table(split).pool(split, AttemptId(str(n))) for n in range(200)}
    assert chosen == {"q"}


def test_account_is_found_by_each_of_its_keys_only():
    account = KeyedAccount(AccountId("a"), ("k1", "k2"))
    table = make_table(route("/a/"), accounts=(account,))
    assert table.account("k1") is account
    assert table.account("k2") is account
    assert table.account("k3") is None
    assert table.account(None) is None
    assert table.has_accounts
