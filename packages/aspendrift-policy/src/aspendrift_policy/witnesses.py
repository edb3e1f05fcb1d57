"""Selection of witnesses: the daemons that store dispatch records of a request."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from aspendrift_model.hosts import Host
from aspendrift_model.ids import DaemonId
from aspendrift_model.states import MemberState

__all__ = ["choose_witnesses", "witness_ids"]

_ABSENT = frozenset({MemberState.DEAD, MemberState.UNREACHABLE})


def witness_ids(members: Iterable[tuple[Host, MemberState]]) -> tuple[DaemonId, ...]:
    """Return the daemons in view that can store dispatch records."""
    return tuple(host.daemon_id for host, state in members if state not in _ABSENT)


def choose_witnesses(
    request: int, daemon_ids: Iterable[DaemonId], n_witnesses: int
) -> tuple[DaemonId, ...]:
    """Return the daemons with the highest rendezvous weights for a request.

    Rendezvous hashing makes daemons with slightly different views choose mostly
    the same witnesses.
    """

    def weight(daemon_id: DaemonId) -> int:
        return xxhash.xxh3_64_intdigest(daemon_id.encode(), seed=request)

    return tuple(sorted(daemon_ids, key=weight, reverse=True)[:n_witnesses])
