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


class EmbeddedServer(uvicorn.Server):
    """uvicorn server without signal handlers; the process installs its own."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.is_up = asyncio.Event()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start accepting connections, then set ``is_up``."""
        await super().startup(sockets)
        self.is_up.set()

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
