"""Reads the configuration from the platform's table and records changes in it."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final, TypeAlias

from aspendrift_daemon.interfaces import (
    Clock,
    Committed,
    NotWritten,
    RowsRead,
    StoreUnavailable,
    TableService,
    WriteUnknown,
)
from aspendrift_model.ids import ChangeId, Revision
from aspendrift_model.states import ItemKind
from aspendrift_model.wire_operator import ChangeBody, ChangeRequest
from aspendrift_model.wire_peer import ChangeRecord, ItemRecord, Snapshot
from aspendrift_model.wire_platform import Row
from aspendrift_policy.configuration_rows import (
    HEAD_KEY,
    ITEM_PREFIX,
    AbandonedChange,
    InvalidChange,
    ItemConflict,
    PlannedChange,
    RecordedChange,
    change_key,
    change_of_row,
    change_record,
    check_change,
    item_row_key,
    plan_abandon,
    plan_change,
    revision_key,
    revision_of_row,
)

__all__ = [
    "ChangeAbsent",
    "ChangeNotWritten",
    "ChangeOutcome",
    "ChangeRecorded",
    "ChangeUnknown",
    "ConfigurationTable",
]

_ROWS_PER_PAGE: Final = 500
_MAX_CHANGES_PER_READ: Final = 64
_PUBLISH_TIMEOUT_S: Final = 10.0
_INITIAL_RETRY_DELAY_S: Final = 0.05
_MAX_RETRY_DELAY_S: Final = 1.0
_RATE_LIMIT_DELAY_S: Final = 0.5


@dataclass(frozen=True, slots=True)
class ChangeRecorded:
    """The table holds the change; ``record`` is None if it was recorded earlier."""

    revision: Revision
    record: ChangeRecord | None = None


@dataclass(frozen=True, slots=True)
class ChangeNotWritten:
    """The change is known not to be recorded, now or later."""

    detail: str


@dataclass(frozen=True, slots=True)
class ChangeUnknown:
    """The change may be recorded, now or later; query its id again."""

    change_id: ChangeId
    detail: str


@dataclass(frozen=True, slots=True)
class ChangeAbsent:
    """The table holds no change with the id; an earlier write may still be applied."""


ChangeOutcome: TypeAlias = (
    ChangeRecorded
    | ChangeNotWritten
    | ChangeUnknown
    | ChangeAbsent
    | ItemConflict
    | InvalidChange
    | AbandonedChange
)


_ChangeRows: TypeAlias = tuple[Row, Row, Row]


class ConfigurationTable:
    """Reads revisions from the table and records changes in it."""

    def __init__(self, table: TableService, clock: Clock, rng: random.Random) -> None:
        self._table = table
        self._clock = clock
        self._rng = rng

    async def head(self) -> Revision | StoreUnavailable:
        """Return the newest revision."""
        answer = await self._table.read((HEAD_KEY,))
        if isinstance(answer, StoreUnavailable):
            return answer
        return revision_of_row(answer.rows[0]) or Revision(0)

    async def load(
        self, should_retry: Callable[[], bool] = lambda: False
    ) -> Snapshot | StoreUnavailable:
        """Return every item at the newest revision.

        The pages of a scan are read at different times, so the changes recorded
        during the scan are applied to its result.

        Parameters
        ----------
        should_retry : callable
            Returns whether to wait and continue a scan that exceeded the table's
            rate limit.
        """
        first = await self.head()
        if isinstance(first, StoreUnavailable):
            return first
        rows = await self._scan(ITEM_PREFIX, should_retry)
        if isinstance(rows, StoreUnavailable):
            return rows
        last = await self.head()
        if isinstance(last, StoreUnavailable):
            return last
        later = await self.changes_after(first, last)
        if isinstance(later, StoreUnavailable):
            return later
        if len(later) < last - first:
            return StoreUnavailable("too many changes during the scan")
        return _snapshot(last, rows, later)

    async def changes_after(
        self, revision: int, last: int
    ) -> tuple[ChangeRecord, ...] | StoreUnavailable:
        """Return the next changes after a revision, at most one read of them."""
        end = min(last, revision + _MAX_CHANGES_PER_READ)
        keys = [revision_key(each) for each in range(revision + 1, end + 1)]
        if not keys:
            return ()
        answer = await self._table.read(keys)
        if isinstance(answer, StoreUnavailable):
            return answer
        return tuple(change_record(body) for body in _changes(answer.rows))

    async def history(
        self, after: int, limit: int
    ) -> tuple[ChangeBody, ...] | StoreUnavailable:
        """Return recorded changes after a revision, oldest first."""
        prefix = "config/revision/"
        answer = await self._table.scan(prefix, revision_key(after), limit)
        if isinstance(answer, StoreUnavailable):
            return answer
        return tuple(_changes(answer.rows))

    async def item_history(
        self, kind: ItemKind, name: str, limit: int
    ) -> tuple[ChangeBody, ...] | StoreUnavailable:
        """Return the newest changes of one item, oldest first.

        Each change names the item's previous revision, so the changes are followed
        backwards from the item's row.
        """
        found: list[ChangeBody] = []
        key = item_row_key(kind, name)
        while len(found) < limit:
            answer = await self._table.read((key,))
            if isinstance(answer, StoreUnavailable):
                return answer
            change = change_of_row(answer.rows[0])
            if change is None:
                break
            found.append(change)
            if change.previous_revision == 0:
                break
            key = revision_key(change.previous_revision)
        return tuple(reversed(found))

    async def find(self, change_id: ChangeId) -> ChangeOutcome:
        """Return the outcome of a change by its id."""
        answer = await self._table.read((change_key(change_id),))
        if isinstance(answer, StoreUnavailable):
            return ChangeUnknown(change_id, answer.detail)
        revision = revision_of_row(answer.rows[0])
        if revision is None:
            return ChangeAbsent()
        return ChangeRecorded(revision) if revision else AbandonedChange()

    async def abandon(self, change_id: ChangeId) -> ChangeOutcome:
        """Prevent a change that is not recorded yet from ever taking effect."""
        answer = await self._table.read((change_key(change_id),))
        if isinstance(answer, StoreUnavailable):
            return ChangeUnknown(change_id, answer.detail)
        plan = plan_abandon(change_id, answer.rows[0])
        if isinstance(plan, RecordedChange):
            return ChangeRecorded(plan.revision)
        if isinstance(plan, AbandonedChange):
            return plan
        condition, write = plan
        result = await self._table.transact((condition,), (write,))
        if isinstance(result, Committed):
            return AbandonedChange()
        return await self.find(change_id)

    async def publish(self, change: ChangeRequest, operator: str) -> ChangeOutcome:
        """Record a change at most once; retry after failures until a timeout."""
        problem = check_change(change)
        if problem is not None:
            return problem
        until = self._clock.monotonic() + _PUBLISH_TIMEOUT_S
        delay_s = _INITIAL_RETRY_DELAY_S
        may_be_written = False
        rows: _ChangeRows | None = None
        while True:
            outcome, rows = await self._attempt(change, operator, rows)
            if not isinstance(outcome, ChangeNotWritten | ChangeUnknown):
                return outcome
            may_be_written |= isinstance(outcome, ChangeUnknown)
            if self._clock.monotonic() + delay_s > until:
                if may_be_written:
                    return ChangeUnknown(ChangeId(change.change_id), outcome.detail)
                return outcome
            if rows is None:
                await asyncio.sleep(delay_s * self._rng.uniform(0.5, 1.0))
                delay_s = min(_MAX_RETRY_DELAY_S, delay_s * 2)

    async def _attempt(
        self, change: ChangeRequest, operator: str, rows: _ChangeRows | None
    ) -> tuple[ChangeOutcome, _ChangeRows | None]:
        """Plan a change and write it once.

        Returns
        -------
        tuple
            The outcome, and after a conflict the current rows from the answer, so
            that the change can be planned again without a read.
        """
        if rows is None:
            answer = await self._table.read(_change_row_keys(change))
            if isinstance(answer, StoreUnavailable):
                return ChangeNotWritten(answer.detail), None
            head_row, item_row, change_row = answer.rows
            rows = (head_row, item_row, change_row)
        plan = plan_change(change, operator, self._clock.unix(), rows)
        if isinstance(plan, RecordedChange):
            return ChangeRecorded(plan.revision), None
        if not isinstance(plan, PlannedChange):
            return plan, None
        result = await self._table.transact(plan.conditions, plan.writes)
        if isinstance(result, Committed):
            revision = Revision(plan.record.revision)
            return ChangeRecorded(revision, plan.record), None
        if isinstance(result, WriteUnknown):
            return ChangeUnknown(ChangeId(change.change_id), result.detail), None
        if isinstance(result, NotWritten):
            return ChangeNotWritten(result.detail), None
        newer = {row.key: row for row in result.rows}
        first, second, third = (newer.get(row.key, row) for row in rows)
        return ChangeNotWritten("the rows kept changing until the publish timeout"), (
            first,
            second,
            third,
        )

    async def _scan(
        self, prefix: str, should_retry: Callable[[], bool]
    ) -> list[Row] | StoreUnavailable:
        rows: list[Row] = []
        after = ""
        while True:
            page = await self._table.scan(prefix, after, _ROWS_PER_PAGE)
            if not isinstance(page, RowsRead):
                if not page.over_rate or not should_retry():
                    return page
                await asyncio.sleep(_RATE_LIMIT_DELAY_S * self._rng.uniform(0.5, 1.5))
                continue
            rows += page.rows
            if len(page.rows) < _ROWS_PER_PAGE:
                return rows
            after = page.rows[-1].key


def _change_row_keys(change: ChangeRequest) -> tuple[str, str, str]:
    return (
        HEAD_KEY,
        item_row_key(change.kind, change.name),
        change_key(change.change_id),
    )


def _changes(rows: Sequence[Row]) -> list[ChangeBody]:
    bodies = [change_of_row(row) for row in rows]
    return [body for body in bodies if body is not None]


def _snapshot(
    revision: Revision, rows: Sequence[Row], later: Sequence[ChangeRecord]
) -> Snapshot:
    items: dict[tuple[ItemKind, str], ItemRecord] = {}
    records = [change_record(body).item for body in _changes(rows)]
    for record in records + [change.item for change in later]:
        known = items.get((record.kind, record.name))
        if known is None or record.revision >= known.revision:
            items[record.kind, record.name] = record
    return Snapshot(revision, 0, tuple(each for each in items.values() if each.body))
