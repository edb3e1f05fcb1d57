"""Rows of a table with the version at which each one last changed.

Daemons pass the list of targets on to each other as changes since a version. Targets
rewrite their entries with every heartbeat; the caller tells whether the meaning of a
row changed, and only then the row is passed on again.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from typing import Final

from aspendrift_model.store_rows import StoreRow

__all__ = ["ChangeLog", "Changes"]

# Removed keys to retain; recipients with older lists get the complete list.
_MAX_REMOVED: Final = 1024


@dataclass(frozen=True, slots=True)
class Changes:
    """Rows that changed after a version, or all rows; each at its last change.

    Parameters
    ----------
    after : int
        Version that the changes build on; -1 if ``rows`` is the complete list.
    """

    after: int
    rows: tuple[StoreRow, ...]


class ChangeLog:
    """Values by key, and the versions of their last changes."""

    def __init__(self) -> None:
        self.value_by_key: dict[str, bytes] = {}
        self._version_by_key: dict[str, int] = {}
        self._removed_at_by_key: dict[str, int] = {}
        self._last_changed = -1
        # Changes after this version are known completely; -1 before the first list.
        self._complete_after = -1

    def put(self, key: str, value: bytes, version: int, is_changed: bool) -> None:
        """Set a value; the version counts if the meaning of the row changed."""
        self.value_by_key[key] = value
        self._removed_at_by_key.pop(key, None)
        if is_changed or key not in self._version_by_key:
            self._version_by_key[key] = version
            self._last_changed = max(self._last_changed, version)

    def remove(self, key: str, version: int) -> None:
        """Remove a key."""
        if self.value_by_key.pop(key, None) is None:
            return
        del self._version_by_key[key]
        self._removed_at_by_key[key] = version
        self._last_changed = max(self._last_changed, version)
        if len(self._removed_at_by_key) > _MAX_REMOVED:
            forgotten = next(iter(self._removed_at_by_key))
            forgotten_version = self._removed_at_by_key.pop(forgotten)
            self._complete_after = max(self._complete_after, forgotten_version)

    def retain(self, keys: Collection[str], version: int) -> list[str]:
        """Remove the keys that a complete list lacks, and return them."""
        absent = [key for key in self.value_by_key if key not in keys]
        for key in absent:
            self.remove(key, version)
        if self._complete_after < 0:
            self._complete_after = version
        return absent

    def since(self, version: int) -> Changes:
        """Return the changes after a version, or all rows if some are not known."""
        if version < self._complete_after:
            return Changes(-1, self._rows_after(-1))
        if version >= self._last_changed:
            return Changes(version, ())
        removed = tuple(
            StoreRow(key, at, None)
            for key, at in self._removed_at_by_key.items()
            if at > version
        )
        return Changes(version, self._rows_after(version) + removed)

    def _rows_after(self, version: int) -> tuple[StoreRow, ...]:
        return tuple(
            StoreRow(key, at, self.value_by_key[key])
            for key, at in self._version_by_key.items()
            if at > version
        )
