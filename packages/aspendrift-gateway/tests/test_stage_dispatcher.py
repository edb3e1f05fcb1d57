"""Tests of submitting jobs to the owner of a pool, and of lost owners."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, replace

import msgspec
import pytest

from aspendrift_daemon.events import EventHub
from aspendrift_gateway.events import StagePoolState
from aspendrift_gateway.interfaces import AnswerHead, HttpCall
from aspendrift_gateway.permit_exchange import Permit
from aspendrift_gateway.stage_dispatcher import StageDispatcher, _submit_message
from aspendrift_gateway.system_state import SystemState
from aspendrift_gateway.target_client import CompleteAnswer
from aspendrift_model.ids import (
    AttemptId,
    DaemonId,
    PoolName,
)
from aspendrift_model.pieces import Handle, PieceFailure, PieceId, PieceWork
from aspendrift_model.routes import PieceLimits, PoolSpec, RoutingConfiguration
from aspendrift_model.states import MemberState
from aspendrift_model.wire_work import CancelJob, JobEnded, PoolLoad, WorkMessage
from aspendrift_policy.chain_admission import ChainAdmission
from aspendrift_policy.route_table import RouteTable
from aspendrift_policy.stage_scheduler import JobId, StageJob, StageScheduler
from aspendrift_standins.virtual_time import VirtualClock, run_virtual

from .conftest import Network, entry

POOL = PoolName("p")
LIMITS = PieceLimits(1, 2, 4, 0.15, 0.03, 18e6, 4.0)
CALL_S = 0.2


class FakeTargets:
    """Stage targets that complete every piece and record the freed results."""

    def __init__(self):
        self.completed = []
        self.freed = []
        self.n_calls = 0
        self.repeats_answer = False
        # Time to read an answer that has arrived.
        self.read_s = 0.0
        self.reuse_disabled = []
        self.n_retired = 0
        self._previous_body = b""

    def disable_reuse(self, target_id, now):
        self.reuse_disabled.append(target_id)

    async def send_and_read(
        self, target, call, headers, now, is_sound=lambda answer: True
    ):
        content = json.loads(call.body)
        if "free" in content:
            self.freed += content["free"]
        else:
            self.n_calls += 1
            await asyncio.sleep(CALL_S)
            self.completed += content["pieces"]
            await asyncio.sleep(self.read_s)
        head = AnswerHead(None, False, False, False, False)
        body = call.body
        if self.repeats_answer and "free" not in content:
            self.repeats_answer = False
            body = self._previous_body
        self._previous_body = call.body
        answer = CompleteAnswer(200, (), head, body)
        self.n_retired += not is_sound(answer)
        return answer


class FakeCodec:
    def stage_run(self, works):
        pieces = [[w.piece_id.attempt_id, w.piece_id.piece] for w in works]
        return HttpCall("POST", "/", json.dumps({"pieces": pieces}).encode())

    def stage_free(self, handles):
        return HttpCall("POST", "/", json.dumps({"free": list(handles)}).encode())

    def stage_headers(self, target_id):
        return ()

    def stage_outcomes(self, body, n_pieces):
        pieces = json.loads(body)["pieces"]
        return tuple(Handle(f"t1:1/{name}.{piece}") for name, piece in pieces)

    def holder(self, handle):
        return handle.partition("/")[0]


@dataclass
class Fleet:
    """Daemons that share one pool of stage targets."""

    network: Network
    targets: FakeTargets
    dispatchers_by_id: dict
    rng: object
    without_links: set

    def owner_and_others(self):
        first = next(iter(self.dispatchers_by_id.values()))
        owner = first.owner(POOL, 0.0)
        others = [each for each in self.dispatchers_by_id if each != owner]
        return owner, others


@pytest.fixture
def run_scenario():
    def run(scenario, n_daemons=3):
        async def main():
            import random

            clock = VirtualClock(asyncio.get_running_loop())
            network, targets = Network(), FakeTargets()
            without_links = set()
            dispatchers = {}
            for number in range(n_daemons):
                link = network.link(f"d{number}")
                state = SystemState(None, EventHub())
                state.registry.replace([entry("t1")], 0.0)
                spec = PoolSpec(POOL, 10, LIMITS)
                state.table = RouteTable(RoutingConfiguration(1, (), {POOL: spec}))
                dispatcher = StageDispatcher(
                    link,
                    state,
                    targets,
                    FakeCodec(),
                    ChainAdmission(random.Random(0)),
                    clock,
                    EventHub(),
                    StageScheduler,
                    lambda now: frozenset(without_links),
                )
                await dispatcher.start()
                dispatchers[link.host.daemon_id] = dispatcher
            rng = random.Random(0)
            await scenario(Fleet(network, targets, dispatchers, rng, without_links))
            for dispatcher in dispatchers.values():
                await dispatcher.stop()

        run_virtual(main())

    return run


def job(name, n_pieces=2):
    works = tuple(
        PieceWork(PieceId(AttemptId(name), 0, piece), "k", ())
        for piece in range(n_pieces)
    )
    return StageJob(JobId(name), works, 1e3, 0, 50.0, 60.0)


class Listener:
    """Waits for the results of one job."""

    def __init__(self, n_pieces=2):
        self.results = {}
        self.failures = []
        self._n_pieces = n_pieces
        self.done = asyncio.Event()

    def __call__(self, update):
        self.results.update(update.results)
        if update.failure is not None:
            self.failures.append(update.failure)
        if len(self.results) == self._n_pieces:
            self.done.set()


def test_pieces_of_several_daemons_share_a_call_at_the_owner(run_scenario):
    async def scenario(fleet):
        owner, others = fleet.owner_and_others()
        listeners = [Listener() for _ in others]
        for name, listener in zip(others, listeners, strict=True):
            assert (
                fleet.dispatchers_by_id[name].submit(POOL, job(name), listener) == owner
            )
        for listener in listeners:
            await listener.done.wait()
        assert len(fleet.targets.completed) == 4

    run_scenario(scenario)


def test_job_goes_to_the_next_daemon_when_its_owner_does_not_accept_it(run_scenario):
    async def scenario(fleet):
        owner, others = fleet.owner_and_others()
        fleet.network.cut_off.add(owner)
        listener = Listener()
        fleet.dispatchers_by_id[others[0]].submit(POOL, job("a"), listener)
        await listener.done.wait()
        assert asyncio.get_running_loop().time() < 1.0
        assert fleet.dispatchers_by_id[others[0]].owner(POOL, 0.5) != owner

    run_scenario(scenario)


def test_pause_of_all_daemons_runs_no_job_at_two_owners(run_scenario):
    async def scenario(fleet):
        owner, others = fleet.owner_and_others()
        dispatcher = fleet.dispatchers_by_id[others[0]]
        listener = Listener()
        await asyncio.sleep(0.01)
        dispatcher.submit(POOL, job("a"), listener)
        asyncio.get_running_loop().pause(0.4)
        await listener.done.wait()
        dispatcher.done(JobId("a"))
        await asyncio.sleep(1.0)
        assert fleet.targets.n_calls == 1
        assert dispatcher.owner(POOL, asyncio.get_running_loop().time()) == owner

    run_scenario(scenario)


@pytest.mark.parametrize("is_accepted", [False, True])
def test_owner_lost_during_a_pause_here_is_noticed(run_scenario, is_accepted):
    async def scenario(fleet):
        owner, others = fleet.owner_and_others()
        listener = Listener()
        await asyncio.sleep(0.01)
        fleet.dispatchers_by_id[others[0]].submit(POOL, job("a"), listener)
        await asyncio.sleep(0.01 if is_accepted else 0.0)
        fleet.network.cut_off.add(owner)
        asyncio.get_running_loop().pause(0.4)
        await listener.done.wait()
        assert asyncio.get_running_loop().time() < 2.0
        assert listener.failures == []

    run_scenario(scenario)


def test_job_is_rerun_when_its_owner_stops_responding(run_scenario):
    async def scenario(fleet):
        owner, others = fleet.owner_and_others()
        listener = Listener()
        fleet.dispatchers_by_id[others[0]].submit(POOL, job("a"), listener)
        await asyncio.sleep(0.05)
        fleet.network.cut_off.add(owner)
        await listener.done.wait()
        assert asyncio.get_running_loop().time() < 2.5
        assert listener.failures == []

    run_scenario(scenario)


def test_answer_that_waited_during_a_pause_is_read_before_its_call_is_repeated(
    run_scenario,
):
    async def scenario(fleet):
        fleet.targets.read_s = 0.001
        listener = Listener()
        fleet.dispatchers_by_id[DaemonId("d0")].submit(POOL, job("a"), listener)
        await asyncio.sleep(0.1)
        asyncio.get_running_loop().pause(1.0)
        await listener.done.wait()
        await asyncio.sleep(1.0)
        assert fleet.targets.n_calls == 1

    run_scenario(scenario, n_daemons=1)


def test_pause_of_an_owner_is_not_learned_as_slowness_of_its_targets(run_scenario):
    """Guards against refusals of requests that could be on time, after a pause."""

    async def scenario(fleet):
        dispatcher = fleet.dispatchers_by_id[DaemonId("d0")]
        listener = Listener()
        dispatcher.submit(POOL, job("a"), listener)
        await asyncio.sleep(0.1)
        times = dispatcher._runners_by_pool[POOL].scheduler.times
        before_s = times.full_call_s
        asyncio.get_running_loop().pause(0.6)
        await listener.done.wait()
        assert times.full_call_s == before_s

    run_scenario(scenario, n_daemons=1)


def test_pause_of_an_owner_is_not_measured_as_throughput_of_its_pool(run_scenario):
    """Guards against refusals of requests that could be on time, after a pause."""

    async def scenario(fleet):
        dispatcher = fleet.dispatchers_by_id[DaemonId("d0")]
        for number in range(20):
            dispatcher.submit(POOL, job(f"j{number}", 4), Listener())
        await asyncio.sleep(1.0)
        runner = dispatcher._runners_by_pool[POOL]
        before = runner.measures(asyncio.get_running_loop().time())
        asyncio.get_running_loop().pause(0.6)
        await asyncio.sleep(0.01)
        after = runner.measures(asyncio.get_running_loop().time())
        assert before.completed_per_s > 0
        # Unknown until the throughput has been measured again.
        assert after.completed_per_s == 0

    run_scenario(scenario, n_daemons=1)


def test_call_without_an_answer_is_repeated_after_a_pause(run_scenario):
    async def scenario(fleet):
        fleet.targets.read_s = 0.2
        listener = Listener()
        fleet.dispatchers_by_id[DaemonId("d0")].submit(POOL, job("a"), listener)
        await asyncio.sleep(0.1)
        asyncio.get_running_loop().pause(1.0)
        await listener.done.wait()
        assert fleet.targets.n_calls == 2

    run_scenario(scenario, n_daemons=1)


def test_job_that_was_cancelled_during_a_pause_of_its_owner_is_not_run(run_scenario):
    async def scenario(fleet):
        owner, others = fleet.owner_and_others()
        dispatcher = fleet.dispatchers_by_id[owner]
        await asyncio.sleep(0.01)
        asyncio.get_running_loop().pause(0.4)
        submitted = _submit_message(POOL, job("a"), 0.4)
        dispatcher._on_message(others[0], msgspec.msgpack.encode(submitted))
        await asyncio.sleep(0.01)
        cancelled = CancelJob("a", POOL)
        dispatcher._on_message(others[0], msgspec.msgpack.encode(cancelled))
        await asyncio.sleep(1.0)
        assert fleet.targets.n_calls == 0

    run_scenario(scenario)


def test_owner_that_reads_late_does_not_run_a_job_that_another_runs(run_scenario):
    async def scenario(fleet):
        owner, others = fleet.owner_and_others()
        dispatcher = fleet.dispatchers_by_id[others[0]]
        listener = Listener()
        fleet.network.reads_from[owner] = 0.4
        dispatcher.submit(POOL, job("a"), listener)
        await listener.done.wait()
        dispatcher.done(JobId("a"))
        await asyncio.sleep(1.0)
        assert fleet.targets.n_calls == 1
        assert all(
            not each._origins_by_job for each in fleet.dispatchers_by_id.values()
        )

    run_scenario(scenario)


def test_results_of_an_owner_that_was_replaced_are_used(run_scenario):
    """Work that an owner had begun isn't lost if the next owner takes long."""

    async def scenario(fleet):
        owner, others = fleet.owner_and_others()
        fleet.network.states_by_id[owner] = MemberState.SUSPECT
        second = fleet.dispatchers_by_id[others[0]].owner(POOL, 0.0)
        fleet.network.states_by_id[owner] = MemberState.LIVE
        fleet.network.reads_from[second] = 1.0
        (name,) = set(others) - {second}
        dispatcher = fleet.dispatchers_by_id[name]
        listener = Listener()
        assert dispatcher.submit(POOL, job("a"), listener) == owner
        await asyncio.sleep(0.15)
        dispatcher._suspected_until[owner] = 3.0
        assert dispatcher.submit(POOL, job("a"), listener) == second
        await listener.done.wait()
        assert asyncio.get_running_loop().time() < 0.3
        dispatcher.done(JobId("a"))
        await asyncio.sleep(2.0)
        assert fleet.targets.n_calls == 1
        assert all(
            not each._origins_by_job for each in fleet.dispatchers_by_id.values()
        )

    run_scenario(scenario)


def test_suspect_owner_is_used_again_after_a_while(run_scenario):
    async def scenario(fleet):
        owner, others = fleet.owner_and_others()
        dispatcher = fleet.dispatchers_by_id[others[0]]
        fleet.network.cut_off.add(owner)
        listener = Listener()
        dispatcher.submit(POOL, job("a"), listener)
        await listener.done.wait()
        fleet.network.cut_off.clear()
        await asyncio.sleep(5.0)
        assert dispatcher.owner(POOL, asyncio.get_running_loop().time()) == owner

    run_scenario(scenario)


def test_owner_tells_what_holds_up_the_jobs_of_its_pool(run_scenario):
    async def scenario(fleet):
        dispatcher = fleet.dispatchers_by_id[DaemonId("d0")]
        lines = []
        dispatcher._events.connect_all(lines.append)
        overdue = replace(job("late", 16), objective_at=0.1)
        large = replace(job("large"), result_bytes=LIMITS.result_memory_bytes)
        await asyncio.sleep(0.95)
        for each in (overdue, large):
            dispatcher.submit(POOL, each, Listener())
        await asyncio.sleep(0.3)
        state = next(each for each in lines if isinstance(each, StagePoolState))
        assert (state.n_jobs, state.n_overdue, state.n_without_memory) == (2, 1, 1)
        assert (state.n_working, state.n_targets) == (1, 1)
        assert state.sent_bytes_per_s > 0

    run_scenario(scenario, n_daemons=1)


def test_single_daemon_schedules_by_itself(run_scenario):
    async def scenario(fleet):
        listener = Listener()
        fleet.dispatchers_by_id[DaemonId("d0")].submit(POOL, job("a"), listener)
        await listener.done.wait()

    run_scenario(scenario, n_daemons=1)


def test_late_copy_of_an_answer_gives_no_results_to_the_next_call(run_scenario):
    async def scenario(fleet):
        dispatcher = fleet.dispatchers_by_id[DaemonId("d0")]
        first, second = Listener(), Listener()
        dispatcher.submit(POOL, job("a"), first)
        await first.done.wait()
        fleet.targets.repeats_answer = True
        dispatcher.submit(POOL, job("b"), second)
        await second.done.wait()
        assert set(second.results.values()) == {"t1:1/b.0", "t1:1/b.1"}
        assert fleet.targets.reuse_disabled == ["t1"]
        assert fleet.targets.n_retired == 1

    run_scenario(scenario, n_daemons=1)


class SlowPermits:
    """Gives a permit for each call after a while."""

    def __init__(self):
        self.n_released = 0

    def restrictions(self, pool, entries, now):
        return None

    def is_restricted(self, target, now):
        return True

    async def acquire(self, target, now):
        await asyncio.sleep(0.1)
        return Permit()

    def release(self, permit):
        self.n_released += 1


@pytest.mark.parametrize("cancelled", [("a",), ("a", "b")])
def test_pieces_cancelled_while_their_call_waits_for_a_permit_are_not_sent(
    run_scenario, cancelled
):
    async def scenario(fleet):
        dispatcher = fleet.dispatchers_by_id[DaemonId("d0")]
        permits = SlowPermits()
        dispatcher.require_permits(permits)
        for name in ("a", "b"):
            dispatcher.submit(POOL, job(name), Listener())
        await asyncio.sleep(0.05)
        for name in cancelled:
            dispatcher.cancel(JobId(name))
        await asyncio.sleep(1.0)
        expected = {"a", "b"} - set(cancelled)
        assert {name for name, _ in fleet.targets.completed} == expected
        assert permits.n_released == (not expected)

    run_scenario(scenario, n_daemons=1)


def test_results_of_a_cancelled_job_are_freed(run_scenario):
    async def scenario(fleet):
        owner, others = fleet.owner_and_others()
        dispatcher = fleet.dispatchers_by_id[others[0]]
        dispatcher.submit(POOL, job("a"), Listener())
        await asyncio.sleep(0.05)
        dispatcher.cancel(JobId("a"))
        await asyncio.sleep(1.0)
        assert len(fleet.targets.completed) == len(fleet.targets.freed) == 2

    run_scenario(scenario)


def test_failure_of_a_later_version_ends_the_job(run_scenario):
    """An owner of a later version may report a failure that isn't known here.

    An exception would end the task that receives the messages of all peers.
    """

    async def scenario(fleet):
        owner, others = fleet.owner_and_others()
        dispatcher = fleet.dispatchers_by_id[others[0]]
        listener = Listener()
        dispatcher.submit(POOL, job("a"), listener)
        ended = msgspec.msgpack.encode(JobEnded("a", "later"))
        dispatcher._on_message(owner, ended)
        assert listener.failures == [PieceFailure.ERROR]

    run_scenario(scenario)


def test_results_are_freed_through_the_owner(run_scenario):
    async def scenario(fleet):
        owner, others = fleet.owner_and_others()
        dispatcher = fleet.dispatchers_by_id[others[0]]
        listener = Listener()
        dispatcher.submit(POOL, job("a"), listener)
        await listener.done.wait()
        dispatcher.free(POOL, listener.results.values())
        await asyncio.sleep(0.1)
        assert sorted(fleet.targets.freed) == sorted(listener.results.values())

    run_scenario(scenario)


def test_job_run_by_two_owners_leaves_no_unfreed_result(run_scenario):
    """Guards against results left at a slow owner of a job completed elsewhere."""

    async def scenario(fleet):
        owner, others = fleet.owner_and_others()
        dispatcher = fleet.dispatchers_by_id[others[0]]
        listener = Listener()
        dispatcher.submit(POOL, job("a"), listener)
        await asyncio.sleep(0.01)
        fleet.network.cut_off.add(owner)
        await asyncio.sleep(1.0)
        fleet.network.cut_off.clear()
        await listener.done.wait()
        dispatcher.done(JobId("a"))
        dispatcher.free(POOL, listener.results.values())
        await asyncio.sleep(2.0)
        assert fleet.targets.completed
        assert len(set(fleet.targets.freed)) == len(listener.results)

    run_scenario(scenario)


def test_results_of_an_unknown_job_are_freed(run_scenario):
    async def scenario(fleet):
        dispatcher = fleet.dispatchers_by_id[DaemonId("d0")]
        dispatcher.submit(POOL, job("a"), Listener())
        await asyncio.sleep(0.05)
        dispatcher._submitted_by_id.clear()
        await asyncio.sleep(1.0)
        assert len(fleet.targets.freed) == 2

    run_scenario(scenario, n_daemons=1)


@pytest.mark.parametrize("count", [6, 60, 300])
def test_every_daemon_knows_the_load_and_messages_stay_within_their_rate(
    run_scenario, count
):
    async def scenario(fleet):
        owner, others = fleet.owner_and_others()
        dispatcher = fleet.dispatchers_by_id[owner]
        for number in range(60):
            dispatcher.submit(POOL, job(f"j{number}", 4), Listener())
        fleet.network.sent.clear()
        started_at = asyncio.get_running_loop().time()
        await asyncio.sleep(5.0)
        waited_s = asyncio.get_running_loop().time() - started_at
        loads = [
            recipient
            for _, recipient, payload in fleet.network.sent
            if isinstance(msgspec.msgpack.decode(payload, type=WorkMessage), PoolLoad)
        ]
        assert set(loads) == set(others)
        assert len(loads) <= waited_s * 200.0 + count

    run_scenario(scenario, n_daemons=count)


def test_daemons_that_just_started_agree_on_the_owner(run_scenario):
    async def scenario(fleet):
        for daemon_id in fleet.dispatchers_by_id:
            fleet.network.states_by_id[daemon_id] = MemberState.JOINING
        owners = {each.owner(POOL, 0.0) for each in fleet.dispatchers_by_id.values()}
        assert len(owners) == 1
        listeners = {name: Listener() for name in fleet.dispatchers_by_id}
        for name, listener in listeners.items():
            fleet.dispatchers_by_id[name].submit(POOL, job(name), listener)
        for listener in listeners.values():
            await listener.done.wait()
        # Six pieces need two calls of four; three owners would make three calls.
        assert fleet.targets.n_calls == 2

    run_scenario(scenario)


def test_listed_owner_that_does_not_run_delays_a_job_briefly(run_scenario):
    async def scenario(fleet):
        owner, others = fleet.owner_and_others()
        fleet.network.states_by_id[owner] = MemberState.JOINING
        fleet.network.cut_off.add(owner)
        listener = Listener()
        started_at = asyncio.get_running_loop().time()
        fleet.dispatchers_by_id[others[0]].submit(POOL, job("j"), listener)
        await listener.done.wait()
        took_s = asyncio.get_running_loop().time() - started_at
        assert took_s < CALL_S + 0.5

    run_scenario(scenario)


def test_jobs_of_an_owner_that_lost_its_links_go_to_another(run_scenario):
    async def scenario(fleet):
        owner, others = fleet.owner_and_others()
        listeners = [Listener(), Listener()]
        for name, listener in zip((owner, others[0]), listeners, strict=True):
            fleet.dispatchers_by_id[name].submit(POOL, job(name), listener)
        fleet.without_links.add(owner)
        await asyncio.sleep(0.15)
        for name in (owner, others[0]):
            assert fleet.dispatchers_by_id[name].owner(POOL, 0.15) != owner
        submitted = [each._submitted_by_id for each in fleet.dispatchers_by_id.values()]
        assert owner not in {job.owner for jobs in submitted for job in jobs.values()}
        for listener in listeners:
            await listener.done.wait()
            assert listener.failures == []

    run_scenario(scenario)


def test_own_pools_stay_here_if_no_other_daemon_is_left(run_scenario):
    async def scenario(fleet):
        (name,) = fleet.dispatchers_by_id
        fleet.without_links.add(name)
        assert fleet.dispatchers_by_id[name].owner(POOL, 0.0) == name

    run_scenario(scenario, n_daemons=1)
