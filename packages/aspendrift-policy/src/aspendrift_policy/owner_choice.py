"""Selection of the daemons that do the work of a pool, or other work for all.

Uses rendezvous hashing (highest random weight) over the members that are considered
serving: each pool has one owner, and when a daemon joins or leaves, most others keep
their pools. Daemons may temporarily disagree on the members; two schedulers of one pool
then only reduce its efficiency.

Work that grows with the fleet goes to hosts that can carry it: those of which it takes
about the smallest share come first, and the hash decides among them.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

import xxhash

from aspendrift_model.hosts import HostCapacity
from aspendrift_model.ids import DaemonId, PoolName
from aspendrift_model.routes import PoolSpec

__all__ = [
    "NO_CAPACITIES",
    "HostDemand",
    "assign_pools",
    "carriers_in_order",
    "owners_in_order",
    "pool_demand",
]

_Capacities = Mapping[DaemonId, HostCapacity]
NO_CAPACITIES: Final[_Capacities] = {}

# Shares of a host up to this size count as equal; beyond it, those within a factor of
# two do.
_SMALL_SHARE: Final = 0.05
_UNKNOWN: Final = HostCapacity()
# Costs of scheduling a stage pool: of a call with the messages on its jobs, and of each
# piece. A piece of a late stage names all results that it needs.
_CORE_S_PER_CALL: Final = 0.003
_CORE_S_PER_PIECE: Final = 20e-6
_BYTES_PER_CALL: Final = 1000.0
_BYTES_PER_PIECE: Final = 330.0
# Cost of the reports on the targets of a pool that its owner exchanges with a daemon.
_REPORT_CORES_PER_DAEMON: Final = 0.0005
_REPORT_BITS_PER_S_PER_DAEMON: Final = 8000.0
_BITS_PER_BYTE: Final = 8


@dataclass(frozen=True, slots=True)
class HostDemand:
    """What work takes from a host at the full load of a fleet.

    Parameters
    ----------
    cores : float
        Processor time per second, in cores.
    link_bits_per_s : float
        Bits that the host sends per second.
    """

    cores: float = 0.0
    link_bits_per_s: float = 0.0

    def share_of(self, capacity: HostCapacity) -> float:
        """Return the share of a host's processor or link, whichever is larger.

        It is infinite if the capacity is unknown.
        """
        if not capacity.is_known:
            return math.inf
        return max(
            self.cores / capacity.cores, self.link_bits_per_s / capacity.link_bits_per_s
        )


def pool_demand(spec: PoolSpec, n_targets: int, n_daemons: int) -> HostDemand:
    """Return what owning a pool takes from a host.

    The numbers are rounded up to powers of two, so that the order of the hosts rarely
    changes with them.
    """
    n_targets, n_daemons = _power_of_two(n_targets), _power_of_two(n_daemons)
    cores = n_daemons * _REPORT_CORES_PER_DAEMON
    bits_per_s = n_daemons * _REPORT_BITS_PER_S_PER_DAEMON
    if spec.pieces is not None:
        calls_per_s = n_targets * spec.pieces.n_slots / spec.pieces.full_call_s
        pieces_per_s = n_targets * spec.pieces.pieces_per_s
        cores += calls_per_s * _CORE_S_PER_CALL + pieces_per_s * _CORE_S_PER_PIECE
        bits_per_s += _BITS_PER_BYTE * (
            calls_per_s * _BYTES_PER_CALL + pieces_per_s * _BYTES_PER_PIECE
        )
    return HostDemand(cores, bits_per_s)


def owners_in_order(key: str, daemon_ids: Iterable[DaemonId]) -> list[DaemonId]:
    """Return the daemons in order of preference as owner of a pool or another key."""
    return sorted(
        daemon_ids,
        key=lambda daemon_id: xxhash.xxh3_64_intdigest(f"{key}/{daemon_id}".encode()),
        reverse=True,
    )


def carriers_in_order(
    key: str,
    daemon_ids: Iterable[DaemonId],
    demand: HostDemand,
    capacity_by_id: _Capacities,
    used_share_by_id: Mapping[DaemonId, float] | None = None,
) -> list[DaemonId]:
    """Return the daemons in order of preference as owner of work of some demand.

    Hosts of unknown capacity come last; if all are, only the hash decides.

    Parameters
    ----------
    used_share_by_id : mapping or None
        Shares of the hosts that other work takes already.
    """
    used = used_share_by_id or {}

    def tier(daemon_id: DaemonId) -> float:
        share = demand.share_of(capacity_by_id.get(daemon_id, _UNKNOWN))
        return _tier(used.get(daemon_id, 0.0) + share)

    return sorted(owners_in_order(key, daemon_ids), key=tier)


def assign_pools(
    demand_by_pool: Mapping[PoolName, HostDemand],
    daemon_ids: Iterable[DaemonId],
    capacity_by_id: _Capacities,
) -> dict[PoolName, DaemonId]:
    """Return the owner of each pool, the same at all daemons with the same view.

    Load it answers: hosts of which most can't carry the calls of one pool, and of which
    the few others can't carry those of all pools.
    """
    candidates = list(daemon_ids)
    used_share_by_id: dict[DaemonId, float] = {}
    owner_by_pool: dict[PoolName, DaemonId] = {}
    by_demand = sorted(
        demand_by_pool.items(),
        key=lambda item: (-item[1].link_bits_per_s, -item[1].cores, item[0]),
    )
    for pool, demand in by_demand:
        order = carriers_in_order(
            pool, candidates, demand, capacity_by_id, used_share_by_id
        )
        owner = owner_by_pool[pool] = order[0]
        share = demand.share_of(capacity_by_id.get(owner, _UNKNOWN))
        used_share_by_id[owner] = used_share_by_id.get(owner, 0.0) + share
    return owner_by_pool


def _tier(share: float) -> float:
    """Return the rank of a host by its used share; infinite if that is unknown."""
    if share <= _SMALL_SHARE:
        return 0.0
    return math.inf if math.isinf(share) else math.ceil(math.log2(share / _SMALL_SHARE))


def _power_of_two(number: int) -> int:
    return 1 << max(0, number - 1).bit_length()
