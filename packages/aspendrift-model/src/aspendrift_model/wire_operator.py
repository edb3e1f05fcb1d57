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
    """How far a change has come."""

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

    ``expected_revision`` is the revision of the item that the operator saw, 0
    for none. ``body`` is the item as JSON, null to remove it.
    """

    change_id: NameText
    kind: ItemKind
    name: NameText
    expected_revision: Annotated[int, msgspec.Meta(ge=0)]
    body: msgspec.Raw = msgspec.Raw(b"null")
    note: Annotated[str, msgspec.Meta(max_length=MAX_NOTE_LENGTH)] = ""


class ChangeBody(msgspec.Struct, frozen=True):
    """One recorded change: what it wrote, by whom, when."""

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
    """The outcome of a change, or how far it has come.

    ``other`` is the change that won a conflict. ``unconfirmed`` names the
    daemons in view that have not confirmed the revision.
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
    """One item in force."""

    kind: ItemKind
    name: str
    revision: int
    body: msgspec.Raw


class ItemList(msgspec.Struct, frozen=True):
    """The items of one kind in force at a revision."""

    revision: int
    items: tuple[ItemBody, ...]


class InFlightBody(msgspec.Struct, frozen=True):
    """Work still in flight on a target, by daemon.

    ``unanswered`` names daemons in view whose count is not known.
    """

    target_id: str
    in_flight_by_daemon: dict[str, int]
    unanswered: tuple[str, ...] = ()


class DaemonStatus(msgspec.Struct, frozen=True):
    """One daemon as the answering daemon sees it."""

    daemon_id: str
    state: MemberState
    incarnation: int
    zone: str
    region: str
    url: str
    revision: int | None
    serving: bool | None = None


class LinkStatus(msgspec.Struct, frozen=True):
    """Peer messages and their bytes since the daemon started."""

    n_sent: int = 0
    n_received: int = 0
    n_dropped: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0


class StatusBody(msgspec.Struct, frozen=True):
    """The state of the whole, seen from one daemon."""

    daemon_id: str
    revision: int
    fresh_age_s: float | None
    refusal: RefusalReason | None
    store_age_s: float | None
    unconfirmed: tuple[str, ...]
    daemons: tuple[DaemonStatus, ...]
    link: LinkStatus = LinkStatus()


class OperatorRefusal(msgspec.Struct, frozen=True):
    """Why an operator's call was refused."""

    reason: RefusalReason
    detail: str = ""
