"""Prefix-cache affinity: which targets likely hold a prefix."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from typing import Final

import xxhash

from aspendrift_model.ids import PrefixKey, TargetId

__all__ = ["CacheHints", "target_hash", "top_targets"]

_MASK: Final = (1 << 64) - 1
_MULTIPLIER: Final = 0x9E3779B97F4A7C15
_MAX_HINTS: Final = 4096
_MAX_HOLDERS: Final = 4


def target_hash(target_id: TargetId) -> int:
    """Return the number that stands for a target in rendezvous hashing."""
    return xxhash.xxh3_64_intdigest(target_id.encode())


def top_targets(
    prefix_key: PrefixKey, hashes: Sequence[int], n_targets: int
) -> list[int]:
    """Return the indices of the targets that rank first for a prefix.

    Parameters
    ----------
    prefix_key : PrefixKey
        The prefix.
    hashes : sequence of int
        ``target_hash`` of each candidate.
    n_targets : int
        How many indices to return, best first.

    Notes
    -----
    Highest random weight (rendezvous) hashing: when a target comes or goes,
    only the prefixes that rank it first move.
    """
    seed = xxhash.xxh3_64_intdigest(prefix_key.encode())
    weights = [((seed ^ each) * _MULTIPLIER) & _MASK for each in hashes]
    order = sorted(range(len(weights)), key=weights.__getitem__, reverse=True)
    return order[:n_targets]


class CacheHints:
    """Prefixes that targets said they hold.

    The events come late and with gaps, so a hint may be wrong in both
    directions; it only ever breaks ties between targets that may be chosen.
    """

    def __init__(self) -> None:
        self._holders_by_prefix: OrderedDict[PrefixKey, list[TargetId]] = OrderedDict()

    def cached(self, target_id: TargetId, prefix_key: PrefixKey) -> None:
        """Note that a target holds a prefix."""
        holders = self._holders_by_prefix.setdefault(prefix_key, [])
        if target_id not in holders:
            holders.append(target_id)
            del holders[:-_MAX_HOLDERS]
        self._holders_by_prefix.move_to_end(prefix_key)
        if len(self._holders_by_prefix) > _MAX_HINTS:
            self._holders_by_prefix.popitem(last=False)

    def evicted(self, target_id: TargetId, prefix_key: PrefixKey) -> None:
        """Note that a target dropped a prefix."""
        holders = self._holders_by_prefix.get(prefix_key)
        if holders is None or target_id not in holders:
            return
        holders.remove(target_id)
        if not holders:
            del self._holders_by_prefix[prefix_key]

    def forget(self, target_ids: Iterable[TargetId]) -> None:
        """Drop every hint about targets, after a gap in their events."""
        gone = set(target_ids)
        for prefix_key in list(self._holders_by_prefix):
            for target_id in gone:
                self.evicted(target_id, prefix_key)

    def holders(self, prefix_key: PrefixKey) -> Sequence[TargetId]:
        """Return the targets that likely hold a prefix, latest last."""
        return self._holders_by_prefix.get(prefix_key, ())
