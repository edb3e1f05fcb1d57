"""Planned stops of gateway processes in calm, with callers of every kind.

Callers use their connections until these are closed. Targets answer slowly, some are
limited, so that requests wait; bodies arrive slowly, also across the phases of a stop.
Each stopped gateway is started again.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from dataclasses import dataclass, field

import httpx
from gateway_process import GatewayProcess, until_all_ready
from platform_emulator import Platform, configuration

N_CALLERS = 24
READY_TIMEOUT_S = 30.0
# Time after the last byte of a request from which on a cut counts.
LOSS_SLACK_S = 0.2
# Requests that are sent later after the signal must not be accepted and cut off.
ACCEPTED_S = 3.0
# Engines that still work in this last share of the grace excuse a cut.
EXCUSED_SHARE = 5 / 6
ROUTE_TIMEOUT_S = 5.0
# Gateways end a request this much before its deadline.
DEADLINE_MARGIN_S = 0.05
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
PAUSE_S = 1.0


@dataclass
class Sent:
    """A request as its caller saw it; times are those of the event loop."""

    attempt_id: str
    path: str
    gateway: str
    began_at: float
    deadline_s: float
    whole_at: float = float("inf")
    ended_at: float = float("inf")
    status: int = 0
    is_complete: bool = False

    def __str__(self):
        return (
            f"{self.attempt_id} {self.path} at {self.gateway}: sent {self.began_at:.3f}"
            f" to {self.whole_at:.3f}, status {self.status}, ended {self.ended_at:.3f}"
        )


@dataclass
class Stop:
    """A planned stop: the signal, and the end of the process."""

    gateway: str
    signal_at: float
    ended_at: float = float("inf")
    exit_code: int | None = None
    log: dict = field(default_factory=dict)


class PlannedStops:
    """Plays stops in series, and checks what callers and targets saw.

    Parameters
    ----------
    kills : bool
        Whether a process that outlives the grace time is killed, as the platform does.
    """

    def __init__(self, folder, seed, grace_s, n_stops, kills=False):
        self.rng = random.Random(seed)
        self.grace_s = grace_s
        self.n_stops = n_stops
        self.kills = kills
        self.platform = Platform()
        bounds = {"graceS": grace_s}
        self.gateways = [
            GatewayProcess(folder, n, self.platform.store.address, **bounds)
            for n in range(3)
        ]
        self.sent = []
        self.stops = []
        self._ids = itertools.count(1)
        self._is_over = asyncio.Event()

    async def play(self):
        """Play all stops."""
        loop = asyncio.get_running_loop()
        await self.platform.start()
        tasks = []
        try:
            for service, n_targets in (("desk", 2), ("model", 2), ("first", 2)):
                for number in range(n_targets):
                    await self.platform.add_target(f"{service}-{number}", service)
            await self.platform.add_target("second-0", "second")
            for target in self.platform.targets_by_name.values():
                if target.service == "desk":
                    target.limit_per_s = 12
            self.platform.configure(1)
            for gateway in self.gateways:
                gateway.start()
            async with httpx.AsyncClient(trust_env=False) as client:
                await until_all_ready(self.gateways, client, READY_TIMEOUT_S)
                tasks.append(asyncio.create_task(self._vary_work()))
                tasks.append(asyncio.create_task(self._reconfigure()))
                tasks += [
                    asyncio.create_task(self._call_again_and_again())
                    for _ in range(N_CALLERS)
                ]
                await asyncio.sleep(PAUSE_S)
                for _ in range(self.n_stops):
                    gateway = self.rng.choice(self.gateways)
                    stop = Stop(gateway.name, loop.time())
                    self.stops.append(stop)
                    await self._stop(gateway, stop)
                    gateway.start()
                    await until_all_ready([gateway], client, READY_TIMEOUT_S)
                    await asyncio.sleep(PAUSE_S)
            self._is_over.set()
            await asyncio.gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()
            for gateway in self.gateways:
                gateway.kill()
            await self.platform.stop()

    async def _stop(self, gateway, stop):
        gateway.terminate()
        try:
            async with asyncio.timeout(self.grace_s if self.kills else READY_TIMEOUT_S):
                stop.exit_code = await gateway.until_ended()
        except TimeoutError:
            gateway.kill()
        stop.ended_at = asyncio.get_running_loop().time()
        closed = gateway.logged("gateway_closed")
        stop.log = closed[-1] if closed else {}

    async def _vary_work(self):
        """Change how long targets work on what arrives next."""
        while not self._is_over.is_set():
            for target in self.platform.targets_by_name.values():
                is_stage = target.service in ("first", "second")
                longest_s = 0.3 if is_stage else self.grace_s / 2
                shares = (0.01, 0.05, 0.2, 1.0)
                target.work_s = longest_s * self.rng.choice(shares)
                target.event_gap_s = self.rng.choice((0.002, 0.02, self.grace_s / 20))
            await asyncio.sleep(0.05)

    async def _reconfigure(self):
        """Publish versions of the configuration beside the stops."""
        for version in itertools.count(2):
            await asyncio.sleep(self.rng.uniform(1.0, 3.0))
            if self._is_over.is_set():
                return
            routes = configuration()["routes"]
            for each in routes:
                each["targetLatencyMs"] = 500 + version
            self.platform.configure(version, routes=routes)

    async def _call_again_and_again(self):
        while not self._is_over.is_set():
            gateway = self.rng.choice(self.gateways)
            host, _, port = gateway.front.rpartition(":")
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(0.1)
                continue
            try:
                while not self._is_over.is_set():
                    if not await self._call(gateway, reader, writer):
                        break
                    await asyncio.sleep(self.rng.uniform(0.0, 0.2))
            finally:
                writer.close()

    async def _call(self, gateway, reader, writer):
        """Send a request; return whether its connection may be used again."""
        loop = asyncio.get_running_loop()
        path = self.rng.choice(
            ("/once/x", "/once/x", "/safe/x", "/model/x", "/resume/x")
        )
        deadline_s = self.rng.choice((0.4, 0.8)) * self.grace_s
        attempt_id = f"{next(self._ids):016x}"
        sent = Sent(attempt_id, path, gateway.name, loop.time(), deadline_s)
        self.sent.append(sent)
        try:
            await self._send(writer, sent)
            sent.whole_at = loop.time()
            return await self._receive(reader, sent)
        except (OSError, asyncio.IncompleteReadError):
            return False
        finally:
            sent.ended_at = loop.time()

    async def _send(self, writer, sent):
        body = b"x" * self.rng.choice((4, 20_000))
        lines = [
            f"POST {sent.path} HTTP/1.1",
            "Host: h.example",
            f"Attempt-Id: {sent.attempt_id}",
            f"Deadline-Ms: {sent.deadline_s * 1000:.0f}",
            "Credential: key",
            f"Content-Length: {len(body)}",
        ]
        if sent.path in ("/model/x", "/resume/x"):
            lines.append("X-Kind: stream")
        if sent.path == "/model/x":
            lines += ["Pieces: 3,5,1", "Piece-Key: k"]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        if self.rng.random() < 0.3:
            half = len(body) // 2
            writer.write(body[:half])
            await writer.drain()
            await asyncio.sleep(self.rng.uniform(0.0, self.grace_s))
            body = body[half:]
        writer.write(body)
        await writer.drain()

    async def _receive(self, reader, sent):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        sent.status = int(head.split(" ", 2)[1])
        lines = (line.partition(": ") for line in head.splitlines()[1:])
        headers = {name: value for name, _, value in lines}
        if "content-length" in headers:
            await reader.readexactly(int(headers["content-length"]))
        else:
            while True:
                size = int(await reader.readuntil(b"\r\n"), 16)
                await reader.readexactly(size + 2)
                if not size:
                    break
        sent.is_complete = True
        return headers.get("connection") != "close"

    def violations(self):
        """Return what callers and targets should not have seen."""
        arrived_at = {}
        for arrivals in self.platform.records.arrivals_by_service.values():
            for at, attempt_id in arrivals:
                arrived_at.setdefault(attempt_id, []).append(at)
        found = [
            f"outlived the grace time, or failed: {each}"
            for each in self.stops
            if each.exit_code != 0
        ]
        for sent in self.sent:
            found += self._violations_of(sent, arrived_at.get(sent.attempt_id, ()))
        return found

    def _violations_of(self, sent, arrived_at):
        if sent.status in NOT_RUN_STATUSES and arrived_at:
            yield f"refused as not run, but it ran: {sent}"
        if len(arrived_at) > 1 and sent.path in ("/once/x", "/model/x"):
            yield f"sent twice: {sent}"
        stop = self._stop_of(sent)
        if stop is None:
            return
        began_s, ended_s = (
            at - stop.signal_at for at in (sent.began_at, sent.ended_at)
        )
        is_excused = began_s <= ACCEPTED_S and ended_s >= EXCUSED_SHARE * self.grace_s
        is_read = arrived_at or sent.ended_at - sent.whole_at > LOSS_SLACK_S
        took_s = sent.ended_at - sent.whole_at
        is_late = took_s > min(sent.deadline_s, ROUTE_TIMEOUT_S) - DEADLINE_MARGIN_S
        is_excused = arrived_at and (is_excused or is_late)
        if not sent.is_complete and is_read and not is_excused:
            yield f"cut off without an answer, {ended_s:.3f} s after the signal: {sent}"
        if sent.path != "/once/x" or not arrived_at:
            return
        passed_on_s = arrived_at[-1] - stop.signal_at
        if passed_on_s > ACCEPTED_S and not (sent.is_complete and sent.status != 502):
            yield f"passed on {passed_on_s:.3f} s after the signal, no outcome: {sent}"

    def _stop_of(self, sent):
        """Return the stop during which a request ended, or None."""
        for stop in self.stops:
            if stop.gateway == sent.gateway:
                if stop.signal_at <= sent.ended_at <= stop.signal_at + self.grace_s + 1:
                    return stop
        return None

    def summary(self):
        """Return counts for a record of a run."""
        during = [each for each in self.sent if self._stop_of(each) is not None]
        statuses = {}
        for each in during:
            key = each.status if each.is_complete else f"{each.status} cut"
            statuses[key] = statuses.get(key, 0) + 1
        return {
            "n_requests": len(self.sent),
            "ended_during_stops": {
                str(k): v for k, v in sorted(statuses.items(), key=str)
            },
            "exit_s": [round(each.ended_at - each.signal_at, 2) for each in self.stops],
            "killed": sum(each.exit_code is None for each in self.stops),
        }
