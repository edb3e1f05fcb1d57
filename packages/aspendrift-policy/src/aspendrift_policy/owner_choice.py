"""Selection of the daemon that schedules the work of a pool.

Uses rendezvous hashing (highest random weight) over the members that are considered
serving: each pool has one owner, and when a daemon joins or leaves only its own pools
change owner. Daemons may temporarily disagree on the members; two schedulers of one
pool then only reduce its efficiency.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from aspendrift_model.ids import DaemonId

__all__ = ["owners_in_order"]


def owners_in_order(key: str, daemon_ids: Iterable[DaemonId]) -> list[DaemonId]:
    """Return the daemons in order of preference as owner of a pool or another key."""
    return sorted(
        daemon_ids,
        key=lambda daemon_id: xxhash.xxh3_64_intdigest(f"{key}/{daemon_id}".encode()),
        reverse=True,
    )
