"""Tests of applying configuration changes in revision order."""

from __future__ import annotations

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from aspendrift_model.states import ItemKind
from aspendrift_model.wire_peer import ChangeRecord, ItemRecord
from aspendrift_policy.configuration_log import (
    ConfigurationLog,
    InvalidItem,
    decode_item,
)

N_CHANGES = 30
N_ITEMS = 4


def change(revision: int) -> ChangeRecord:
    name = f"x{revision % N_ITEMS}"
    body = b'{"account_id":"%s","token_sha256":"","share":%d}' % (
        name.encode(),
        revision,
    )
    if revision % 7 == 0:
        body = b""
    item = ItemRecord(ItemKind.ACCOUNT, name, revision, body)
    return ChangeRecord(item, f"c{revision}", "ann", 0.0, 0)


CHANGES = [change(revision) for revision in range(1, N_CHANGES + 1)]


def expected(revision: int) -> ConfigurationLog:
    log = ConfigurationLog()
    log.accept(CHANGES[:revision])
    return log


class LogMachine(RuleBasedStateMachine):
    """Changes arrive reordered or duplicated, or as snapshots of any age."""

    def __init__(self) -> None:
        super().__init__()
        self.log = ConfigurationLog()
        self.highest = 0

    @rule(picked=st.lists(st.sampled_from(CHANGES), max_size=8))
    def changes_arrive(self, picked: list[ChangeRecord]) -> None:
        before = self.log.revision
        applied = self.log.accept(picked)
        revisions = [each.revision for each in applied]
        assert revisions == list(range(before + 1, before + 1 + len(applied)))

    @rule(revision=st.integers(0, N_CHANGES))
    def snapshot_arrives(self, revision: int) -> None:
        loaded = self.log.load(expected(revision).snapshot())
        assert loaded == (revision >= self.highest)

    @rule(revision=st.integers(0, N_CHANGES))
    def peer_catches_up(self, revision: int) -> None:
        peer = expected(revision)
        peer.accept(self.log.changes_after(peer.revision, 100))
        assert peer.revision in (revision, max(revision, self.log.revision))

    @invariant()
    def never_moves_back_and_matches_its_revision(self) -> None:
        assert self.log.revision >= self.highest
        self.highest = self.log.revision
        model = expected(self.log.revision)
        assert self.log.items_by_key == model.items_by_key
        assert self.log.content_hash == model.content_hash

    def teardown(self) -> None:
        self.log.accept(reversed(CHANGES))
        assert self.log.revision == N_CHANGES
        assert not self.log.has_gap()
        self.never_moves_back_and_matches_its_revision()


TestLogMachine = LogMachine.TestCase


def test_retired_profile_is_not_in_force() -> None:
    log = ConfigurationLog()
    body = (
        b'{"name":"p","state":"retired","contract":{"deadline_ms":10},'
        b'"stages":[{"name":"s","kind":"encode","pool":"q"}]}'
    )
    item = ItemRecord(ItemKind.PROFILE, "p", 1, body)
    log.accept([ChangeRecord(item, "c", "ann", 0.0, 0)])
    assert log.configuration().profiles_by_name == {}
    assert len(log.items_by_key) == 1


@pytest.mark.parametrize(
    ("kind", "body"),
    [
        (ItemKind.PROFILE, b"{}"),
        (ItemKind.PROFILE, b'{"name":"x","stages":[],"contract":{"deadline_ms":1}}'),
        (ItemKind.ACCOUNT, b'{"account_id":"other","token_sha256":""}'),
        (ItemKind.ACCOUNT, b'{"account_id":"x","token_sha256":"","share":0}'),
        (ItemKind.TARGET, b"null"),
    ],
)
def test_malformed_item_is_a_typed_error(kind: ItemKind, body: bytes) -> None:
    with pytest.raises(InvalidItem):
        decode_item(kind, "x", body)
