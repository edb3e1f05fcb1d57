"""Uses the platform's host list as a hint about members."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from aspendrift_model.hosts import Host, HostCapacity, Location
from aspendrift_model.ids import DaemonId, Incarnation, RegionName, ZoneName
from aspendrift_model.states import MemberState
from aspendrift_model.wire_platform import HostEntry
from aspendrift_policy.membership import MemberView

__all__ = ["HostListTracker"]

_DELISTED_GRACE_S: Final = 60.0


class HostListTracker:
    """Adds listed hosts to a view, and marks delisted unreachable members dead.

    The list lags, so a member is marked dead only if it was listed before, has
    been absent from the list for a grace period, and is unreachable or leaving.
    """

    def __init__(self) -> None:
        self._listed: set[DaemonId] = set()
        self._absent_since_by_id: dict[DaemonId, float] = {}

    def update(
        self, entries: Iterable[HostEntry], view: MemberView, now: float
    ) -> None:
        """Apply the current host list to the view."""
        listed = {DaemonId(entry.daemon_id): entry for entry in entries}
        for entry in listed.values():
            if not entry.leaving:
                view.add_seed(_host(entry), now)
        for daemon_id in self._listed - listed.keys():
            self._absent_since_by_id.setdefault(daemon_id, now)
        for daemon_id in listed:
            self._absent_since_by_id.pop(daemon_id, None)
        self._listed |= listed.keys()
        self._mark_delisted_dead(view, now)

    def _mark_delisted_dead(self, view: MemberView, now: float) -> None:
        for daemon_id, since in list(self._absent_since_by_id.items()):
            member = view.members_by_id.get(daemon_id)
            if member is None:
                del self._absent_since_by_id[daemon_id]
                self._listed.discard(daemon_id)
                continue
            may_be_dead = member.state in (MemberState.UNREACHABLE, MemberState.LEAVING)
            if may_be_dead and now - since > _DELISTED_GRACE_S:
                view.escalate_state(daemon_id, MemberState.DEAD, now)


def _host(entry: HostEntry) -> Host:
    location = Location(ZoneName(entry.zone), RegionName(entry.region))
    return Host(
        DaemonId(entry.daemon_id),
        Incarnation(0),
        location,
        entry.url,
        entry.peer_endpoint,
        entry.peer_key,
        HostCapacity(entry.cores, entry.link_bits_per_s),
    )
