"""Tests of the transaction that writes a configuration change."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from aspendrift_model.states import ItemKind
from aspendrift_model.wire_operator import ChangeRequest
from aspendrift_model.wire_platform import Condition, Row, Write
from aspendrift_policy.configuration_rows import (
    HEAD_KEY,
    AbandonedChange,
    InvalidChange,
    ItemConflict,
    PlannedChange,
    RecordedChange,
    change_key,
    change_of_row,
    check_change,
    item_row_key,
    plan_abandon,
    plan_change,
    revision_key,
    revision_of_row,
)


class Table:
    """In-memory table with conditional transactions."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.version = 0

    def read(self, key: str) -> Row:
        return self.rows.get(key, Row(key, 0, None))

    def transact(
        self, conditions: tuple[Condition, ...], writes: tuple[Write, ...]
    ) -> bool:
        if any(self.read(each.key).version != each.version for each in conditions):
            return False
        self.version += 1
        for write in writes:
            self.rows[write.key] = Row(write.key, self.version, write.value)
        return True


def request(
    change_id: str, name: str = "x", seen: int = 0, removes: bool = False
) -> ChangeRequest:
    body = b'{"account_id":"%s","token_sha256":""}' % name.encode()
    raw = msgspec.Raw(b"null" if removes else body)
    return ChangeRequest(change_id, ItemKind.ACCOUNT, name, seen, raw)


def planned(table: Table, change: ChangeRequest) -> object:
    rows = (
        table.read(HEAD_KEY),
        table.read(item_row_key(change.kind, change.name)),
        table.read(change_key(change.change_id)),
    )
    return plan_change(change, "ann", 1.0, rows)


class RacingOperators(RuleBasedStateMachine):
    """Planned transactions are executed late, repeatedly or never."""

    def __init__(self) -> None:
        super().__init__()
        self.table = Table()
        self.plans: list[tuple[str, PlannedChange]] = []
        self.accepted: dict[str, int] = {}
        self.abandoned: set[str] = set()

    @rule(
        number=st.integers(0, 5),
        name=st.sampled_from(["x", "y"]),
        seen=st.integers(0, 4),
        removes=st.booleans(),
    )
    def plan(self, number: int, name: str, seen: int, removes: bool) -> None:
        change_id = f"c{number}"
        plan = planned(self.table, request(change_id, name, seen, removes))
        if isinstance(plan, PlannedChange):
            self.plans.append((change_id, plan))
        elif isinstance(plan, RecordedChange):
            assert self.accepted[change_id] == plan.revision
        elif isinstance(plan, AbandonedChange):
            assert change_id in self.abandoned

    @rule(data=st.data())
    def send(self, data: st.DataObject) -> None:
        if not self.plans:
            return
        change_id, plan = data.draw(st.sampled_from(self.plans))
        if self.table.transact(plan.conditions, plan.writes):
            assert change_id not in self.accepted
            assert change_id not in self.abandoned
            self.accepted[change_id] = plan.record.revision

    @rule(number=st.integers(0, 5))
    def abandon(self, number: int) -> None:
        change_id = f"c{number}"
        plan = plan_abandon(change_id, self.table.read(change_key(change_id)))
        if isinstance(plan, tuple):
            condition, write = plan
            assert self.table.transact((condition,), (write,))
            self.abandoned.add(change_id)

    @invariant()
    def every_accepted_change_has_its_own_revision(self) -> None:
        revisions = sorted(self.accepted.values())
        assert revisions == list(range(1, len(revisions) + 1))
        head = revision_of_row(self.table.read(HEAD_KEY)) or 0
        assert head == len(revisions)
        for change_id, revision in self.accepted.items():
            change = change_of_row(self.table.read(revision_key(revision)))
            assert change is not None
            assert change.change_id == change_id


TestRacingOperators = pytest.mark.fault(
    "operators racing", "change submitted", "change written"
)(RacingOperators.TestCase)


def test_conflict_shows_the_other_change() -> None:
    table = Table()
    first = planned(table, request("c1"))
    assert isinstance(first, PlannedChange)
    table.transact(first.conditions, first.writes)
    second = planned(table, request("c2"))
    assert isinstance(second, ItemConflict)
    assert second.other is not None
    assert second.other.change_id == "c1"


def test_target_is_drained_before_it_is_removed() -> None:
    table = Table()
    body = (
        b'{"target_id":"t","pool":"p","kind":"engine","url":"http://127.0.0.1:1",'
        b'"zone":"a","region":"r"}'
    )
    add = ChangeRequest("c1", ItemKind.TARGET, "t", 0, msgspec.Raw(body))
    plan = planned(table, add)
    assert isinstance(plan, PlannedChange)
    table.transact(plan.conditions, plan.writes)
    remove = ChangeRequest("c2", ItemKind.TARGET, "t", 1)
    assert isinstance(planned(table, remove), InvalidChange)


def test_profile_cannot_be_removed() -> None:
    assert check_change(ChangeRequest("c", ItemKind.PROFILE, "p", 1)) is not None
