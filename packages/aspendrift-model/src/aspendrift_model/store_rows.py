"""Rows of the platform's store, and positions in its history."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

__all__ = ["NO_POSITION", "StorePosition", "StoreRow"]


@dataclass(frozen=True, slots=True, order=True)
class StorePosition:
    """A position in the store's history; a later era is newer than any version.

    Parameters
    ----------
    era : int
        Rises when the store comes back from a copy: writes since then are lost, and
        their versions are given out again.
    version : int
        Version of the store within its era.
    """

    era: int
    version: int


NO_POSITION: Final = StorePosition(0, -1)


@dataclass(frozen=True, slots=True)
class StoreRow:
    """One row; ``value`` is None for a row that was removed.

    ``version`` is within the era of the answer or message that holds the row.
    """

    key: str
    version: int
    value: bytes | None
