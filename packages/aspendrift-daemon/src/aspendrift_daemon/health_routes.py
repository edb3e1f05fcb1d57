"""Liveness and readiness routes."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from enum import Enum
from typing import TypeAlias

import msgspec
from litestar import Response, get
from litestar.handlers import HTTPRouteHandler
from litestar.status_codes import HTTP_200_OK, HTTP_503_SERVICE_UNAVAILABLE

__all__ = ["Health", "Readiness", "UnreadyReason", "health_handlers"]


class UnreadyReason(Enum):
    """Why a daemon accepts no new work."""

    NO_CONFIGURATION = "no_configuration"
    ISOLATED = "isolated"
    LEAVING = "leaving"


Readiness: TypeAlias = Callable[[], Sequence[UnreadyReason]]


class Health(msgspec.Struct, frozen=True):
    """Body of ``/livez`` and ``/readyz``."""

    ok: bool
    reasons: tuple[UnreadyReason, ...] = ()


def health_handlers(readiness: Readiness) -> list[HTTPRouteHandler]:
    """Return the handlers of ``/livez`` and ``/readyz``.

    Parameters
    ----------
    readiness : callable
        Returns the current reasons why the daemon accepts no new work.
    """

    @get("/livez", tags=["health"])
    async def live() -> Health:
        """Answer 200 while the event loop runs."""
        return Health(ok=True)

    @get("/readyz", tags=["health"])
    async def ready() -> Response[Health]:
        """Answer 200 if the daemon accepts new work, else 503 with the reasons."""
        reasons = tuple(readiness())
        status = HTTP_503_SERVICE_UNAVAILABLE if reasons else HTTP_200_OK
        return Response(Health(not reasons, reasons), status_code=status)

    return [live, ready]
