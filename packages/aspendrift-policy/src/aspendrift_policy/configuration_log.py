"""Replicated configuration log: applies changes in revision order."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import Final

import msgspec
import xxhash

from aspendrift_model.accounts import ClientAccount
from aspendrift_model.configuration import Configuration, item_key
from aspendrift_model.decode_errors import DECODE_ERRORS
from aspendrift_model.ids import AccountId, ItemKey, ProfileName, Revision, TargetId
from aspendrift_model.profiles import Profile
from aspendrift_model.states import ItemKind, ProfileState
from aspendrift_model.targets import Target
from aspendrift_model.wire_peer import ChangeRecord, ItemRecord, Snapshot

__all__ = ["ConfigurationLog", "InvalidItem", "Item", "decode_item", "encode_item"]

Item = Profile | Target | ClientAccount

_MAX_RECENT_CHANGES: Final = 512
_MAX_PENDING_CHANGES: Final = 512
_TYPE_BY_KIND: Final[dict[ItemKind, type[Item]]] = {
    ItemKind.PROFILE: Profile,
    ItemKind.TARGET: Target,
    ItemKind.ACCOUNT: ClientAccount,
}


class InvalidItem(Exception):
    """The body of an item is invalid for its kind."""


def decode_item(kind: ItemKind, name: str, body: bytes) -> Item:
    """Decode and validate the JSON body of an item.

    Raises
    ------
    InvalidItem
        If the body is malformed, names another item or violates a constraint.
    """
    try:
        item = msgspec.json.decode(body, type=_TYPE_BY_KIND[kind])
    except DECODE_ERRORS as error:
        raise InvalidItem(str(error)) from error
    if _name_of(item) != name:
        raise InvalidItem(
            f"name in the body differs from the item name: {_name_of(item)!r}"
        )
    _validate(item)
    return item


def encode_item(item: Item) -> bytes:
    """Return the JSON body of an item."""
    return msgspec.json.encode(item)


def _name_of(item: Item) -> str:
    if isinstance(item, Profile):
        return item.name
    if isinstance(item, Target):
        return item.target_id
    return item.account_id


def _validate(item: Item) -> None:
    if isinstance(item, Profile):
        _validate_profile(item)
    elif isinstance(item, Target) and item.slots < 1:
        raise InvalidItem("slots must be at least 1")
    elif isinstance(item, ClientAccount) and not 0 < item.share < float("inf"):
        raise InvalidItem("share must be positive and finite")


def _validate_profile(profile: Profile) -> None:
    names = [stage.name for stage in profile.stages]
    if not names:
        raise InvalidItem("a profile must have at least one stage")
    if len(set(names)) != len(names):
        raise InvalidItem("stage names must be unique")
    if profile.contract.deadline_ms < 1:
        raise InvalidItem("deadline_ms must be at least 1")


class ConfigurationLog:
    """Items in force, recent changes, and pending changes beyond a gap.

    The revision never decreases.
    """

    def __init__(self) -> None:
        self.revision = Revision(0)
        self.content_hash = 0
        self.items_by_key: dict[ItemKey, ItemRecord] = {}
        self._parsed_by_key: dict[ItemKey, Item] = {}
        self._recent: deque[ChangeRecord] = deque(maxlen=_MAX_RECENT_CHANGES)
        self._pending_by_revision: dict[int, ChangeRecord] = {}

    def accept(self, changes: Iterable[ChangeRecord]) -> list[ChangeRecord]:
        """Accept changes in any order; return those now applied, in revision order."""
        for change in changes:
            self._add_pending(change)
        applied: list[ChangeRecord] = []
        while (next_revision := self.revision + 1) in self._pending_by_revision:
            change = self._pending_by_revision.pop(next_revision)
            self._apply(change)
            applied.append(change)
        return applied

    def load(self, snapshot: Snapshot) -> bool:
        """Replace all items by a snapshot; return False if the snapshot is older."""
        if snapshot.revision < self.revision:
            return False
        self.items_by_key.clear()
        self._parsed_by_key.clear()
        self.content_hash = 0
        for record in snapshot.items:
            self._put(record)
        self.revision = Revision(snapshot.revision)
        self._recent.clear()
        self._drop_applied_pending()
        return True

    def snapshot(self) -> Snapshot:
        """Return a snapshot of all items in force."""
        items = tuple(self.items_by_key.values())
        return Snapshot(self.revision, self.content_hash, items)

    def changes_after(self, revision: int, limit: int) -> tuple[ChangeRecord, ...]:
        """Return consecutive changes after a revision, or none if some were evicted."""
        if not self._recent or self._recent[0].revision > revision + 1:
            return ()
        newer = [change for change in self._recent if change.revision > revision]
        return tuple(newer[:limit])

    def recent(self) -> tuple[ChangeRecord, ...]:
        """Return the recent changes, oldest first."""
        return tuple(self._recent)

    def has_gap(self) -> bool:
        """Return whether pending changes wait for a missing revision."""
        return bool(self._pending_by_revision)

    def configuration(self) -> Configuration:
        """Return the items in force, without retired profiles."""
        profiles: dict[ProfileName, Profile] = {}
        targets: dict[TargetId, Target] = {}
        accounts: dict[AccountId, ClientAccount] = {}
        for item in self._parsed_by_key.values():
            if isinstance(item, Target):
                targets[item.target_id] = item
            elif isinstance(item, ClientAccount):
                accounts[item.account_id] = item
            elif item.state is ProfileState.PUBLISHED:
                profiles[item.name] = item
        return Configuration(self.revision, profiles, targets, accounts)

    def _add_pending(self, change: ChangeRecord) -> None:
        is_applied = change.revision <= self.revision
        if is_applied or change.revision > self.revision + _MAX_PENDING_CHANGES:
            return
        self._pending_by_revision.setdefault(change.revision, change)

    def _apply(self, change: ChangeRecord) -> None:
        self._put(change.item)
        self.revision = Revision(change.revision)
        self._recent.append(change)

    def _put(self, record: ItemRecord) -> None:
        key = item_key(record.kind, record.name)
        previous = self.items_by_key.pop(key, None)
        self._parsed_by_key.pop(key, None)
        if previous is not None:
            self.content_hash ^= _record_hash(previous)
        if not record.body:
            return
        self.items_by_key[key] = record
        self.content_hash ^= _record_hash(record)
        try:
            item = decode_item(record.kind, record.name, record.body)
        except InvalidItem:
            return
        self._parsed_by_key[key] = item

    def _drop_applied_pending(self) -> None:
        for revision in list(self._pending_by_revision):
            if revision <= self.revision:
                del self._pending_by_revision[revision]


def _record_hash(record: ItemRecord) -> int:
    text = f"{record.kind.value}/{record.name}/{record.revision}/".encode()
    return xxhash.xxh3_64_intdigest(text + record.body)
