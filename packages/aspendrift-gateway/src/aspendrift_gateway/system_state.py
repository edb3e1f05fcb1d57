"""System state from the store: routes, accounts, targets and evacuated zones.

A configuration or a list of targets is replaced only by a newer one, whether it comes
from the store or from a peer. When the store comes back from a copy, what was in force
stays so until it is written again.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Final

from aspendrift_daemon.events import EventHub
from aspendrift_gateway.events import (
    ConfigurationApplied,
    ConfigurationRejected,
    StoreEraChanged,
    TargetChanged,
    ZoneEvacuated,
    ZoneReturned,
)
from aspendrift_gateway.interfaces import ConfigurationUnreadable, PlatformCodec
from aspendrift_model.ids import PoolName, TargetId, ZoneName
from aspendrift_model.store_rows import NO_POSITION, StorePosition, StoreRow
from aspendrift_model.target_entries import TargetEntry, TargetKey, UnreadableEntry
from aspendrift_policy.change_log import ChangeLog, Changes
from aspendrift_policy.evacuations import (
    EvacuationChange,
    EvacuationRecord,
    Evacuations,
)
from aspendrift_policy.route_table import RouteTable
from aspendrift_policy.target_registry import (
    RegistryChange,
    TargetRegistry,
)

__all__ = ["SystemState"]

_NEVER: Final = float("-inf")


class SystemState:
    """Routes, accounts, targets and evacuations in force at this process.

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
        # Where the configuration in force came from.
        self.configuration_source = ""
        self.configuration_confirmed_at = _NEVER
        self.registry = TargetRegistry()
        self._targets = ChangeLog()
        self._entry_by_key: dict[str, TargetEntry | UnreadableEntry] = {}
        self.targets_position = NO_POSITION
        self._era_listeners: list[Callable[[int], None]] = []
        self.targets_confirmed_at = _NEVER
        self.evacuations = Evacuations()
        self.evacuations_confirmed_at = _NEVER

    @property
    def configuration_version(self) -> int:
        """Version in force; -1 before the first one."""
        return -1 if self.table is None else self.table.configuration.version

    def configuration_age_s(self, now: float) -> float | None:
        """Return the time since the configuration was known to be the newest."""
        confirmed_at = self.configuration_confirmed_at
        return None if confirmed_at == _NEVER else now - confirmed_at

    @property
    def is_complete(self) -> bool:
        """Whether routes, targets and evacuated zones are known."""
        return (
            self.table is not None
            and self.targets_position != NO_POSITION
            and self.evacuations.is_known
        )

    @property
    def targets_version(self) -> int:
        """Version of the list of targets within the store's era; -1 at first."""
        return self.targets_position.version

    @property
    def store_era(self) -> int:
        """Era of the store that the list of targets is from."""
        return self.targets_position.era

    @property
    def n_targets(self) -> int:
        """Number of entries in the list of targets."""
        return len(self._targets.value_by_key)

    def on_change(self, listener: Callable[[list[RegistryChange]], None]) -> None:
        """Register a listener, called with changed targets.

        The list is empty for a new configuration.
        """
        self._listeners.append(listener)

    def on_era(self, listener: Callable[[int], None]) -> None:
        """Register a listener, called when the store came back from a copy."""
        self._era_listeners.append(listener)

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
        self.configuration_source = source
        self._events.emit(ConfigurationApplied(found.version, previous, source))
        self._notify([])

    def apply_evacuations(
        self,
        zones: Collection[ZoneName],
        position: StorePosition,
        source: str,
        now: float,
    ) -> None:
        """Apply all evacuations that the store held at a position."""
        changes = self.evacuations.replace(zones, position, now)
        self._apply_zones(changes, source)

    def update_evacuations(
        self,
        is_evacuated_by_zone: Mapping[ZoneName, bool],
        position: StorePosition,
        source: str,
        now: float,
    ) -> None:
        """Apply the evacuations that changed in the store up to a position."""
        changes = self.evacuations.update(is_evacuated_by_zone, position, now)
        self._apply_zones(changes, source)

    def apply_evacuation_records(
        self,
        records: Iterable[EvacuationRecord],
        position: StorePosition,
        source: str,
        now: float,
    ) -> None:
        """Apply the evacuations that another daemon knows at a position."""
        changes = self.evacuations.apply_records(records, position, now)
        self._apply_zones(changes, source)

    def expire_evacuations(self, now: float) -> None:
        """End the evacuations that an era of the store lacks."""
        self._apply_zones(self.evacuations.expire(now), "hold")

    def returned_at(self, zone: ZoneName) -> float | None:
        """Return when a zone last came back from an evacuation, if known."""
        return self.evacuations.returned_at(zone)

    def no_target_detail(self, pool: PoolName) -> str:
        """Return why a pool has no usable target, for logs and refusals."""
        zones = self.registry.evacuated_zones(pool)
        return f"{pool}: evacuated zones {', '.join(zones)}" if zones else pool

    def is_evacuated(self, pool: PoolName) -> bool:
        """Return whether a pool's targets can't be used since all are evacuated."""
        registry = self.registry
        return not registry.usable(pool) and bool(registry.evacuated_zones(pool))

    def target_changes(self, after: StorePosition) -> Changes:
        """Return the entries whose meaning changed after a position."""
        return self._targets.since(after)

    def replace_targets(
        self, values: Iterable[tuple[str, bytes]], position: StorePosition, now: float
    ) -> None:
        """Apply a complete list of targets unless it is older."""
        if position < self.targets_position:
            return
        previous = self.targets_position
        is_restored = previous != NO_POSITION and position.era > previous.era
        value_by_key = dict(values)
        entries = [
            self._record_entry(key, value, position)
            for key, value in value_by_key.items()
        ]
        for key in self._targets.retain(value_by_key, position):
            del self._entry_by_key[key]
        self.targets_position = position
        if is_restored:
            self.registry.store_restored(now)
        self._report(self.registry.replace(entries, now))
        if is_restored:
            self._events.emit(StoreEraChanged(position.era, previous.era))
            for listener in self._era_listeners:
                listener(position.era)

    def update_targets(
        self, rows: Iterable[StoreRow], position: StorePosition, now: float
    ) -> None:
        """Apply changed entries of the list unless they are of another era or older.

        Call it without rows when the list is known to be unchanged.
        """
        if position < self.targets_position or position.era != self.store_era:
            return
        entries = []
        removed: list[TargetId] = []
        for row in rows:
            changed_at = StorePosition(position.era, row.version)
            if row.value is None:
                self._targets.remove(row.key, changed_at)
                self._entry_by_key.pop(row.key, None)
                removed.append(TargetId(row.key))
            else:
                entries.append(self._record_entry(row.key, row.value, changed_at))
        self.targets_position = position
        self._report(self.registry.update(entries, removed, now))

    def target_leaving(self, key: TargetKey, now: float) -> bool:
        """Use a target no more that says that it leaves; return whether it was used."""
        changes = self.registry.target_leaving(key, now)
        self._report(changes)
        return bool(changes)

    def _record_entry(
        self, key: str, value: bytes, position: StorePosition
    ) -> TargetEntry | UnreadableEntry:
        known = self._entry_by_key.get(key)
        if known is not None and self._targets.value_by_key[key] == value:
            return known
        entry = self._codec.target_entry(key, value)
        self._entry_by_key[key] = entry
        self._targets.put(key, value, position, entry != known)
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

    def _apply_zones(self, changes: list[EvacuationChange], source: str) -> None:
        if not changes:
            return
        at = self.evacuations.position
        for change in changes:
            if change.lasted_s is None:
                event = ZoneEvacuated(change.zone, source, at.era, at.version)
                self._events.emit(event)
            else:
                self._events.emit(
                    ZoneReturned(
                        change.zone, source, at.era, at.version, change.lasted_s
                    )
                )
        self.registry.set_evacuated(self.evacuations.zones)
        self._notify([])

    def _notify(self, changes: list[RegistryChange]) -> None:
        for listener in self._listeners:
            listener(changes)
