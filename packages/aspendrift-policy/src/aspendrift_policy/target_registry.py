"""Which targets may be used, judged from entries that lapse, lie and come late.

An entry names a life of a target by id and birth. A life that drained, left or
ended is never used again, whatever an older reading still shows. While the list
can't be read, the last reading counts; lives that vanish across an outage get
time to register again before they count as gone.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Final

from aspendrift_model.ids import PoolName, TargetId
from aspendrift_model.target_entries import TargetEntry, TargetKey, UnreadableEntry

__all__ = ["RegistryChange", "RegistryChangeKind", "TargetRegistry"]

# Time for entries that lapsed in an outage to be written again (platform's pages:
# about two seconds), less the time that a reading takes to arrive.
_RETURN_S: Final = 2.0
# A reading older than this when the next one comes counts as an outage.
_OUTAGE_S: Final = 3.0
# Ended lives to remember, so that a late reading can't bring one back.
_MAX_ENDED: Final = 4096


class RegistryChangeKind(Enum):
    """What a reading changed."""

    ADDED = "added"
    DRAINING = "draining"
    GONE = "gone"
    REBORN = "reborn"
    UNREADABLE = "unreadable"


@dataclass(frozen=True, slots=True)
class RegistryChange:
    """One change of what is believed of a target."""

    kind: RegistryChangeKind
    target_id: TargetId
    entry: TargetEntry | None = None
    problem: str = ""


class TargetRegistry:
    """Usable targets by pool."""

    def __init__(self) -> None:
        self.entries_by_id: dict[TargetId, TargetEntry] = {}
        self._by_pool: dict[PoolName, tuple[TargetEntry, ...]] = {}
        self._missing_since_by_id: dict[TargetId, float] = {}
        self._drained: dict[TargetKey, None] = {}
        self._read_at = float("-inf")
        self._outage_ended_at = float("-inf")

    def usable(self, pool: PoolName) -> Sequence[TargetEntry]:
        """Return the targets of a pool that take new work."""
        return self._by_pool.get(pool, ())

    def replace(
        self, entries: Iterable[TargetEntry | UnreadableEntry], now: float
    ) -> list[RegistryChange]:
        """Take in a whole reading of the list."""
        self._note_reading(now)
        seen: set[TargetId] = set()
        changes: list[RegistryChange] = []
        for entry in entries:
            if isinstance(entry, TargetEntry):
                seen.add(entry.key.target_id)
            changes += self._put(entry)
        for target_id in [each for each in self.entries_by_id if each not in seen]:
            changes += self._missing(target_id, now)
        return self._finish(changes)

    def update(
        self,
        entries: Iterable[TargetEntry | UnreadableEntry],
        removed: Iterable[TargetId],
        now: float,
    ) -> list[RegistryChange]:
        """Take in what changed since the reading before."""
        self._note_reading(now)
        changes: list[RegistryChange] = []
        for target_id in removed:
            changes += self._missing(target_id, now)
        for entry in entries:
            changes += self._put(entry)
        changes += self._expire(now)
        return self._finish(changes)

    def _note_reading(self, now: float) -> None:
        if now - self._read_at > _OUTAGE_S:
            self._outage_ended_at = now
        self._read_at = now

    def _put(self, entry: TargetEntry | UnreadableEntry) -> list[RegistryChange]:
        if isinstance(entry, UnreadableEntry):
            return self._put_unreadable(entry)
        target_id = entry.key.target_id
        self._missing_since_by_id.pop(target_id, None)
        known = self.entries_by_id.get(target_id)
        if known is not None and entry.key.born_ms < known.key.born_ms:
            return []
        if entry.key in self._drained and not entry.is_draining:
            return []
        if known == entry:
            return []
        self.entries_by_id[target_id] = entry
        if entry.is_draining:
            self._remember_drained(entry.key)
        kind = _change_kind(known, entry)
        return [] if kind is None else [RegistryChange(kind, target_id, entry)]

    def _put_unreadable(self, entry: UnreadableEntry) -> list[RegistryChange]:
        """Drop a target whose entry can't be read any more."""
        self.entries_by_id.pop(entry.target_id, None)
        self._missing_since_by_id.pop(entry.target_id, None)
        kind = RegistryChangeKind.UNREADABLE
        return [RegistryChange(kind, entry.target_id, None, entry.problem)]

    def _missing(self, target_id: TargetId, now: float) -> list[RegistryChange]:
        """Drop a target that is not listed, unless it may only have lapsed."""
        if target_id not in self.entries_by_id:
            return []
        if now - self._outage_ended_at >= _RETURN_S:
            return self._drop(target_id)
        self._missing_since_by_id.setdefault(target_id, now)
        return []

    def _expire(self, now: float) -> list[RegistryChange]:
        if now - self._outage_ended_at < _RETURN_S:
            return []
        changes: list[RegistryChange] = []
        for target_id in list(self._missing_since_by_id):
            changes += self._drop(target_id)
        return changes

    def _drop(self, target_id: TargetId) -> list[RegistryChange]:
        self._missing_since_by_id.pop(target_id, None)
        entry = self.entries_by_id.pop(target_id, None)
        if entry is None:
            return []
        return [RegistryChange(RegistryChangeKind.GONE, target_id, entry)]

    def _remember_drained(self, key: TargetKey) -> None:
        self._drained[key] = None
        while len(self._drained) > _MAX_ENDED:
            del self._drained[next(iter(self._drained))]

    def _finish(self, changes: list[RegistryChange]) -> list[RegistryChange]:
        self._by_pool = _usable_by_pool(self.entries_by_id)
        return changes


def _change_kind(
    known: TargetEntry | None, entry: TargetEntry
) -> RegistryChangeKind | None:
    if known is None:
        return RegistryChangeKind.ADDED
    if known.key != entry.key:
        return RegistryChangeKind.REBORN
    if entry.is_draining and not known.is_draining:
        return RegistryChangeKind.DRAINING
    return None


def _usable_by_pool(
    entries_by_id: Mapping[TargetId, TargetEntry],
) -> dict[PoolName, tuple[TargetEntry, ...]]:
    by_pool: dict[PoolName, list[TargetEntry]] = {}
    for target_id in sorted(entries_by_id):
        entry = entries_by_id[target_id]
        if not entry.is_draining:
            by_pool.setdefault(entry.pool, []).append(entry)
    return {pool: tuple(found) for pool, found in by_pool.items()}
