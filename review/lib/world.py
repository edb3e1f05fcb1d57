"""Stand-ins of a small deployment for the cases, on loopback addresses.

Standard library only. The store, the engines and the callers speak what
PROTOCOL.md says; the gateways are the project's own, started with the command of
the deploy file.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs

ROOT = Path(os.environ.get("ASPENDRIFT_ROOT", Path(__file__).resolve().parents[2]))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Lines on what was sent, answered and run; written to record.txt."""

    def __init__(self, folder):
        self.path = Path(folder) / "record.txt"
        self.began = time.monotonic()
        self.file = self.path.open("w")
        self.broken = []

    def add(self, *words):
        at = time.monotonic() - self.began
        self.file.write(f"{at:9.3f} " + " ".join(str(word) for word in words) + "\n")

    def breach(self, rule, *words):
        self.broken.append((rule, words))
        self.add("BROKEN", rule, *words)

    def close(self):
        self.file.close()


class Subnet:
    """Loopback addresses that no other process of the machine is likely to use."""

    def __init__(self):
        rng = random.Random()
        while True:
            self.prefix = f"127.{rng.randint(60, 250)}.{rng.randint(1, 250)}"
            try:
                for port in (9464, 7740):
                    with socket.socket() as found:
                        found.bind((f"{self.prefix}.1", port))
                return
            except OSError:
                continue

    def ip(self, number):
        return f"{self.prefix}.{number}"

    def free(self, number):
        """Return an address with a free port at a host of the subnet."""
        with socket.socket() as found:
            found.bind((self.ip(number), 0))
            return f"{self.ip(number)}:{found.getsockname()[1]}"


class Message:
    """A request that a stand-in received."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def path(self):
        return self.target.partition("?")[0]

    @property
    def query(self):
        found = parse_qs(self.target.partition("?")[2], keep_blank_values=True)
        return {name: values[0] for name, values in found.items()}


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_message(reader):
    first, headers = await read_head(reader)
    method, target, _ = first.split(" ", 2)
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = await read_chunks(reader)
    elif headers.get("content-length", "0") != "0":
        body = await reader.readexactly(int(headers["content-length"]))
    return Message(method, target, headers, body)


async def read_chunks(reader):
    found = bytearray()
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        part = await reader.readexactly(size + 2)
        if not size:
            return bytes(found)
        found += part[:-2]


def answer(status, body=b"", headers=()):
    """Return the bytes of an answer with a length."""
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    lines = [f"HTTP/1.1 {status} Answer", *(f"{n}: {v}" for n, v in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """A server on one address; ``exchange`` handles one request of a connection."""

    def __init__(self, address):
        self.address = address
        self.writers = set()
        self.server = None

    async def start(self):
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(
            self.serve, host, int(port), limit=1 << 20
        )

    async def stop(self):
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while not writer.is_closing():
                if not await self.exchange(reader, writer):
                    break
        except (
            asyncio.IncompleteReadError,
            ConnectionError,
            asyncio.LimitOverrunError,
        ):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def exchange(self, reader, writer):
        raise NotImplementedError


class Store(Server):
    """The platform's store: rows with versions, feeds and transactions."""

    def __init__(self, address):
        super().__init__(address)
        self.rows = {}
        self.version = 0
        self.changed = asyncio.Event()
        self.delay_s = 0.002

    def put(self, table, key, value):
        if not isinstance(value, bytes) and value is not None:
            value = json.dumps(value).encode()
        self.version += 1
        self.rows[table, key] = (self.version, value)
        self.changed.set()
        self.changed = asyncio.Event()

    def row(self, table, key, version, value):
        found = {"table": table, "part": "", "key": key, "ver": version}
        if value is None:
            return {**found, "deleted": True}
        return {**found, "value": base64.b64encode(value).decode()}

    def since(self, table, after):
        found = [
            (version, key, value)
            for (name, key), (version, value) in self.rows.items()
            if name == table and version > after
        ]
        return [
            self.row(table, key, version, value)
            for version, key, value in sorted(found)
        ]

    async def exchange(self, reader, writer):
        call = await read_message(reader)
        await asyncio.sleep(self.delay_s)
        status, body = await self.result(call)
        writer.write(answer(status, body, [("Content-Type", "application/json")]))
        await writer.drain()
        return True

    async def result(self, call):
        query = call.query
        now = {"nowMs": int(time.monotonic() * 1000)}
        if call.path == "/-/rows-get":
            low, high = query.get("from", ""), query.get("to")
            rows = [
                self.row(table, key, *row)
                for (table, key), row in sorted(self.rows.items())
                if table == query["table"] and row[1] is not None
                if key >= low and (high is None or key < high)
            ]
            return 200, {"rows": rows, "truncated": False, "ver": self.version, **now}
        if call.path == "/-/rows-feed":
            after = int(query["after"])
            loop = asyncio.get_running_loop()
            until = loop.time() + int(query.get("waitMs", 0)) / 1000
            while not (rows := self.since(query["table"], after)):
                try:
                    async with asyncio.timeout_at(until):
                        await self.changed.wait()
                except TimeoutError:
                    break
            return 200, {"rows": rows, "ver": self.version, **now}
        if call.path == "/-/rows-tx":
            entries = json.loads(call.body)
            for row in entries.get("puts", ()):
                self.put(row["table"], row["key"], base64.b64decode(row["value"]))
            for row in entries.get("remove", ()):
                self.put(row["table"], row["key"], None)
            return 200, {"ver": self.version, **now}
        return 404, b""


class Engine(Server):
    """What all engines share: an entry in the store, renewed by heartbeats."""

    version = "v1"

    def __init__(self, store, record, name, service, address, zone="z1", slots=1):
        super().__init__(address)
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.seq = 0
        self.task = None
        self.n_running = 0
        self.n_waiting = 0
        self.turn = asyncio.Semaphore(slots)
        self.born = int(time.time() * 1000)

    async def start(self):
        await super().start()
        self.register()
        self.task = asyncio.create_task(self.beat())

    async def stop(self):
        if self.task is not None:
            self.task.cancel()
        await super().stop()

    async def beat(self):
        while True:
            await asyncio.sleep(1.2)
            self.register()

    def register(self, state="ready"):
        self.seq += 1
        self.store.put(
            "servers",
            self.name,
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": self.version,
                "slots": self.slots,
                "state": state,
                "coldLeftMs": 0,
                "seq": self.seq,
                "born": self.born,
            },
        )

    def load(self):
        return ("Engine-Load", f"{self.n_running},{self.n_waiting},{self.slots}")

    def is_other(self, call):
        return call.headers.get("expected-instance", self.name) != self.name


class Gateway:
    """A process of the project, started with the command of the deploy file."""

    def __init__(
        self, subnet, number, store, folder, memory_mb=300, zone="z1", **bounds
    ):
        self.name = f"front-{number}"
        self.ip = subnet.ip(10 + number)
        ports = [7740, 7755]
        self.front = f"{self.ip}:8625"
        self.ready = f"{self.ip}:8621"
        self.directory = f"{self.ip}:8620"
        self.memory_mb = memory_mb
        self.settings = {
            "nodeName": self.name,
            "role": "gateway",
            "machineClass": "front",
            "serves": ["front", "directory"],
            "ip": self.ip,
            "zone": zone,
            "region": "r1",
            "zones": {"z1": "r1", "z2": "r1", "z3": "r1"},
            "listen": {
                "front": self.front,
                "ready": self.ready,
                "directory": self.directory,
            },
            "portRange": ports,
            "seeds": [],
            "bootstrap": True,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": memory_mb,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "heartbeatMs": 1200,
            "bounds": {
                "seedLagS": 3,
                "reuseAfterS": 2,
                "contactMs": 3000,
                "ackMs": 4000,
                "catchUpS": 4,
                "drainMs": 2000,
                "graceS": 8,
                "lossSlackMs": 200,
                "configMs": 2000,
                "rollbackSlackMs": 250,
                "outerMs": 5000,
                "strictRevoke": False,
                "revokeMs": 5000,
                "retryBudgetRatio": 0.2,
                "budgetWindowS": 10,
                "budgetExtra": 52,
                "recoveryS": 12,
                "passMs": 120,
                "reuseWindowS": 10,
                "ttl_max_s": 5,
                **bounds,
            },
            "platform": {
                "address": store.address,
                "form": "table",
                "writesPerS": 400,
                "readsPerS": 2000,
                "txMs": 5.0,
                "partWritesS": 200,
                "rowBytes": 65536,
                "across": False,
                "historyS": 20,
                "blobBytes": 8388608,
                "blobMs": 25.0,
                "blobMbS": 80.0,
            },
        }
        self.path = Path(folder) / f"{self.name}.json"
        self.log_path = Path(folder) / f"{self.name}.log"
        self.process = None

    def start(self):
        self.path.write_text(json.dumps(self.settings))
        kept = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-S", "platform/aspendriftd.py"],
                cwd=ROOT,
                env={**kept, "ASPENDRIFT_BOOT": str(self.path)},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def anonymous_mb(self):
        """Return the process's own memory, without mapped files, in megabytes."""
        with open(f"/proc/{self.process.pid}/status") as status:
            for line in status:
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    async def until_ready(self, within_s=20.0):
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise RuntimeError(
                    f"{self.name} ended: {self.log_path.read_text()[-800:]}"
                )
            try:
                found = await fetch(
                    self.ready, "GET", "/-/ready", {"Host": self.ready}, timeout_s=1.0
                )
                if found.status == 200:
                    return
            except (OSError, TimeoutError, EOFError):
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError(
            f"{self.name} is not ready: {self.log_path.read_text()[-800:]}"
        )


class Answer:
    def __init__(self, status, headers, body, is_complete):
        self.status = status
        self.headers = headers
        self.body = body
        self.is_complete = is_complete


async def fetch(address, method, target, headers, body=b"", timeout_s=15.0):
    """Send one request on a new connection; return the answer as far as it came."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            return await exchange(reader, writer, method, target, headers, body)
        finally:
            writer.close()


async def exchange(reader, writer, method, target, headers, body=b""):
    """Send one request on a connection and read its answer."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    await writer.drain()
    first, found = await read_head(reader)
    status = int(first.split(" ")[1])
    content, is_complete = b"", True
    try:
        if "chunked" in found.get("transfer-encoding", ""):
            content = await read_chunks(reader)
        elif "content-length" in found:
            content = await reader.readexactly(int(found["content-length"]))
        else:
            content = await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError):
        is_complete = False
    return Answer(status, found, content, is_complete)


def route(name, prefix, kind, service, **changes):
    return {
        "name": name,
        "host": "pule25.example",
        "prefix": prefix,
        "kind": kind,
        "service": service,
        "timeoutMs": 10000,
        "targetLatencyMs": 1700,
        "priority": 1,
        "maxAttempts": 1,
        "public": False,
        **changes,
    }


def configuration(version, routes, services):
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {"name": "bozi300", "apiKeys": ["9dnn2ctnfzs989anu6ws"], "priority": 1}
        ],
    }


KEY = "9dnn2ctnfzs989anu6ws"


class World:
    """A deployment that a case starts and ends."""

    def __init__(self, folder):
        self.subnet = Subnet()
        self.record = Record(folder)
        self.folder = tempfile.TemporaryDirectory(prefix="aspendrift-case-")
        self.store = Store(self.subnet.free(2))
        self.servers = [self.store]
        self.gateways = []

    def address(self, number):
        return self.subnet.free(number)

    def add(self, server):
        self.servers.append(server)
        return server

    def gateway(self, number, **changes):
        found = Gateway(self.subnet, number, self.store, self.folder.name, **changes)
        self.gateways.append(found)
        return found

    async def start(self):
        for server in self.servers:
            await server.start()
        for each in self.gateways:
            each.start()
        for each in self.gateways:
            await each.until_ready()

    async def stop(self):
        for each in self.gateways:
            each.kill()
        for server in self.servers:
            await server.stop()

    def keep_logs(self, folder):
        for each in self.gateways:
            if each.log_path.exists():
                (Path(folder) / f"{each.name}.log").write_bytes(
                    each.log_path.read_bytes()
                )


def run(case_file, play):
    """Play a case; exit with 1 if a rule was broken, 0 if not, 2 if it couldn't run."""
    folder = Path(case_file).resolve().parent
    # A case that is ended early ends its processes too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))

    async def main():
        world = World(folder)
        try:
            await play(world)
        finally:
            await world.stop()
            if os.environ.get("KEEP_LOGS"):
                world.keep_logs(os.environ["KEEP_LOGS"])
            world.folder.cleanup()
        return world

    try:
        world = asyncio.run(main())
    except Exception as error:
        import traceback

        traceback.print_exc()
        print(f"could not run: {error}", file=sys.stderr)
        sys.exit(2)
    broken = world.record.broken
    world.record.add("end:", len(broken), "breaches")
    world.record.close()
    print(
        f"{len(broken)} breaches",
        *(f"{rule}: {words}" for rule, words in broken[:5]),
        sep="\n",
    )
    sys.exit(1 if broken else 0)
