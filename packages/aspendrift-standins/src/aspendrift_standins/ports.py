"""Allocation of loopback ports without conflicts between fleets on one host."""

from __future__ import annotations

import random
import socket
from typing import Final

__all__ = ["PortBlocks"]

_FIRST_PORT: Final = 10_240
_LAST_PORT: Final = 32_000
_BLOCK_SIZE: Final = 64


class PortBlocks:
    """Blocks of ports that are reserved for their owner until it closes them.

    A socket listens on the first port of a block and so marks the block as
    reserved. Ports can therefore be allocated long before a process binds them.
    The blocks lie below the ephemeral ports of the system, so that no outgoing
    connection takes the port of a process while it restarts.
    """

    def __init__(self) -> None:
        self._guards: list[socket.socket] = []
        self._free: list[int] = []
        self._rng = random.SystemRandom()

    def allocate(self, n_ports: int) -> list[int]:
        """Return ports that are reserved for no other owner."""
        while len(self._free) < n_ports:
            self._free += self._reserve_block()
        allocated, self._free = self._free[:n_ports], self._free[n_ports:]
        return allocated

    def close(self) -> None:
        """Release every block."""
        for guard in self._guards:
            guard.close()
        self._guards.clear()
        self._free.clear()

    def _reserve_block(self) -> list[int]:
        while True:
            first = self._rng.randrange(_FIRST_PORT, _LAST_PORT, _BLOCK_SIZE)
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
