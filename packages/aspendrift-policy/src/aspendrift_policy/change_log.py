"""Rows of a table with the position at which each one last changed.

Daemons pass the list of targets on to each other as changes since a position. Targets
rewrite their entries with every heartbeat; the caller tells whether the meaning of a
row changed, and only then the row is passed on again.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from typing import Final

from aspendrift_model.store_rows import NO_POSITION, StorePosition, StoreRow

__all__ = ["ChangeLog", "Changes"]

# Removed keys to retain; recipients with older lists get the complete list.
_MAX_REMOVED: Final = 1024


@dataclass(frozen=True, slots=True)
class Changes:
    """Rows that changed after a position, or all rows; each at its last change.

    Parameters
    ----------
    after : StorePosition or None
        Position that the changes build on; None if ``rows`` is the complete list.
    """

    after: StorePosition | None
    rows: tuple[StoreRow, ...]


class ChangeLog:
    """Values by key, and the positions of their last changes.

    Recipients of an earlier era get the complete list: they may have rows that the
    store has lost.
    """

    def __init__(self) -> None:
        self.value_by_key: dict[str, bytes] = {}
        self._changed_at_by_key: dict[str, StorePosition] = {}
        self._removed_at_by_key: dict[str, StorePosition] = {}
        self._last_changed = NO_POSITION
        # Changes after this position are known completely.
        self._complete_after = NO_POSITION

    def put(
        self, key: str, value: bytes, position: StorePosition, is_changed: bool
    ) -> None:
        """Set a value; the position counts if the meaning of the row changed."""
        self.value_by_key[key] = value
        self._removed_at_by_key.pop(key, None)
        if is_changed or key not in self._changed_at_by_key:
            self._changed_at_by_key[key] = position
            self._last_changed = max(self._last_changed, position)

    def remove(self, key: str, position: StorePosition) -> None:
        """Remove a key."""
        if self.value_by_key.pop(key, None) is None:
            return
        del self._changed_at_by_key[key]
        self._removed_at_by_key[key] = position
        self._last_changed = max(self._last_changed, position)
        if len(self._removed_at_by_key) > _MAX_REMOVED:
            forgotten = next(iter(self._removed_at_by_key))
            forgotten_at = self._removed_at_by_key.pop(forgotten)
            self._complete_after = max(self._complete_after, forgotten_at)

    def retain(self, keys: Collection[str], position: StorePosition) -> list[str]:
        """Remove the keys that a complete list lacks, and return them."""
        absent = [key for key in self.value_by_key if key not in keys]
        for key in absent:
            self.remove(key, position)
        is_first = self._complete_after == NO_POSITION
        if is_first or position.era > self._complete_after.era:
            self._complete_after = position
        return absent

    def since(self, position: StorePosition) -> Changes:
        """Return the changes after a position, or all rows if some are not known."""
        if position < self._complete_after:
            return Changes(None, self._rows_after(NO_POSITION))
        if position >= self._last_changed:
            return Changes(position, ())
        removed = tuple(
            StoreRow(key, at.version, None)
            for key, at in self._removed_at_by_key.items()
            if at > position
        )
        return Changes(position, self._rows_after(position) + removed)

    def _rows_after(self, position: StorePosition) -> tuple[StoreRow, ...]:
        return tuple(
            StoreRow(key, at.version, self.value_by_key[key])
            for key, at in self._changed_at_by_key.items()
            if at > position
        )
