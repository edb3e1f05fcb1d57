"""Stand-in for a stage pool of encoders, retrievers and rerankers."""

from __future__ import annotations

from aspendrift_standins.faults import TargetFaults
from aspendrift_standins.process import command
from aspendrift_standins.target_base import PoolOptions, StageTarget

__all__ = ["StagePoolStandIn", "main"]


class StagePoolStandIn(StageTarget):
    """Stage pool; a disconnect of the caller does not cancel the work."""


main = command("stage_pool", PoolOptions, TargetFaults, StagePoolStandIn)

if __name__ == "__main__":
    main()
