"""Tests of the bounds on what reading one connection takes of the processor."""

from __future__ import annotations

import asyncio
import contextlib
import gzip
import ssl
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import httpx
import pytest

from aspendrift_daemon.clock import SystemClock
from aspendrift_daemon.events import Event, EventHub
from aspendrift_daemon.interfaces import StoreUnavailable
from aspendrift_daemon.metered_transport import (
    BodyFragmented,
    BodyTooLarge,
    ConnectionMeter,
    FragmentedBody,
    HeadTooLong,
    LongHead,
    MeteredTransport,
)
from aspendrift_daemon.platform_clients import platform_client
from aspendrift_daemon.platform_http import HttpTableService
from aspendrift_daemon.target_probes import probe_client
from aspendrift_daemon.targets import Broken, TargetClient
from aspendrift_model.ids import PoolName, RegionName, TargetId, ZoneName
from aspendrift_model.settings_platform import PlatformSettings
from aspendrift_model.settings_requests import RequestSettings
from aspendrift_model.states import StageKind, TargetKind
from aspendrift_model.targets import Target
from aspendrift_model.wire_target import StageCall

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
BYTE_CHUNK = b"1\r\n.\r\n"
LAST_CHUNK = b"0\r\n\r\n"
# Chunks that fit into one read of the socket several times over.
MANY = 20_000
# Framing of a chunk is two lines, and 128 lines are parsed in one turn.
MAX_CHUNKS_PER_TURN = 65

MAX_REPEATED_BYTES = 2 * 1024 * 1024
# More than any client may keep.
ENDLESS_BYTES = 64 * 1024 * 1024

Serve = Callable[[asyncio.StreamWriter], Awaitable[None]]


@dataclass
class World:
    """A client of a server that sends scripted bytes."""

    client: httpx.AsyncClient
    url: str
    meter: ConnectionMeter
    events: list[Event] = field(default_factory=list)
    n_turns: int = 0

    async def count_turns(self) -> None:
        """Count the turns of the event loop."""
        while True:
            self.n_turns += 1
            await asyncio.sleep(0)


def sends(content: bytes, *, repeats: bool = False) -> Serve:
    async def serve(writer: asyncio.StreamWriter) -> None:
        n_sent = 0
        while n_sent < (MAX_REPEATED_BYTES if repeats else 1):
            writer.write(content)
            n_sent += len(content)
            await writer.drain()
        if repeats:
            raise ConnectionError("bytes without end have an end in tests")

    return serve


def run(serve: Serve, scenario: Callable[[World], Awaitable[None]]) -> None:
    asyncio.run(_run(serve, scenario))


class Server:
    """Answers each request with scripted bytes."""

    def __init__(self, serve: Serve) -> None:
        self._serve = serve
        self._tasks: set[asyncio.Task[None]] = set()

    async def exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                await self._serve(writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.transport.abort()
            with contextlib.suppress(ConnectionError):
                await writer.wait_closed()

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


async def _run(serve: Serve, scenario: Callable[[World], Awaitable[None]]) -> None:
    target = Server(serve)
    server = await asyncio.start_server(target.exchange, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    hub = EventHub()
    meter = ConnectionMeter(hub)
    tls = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    transport = MeteredTransport(tls, httpx.Limits(), meter)
    async with httpx.AsyncClient(transport=transport, timeout=30) as client:
        world = World(client, f"http://127.0.0.1:{port}/", meter)
        hub.connect_all(world.events.append)
        ticking = asyncio.create_task(world.count_turns())
        await scenario(world)
        ticking.cancel()
    server.close()
    await target.close()


async def most_chunks_per_turn(world: World) -> int:
    """Read a body; return the most chunks that arrived without a turn between."""
    by_turn: dict[int, int] = {}
    with contextlib.suppress(FragmentedBody):
        async with world.client.stream("GET", world.url) as response:
            async for _ in response.stream:  # type: ignore[union-attr]
                by_turn[world.n_turns] = by_turn.get(world.n_turns, 0) + 1
    return max(by_turn.values())


def test_chunks_of_one_byte_do_not_hold_the_event_loop() -> None:
    """Guards against a process that stands still while it parses what it has read."""

    async def scenario(world: World) -> None:
        assert await most_chunks_per_turn(world) <= MAX_CHUNKS_PER_TURN

    run(sends(CHUNKED + BYTE_CHUNK * MANY + LAST_CHUNK), scenario)


@pytest.mark.parametrize("is_whole", [True, False], ids=["whole", "streamed"])
def test_body_in_chunks_of_one_byte_without_end_is_broken_off(is_whole: bool) -> None:
    """Guards against a target that takes the processor until a deadline."""

    async def scenario(world: World) -> None:
        with pytest.raises(httpx.RemoteProtocolError):
            if is_whole:
                await world.client.get(world.url)
            else:
                await most_chunks_per_turn(world)
                raise httpx.RemoteProtocolError("broken off")
        (ended,) = [each for each in world.events if isinstance(each, BodyFragmented)]
        assert ended.n_bytes < ended.n_chunks * 4

    async def serve(writer: asyncio.StreamWriter) -> None:
        writer.write(CHUNKED)
        await sends(BYTE_CHUNK * 1000, repeats=True)(writer)

    run(serve, scenario)


def test_interim_heads_without_end_are_broken_off() -> None:
    """Guards against heads that are read without a turn, and without a bound."""

    async def scenario(world: World) -> None:
        with pytest.raises(LongHead):
            await world.client.get(world.url)
        assert [type(each) for each in world.events] == [HeadTooLong]

    run(sends(b"HTTP/1.1 100 Continue\r\n\r\n" * 1000, repeats=True), scenario)


def turns_of_a_call(content: bytes) -> int:
    """Return the turns of the event loop until an answer was read."""
    found: list[int] = []

    async def scenario(world: World) -> None:
        before = world.n_turns
        response = await world.client.get(world.url)
        assert response.content == b"ok"
        found.append(world.n_turns - before)

    run(sends(content), scenario)
    return found[0]


def test_interim_heads_do_not_hold_the_event_loop() -> None:
    """Guards against a process that stands still while it parses interim heads."""
    answer = HEAD + b"Content-Length: 2\r\n\r\nok"
    # 960 lines, of which 128 are parsed in one turn.
    interim = b"HTTP/1.1 100 Continue\r\n\r\n" * 480
    assert turns_of_a_call(interim + answer) - turns_of_a_call(answer) >= 7


@pytest.mark.parametrize(
    "data", [b"data: x\n\n", b"\n\n\n\n", b"x" * 100_000], ids=["event", "lines", "big"]
)
def test_sound_bodies_in_many_chunks_are_complete(data: bytes) -> None:
    """Guards against bounds that break answers of a few bytes a chunk."""
    n_chunks = 2_000 if len(data) < 100 else 100
    chunk = b"%x\r\n%s\r\n" % (len(data), data)

    async def scenario(world: World) -> None:
        for _ in range(2):
            response = await world.client.get(world.url)
            assert response.content == data * n_chunks
        assert world.events == []

    run(sends(CHUNKED + chunk * n_chunks + LAST_CHUNK), scenario)


def test_body_of_short_lines_with_a_length_is_complete() -> None:
    """Guards against lines of a sound body that count as framing."""
    body = b"1\n" * 100_000

    async def scenario(world: World) -> None:
        response = await world.client.get(world.url)
        assert response.content == body

    head = HEAD + b"Content-Length: %d\r\n\r\n" % len(body)
    run(sends(head + body), scenario)


def test_surplus_answer_that_is_not_parsed_yet_ends_the_connection() -> None:
    """Guards against a surplus answer that is read as the answer to the next call."""
    # The head has three lines, so that the first turn ends with the body.
    body = b"\n" * 125
    answer = HEAD + b"Content-Length: 125\r\n\r\n" + body
    surplus = HEAD + b"Content-Length: 5\r\n\r\nother"

    async def scenario(world: World) -> None:
        for _ in range(3):
            response = await world.client.get(world.url)
            assert response.content == body

    run(sends(answer + surplus), scenario)


async def exchange(transport: MeteredTransport, url: str) -> None:
    response = await transport.handle_async_request(httpx.Request("GET", url))
    try:
        assert await response.aread() == b"ok"
    finally:
        await response.aclose()


@pytest.mark.parametrize("closes", [True, False], ids=["new", "kept"])
@pytest.mark.parametrize("n_ahead", [0, 1])
def test_cancelled_call_takes_no_place_of_the_connection_pool(
    closes: bool, n_ahead: int
) -> None:
    """Guards against a client whose calls all time out after some cancellations."""
    header = b"Connection: close\r\n" if closes else b""
    answer = HEAD + header + b"Content-Length: 2\r\n\r\nok"

    async def scenario(world: World) -> None:
        tls = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        limits = httpx.Limits(max_connections=1)
        transport = MeteredTransport(tls, limits, world.meter)
        for n_turns in range(60):
            ahead = [
                asyncio.create_task(exchange(transport, world.url))
                for _ in range(n_ahead)
            ]
            call = asyncio.create_task(exchange(transport, world.url))
            for _ in range(n_turns):
                await asyncio.sleep(0)
            call.cancel()
            await asyncio.gather(call, *ahead, return_exceptions=True)
            async with asyncio.timeout(5):
                await exchange(transport, world.url)
        await transport.aclose()

    run(sends(answer), scenario)


async def read_load(world: World) -> None:
    async with probe_client(world.meter) as client:
        with pytest.raises(httpx.RemoteProtocolError):
            await client.get(world.url, timeout=30)


async def read_rows(world: World) -> None:
    settings = PlatformSettings(table_url=world.url, timeout_s=30.0)
    async with platform_client(settings, world.url, world.meter) as client:
        found = await HttpTableService(client).read(["a"])
        assert isinstance(found, StoreUnavailable)


def target_of(world: World) -> Target:
    return Target(
        TargetId("t"),
        PoolName("p"),
        TargetKind.SERVICE,
        world.url,
        ZoneName("z"),
        RegionName("r"),
    )


async def run_stage(world: World) -> None:
    client = TargetClient(RequestSettings(), SystemClock(), meter=world.meter)
    call = StageCall("r1", "a.1", "s", StageKind.CALL, "in", 1000)
    found = await client.call(target_of(world), call, 30.0)
    assert isinstance(found, Broken)
    await client.close()


async def generate(world: World) -> None:
    client = TargetClient(RequestSettings(), SystemClock(), meter=world.meter)
    call = StageCall("r1", "a.1", "s", StageKind.CALL, "in", 1000)
    found = [item async for item in client.generate(target_of(world), call, 30.0)]
    assert [type(each) for each in found] == [Broken]
    await client.close()


@pytest.mark.parametrize("call", [read_load, read_rows, run_stage, generate])
@pytest.mark.parametrize(
    "head",
    [HEAD + b"\r\n", HEAD + b"Content-Length: 99999999999\r\n\r\n"],
    ids=["unframed", "length"],
)
def test_clients_of_a_daemon_keep_no_body_without_end(
    call: Callable[[World], Awaitable[None]], head: bytes
) -> None:
    """Guards against a daemon that runs out of memory over one answer."""
    n_sent = 0

    async def serve(writer: asyncio.StreamWriter) -> None:
        nonlocal n_sent
        writer.write(head)
        while n_sent < ENDLESS_BYTES:
            writer.write(b"x" * 100_000)
            n_sent += 100_000
            await writer.drain()
        raise ConnectionError("bytes without end have an end in tests")

    run(serve, call)
    assert n_sent < ENDLESS_BYTES


@pytest.mark.parametrize("call", [read_load, read_rows, run_stage])
def test_clients_of_a_daemon_decode_no_compressed_body(
    call: Callable[[World], Awaitable[None]],
) -> None:
    """Guards against a small body that takes the memory of a large one."""
    content = gzip.compress(b" " * 20_000_000)
    head = HEAD + b"Content-Encoding: gzip\r\nContent-Length: %d\r\n\r\n"

    async def scenario(world: World) -> None:
        await call(world)
        assert BodyTooLarge in [type(each) for each in world.events]

    run(sends(head % len(content) + content), scenario)


@pytest.mark.parametrize("call", [read_load, read_rows, run_stage])
def test_clients_of_a_daemon_break_off_a_body_without_end(
    call: Callable[[World], Awaitable[None]],
) -> None:
    """Guards against load reports, the table and stages that take the processor."""

    async def scenario(world: World) -> None:
        await call(world)
        assert BodyFragmented in [type(each) for each in world.events]

    async def serve(writer: asyncio.StreamWriter) -> None:
        writer.write(CHUNKED)
        await sends(BYTE_CHUNK * 1000, repeats=True)(writer)

    run(serve, scenario)


@pytest.mark.parametrize("call", [read_load, read_rows, run_stage])
@pytest.mark.parametrize(
    "head",
    [HEAD, HEAD + b"Content-Length: 1", b"HTTP/1.1 100 Continue\r\n\r\n"],
    ids=["status", "length", "interim"],
)
def test_answer_that_stops_inside_its_head_is_no_answer(
    call: Callable[[World], Awaitable[None]], head: bytes
) -> None:
    """Guards against an empty or short body that counts as whole."""

    async def serve(writer: asyncio.StreamWriter) -> None:
        writer.write(head)
        raise ConnectionError("closed inside the head")

    run(serve, call)
