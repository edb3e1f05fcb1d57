"""The pools of targets that the daemon uses, updated with the configuration."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable
from dataclasses import dataclass

from aspendrift_model.hosts import Location
from aspendrift_model.ids import PoolName, TargetId
from aspendrift_model.settings_routing import RoutingSettings
from aspendrift_model.states import TargetState
from aspendrift_model.targets import Target
from aspendrift_policy.admission import PoolCapacity
from aspendrift_policy.fairness import name_hash
from aspendrift_policy.interfaces import RouteAnswer, RouteQuery
from aspendrift_policy.queueing import PoolQueue
from aspendrift_policy.router import Candidate, TargetPool
from aspendrift_policy.subsets import choose_subset

__all__ = ["Pool", "PoolDirectory", "Ticket"]


@dataclass(slots=True)
class Ticket:
    """An attempt that waits for a slot since ``queued_at``."""

    query: RouteQuery
    answer: asyncio.Future[RouteAnswer]
    queued_at: float


class Pool:
    """A pool's targets, its queue and the timer of the queue's next expiry."""

    def __init__(self, targets: TargetPool) -> None:
        self.targets = targets
        self.queue: PoolQueue[Ticket] = PoolQueue()
        self.share = 1.0
        self.timer: asyncio.TimerHandle | None = None

    def capacity(self) -> PoolCapacity:
        """Return the capacity of the pool that this daemon may use."""
        return PoolCapacity(
            self.targets.n_open_slots, self.share, self.targets.next_probe_at()
        )


class PoolDirectory:
    """Pools by name, and the pool of each target in use.

    Parameters
    ----------
    settings : RoutingSettings
        Subset size and routing limits.
    location : Location
        Where the daemon runs.
    rng : random.Random
        Random source of the subset salt and of the jitter of the pools.
    """

    def __init__(
        self, settings: RoutingSettings, location: Location, rng: random.Random
    ) -> None:
        self._settings = settings
        self._location = location
        self._rng = rng
        self._salt = rng.getrandbits(64)
        self.pools_by_name: dict[PoolName, Pool] = {}
        self.pools_by_target: dict[TargetId, Pool] = {}
        self._target_ids_by_hash: dict[int, TargetId] = {}

    def configure(self, targets: Iterable[Target], now: float) -> None:
        """Apply the targets of a newer configuration."""
        targets_by_pool: dict[PoolName, list[Target]] = {
            name: [] for name in self.pools_by_name
        }
        for target in targets:
            if target.state is not TargetState.REMOVED:
                targets_by_pool.setdefault(target.pool, []).append(target)
        self.pools_by_target.clear()
        for name, pool_targets in targets_by_pool.items():
            self._configure_pool(name, pool_targets, now)
        self._target_ids_by_hash = {
            name_hash(target_id): target_id for target_id in self.pools_by_target
        }

    def candidate(self, target_id: TargetId) -> Candidate | None:
        """Return the state that this daemon keeps of a target in use."""
        pool = self.pools_by_target.get(target_id)
        return None if pool is None else pool.targets.candidates_by_id.get(target_id)

    def target_by_hash(self, id_hash: int) -> TargetId | None:
        """Return the target in use whose id has the given hash."""
        return self._target_ids_by_hash.get(id_hash)

    def _configure_pool(
        self, name: PoolName, targets: list[Target], now: float
    ) -> None:
        pool = self.pools_by_name.get(name)
        if pool is None:
            pool = Pool(TargetPool(self._settings, self._location, self._rng))
            self.pools_by_name[name] = pool
        size = self._settings.subset_size
        subset = choose_subset(targets, size, self._location, self._salt)
        pool.targets.configure(subset, now)
        for target in subset:
            self.pools_by_target[target.target_id] = pool
