"""Routes that show placement and cost to operators."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from litestar import get
from litestar.handlers import HTTPRouteHandler
from litestar.types import Guard

from aspendrift_model.wire_placement import CostBody, PlacementBody

__all__ = ["placement_handlers"]


def placement_handlers(
    placement: Callable[[], PlacementBody],
    cost: Callable[[], CostBody],
    guards: Sequence[Guard] = (),
) -> list[HTTPRouteHandler]:
    """Return the handlers of ``/v1/placement`` and ``/v1/cost``.

    Parameters
    ----------
    placement, cost : callable
        Return the bodies of the answers.
    guards : sequence of Guard
        Check that the operator may read.
    """

    @get("/v1/placement", tags=["placement"], guards=list(guards))
    async def show_placement() -> PlacementBody:
        """Show the pools whose placement lease this daemon holds."""
        return placement()

    @get("/v1/cost", tags=["cost"], guards=list(guards))
    async def show_cost() -> CostBody:
        """Show the engine-seconds that this daemon counted."""
        return cost()

    return [show_placement, show_cost]
