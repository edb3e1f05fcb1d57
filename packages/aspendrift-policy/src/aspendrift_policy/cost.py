"""Cost accounting in engine-seconds, by stage, pool, profile and account."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from aspendrift_model.ids import AccountId, PoolName, ProfileName, StageName

__all__ = ["CostLedger", "CostTotal", "UseKey"]

_MAX_KEYS: Final = 8192
_OTHER_ACCOUNTS: Final = AccountId("*")


@dataclass(frozen=True, slots=True)
class UseKey:
    """Key of a cost total; account ``*`` sums the accounts beyond the key limit."""

    stage: StageName
    pool: PoolName
    profile: ProfileName
    account_id: AccountId


@dataclass(slots=True)
class CostTotal:
    """Engine-seconds for which attempts held a slot, and were being processed."""

    n_attempts: int = 0
    n_answered: int = 0
    held_s: float = 0.0
    busy_s: float = 0.0

    def add(self, other: CostTotal) -> None:
        """Add another total."""
        self.n_attempts += other.n_attempts
        self.n_answered += other.n_answered
        self.held_s += other.held_s
        self.busy_s += other.busy_s


class CostLedger:
    """Cost totals since the daemon started, for a bounded number of keys.

    An attempt that holds one of ``n`` slots for a second costs 1/n
    engine-seconds, so the costs of a fully used engine add up to its running
    time. The cost of a pool, whether used or not, is its provisioned time.
    """

    def __init__(self) -> None:
        self.totals_by_key: dict[UseKey, CostTotal] = {}
        self.provisioned_s_by_pool: dict[PoolName, float] = {}
        self._counted_at: float | None = None

    def record_attempt(
        self, key: UseKey, held_s: float, busy_s: float, slots: int, answered: bool
    ) -> None:
        """Record an attempt; times are in slot-seconds."""
        if key not in self.totals_by_key and len(self.totals_by_key) >= _MAX_KEYS:
            key = UseKey(key.stage, key.pool, key.profile, _OTHER_ACCOUNTS)
        total = self.totals_by_key.setdefault(key, CostTotal())
        total.add(CostTotal(1, int(answered), held_s / slots, busy_s / slots))

    def record_provisioned(
        self, pools: Iterable[tuple[PoolName, int]], now: float
    ) -> None:
        """Add the provisioned time of the engines of pools since the last call."""
        if self._counted_at is not None:
            elapsed_s = max(0.0, now - self._counted_at)
            for pool, n_engines in pools:
                held_s = self.provisioned_s_by_pool.get(pool, 0.0)
                self.provisioned_s_by_pool[pool] = held_s + n_engines * elapsed_s
        self._counted_at = now
