"""Tests of the allocation of ports to fleets."""

from __future__ import annotations

from aspendrift_standins.ports import PortBlocks


def test_owners_never_get_the_same_port() -> None:
    owners = [PortBlocks() for _ in range(5)]
    try:
        ports = [port for owner in owners for port in owner.allocate(100)]
        ports += [port for owner in owners for port in owner.allocate(30)]
        assert len(set(ports)) == len(ports) == 650
    finally:
        for owner in owners:
            owner.close()


def test_closed_owner_allocates_new_blocks() -> None:
    owner = PortBlocks()
    owner.allocate(1)
    owner.close()
    assert len(owner.allocate(2)) == 2
    owner.close()
