"""System state from the store: routes, accounts and targets.

Versions never decrease: a configuration or a list of targets is replaced only by a
newer one, whether it comes from the store or from a peer.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Final

from aspendrift_daemon.events import EventHub
from aspendrift_gateway.events import (
    ConfigurationApplied,
    ConfigurationRejected,
    TargetChanged,
)
from aspendrift_gateway.interfaces import ConfigurationUnreadable, PlatformCodec
from aspendrift_model.ids import TargetId, ZoneName
from aspendrift_model.store_rows import StoreRow
from aspendrift_model.target_entries import TargetEntry, UnreadableEntry
from aspendrift_policy.change_log import ChangeLog, Changes
from aspendrift_policy.route_table import RouteTable
from aspendrift_policy.target_registry import (
    RegistryChange,
    TargetRegistry,
)

__all__ = ["SystemState"]

_NEVER: Final = float("-inf")


class SystemState:
    """Routes, accounts and targets in force at this process.

    Parameters
    ----------
    codec : PlatformCodec
        Decodes configurations and entries.
    """

    def __init__(self, codec: PlatformCodec, events: EventHub) -> None:
        self._codec = codec
        self._events = events
        self._listeners: list[Callable[[list[RegistryChange]], None]] = []
        self.table: RouteTable | None = None
        self.configuration_value = b""
        self.configuration_confirmed_at = _NEVER
        self.registry = TargetRegistry()
        self._targets = ChangeLog()
        self._entry_by_key: dict[str, TargetEntry | UnreadableEntry] = {}
        self.targets_version = -1
        self.targets_confirmed_at = _NEVER

    @property
    def configuration_version(self) -> int:
        """Version in force; -1 before the first one."""
        return -1 if self.table is None else self.table.configuration.version

    @property
    def is_complete(self) -> bool:
        """Whether routes and targets are known."""
        return self.table is not None and self.targets_version >= 0

    @property
    def n_targets(self) -> int:
        """Number of entries in the list of targets."""
        return len(self._targets.value_by_key)

    def on_change(self, listener: Callable[[list[RegistryChange]], None]) -> None:
        """Register a listener, called with changed targets.

        The list is empty for a new configuration.
        """
        self._listeners.append(listener)

    def confirmed_at(self) -> float:
        """Return when configuration and targets were last known to be current."""
        return min(self.configuration_confirmed_at, self.targets_confirmed_at)

    def zone_of_address(self, address: str) -> ZoneName | None:
        """Return the zone of the target at an address, None if there is none."""
        for entry in self.registry.entries_by_id.values():
            if entry.address == address:
                return entry.zone
        return None

    def apply_configuration(self, value: bytes, source: str) -> None:
        """Apply a configuration if it is newer."""
        if value == self.configuration_value:
            return
        found = self._codec.configuration(value)
        if isinstance(found, ConfigurationUnreadable):
            kept = self.configuration_version
            self._events.emit(ConfigurationRejected(found.problem, kept))
            return
        previous = self.configuration_version
        if found.version <= previous:
            return
        self.table = RouteTable(found)
        self.configuration_value = value
        self._events.emit(ConfigurationApplied(found.version, previous, source))
        self._notify([])

    def target_changes(self, after: int) -> Changes:
        """Return the entries whose meaning changed after a version."""
        return self._targets.since(after)

    def replace_targets(
        self, values: Iterable[tuple[str, bytes]], version: int, now: float
    ) -> None:
        """Apply a complete list of targets unless it is older."""
        if version < self.targets_version:
            return
        value_by_key = dict(values)
        entries = [
            self._record_entry(key, value, version)
            for key, value in value_by_key.items()
        ]
        for key in self._targets.retain(value_by_key, version):
            del self._entry_by_key[key]
        self.targets_version = version
        self._report(self.registry.replace(entries, now))

    def update_targets(
        self, rows: Iterable[StoreRow], version: int, now: float
    ) -> None:
        """Apply changed entries of the list unless they are older.

        Call it without rows when the list is known to be unchanged.
        """
        if version < self.targets_version:
            return
        entries = []
        removed: list[TargetId] = []
        for row in rows:
            if row.value is None:
                self._targets.remove(row.key, row.version)
                self._entry_by_key.pop(row.key, None)
                removed.append(TargetId(row.key))
            else:
                entries.append(self._record_entry(row.key, row.value, row.version))
        self.targets_version = version
        self._report(self.registry.update(entries, removed, now))

    def _record_entry(
        self, key: str, value: bytes, version: int
    ) -> TargetEntry | UnreadableEntry:
        known = self._entry_by_key.get(key)
        if known is not None and self._targets.value_by_key[key] == value:
            return known
        entry = self._codec.target_entry(key, value)
        self._entry_by_key[key] = entry
        self._targets.put(key, value, version, entry != known)
        return entry

    def _report(self, changes: list[RegistryChange]) -> None:
        for change in changes:
            entry = change.entry
            self._events.emit(
                TargetChanged(
                    change.target_id,
                    "" if entry is None else entry.pool,
                    "" if entry is None else entry.zone,
                    change.kind,
                    self.targets_version,
                    change.problem,
                )
            )
        if changes:
            self._notify(changes)

    def _notify(self, changes: list[RegistryChange]) -> None:
        for listener in self._listeners:
            listener(changes)
