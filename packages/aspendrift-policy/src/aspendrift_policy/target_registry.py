"""Registry of usable targets, from entries that may lapse, be wrong or arrive late.

An entry identifies an incarnation of a target by its id and start time. An incarnation
that drained, left or ended is never used again, even if an older snapshot of the list
still shows it. While the list can't be read, the last snapshot stays in use. Targets
that are missing after such an outage get time to register again before they are
removed.

Targets of evacuated zones are listed but not usable.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from enum import Enum
from typing import Final

from aspendrift_model.ids import PoolName, SoftwareVersion, TargetId, ZoneName
from aspendrift_model.target_entries import TargetEntry, TargetKey, UnreadableEntry
from aspendrift_policy.stream_origins import VersionHistory

__all__ = [
    "EntryTimes",
    "RegistryChange",
    "RegistryChangeKind",
    "TargetRegistry",
]

# Time for entries that lapsed during an outage to be registered again: about two
# seconds according to the platform's documentation, less the time that a snapshot takes
# to arrive.
_REREGISTRATION_S: Final = 2.0
# A longer time between two snapshots counts as an outage of the list.
_OUTAGE_THRESHOLD_S: Final = 3.0
# Drained and gone incarnations to retain, so that a late snapshot can't add one again.
_MAX_RECORDED_KEYS: Final = 4096
# Time for which versions that no target has any more are retained.
_LEFT_VERSIONS_S: Final = 120.0
# Time for the entries of targets that are gone to lapse from a copy of the list.
_LAPSE_S: Final = 4.0


class RegistryChangeKind(Enum):
    """How an update of the list changed a target."""

    ADDED = "added"
    DRAINING = "draining"
    GONE = "gone"
    RESTARTED = "reborn"
    UNREADABLE = "unreadable"


@dataclass(frozen=True, slots=True)
class RegistryChange:
    """One change of a target in the registry."""

    kind: RegistryChangeKind
    target_id: TargetId
    entry: TargetEntry | None = None
    problem: str = ""


@dataclass(frozen=True, slots=True)
class EntryTimes:
    """Times at which an entry and its target became known; monotonic, in seconds.

    Parameters
    ----------
    received_at : float
        When the entry was received.
    appeared_at : float
        When the target appeared or restarted; minus infinity if it was in the first
        list, since its age is then unknown.
    """

    received_at: float
    appeared_at: float


class TargetRegistry:
    """Usable targets by pool."""

    def __init__(self) -> None:
        self.entries_by_id: dict[TargetId, TargetEntry] = {}
        self._by_pool: dict[PoolName, tuple[TargetEntry, ...]] = {}
        self._evacuated: frozenset[ZoneName] = frozenset()
        self._missing_since_by_id: dict[TargetId, float] = {}
        self._drained_keys: dict[TargetKey, None] = {}
        self._gone_keys: dict[TargetKey, None] = {}
        self._held_back_by_id: dict[TargetId, TargetEntry] = {}
        self._held_back_until = float("-inf")
        self._versions: frozenset[tuple[PoolName, SoftwareVersion]] = frozenset()
        self._version_left_at: dict[tuple[PoolName, SoftwareVersion], float] = {}
        self._read_at = float("-inf")
        self._outage_ended_at = float("-inf")
        self._is_first_list = True
        self._times_by_key: dict[TargetKey, EntryTimes] = {}

    def entry_times(self, key: TargetKey) -> EntryTimes | None:
        """Return when a listed target became known."""
        return self._times_by_key.get(key)

    def usable(self, pool: PoolName) -> Sequence[TargetEntry]:
        """Return the targets of a pool that accept new work."""
        return self._by_pool.get(pool, ())

    def all_usable(self) -> list[TargetEntry]:
        """Return the targets of all pools that accept new work."""
        return [entry for found in self._by_pool.values() for entry in found]

    def evacuated_zones(self, pool: PoolName) -> list[ZoneName]:
        """Return the evacuated zones whose targets a pool could use otherwise."""
        zones = {
            each.zone
            for each in self.entries_by_id.values()
            if each.pool == pool and not each.is_draining
        }
        return sorted(zones & self._evacuated)

    def set_evacuated(self, zones: frozenset[ZoneName]) -> None:
        """Replace the zones whose targets accept no new work."""
        self._evacuated = zones
        self._by_pool = _usable_by_pool(self.entries_by_id, zones)

    def version_history(
        self, pool: PoolName, now: float, window_s: float
    ) -> VersionHistory:
        """Return the software versions of a pool's targets in the last ``window_s``."""
        versions = {version for name, version in self._versions if name == pool}
        for (name, version), left_at in self._version_left_at.items():
            if name == pool and now - left_at <= window_s:
                versions.add(version)
        is_current = now - self._read_at <= _OUTAGE_THRESHOLD_S
        is_complete = is_current and now - self._outage_ended_at >= window_s
        return VersionHistory(frozenset(versions), is_complete)

    def store_restored(self, now: float) -> None:
        """Prepare for a list from a copy of the store, which is some seconds old.

        Missing targets get time to register again. Those that were gone are held back
        until the entry of a target that doesn't live has lapsed.
        """
        self._outage_ended_at = now
        self._held_back_until = now + _LAPSE_S

    def replace(
        self, entries: Iterable[TargetEntry | UnreadableEntry], now: float
    ) -> list[RegistryChange]:
        """Apply a complete snapshot of the list."""
        self._record_read(now)
        self._held_back_by_id.clear()
        listed_ids: set[TargetId] = set()
        changes: list[RegistryChange] = []
        for entry in entries:
            if isinstance(entry, TargetEntry):
                listed_ids.add(entry.key.target_id)
            changes += self._apply_entry(entry, now)
        self._is_first_list = False
        for target_id in [
            each for each in self.entries_by_id if each not in listed_ids
        ]:
            changes += self._handle_missing(target_id, now)
        return self._rebuild_pools(changes, now)

    def update(
        self,
        entries: Iterable[TargetEntry | UnreadableEntry],
        removed: Iterable[TargetId],
        now: float,
    ) -> list[RegistryChange]:
        """Apply the changes since the previous snapshot or update."""
        self._record_read(now)
        changes: list[RegistryChange] = []
        for target_id in removed:
            self._held_back_by_id.pop(target_id, None)
            changes += self._handle_missing(target_id, now)
        for entry in (*entries, *self._due_held_back(now)):
            changes += self._apply_entry(entry, now)
        changes += self._expire_missing(now)
        return self._rebuild_pools(changes, now)

    def target_leaving(self, key: TargetKey, now: float) -> list[RegistryChange]:
        """Use an incarnation no more that says itself that it leaves."""
        known = self.entries_by_id.get(key.target_id)
        if known is None or known.key != key or known.is_draining:
            return []
        return self._rebuild_pools(
            self._apply_entry(replace(known, is_draining=True), now), now
        )

    def _record_read(self, now: float) -> None:
        if now - self._read_at > _OUTAGE_THRESHOLD_S:
            self._outage_ended_at = now
        self._read_at = now

    def _due_held_back(self, now: float) -> list[TargetEntry]:
        if not self._held_back_by_id or now < self._held_back_until:
            return []
        due = list(self._held_back_by_id.values())
        self._held_back_by_id.clear()
        return due

    def _apply_entry(
        self, entry: TargetEntry | UnreadableEntry, now: float
    ) -> list[RegistryChange]:
        if isinstance(entry, UnreadableEntry):
            return self._apply_unreadable(entry)
        target_id = entry.key.target_id
        if entry.key in self._gone_keys and now < self._held_back_until:
            self._held_back_by_id[target_id] = entry
            return []
        self._missing_since_by_id.pop(target_id, None)
        known = self.entries_by_id.get(target_id)
        if known is not None and entry.key.born_ms < known.key.born_ms:
            return []
        if entry.key in self._drained_keys and not entry.is_draining:
            return []
        if known == entry:
            return []
        self.entries_by_id[target_id] = entry
        self._record_times(known, entry, now)
        if entry.is_draining:
            _record_key(self._drained_keys, entry.key)
        kind = _change_kind(known, entry)
        return [] if kind is None else [RegistryChange(kind, target_id, entry)]

    def _apply_unreadable(self, entry: UnreadableEntry) -> list[RegistryChange]:
        """Remove a target whose entry can no longer be parsed."""
        known = self.entries_by_id.pop(entry.target_id, None)
        if known is not None:
            self._times_by_key.pop(known.key, None)
        self._missing_since_by_id.pop(entry.target_id, None)
        kind = RegistryChangeKind.UNREADABLE
        return [RegistryChange(kind, entry.target_id, None, entry.problem)]

    def _handle_missing(self, target_id: TargetId, now: float) -> list[RegistryChange]:
        """Remove a target that is not listed, unless its entry may only have lapsed."""
        if target_id not in self.entries_by_id:
            return []
        if now - self._outage_ended_at >= _REREGISTRATION_S:
            return self._remove(target_id)
        self._missing_since_by_id.setdefault(target_id, now)
        return []

    def _expire_missing(self, now: float) -> list[RegistryChange]:
        if now - self._outage_ended_at < _REREGISTRATION_S:
            return []
        changes: list[RegistryChange] = []
        for target_id in list(self._missing_since_by_id):
            changes += self._remove(target_id)
        return changes

    def _remove(self, target_id: TargetId) -> list[RegistryChange]:
        self._missing_since_by_id.pop(target_id, None)
        entry = self.entries_by_id.pop(target_id, None)
        if entry is None:
            return []
        _record_key(self._gone_keys, entry.key)
        self._times_by_key.pop(entry.key, None)
        return [RegistryChange(RegistryChangeKind.GONE, target_id, entry)]

    def _record_times(
        self, known: TargetEntry | None, entry: TargetEntry, now: float
    ) -> None:
        before = None if known is None else self._times_by_key.pop(known.key, None)
        if known is not None and known.key == entry.key and before is not None:
            appeared_at = before.appeared_at
        else:
            appeared_at = float("-inf") if self._is_first_list else now
        self._times_by_key[entry.key] = EntryTimes(now, appeared_at)

    def _rebuild_pools(
        self, changes: list[RegistryChange], now: float
    ) -> list[RegistryChange]:
        self._by_pool = _usable_by_pool(self.entries_by_id, self._evacuated)
        self._record_versions(now)
        return changes

    def _record_versions(self, now: float) -> None:
        entries = self.entries_by_id.values()
        versions = frozenset((each.pool, each.software) for each in entries)
        if versions == self._versions:
            return
        for left in self._versions - versions:
            self._version_left_at[left] = now
        for left, left_at in list(self._version_left_at.items()):
            if now - left_at > _LEFT_VERSIONS_S:
                del self._version_left_at[left]
        self._versions = versions


def _record_key(keys: dict[TargetKey, None], key: TargetKey) -> None:
    keys[key] = None
    while len(keys) > _MAX_RECORDED_KEYS:
        del keys[next(iter(keys))]


def _change_kind(
    known: TargetEntry | None, entry: TargetEntry
) -> RegistryChangeKind | None:
    if known is None:
        return RegistryChangeKind.ADDED
    if known.key != entry.key:
        return RegistryChangeKind.RESTARTED
    if entry.is_draining and not known.is_draining:
        return RegistryChangeKind.DRAINING
    return None


def _usable_by_pool(
    entries_by_id: Mapping[TargetId, TargetEntry],
    evacuated: frozenset[ZoneName],
) -> dict[PoolName, tuple[TargetEntry, ...]]:
    by_pool: dict[PoolName, list[TargetEntry]] = {}
    for target_id in sorted(entries_by_id):
        entry = entries_by_id[target_id]
        if not entry.is_draining and entry.zone not in evacuated:
            by_pool.setdefault(entry.pool, []).append(entry)
    return {pool: tuple(found) for pool, found in by_pool.items()}
