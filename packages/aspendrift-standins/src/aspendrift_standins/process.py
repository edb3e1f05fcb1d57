"""Base class, server and command line shared by the stand-ins."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
from collections.abc import AsyncIterator, Callable, Iterator
from pathlib import Path
from typing import Any, Final, TypeVar

import click
import msgspec
import uvicorn

from aspendrift_standins.exchange import (
    BadBody,
    Exchange,
    TrackedProtocol,
    transports_by_client,
)
from aspendrift_standins.faults import FaultSwitch, PlatformFaults, TargetFaults

__all__ = ["StandIn", "command", "serving", "write_ready_file"]

_KEEP_ALIVE_S: Final = 3_600
_BACKLOG: Final = 4_096
_Options = TypeVar("_Options", bound=msgspec.Struct)


class StandIn:
    """Base of the stand-ins: an ASGI application with switchable faults."""

    def __init__(self, faults: PlatformFaults | TargetFaults) -> None:
        self.faults = FaultSwitch(faults)
        self._refuse: Callable[[float], None] = lambda duration_s: None

    async def route(self, exchange: Exchange) -> bool:
        """Answer an exchange; return False if no route matches."""
        raise NotImplementedError

    async def background(self) -> None:
        """Run concurrently with the server; the default does nothing."""

    def on_refuse(self, refuse: Callable[[float], None]) -> None:
        """Set the callback that refuses connections for a number of seconds."""
        self._refuse = refuse

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one ASGI scope."""
        if scope["type"] != "http":
            return
        exchange = Exchange(scope, receive, send)
        try:
            if exchange.path == ("faults",):
                await self._serve_faults(exchange)
            elif not await self.route(exchange):
                await exchange.reply(404)
        except BadBody as error:
            await exchange.reply(400, {"detail": str(error)})

    async def _serve_faults(self, exchange: Exchange) -> None:
        if exchange.method == "POST":
            try:
                self.faults.change(await exchange.body())
            except msgspec.MsgspecError as error:
                raise BadBody(str(error)) from error
            refuse_s = self.faults.show().refuse_s
            if refuse_s > 0:
                self.faults.change(b'{"refuse_s": 0}')
                asyncio.get_running_loop().call_later(0.05, self._refuse, refuse_s)
        await exchange.reply(200, self.faults.show())


class _Server(uvicorn.Server):
    """Server that writes a ready file and can refuse connections for a time."""

    def __init__(
        self,
        stand_in: StandIn,
        sock: socket.socket,
        ready_file: str,
        handle_signals: bool = True,
    ) -> None:
        config = uvicorn.Config(
            stand_in,
            loop="asyncio",
            http=TrackedProtocol,
            ws="none",
            lifespan="off",
            log_level="critical",
            access_log=False,
            timeout_keep_alive=_KEEP_ALIVE_S,
            timeout_graceful_shutdown=1,
            backlog=_BACKLOG,
            server_header=False,
            date_header=False,
        )
        super().__init__(config)
        self._address = sock.getsockname()
        self._ready_file = ready_file
        self._handle_signals = handle_signals
        self.listening = asyncio.Event()
        self._reopening: asyncio.Task[None] | None = None
        stand_in.on_refuse(self._refuse)

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install signal handlers, unless the server shares its process."""
        if not self._handle_signals:
            yield
            return
        with super().capture_signals():
            yield

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start listening, then write the ready file."""
        await super().startup(sockets)
        self.listening.set()
        host, port = self._address
        write_ready_file(
            self._ready_file, {"url": f"http://{host}:{port}", "pid": os.getpid()}
        )

    def _refuse(self, duration_s: float) -> None:
        for server in self.servers:
            server.close()
        for transport in list(transports_by_client.values()):
            transport.abort()
        self._reopening = asyncio.create_task(self._reopen_after(duration_s))

    async def _reopen_after(self, duration_s: float) -> None:
        await asyncio.sleep(duration_s)
        await super().startup([_listen(self._address[1])])


def write_ready_file(path: str, content: dict[str, Any]) -> None:
    """Write a ready file atomically, so that readers never see an incomplete one."""
    if not path:
        return
    partial = Path(f"{path}.partial")
    partial.write_text(json.dumps(content))
    partial.replace(path)


def _listen(port: int) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.bind(("127.0.0.1", port))
    return sock


async def _serve(stand_in: StandIn, port: int, ready_file: str) -> None:
    sock = _listen(port)
    async with asyncio.TaskGroup() as tasks:
        background = tasks.create_task(stand_in.background())
        await _Server(stand_in, sock, ready_file).serve([sock])
        background.cancel()


@contextlib.asynccontextmanager
async def serving(stand_in: StandIn) -> AsyncIterator[str]:
    """Serve a stand-in in this process; the context value is its base URL."""
    sock = _listen(0)
    server = _Server(stand_in, sock, "", handle_signals=False)
    host, port = sock.getsockname()
    async with asyncio.TaskGroup() as tasks:
        background = tasks.create_task(stand_in.background())
        served = tasks.create_task(server.serve([sock]))
        await server.listening.wait()
        try:
            yield f"http://{host}:{port}"
        finally:
            server.should_exit = True
            await served
            background.cancel()


def command(
    name: str,
    options_type: type[_Options],
    faults_type: type[PlatformFaults] | type[TargetFaults],
    make: Callable[[_Options, Any], StandIn],
) -> click.Command:
    """Return the command line of a stand-in.

    Parameters
    ----------
    name : str
        Name shown in the help text.
    options_type, faults_type : type
        Types to which the JSON of ``--options`` and ``--faults`` is decoded.
    make : callable
        Creates the stand-in from its options and faults.
    """

    @click.command(name=name, help=f"Run the {name} stand-in on loopback.")
    @click.option("--port", default=0, help="TCP port; 0 takes a free one.")
    @click.option("--ready-file", default="", help="Written once it listens.")
    @click.option("--options", default="{}", help="Options as a JSON object.")
    @click.option("--faults", default="{}", help="Faults as a JSON object.")
    def run(port: int, ready_file: str, options: str, faults: str) -> None:
        try:
            decoded_options = msgspec.json.decode(options, type=options_type)
            decoded_faults = msgspec.json.decode(faults, type=faults_type)
        except msgspec.MsgspecError as error:
            raise click.UsageError(str(error)) from error
        asyncio.run(_serve(make(decoded_options, decoded_faults), port, ready_file))

    return run
