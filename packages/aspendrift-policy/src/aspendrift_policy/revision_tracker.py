"""Tracks which daemons hold which configuration revision."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from aspendrift_model.hosts import Host
from aspendrift_model.ids import DaemonId, Incarnation

__all__ = ["RevisionProgress", "RevisionTracker"]


@dataclass(frozen=True, slots=True)
class RevisionProgress:
    """Number of daemons in view that hold a revision.

    Parameters
    ----------
    unconfirmed : tuple of DaemonId
        Daemons in view that are not known to hold the revision.
    """

    n_held: int
    n_view: int
    unconfirmed: tuple[DaemonId, ...]

    @property
    def is_accepted(self) -> bool:
        """Whether more than half of the view holds the revision."""
        return 2 * self.n_held > self.n_view

    @property
    def is_in_force(self) -> bool:
        """Whether every daemon in view holds the revision."""
        return not self.unconfirmed


class RevisionTracker:
    """Highest revision reported by the current incarnation of each daemon."""

    def __init__(self) -> None:
        self._held_by_id: dict[DaemonId, tuple[Incarnation, int]] = {}

    def record(self, host: Host, revision: int) -> None:
        """Record that a daemon holds a revision."""
        incarnation, before = self._held_by_id.get(
            host.daemon_id, (host.incarnation, 0)
        )
        if incarnation != host.incarnation:
            before = 0
        held = max(before, revision)
        self._held_by_id[host.daemon_id] = (host.incarnation, held)

    def revision_of(self, host: Host) -> int | None:
        """Return the revision that a daemon holds, or None if unknown."""
        known = self._held_by_id.get(host.daemon_id)
        if known is None or known[0] != host.incarnation:
            return None
        return known[1]

    def progress(self, revision: int, hosts: Iterable[Host]) -> RevisionProgress:
        """Return which of the given hosts hold a revision."""
        n_view = 0
        unconfirmed: list[DaemonId] = []
        for host in hosts:
            n_view += 1
            held = self.revision_of(host)
            if held is None or held < revision:
                unconfirmed.append(host.daemon_id)
        return RevisionProgress(n_view - len(unconfirmed), n_view, tuple(unconfirmed))
