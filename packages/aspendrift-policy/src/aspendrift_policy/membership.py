"""Membership view of a daemon, and the rules for merging updates into it.

An update carries an incarnation and a refutation number. The higher pair wins;
if the pairs are equal, the more severe state wins. A member refutes a reported
state by raising its refutation number; a restart raises the incarnation. A
missing response never makes a member dead, so the members of a partitioned
region stay in the view as unreachable.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from typing import Final

import xxhash

from aspendrift_model.hosts import Host, HostCapacity, Location
from aspendrift_model.ids import DaemonId, Incarnation, RegionName, ZoneName
from aspendrift_model.states import MemberState
from aspendrift_model.wire_peer import HostRecord, MemberUpdate

__all__ = ["N_BUCKETS", "Member", "MemberView", "host_from_record", "host_record"]

N_BUCKETS: Final = 16
_TRANSMITS_PER_DOUBLING: Final = 3
_MASK_64: Final = (1 << 64) - 1
_SEVERITY: Final = {
    MemberState.JOINING: 0,
    MemberState.LIVE: 1,
    MemberState.SUSPECT: 2,
    MemberState.UNREACHABLE: 3,
    MemberState.LEAVING: 4,
    MemberState.DEAD: 5,
}


@dataclass(frozen=True, slots=True)
class Member:
    """State of one daemon in another daemon's view.

    Parameters
    ----------
    refutation : int
        Raised by the member to override states reported for its incarnation.
    changed_at : float
        When the state last changed, on the monotonic clock, in seconds.
    is_serving : bool
        Whether the member last reported that it accepts new requests.
    """

    host: Host
    state: MemberState
    refutation: int = 0
    changed_at: float = 0.0
    is_serving: bool = True

    @property
    def order(self) -> tuple[int, int, int]:
        """Precedence among updates of the same daemon; the highest one wins."""
        return (self.host.incarnation, self.refutation, _SEVERITY[self.state])


def host_record(host: Host) -> HostRecord:
    """Return the wire form of a host."""
    location, capacity = host.location, host.capacity
    return HostRecord(
        location.zone,
        location.region,
        host.url,
        host.peer_endpoint,
        host.peer_key,
        capacity.cores,
        capacity.link_bits_per_s,
    )


def host_from_record(daemon_id: str, incarnation: int, record: HostRecord) -> Host:
    """Return the host that a wire record describes."""
    location = Location(ZoneName(record.zone), RegionName(record.region))
    return Host(
        DaemonId(daemon_id),
        Incarnation(incarnation),
        location,
        record.url,
        record.peer_endpoint,
        record.peer_key,
        HostCapacity(record.cores, record.link_bits_per_s),
    )


class MemberView:
    """All members known to one daemon, including itself.

    Parameters
    ----------
    own : Host
        The daemon that owns the view.
    now : float
        Current time on the monotonic clock, in seconds.
    """

    def __init__(self, own: Host, now: float) -> None:
        self.own_id = own.daemon_id
        self.members_by_id: dict[DaemonId, Member] = {
            own.daemon_id: Member(own, MemberState.LIVE, changed_at=now)
        }
        self._buckets = [0] * N_BUCKETS
        self._sorted_members: tuple[Member, ...] | None = None
        self._remaining_transmits_by_id: dict[DaemonId, int] = {}
        self._toggle_hash(self.own)

    @property
    def own(self) -> Member:
        """The daemon that owns the view."""
        return self.members_by_id[self.own_id]

    @property
    def view_hash(self) -> int:
        """Hash of members, incarnations and refutations; the same in equal views."""
        value = 0
        for index, bucket in enumerate(self._buckets):
            value ^= (bucket * (2 * index + 1)) & _MASK_64
        return value

    @property
    def bucket_hashes(self) -> tuple[int, ...]:
        """Hash of each bucket of the view."""
        return tuple(self._buckets)

    def members(self) -> tuple[Member, ...]:
        """Return all members that are not dead, sorted by daemon id.

        The same object is returned until the view changes.
        """
        if self._sorted_members is None:
            ids = sorted(self.members_by_id)
            found = [self.members_by_id[daemon_id] for daemon_id in ids]
            self._sorted_members = tuple(
                member for member in found if member.state is not MemberState.DEAD
            )
        return self._sorted_members

    def peers(self) -> list[Member]:
        """Return all other members that are not dead."""
        return [member for member in self.members() if not self._is_own(member)]

    def reachable_peers(self) -> list[Member]:
        """Return all other members that are neither unreachable nor dead."""
        peers = self.peers()
        return [each for each in peers if each.state is not MemberState.UNREACHABLE]

    def set_own_host(self, host: Host, now: float) -> None:
        """Set the addresses of this daemon once its sockets are bound."""
        self._store(replace(self.own, host=host, changed_at=now))
        self.queue_update(self.own_id)

    def add_seed(self, host: Host, now: float) -> None:
        """Add a daemon from settings or the host list, before any contact with it."""
        known = self.members_by_id.get(host.daemon_id)
        if known is None:
            self._store(Member(host, MemberState.JOINING, changed_at=now))

    def apply(self, update: MemberUpdate, now: float, relays: bool = True) -> bool:
        """Merge an update; return whether it changed the view.

        With ``relays``, an update that changed the view is also queued for
        gossip.
        """
        daemon_id = DaemonId(update.daemon_id)
        if daemon_id == self.own_id:
            return self._refute(update, now)
        known = self.members_by_id.get(daemon_id)
        if known is None and update.state is MemberState.DEAD:
            return False
        member = self._member_from_update(known, update, now)
        if member is None or (known is not None and known.order >= member.order):
            return False
        self._store(member)
        if relays:
            self.queue_update(daemon_id)
        return True

    def record_contact(
        self, daemon_id: DaemonId, incarnation: int, serving: bool, now: float
    ) -> bool:
        """Record a direct message from a member; return whether its state changed.

        A joining member becomes live. Any other state is replaced only by the
        member's own refutation, because other daemons may have received it.
        """
        known = self.members_by_id.get(daemon_id)
        if known is None or known.host.incarnation != incarnation:
            return False
        if not _has_incarnation(known):
            return False
        if known.state is MemberState.JOINING:
            self._store(replace(known, state=MemberState.LIVE, changed_at=now))
            self.queue_update(daemon_id)
            return True
        if known.is_serving != serving:
            self.members_by_id[daemon_id] = replace(known, is_serving=serving)
            self._sorted_members = None
        return False

    def escalate_state(
        self, daemon_id: DaemonId, state: MemberState, now: float
    ) -> bool:
        """Set a more severe state for a member, from evidence of this daemon."""
        known = self.members_by_id.get(daemon_id)
        if known is None or _SEVERITY[state] <= _SEVERITY[known.state]:
            return False
        self._store(replace(known, state=state, changed_at=now))
        self.queue_update(daemon_id)
        return True

    def leave(self, now: float) -> None:
        """Announce that this daemon is leaving."""
        own = replace(
            self.own,
            state=MemberState.LEAVING,
            refutation=self.own.refutation + 1,
            changed_at=now,
        )
        self._store(own)
        self.queue_update(self.own_id)

    def expire_dead(self, now: float, retention_s: float) -> None:
        """Remove members that have been dead for longer than ``retention_s``."""
        for daemon_id, member in list(self.members_by_id.items()):
            is_expired = now - member.changed_at > retention_s
            if member.state is MemberState.DEAD and is_expired:
                self._toggle_hash(member)
                del self.members_by_id[daemon_id]
                self._sorted_members = None

    def queue_update(self, daemon_id: DaemonId) -> None:
        """Queue the update of a member for the next gossip messages."""
        doublings = math.log2(len(self.members_by_id) + 1)
        self._remaining_transmits_by_id[daemon_id] = math.ceil(
            _TRANSMITS_PER_DOUBLING * doublings
        )

    def next_updates(self, limit: int) -> tuple[MemberUpdate, ...]:
        """Return the updates for one message, those sent least often first."""
        by_remaining = sorted(
            self._remaining_transmits_by_id.items(), key=lambda item: -item[1]
        )
        chosen = [daemon_id for daemon_id, _ in by_remaining[:limit]]
        for daemon_id in chosen:
            self._remaining_transmits_by_id[daemon_id] -= 1
            if self._remaining_transmits_by_id[daemon_id] <= 0:
                del self._remaining_transmits_by_id[daemon_id]
        known = [self.members_by_id.get(daemon_id) for daemon_id in chosen]
        return tuple(
            self.update_of(member)
            for member in known
            if member and _has_incarnation(member)
        )

    def update_of(self, member: Member) -> MemberUpdate:
        """Return the update that describes a member completely."""
        host = member.host
        record = host_record(host)
        return MemberUpdate(
            host.daemon_id, host.incarnation, member.refutation, member.state, record
        )

    def differing_updates(self, hashes: Sequence[int]) -> tuple[MemberUpdate, ...]:
        """Return updates of the members in all buckets with a differing hash."""
        differing_buckets = {
            index
            for index, (own_hash, given_hash) in enumerate(
                zip(self._buckets, hashes, strict=False)
            )
            if own_hash != given_hash
        }
        members = self.members_by_id.values()
        return tuple(
            self.update_of(member)
            for member in members
            if _has_incarnation(member)
            and _bucket_index(member.host.daemon_id) in differing_buckets
        )

    def sample(
        self, count: int, rng: random.Random, excluded: Iterable[DaemonId] = ()
    ) -> list[Member]:
        """Return a random sample of the reachable peers."""
        excluded_ids = frozenset(excluded)
        pool = [
            each
            for each in self.reachable_peers()
            if each.host.daemon_id not in excluded_ids
        ]
        return rng.sample(pool, min(count, len(pool)))

    def _is_own(self, member: Member) -> bool:
        return member.host.daemon_id == self.own_id

    def _refute(self, update: MemberUpdate, now: float) -> bool:
        own = self.own
        if update.incarnation != own.host.incarnation:
            return False
        if update.refutation < own.refutation:
            return False
        if _SEVERITY[update.state] <= _SEVERITY[own.state]:
            return False
        refutation = update.refutation + 1
        self._store(replace(own, refutation=refutation, changed_at=now))
        self.queue_update(self.own_id)
        return True

    def _member_from_update(
        self, known: Member | None, update: MemberUpdate, now: float
    ) -> Member | None:
        if update.host is not None:
            host = host_from_record(update.daemon_id, update.incarnation, update.host)
            if known is not None and not host.capacity.is_known:
                # A daemon of another version relays records without the capacity.
                host = replace(host, capacity=known.host.capacity)
        elif known is not None and known.host.incarnation == update.incarnation:
            host = known.host
        else:
            return None
        return Member(host, update.state, update.refutation, now)

    def _store(self, member: Member) -> None:
        known = self.members_by_id.get(member.host.daemon_id)
        if known is not None:
            self._toggle_hash(known)
        self.members_by_id[member.host.daemon_id] = member
        self._sorted_members = None
        self._toggle_hash(member)

    def _toggle_hash(self, member: Member) -> None:
        if _has_incarnation(member) and member.state is not MemberState.DEAD:
            self._buckets[_bucket_index(member.host.daemon_id)] ^= _member_hash(member)


def _bucket_index(daemon_id: DaemonId) -> int:
    return xxhash.xxh3_64_intdigest(daemon_id.encode()) % N_BUCKETS


def _has_incarnation(member: Member) -> bool:
    """Return whether the incarnation is known; seeds have incarnation 0."""
    return member.host.incarnation > 0


def _member_hash(member: Member) -> int:
    host = member.host
    mark = "leaving" if member.state is MemberState.LEAVING else ""
    text = f"{host.daemon_id}/{host.incarnation}/{member.refutation}/{mark}"
    return xxhash.xxh3_64_intdigest(text.encode())
