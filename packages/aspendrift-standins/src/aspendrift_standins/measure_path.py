"""Measures one daemon: added latency, throughput, memory and idle cost."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import statistics
import sys
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from typing import Final

import click
import httpx
import msgspec
import psutil

from aspendrift_model.states import StageKind
from aspendrift_model.wire_caller import RequestBody
from aspendrift_model.wire_target import StageCall
from aspendrift_standins.closed_loop import LoopCounts, LoopOptions
from aspendrift_standins.commands import Commands, python_output
from aspendrift_standins.fleet import DaemonSpec, Fleet, StandInSpec

__all__ = ["PathFigures", "main", "measure"]

DAEMON: Final = "daemon-1"
TOKEN: Final = "path-token"
_N_TARGETS: Final = 4
_N_SENDERS: Final = 4
_N_TOKENS: Final = 64
_N_TIMED_TOKENS: Final = 16
_SLOTS: Final = 1024
_N_STREAMS: Final = 1000
_MAX_CONCURRENT_OPENS: Final = 60
_SLOW_MAX_TOKENS: Final = 200
_SLOW_STEP_MS: Final = 500.0
_OPEN_TIMEOUT_S: Final = 90.0
_STREAM_TYPE: Final = "application/x-ndjson"
_RETRY_INTERVAL_S: Final = 0.5
_SETTLE_S: Final = 2.0
_JSON: Final = {"content-type": "application/json"}

TokenTimes = tuple[float, list[float]]


class PathFigures(msgspec.Struct):
    """Figures of the measurement and the load average of the machine at its start."""

    load_average: float
    n_pairs: int
    direct_first_token_ms: float = 0.0
    daemon_first_token_ms: float = 0.0
    added_first_token_ms: float = 0.0
    added_token_ms: float = 0.0
    direct_call_ms: float = 0.0
    daemon_call_ms: float = 0.0
    added_call_ms: float = 0.0
    requests_per_s: float = 0.0
    requests_per_core_s: float = 0.0
    request_core_share: float = 0.0
    tokens_per_s: float = 0.0
    tokens_per_core_s: float = 0.0
    token_core_share: float = 0.0
    n_failed: int = 0
    idle_rss_mb: float = 0.0
    idle_core_share: float = 0.0
    n_streams: int = 0
    n_refused_streams: int = 0
    rss_mb_per_1000_streams: float = 0.0


class _PathMeasurement:
    """Measures one running daemon with its targets."""

    def __init__(self, fleet: Fleet, client: httpx.AsyncClient, n_pairs: int) -> None:
        self.fleet = fleet
        self.client = client
        self.figures = PathFigures(psutil.getloadavg()[0], n_pairs)
        self.process = psutil.Process(fleet.child(DAEMON).pid)
        self._n_requests = 0

    def rss_mb(self) -> float:
        """Return the resident memory of the daemon, in MiB."""
        return float(self.process.memory_info().rss) / 2**20

    def cpu_s(self) -> float:
        """Return the CPU time that the daemon has used, in seconds."""
        times = self.process.cpu_times()
        return float(times.user + times.system)

    async def idle(self, duration_s: float) -> None:
        """Measure CPU use and memory of the daemon without requests."""
        cpu_s = self.cpu_s()
        await asyncio.sleep(duration_s)
        self.figures.idle_core_share = (self.cpu_s() - cpu_s) / duration_s
        self.figures.idle_rss_mb = self.rss_mb()

    async def added_latency(self) -> None:
        """Compare alternating calls made directly and through the daemon."""
        figures = self.figures
        pairs = [
            (await self._direct_stream(), await self._daemon_stream())
            for _ in range(figures.n_pairs)
        ]
        figures.direct_first_token_ms = _median(direct[0] for direct, _ in pairs)
        figures.daemon_first_token_ms = _median(
            via_daemon[0] for _, via_daemon in pairs
        )
        figures.added_first_token_ms = (
            figures.daemon_first_token_ms - figures.direct_first_token_ms
        )
        direct_ms = _median(at for direct, _ in pairs for at in direct[1])
        via_daemon_ms = _median(at for _, via_daemon in pairs for at in via_daemon[1])
        figures.added_token_ms = via_daemon_ms - direct_ms
        calls = [
            (await self._direct_call(), await self._daemon_call())
            for _ in range(figures.n_pairs)
        ]
        figures.direct_call_ms = _median(direct for direct, _ in calls)
        figures.daemon_call_ms = _median(via_daemon for _, via_daemon in calls)
        figures.added_call_ms = figures.daemon_call_ms - figures.direct_call_ms

    async def throughput(self, duration_s: float) -> None:
        """Measure the throughput of requests, then of streams."""
        figures = self.figures
        counts, cpu_s, elapsed_s = await self._load("call", 16, duration_s)
        figures.requests_per_s = counts.n_answered / elapsed_s
        figures.requests_per_core_s = counts.n_answered / cpu_s
        figures.request_core_share = cpu_s / elapsed_s
        figures.n_failed += counts.n_failed
        counts, cpu_s, elapsed_s = await self._load("stream", 24, duration_s)
        figures.tokens_per_s = counts.n_tokens / elapsed_s
        figures.tokens_per_core_s = counts.n_tokens / cpu_s
        figures.token_core_share = cpu_s / elapsed_s
        figures.n_failed += counts.n_failed

    async def open_streams(self) -> None:
        """Measure the memory used by many concurrently open streams."""
        before_mb = self.rss_mb()
        request = self._request_factory("slow-stream")
        open_limit = asyncio.Semaphore(_MAX_CONCURRENT_OPENS)
        opened = [asyncio.Event() for _ in range(_N_STREAMS)]
        tasks = [
            asyncio.create_task(self._keep_stream_open(request(), open_limit, event))
            for event in opened
        ]
        open_waits = [asyncio.create_task(event.wait()) for event in opened]
        await asyncio.wait(open_waits, timeout=_OPEN_TIMEOUT_S)
        n_open = sum(not task.done() for task in tasks)
        self.figures.n_streams = n_open
        growth_mb = self.rss_mb() - before_mb
        self.figures.rss_mb_per_1000_streams = growth_mb * 1000 / max(1, n_open)
        for task in (*tasks, *open_waits):
            task.cancel()
        await asyncio.gather(*tasks, *open_waits, return_exceptions=True)

    async def _keep_stream_open(
        self, body: RequestBody, open_limit: asyncio.Semaphore, opened: asyncio.Event
    ) -> None:
        async with contextlib.AsyncExitStack() as stack:
            async with open_limit:
                response = await self._open_stream(stack, body)
            opened.set()
            async for _ in response.aiter_lines():
                continue

    async def _open_stream(
        self, stack: contextlib.AsyncExitStack, body: RequestBody
    ) -> httpx.Response:
        """Return a started stream; a refused request is resent until it is admitted."""
        url = f"{self.fleet.url(DAEMON)}/v1/requests"
        content = msgspec.json.encode(body)
        while True:
            response = await stack.enter_async_context(
                self.client.stream(
                    "POST", url, content=content, headers=_JSON, timeout=None
                )
            )
            if response.headers["content-type"].startswith(_STREAM_TYPE):
                return response
            self.figures.n_refused_streams += 1
            await response.aread()
            await asyncio.sleep(_RETRY_INTERVAL_S)

    async def _load(
        self, profile: str, n_open: int, duration_s: float
    ) -> tuple[LoopCounts, float, float]:
        url = self.fleet.url(DAEMON)
        is_stream = profile == "stream"
        options = [
            LoopOptions(
                f"{profile}-{i}", url, TOKEN, profile, n_open, duration_s, is_stream
            )
            for i in range(_N_SENDERS)
        ]
        cpu_s = self.cpu_s()
        outputs = await asyncio.gather(
            *(python_output(each.arguments()) for each in options)
        )
        cpu_s = self.cpu_s() - cpu_s
        all_counts = [msgspec.json.decode(each, type=LoopCounts) for each in outputs]
        total = LoopCounts(
            sum(each.n_answered for each in all_counts),
            sum(each.n_tokens for each in all_counts),
            sum(each.n_failed for each in all_counts),
        )
        return total, cpu_s, max(each.elapsed_s for each in all_counts)

    def _request_factory(
        self, profile: str, n_tokens: int | None = None
    ) -> Callable[[], RequestBody]:
        def make() -> RequestBody:
            self._n_requests += 1
            name = f"path-{self._n_requests}"
            is_stream = "stream" in profile
            return RequestBody(name, profile, name, n_tokens, stream=is_stream)

        return make

    def _stage_call(self, kind: StageKind) -> StageCall:
        self._n_requests += 1
        name = f"direct-{self._n_requests}"
        n_tokens = _N_TIMED_TOKENS if kind is StageKind.GENERATE else 0
        return StageCall(name, name, "s", kind, name, 60_000, max_tokens=n_tokens)

    async def _direct_stream(self) -> TokenTimes:
        call = self._stage_call(StageKind.GENERATE)
        url = f"{self.fleet.url('engine-1')}/v1/generate"
        return await _timed_tokens(self._lines(url, call))

    async def _daemon_stream(self) -> TokenTimes:
        url = f"{self.fleet.url(DAEMON)}/v1/requests"
        return await _timed_tokens(
            self._lines(url, self._request_factory("stream", _N_TIMED_TOKENS)())
        )

    async def _direct_call(self) -> float:
        url = f"{self.fleet.url('pool-1')}/v1/stage"
        return await self._timed_post(url, self._stage_call(StageKind.ENCODE))

    async def _daemon_call(self) -> float:
        url = f"{self.fleet.url(DAEMON)}/v1/requests"
        return await self._timed_post(url, self._request_factory("call")())

    async def _timed_post(self, url: str, body: msgspec.Struct) -> float:
        content = msgspec.json.encode(body)
        started_at = time.monotonic()
        response = await self.client.post(url, content=content, headers=_JSON)
        response.raise_for_status()
        return (time.monotonic() - started_at) * 1e3

    async def _lines(self, url: str, body: msgspec.Struct) -> AsyncIterator[str]:
        content = msgspec.json.encode(body)
        async with self.client.stream(
            "POST", url, content=content, headers=_JSON
        ) as response:
            response.raise_for_status()
            async for line in response.aiter_lines():
                yield line


async def _timed_tokens(lines: AsyncIterator[str]) -> TokenTimes:
    """Return the time to the first line and to each but the last, in milliseconds."""
    started_at = time.monotonic()
    times = [(time.monotonic() - started_at) * 1e3 async for _ in lines]
    return times[0], times[:-1]


def _median(values: Iterable[float]) -> float:
    return statistics.median(values)


def _stand_ins() -> list[StandInSpec]:
    specs = [StandInSpec("table", "table"), StandInSpec("hostlist", "hostlist")]
    for i in range(1, _N_TARGETS + 1):
        pool = {"slots": _SLOTS, "service_ms": 0.0}
        specs.append(StandInSpec(f"pool-{i}", "stage_pool", pool))
        specs.append(StandInSpec(f"engine-{i}", "engine", {"slots": _SLOTS}))
    slow = {"slots": _SLOTS, "step_ms": _SLOW_STEP_MS}
    return [*specs, StandInSpec("slow-1", "engine", slow)]


def _profile(name: str, kind: str, pool: str, max_tokens: int, ms: float) -> object:
    stage = {"name": "s", "kind": kind, "pool": pool, "expected_ms": ms}
    contract = {"deadline_ms": 120_000}
    stages = [stage | {"max_tokens": max_tokens}]
    return {"name": name, "stages": stages, "contract": contract}


async def _publish(fleet: Fleet) -> None:
    commands = Commands([fleet.url(DAEMON)])
    publications: list[Awaitable[object]] = []
    names = [
        f"{kind}-{i + 1}" for kind in ("pool", "engine") for i in range(_N_TARGETS)
    ]
    for name in (*names, "slow-1"):
        pool = name.rpartition("-")[0]
        body = {
            "target_id": name,
            "pool": pool,
            "kind": "stage_pool" if pool == "pool" else "engine",
            "url": fleet.url(name),
            "zone": "zone-1",
            "region": "region-1",
            "slots": _SLOTS,
        }
        publications.append(
            commands.put(fleet.directory, ("target", "add"), name, body)
        )
    profiles = [
        ("call", "encode", "pool", 0, 1.0),
        ("stream", "generate", "engine", _N_TOKENS, _N_TOKENS * 7.0),
        (
            "slow-stream",
            "generate",
            "slow",
            _SLOW_MAX_TOKENS,
            _SLOW_MAX_TOKENS * _SLOW_STEP_MS,
        ),
    ]
    for name, kind, pool, max_tokens, ms in profiles:
        body = _profile(name, kind, pool, max_tokens, ms)  # type: ignore[assignment]
        publications.append(
            commands.put(fleet.directory, ("profile", "publish"), name, body)
        )
    await asyncio.gather(*publications)
    digest = hashlib.sha256(TOKEN.encode()).hexdigest()
    await commands.run("account", "add", "path", "--token-sha256", digest, "--wait")


async def measure(n_pairs: int, duration_s: float) -> PathFigures:
    """Start one daemon with its targets and measure it."""
    async with Fleet() as fleet:
        await fleet.start_stand_ins(_stand_ins())
        platform = {
            "table_url": fleet.url("table"),
            "membership_url": fleet.url("hostlist"),
        }
        await fleet.start_daemons([DaemonSpec(DAEMON)], platform)
        await _publish(fleet)
        await asyncio.sleep(_SETTLE_S)
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=20)
        headers = {"authorization": f"Bearer {TOKEN}"}
        async with httpx.AsyncClient(
            headers=headers, limits=limits, timeout=60.0, trust_env=False
        ) as client:
            path = _PathMeasurement(fleet, client, n_pairs)
            await path.idle(duration_s)
            await path.added_latency()
            await path.throughput(duration_s)
            await path.open_streams()
    return path.figures


@click.command()
@click.option("--pairs", "n_pairs", default=100, show_default=True)
@click.option("--duration-s", default=8.0, show_default=True)
def main(n_pairs: int, duration_s: float) -> None:
    """Print the figures; the last line is the result as JSON."""
    figures = asyncio.run(measure(n_pairs, duration_s))
    for name, value in msgspec.structs.asdict(figures).items():
        click.echo(f"{name:28} {value:12.3f}")
    click.echo(f"RESULT {msgspec.json.encode(figures).decode()}")
    sys.exit(0)


if __name__ == "__main__":
    main()
