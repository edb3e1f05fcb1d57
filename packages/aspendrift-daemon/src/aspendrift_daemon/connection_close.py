"""Closes the connection of a caller after its next response while leaving."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from litestar.types import ASGIApp, Message, Receive, Scope, Send

__all__ = ["CloseWhenLeaving"]

_CLOSE: Final = (b"connection", b"close")


class CloseWhenLeaving:
    """ASGI middleware that closes connections after a response while leaving.

    If an idle connection were closed at the end of the shutdown, its caller could
    be sending the next request and would not know whether it ran.

    Parameters
    ----------
    app : ASGIApp
        The wrapped application.
    is_leaving : callable
        Returns whether the daemon is leaving.
    """

    def __init__(self, app: ASGIApp, is_leaving: Callable[[], bool]) -> None:
        self._app = app
        self._is_leaving = is_leaving

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        if not self._is_leaving():
            await self._app(scope, receive, send)
            return

        async def send_and_close(message: Message) -> None:
            if message["type"] == "http.response.start":
                headers = [*message.get("headers", ()), _CLOSE]
                message = {**message, "headers": headers}
            await send(message)

        await self._app(scope, receive, send_and_close)
