"""HTTP exchange of a stand-in, with access to its connection.

The stand-ins implement ASGI without a framework: a test runs hundreds of them,
and their handlers must be able to abort a connection, which frameworks hide.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any, TypeAlias, TypeVar
from urllib.parse import parse_qs, unquote

import msgspec
from uvicorn.protocols.http.h11_impl import H11Protocol

__all__ = ["BadBody", "Exchange", "TrackedProtocol", "transports_by_client"]

_Message: TypeAlias = MutableMapping[str, Any]
_Receive: TypeAlias = Callable[[], Awaitable[_Message]]
_Send: TypeAlias = Callable[[_Message], Awaitable[None]]
_T = TypeVar("_T")

transports_by_client: dict[tuple[str, int], asyncio.Transport] = {}


class BadBody(Exception):
    """A request body that is incomplete or can't be decoded."""


class TrackedProtocol(H11Protocol):
    """HTTP protocol that registers its transport, so that handlers can use it."""

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Register the transport under the address of its peer."""
        super().connection_made(transport)
        if self.client is not None:
            transports_by_client[self.client] = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the transport."""
        if self.client is not None:
            transports_by_client.pop(self.client, None)
        super().connection_lost(exc)


class Exchange:
    """A request, with methods to answer it or to abort its connection.

    Parameters
    ----------
    scope, receive, send
        Arguments of an ASGI application.
    """

    def __init__(self, scope: _Message, receive: _Receive, send: _Send) -> None:
        self._scope = scope
        self._receive = receive
        self._send = send
        self.method: str = scope["method"]
        self.path = tuple(unquote(part) for part in scope["path"].split("/")[1:])
        self.dropped = False

    def query(self, name: str, default: str = "") -> str:
        """Return the first value of a query parameter."""
        parsed = parse_qs(self._scope["query_string"].decode())
        return str(parsed.get(name, [default])[0])

    def number(self, name: str) -> int:
        """Return a query parameter as an integer, 0 if absent or malformed."""
        text = self.query(name, "0")
        return int(text) if text.isdecimal() else 0

    async def body(self) -> bytes:
        """Return the complete request body."""
        parts: list[bytes] = []
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                raise BadBody("disconnected")
            parts.append(message.get("body", b""))
            if not message.get("more_body", False):
                return b"".join(parts)

    async def decode(self, kind: type[_T]) -> _T:
        """Return the request body, decoded as a message of a type.

        Raises
        ------
        BadBody
            If the body is incomplete or can't be decoded as this type.
        """
        try:
            return msgspec.json.decode(await self.body(), type=kind)
        except msgspec.MsgspecError as error:
            raise BadBody(str(error)) from error

    async def reply(self, status: int, message: object = None) -> None:
        """Answer with a message as JSON."""
        content = b"" if message is None else msgspec.json.encode(message)
        await self.reply_bytes(status, content)

    async def reply_bytes(
        self, status: int, content: bytes, content_type: bytes = b"application/json"
    ) -> None:
        """Answer with a body of bytes."""
        headers = [(b"content-type", content_type)]
        if status != 204:
            headers.append((b"content-length", b"%d" % len(content)))
        await self._start(status, headers)
        await self._send({"type": "http.response.body", "body": content})

    async def start_stream(self) -> None:
        """Start an NDJSON response."""
        await self._start(200, [(b"content-type", b"application/x-ndjson")])

    async def send_lines(self, content: bytes) -> None:
        """Send complete lines of an NDJSON response."""
        message = {"type": "http.response.body", "body": content, "more_body": True}
        await self._send(message)

    async def end_stream(self) -> None:
        """End an NDJSON response."""
        await self._send({"type": "http.response.body", "body": b""})

    async def wait_disconnected(self) -> None:
        """Wait until the peer has closed the connection or the response has ended."""
        while (await self._receive())["type"] != "http.disconnect":
            pass

    def drop(self) -> None:
        """Abort the connection without sending anything more."""
        self.dropped = True
        transport = self._transport()
        if transport is not None:
            transport.abort()

    def write_unsolicited(self, content: bytes) -> None:
        """Write bytes to the connection outside any response."""
        transport = self._transport()
        if transport is not None and not transport.is_closing():
            transport.write(content)

    def _transport(self) -> asyncio.Transport | None:
        client = self._scope["client"]
        return transports_by_client.get((client[0], client[1]))

    async def _start(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        message = {"type": "http.response.start", "status": status, "headers": headers}
        await self._send(message)
