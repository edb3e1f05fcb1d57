"""Entries that targets register about themselves in the platform's store."""

from __future__ import annotations

from dataclasses import dataclass

from aspendrift_model.ids import PoolName, SoftwareVersion, TargetId, ZoneName

__all__ = ["TargetEntry", "TargetKey", "UnreadableEntry"]


@dataclass(frozen=True, slots=True, order=True)
class TargetKey:
    """One incarnation of a target, which may restart under the same id.

    Parameters
    ----------
    born_ms : int
        Start time as Unix time, in milliseconds; 0 if the target does not
        report it.
    """

    target_id: TargetId
    born_ms: int = 0


@dataclass(frozen=True, slots=True)
class TargetEntry:
    """A valid entry.

    Parameters
    ----------
    address : str
        IP address and port, separated by a colon.
    software : SoftwareVersion
        Version of the target's software; another one can't continue its streams.
    cold_left_s : float
        Time for which the target stayed cold when it wrote the entry, in seconds.
    """

    key: TargetKey
    pool: PoolName
    address: str
    zone: ZoneName
    n_slots: int
    is_draining: bool
    software: SoftwareVersion = SoftwareVersion("")
    cold_left_s: float = 0.0


@dataclass(frozen=True, slots=True)
class UnreadableEntry:
    """An entry that could not be decoded, and why."""

    target_id: TargetId
    problem: str
