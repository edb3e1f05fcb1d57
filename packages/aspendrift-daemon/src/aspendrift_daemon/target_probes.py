"""HTTP client for the many small reads of targets: load, state, cache events."""

from __future__ import annotations

import ssl

import httpx

__all__ = ["probe_client"]


class _TransportByOrigin(httpx.AsyncBaseTransport):
    """Keeps a small connection pool for each target.

    One pool for all targets looks at each of its connections for every request,
    which costs more than the request once there are a few dozen targets.
    """

    def __init__(self) -> None:
        self._tls = ssl.create_default_context()
        self._limits = httpx.Limits(max_connections=2, max_keepalive_connections=1)
        self._by_origin: dict[tuple[str, str, int | None], httpx.AsyncHTTPTransport]
        self._by_origin = {}

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        url = request.url
        origin = (url.scheme, url.host, url.port)
        transport = self._by_origin.get(origin)
        if transport is None:
            transport = httpx.AsyncHTTPTransport(verify=self._tls, limits=self._limits)
            self._by_origin[origin] = transport
        return await transport.handle_async_request(request)

    async def aclose(self) -> None:
        for transport in self._by_origin.values():
            await transport.aclose()
        self._by_origin.clear()


def probe_client() -> httpx.AsyncClient:
    """Return a client for reads of targets; whoever makes it closes it."""
    return httpx.AsyncClient(transport=_TransportByOrigin(), trust_env=False)
