"""Stand-in for a plain service, which counts runs by request id."""

from __future__ import annotations

from aspendrift_standins.faults import TargetFaults
from aspendrift_standins.process import command
from aspendrift_standins.target_base import PoolOptions, StageTarget

__all__ = ["ServiceStandIn", "main"]


class ServiceStandIn(StageTarget):
    """Plain service; a run counts even if its answer is lost or late."""

    def _cancel(self, attempt_id: str) -> None:
        """Ignore the cancel: a call that has started can't be undone."""


main = command("service", PoolOptions, TargetFaults, ServiceStandIn)

if __name__ == "__main__":
    main()
