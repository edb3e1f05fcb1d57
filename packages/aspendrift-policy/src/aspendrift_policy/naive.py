"""Naive baseline policies for measurements of the gateway.

Targets are chosen round-robin, pieces are sent in FIFO order and one per call, and
every request is admitted, as in a plain proxy that supports stages.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import replace

from aspendrift_model.ids import PrefixKey, TargetId, ZoneName
from aspendrift_model.routes import PieceLimits, PoolSpec
from aspendrift_model.target_entries import TargetEntry
from aspendrift_policy.chain_admission import Admit, Chain, ChainAdmission
from aspendrift_policy.pool_choice import PoolChooser
from aspendrift_policy.stage_scheduler import StageScheduler

__all__ = ["AdmitAll", "OneByOneScheduler", "RoundRobinChooser"]


class RoundRobinChooser(PoolChooser):
    """Chooses the targets of a pool round-robin, regardless of load and health."""

    _n_chosen = 0

    def choose(
        self,
        entries: Sequence[TargetEntry],
        zone: ZoneName,
        prefix: PrefixKey | None,
        excluded: Collection[TargetId],
        now: float,
        is_dry_run: bool = False,
    ) -> TargetEntry | None:
        """Return the next target, or None if there is none."""
        usable = [each for each in entries if each.key.target_id not in excluded]
        if not usable:
            return None
        chosen = usable[self._n_chosen % len(usable)]
        self._n_chosen += not is_dry_run
        return chosen


class AdmitAll(ChainAdmission):
    """Admits every request, and lets overdue ones start."""

    def decide(self, chain: Chain, remaining_s: float, now: float) -> Admit:
        """Admit the request."""
        return Admit(0.0)

    def decide_start(
        self,
        chain: Chain,
        account: int,
        objective_left_s: float,
        remaining_s: float,
        held_s: float,
        now: float,
    ) -> Admit:
        """Admit the request."""
        return Admit(0.0)

    def is_backlogged(
        self,
        pool: object,
        spec: PoolSpec | None,
        n_targets: int,
        rank: int,
        now: float,
    ) -> bool:
        """Return False: the backlog is ignored."""
        return False


class OneByOneScheduler(StageScheduler):
    """Sends one piece per call, in the order in which jobs were submitted."""

    is_fifo = True

    def set_limits(self, limits: PieceLimits) -> None:
        """Set the limits, with a batch size of one."""
        super().set_limits(replace(limits, batch=1))
