"""Tests of the selection of the daemon that schedules a pool."""

from __future__ import annotations

from aspendrift_model.ids import DaemonId, PoolName
from aspendrift_policy.owner_choice import owners_in_order

DAEMONS = [DaemonId(f"d{number}") for number in range(8)]
POOLS = [PoolName(f"p{number}") for number in range(40)]


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
