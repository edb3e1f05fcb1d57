"""Load that a target reports about itself with its answers."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["LoadReport"]


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Running and waiting requests of a target, and its number of slots.

    Parameters
    ----------
    slowdown : float
        How long work takes on the machine of the target at this moment, relative to
        the usual time. It changes many times a second.
    """

    n_running: int
    n_waiting: int
    n_slots: int
    slowdown: float = 1.0

    @property
    def n_requests(self) -> int:
        """Requests at the target, running and waiting."""
        return self.n_running + self.n_waiting
