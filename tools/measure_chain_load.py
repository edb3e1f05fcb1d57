"""Play chains over several stage pools beyond their capacity, in virtual time.

Runs the decision objects of several daemons (admission, stage runs, dispatchers,
schedulers) over links with latency, against targets that only wait. Prints a Markdown
table of the share of requests that are on time by load, rank, account and size, for
the product's policies and for first come, first served, and the cost of one decision.
"""

from __future__ import annotations

import asyncio
import json
import math
import random
import statistics
import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field, fields
from types import SimpleNamespace
from typing import Any, Final

from aspendrift_daemon.events import EventHub
from aspendrift_gateway.interfaces import AnswerHead, HttpCall
from aspendrift_gateway.stage_dispatcher import StageDispatcher
from aspendrift_gateway.stage_run import StageDemand, StagesCompleted, StagesRunner
from aspendrift_gateway.system_state import SystemState
from aspendrift_gateway.target_client import CompleteAnswer
from aspendrift_model.hosts import Host, HostCapacity, Location
from aspendrift_model.ids import (
    AccountId,
    AttemptId,
    DaemonId,
    Incarnation,
    PoolName,
    RegionName,
    TargetId,
    ZoneName,
)
from aspendrift_model.pieces import Handle, PieceFailure
from aspendrift_model.routes import (
    PieceLimits,
    PoolSpec,
    RequestKind,
    Route,
    RoutingConfiguration,
    StageSpec,
    WeightedPool,
)
from aspendrift_model.states import MemberState
from aspendrift_model.target_entries import TargetEntry, TargetKey
from aspendrift_policy.chain_admission import (
    Admit,
    Chain,
    ChainAdmission,
    PoolMeasures,
    RankLoad,
)
from aspendrift_policy.naive import AdmitAll
from aspendrift_policy.route_table import RouteTable
from aspendrift_policy.stage_plan import StagePlan
from aspendrift_policy.stage_scheduler import StageScheduler
from aspendrift_policy.stage_times import StageTimeEstimates
from aspendrift_standins.virtual_time import VirtualClock, run_virtual

__all__ = ["LEARNED", "FIRST_COME", "Load", "Play", "Result", "Variant"]

# Stage pools of the deployment Pakkasafn with fewer targets each: configured limits,
# number of targets, and the fixed time and time per piece that calls really take.
POOLS: Final = {
    PoolName("first"): (PieceLimits(1, 2, 15, 0.15, 0.00853, 90e6, 6.0), 3, 0.15, 0.01),
    PoolName("second"): (
        PieceLimits(1, 2, 56, 0.15, 0.00225, 10.3e6, 6.0),
        3,
        0.15,
        0.0025,
    ),
    PoolName("third"): (
        PieceLimits(1, 2, 96, 0.15, 0.0013, 1.7e6, 6.0),
        3,
        0.15,
        4.4e-3,
    ),
}
STAGES: Final = (
    StageSpec(0, PoolName("first"), (), 8e3),
    StageSpec(1, PoolName("second"), (0,), 60e3),
    StageSpec(2, PoolName("third"), (1,), 6e3),
)
USUAL_PIECES: Final = (1, 8, 16)
# The largest tenth of the requests.
LARGE_PIECES: Final = (1, 16, 40)
LARGE_SHARE: Final = 0.1
# Chains per second that the third pool completes with full calls.
CAPACITY_PER_S: Final = 3 * 96 / (0.15 + 96 * 4.4e-3) / (16 * 0.9 + 40 * 0.1)
OBJECTIVE_S: Final = 1.45
# Rank, share of the requests and caller timeout of each kind of request.
KINDS: Final = ((0, 0.6, 6.2), (2, 0.4, 10.2))
# One account sends half of the requests.
N_ACCOUNTS: Final = 8
LARGE_ACCOUNT: Final = AccountId("a0")
N_DAEMONS: Final = 6
LATENCY_S: Final = 0.003
# Time of the first event of a model engine.
FIRST_EVENT_S: Final = 0.25


@dataclass(frozen=True, slots=True)
class Variant:
    """Policies of all daemons of a play."""

    name: str
    admission: Callable[[random.Random], ChainAdmission]
    scheduler: Callable[[PieceLimits], StageScheduler]


class FirstComeScheduler(StageScheduler):
    """Serves jobs in the order of their submission, with full calls."""

    is_fifo = True


LEARNED: Final = Variant("learned", ChainAdmission, StageScheduler)
FIRST_COME: Final = Variant("first come", AdmitAll, FirstComeScheduler)


@dataclass(frozen=True, slots=True)
class Load:
    """Arrivals as multiples of the capacity, from each time on."""

    steps: tuple[tuple[float, float], ...]
    until_s: float

    def factor(self, now: float) -> float:
        """Return the multiple at a time."""
        return next(factor for at, factor in reversed(self.steps) if at <= now)


@dataclass(slots=True)
class Result:
    """What became of one request."""

    rank: int
    account: AccountId
    is_large: bool
    arrived_at: float
    outcome: str = "open"
    took_s: float = 0.0
    retry_after_s: float = 0.0

    @property
    def is_on_time(self) -> bool:
        """Whether the first event came within the objective."""
        return self.outcome == "served" and self.took_s <= OBJECTIVE_S


class _Network:
    def __init__(self) -> None:
        self.links: list[_Link] = []


class _Link:
    """Delivers messages to the other daemons after the latency.

    All that a daemon sends passes its host's own link, one after the other.
    """

    def __init__(
        self, network: _Network, name: str, bits_per_s: float = math.inf
    ) -> None:
        location = Location(ZoneName("z1"), RegionName("r"))
        capacity = HostCapacity(1.0, bits_per_s)
        self.host = Host(
            DaemonId(name), Incarnation(1), location, "", "", capacity=capacity
        )
        self._bits_per_s = bits_per_s
        self._free_at = 0.0
        self._handlers: list[Callable[[DaemonId, bytes], None]] = []
        self._network = network
        network.links.append(self)
        self._members: list[tuple[Host, MemberState]] = []
        self._capacity_by_id: dict[DaemonId, HostCapacity] = {}

    def subscribe(self, topic: str, handler: Callable[[DaemonId, bytes], None]) -> None:
        self._handlers.append(handler)

    def members(self) -> list[tuple[Host, MemberState]]:
        if len(self._members) != len(self._network.links):
            links = self._network.links
            self._members = [(link.host, MemberState.LIVE) for link in links]
        return self._members

    def capacities(self) -> dict[DaemonId, HostCapacity]:
        if len(self._capacity_by_id) != len(self._network.links):
            self._capacity_by_id = {
                host.daemon_id: host.capacity for host, _ in self.members()
            }
        return self._capacity_by_id

    def live_ids(self) -> list[DaemonId]:
        return [host.daemon_id for host, _ in self.members()]

    def transfer_s(self, n_bytes: int) -> float:
        """Queue bytes for the link; return the time until the last one is sent."""
        now = asyncio.get_running_loop().time()
        sending_s = n_bytes * 8 / self._bits_per_s
        self._free_at = max(now, self._free_at) + sending_s
        return self._free_at - now

    def send(self, daemon_id: DaemonId, topic: str, payload: bytes) -> None:
        loop = asyncio.get_running_loop()
        delay_s = LATENCY_S + self.transfer_s(len(payload))
        for link in self._network.links:
            if link.host.daemon_id == daemon_id:
                for handler in link._handlers:
                    loop.call_later(delay_s, handler, self.host.daemon_id, payload)

    def send_each(self, ids: Iterable[DaemonId], topic: str, payload: bytes) -> None:
        for daemon_id in ids:
            if daemon_id != self.host.daemon_id:
                self.send(daemon_id, topic, payload)


class _Targets:
    """Stage targets: one call at a time, and memory for results."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._held: dict[TargetId, dict[str, float]] = {}
        self._locks: dict[TargetId, asyncio.Lock] = {}
        self.n_without_memory = 0

    async def send_and_read(
        self,
        target: TargetEntry,
        call: HttpCall,
        headers: object,
        now: float,
        is_sound: Callable[[CompleteAnswer], bool] = lambda answer: True,
    ) -> CompleteAnswer:
        content = json.loads(call.body)
        held = self._held.setdefault(target.key.target_id, {})
        if "free" in content:
            for handle in content["free"]:
                held.pop(handle, None)
        else:
            async with self._locks.setdefault(target.key.target_id, asyncio.Lock()):
                outcomes = await self._run(target, held, content["pieces"])
                content = {"pieces": outcomes}
        head = AnswerHead(None, False, False, False, False)
        answer = CompleteAnswer(200, (), head, json.dumps(content).encode())
        is_sound(answer)
        return answer

    async def _run(
        self, target: TargetEntry, held: dict[str, float], pieces: list[Any]
    ) -> list[str]:
        limits, _, call_s, piece_s = POOLS[target.pool]
        size = next(each.result_bytes for each in STAGES if each.pool == target.pool)
        now = asyncio.get_running_loop().time()
        for handle in [each for each, until in held.items() if until <= now]:
            del held[handle]
        n_free = max(0, int(limits.result_memory_bytes / size) - len(held))
        self.n_without_memory += max(0, len(pieces) - n_free)
        took_s = call_s + piece_s * min(n_free, len(pieces))
        await asyncio.sleep(took_s * self._rng.uniform(0.95, 1.1) if n_free else 0.004)
        outcomes = []
        for number, piece in enumerate(pieces):
            handle = f"{target.address}/{piece}.{now:.4f}"
            if number < n_free:
                held[handle] = now + took_s + limits.result_ttl_s
            outcomes.append(handle if number < n_free else "")
        return outcomes


class _TargetClient:
    """Sends the calls of one daemon over its host's link."""

    def __init__(self, targets: _Targets, link: _Link) -> None:
        self._targets = targets
        self._link = link

    async def send_and_read(
        self,
        target: TargetEntry,
        call: HttpCall,
        headers: object,
        now: float,
        is_sound: Callable[[CompleteAnswer], bool] = lambda answer: True,
    ) -> CompleteAnswer:
        await asyncio.sleep(self._link.transfer_s(len(call.body)))
        return await self._targets.send_and_read(target, call, headers, now, is_sound)


class _Codec:
    def stage_run(self, works: Sequence[Any]) -> HttpCall:
        pieces = [
            f"{work.piece_id.attempt_id}.{work.piece_id.stage}.{work.piece_id.piece}"
            for work in works
        ]
        inputs = [work.inputs for work in works]
        body = json.dumps({"pieces": pieces, "inputs": inputs}).encode()
        return HttpCall("POST", "/", body)

    def stage_free(self, handles: Sequence[Handle]) -> HttpCall:
        return HttpCall("POST", "/", json.dumps({"free": list(handles)}).encode())

    def stage_headers(self, target_id: TargetId) -> tuple[()]:
        return ()

    def stage_outcomes(self, body: bytes, n_pieces: int) -> tuple[Any, ...]:
        pieces = json.loads(body)["pieces"]
        return tuple(Handle(e) if e else PieceFailure.NO_MEMORY for e in pieces)

    def holder(self, handle: Handle) -> str:
        return handle.partition("/")[0]


def _entries() -> list[TargetEntry]:
    return [
        TargetEntry(
            TargetKey(TargetId(f"{pool}{number}"), 1),
            pool,
            f"{pool}{number}:1",
            ZoneName("z1"),
            1,
            False,
        )
        for pool, (_, n_targets, _, _) in POOLS.items()
        for number in range(n_targets)
    ]


def _route(rank: int, timeout_s: float) -> Route:
    pools = (WeightedPool(PoolName("model"), 1.0),)
    return Route(
        f"rank{rank}",
        "h",
        "/",
        RequestKind.STREAMING,
        timeout_s,
        OBJECTIVE_S,
        rank,
        pools,
        1,
        STAGES,
    )


@dataclass(slots=True)
class Play:
    """One play of a load against the daemons of one variant."""

    variant: Variant
    load: Load
    seed: int
    # Rates of the links of the daemons' hosts.
    bits_per_s: tuple[float, ...] = (math.inf,) * N_DAEMONS
    results: list[Result] = field(default_factory=list)
    n_without_memory: int = 0

    def run(self) -> Play:
        """Play the load and return the play with its results."""
        run_virtual(self._main())
        return self

    def share(
        self,
        which: Callable[[Result], bool] = lambda each: True,
        since_s: float = 0.0,
        outcome: Callable[[Result], bool] = lambda each: each.is_on_time,
    ) -> float:
        """Return the share of the selected requests that are on time."""
        found = [
            each
            for each in self.results
            if which(each) and since_s <= each.arrived_at < self.load.until_s
        ]
        return sum(outcome(each) for each in found) / max(1, len(found))

    async def _main(self) -> None:
        rng = random.Random(self.seed)
        clock = VirtualClock(asyncio.get_running_loop())
        network, targets = _Network(), _Targets(rng)
        pools = {
            name: PoolSpec(name, 10, limits) for name, (limits, *_) in POOLS.items()
        }
        daemons = []
        for number, bits_per_s in enumerate(self.bits_per_s):
            link = _Link(network, f"d{number}", bits_per_s)
            state = SystemState(None, EventHub())
            state.registry.replace(_entries(), 0.0)
            state.table = RouteTable(RoutingConfiguration(1, (), pools))
            admission = self.variant.admission(random.Random(f"{self.seed}/{number}"))
            dispatcher = StageDispatcher(
                link,  # type: ignore[arg-type]
                state,
                _TargetClient(targets, link),  # type: ignore[arg-type]
                _Codec(),  # type: ignore[arg-type]
                admission,
                clock,
                EventHub(),
                self.variant.scheduler,
            )
            await dispatcher.start()
            times = StageTimeEstimates()
            runner = StagesRunner(dispatcher, times, admission, clock, EventHub(), rng)
            daemons.append(SimpleNamespace(runner=runner, admission=admission))
        tasks = []
        while (now := clock.monotonic()) < self.load.until_s:
            await asyncio.sleep(rng.expovariate(self.load.factor(now) * CAPACITY_PER_S))
            tasks.append(
                asyncio.create_task(self._request(rng.choice(daemons), rng, pools))
            )
        await asyncio.gather(*tasks)
        self.n_without_memory = targets.n_without_memory
        for daemon in daemons:
            await daemon.runner.dispatcher.stop()

    async def _request(
        self, daemon: SimpleNamespace, rng: random.Random, pools: Any
    ) -> None:
        now = asyncio.get_running_loop().time()
        rank, _, timeout_s = rng.choices(KINDS, [share for _, share, _ in KINDS])[0]
        number = rng.randrange(1, N_ACCOUNTS) if rng.random() < 0.5 else 0
        is_large = rng.random() < LARGE_SHARE
        account = AccountId(f"a{number}")
        result = Result(rank, account, is_large, now)
        self.results.append(result)
        pieces = LARGE_PIECES if is_large else USUAL_PIECES
        n_targets = {pool: n for pool, (_, n, _, _) in POOLS.items()}
        route = _route(rank, timeout_s)
        chain = Chain(route, pieces, rank, n_targets, pools)
        deadline_at = now + timeout_s
        demand = StageDemand(route, pools, rank, now + OBJECTIVE_S, deadline_at)
        if "account_id" in {each.name for each in fields(StageDemand)}:
            demand = StageDemand(
                *(route, pools, rank, now + OBJECTIVE_S, deadline_at, None, account)
            )
        plan = StagePlan(
            AttemptId(f"r{len(self.results)}"), route.stages, pieces, "key"
        )
        # Versions without StagesRunner.admit decide once, by the caller's timeout.
        if hasattr(daemon.runner, "admit"):
            verdict = await daemon.runner.admit(chain, demand)
        else:
            verdict = daemon.admission.decide(chain, timeout_s - 0.5, now)
        if not isinstance(verdict, Admit):
            result.outcome = "refused"
            result.retry_after_s = verdict.retry_after_s
            return
        outcome = await daemon.runner.run(plan, demand)
        if isinstance(outcome, StagesCompleted):
            await asyncio.sleep(FIRST_EVENT_S)
            result.took_s = asyncio.get_running_loop().time() - now
            result.outcome = "served"
        else:
            result.outcome = "failed"
        daemon.runner.release(plan, route)


STEADY_S: Final = 24.0
SINCE_S: Final = 6.0
# A burst of 5 s leaves a backlog; arrivals are then just below the capacity.
AFTER_BURST: Final = Load(((0.0, 0.6), (3.0, 3.0), (8.0, 0.92)), 24.0)
AFTER_BURST_SINCE_S: Final = 10.0


def steady(factor: float) -> Load:
    """Return a constant load."""
    return Load(((0.0, factor),), STEADY_S)


def _row(name: str, variant: Variant, load: Load, since_s: float) -> str:
    play = Play(variant, load, 1).run()
    accounts = [AccountId(f"a{number}") for number in range(N_ACCOUNTS)]
    by_account = [
        play.share(lambda each, a=account: each.account == a, since_s)  # type: ignore[misc]
        for account in accounts
    ]
    cells = [
        name,
        variant.name,
        f"{play.share(since_s=since_s):.2f}",
        *(
            f"{play.share(lambda each, r=rank: each.rank == r, since_s):.2f}"  # type: ignore[misc]
            for rank, _, _ in KINDS
        ),
        f"{by_account[0]:.2f}",
        f"{min(by_account[1:]):.2f}",
        f"{play.share(lambda each: each.is_large, since_s):.2f}",
        f"{play.share(since_s=since_s, outcome=lambda e: e.outcome == 'served'):.2f}",
        f"{play.share(since_s=since_s, outcome=lambda e: e.outcome == 'refused'):.2f}",
        f"{play.n_without_memory}",
    ]
    return "| " + " | ".join(cells) + " |"


def _cost_us(decide: Callable[[], object]) -> float:
    """Return the median time of a decision, in microseconds."""
    durations_s = []
    for _ in range(300):
        started = time.perf_counter()
        decide()
        durations_s.append(time.perf_counter() - started)
    return statistics.median(durations_s) * 1e6


def _print_costs() -> None:
    # Imported here because tests load this file by its path.
    from measure_scheduler import plan_us

    pools = {name: PoolSpec(name, 10, limits) for name, (limits, *_) in POOLS.items()}
    admission = ChainAdmission(random.Random(0))
    chain = Chain(_route(0, 6.2), USUAL_PIECES, 0, dict.fromkeys(POOLS, 200), pools)
    for pool in POOLS:
        loads = tuple(RankLoad(rank, 1000, 400.0) for rank in range(3))
        on_time = tuple((rank, 100) for rank in range(3))
        measures = PoolMeasures(1e4, loads, 1e4, on_time=on_time)
        admission.update_measures(pool, measures, 0.0)
    decision_us = _cost_us(lambda: admission.decide_start(chain, 0, 1.1, 6, 0, 0))
    print(f"decision on a chain: {decision_us:.0f} us")
    print(f"plan of 200 targets and 2000 jobs: {plan_us(200, 2000):.0f} us")


def main() -> None:
    """Print the tables."""
    names = "load, policy, on time, rank 0, rank 2, large account, worst other account"
    names += ", large requests, served, refused, pieces without memory"
    print("| " + " | ".join(names.split(", ")) + " |")
    print("| --- |" + " --- |" * names.count(","))
    for variant in (LEARNED, FIRST_COME):
        for factor in (0.8, 1.2, 2.0, 4.0):
            print(_row(f"{factor}", variant, steady(factor), SINCE_S), flush=True)
        print(_row("after a burst", variant, AFTER_BURST, AFTER_BURST_SINCE_S))
    _print_costs()


if __name__ == "__main__":
    main()
