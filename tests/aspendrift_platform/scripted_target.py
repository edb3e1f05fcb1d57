"""Target that writes the bytes of an answer as a test gives them, then closes."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import struct
from dataclasses import dataclass

from platform_emulator import free_address, target_entry

CHUNKED = b"Transfer-Encoding: chunked"
# Bounds the memory of a caller that keeps all that it gets.
MAX_REPEATED_BYTES = 64 * 1024 * 1024


def chunks(*parts, ends=True):
    """Return a body in chunks, without the last one unless it ``ends``."""
    sent = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
    return sent + (b"0\r\n\r\n" if ends else b"")


@dataclass(frozen=True)
class Script:
    """What the target sends to one request, and how its connection ends.

    Parameters
    ----------
    framing : bytes
        Header that frames the body, empty for none.
    body : bytes
        Bytes of the body; ``{id}`` stands for the attempt's id.
    crashes : bool
        Whether the target stops to listen before it closes the connection.
    resets : bool
        Whether the connection is reset rather than closed.
    repeats : bool
        Whether the body is sent again and again until the caller closes, or until
        ``MAX_REPEATED_BYTES`` were sent; it never ends.
    repeats_head : bool
        Whether this is so for a header line instead.
    surplus : bytes
        What follows the answer on the connection, which stays open.
    content_type : bytes
        Media type of the body, empty for none.
    before : bytes
        What is sent before the answer.
    cut_head : bytes
        What is sent instead of an answer, before the connection is closed; ``{id}``
        stands for the attempt's id.
    """

    body: bytes
    framing: bytes = b""
    crashes: bool = False
    resets: bool = False
    repeats: bool = False
    repeats_head: bool = False
    status: bytes = b"200 OK"
    is_signed: bool = True
    surplus: bytes = b""
    content_type: bytes = b""
    cut_head: bytes = b""
    before: bytes = b""


class ScriptedTarget:
    """A listening socket with an entry in the store's list of targets."""

    def __init__(self, store, name, service):
        self.store = store
        self.name = name
        self.service = service
        self.address = free_address()
        self.scripts = []
        self.n_requests = 0
        self.n_connections = 0
        self._writers = []
        self.last_event_ids = []
        # Of the largest answer.
        self.n_bytes_sent = 0
        self._server = None

    async def start(self):
        host, port = self.address.split(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        value = target_entry(self.service, self.address)
        self.store.put("servers", self.name, json.dumps(value).encode())

    async def stop(self):
        self._server.close()
        for writer in self._writers:
            writer.close()
            with contextlib.suppress(ConnectionError):
                await writer.wait_closed()

    async def _serve(self, reader, writer):
        self.n_connections += 1
        self._writers.append(writer)
        try:
            while True:
                await self._exchange(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def _exchange(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = [line.partition(": ") for line in head.splitlines()[1:] if line]
        headers = {name.lower(): value for name, _, value in lines}
        await reader.readexactly(int(headers.get("content-length", "0")))
        self.last_event_ids.append(headers.get("last-event-id"))
        self.n_requests += 1
        script = self.scripts.pop(0)
        attempt_id = headers.get("attempt-id", "").encode()
        if script.cut_head:
            writer.write(script.cut_head.replace(b"{id}", attempt_id))
            await writer.drain()
            writer.close()
            raise ConnectionError("the script is over")
        writer.write(script.before)
        writer.write(b"HTTP/1.1 %s\r\nAttempt-Id: %s\r\n" % (script.status, attempt_id))
        if script.is_signed:
            writer.write(b"Response-Signature: %s.s\r\n" % self.name.encode())
        if script.framing:
            writer.write(script.framing + b"\r\n")
        if script.content_type:
            writer.write(b"Content-Type: %s\r\n" % script.content_type)
        if script.repeats_head:
            await self._repeat(reader, writer, b"X-Filler: %s\r\n" % (b"x" * 1000))
        writer.write(b"\r\n")
        body = script.body.replace(b"{id}", attempt_id)
        if script.repeats:
            await self._repeat(reader, writer, body)
        writer.write(body + script.surplus)
        await writer.drain()
        if script.crashes:
            self._server.close()
        if script.resets:
            linger = struct.pack("ii", 1, 0)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        if script.resets or script.crashes or not script.framing:
            writer.close()
            raise ConnectionError("the script is over")

    async def _repeat(self, reader, writer, part):
        """Send a part until the caller closes the connection."""
        n_sent = 0
        while n_sent < MAX_REPEATED_BYTES:
            writer.write(part)
            n_sent += len(part)
            self.n_bytes_sent = max(self.n_bytes_sent, n_sent)
            await writer.drain()
        await reader.read()
        raise ConnectionError("the caller closed the connection")


class ScriptedPool:
    """A gateway before two scripted targets of one pool."""

    def __init__(self, cluster, targets):
        self.cluster = cluster
        self.targets = targets

    def script(self, first, *others):
        """Give both targets these answers, in the order of the attempts."""
        scripts = [first, *others]
        for target in self.targets:
            target.scripts = scripts

    async def keep_one_target(self):
        """Remove the second target from the list."""
        removed = self.targets.pop()
        removed.store.remove("servers", removed.name)
        await removed.stop()
        await self.until_listed()

    async def call(self, path):
        (gateway,) = self.cluster.gateways
        return (await self.cluster.call(gateway, path))[1]

    async def until_listed(self):
        (gateway,) = self.cluster.gateways
        pool = self.targets[0].service
        await self.cluster.until(
            lambda: (
                {each.key.target_id for each in gateway.state.registry.usable(pool)}
                == {each.name for each in self.targets}
            )
        )
