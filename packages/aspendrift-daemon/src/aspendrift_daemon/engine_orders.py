"""Reads the state of engines and sends them orders over HTTP."""

from __future__ import annotations

import httpx
import msgspec

from aspendrift_daemon.placement_events import OrderResult
from aspendrift_model.decode_errors import DECODE_ERRORS
from aspendrift_model.targets import Target
from aspendrift_model.wire_target import EngineState, Order

__all__ = ["EngineLink"]

_JSON = {"content-type": "application/json"}
_NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


class EngineLink:
    """HTTP adapter for an engine's state and orders.

    Parameters
    ----------
    client : httpx.AsyncClient
        Client without a base URL.
    """

    def __init__(self, client: httpx.AsyncClient) -> None:
        self._client = client

    async def state(self, target: Target, timeout_s: float) -> EngineState | None:
        """Return the state of an engine, or None without a valid answer."""
        try:
            response = await self._client.get(
                f"{target.url}/v1/state", timeout=timeout_s
            )
            return msgspec.json.decode(response.content, type=EngineState)
        except (httpx.HTTPError, *DECODE_ERRORS):
            return None

    async def order(
        self, target: Target, order: Order, timeout_s: float
    ) -> OrderResult:
        """Send an order and return its result."""
        try:
            response = await self._client.post(
                f"{target.url}/v1/orders",
                content=msgspec.json.encode(order),
                headers=_JSON,
                timeout=timeout_s,
            )
        except _NOT_SENT:
            return OrderResult.NOT_SENT
        except httpx.HTTPError:
            return OrderResult.UNKNOWN
        if response.status_code == 409:
            return OrderResult.FENCED
        if response.status_code != 200:
            return OrderResult.UNKNOWN
        return OrderResult.ACCEPTED

    async def close(self) -> None:
        """Close the connections."""
        await self._client.aclose()
