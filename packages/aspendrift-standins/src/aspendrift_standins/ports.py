"""Loopback ports that fleets on one host take without getting in each other's way."""

from __future__ import annotations

import random
import socket
from typing import Final

__all__ = ["PortBlocks"]

_FIRST_PORT: Final = 10_240
_LAST_PORT: Final = 32_000
_BLOCK_SIZE: Final = 64


class PortBlocks:
    """Blocks of ports that stay with their owner until it closes them.

    The first port of a block is kept open as a sign that the block is taken, so
    that ports can be handed out long before a process binds them. The blocks lie
    below the range from which the system takes the ports of outgoing
    connections, so that a process can be restarted at its port.
    """

    def __init__(self) -> None:
        self._guards: list[socket.socket] = []
        self._free: list[int] = []
        self._draw = random.SystemRandom()

    def take(self, n_ports: int) -> list[int]:
        """Return ports that no other owner has."""
        while len(self._free) < n_ports:
            self._free += self._open_block()
        taken, self._free = self._free[:n_ports], self._free[n_ports:]
        return taken

    def close(self) -> None:
        """Give every block back."""
        for guard in self._guards:
            guard.close()
        self._guards.clear()
        self._free.clear()

    def _open_block(self) -> list[int]:
        while True:
            first = self._draw.randrange(_FIRST_PORT, _LAST_PORT, _BLOCK_SIZE)
            guard = _listen(first)
            if guard is not None:
                self._guards.append(guard)
                ports = range(first + 1, first + _BLOCK_SIZE)
                return [port for port in ports if _is_free(port)]


def _listen(port: int) -> socket.socket | None:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.bind(("127.0.0.1", port))
        sock.listen(1)
    except OSError:
        sock.close()
        return None
    return sock


def _is_free(port: int) -> bool:
    sock = _listen(port)
    if sock is None:
        return False
    sock.close()
    return True
