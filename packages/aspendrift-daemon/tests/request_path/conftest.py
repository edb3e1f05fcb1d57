"""Fakes for the interfaces of the request service, and a network of daemons."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

import msgspec
import pytest

from aspendrift_daemon.events import EventHub
from aspendrift_daemon.interfaces import (
    Committed,
    Conflict,
    NotWritten,
    RowsRead,
    StoreUnavailable,
    WriteUnknown,
)
from aspendrift_daemon.requests import RequestService
from aspendrift_daemon.targets import Broken, NotSent, StageAnswered, TimedOut
from aspendrift_model.accounts import ClientAccount
from aspendrift_model.configuration import Configuration
from aspendrift_model.contracts import Contract
from aspendrift_model.digests import token_digest
from aspendrift_model.hosts import Host, Location
from aspendrift_model.outcomes import Refused
from aspendrift_model.profiles import Profile, Stage
from aspendrift_model.settings_requests import RequestSettings
from aspendrift_model.states import MemberState, RefusalReason, StageKind, TargetKind
from aspendrift_model.targets import Target
from aspendrift_model.wire_caller import RequestBody
from aspendrift_model.wire_platform import Row
from aspendrift_model.wire_target import GeneratedEnd, GeneratedToken
from aspendrift_policy.claims import decode_claim
from aspendrift_policy.interfaces import CandidateScore, RouteChoice, RouteReason
from aspendrift_standins.virtual_time import run_virtual


class VirtualClock:
    """Clock of a daemon on the loop's time; ``offset`` differs between hosts."""

    def __init__(self, offset):
        self.offset = offset

    def monotonic(self):
        return asyncio.get_running_loop().time() + self.offset

    def unix(self):
        return 1.7e9 + asyncio.get_running_loop().time()


STALL_TIMEOUT_S = 1.5


class FakeTable:
    """In-memory table with faults that a test can switch on."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.down = False
        self.lose_answers = 0
        self.delayed_effects = 0
        self.hold = None
        self.pending = []
        self.n_transactions = 0

    def row(self, key):
        return self.rows.get(key, Row(key, 0, None))

    async def read(self, keys):
        await asyncio.sleep(0)
        if self.down:
            return StoreUnavailable("down")
        return RowsRead(tuple(self.row(key) for key in keys))

    async def scan(self, prefix, after="", limit=500):
        if self.down:
            return StoreUnavailable("down")
        keys = sorted(k for k in self.rows if k.startswith(prefix) and k > after)
        return RowsRead(tuple(self.rows[key] for key in keys[:limit]))

    async def transact(self, conditions, writes):
        await asyncio.sleep(0)
        if self.hold is not None:
            await self.hold.wait()
        if self.down:
            return NotWritten("down")
        if self.delayed_effects:
            self.delayed_effects -= 1
            self.pending.append((conditions, writes))
            return WriteUnknown("lost")
        result = self.apply(conditions, writes)
        if self.lose_answers:
            self.lose_answers -= 1
            return WriteUnknown("lost")
        return result

    def apply(self, conditions, writes):
        failed = [c.key for c in conditions if self.row(c.key).version != c.version]
        if failed:
            return Conflict(tuple(self.row(key) for key in failed))
        self.version += 1
        self.n_transactions += 1
        for write in writes:
            self.rows[write.key] = Row(write.key, self.version, write.value)
        return Committed(self.version)


class HostState:
    """Whether the daemon on a host is running, paused or killed."""

    def __init__(self):
        self.running = asyncio.Event()
        self.running.set()
        self.killed = False

    async def gate(self):
        if self.killed:
            await asyncio.get_running_loop().create_future()
        await self.running.wait()


class DaemonView:
    """Access of one daemon to the table; calls of a paused daemon block."""

    def __init__(self, table, state):
        self.table = table
        self.state = state
        self.cut_off = False

    async def _through(self, call, *args):
        await self.state.gate()
        result = await call(*args)
        await self.state.gate()
        return result

    async def read(self, keys):
        if self.cut_off:
            return StoreUnavailable("cut off")
        return await self._through(self.table.read, keys)

    async def scan(self, prefix, after="", limit=500):
        if self.cut_off:
            return StoreUnavailable("cut off")
        return await self._through(self.table.scan, prefix, after, limit)

    async def transact(self, conditions, writes):
        if self.cut_off:
            return NotWritten("cut off")
        return await self._through(self.table.transact, conditions, writes)


class DaemonTargets:
    """Access of one daemon to the targets; calls of a paused daemon block."""

    def __init__(self, targets, state):
        self.targets = targets
        self.state = state

    async def call(self, target, call, timeout_s):
        await self.state.gate()
        result = await self.targets.call(target, call, timeout_s)
        await self.state.gate()
        return result

    async def generate(self, target, call, timeout_s):
        await self.state.gate()
        async for item in self.targets.generate(target, call, timeout_s):
            await self.state.gate()
            yield item

    async def resume(self, target, call, after, timeout_s):
        await self.state.gate()
        async for item in self.targets.resume(target, call, after, timeout_s):
            await self.state.gate()
            yield item

    async def cancel(self, target, attempt_id):
        await self.state.gate()
        return await self.targets.cancel(target, attempt_id)


class FakeBus:
    """Bus between daemons in one process; a cut bus loses all messages."""

    def __init__(self, network, host):
        self.network = network
        self.host = host
        self.handlers = {}
        self.cut = False
        self.drops_outgoing = False
        self.lossy = None

    def subscribe(self, topic, handler):
        self.handlers.setdefault(topic, []).append(handler)

    def broadcast(self, topic, payload):
        for bus in self.network.buses:
            if bus is not self:
                self._deliver(bus, topic, payload)

    def send(self, daemon_id, topic, payload):
        for bus in self.network.buses:
            if bus.host.daemon_id == daemon_id:
                self._deliver(bus, topic, payload)

    def _deliver(self, bus, topic, payload):
        if self.cut or bus.cut or self.drops_outgoing:
            return
        if self.lossy is not None and self.lossy.random() < 0.5:
            return
        for handler in bus.handlers.get(topic, ()):
            handler(self.host.daemon_id, payload)

    def members(self):
        return [
            (bus.host, bus.state)
            for bus in self.network.buses
            if bus.state is not MemberState.DEAD
        ]

    state = MemberState.LIVE


class FakeConfiguration:
    def __init__(self, configuration):
        self.configuration = configuration

    def current(self):
        return self.configuration

    def on_change(self, listener):
        pass


@dataclass
class FakeDispatcher:
    """Chooses a target that is not excluded: the first, or a random one with `rng`."""

    targets: list
    refusal: Any = None
    queries: list = field(default_factory=list)
    held: Counter = field(default_factory=Counter)
    admitted: set = field(default_factory=set)
    rng: Any = None
    down: Any = ()
    waits: bool = False

    def admit(self, offer):
        if self.refusal is not None:
            return self.refusal
        self.admitted.add(offer.request_id)
        return None

    def depart(self, request_id):
        self.admitted.discard(request_id)

    async def acquire(self, query):
        await asyncio.sleep(0)
        self.queries.append(query)
        for _ in range(1000 if self.waits else 0):
            if self._available_targets(query):
                break
            await asyncio.sleep(0.01)
        available = self._available_targets(query)
        if not available:
            return Refused(RefusalReason.NO_TARGET)
        target = self.rng.choice(available) if self.rng else available[0]
        self.held[target.target_id] += 1
        scores = (CandidateScore(target.target_id, 0.0),)
        return RouteChoice(target, RouteReason.LEAST_LOADED, scores)

    def _available_targets(self, query):
        return [
            target
            for target in self.targets
            if target.pool == query.stage.pool
            and target.target_id not in query.excluded
            and target.target_id not in self.down
        ]

    def release(self, query, choice, result):
        self.held[choice.target.target_id] -= 1


class FakeTargets:
    """Targets whose behaviour a test can script.

    ``scripts`` maps a target id to a list of behaviours, one per attempt; the
    last one is repeated. A behaviour is an async function of the call, or None
    for a normal answer.
    """

    def __init__(self):
        self.scripts = {}
        self.ran = Counter()
        self.calls = []
        self.cancelled = []
        self.down = set()

    def behaviour(self, target):
        script = self.scripts.get(target.target_id, [None])
        return script.pop(0) if len(script) > 1 else script[0]

    async def call(self, target, call, timeout_s):
        self.calls.append((target.target_id, call))
        if target.target_id in self.down:
            return NotSent("down")
        behaviour = self.behaviour(target)
        if behaviour is not None:
            try:
                async with asyncio.timeout(timeout_s):
                    return await behaviour(call)
            except TimeoutError:
                return TimedOut()
        self.ran[call.request_id] += 1
        output = msgspec.json.encode(f"{call.stage}:{call.input}")
        return StageAnswered(output, 1.0)

    async def generate(self, target, call, timeout_s):
        self.calls.append((target.target_id, call))
        if target.target_id in self.down:
            yield NotSent("down")
            return
        async for item in _with_timeout(self._generated(target, call), timeout_s):
            yield item

    async def _generated(self, target, call):
        behaviour = self.behaviour(target)
        async for item in (behaviour or tokens)(call):
            yield item

    async def resume(self, target, call, after, timeout_s):
        self.calls.append((target.target_id, ("resume", after)))
        behaviour = self.behaviour(target)
        items = tokens(call, after) if behaviour is None else behaviour(call)
        async for item in _with_timeout(items, timeout_s):
            yield item

    async def cancel(self, target, attempt_id):
        self.cancelled.append((target.target_id, attempt_id))
        return True


async def _with_timeout(items, timeout_s):
    """Yield items, then a failure if the time-out expires or the stream stalls."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + timeout_s
    while True:
        try:
            async with asyncio.timeout_at(min(ends_at, loop.time() + STALL_TIMEOUT_S)):
                item = await anext(items, None)
        except TimeoutError:
            is_overdue = loop.time() >= ends_at
            yield TimedOut() if is_overdue else Broken("stalled")
            return
        if item is None:
            return
        yield item


async def tokens(call, after=None, until=None):
    """Yield the tokens of a complete answer; they depend only on the input."""
    texts = [f"{call.input}-{n} " for n in range(1, call.max_tokens + 1)]
    first = len(call.prefix_tokens) if after is None else after
    for n, text in enumerate(texts, 1):
        if n > first and (until is None or n <= until):
            await asyncio.sleep(0)
            yield GeneratedToken(call.attempt_id, n, text)
    if until is None:
        yield GeneratedEnd(call.attempt_id, len(texts), token_digest(texts), 2.0)


def target(name, pool, kind=TargetKind.SERVICE):
    return Target(name, pool, kind, "http://127.0.0.1:1", "z1", "r1")


TARGETS = [
    target("pool-1", "pools", TargetKind.STAGE_POOL),
    target("pool-2", "pools", TargetKind.STAGE_POOL),
    target("engine-1", "engines", TargetKind.ENGINE),
    target("engine-2", "engines", TargetKind.ENGINE),
    target("engine-3", "engines", TargetKind.ENGINE),
    target("service-1", "services"),
    target("service-2", "services"),
]


def profile(name, kinds, *, idempotent=True, deadline_ms=2000):
    pools = {StageKind.GENERATE: "engines", StageKind.CALL: "services"}
    stages = tuple(
        Stage(
            kind.value,
            kind,
            pools.get(kind, "pools"),
            expected_ms=10.0,
            max_tokens=8 if kind is StageKind.GENERATE else 0,
        )
        for kind in kinds
    )
    return Profile(name, stages, Contract(deadline_ms, idempotent=idempotent))


K = StageKind
PROFILES = [
    profile("briefing", [K.ENCODE, K.RETRIEVE, K.RERANK, K.GENERATE]),
    profile("deposit", [K.CALL], idempotent=False),
    profile("letter", [K.ENCODE, K.GENERATE], idempotent=False),
    profile("log", [K.CALL]),
    profile("chat", [K.GENERATE], deadline_ms=10_000),
    profile("notice", [K.GENERATE], idempotent=False, deadline_ms=10_000),
]


class Network:
    """Daemons that share a table and are connected by a bus."""

    def __init__(self, n_daemons=1, settings=None):
        self.table = FakeTable()
        self.buses = []
        self.targets = FakeTargets()
        self.settings = settings or RequestSettings(
            claim_held_wait_ms=200,
            outcome_store_wait_ms=50,
            claim_timeout_ms=300,
            claim_view_age_s=0.0,
            poison_settle_ms=30,
        )
        self.dispatchers = []
        self.events = []
        self.services = []
        self.hosts = []
        self.views = []
        self.account = ClientAccount("kaapwind", "")
        for _ in range(n_daemons):
            self.add_daemon()

    def add_daemon(self):
        number = len(self.services) + 1
        host_state = HostState()
        self.hosts.append(host_state)
        view = DaemonView(self.table, host_state)
        self.views.append(view)
        host = Host(f"d{number}", 1, Location("z1", "r1"), "http://x", "tcp://x")
        bus = FakeBus(self, host)
        self.buses.append(bus)
        dispatcher = FakeDispatcher(
            self.dispatchers[0].targets if self.dispatchers else TARGETS
        )
        hub = EventHub()
        hub.connect_all(self.events.append)
        configuration = Configuration(
            7,
            {each.name: each for each in PROFILES},
            {each.target_id: each for each in TARGETS},
            {},
        )
        service = RequestService(
            self.settings,
            host.daemon_id,
            VirtualClock(1000.0 * number),
            view,
            bus,
            FakeConfiguration(configuration),
            dispatcher,
            DaemonTargets(self.targets, host_state),
            hub,
            random.Random(number),
            addresses=lambda: ("http://other",),
        )
        self.dispatchers.append(dispatcher)
        self.services.append(service)
        return service

    async def __aenter__(self):
        for service in self.services:
            await service.start()
        return self

    async def __aexit__(self, *exc_info):
        for service in self.services:
            await service.stop()
        for dispatcher, host in zip(self.dispatchers, self.hosts, strict=True):
            if not host.killed:
                assert not dispatcher.admitted
                assert not any(dispatcher.held.values())

    def send(self, body, daemon=0, sink=None):
        return self.services[daemon].run(self.account, body, sink)

    async def kill(self, daemon):
        """Kill a daemon: nothing that it does has an effect from then on."""
        self.hosts[daemon].killed = True
        self.buses[daemon].state = MemberState.DEAD
        self.buses[daemon].cut = True

    def claim(self, request_id="r1"):
        """Return the record of a claim, or None."""
        value = self.table.row(f"claim/kaapwind/{request_id}").value
        return None if value is None else decode_claim(value)

    def named(self, name):
        return [event for event in self.events if event.name == name]


def body(request_id="r1", profile="briefing", text="hello", **more):
    return RequestBody(request_id, profile, text, **more)


@dataclass
class Toolbox:
    """Helpers shared by the tests of this folder."""

    network: Callable[..., Network] = Network
    body: Callable[..., RequestBody] = staticmethod(body)
    tokens: Callable[..., Any] = staticmethod(tokens)
    run: Callable[[Coroutine[Any, Any, Any]], Any] = staticmethod(run_virtual)

    @staticmethod
    def engines(names):
        return [target(name, "engines", TargetKind.ENGINE) for name in names]

    @staticmethod
    def after_run(targets: FakeTargets, result: Any) -> Callable[..., Awaitable[Any]]:
        """Return a behaviour that runs the call and then returns a result."""

        async def behaviour(call):
            targets.ran[call.request_id] += 1
            return result

        return behaviour

    @staticmethod
    def broken(crashed: bool = False) -> Broken:
        return Broken("cut", crashed)


@pytest.fixture
def box():
    return Toolbox()
