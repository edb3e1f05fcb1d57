"""Messages between the operator client and daemons: JSON bodies under /v1/admin.

Routes::

    POST /v1/admin/changes               ChangeRequest -> ChangeAnswer
    GET  /v1/admin/changes               ?after=REVISION&limit=N -> ChangeList
    GET  /v1/admin/changes/{change_id}   ChangeAnswer
    POST /v1/admin/changes/{change_id}/abandon   ChangeAnswer
    GET  /v1/admin/items/{kind}          ItemList
    GET  /v1/admin/items/{kind}/{name}   ItemBody
    GET  /v1/admin/items/{kind}/{name}/history   ChangeList
    GET  /v1/admin/targets/{name}/in-flight      InFlightBody
    GET  /v1/admin/status                StatusBody
"""

from __future__ import annotations

from enum import Enum
from typing import Annotated

import msgspec

from aspendrift_model.states import ItemKind, MemberState, RefusalReason

__all__ = [
    "ChangeAnswer",
    "ChangeBody",
    "ChangeList",
    "ChangeRequest",
    "ChangeStatus",
    "DaemonStatus",
    "InFlightBody",
    "ItemBody",
    "ItemList",
    "LinkStatus",
    "OperatorRefusal",
    "StatusBody",
]

NAME_PATTERN = "^[A-Za-z0-9][A-Za-z0-9._:-]*$"
MAX_NAME_LENGTH = 128
MAX_NOTE_LENGTH = 1024

NameText = Annotated[
    str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH, pattern=NAME_PATTERN)
]


class ChangeStatus(Enum):
    """Progress of a configuration change."""

    ACCEPTED = "accepted"
    IN_FORCE = "in_force"
    RECORDED = "recorded"
    CONFLICT = "conflict"
    INVALID = "invalid"
    NOT_WRITTEN = "not_written"
    UNKNOWN = "unknown"
    ABSENT = "absent"
    ABANDONED = "abandoned"


class ChangeRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A new value for one item.

    ``expected_revision`` is the revision of the item on which the change is
    based, 0 for a new item. ``body`` is the item as JSON, null to remove it.
    """

    change_id: NameText
    kind: ItemKind
    name: NameText
    expected_revision: Annotated[int, msgspec.Meta(ge=0)]
    body: msgspec.Raw = msgspec.Raw(b"null")
    note: Annotated[str, msgspec.Meta(max_length=MAX_NOTE_LENGTH)] = ""


class ChangeBody(msgspec.Struct, frozen=True):
    """A recorded change: the item written, the operator and the time."""

    revision: int
    change_id: str
    kind: ItemKind
    name: str
    operator: str
    at_unix_s: float
    previous_revision: int
    note: str = ""
    body: msgspec.Raw = msgspec.Raw(b"null")


class ChangeAnswer(msgspec.Struct, frozen=True, omit_defaults=True):
    """Outcome or current progress of a change.

    ``other`` is the conflicting change that was accepted instead.
    ``unconfirmed`` lists the daemons in the membership view that have not
    confirmed the revision.
    """

    change_id: str
    status: ChangeStatus
    revision: int = 0
    n_held: int = 0
    n_view: int = 0
    unconfirmed: tuple[str, ...] = ()
    other: ChangeBody | None = None
    detail: str = ""


class ChangeList(msgspec.Struct, frozen=True):
    """Recorded changes, oldest first."""

    changes: tuple[ChangeBody, ...]


class ItemBody(msgspec.Struct, frozen=True):
    """A configuration item in force."""

    kind: ItemKind
    name: str
    revision: int
    body: msgspec.Raw


class ItemList(msgspec.Struct, frozen=True):
    """Configuration items of one kind in force at a revision."""

    revision: int
    items: tuple[ItemBody, ...]


class InFlightBody(msgspec.Struct, frozen=True):
    """Number of attempts in flight on a target, by daemon.

    ``unanswered`` lists the daemons in the membership view that did not reply.
    """

    target_id: str
    in_flight_by_daemon: dict[str, int]
    unanswered: tuple[str, ...] = ()


class DaemonStatus(msgspec.Struct, frozen=True):
    """State of a daemon as observed by the responding daemon."""

    daemon_id: str
    state: MemberState
    incarnation: int
    zone: str
    region: str
    url: str
    revision: int | None
    serving: bool | None = None


class LinkStatus(msgspec.Struct, frozen=True):
    """Peer message and byte counters since the start of the daemon."""

    n_sent: int = 0
    n_received: int = 0
    n_dropped: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0


class StatusBody(msgspec.Struct, frozen=True):
    """State of the system as observed by one daemon."""

    daemon_id: str
    revision: int
    fresh_age_s: float | None
    refusal: RefusalReason | None
    store_age_s: float | None
    unconfirmed: tuple[str, ...]
    daemons: tuple[DaemonStatus, ...]
    link: LinkStatus = LinkStatus()


class OperatorRefusal(msgspec.Struct, frozen=True):
    """Body of a response that refuses an operator's request."""

    reason: RefusalReason
    detail: str = ""
