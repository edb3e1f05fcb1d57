"""Prefix-cache affinity: the targets that probably have a prefix cached."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from typing import Final

import xxhash

from aspendrift_model.ids import PrefixKey, TargetId

__all__ = ["CacheHints", "target_hash", "top_targets"]

_UINT64_MASK: Final = (1 << 64) - 1
_HASH_MULTIPLIER: Final = 0x9E3779B97F4A7C15
_MAX_HINTED_PREFIXES: Final = 4096
_MAX_HOLDERS_PER_PREFIX: Final = 4


def target_hash(target_id: TargetId) -> int:
    """Return the hash of a target id for rendezvous hashing."""
    return xxhash.xxh3_64_intdigest(target_id.encode())


def top_targets(
    prefix_key: PrefixKey,
    hashes: Sequence[int],
    n_targets: int,
    shares: Sequence[float] | None = None,
) -> list[int]:
    """Return the indices of the highest-ranked targets for a prefix.

    Parameters
    ----------
    prefix_key : PrefixKey
        The prefix.
    hashes : sequence of int
        ``target_hash`` of each candidate.
    n_targets : int
        Maximum number of indices to return, best first.
    shares : sequence of float or None
        Relative number of prefixes that rank each candidate first; None if equal.

    Notes
    -----
    Uses rendezvous hashing (highest random weight): when a target is added or
    removed, only the prefixes that rank it first move to another target. With shares,
    a weight is raised to the inverse of the share, which keeps the order if the shares
    are equal.
    """
    seed = xxhash.xxh3_64_intdigest(prefix_key.encode())
    weights = [((seed ^ each) * _HASH_MULTIPLIER) & _UINT64_MASK for each in hashes]
    if shares is not None:
        ranks = [
            math.log((weight + 1) / (_UINT64_MASK + 1)) / share
            for weight, share in zip(weights, shares, strict=True)
        ]
        order = sorted(range(len(ranks)), key=ranks.__getitem__, reverse=True)
        return order[:n_targets]
    order = sorted(range(len(weights)), key=weights.__getitem__, reverse=True)
    return order[:n_targets]


class CacheHints:
    """Prefixes that targets reported as cached.

    Cache events arrive late and with gaps, so a prefix with a hint may no longer be
    cached, and a cached prefix may have no hint. Hints therefore only express a
    preference among targets that may be chosen anyway.
    """

    def __init__(self) -> None:
        self._holders_by_prefix: OrderedDict[PrefixKey, list[TargetId]] = OrderedDict()

    def record_cached(self, target_id: TargetId, prefix_key: PrefixKey) -> None:
        """Record that a target cached a prefix."""
        holders = self._holders_by_prefix.setdefault(prefix_key, [])
        if target_id not in holders:
            holders.append(target_id)
            del holders[:-_MAX_HOLDERS_PER_PREFIX]
        self._holders_by_prefix.move_to_end(prefix_key)
        if len(self._holders_by_prefix) > _MAX_HINTED_PREFIXES:
            self._holders_by_prefix.popitem(last=False)

    def record_evicted(self, target_id: TargetId, prefix_key: PrefixKey) -> None:
        """Record that a target evicted a prefix."""
        holders = self._holders_by_prefix.get(prefix_key)
        if holders is None or target_id not in holders:
            return
        holders.remove(target_id)
        if not holders:
            del self._holders_by_prefix[prefix_key]

    def remove_targets(self, target_ids: Iterable[TargetId]) -> None:
        """Remove all hints about targets, used after a gap in their events."""
        removed_ids = set(target_ids)
        for prefix_key in list(self._holders_by_prefix):
            for target_id in removed_ids:
                self.record_evicted(target_id, prefix_key)

    def holders(self, prefix_key: PrefixKey) -> Sequence[TargetId]:
        """Return the targets that probably have a prefix cached, latest last."""
        return self._holders_by_prefix.get(prefix_key, ())
