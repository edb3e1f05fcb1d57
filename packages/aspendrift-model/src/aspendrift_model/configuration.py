"""The configuration as an immutable snapshot, and the keys of its items."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from aspendrift_model.accounts import ClientAccount
from aspendrift_model.ids import AccountId, ItemKey, ProfileName, Revision, TargetId
from aspendrift_model.profiles import Profile
from aspendrift_model.states import ItemKind
from aspendrift_model.targets import Target

__all__ = ["Configuration", "item_key"]


def item_key(kind: ItemKind, name: str) -> ItemKey:
    """Return the key of a configuration item, such as ``profile/briefing``."""
    return ItemKey(f"{kind.value}/{name}")


@dataclass(frozen=True, slots=True)
class Configuration:
    """Snapshot of all configuration items in force at one revision."""

    revision: Revision = Revision(0)
    profiles_by_name: Mapping[ProfileName, Profile] = field(default_factory=dict)
    targets_by_id: Mapping[TargetId, Target] = field(default_factory=dict)
    accounts_by_id: Mapping[AccountId, ClientAccount] = field(default_factory=dict)
