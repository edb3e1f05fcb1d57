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
        Most targets to use.
    location : Location
        Where the daemon runs.
    salt : int
        Number that differs between daemons.

    Notes
    -----
    A quarter of the places stays for other availability zones, so a daemon can
    spill over when its own is gone.
    """
    if len(targets) <= size:
        return list(targets)

    def weight(target: Target) -> int:
        return target_hash(target.target_id) * (salt | 1) & ((1 << 64) - 1)

    ranked = sorted(targets, key=weight)
    near = [target for target in ranked if target.zone == location.zone]
    far = [target for target in ranked if target.zone != location.zone]
    n_far = max(size // 4, size - len(near))
    return near[: size - n_far] + far[:n_far]
