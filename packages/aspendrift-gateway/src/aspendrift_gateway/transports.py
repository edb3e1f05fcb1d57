"""HTTP connection pools for targets and the store."""

from __future__ import annotations

import socket
import ssl
from typing import Final

import httpx

__all__ = ["plain_transport"]

# A connection with unacknowledged bytes is closed after this time, since a network cut
# gives no other sign.
_TCP_USER_TIMEOUT_MS: Final = 2_000
# One context is shared by all transports, since creating one is slow.
_TLS_CONTEXT: Final = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)


def plain_transport(
    max_connections: int, idle_timeout_s: float | None
) -> httpx.AsyncHTTPTransport:
    """Return a connection pool without retries, redirects or proxies.

    Parameters
    ----------
    idle_timeout_s : float or None
        Time after which an idle connection is not reused; None for no limit.
    """
    limits = httpx.Limits(
        max_connections=max_connections,
        max_keepalive_connections=max_connections,
        keepalive_expiry=idle_timeout_s,
    )
    return httpx.AsyncHTTPTransport(
        verify=_TLS_CONTEXT,
        trust_env=False,
        limits=limits,
        retries=0,
        socket_options=[
            (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS),
        ],
    )
