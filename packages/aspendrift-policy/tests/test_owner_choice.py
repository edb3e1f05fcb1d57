"""Tests of the selection of the daemon that schedules a pool."""

from __future__ import annotations

import math

import pytest

from aspendrift_model.hosts import HostCapacity
from aspendrift_model.ids import DaemonId, PoolName
from aspendrift_model.routes import PieceLimits, PoolSpec
from aspendrift_policy.owner_choice import (
    HostDemand,
    assign_pools,
    carriers_in_order,
    owners_in_order,
    pool_demand,
)

DAEMONS = [DaemonId(f"d{number}") for number in range(8)]
POOLS = [PoolName(f"p{number}") for number in range(40)]
SMALL = HostCapacity(0.387, 5e6)
LARGE = HostCapacity(2.15, 100e6)
# Large hosts among many small ones.
UNEVEN = {
    DaemonId(f"h{number}"): LARGE if number % 8 == 0 else SMALL for number in range(61)
}
STAGE_POOL = PoolSpec(PoolName("s"), 480, PieceLimits(1, 2, 96, 0.15, 0.0013, 1.7e6, 4))


def test_order_does_not_depend_on_the_order_of_the_members():
    for pool in POOLS:
        assert owners_in_order(pool, DAEMONS) == owners_in_order(pool, DAEMONS[::-1])


def test_only_the_pools_of_a_daemon_that_left_move():
    left = DAEMONS[3]
    others = [each for each in DAEMONS if each != left]
    for pool in POOLS:
        before = owners_in_order(pool, DAEMONS)
        assert owners_in_order(pool, others) == [
            each for each in before if each != left
        ]


def test_pools_spread_over_the_daemons():
    owners = {owners_in_order(pool, DAEMONS)[0] for pool in POOLS}
    assert len(owners) >= 6


def test_pools_belong_to_hosts_whose_links_carry_their_calls():
    demand = pool_demand(STAGE_POOL, 8, len(UNEVEN))
    assert demand.share_of(SMALL) > 1.0
    for pool in POOLS:
        owner = assign_pools({pool: demand}, UNEVEN, UNEVEN)[pool]
        assert UNEVEN[owner] is LARGE


def test_hosts_that_carry_one_pool_do_not_get_all_pools():
    demand = pool_demand(STAGE_POOL, 8, len(UNEVEN))
    owner_by_pool = assign_pools(dict.fromkeys(POOLS[:8], demand), UNEVEN, UNEVEN)
    owners = list(owner_by_pool.values())
    assert max(owners.count(each) for each in owners) <= 2


def test_order_is_that_of_the_hash_where_all_hosts_are_alike():
    alike = dict.fromkeys(DAEMONS, LARGE)
    unknown = dict.fromkeys(DAEMONS, HostCapacity())
    demand = pool_demand(STAGE_POOL, 8, len(DAEMONS))
    for pool in POOLS:
        expected = owners_in_order(pool, DAEMONS)
        for capacity_by_id in (alike, unknown, {}):
            found = carriers_in_order(pool, DAEMONS, demand, capacity_by_id)
            assert found == expected


def test_hosts_of_unknown_capacity_come_last():
    capacity_by_id = {**dict.fromkeys(DAEMONS, SMALL), DAEMONS[2]: HostCapacity()}
    demand = pool_demand(STAGE_POOL, 8, len(DAEMONS))
    for pool in POOLS:
        order = carriers_in_order(pool, DAEMONS, demand, capacity_by_id)
        assert order[-1] == DAEMONS[2]


@pytest.mark.parametrize("n_targets", [5, 6, 7, 8])
def test_owners_stay_while_some_targets_come_and_go(n_targets):
    assert pool_demand(STAGE_POOL, n_targets, 61) == pool_demand(STAGE_POOL, 8, 61)


def test_pool_of_which_nothing_is_asked_belongs_to_any_host():
    model = pool_demand(PoolSpec(PoolName("m"), 480), 56, 8)
    owners = {assign_pools({p: model}, UNEVEN, UNEVEN)[p] for p in POOLS}
    assert any(UNEVEN[each] is SMALL for each in owners)
    assert HostDemand().share_of(SMALL) == 0.0
    assert math.isfinite(model.share_of(SMALL))
