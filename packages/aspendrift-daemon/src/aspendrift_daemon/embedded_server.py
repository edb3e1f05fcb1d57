"""uvicorn server for a process that manages signals and sockets itself."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from typing import Final

import uvicorn

__all__ = ["EmbeddedServer", "listen"]

_BACKLOG: Final = 2048
_CLOSE_POLL_S: Final = 0.02
# Share of the time to close that is left for the answers of requests that are ended.
_ENDING_SHARE: Final = 0.25


class EmbeddedServer(uvicorn.Server):
    """uvicorn server without signal handlers; the process installs its own.

    Parameters
    ----------
    close_s : float
        Time from :meth:`begin_exit` in which the server closes.
    """

    def __init__(self, config: uvicorn.Config, close_s: float) -> None:
        super().__init__(config)
        self.is_up = asyncio.Event()
        self._close_s = close_s
        self._began_at = 0.0

    def begin_exit(self, close_s: float | None = None) -> None:
        """Begin to close, within ``close_s`` if it is given."""
        if close_s is not None:
            self._close_s = close_s
        self._began_at = asyncio.get_running_loop().time()
        self.should_exit = True

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start accepting connections, then set ``is_up``."""
        await super().startup(sockets)
        self.is_up.set()

    async def shutdown(self, sockets: list[socket.socket] | None = None) -> None:
        """Close idle connections at once, the others after their answers or in time.

        Unlike uvicorn's own, this takes no longer than it may, and requests that are
        ended have time to answer.
        """
        for server in self.servers:
            server.close()
        for sock in sockets or ():
            sock.close()
        state = self.server_state
        for connection in list(state.connections):
            connection.shutdown()
        close_at = self._began_at + self._close_s
        await self._wait_for_end(close_at - self._close_s * _ENDING_SHARE)
        for task in list(state.tasks):
            task.cancel()
        await self._wait_for_end(close_at)

    async def _wait_for_end(self, until: float) -> None:
        """Wait until no connection is open and no request is served, or for a time."""
        loop = asyncio.get_running_loop()
        state = self.server_state
        # uvicorn has no event for the end of its last connection.
        while (state.connections or state.tasks) and loop.time() < until:  # noqa: ASYNC110
            await asyncio.sleep(_CLOSE_POLL_S)

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


def listen(host: str, port: int) -> socket.socket:
    """Return a listening socket; port 0 selects a free port."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(_BACKLOG)
    sock.setblocking(False)
    return sock
