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
    "Gossip",
    "Held",
    "HeldQuery",
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
    """What every message starts with; ``incarnation`` is that of the origin.

    ``spread_sequence`` is 0 for a message to one daemon; any other number marks
    one that each daemon forwards on first receipt.
    """

    version: int
    origin: str
    incarnation: int
    topic: str
    payload: bytes
    spread_sequence: int = 0


class HostRecord(msgspec.Struct, frozen=True, array_like=True):
    """Where a daemon runs and how it is reached."""

    zone: str
    region: str
    url: str
    peer_endpoint: str
    peer_key: str = ""


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What is said of one member.

    ``refutation`` is raised by the member itself to overrule what others say
    of the same incarnation. ``host`` is absent once it is widely known.
    """

    daemon_id: str
    incarnation: int
    refutation: int
    state: MemberState
    host: HostRecord | None = None


class RevisionDigest(msgspec.Struct, frozen=True, array_like=True):
    """What a daemon holds and how fresh its knowledge is.

    ``head_age_ms`` is the age of the newest read of the table's head known to
    the sender, -1 for none, and ``head_revision`` what that read saw.
    ``is_witness`` tells whether the sender has held everything accepted at some
    moment since its start. ``contact_ages`` has one byte for each member of the
    view in order of daemon id: the age in 100 ms of the newest word of it as a
    witness, 255 for none. It is empty in probes and while the table is read.
    """

    revision: int
    content_hash: int
    head_revision: int = 0
    head_age_ms: int = -1
    contact_revision: int = 0
    is_witness: bool = False
    contact_ages: bytes = b""


class Gossip(msgspec.Struct, frozen=True, array_like=True):
    """State carried on every probe and acknowledgement."""

    view_hash: int
    digest: RevisionDigest
    serving: bool = True
    updates: tuple[MemberUpdate, ...] = ()


class Probe(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """Asks a member for an acknowledgement."""

    sequence: int
    gossip: Gossip


class Ack(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """Answers a probe; ``gossip`` is absent when a helper relays it."""

    sequence: int
    gossip: Gossip | None = None


class ProbeRequest(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """Asks a helper to probe a member that did not answer."""

    sequence: int
    daemon_id: str


class BucketHashes(msgspec.Struct, frozen=True, array_like=True, tag="b"):
    """Hash of each bucket of the sender's view; asks for those that differ."""

    hashes: tuple[int, ...]


class ViewRecords(msgspec.Struct, frozen=True, array_like=True, tag="v"):
    """Members of the buckets that differed."""

    updates: tuple[MemberUpdate, ...]


MemberMessage = Probe | Ack | ProbeRequest | BucketHashes | ViewRecords


class ItemRecord(msgspec.Struct, frozen=True, array_like=True):
    """One configuration item at the revision that wrote it; empty body if removed."""

    kind: ItemKind
    name: str
    revision: int
    body: bytes


class ChangeRecord(msgspec.Struct, frozen=True, array_like=True):
    """One revision: the item it wrote, and who wrote it, when and why."""

    item: ItemRecord
    change_id: str
    operator: str
    at_unix_s: float
    previous_revision: int
    note: str = ""

    @property
    def revision(self) -> int:
        """Revision that the change made."""
        return self.item.revision


class ChangePush(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """A change on its way to every daemon; ``confirm_to`` counts who holds it.

    ``hops`` counts the pushes so far, this one included.
    """

    change: ChangeRecord
    confirm_to: str
    hops: int = 1


class HeldQuery(msgspec.Struct, frozen=True, array_like=True, tag="q"):
    """Asks which revision a daemon holds; ``revision`` exists."""

    revision: int


class Held(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    """The revision that a daemon holds, and the hash over its items."""

    revision: int
    content_hash: int


class ChangesPull(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """Asks for the changes after a revision."""

    after: int


class Changes(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    """Consecutive changes."""

    changes: tuple[ChangeRecord, ...]


class SnapshotPull(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """Asks for every item in force."""


class Snapshot(msgspec.Struct, frozen=True, array_like=True, tag="t"):
    """Every item in force at one revision."""

    revision: int
    content_hash: int
    items: tuple[ItemRecord, ...]


ConfigurationMessage = (
    ChangePush | HeldQuery | Held | ChangesPull | Changes | SnapshotPull | Snapshot
)


class InFlightQuery(msgspec.Struct, frozen=True, array_like=True, tag="q"):
    """Asks how much work a daemon has in flight on a target."""

    sequence: int
    target_id: str


class InFlightCount(msgspec.Struct, frozen=True, array_like=True, tag="n"):
    """Attempts in flight on the target of a query."""

    sequence: int
    count: int


InFlightMessage = InFlightQuery | InFlightCount
