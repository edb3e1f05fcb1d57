"""Subset of a pool's targets that one daemon uses."""

from __future__ import annotations

from collections.abc import Sequence

from aspendrift_model.hosts import Location
from aspendrift_model.targets import Target
from aspendrift_policy.affinity import target_hash

__all__ = ["choose_subset"]


def choose_subset(
    targets: Sequence[Target], size: int, location: Location, salt: int
) -> list[Target]:
    """Return at most ``size`` targets, by rendezvous hash, nearer zones first.

    Parameters
    ----------
    targets : sequence of Target
        Every target of the pool.
    size : int
        Maximum number of targets to use.
    location : Location
        Zone and region of the daemon.
    salt : int
        Number that differs between daemons, so that their subsets differ.

    Notes
    -----
    A quarter of the subset is reserved for other availability zones, so that a daemon
    still has targets when its own zone fails.
    """
    if len(targets) <= size:
        return list(targets)

    def weight(target: Target) -> int:
        return target_hash(target.target_id) * (salt | 1) & ((1 << 64) - 1)

    ranked = sorted(targets, key=weight)
    in_zone = [target for target in ranked if target.zone == location.zone]
    in_other_zones = [target for target in ranked if target.zone != location.zone]
    n_in_other_zones = max(size // 4, size - len(in_zone))
    return in_zone[: size - n_in_other_zones] + in_other_zones[:n_in_other_zones]
