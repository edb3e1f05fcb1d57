"""The configuration that a daemon holds: changes applied in order, never back."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import Final

import msgspec
import xxhash

from aspendrift_model.accounts import ClientAccount
from aspendrift_model.configuration import Configuration, item_key
from aspendrift_model.ids import AccountId, ItemKey, ProfileName, Revision, TargetId
from aspendrift_model.profiles import Profile
from aspendrift_model.states import ItemKind, ProfileState
from aspendrift_model.targets import Target
from aspendrift_model.unreadable import UNREADABLE
from aspendrift_model.wire_peer import ChangeRecord, ItemRecord, Snapshot

__all__ = ["ConfigurationLog", "InvalidItem", "Item", "decode_item", "encode_item"]

Item = Profile | Target | ClientAccount

_MAX_RECENT_CHANGES: Final = 512
_MAX_WAITING_CHANGES: Final = 512
_TYPE_BY_KIND: Final[dict[ItemKind, type[Item]]] = {
    ItemKind.PROFILE: Profile,
    ItemKind.TARGET: Target,
    ItemKind.ACCOUNT: ClientAccount,
}


class InvalidItem(Exception):
    """The body of an item that does not have the form of its kind."""


def decode_item(kind: ItemKind, name: str, body: bytes) -> Item:
    """Return the item that a JSON body describes.

    Raises
    ------
    InvalidItem
        If the body is malformed or names another item.
    """
    try:
        item = msgspec.json.decode(body, type=_TYPE_BY_KIND[kind])
    except UNREADABLE as error:
        raise InvalidItem(str(error)) from error
    if _name_of(item) != name:
        raise InvalidItem(f"the body names {_name_of(item)!r}")
    _check(item)
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


def _check(item: Item) -> None:
    if isinstance(item, Profile):
        _check_profile(item)
    elif isinstance(item, Target) and item.slots < 1:
        raise InvalidItem("slots must be at least 1")
    elif isinstance(item, ClientAccount) and not 0 < item.share < float("inf"):
        raise InvalidItem("share must be positive")


def _check_profile(profile: Profile) -> None:
    names = [stage.name for stage in profile.stages]
    if not names:
        raise InvalidItem("a profile needs a stage")
    if len(set(names)) != len(names):
        raise InvalidItem("stage names must differ")
    if profile.contract.deadline_ms < 1:
        raise InvalidItem("deadline_ms must be positive")


class ConfigurationLog:
    """Items in force, the newest changes, and changes that wait for a gap."""

    def __init__(self) -> None:
        self.revision = Revision(0)
        self.content_hash = 0
        self.items_by_key: dict[ItemKey, ItemRecord] = {}
        self._parsed_by_key: dict[ItemKey, Item] = {}
        self._recent: deque[ChangeRecord] = deque(maxlen=_MAX_RECENT_CHANGES)
        self._waiting_by_revision: dict[int, ChangeRecord] = {}

    def offer(self, changes: Iterable[ChangeRecord]) -> list[ChangeRecord]:
        """Take changes in any order; return those that are now applied, in order."""
        for change in changes:
            self._keep_waiting(change)
        applied: list[ChangeRecord] = []
        while (following := self.revision + 1) in self._waiting_by_revision:
            change = self._waiting_by_revision.pop(following)
            self._apply(change)
            applied.append(change)
        return applied

    def load(self, snapshot: Snapshot) -> bool:
        """Replace the items by those of a snapshot; return False for an older one."""
        if snapshot.revision < self.revision:
            return False
        self.items_by_key.clear()
        self._parsed_by_key.clear()
        self.content_hash = 0
        for record in snapshot.items:
            self._put(record)
        self.revision = Revision(snapshot.revision)
        self._recent.clear()
        self._drop_waiting()
        return True

    def snapshot(self) -> Snapshot:
        """Return every item in force."""
        items = tuple(self.items_by_key.values())
        return Snapshot(self.revision, self.content_hash, items)

    def changes_after(self, revision: int, limit: int) -> tuple[ChangeRecord, ...]:
        """Return consecutive changes after a revision; empty if not all are kept."""
        if not self._recent or self._recent[0].revision > revision + 1:
            return ()
        newer = [change for change in self._recent if change.revision > revision]
        return tuple(newer[:limit])

    def recent(self) -> tuple[ChangeRecord, ...]:
        """Return the newest changes, oldest first."""
        return tuple(self._recent)

    def has_gap(self) -> bool:
        """Return whether changes wait for one that is missing."""
        return bool(self._waiting_by_revision)

    def configuration(self) -> Configuration:
        """Return the items in force as one value; retired profiles are left out."""
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

    def _keep_waiting(self, change: ChangeRecord) -> None:
        known = change.revision <= self.revision
        if known or change.revision > self.revision + _MAX_WAITING_CHANGES:
            return
        self._waiting_by_revision.setdefault(change.revision, change)

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

    def _drop_waiting(self) -> None:
        for revision in list(self._waiting_by_revision):
            if revision <= self.revision:
                del self._waiting_by_revision[revision]


def _record_hash(record: ItemRecord) -> int:
    text = f"{record.kind.value}/{record.name}/{record.revision}/".encode()
    return xxhash.xxh3_64_intdigest(text + record.body)
