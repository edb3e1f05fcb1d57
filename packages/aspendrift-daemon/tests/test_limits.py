"""Tests of the limits on slow, large and many requests, on a real server."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import h11
import pytest
import uvicorn

from aspendrift_daemon.limits import BodyLimits, ConnectionLimits, limited_protocol
from aspendrift_policy.read_limits import SharedPace

MAX_BODY = 1000
HEAD = b"POST / HTTP/1.1\r\nhost: a\r\n"
Client = Callable[[int], Awaitable[bytes]]


async def echo_all(scope: Any, receive: Any, send: Any) -> None:
    """Answer with the length of a body that comes in many messages."""
    n_bytes = 0
    while True:
        message = await receive()
        n_bytes += len(message["body"])
        if not message["more_body"]:
            break
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": str(n_bytes).encode()})


async def echo(scope: Any, receive: Any, send: Any) -> None:
    """Answer with the length of the body."""
    message = await receive()
    await send({"type": "http.response.start", "status": 200, "headers": []})
    length = str(len(message["body"])).encode()
    await send({"type": "http.response.body", "body": length})


@contextlib.asynccontextmanager
async def running_server(
    *, max_connections: int = 8, timeout_s: float = 0.2, max_buffered: int = 10_000
) -> AsyncIterator[int]:
    limits = ConnectionLimits(max_connections, header_timeout_s=timeout_s)
    app: Any = BodyLimits(echo, MAX_BODY, timeout_s, max_buffered)
    config = uvicorn.Config(
        app,
        host="127.0.0.1",
        port=0,
        lifespan="off",
        loop="asyncio",
        http=limited_protocol(limits),
        log_config=None,
        h11_max_incomplete_event_size=2048,
    )
    server = uvicorn.Server(config)
    serving = asyncio.create_task(server.serve())
    while not server.started:  # noqa: ASYNC110
        await asyncio.sleep(0.005)
    yield server.servers[0].sockets[0].getsockname()[1]
    server.should_exit = True
    await serving


async def exchange(port: int, *parts: bytes) -> bytes:
    """Send parts, keep the connection open and return the received bytes."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for part in parts:
        writer.write(part)
        await writer.drain()
    try:
        return await reader.read()
    except ConnectionResetError:
        return b""
    finally:
        writer.close()


def run(client: Client, **limits: Any) -> bytes:
    async def main() -> bytes:
        async with running_server(**limits) as port:
            return await client(port)

    return asyncio.run(main())


def test_body_within_limits_passes() -> None:
    request = HEAD + b"connection: close\r\ncontent-length: 1000\r\n\r\n"
    answer = run(lambda port: exchange(port, request, b"x" * 600, b"x" * 400))
    assert answer.startswith(b"HTTP/1.1 200")
    assert b"\r\n1000\r\n" in answer


@pytest.mark.parametrize(
    "request_bytes",
    [
        HEAD + b"content-length: 1001\r\n\r\n",
        HEAD + b"transfer-encoding: chunked\r\n\r\n3e9\r\n" + b"x" * 1001,
    ],
    ids=["declared", "chunked"],
)
def test_oversized_body_is_a_typed_refusal(request_bytes: bytes) -> None:
    answer = run(lambda port: exchange(port, request_bytes))
    assert answer.startswith(b"HTTP/1.1 413")
    assert b'"reason":"too_large"' in answer
    assert b'"ran":"no"' in answer


def test_slow_body_is_a_typed_refusal() -> None:
    request = HEAD + b"content-length: 10\r\n\r\nxx"
    assert b'"ran":"no"' in run(lambda port: exchange(port, request))


@pytest.mark.parametrize(
    "sent", [b"", b"POST / HT", HEAD], ids=["none", "line", "head"]
)
def test_slow_header_is_cut_off(sent: bytes) -> None:
    assert run(lambda port: exchange(port, sent)) == b""


def test_oversized_header_is_refused() -> None:
    request = HEAD + b"a: " + b"x" * 4096
    assert run(lambda port: exchange(port, request)).startswith(b"HTTP/1.1 400")


def test_connection_over_the_limit_is_closed() -> None:
    async def open_three(port: int) -> bytes:
        held = [await asyncio.open_connection("127.0.0.1", port) for _ in range(2)]
        extra = await exchange(port, HEAD + b"content-length: 0\r\n\r\n")
        for _, writer in held:
            writer.close()
        return extra

    assert run(open_three, max_connections=2, timeout_s=30.0) == b""


def test_small_writes_are_sent_at_once() -> None:
    nodelay_options: list[int] = []

    class RecordingProtocol(limited_protocol(ConnectionLimits(8, 1.0))):  # type: ignore[misc]
        def connection_made(self, transport: asyncio.Transport) -> None:
            super().connection_made(transport)
            sock = transport.get_extra_info("socket")
            nodelay_options.append(
                sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            )

    async def main() -> None:
        config = uvicorn.Config(
            echo, loop="asyncio", http=RecordingProtocol, log_config=None
        )
        config.load()
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.bind(("127.0.0.1", 0))
        state = uvicorn.server.ServerState()
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: RecordingProtocol(config=config, server_state=state, app_state={}),
            sock=sock,
        )
        async with server:
            await exchange(sock.getsockname()[1], HEAD + b"connection: close\r\n\r\n")

    asyncio.run(main())
    assert nodelay_options == [1]


def test_unfinished_bodies_share_one_bound() -> None:
    async def send_unfinished(port: int) -> bytes:
        unfinished = HEAD + b"content-length: 900\r\n\r\n" + b"x" * 800
        answers = await asyncio.gather(*(exchange(port, unfinished) for _ in range(3)))
        return b"\n".join(answers)

    assert b'"reason":"overloaded"' in run(send_unfinished, max_buffered=2000)


BYTE_CHUNK = b"1\r\n.\r\n"
# Framing of a chunk is two lines, and 128 lines are parsed in one turn.
MAX_CHUNKS_PER_TURN = 65


class TurnCounter:
    """Counts the bytes that a protocol parses in each turn of the event loop."""

    def __init__(self) -> None:
        self.n_turns = 0
        self.n_by_turn: collections.Counter[int] = collections.Counter()

    async def count(self) -> None:
        while True:
            self.n_turns += 1
            await asyncio.sleep(0)

    def counted(self, event: Any) -> Any:
        if isinstance(event, h11.Data):
            self.n_by_turn[self.n_turns] += 1
        return event


def test_request_body_in_chunks_of_one_byte_does_not_hold_the_event_loop(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a server that stands still while it parses a request."""
    turns = TurnCounter()
    next_event = h11.Connection.next_event
    monkeypatch.setattr(
        h11.Connection, "next_event", lambda conn: turns.counted(next_event(conn))
    )

    async def send(port: int) -> bytes:
        counting = asyncio.create_task(turns.count())
        request = HEAD + b"connection: close\r\ntransfer-encoding: chunked\r\n\r\n"
        body = BYTE_CHUNK * 1000 + b"0\r\n\r\n"
        answer = await exchange(port, request + body)
        counting.cancel()
        return answer

    assert b"\r\n1000\r\n" in run(send, timeout_s=30.0)
    assert max(turns.n_by_turn.values()) <= MAX_CHUNKS_PER_TURN


def test_body_of_many_short_lines_is_received_whole() -> None:
    request = HEAD + b"connection: close\r\ncontent-length: 1000\r\n\r\n"
    answer = run(lambda port: exchange(port, request, b"\n" * 1000), timeout_s=30.0)
    assert b"\r\n1000\r\n" in answer


def test_requests_sent_at_once_on_one_connection_are_all_answered() -> None:
    """Guards against bytes that wait for a turn and are never parsed."""
    request = HEAD + b"content-length: 300\r\n\r\n" + b"\n" * 300
    last = HEAD + b"connection: close\r\ncontent-length: 0\r\n\r\n"
    answer = run(lambda port: exchange(port, request * 20 + last), timeout_s=30.0)
    assert answer.count(b"HTTP/1.1 200") == 21


def test_clients_that_send_very_many_chunks_share_one_rate() -> None:
    """Guards against a client that takes the processor with chunks of one byte."""
    delays: list[float] = []

    class CountingPace(SharedPace):
        def delay_s(self, n_chunks: int, now: float) -> float:
            delays.append(super().delay_s(n_chunks, now))
            return 0.0

    async def main() -> None:
        protocol = limited_protocol(ConnectionLimits(8, 30.0))
        protocol.pace = CountingPace()  # type: ignore[attr-defined]
        config = uvicorn.Config(echo_all, loop="asyncio", http=protocol)
        config.load()
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.bind(("127.0.0.1", 0))
        state = uvicorn.server.ServerState()
        server = await asyncio.get_running_loop().create_server(
            lambda: protocol(config=config, server_state=state, app_state={}),  # type: ignore[call-arg]
            sock=sock,
        )
        async with server:
            request = HEAD + b"transfer-encoding: chunked\r\nconnection: close\r\n\r\n"
            body = BYTE_CHUNK * 20_000 + b"0\r\n\r\n"
            answer = await exchange(sock.getsockname()[1], request + body)
            assert b"\r\n20000\r\n" in answer

    asyncio.run(main())
    assert delays
    assert delays[-1] > delays[0]
