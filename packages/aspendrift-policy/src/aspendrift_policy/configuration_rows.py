"""Configuration rows in the table, and the transaction that writes a change.

``config/head``            the newest revision
``config/revision/N``      the change that created revision N
``config/item/KIND/NAME``  the newest change of the item
``config/change/ID``       the revision that a change id created, 0 if abandoned

A change writes all four rows in one transaction, on condition that the head and
item rows are unchanged since they were read and the change id row is absent. A
transaction may therefore be retried, or planned again on a newer head, and
still takes effect at most once.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, TypeAlias

import msgspec

from aspendrift_model.ids import ChangeId, Revision
from aspendrift_model.states import ItemKind, TargetState
from aspendrift_model.targets import Target
from aspendrift_model.wire_operator import ChangeBody, ChangeRequest
from aspendrift_model.wire_peer import ChangeRecord, ItemRecord
from aspendrift_model.wire_platform import Condition, Row, Write
from aspendrift_policy.configuration_log import InvalidItem, decode_item

__all__ = [
    "HEAD_KEY",
    "ITEM_PREFIX",
    "AbandonedChange",
    "ChangePlan",
    "InvalidChange",
    "ItemConflict",
    "PlannedChange",
    "RecordedChange",
    "change_key",
    "change_of_row",
    "change_record",
    "check_change",
    "item_row_key",
    "plan_abandon",
    "plan_change",
    "revision_key",
    "revision_of_row",
]

HEAD_KEY: Final = "config/head"
ITEM_PREFIX: Final = "config/item/"
_REMOVED: Final = b"null"


class _RevisionRow(msgspec.Struct, frozen=True):
    revision: int


@dataclass(frozen=True, slots=True)
class PlannedChange:
    """A transaction that creates the next revision."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]
    record: ChangeRecord


@dataclass(frozen=True, slots=True)
class RecordedChange:
    """The change id already created a revision."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class AbandonedChange:
    """The change id was abandoned and will never take effect."""


@dataclass(frozen=True, slots=True)
class ItemConflict:
    """The item was changed by ``other`` after the operator read it."""

    other: ChangeBody | None


@dataclass(frozen=True, slots=True)
class InvalidChange:
    """The change is invalid, whichever operator requests it."""

    detail: str


ChangePlan: TypeAlias = (
    PlannedChange | RecordedChange | AbandonedChange | ItemConflict | InvalidChange
)


def revision_key(revision: int) -> str:
    """Return the row key of a revision."""
    return f"config/revision/{revision:012d}"


def item_row_key(kind: ItemKind, name: str) -> str:
    """Return the row key of an item."""
    return f"{ITEM_PREFIX}{kind.value}/{name}"


def change_key(change_id: str) -> str:
    """Return the row key of a change id."""
    return f"config/change/{change_id}"


def revision_of_row(row: Row) -> Revision | None:
    """Return the revision in a head or change row, or None if the row is absent."""
    if row.value is None:
        return None
    return Revision(msgspec.json.decode(row.value, type=_RevisionRow).revision)


def change_of_row(row: Row) -> ChangeBody | None:
    """Return the change in a revision or item row, or None if the row is absent."""
    if row.value is None:
        return None
    return msgspec.json.decode(row.value, type=ChangeBody)


def change_record(body: ChangeBody) -> ChangeRecord:
    """Return the form in which daemons exchange a change."""
    item_body = bytes(body.body)
    item = ItemRecord(
        body.kind, body.name, body.revision, b"" if item_body == _REMOVED else item_body
    )
    return ChangeRecord(
        item,
        body.change_id,
        body.operator,
        body.at_unix_s,
        body.previous_revision,
        body.note,
    )


def check_change(request: ChangeRequest) -> InvalidChange | None:
    """Return why a change is malformed, or None if it is well-formed."""
    body = bytes(request.body)
    if body == _REMOVED:
        if request.kind is ItemKind.PROFILE:
            return InvalidChange("a profile can't be removed, only retired")
        return None
    try:
        decode_item(request.kind, request.name, body)
    except InvalidItem as error:
        return InvalidChange(str(error))
    return None


def plan_change(
    request: ChangeRequest, operator: str, at_unix_s: float, rows: tuple[Row, Row, Row]
) -> ChangePlan:
    """Plan a change from the rows of the head, the item and the change id."""
    head_row, item_row, change_row = rows
    recorded = revision_of_row(change_row)
    if recorded is not None:
        return RecordedChange(recorded) if recorded else AbandonedChange()
    current = change_of_row(item_row)
    if _visible_revision(current) != request.expected_revision:
        return ItemConflict(current)
    problem = _transition_problem(request, current)
    if problem is not None:
        return problem
    head = revision_of_row(head_row) or 0
    previous = 0 if current is None else current.revision
    body = ChangeBody(
        head + 1,
        request.change_id,
        request.kind,
        request.name,
        operator,
        at_unix_s,
        previous,
        request.note,
        request.body,
    )
    conditions = tuple(Condition(row.key, row.version) for row in rows)
    return PlannedChange(conditions, _writes(body), change_record(body))


def plan_abandon(
    change_id: ChangeId, change_row: Row
) -> tuple[Condition, Write] | RecordedChange | AbandonedChange:
    """Plan the write that prevents a change from ever taking effect."""
    recorded = revision_of_row(change_row)
    if recorded is not None:
        return RecordedChange(recorded) if recorded else AbandonedChange()
    key = change_key(change_id)
    return Condition(key, change_row.version), Write(key, _revision_text(0))


def _visible_revision(current: ChangeBody | None) -> int:
    """Return the item's revision as operators see it; 0 if it was removed."""
    if current is None or bytes(current.body) == _REMOVED:
        return 0
    return current.revision


def _transition_problem(
    request: ChangeRequest, current: ChangeBody | None
) -> InvalidChange | None:
    if bytes(request.body) != _REMOVED:
        return None
    if current is None or bytes(current.body) == _REMOVED:
        return InvalidChange("the item does not exist")
    if request.kind is not ItemKind.TARGET:
        return None
    target = decode_item(current.kind, current.name, bytes(current.body))
    if isinstance(target, Target) and target.state is TargetState.ACTIVE:
        return InvalidChange("an active target can't be removed; drain it first")
    return None


def _writes(body: ChangeBody) -> tuple[Write, ...]:
    text = msgspec.json.encode(body).decode()
    return (
        Write(HEAD_KEY, _revision_text(body.revision)),
        Write(revision_key(body.revision), text),
        Write(item_row_key(body.kind, body.name), text),
        Write(change_key(body.change_id), _revision_text(body.revision)),
    )


def _revision_text(revision: int) -> str:
    return msgspec.json.encode(_RevisionRow(revision)).decode()
