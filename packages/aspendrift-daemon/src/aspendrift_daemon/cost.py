"""Records the cost of attempts and of provisioned engines."""

from __future__ import annotations

from collections import Counter

from aspendrift_daemon.events import EventHub
from aspendrift_daemon.interfaces import Clock, ConfigurationSource
from aspendrift_daemon.routing_events import AttemptReleased
from aspendrift_model.ids import DaemonId, PoolName, TargetId
from aspendrift_model.states import AttemptEnd, TargetState
from aspendrift_model.wire_placement import CostBody, CostRow, PoolTime
from aspendrift_policy.cost import CostLedger, UseKey

__all__ = ["CostRecorder"]


class CostRecorder:
    """Fills the cost ledger from the events of attempts.

    Parameters
    ----------
    daemon_id : DaemonId
        This daemon.
    clock : Clock
        Clocks of the process.
    configuration : ConfigurationSource
        Source of the targets and their slots.
    events : EventHub
        Source of the events of released attempts.
    """

    def __init__(
        self,
        daemon_id: DaemonId,
        clock: Clock,
        configuration: ConfigurationSource,
        events: EventHub,
    ) -> None:
        self._daemon_id = daemon_id
        self._clock = clock
        self._configuration = configuration
        self._idle: frozenset[TargetId] = frozenset()
        self.ledger = CostLedger()
        events.connect(AttemptReleased, self._released)

    def set_idle_engines(self, target_ids: frozenset[TargetId]) -> None:
        """Set the engines that have no role and therefore no cost."""
        self._count_provisioned()
        self._idle = target_ids

    def body(self) -> CostBody:
        """Return the totals since the daemon started."""
        self._count_provisioned()
        rows = tuple(
            CostRow(
                key.stage,
                key.pool,
                key.profile,
                key.account_id,
                total.n_attempts,
                total.n_answered,
                total.held_s,
                total.busy_s,
            )
            for key, total in self.ledger.totals_by_key.items()
        )
        pools = tuple(
            PoolTime(pool, provisioned_s)
            for pool, provisioned_s in self.ledger.provisioned_s_by_pool.items()
        )
        return CostBody(self._daemon_id, rows, pools)

    def _released(self, event: AttemptReleased) -> None:
        targets = self._configuration.current().targets_by_id
        target = targets.get(event.target_id)
        key = UseKey(event.stage, event.pool, event.profile, event.account_id)
        slots = 1 if target is None else max(1, target.slots)
        answered = event.end is AttemptEnd.ANSWERED
        self.ledger.record_attempt(key, event.held_s, event.busy_s, slots, answered)

    def _count_provisioned(self) -> None:
        n_by_pool: Counter[PoolName] = Counter()
        for target in self._configuration.current().targets_by_id.values():
            is_removed = target.state is TargetState.REMOVED
            if not is_removed and target.target_id not in self._idle:
                n_by_pool[target.pool] += 1
        self.ledger.record_provisioned(n_by_pool.items(), self._clock.monotonic())
