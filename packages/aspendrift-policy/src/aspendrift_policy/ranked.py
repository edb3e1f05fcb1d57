"""Admission and scheduling of chains without rationing.

A chain starts if it ends before its caller times out, whether or not it is on time, and
stage jobs that have started go first, then those that can be on time.
"""

from __future__ import annotations

from aspendrift_policy.chain_admission import Admit, Chain, ChainAdmission, RefuseChain
from aspendrift_policy.stage_scheduler import StageScheduler

__all__ = ["RankedAdmission", "RankedScheduler"]


class RankedAdmission(ChainAdmission):
    """Judges chains by the timeout of their callers only."""

    is_rationed = False

    def decide_start(
        self,
        chain: Chain,
        account: int,
        objective_left_s: float,
        remaining_s: float,
        held_s: float,
        now: float,
    ) -> Admit | RefuseChain:
        """Start a chain if it ends before its caller times out."""
        return self.decide(chain, remaining_s, now)


class RankedScheduler(StageScheduler):
    """Gives up no job before its deadline, and takes no account of overdue ones."""

    is_rationed = False
