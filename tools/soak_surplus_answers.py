"""Play targets that answer twice, behind real gateway processes, with a seed.

Callers check that each answer is that of their own request, whole and with the status
that the target gave; targets, that what may run once runs once and that refused
requests did not run.

    python tools/soak_surplus_answers.py --seed 7 --kinds half_head,half_refusal

A seed fixes what callers draw and what targets do with a request, but not the order in
which requests meet. Not part of the tests: it takes a minute for each seed.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

import click
from surplus_answer_checks import Check, attempts_by_request
from surplus_answers import (
    DEFAULT_KINDS,
    KINDS,
    PLACES,
    ROOT,
    Options,
    Received,
    Records,
    RepeatingTarget,
    Request,
    chunked,
)
from world import KEY, Gateway, World, configuration, read_chunks, read_head, route

_START: Final = (
    "import sys; from aspendrift_platform.main import main; sys.exit(main())"
)
_METHODS: Final = {"safe": "GET", "once": "POST", "model": "POST", "head": "HEAD"}
_PREFIXES: Final = {
    "safe": "/safe/",
    "once": "/once/",
    "model": "/model/",
    "head": "/safe/",
}
_BODY_SIZES: Final = (10, 300, 600, 2000, 60_000, 200_000, 300_000)
_DEADLINE_MS: Final = 3000
_CANCEL_AFTER_S: Final = 0.02
_ANSWER_TIMEOUT_S: Final = 6.0
_PAUSES_S: Final = (0, 0, 0, 0.005, 0.02, 0.05)
_MAX_LONG_PAUSE_S: Final = 5.0
# Answers of requests that were cancelled are still logged.
_SETTLE_S: Final = 1.0
_POOLS: Final = ("desk", "writer")
_N_WRITERS: Final = 2


class CheckoutGateway(Gateway):
    """A gateway process with the sources of a checkout."""

    def __init__(self, *args: Any, code: Path, **bounds: Any) -> None:
        super().__init__(*args, **bounds)
        self.code = code

    def start(self) -> None:
        """Start the process."""
        self.path.write_text(json.dumps(self.settings))
        environment = {
            **checkout_environment(self.code),
            "ASPENDRIFT_BOOT": str(self.path),
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-c", _START],
                cwd=self.code,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )


def checkout_environment(code: Path) -> dict[str, str]:
    """Return the environment of a process with the sources of a checkout."""
    sources = [*sorted(code.glob("packages/*/src")), code / "platform" / "src"]
    return {
        **{name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ},
        "PYTHONPATH": os.pathsep.join(str(each) for each in sources),
        "PYTHONDONTWRITEBYTECODE": "1",
    }


def check_checkout(code: Path) -> None:
    """Raise unless a process loads the sources of the checkout."""
    found = subprocess.run(
        [sys.executable, "-c", "import aspendrift_gateway as g; print(g.__file__)"],
        env=checkout_environment(code),
        check=True,
        capture_output=True,
        text=True,
    ).stdout
    if not found.startswith(f"{code}{os.sep}"):
        raise RuntimeError(f"loaded {found.strip()}, expected sources in {code}")


class Caller:
    """Sends requests one after the other and records what it gets."""

    def __init__(
        self, options: Options, records: Records, number: int, gateways: list[Gateway]
    ) -> None:
        self.options = options
        self.records = records
        self.number = number
        self.gateways = gateways
        self._rng = random.Random(f"{options.seed}/caller/{number}")
        self._gateway: Gateway | None = None
        self._reader: asyncio.StreamReader
        self._writer: asyncio.StreamWriter

    async def run(self, n_requests: int) -> None:
        """Send the requests."""
        for number in range(n_requests):
            request = self._draw_request(number)
            self.records.requests[request.id] = request
            is_cancelled = self._rng.random() < self.options.cancel
            gateway = self._rng.choice(self.gateways)
            timeout_s = _CANCEL_AFTER_S if is_cancelled else _ANSWER_TIMEOUT_S
            try:
                async with asyncio.timeout(timeout_s):
                    await self._connect(gateway)
                    await self._send(request)
                    await self._receive(request)
            except (OSError, EOFError):
                self.records.received[request.id] = Received(is_whole=False)
                self.records.counts["cancelled"] += is_cancelled
                self._disconnect()
            pause_s = self._rng.choice(_PAUSES_S)
            if self._rng.random() < 0.01:
                pause_s = self._rng.random() * _MAX_LONG_PAUSE_S
            await asyncio.sleep(pause_s)

    def _draw_request(self, number: int) -> Request:
        rng = self._rng
        request_id = f"{rng.getrandbits(64):016x}"
        kind = rng.choices(tuple(_METHODS), (4, 5, 1, 1))[0]
        method = _METHODS[kind]
        target = f"{_PREFIXES[kind]}{self.number}/{number}?p=/a&n={number}"
        body, is_chunked = b"", False
        if method == "POST":
            is_large = rng.random() < 0.3
            size = rng.choice(_BODY_SIZES) if is_large else rng.randint(10, 900)
            body = (request_id.encode() * (size // 16 + 1))[:size]
            is_chunked = rng.random() < 0.4
        return Request(request_id, kind, method, target, body, is_chunked)

    async def _connect(self, gateway: Gateway) -> None:
        if self._gateway is gateway and self._rng.random() >= 0.1:
            return
        self._disconnect()
        host, _, port = gateway.front.rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(
            host, int(port), limit=1 << 20
        )
        self._gateway = gateway

    def _disconnect(self) -> None:
        if self._gateway is not None:
            self._writer.close()
            self._gateway = None

    async def _send(self, request: Request) -> None:
        lines = [
            f"{request.method} {request.target} HTTP/1.1",
            "Host: pule25.example",
            f"Attempt-Id: {request.id}",
            f"Deadline-Ms: {_DEADLINE_MS}",
            f"Credential: {KEY}",
        ]
        if request.is_chunked:
            lines.append("Transfer-Encoding: chunked")
        elif request.method == "POST":
            lines.append(f"Content-Length: {len(request.body)}")
        body = chunked(request.body) if request.is_chunked else request.body
        self._writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await self._writer.drain()

    async def _receive(self, request: Request) -> None:
        first, headers = await read_head(self._reader)
        found = Received(int(first.split(" ")[1]), headers)
        is_kept = headers.get("connection", "").lower() != "close"
        try:
            if request.method == "HEAD":
                pass
            elif "chunked" in headers.get("transfer-encoding", ""):
                found.body = await read_chunks(self._reader)
            elif "content-length" in headers:
                length = int(headers["content-length"])
                found.body = await self._reader.readexactly(length)
            else:
                found.body, is_kept = await self._reader.read(), False
        except (asyncio.IncompleteReadError, ConnectionError):
            found.is_whole, is_kept = False, False
        self.records.received[request.id] = found
        if not is_kept:
            self._disconnect()


class Soak:
    """One play with one seed."""

    def __init__(self, options: Options, code: Path, folder: Path) -> None:
        self.options = options
        self.records = Records()
        self.world = World(folder)
        sizes = (options.engines, _N_WRITERS)
        self.targets = [
            self._add_target(pool, f"i-{pool}-{number}", 20 + 10 * position + number)
            for position, (pool, size) in enumerate(zip(_POOLS, sizes, strict=True))
            for number in range(size)
        ]
        self._configure()
        world = self.world
        for number in range(1, options.gateways + 1):
            gateway = CheckoutGateway(
                world.subnet,
                number,
                world.store,
                folder,
                code=code,
                budgetExtra=400,
            )
            world.gateways.append(gateway)

    def _add_target(self, pool: str, name: str, number: int) -> RepeatingTarget:
        world = self.world
        target = RepeatingTarget(
            world.store,
            world.record,
            name,
            pool,
            world.address(number),
            slots=64,
            options=self.options,
            records=self.records,
        )
        return world.add(target)

    def _configure(self) -> None:
        plain = {"timeoutMs": 3000, "targetLatencyMs": 400}
        stream = {"timeoutMs": 6000, "targetGapMs": 300}
        routes = [
            route("r-safe", "/safe/", "idempotent", "desk", maxAttempts=2, **plain),
            route("r-once", "/once/", "non_idempotent", "desk", **plain),
            route("r-model", "/model/", "streaming", "writer", **stream),
        ]
        services = [
            {"name": pool, "maxConns": 360, "healthPath": "/health"} for pool in _POOLS
        ]
        self.world.store.put("op", "config", configuration(3, routes, services))

    async def play(self) -> dict[str, Any]:
        """Send all requests, then return what was seen."""
        began_at = time.monotonic()
        try:
            await self.world.start()
            await self._run_callers()
        finally:
            await self.world.stop()
            self.world.record.close()
            self.world.folder.cleanup()
        logs = [each.log_path for each in self.world.gateways]
        self._check(logs)
        lines = [line for log in logs for line in log.read_bytes().splitlines()]
        return {
            "seed": self.options.seed,
            "seconds": round(time.monotonic() - began_at),
            "counts": dict(sorted(self.records.counts.items())),
            "log_errors": sum(
                b'"level":"error"' in line or b"Traceback" in line for line in lines
            ),
            "breaches": dict(Counter(rule for rule, _ in self.records.breaches)),
        }

    async def _run_callers(self) -> None:
        options, gateways = self.options, self.world.gateways
        restarts = None
        if options.restarts:
            restarts = asyncio.create_task(self._restart_targets())
        n_requests = options.requests // options.callers
        callers = [
            Caller(options, self.records, number, gateways)
            for number in range(options.callers)
        ]
        await asyncio.gather(*(caller.run(n_requests) for caller in callers))
        if restarts is not None:
            restarts.cancel()
        await asyncio.sleep(_SETTLE_S)

    async def _restart_targets(self) -> None:
        rng = random.Random(self.options.seed)
        while True:
            await asyncio.sleep(rng.uniform(2, 4))
            target = rng.choice(self.targets)
            await target.stop()
            await asyncio.sleep(rng.uniform(0.05, 0.6))
            target.born = int(time.time() * 1000)
            target.seq = 0
            await target.start()
            self.records.counts["restarts"] += 1

    def _check(self, logs: list[Path]) -> None:
        attempts = attempts_by_request(logs)
        for request_id, request in self.records.requests.items():
            if request_id in self.records.received:
                Check(self.records, request, attempts.get(request_id, [])).check()


def _names(known: tuple[str, ...] | frozenset[str]) -> Callable[..., tuple[str, ...]]:
    def parse(_context: Any, _option: Any, text: str) -> tuple[str, ...]:
        names = tuple(text.split(","))
        if unknown := set(names) - set(known):
            raise click.BadParameter(
                f"found {sorted(unknown)}, expected some of {sorted(known)}"
            )
        return names

    return parse


@click.command()
@click.option("--seed", default=1)
@click.option("--share", default=0.1, help="Share of answers with a surplus one.")
@click.option("--fail", default=0.18, help="Share of runs that fail.")
@click.option("--refuse", default=0.04, help="Share of requests that targets refuse.")
@click.option("--cancel", default=0.03, help="Share of requests that callers cancel.")
@click.option("--requests", default=3000, help="Requests of all callers.")
@click.option("--callers", default=12, help="Callers at the same time.")
@click.option("--gateways", default=1, help="Gateway processes.")
@click.option("--engines", default=4, help="Plain targets.")
@click.option(
    "--kinds",
    default=",".join(DEFAULT_KINDS),
    callback=_names(KINDS),
    help="Surplus answers to draw from.",
)
@click.option(
    "--places",
    default=",".join(PLACES),
    callback=_names(PLACES),
    help="Places of surplus answers to draw from.",
)
@click.option("--overlap", is_flag=True, help="Also put answers inside others.")
@click.option("--unframed", is_flag=True, help="Also repeat answers without an end.")
@click.option("--restarts", is_flag=True, help="Restart targets now and then.")
@click.option(
    "--code",
    default=ROOT,
    type=click.Path(exists=True, file_okay=False, resolve_path=True, path_type=Path),
    help="Checkout whose sources the gateways run; by default this one.",
)
@click.option("--keep-logs", is_flag=True, help="Keep the folder with the logs.")
@click.option("--show", default=6, help="Breaches to print.")
def main(code: Path, keep_logs: bool, show: int, **options: Any) -> None:
    """Play one seed; exit with 1 if a rule was broken."""
    check_checkout(code)
    folder = Path(tempfile.mkdtemp(prefix="surplus-answers-"))
    try:
        soak = asyncio.run(_play(Options(**options), code, folder))
    finally:
        if keep_logs:
            click.echo(f"logs: {folder}", err=True)
        else:
            shutil.rmtree(folder)
    for rule, text in soak.records.breaches[:show]:
        click.echo(f"{rule}: {text}", err=True)
    sys.exit(1 if soak.records.breaches else 0)


async def _play(options: Options, code: Path, folder: Path) -> Soak:
    soak = Soak(options, code, folder)
    click.echo(json.dumps(await soak.play()))
    return soak


if __name__ == "__main__":
    main()
