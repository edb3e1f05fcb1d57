"""Hostile clients: slow, oversized and malformed input on raw connections."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import Final

__all__ = ["Attack", "attacks", "run_attack"]

_HEAD: Final = (
    "POST /v1/requests HTTP/1.1\r\nhost: d\r\nauthorization: Bearer {token}\r\n"
)
_JSON: Final = "content-type: application/json\r\n"
_BODY_BYTES: Final = 400_000
_HEADER_BYTES: Final = 1_000_000
_OVERSIZED_BYTES: Final = 50_000_000
_CHUNK: Final = b"x" * 65_536
_TRICKLE_INTERVAL_S: Final = 0.5
_RECONNECT_DELAY_S: Final = 0.05


@dataclass(frozen=True, slots=True)
class Attack:
    """One kind of hostile client.

    Parameters
    ----------
    n_clients : int
        Number of concurrent clients.
    sent : callable
        Returns the chunks that each client sends.
    reads : bool
        Whether each client reads the response.
    """

    name: str
    n_clients: int
    sent: Callable[[], AsyncIterator[bytes]]
    reads: bool = True


def attacks(token: str, n_clients: int) -> list[Attack]:
    """Return every kind of hostile client.

    Parameters
    ----------
    token : str
        Token of a client account, so that the request itself is admitted.
    """
    head = _HEAD.format(token=token).encode()
    half_body = head + f"{_JSON}content-length: {_BODY_BYTES}\r\n\r\n".encode()
    huge_body = head + f"{_JSON}content-length: {_OVERSIZED_BYTES}\r\n\r\n".encode()
    chunked = head + f"{_JSON}transfer-encoding: chunked\r\n\r\n".encode()
    chunk = f"{len(_CHUNK):x}\r\n".encode() + _CHUNK + b"\r\n"
    n_chunks = _OVERSIZED_BYTES // len(_CHUNK)
    return [
        Attack("idle", n_clients, lambda: _send_once(b"")),
        Attack("slow_header", n_clients, lambda: _trickle(head)),
        Attack(
            "slow_body",
            n_clients,
            lambda: _send_once(half_body + b"x" * (_BODY_BYTES // 2)),
        ),
        Attack(
            "oversized_body", n_clients, lambda: _repeat(huge_body, _CHUNK, n_chunks)
        ),
        Attack(
            "oversized_chunked", n_clients, lambda: _repeat(chunked, chunk, n_chunks)
        ),
        Attack(
            "oversized_header", n_clients, lambda: _repeat(head, _oversized_header(), 1)
        ),
        Attack("garbage", n_clients, lambda: _send_once(bytes(range(256)) * 64)),
        Attack(
            "deep_json",
            n_clients,
            lambda: _send_once(_with_body(head, b"[" * 200_000)),
        ),
        Attack(
            "slow_reader",
            n_clients,
            lambda: _send_once(_with_body(head, _STREAM_REQUEST_BODY)),
            reads=False,
        ),
    ]


_STREAM_REQUEST_BODY: Final = (
    b'{"request_id": "hostile", "profile": "stream", "input": "x", "stream": true}'
)


async def run_attack(attack: Attack, host: str, port: int, duration_s: float) -> int:
    """Run an attack's clients; count connections closed or refused.

    A client whose connection is closed or refused reconnects.
    """
    clients = (_client(attack, host, port, duration_s) for _ in range(attack.n_clients))
    return sum(await asyncio.gather(*clients))


async def _client(attack: Attack, host: str, port: int, duration_s: float) -> int:
    n_cut_off = 0
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(duration_s):
            while True:
                await _connect_once(attack, host, port)
                n_cut_off += 1
    return n_cut_off


async def _connect_once(attack: Attack, host: str, port: int) -> None:
    """Connect and send; return when the connection is closed or refused."""
    try:
        reader, writer = await asyncio.open_connection(host, port)
    except OSError:
        await asyncio.sleep(_RECONNECT_DELAY_S)
        return
    sending = asyncio.create_task(_send(attack, writer))
    try:
        with contextlib.suppress(OSError):
            await _wait_closed(reader, attack.reads)
    finally:
        sending.cancel()
        writer.transport.abort()


async def _send(attack: Attack, writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError):
        async for chunk in attack.sent():
            writer.write(chunk)
            await writer.drain()


async def _wait_closed(reader: asyncio.StreamReader, reads: bool) -> None:
    if not reads:
        await asyncio.Event().wait()
    while await reader.read(65_536):
        continue


async def _send_once(content: bytes) -> AsyncIterator[bytes]:
    yield content


async def _trickle(content: bytes) -> AsyncIterator[bytes]:
    for i in range(len(content)):
        yield content[i : i + 1]
        await asyncio.sleep(_TRICKLE_INTERVAL_S)


async def _repeat(head: bytes, chunk: bytes, n_chunks: int) -> AsyncIterator[bytes]:
    yield head
    for _ in range(n_chunks):
        yield chunk


def _oversized_header() -> bytes:
    return b"x-long: " + b"x" * _HEADER_BYTES


def _with_body(head: bytes, body: bytes) -> bytes:
    return head + f"{_JSON}content-length: {len(body)}\r\n\r\n".encode() + body
