"""Rows of the platform's store."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["StoreRow"]


@dataclass(frozen=True, slots=True)
class StoreRow:
    """One row; ``value`` is None for a row that was removed."""

    key: str
    version: int
    value: bytes | None
