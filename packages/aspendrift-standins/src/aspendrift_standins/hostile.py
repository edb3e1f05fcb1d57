"""Hostile clients: slow, oversized and malformed input on raw connections."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import Final

__all__ = ["Attack", "attacks", "hold"]

_HEAD: Final = (
    "POST /v1/requests HTTP/1.1\r\nhost: d\r\nauthorization: Bearer {token}\r\n"
)
_JSON: Final = "content-type: application/json\r\n"
_BODY_BYTES: Final = 400_000
_HEADER_BYTES: Final = 1_000_000
_OVERSIZED_BYTES: Final = 50_000_000
_CHUNK: Final = b"x" * 65_536
_TRICKLE_S: Final = 0.5
_RECONNECT_S: Final = 0.05


@dataclass(frozen=True, slots=True)
class Attack:
    """One kind of client.

    Parameters
    ----------
    n_clients : int
        Clients of the kind at the same time.
    sent : callable
        Makes the pieces that each of them sends.
    reads : bool
        Whether it reads what comes back.
    """

    name: str
    n_clients: int
    sent: Callable[[], AsyncIterator[bytes]]
    reads: bool = True


def attacks(token: str, n_clients: int) -> list[Attack]:
    """Return every kind of client.

    Parameters
    ----------
    token : str
        Token of a client account, so that the request itself is admitted.
    """
    head = _HEAD.format(token=token).encode()
    half_body = head + f"{_JSON}content-length: {_BODY_BYTES}\r\n\r\n".encode()
    huge_body = head + f"{_JSON}content-length: {_OVERSIZED_BYTES}\r\n\r\n".encode()
    chunked = head + f"{_JSON}transfer-encoding: chunked\r\n\r\n".encode()
    piece = f"{len(_CHUNK):x}\r\n".encode() + _CHUNK + b"\r\n"
    n_pieces = _OVERSIZED_BYTES // len(_CHUNK)
    return [
        Attack("idle", n_clients, lambda: _then_nothing(b"")),
        Attack("slow_header", n_clients, lambda: _trickle(head)),
        Attack(
            "slow_body",
            n_clients,
            lambda: _then_nothing(half_body + b"x" * (_BODY_BYTES // 2)),
        ),
        Attack(
            "oversized_body", n_clients, lambda: _repeat(huge_body, _CHUNK, n_pieces)
        ),
        Attack(
            "oversized_chunked", n_clients, lambda: _repeat(chunked, piece, n_pieces)
        ),
        Attack("oversized_header", n_clients, lambda: _repeat(head, _long_header(), 1)),
        Attack("garbage", n_clients, lambda: _then_nothing(bytes(range(256)) * 64)),
        Attack(
            "deep_json",
            n_clients,
            lambda: _then_nothing(_with_body(head, b"[" * 200_000)),
        ),
        Attack(
            "slow_reader",
            n_clients,
            lambda: _then_nothing(_with_body(head, _STREAM_BODY)),
            reads=False,
        ),
    ]


_STREAM_BODY: Final = (
    b'{"request_id": "hostile", "profile": "stream", "input": "x", "stream": true}'
)


async def hold(attack: Attack, host: str, port: int, duration_s: float) -> int:
    """Run an attack's clients for a while; return how often they were cut off.

    A client that is cut off connects again.
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
    """Return when the daemon has ended the connection."""
    try:
        reader, writer = await asyncio.open_connection(host, port)
    except OSError:
        await asyncio.sleep(_RECONNECT_S)
        return
    sending = asyncio.create_task(_send(attack, writer))
    try:
        with contextlib.suppress(OSError):
            await _wait_end(reader, attack.reads)
    finally:
        sending.cancel()
        writer.transport.abort()


async def _send(attack: Attack, writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError):
        async for piece in attack.sent():
            writer.write(piece)
            await writer.drain()


async def _wait_end(reader: asyncio.StreamReader, reads: bool) -> None:
    if not reads:
        await asyncio.Event().wait()
    while await reader.read(65_536):
        continue


async def _then_nothing(content: bytes) -> AsyncIterator[bytes]:
    yield content


async def _trickle(content: bytes) -> AsyncIterator[bytes]:
    for i in range(len(content)):
        yield content[i : i + 1]
        await asyncio.sleep(_TRICKLE_S)


async def _repeat(head: bytes, piece: bytes, n_pieces: int) -> AsyncIterator[bytes]:
    yield head
    for _ in range(n_pieces):
        yield piece


def _long_header() -> bytes:
    return b"x-long: " + b"x" * _HEADER_BYTES


def _with_body(head: bytes, body: bytes) -> bytes:
    return head + f"{_JSON}content-length: {len(body)}\r\n\r\n".encode() + body
