"""HTTP clients of the platform's services, created from the settings."""

from __future__ import annotations

import ssl
from collections.abc import Generator
from pathlib import Path
from typing import Final

import httpx

from aspendrift_daemon.interfaces import MembershipList
from aspendrift_daemon.metered_transport import (
    BodyBounds,
    ConnectionMeter,
    MeteredTransport,
)
from aspendrift_daemon.platform_http import HttpMembershipList
from aspendrift_model.settings_platform import PlatformSettings
from aspendrift_policy.buffer_budget import BufferBudget

__all__ = ["list_client", "membership_list", "platform_client"]

# Bytes of one answer, and of all that a client reads at the same time: pages of the
# table have a few hundred rows.
_MAX_ANSWER_BYTES: Final = 8 * 1024 * 1024
_MAX_READ_BYTES: Final = 32 * 1024 * 1024
_LIMITS: Final = httpx.Limits(max_connections=100, max_keepalive_connections=20)


class _FileToken(httpx.Auth):
    """Bearer token that is read from its file for each request.

    The file may be replaced at any time, so no copy is kept.
    """

    def __init__(self, path: Path) -> None:
        self._path = path

    def auth_flow(
        self, request: httpx.Request
    ) -> Generator[httpx.Request, httpx.Response, None]:
        """Add the token that is currently in the file."""
        token = self._path.read_text(encoding="utf-8").strip()
        request.headers["authorization"] = f"Bearer {token}"
        yield request


def platform_client(
    settings: PlatformSettings, base_url: str, meter: ConnectionMeter
) -> httpx.AsyncClient:
    """Return a client for one of the platform's services."""
    if settings.ca_file:
        verify = ssl.create_default_context(cafile=settings.ca_file)
    else:
        verify = httpx.create_ssl_context(trust_env=False)
    auth = _FileToken(Path(settings.token_file)) if settings.token_file else None
    bounds = BodyBounds(_MAX_ANSWER_BYTES, BufferBudget(_MAX_READ_BYTES))
    return httpx.AsyncClient(
        base_url=base_url,
        timeout=settings.timeout_s,
        transport=MeteredTransport(verify, _LIMITS, meter, bounds=bounds),
        auth=auth,
        trust_env=False,
    )


def list_client(
    settings: PlatformSettings, meter: ConnectionMeter
) -> httpx.AsyncClient | None:
    """Return a client for the membership list, or None without one."""
    if not settings.membership_url:
        return None
    return platform_client(settings, settings.membership_url, meter)


def membership_list(client: httpx.AsyncClient | None) -> MembershipList | None:
    """Return the platform's membership list, or None without a client."""
    return None if client is None else HttpMembershipList(client)
