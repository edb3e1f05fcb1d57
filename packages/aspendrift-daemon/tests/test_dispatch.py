"""Tests of admission, queueing and routing of the daemon."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import replace

import pytest

from aspendrift_daemon.dispatch import DaemonDispatcher
from aspendrift_daemon.events import Event, EventHub
from aspendrift_model.configuration import Configuration
from aspendrift_model.contracts import Contract
from aspendrift_model.hosts import Host, Location
from aspendrift_model.ids import (
    AccountId,
    AttemptId,
    DaemonId,
    PoolName,
    PrefixKey,
    ProfileName,
    RegionName,
    RequestId,
    Revision,
    StageName,
    TargetId,
    ZoneName,
)
from aspendrift_model.outcomes import Refused
from aspendrift_model.profiles import Profile, Stage
from aspendrift_model.settings_routing import RoutingSettings
from aspendrift_model.states import (
    AttemptEnd,
    MemberState,
    RefusalReason,
    StageKind,
    TargetKind,
    TargetState,
)
from aspendrift_model.targets import Target
from aspendrift_policy.interfaces import (
    AttemptResult,
    Offer,
    RouteChoice,
    RouteQuery,
)

LOCATION = Location(ZoneName("a"), RegionName("r"))
ENCODE = Stage(StageName("encode"), StageKind.ENCODE, PoolName("enc"), expected_ms=50)
SECOND = Stage(StageName("rerank"), StageKind.RERANK, PoolName("rer"), expected_ms=50)
PROFILE = Profile(ProfileName("p"), (ENCODE, SECOND), Contract(1000))


class StepClock:
    def __init__(self) -> None:
        self.now = 100.0

    def monotonic(self) -> float:
        return self.now

    def unix(self) -> float:
        return self.now


class NoBus:
    def subscribe(self, topic: str, handler: object) -> None:
        pass

    def broadcast(self, topic: str, payload: bytes) -> None:
        pass

    def send(self, daemon_id: DaemonId, topic: str, payload: bytes) -> None:
        pass

    def members(self) -> Sequence[tuple[Host, MemberState]]:
        return ()


class FixedConfiguration:
    def __init__(self, targets: Sequence[Target]) -> None:
        self._listeners: list[Callable[[Configuration], None]] = []
        self.set(targets)

    def set(self, targets: Sequence[Target]) -> None:
        by_id = {target.target_id: target for target in targets}
        self._current = Configuration(Revision(1), targets_by_id=by_id)
        for listener in self._listeners:
            listener(self._current)

    def current(self) -> Configuration:
        return self._current

    def on_change(self, listener: Callable[[Configuration], None]) -> None:
        self._listeners.append(listener)


def target(name: str, pool: str = "enc", slots: int = 1) -> Target:
    return Target(
        TargetId(name),
        PoolName(pool),
        TargetKind.STAGE_POOL,
        f"http://127.0.0.1:1/{name}",
        LOCATION.zone,
        LOCATION.region,
        slots,
    )


class DispatcherSetup:
    """A dispatcher with a stepped clock and a configuration that can change."""

    def __init__(self, targets: Sequence[Target]) -> None:
        self.clock = StepClock()
        self.configuration = FixedConfiguration(targets)
        self.events: list[Event] = []
        hub = EventHub()
        hub.connect_all(self.events.append)
        self.dispatcher = DaemonDispatcher(
            RoutingSettings(),
            LOCATION,
            self.clock,
            self.configuration,
            NoBus(),
            hub,
            random.Random(1),
        )

    def offer(self, number: int, deadline_s: float = 1.0) -> Offer:
        return Offer(
            RequestId(f"r{number}"),
            AccountId("ann"),
            PROFILE,
            self.clock.now + deadline_s,
            0,
            PrefixKey(""),
        )

    def query(self, number: int, deadline_s: float = 1.0) -> RouteQuery:
        return RouteQuery(
            RequestId(f"r{number}"),
            AttemptId(f"a{number}"),
            AccountId("ann"),
            PROFILE,
            ENCODE,
            self.clock.now + deadline_s,
            PROFILE.contract.priority,
            PrefixKey(""),
        )

    async def acquired(self, query: RouteQuery) -> RouteChoice:
        answer = await self.dispatcher.acquire(query)
        assert isinstance(answer, RouteChoice)
        return answer


ANSWERED_RESULT = AttemptResult(AttemptEnd.ANSWERED, 0.05, 0.05)


def test_waiting_attempt_gets_the_slot_that_is_released() -> None:
    async def run() -> None:
        setup = DispatcherSetup([target("t1")])
        first, second = setup.query(1), setup.query(2)
        choice = await setup.acquired(first)
        waiting = asyncio.create_task(setup.dispatcher.acquire(second))
        await asyncio.sleep(0)
        assert not waiting.done()
        setup.dispatcher.release(first, choice, ANSWERED_RESULT)
        assert isinstance(await waiting, RouteChoice)

    asyncio.run(run())


def test_attempt_that_can_no_longer_end_in_time_is_refused_at_once() -> None:
    async def run() -> None:
        setup = DispatcherSetup([target("t1")])
        answer = await setup.dispatcher.acquire(setup.query(1, deadline_s=0.01))
        assert isinstance(answer, Refused)
        assert answer.reason is RefusalReason.DEADLINE_UNREACHABLE
        assert answer.retry_after_ms is not None

    asyncio.run(run())


def test_draining_target_gets_neither_new_nor_waiting_attempts() -> None:
    async def run() -> None:
        setup = DispatcherSetup([target("t1")])
        choice = await setup.acquired(setup.query(1))
        waiting = asyncio.create_task(setup.dispatcher.acquire(setup.query(2)))
        await asyncio.sleep(0)
        draining = replace(target("t1"), state=TargetState.DRAINING)
        setup.configuration.set([draining])
        setup.dispatcher.release(setup.query(1), choice, ANSWERED_RESULT)
        setup.dispatcher._tick(setup.clock.now)
        answer = await waiting
        assert isinstance(answer, Refused)
        assert answer.reason is RefusalReason.NO_TARGET

    asyncio.run(run())


@pytest.mark.fault("caller gone", "request admitted")
def test_cancelled_attempt_gives_its_slot_to_the_next() -> None:
    async def run() -> None:
        setup = DispatcherSetup([target("t1")])
        first = setup.query(1)
        choice = await setup.acquired(first)
        cancelled = asyncio.create_task(setup.dispatcher.acquire(setup.query(2)))
        next_waiting = asyncio.create_task(setup.dispatcher.acquire(setup.query(3)))
        await asyncio.sleep(0)
        setup.dispatcher.release(first, choice, ANSWERED_RESULT)
        cancelled.cancel()
        assert isinstance(await next_waiting, RouteChoice)

    asyncio.run(run())


@pytest.mark.fault("burst", "request admitted")
def test_burst_is_admitted_up_to_what_fits_into_the_deadline() -> None:
    setup = DispatcherSetup([target("t1"), target("t2", "rer", slots=4)])
    answers = [setup.dispatcher.admit(setup.offer(i)) for i in range(100)]
    n_admitted = answers.count(None)
    assert 10 <= n_admitted <= 20
    last_refusal = answers[-1]
    assert last_refusal is not None
    assert last_refusal.reason in (
        RefusalReason.OVERLOADED,
        RefusalReason.ACCOUNT_OVER_SHARE,
    )
    assert last_refusal.retry_after_ms is not None


def test_departed_requests_free_admission_capacity() -> None:
    setup = DispatcherSetup([target("t1"), target("t2", "rer", slots=4)])
    for i in range(100):
        setup.dispatcher.admit(setup.offer(i))
    assert setup.dispatcher.admit(setup.offer(200)) is not None
    for i in range(100):
        setup.dispatcher.depart(RequestId(f"r{i}"))
    assert setup.dispatcher.admit(setup.offer(201)) is None


def test_request_to_a_pool_without_targets_is_refused_at_admission() -> None:
    setup = DispatcherSetup([target("t1")])
    answer = setup.dispatcher.admit(setup.offer(1))
    assert answer is not None
    assert answer.reason is RefusalReason.NO_TARGET


@pytest.mark.fault("target failing", "request sent")
def test_retries_stop_when_the_budget_of_the_account_is_spent() -> None:
    async def run() -> None:
        setup = DispatcherSetup([target(f"t{i}", slots=50) for i in range(4)])
        failed = AttemptResult(AttemptEnd.BROKEN, 0.01, 0.0)
        reasons = []
        for number in range(20):
            query = replace(setup.query(number), is_retry=True)
            answer = await setup.dispatcher.acquire(query)
            if isinstance(answer, RouteChoice):
                setup.dispatcher.release(query, answer, failed)
            else:
                reasons.append(answer.reason)
        assert RefusalReason.RETRY_BUDGET_SPENT in reasons
        assert len(reasons) >= 10

    asyncio.run(run())


@pytest.mark.fault("target slow", "drain finishing")
@pytest.mark.fault("target failing", "drain finishing")
@pytest.mark.fault("target crashing", "drain finishing")
@pytest.mark.parametrize(
    "end", [AttemptEnd.TIMED_OUT, AttemptEnd.REJECTED, AttemptEnd.BROKEN]
)
def test_retry_of_an_attempt_on_a_draining_target_goes_elsewhere(
    end: AttemptEnd,
) -> None:
    async def run() -> None:
        setup = DispatcherSetup([target("t1"), target("t2")])
        first_query = setup.query(1)
        first = await setup.dispatcher.acquire(first_query)
        assert isinstance(first, RouteChoice)
        drained = replace(first.target, state=TargetState.DRAINING)
        other = "t2" if first.target.target_id == "t1" else "t1"
        setup.configuration.set([drained, target(other)])
        assert setup.dispatcher.n_in_flight(first.target.target_id) == 1
        setup.dispatcher.release(first_query, first, AttemptResult(end, 0.1, 0.0))
        assert setup.dispatcher.n_in_flight(first.target.target_id) == 0
        for number in range(2, 6):
            query = replace(setup.query(number), is_retry=number == 2)
            choice = await setup.dispatcher.acquire(query)
            assert isinstance(choice, RouteChoice)
            assert choice.target.target_id == other
            ended = AttemptResult(AttemptEnd.ANSWERED, 0.01, 0.01)
            setup.dispatcher.release(query, choice, ended)

    asyncio.run(run())
