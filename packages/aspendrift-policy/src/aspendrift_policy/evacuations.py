"""Decides which availability zones are evacuated: their targets are sent nothing.

Load it answers: a zone is evacuated because its targets fail or are about to, and
hundreds of daemons learn it by different ways, some late or twice. The state is the set
of evacuated zones as of a position of the store, and only a newer position replaces it.
A zone that a new era of the store lacks stays evacuated for some seconds, because the
store came back from a copy that may be older than the row.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Final

from aspendrift_model.ids import ZoneName
from aspendrift_model.store_rows import NO_POSITION, StorePosition

__all__ = ["EvacuationChange", "EvacuationRecord", "Evacuations", "ZoneState"]

# Time for the operator to write a row again that the store lost with its era.
_HOLD_S: Final = 4.0
# Zones whose return is retained, and the time for it: targets are cold for less.
_MAX_RETURNED: Final = 64
_RETURNED_S: Final = 600.0


class ZoneState(Enum):
    """What a daemon knows of a zone; the value is sent to other daemons."""

    EVACUATED = "e"
    HELD = "h"
    RETURNED = "r"


@dataclass(frozen=True, slots=True)
class EvacuationRecord:
    """A zone that is or was evacuated, as one daemon tells it to another.

    Parameters
    ----------
    time_s : float
        Time since the evacuation or the return; for a held zone the time that is left.
    """

    zone: ZoneName
    state: ZoneState
    time_s: float


@dataclass(frozen=True, slots=True)
class EvacuationChange:
    """A zone that was evacuated or returned; ``lasted_s`` is set for a return."""

    zone: ZoneName
    is_evacuated: bool
    lasted_s: float | None = None


class Evacuations:
    """Zones evacuated at one daemon, as of a position of the store."""

    def __init__(self) -> None:
        self.position = NO_POSITION
        self._since_by_zone: dict[ZoneName, float] = {}
        # Evacuated zones without a row in the store's present era.
        self._held_until_by_zone: dict[ZoneName, float] = {}
        self._returned_at_by_zone: dict[ZoneName, float] = {}

    @property
    def is_known(self) -> bool:
        """Whether the rows of the store were ever learned."""
        return self.position != NO_POSITION

    @property
    def zones(self) -> frozenset[ZoneName]:
        """The zones whose targets are sent nothing."""
        return frozenset(self._since_by_zone)

    def since(self, zone: ZoneName) -> float | None:
        """Return when a zone was evacuated; None if it isn't."""
        return self._since_by_zone.get(zone)

    def longest_s(self, now: float) -> float:
        """Return how long the zone evacuated first has been so; 0 without any."""
        return max((now - at for at in self._since_by_zone.values()), default=0.0)

    def returned_at(self, zone: ZoneName) -> float | None:
        """Return when a zone last came back; None if that is unknown."""
        return self._returned_at_by_zone.get(zone)

    def replace(
        self, zones: Collection[ZoneName], position: StorePosition, now: float
    ) -> list[EvacuationChange]:
        """Apply all rows as of a position, unless it is older."""
        if position < self.position:
            return []
        is_restored = self.is_known and position.era > self.position.era
        self.position = position
        for zone in set(self._since_by_zone) - set(zones):
            if is_restored:
                self._held_until_by_zone.setdefault(zone, now + _HOLD_S)
        for zone in zones:
            self._held_until_by_zone.pop(zone, None)
        return self._set({*zones, *self._held_until_by_zone}, now)

    def update(
        self,
        is_evacuated_by_zone: Mapping[ZoneName, bool],
        position: StorePosition,
        now: float,
    ) -> list[EvacuationChange]:
        """Apply all rows that changed up to a position of the same era."""
        if position < self.position or position.era != self.position.era:
            return []
        rows = set(self._since_by_zone) - set(self._held_until_by_zone)
        for zone, is_evacuated in is_evacuated_by_zone.items():
            self._held_until_by_zone.pop(zone, None)
            if is_evacuated:
                rows.add(zone)
            else:
                rows.discard(zone)
        return self.replace(rows, position, now)

    def apply_records(
        self,
        records: Iterable[EvacuationRecord],
        position: StorePosition,
        now: float,
    ) -> list[EvacuationChange]:
        """Apply everything that another daemon knows, unless it is older."""
        if position < self.position:
            return []
        found = list(records)
        for record in found:
            if record.state is ZoneState.HELD:
                until = now + min(record.time_s, _HOLD_S)
                known = self._held_until_by_zone.get(record.zone, until)
                self._held_until_by_zone[record.zone] = max(known, until)
            elif record.state is ZoneState.RETURNED:
                self._record_return(record.zone, now - record.time_s)
        zones = {each.zone for each in found if each.state is ZoneState.EVACUATED}
        return self.replace(zones, position, now)

    def expire(self, now: float) -> list[EvacuationChange]:
        """End the evacuations that were held and whose rows weren't written again."""
        due = {zone for zone, at in self._held_until_by_zone.items() if at <= now}
        if not due:
            return []
        for zone in due:
            del self._held_until_by_zone[zone]
        return self._set(set(self._since_by_zone) - due, now)

    def records(self, now: float) -> list[EvacuationRecord]:
        """Return everything known, for another daemon."""
        found = []
        for zone, since in sorted(self._since_by_zone.items()):
            held_until = self._held_until_by_zone.get(zone)
            if held_until is None:
                record = EvacuationRecord(zone, ZoneState.EVACUATED, now - since)
            else:
                left_s = max(0.0, held_until - now)
                record = EvacuationRecord(zone, ZoneState.HELD, left_s)
            found.append(record)
        for zone, at in self._returned_at_by_zone.items():
            if zone not in self._since_by_zone and now - at <= _RETURNED_S:
                found.append(EvacuationRecord(zone, ZoneState.RETURNED, now - at))
        return found

    def _set(self, zones: Collection[ZoneName], now: float) -> list[EvacuationChange]:
        changes = []
        for zone in sorted(zones):
            if zone not in self._since_by_zone:
                self._since_by_zone[zone] = now
                changes.append(EvacuationChange(zone, True))
        for zone in sorted(set(self._since_by_zone) - set(zones)):
            lasted_s = now - self._since_by_zone.pop(zone)
            self._record_return(zone, now)
            changes.append(EvacuationChange(zone, False, lasted_s))
        return changes

    def _record_return(self, zone: ZoneName, at: float) -> None:
        known = self._returned_at_by_zone.pop(zone, at)
        self._returned_at_by_zone[zone] = max(known, at)
        while len(self._returned_at_by_zone) > _MAX_RETURNED:
            del self._returned_at_by_zone[next(iter(self._returned_at_by_zone))]
