"""Tests of the HTTP client for reading targets."""

from __future__ import annotations

import asyncio

import httpx
import pytest

from aspendrift_daemon.metered_transport import ConnectionMeter
from aspendrift_daemon.target_probes import probe_client


async def _answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while await reader.readuntil(b"\r\n\r\n"):
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
    except asyncio.IncompleteReadError:
        writer.close()
        await writer.wait_closed()


def test_targets_have_connections_of_their_own() -> None:
    async def run() -> None:
        servers = [await asyncio.start_server(_answer, "127.0.0.1", 0) for _ in "ab"]
        async with probe_client(ConnectionMeter()) as client:
            for server in servers * 2:
                port = server.sockets[0].getsockname()[1]
                response = await client.get(f"http://127.0.0.1:{port}/v1/load")
                assert response.text == "ok"
        for server in servers:
            server.close()
            await server.wait_closed()

    asyncio.run(run())


def test_refused_connection_is_an_http_error() -> None:
    async def run() -> None:
        async with probe_client(ConnectionMeter()) as client:
            with pytest.raises(httpx.ConnectError):
                await client.get("http://127.0.0.1:1/v1/load")

    asyncio.run(run())
