"""HTTP route of the metrics."""

from __future__ import annotations

from litestar import Response, get
from litestar.handlers import HTTPRouteHandler
from prometheus_client.exposition import CONTENT_TYPE_LATEST

from aspendrift_daemon.metrics import Metrics

__all__ = ["metrics_handler"]


def metrics_handler(metrics: Metrics) -> HTTPRouteHandler:
    """Return the handler of ``/metrics``."""

    @get("/metrics", include_in_schema=False)
    async def show_metrics() -> Response[bytes]:
        return Response(metrics.exposition(), media_type=CONTENT_TYPE_LATEST)

    return show_metrics
