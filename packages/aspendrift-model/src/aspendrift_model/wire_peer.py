"""Messages between daemons: MessagePack arrays in a versioned envelope."""

from __future__ import annotations

from typing import Final

import msgspec

from aspendrift_model.states import ItemKind, MemberState

__all__ = [
    "PEER_PROTOCOL_VERSION",
    "Ack",
    "BucketHashes",
    "ChangePush",
    "ChangeRecord",
    "Changes",
    "ChangesPull",
    "ConfigurationMessage",
    "Envelope",
    "FeatureAnnouncement",
    "Gossip",
    "HeldRevision",
    "HeldRevisionQuery",
    "HostRecord",
    "InFlightCount",
    "InFlightMessage",
    "InFlightQuery",
    "ItemRecord",
    "MemberMessage",
    "MemberUpdate",
    "Probe",
    "ProbeRequest",
    "RevisionDigest",
    "Snapshot",
    "SnapshotPull",
    "ViewRecords",
]

PEER_PROTOCOL_VERSION: Final = 1


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Envelope of every peer message; ``incarnation`` is that of the origin.

    ``spread_sequence`` is 0 for a message to a single daemon. Any other value
    marks a gossip message, which each daemon forwards on first receipt.
    """

    version: int
    origin: str
    incarnation: int
    topic: str
    payload: bytes
    spread_sequence: int = 0


class HostRecord(msgspec.Struct, frozen=True, array_like=True):
    """Location, addresses and capacity of a daemon; 0 if the latter is unknown."""

    zone: str
    region: str
    url: str
    peer_endpoint: str
    peer_key: str = ""
    cores: float = 0.0
    link_bits_per_s: float = 0.0


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """State of a member, disseminated by gossip.

    ``refutation`` is incremented by the member itself to override states that
    others report for the same incarnation. ``host`` is omitted once it has
    been widely disseminated.
    """

    daemon_id: str
    incarnation: int
    refutation: int
    state: MemberState
    host: HostRecord | None = None


class RevisionDigest(msgspec.Struct, frozen=True, array_like=True):
    """Configuration revision that a daemon holds, and the age of its state.

    ``head_age_ms`` is the age of the most recent read of the table's head known
    to the sender, -1 for none; ``head_revision`` is the revision that it returned.
    ``is_witness`` indicates whether the sender has held every accepted change at
    some time since its start. ``contact_ages`` has one byte for each member of
    the view in order of daemon id: the age, in units of 100 ms, of the most recent
    message from the member as a witness, 255 for none. It is empty in probes and
    while a recent read of the head is known.
    """

    revision: int
    content_hash: int
    head_revision: int = 0
    head_age_ms: int = -1
    contact_revision: int = 0
    is_witness: bool = False
    contact_ages: bytes = b""


class Gossip(msgspec.Struct, frozen=True, array_like=True):
    """State piggybacked on probes and acknowledgements.

    ``features`` are those that the sender understands, one bit for the value of each
    `PeerFeature`. They are not part of the records of members, since a daemon of
    another version relays these without the fields that it doesn't know.
    """

    view_hash: int
    digest: RevisionDigest
    serving: bool = True
    updates: tuple[MemberUpdate, ...] = ()
    features: int = 0


class Probe(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """Requests an acknowledgement from a member."""

    sequence: int
    gossip: Gossip


class Ack(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """Acknowledges a probe; ``gossip`` is omitted if a helper relays it."""

    sequence: int
    gossip: Gossip | None = None


class ProbeRequest(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """Requests an indirect probe of a member that did not reply."""

    sequence: int
    daemon_id: str


class BucketHashes(msgspec.Struct, frozen=True, array_like=True, tag="b"):
    """Hash of each bucket of the sender's view; requests those that differ."""

    hashes: tuple[int, ...]


class ViewRecords(msgspec.Struct, frozen=True, array_like=True, tag="v"):
    """Members of the buckets whose hashes differed."""

    updates: tuple[MemberUpdate, ...]


class FeatureAnnouncement(msgspec.Struct, frozen=True, array_like=True, tag="f"):
    """Features of the sender, as in `Gossip`; sent once to each new member.

    A fleet of hundreds needs a minute until each daemon has probed each other one.
    """

    features: int


MemberMessage = (
    Probe | Ack | ProbeRequest | BucketHashes | ViewRecords | FeatureAnnouncement
)


class ItemRecord(msgspec.Struct, frozen=True, array_like=True):
    """A configuration item at the revision that wrote it; empty body if removed."""

    kind: ItemKind
    name: str
    revision: int
    body: bytes


class ChangeRecord(msgspec.Struct, frozen=True, array_like=True):
    """A revision: the item written, and the operator, time and note of the change."""

    item: ItemRecord
    change_id: str
    operator: str
    at_unix_s: float
    previous_revision: int
    note: str = ""

    @property
    def revision(self) -> int:
        """Revision that the change created."""
        return self.item.revision


class ChangePush(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """A change pushed to every daemon; holders confirm it to ``confirm_to``.

    ``hops`` is the number of pushes so far, including this one.
    """

    change: ChangeRecord
    confirm_to: str
    hops: int = 1


class HeldRevisionQuery(msgspec.Struct, frozen=True, array_like=True, tag="q"):
    """Queries the revision that a daemon holds; ``revision`` is known to exist."""

    revision: int


class HeldRevision(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    """Reports the revision that a daemon holds, and the hash of its items."""

    revision: int
    content_hash: int


class ChangesPull(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """Requests the changes after a revision."""

    after: int


class Changes(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    """Consecutive configuration changes."""

    changes: tuple[ChangeRecord, ...]


class SnapshotPull(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """Requests every configuration item in force."""


class Snapshot(msgspec.Struct, frozen=True, array_like=True, tag="t"):
    """Every configuration item in force at one revision."""

    revision: int
    content_hash: int
    items: tuple[ItemRecord, ...]


ConfigurationMessage = (
    ChangePush
    | HeldRevisionQuery
    | HeldRevision
    | ChangesPull
    | Changes
    | SnapshotPull
    | Snapshot
)


class InFlightQuery(msgspec.Struct, frozen=True, array_like=True, tag="q"):
    """Queries the number of attempts that a daemon has in flight on a target."""

    sequence: int
    target_id: str


class InFlightCount(msgspec.Struct, frozen=True, array_like=True, tag="n"):
    """Number of attempts in flight on the target of a query."""

    sequence: int
    count: int


InFlightMessage = InFlightQuery | InFlightCount
