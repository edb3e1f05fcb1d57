"""Tests of the ports of fleets."""

from __future__ import annotations

from aspendrift_standins.ports import PortBlocks


def test_owners_never_get_the_same_port() -> None:
    owners = [PortBlocks() for _ in range(5)]
    try:
        taken = [port for owner in owners for port in owner.take(100)]
        taken += [port for owner in owners for port in owner.take(30)]
        assert len(set(taken)) == len(taken) == 650
    finally:
        for owner in owners:
            owner.close()


def test_closed_owner_takes_new_blocks() -> None:
    owner = PortBlocks()
    owner.take(1)
    owner.close()
    assert len(owner.take(2)) == 2
    owner.close()
