"""Configuration and membership of a few daemons over fakes, in virtual time."""

from __future__ import annotations

import asyncio
import contextvars
import random
from collections.abc import Callable, Coroutine, Iterator, Sequence
from typing import Any, TypeVar

import msgspec
import pytest

from aspendrift_daemon.configuration import ConfigurationManager
from aspendrift_daemon.events import Event, EventHub
from aspendrift_daemon.interfaces import (
    Committed,
    Conflict,
    MessageHandler,
    NotWritten,
    RowsRead,
    StoreUnavailable,
    TransactResult,
    WriteUnknown,
)
from aspendrift_daemon.membership import MembershipManager
from aspendrift_daemon.peers import LinkCounters
from aspendrift_model.hosts import Host, Location
from aspendrift_model.ids import DaemonId, Incarnation, RegionName, ZoneName
from aspendrift_model.settings_peers import PeerSettings
from aspendrift_model.states import ItemKind, MemberState
from aspendrift_model.wire_operator import ChangeRequest
from aspendrift_model.wire_platform import Condition, Row, Write
from aspendrift_policy.membership import MemberView

_T = TypeVar("_T")
_LATENCY_S = 0.002


_daemon_name: contextvars.ContextVar[str] = contextvars.ContextVar("daemon")


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose time jumps to the next timer instead of waiting.

    Callbacks of a paused daemon are suspended and run when it resumes.
    """

    def __init__(self) -> None:
        self._virtual_now = 1000.0
        self._suspended_by_name: dict[str, list[tuple[Any, ...]]] = {}
        super().__init__()
        wait = self._selector.select

        def select(timeout: float | None = None) -> Any:
            self._virtual_now += timeout or 0.0
            return wait(0)

        self._selector.select = select

    def time(self) -> float:
        return self._virtual_now

    def call_soon(self, callback: Any, *args: Any, context: Any = None) -> Any:
        suspendable = self._suspendable(callback, context)
        return super().call_soon(suspendable, *args, context=context)

    def call_at(
        self, when: float, callback: Any, *args: Any, context: Any = None
    ) -> Any:
        suspendable = self._suspendable(callback, context)
        return super().call_at(when, suspendable, *args, context=context)

    def pause(self, name: str) -> None:
        self._suspended_by_name.setdefault(name, [])

    def resume(self, name: str) -> None:
        for callback, args, context in self._suspended_by_name.pop(name, []):
            self.call_soon(callback, *args, context=context)

    def _suspendable(self, callback: Any, context: Any) -> Any:
        context = contextvars.copy_context() if context is None else context
        name = context.get(_daemon_name)
        if name is None:
            return callback

        def run(*args: Any) -> None:
            if name in self._suspended_by_name:
                self._suspended_by_name[name].append((callback, args, context))
            else:
                callback(*args)

        return run


class LoopClock:
    """The clocks of the process, read from the loop."""

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop

    def monotonic(self) -> float:
        return self._loop.time()

    def unix(self) -> float:
        return self._loop.time()


class FakeTable:
    """Transactional table in memory, with faults."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.version = 0
        self.n_reads = 0
        self.is_down = False
        self.delay_s = 0.001
        self.loses_answers = False
        self.rows_per_s = 0.0
        self._budget_used_until = 0.0
        self.on_commit: Callable[[], None] = lambda: None

    def _row(self, key: str) -> Row:
        return self.rows.get(key, Row(key, 0, None))

    async def _reachable(self) -> bool:
        self.n_reads += 1
        await asyncio.sleep(self.delay_s)
        return not self.is_down

    def _is_over_rate(self, n_rows: int) -> bool:
        """Consume rows from a budget that refills within a second."""
        if not self.rows_per_s:
            return False
        now = asyncio.get_running_loop().time()
        earliest = max(self._budget_used_until, now - 1.0)
        if earliest + n_rows / self.rows_per_s > now:
            return True
        self._budget_used_until = earliest + n_rows / self.rows_per_s
        return False

    async def read(self, keys: Sequence[str]) -> RowsRead | StoreUnavailable:
        if not await self._reachable():
            return StoreUnavailable("down")
        if self._is_over_rate(len(keys)):
            return StoreUnavailable("over rate", over_rate=True)
        return RowsRead(tuple(self._row(key) for key in keys))

    async def scan(
        self, prefix: str, after: str = "", limit: int = 500
    ) -> RowsRead | StoreUnavailable:
        if not await self._reachable():
            return StoreUnavailable("down")
        keys = [k for k in sorted(self.rows) if k.startswith(prefix) and k > after]
        keys = keys[:limit]
        if self._is_over_rate(len(keys)):
            return StoreUnavailable("over rate", over_rate=True)
        return RowsRead(tuple(self.rows[key] for key in keys))

    async def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> TransactResult:
        if not await self._reachable():
            return NotWritten("down")
        failed = tuple(
            self._row(each.key)
            for each in conditions
            if self._row(each.key).version != each.version
        )
        if failed:
            return Conflict(failed)
        self.version += 1
        for write in writes:
            self.rows[write.key] = Row(write.key, self.version, write.value)
        self.on_commit()
        if self.loses_answers:
            return WriteUnknown("answer lost")
        return Committed(self.version)


class FakeLink:
    """The methods of the peer link that the managers use, over a simulated network."""

    def __init__(self, world: World, host: Host, seeds: Sequence[Host]) -> None:
        self._world = world
        self._seeds = seeds
        self._handlers: dict[str, list[MessageHandler]] = {}
        self.counters = LinkCounters()
        self.announced_features = 0
        self.announced_by_id: dict[DaemonId, int] = {}
        self._listed: Any = None
        self._hosts: Sequence[tuple[Host, MemberState]] = ()
        self.view = MemberView(host, world.clock.monotonic())
        self.view.queue_update(host.daemon_id)
        self.add_seeds()

    @property
    def host(self) -> Host:
        return self.view.own.host

    def subscribe(self, topic: str, handler: MessageHandler) -> None:
        self._handlers.setdefault(topic, []).append(handler)

    def broadcast(self, topic: str, payload: bytes) -> None:
        for member in self.view.peers():
            self.send(member.host.daemon_id, topic, payload)

    def send(self, daemon_id: DaemonId, topic: str, payload: bytes) -> None:
        self._world.transmit(self.host.daemon_id, daemon_id, topic, payload)

    def receive(self, origin: DaemonId, topic: str, payload: bytes) -> None:
        for handler in self._handlers.get(topic, ()):
            handler(origin, payload)

    def members(self) -> Sequence[tuple[Host, MemberState]]:
        members = self.view.members()
        if members is not self._listed:
            self._listed = members
            self._hosts = [(member.host, member.state) for member in members]
        return self._hosts

    def record_features(self, daemon_id: DaemonId, features: int) -> None:
        self.announced_by_id[daemon_id] = features

    def add_seeds(self) -> None:
        for host in self._seeds:
            self.view.add_seed(host, self._world.clock.monotonic())

    async def is_refused(self, host: Host) -> bool:
        passes, name = self._world.passes, host.daemon_id
        is_connected = passes(self.host.daemon_id, name) and passes(
            name, self.host.daemon_id
        )
        return is_connected and name not in self._world.daemons

    def close_idle(self, now: float) -> None:
        pass


class Daemon:
    """The configuration and membership components of one daemon."""

    def __init__(self, world: World, host: Host, seeds: Sequence[Host]) -> None:
        clock, settings = world.clock, world.settings
        rng = random.Random(f"{host.daemon_id}/{host.incarnation}/{world.seed}")
        hub = EventHub()
        hub.connect_all(world.events.append)
        self.context = contextvars.copy_context()
        self.context.run(_daemon_name.set, host.daemon_id)
        self.link = FakeLink(world, host, seeds)
        self.configuration = ConfigurationManager(
            world.table, self.link, clock, hub, rng, settings, host.daemon_id
        )
        self.membership = MembershipManager(
            self.link, None, settings, clock, hub, rng, self.configuration
        )
        self.revisions: list[int] = []
        self.configuration.on_change(lambda each: self.revisions.append(each.revision))

    async def start(self) -> None:
        await self.run(self._start())

    async def run(self, work: Coroutine[Any, Any, _T]) -> _T:
        """Run in the daemon's context, so that the work stops while it is paused."""
        return await asyncio.create_task(work, context=self.context)

    async def _start(self) -> None:
        await self.configuration.start()
        await self.membership.start()

    async def stop(self) -> None:
        await self.membership.stop()
        await self.configuration.stop()

    def states(self) -> dict[str, MemberState]:
        members = self.link.view.members_by_id
        return {name: member.state for name, member in members.items()}

    def refusal(self, now: float) -> Any:
        return self.configuration.may_serve(now)


class World:
    """Daemons d0, d1, ... in zones a, b, c over one table and one network.

    ``passes`` decides whether a message is delivered; a daemon that is not running
    receives none.
    """

    def __init__(self, loop: VirtualLoop, seed: int = 1) -> None:
        self.loop = loop
        self.seed = seed
        self.clock = LoopClock(loop)
        self.settings = PeerSettings()
        self.table = FakeTable()
        self.events: list[Event] = []
        self.rng = random.Random(seed)
        self.daemons: dict[str, Daemon] = {}
        self.passes: Callable[[str, str], bool] = lambda origin, to: True
        self._n_starts = 0

    def run(self, work: Coroutine[Any, Any, _T]) -> _T:
        return self.loop.run_until_complete(work)

    def now(self) -> float:
        return self.clock.monotonic()

    def transmit(self, origin: str, to: str, topic: str, payload: bytes) -> None:
        if self.passes(origin, to):
            message = (DaemonId(origin), to, topic, payload)
            outside = contextvars.Context()
            self.loop.call_later(_LATENCY_S, self._deliver, *message, context=outside)

    def _deliver(self, origin: DaemonId, to: str, topic: str, payload: bytes) -> None:
        daemon = self.daemons.get(to)
        if daemon is not None:
            receive = daemon.link.receive
            self.loop.call_soon(receive, origin, topic, payload, context=daemon.context)

    async def start(self, *names: str) -> None:
        for name in names:
            self._n_starts += 1
            index = int(name[1:])
            place = Location(ZoneName("abc"[index % 3]), RegionName("r"))
            host = Host(
                DaemonId(name),
                Incarnation(self._n_starts),
                place,
                f"http://{name}",
                f"tcp://127.0.0.1:{1 + index}",
            )
            seeds = [
                Host(DaemonId(each), Incarnation(0), place, "", f"tcp://{each}")
                for each in ("d0", "d1")
                if each != name
            ]
            self.daemons[name] = Daemon(self, host, seeds)
        await asyncio.gather(*(self.daemons[name].start() for name in names))

    async def kill(self, name: str) -> None:
        self.loop.resume(name)
        await self.daemons.pop(name).stop()

    async def stop(self) -> None:
        for name in list(self.daemons):
            await self.kill(name)

    async def until(self, condition: Callable[[], bool], limit_s: float) -> float:
        """Wait for a condition; return the seconds it took or fail."""
        started = self.now()
        while not condition():
            assert self.now() - started < limit_s, "condition not met in time"
            await asyncio.sleep(0.05)
        return self.now() - started

    def have_converged(self) -> bool:
        n = len(self.daemons)
        views = [daemon.link.view for daemon in self.daemons.values()]
        same = len({view.view_hash for view in views}) == 1
        return same and all(len(view.members()) == n for view in views)

    def all_hold(self, revision: int) -> bool:
        configurations = [daemon.configuration for daemon in self.daemons.values()]
        return all(
            configuration.current().revision == revision
            for configuration in configurations
        )

    def all_serve(self) -> bool:
        return all(d.refusal(self.now()) is None for d in self.daemons.values())

    def change(
        self, change_id: str, name: str = "x", seen: int = 0, share: float = 1.0
    ) -> ChangeRequest:
        body = {"account_id": name, "token_sha256": "00", "share": share}
        raw = msgspec.Raw(msgspec.json.encode(body))
        return ChangeRequest(change_id, ItemKind.ACCOUNT, name, seen, raw)

    def target(self, change_id: str, seen: int, state: str) -> ChangeRequest:
        place = {"zone": "a", "region": "r", "pool": "p", "kind": "engine"}
        body = {"target_id": "t", "url": "http://t", "state": state} | place
        raw = msgspec.Raw(msgspec.json.encode(body))
        return ChangeRequest(change_id, ItemKind.TARGET, "t", seen, raw)


@pytest.fixture
def world() -> Iterator[World]:
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    created = World(loop)
    yield created
    created.run(created.stop())
    asyncio.set_event_loop(None)
    loop.close()
