"""HTTP client for frequent small reads of targets: load, state, cache events."""

from __future__ import annotations

import ssl
from typing import Final

import httpx

from aspendrift_daemon.metered_transport import (
    BodyBounds,
    ConnectionMeter,
    MeteredTransport,
)
from aspendrift_policy.buffer_budget import BufferBudget

__all__ = ["probe_client"]

# Bytes of one answer, and of all that are read at the same time. The longest are lists
# of cached prompts.
_MAX_ANSWER_BYTES: Final = 2 * 1024 * 1024
_MAX_READ_BYTES: Final = 16 * 1024 * 1024


class _TransportByOrigin(httpx.AsyncBaseTransport):
    """Uses a separate small connection pool for each target.

    A pool shared by all targets scans all its connections for every request,
    which costs more than the request itself from a few dozen targets on.
    """

    def __init__(self, meter: ConnectionMeter) -> None:
        self._meter = meter
        self._tls = ssl.create_default_context()
        self._bounds = BodyBounds(_MAX_ANSWER_BYTES, BufferBudget(_MAX_READ_BYTES))
        self._limits = httpx.Limits(max_connections=2, max_keepalive_connections=1)
        self._transports: dict[tuple[str, str, int | None], MeteredTransport]
        self._transports = {}

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        url = request.url
        origin = (url.scheme, url.host, url.port)
        transport = self._transports.get(origin)
        if transport is None:
            transport = MeteredTransport(
                self._tls, self._limits, self._meter, bounds=self._bounds
            )
            self._transports[origin] = transport
        return await transport.handle_async_request(request)

    async def aclose(self) -> None:
        for transport in self._transports.values():
            await transport.aclose()
        self._transports.clear()


def probe_client(meter: ConnectionMeter) -> httpx.AsyncClient:
    """Return a client for reading targets; the caller must close it."""
    return httpx.AsyncClient(transport=_TransportByOrigin(meter), trust_env=False)
