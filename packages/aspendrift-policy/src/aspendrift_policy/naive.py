"""Naive policies that the measurements of a gateway compare with.

Targets in turn, pieces first in first out and one a call, every request admitted:
what a plain forwarder with stages would do.
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
    """Takes the targets of a pool in turn, whatever their load and health."""

    _n_chosen = 0

    def choose(
        self,
        entries: Sequence[TargetEntry],
        zone: ZoneName,
        prefix: PrefixKey | None,
        excluded: Collection[TargetId],
        now: float,
        is_trial: bool = False,
    ) -> TargetEntry | None:
        """Return the next target in turn, None if there is none."""
        usable = [each for each in entries if each.key.target_id not in excluded]
        if not usable:
            return None
        chosen = usable[self._n_chosen % len(usable)]
        self._n_chosen += not is_trial
        return chosen


class AdmitAll(ChainAdmission):
    """Admits every request, and lets late ones begin."""

    def decide(self, chain: Chain, left_s: float, now: float) -> Admit:
        """Admit."""
        return Admit(0.0)

    def is_backlogged(
        self,
        pool: object,
        spec: PoolSpec | None,
        n_targets: int,
        rank: int,
        now: float,
    ) -> bool:
        """Know of no backlog."""
        return False


class OneByOneScheduler(StageScheduler):
    """Sends one piece a call, in the order in which jobs came."""

    is_first_in_first_out = True

    def set_limits(self, limits: PieceLimits) -> None:
        """Use these limits, but for the batch."""
        super().set_limits(replace(limits, batch=1))
