"""HTTP connection pools for targets and the store."""

from __future__ import annotations

import socket
import ssl
from typing import Final

import httpx

from aspendrift_daemon.metered_transport import (
    BodyBounds,
    ConnectionMeter,
    MeteredTransport,
)

__all__ = ["plain_transport"]

# A connection with unacknowledged bytes is closed after this time, since a network cut
# gives no other sign.
_TCP_USER_TIMEOUT_MS: Final = 2_000
# One context is shared by all transports, since creating one is slow.
_TLS_CONTEXT: Final = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)


def plain_transport(
    max_connections: int,
    idle_timeout_s: float | None,
    meter: ConnectionMeter,
    *,
    is_reused: bool = True,
    bounds: BodyBounds | None = None,
) -> httpx.AsyncHTTPTransport:
    """Return a connection pool without retries, redirects or proxies.

    Parameters
    ----------
    idle_timeout_s : float or None
        Time after which an idle connection is not reused; None for no limit.
    is_reused : bool
        Whether connections are kept for other exchanges.
    bounds : BodyBounds or None
        Bounds on bodies that are read as a whole.
    """
    limits = httpx.Limits(
        max_connections=max_connections,
        max_keepalive_connections=max_connections if is_reused else 0,
        keepalive_expiry=idle_timeout_s,
    )
    return MeteredTransport(
        _TLS_CONTEXT,
        limits,
        meter,
        socket_options=[
            (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS),
        ],
        bounds=bounds,
    )
