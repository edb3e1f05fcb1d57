"""Decision policies of a gateway: its own, and naive ones for comparison."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Final

from aspendrift_gateway.settings import PolicyKind
from aspendrift_model.routes import PieceLimits
from aspendrift_policy.chain_admission import ChainAdmission
from aspendrift_policy.naive import AdmitAll, OneByOneScheduler, RoundRobinChooser
from aspendrift_policy.outliers import EjectionRules
from aspendrift_policy.pool_choice import PoolChooser
from aspendrift_policy.ranked import RankedAdmission, RankedScheduler
from aspendrift_policy.stage_scheduler import StageScheduler

__all__ = ["POLICIES_BY_KIND", "Policies"]


@dataclass(frozen=True, slots=True)
class Policies:
    """Factories of the components that decide."""

    chooser: Callable[[EjectionRules, Random], PoolChooser]
    admission: Callable[[Random], ChainAdmission]
    scheduler: Callable[[PieceLimits], StageScheduler]


POLICIES_BY_KIND: Final = {
    PolicyKind.LEARNED: Policies(PoolChooser, RankedAdmission, RankedScheduler),
    PolicyKind.RATIONED: Policies(PoolChooser, ChainAdmission, StageScheduler),
    PolicyKind.NAIVE: Policies(RoundRobinChooser, AdmitAll, OneByOneScheduler),
}
