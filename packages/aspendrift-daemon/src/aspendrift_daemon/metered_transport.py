"""HTTP connection pool that tells which of its connections holds the event loop."""

from __future__ import annotations

import asyncio
import ssl
import time
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, ClassVar, Final, TypeAlias

import httpcore
import httpx

from aspendrift_daemon.events import Event, EventHub

__all__ = ["LoopHeld", "MeteredTransport"]

# Requests that wait this long for the event loop are noticed by their callers.
_MIN_HELD_S: Final = 0.1

_SocketOptions: TypeAlias = Iterable[Any] | None


@dataclass(frozen=True, slots=True)
class LoopHeld(Event):
    """Bytes of one connection were processed without a turn for anything else.

    ``n_bytes`` were read at once; the event loop ran no other task for ``held_s``.
    """

    name: ClassVar[str] = "loop_held"
    address: str
    n_bytes: int
    held_s: float


class _MeteredStream(httpcore.AsyncNetworkStream):
    """A connection that measures how long its bytes are processed in one turn."""

    def __init__(
        self,
        stream: httpcore.AsyncNetworkStream,
        address: str,
        events: EventHub | None,
    ) -> None:
        self._stream = stream
        self._address = address
        self._events = events
        self._n_bytes = 0
        # Time of the last read, until the event loop has had a turn.
        self._read_at: float | None = None

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        self._report_held()
        data = await self._stream.read(max_bytes, timeout)
        self._n_bytes = len(data)
        self._read_at = time.monotonic()
        asyncio.get_running_loop().call_soon(self._turn_ended)
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        secured = await self._stream.start_tls(ssl_context, server_hostname, timeout)
        return _MeteredStream(secured, self._address, self._events)

    def get_extra_info(self, info: str) -> Any:
        return self._stream.get_extra_info(info)

    def _turn_ended(self) -> None:
        self._read_at = None

    def _report_held(self) -> None:
        """Emit an event if no turn has ended since the last read, long ago."""
        if self._read_at is None or self._events is None:
            return
        held_s = time.monotonic() - self._read_at
        if held_s >= _MIN_HELD_S:
            self._events.emit(LoopHeld(self._address, self._n_bytes, held_s))


class _MeteredBackend(httpcore.AsyncNetworkBackend):
    """Opens metered connections."""

    def __init__(self, events: EventHub | None) -> None:
        self._backend = httpcore.AnyIOBackend()
        self._events = events

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: _SocketOptions = None,
    ) -> httpcore.AsyncNetworkStream:
        stream = await self._backend.connect_tcp(
            host, port, timeout, local_address, socket_options
        )
        return _MeteredStream(stream, f"{host}:{port}", self._events)

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)


class MeteredTransport(httpx.AsyncHTTPTransport):
    """Connection pool without retries, redirects or proxies.

    Parameters
    ----------
    limits : httpx.Limits
        Numbers of connections, and the time that idle ones are kept.
    events : EventHub or None
        Receives the events of the connections.
    """

    def __init__(
        self,
        verify: ssl.SSLContext,
        limits: httpx.Limits,
        events: EventHub | None = None,
        socket_options: _SocketOptions = None,
    ) -> None:
        super().__init__(verify=verify, trust_env=False, limits=limits)
        # httpx has no option for the network backend of its pool.
        self._pool = httpcore.AsyncConnectionPool(
            ssl_context=verify,
            max_connections=limits.max_connections,
            max_keepalive_connections=limits.max_keepalive_connections,
            keepalive_expiry=limits.keepalive_expiry,
            network_backend=_MeteredBackend(events),
            socket_options=socket_options,
        )
