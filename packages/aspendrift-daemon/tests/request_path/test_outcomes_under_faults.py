"""Tests every fault at every step of a request.

The caller submits a request and the fault is injected at the step. After a short or a
long timeout, the caller resends to random daemons until the outcome is final. A
request that may not be repeated must run at most once, "not run" must be true, and
every complete answer must be the answer of that run. An idempotent request must
finally be answered, and no answer may be truncated or mixed with another.
"""

from __future__ import annotations

import asyncio
import random

import pytest

from aspendrift_daemon.targets import Broken, ForeignAnswer
from aspendrift_model.states import MemberState, OutcomeStatus, Ran
from aspendrift_model.states import RefusalReason as R
from aspendrift_model.wire_target import GeneratedEnd, GeneratedToken

STEPS = [
    "request admitted",
    "request claimed",
    "request sent",
    "request partly answered",
    "request answered",
    "outcome stored",
    "outcome replied",
]
OUTAGE_S = 3.0
PAUSE_S = 8.0
COMPLETE_OUTPUT = "".join(f"hello-{n} " for n in range(1, 9))
CALLER_TIMEOUTS_S = [60.0, 0.05, 0.3]


class FaultyRequest:
    """One request with a fault at one step."""

    def __init__(self, box, net, step, fault):
        self.box = box
        self.net = net
        self.step = step
        self.fault = fault
        self.fault_injected = False
        self.sent = None
        self.replace = None
        self.failing = None
        self.fails_always = False
        self.attempts = set()
        self.n_runs_at_reply = []

    def reach(self, step):
        if step == self.step and not self.fault_injected:
            self.fault_injected = True
            FAULTS[self.fault](self)

    def install(self):
        self.apply = self.net.table.apply
        self.net.table.apply = self.applying
        self.admit = self.net.dispatchers[0].admit
        self.net.dispatchers[0].admit = self.admitting
        for name in ("engine-1", "engine-2", "engine-3"):
            self.net.targets.scripts[name] = [self.generating]

    def admitting(self, offer):
        self.reach("request admitted")
        return self.admit(offer)

    def applying(self, conditions, writes):
        result = self.apply(conditions, writes)
        finished = any('"finished"' in (write.value or "") for write in writes)
        self.reach("outcome stored" if finished else "request claimed")
        return result

    async def generating(self, call):
        self.reach("request sent")
        if call.attempt_id not in self.attempts:
            self.attempts.add(call.attempt_id)
            self.net.targets.ran[call.request_id] += 1
        async for item in self.box.tokens(call):
            await asyncio.sleep(0.01)
            if isinstance(item, GeneratedToken) and item.n == 4:
                self.reach("request partly answered")
            if isinstance(item, GeneratedEnd):
                self.reach("request answered")
            if self.is_replaced(call):
                break
            yield item
        if self.is_replaced(call):
            async for item in self.replace(call):
                yield item

    def is_replaced(self, call):
        """Whether the target fails in this attempt: the first one after the fault."""
        if self.replace is not None and self.failing is None:
            self.failing = call.attempt_id
        return call.attempt_id == self.failing or self.fails_always

    async def run(self, seed, profile):
        rng = random.Random(seed)
        body = self.box.body(profile=profile)
        self.sent = asyncio.create_task(self.net.send(body))
        self.sent.add_done_callback(lambda _: self.reach("outcome replied"))
        await asyncio.wait({self.sent}, timeout=CALLER_TIMEOUTS_S[seed])
        outcomes = []
        if self.sent.done() and not self.sent.cancelled():
            outcomes.append(self.record(self.sent.result()))
        for _ in range(12):
            if outcomes and final(outcomes[-1], profile):
                break
            await asyncio.sleep(rng.uniform(0.2, 1.5))
            daemon = rng.choice(self.running_daemons())
            outcomes.append(self.record(await self.net.send(body, daemon=daemon)))
        return outcomes

    def record(self, outcome):
        self.n_runs_at_reply.append(self.net.targets.ran["r1"])
        return outcome

    def running_daemons(self):
        return [
            number
            for number, host in enumerate(self.net.hosts)
            if not host.killed and host.running.is_set()
        ]


def final(outcome, profile):
    if profile == "chat":
        return outcome.status is OutcomeStatus.ANSWERED
    return outcome.ran is not Ran.NO and outcome.reason is not R.CLAIM_HELD


def later(delay_s, function, *args):
    asyncio.get_running_loop().call_later(delay_s, function, *args)


def caller_gone(faulty):
    faulty.sent.cancel()


def daemon_killed(faulty):
    net = faulty.net
    net.hosts[0].killed = True
    net.buses[0].state = MemberState.DEAD


def daemon_paused(faulty):
    net = faulty.net
    net.hosts[0].running.clear()
    net.buses[0].state = MemberState.UNREACHABLE
    later(PAUSE_S, net.hosts[0].running.set)


def daemon_leaving(faulty):
    faulty.net.services[0].begin_leaving()


def store_down(faulty):
    faulty.net.table.down = True
    later(OUTAGE_S, setattr, faulty.net.table, "down", False)


def store_slow(faulty):
    gate = asyncio.Event()
    faulty.net.table.hold = gate
    later(OUTAGE_S, gate.set)


def store_answer_lost(faulty):
    faulty.net.table.lose_answers += 1


def peer_link_cut(faulty):
    for bus in faulty.net.buses:
        bus.cut = True
        bus.state = MemberState.UNREACHABLE


def peer_link_lossy(faulty):
    for number, bus in enumerate(faulty.net.buses):
        bus.lossy = random.Random(number)


def peer_link_one_way(faulty):
    faulty.net.buses[0].drops_outgoing = True


def region_cut(faulty):
    net = faulty.net
    net.views[0].cut_off = True
    net.buses[0].cut = True
    net.buses[0].state = MemberState.UNREACHABLE
    later(OUTAGE_S, setattr, net.views[0], "cut_off", False)


def poison(faulty):
    async def crash(call):
        yield Broken("cut", crashed=True)

    faulty.replace = crash
    faulty.fails_always = True


def target_slow(faulty):
    async def slow(call):
        await asyncio.sleep(60)
        yield Broken("too late")

    faulty.replace = slow


def failing(failure):
    def inject(faulty):
        async def fail(call):
            yield failure

        faulty.replace = fail

    return inject


def late_answer(faulty):
    async def late(call):
        await asyncio.sleep(11)
        async for item in faulty.box.tokens(call):
            yield item

    faulty.replace = late


def repeated_answer(faulty):
    async def repeated(call):
        for _ in range(2):
            async for item in faulty.box.tokens(call):
                yield item

    faulty.replace = repeated


def burst(faulty):
    async def send_burst():
        sends = [
            faulty.net.send(faulty.box.body(f"b{i}", profile="deposit"), i % 3)
            for i in range(400)
        ]
        await asyncio.gather(*sends)

    faulty.burst = asyncio.create_task(send_burst())


FAULTS = {
    "caller gone": caller_gone,
    "daemon killed": daemon_killed,
    "daemon paused": daemon_paused,
    "daemon leaving": daemon_leaving,
    "store down": store_down,
    "store slow": store_slow,
    "store answer lost": store_answer_lost,
    "peer link cut": peer_link_cut,
    "peer link lossy": peer_link_lossy,
    "peer link one-way": peer_link_one_way,
    "region cut": region_cut,
    "poison": poison,
    "target slow": target_slow,
    "target failing": failing(Broken("status 500")),
    "target crashing": failing(Broken("cut", crashed=True)),
    "foreign answer": failing(ForeignAnswer("other.1")),
    "late answer": late_answer,
    "repeated answer": repeated_answer,
    "burst": burst,
}


def cells():
    for fault in FAULTS:
        for step in STEPS:
            mark = pytest.mark.fault(fault, step)
            yield pytest.param(fault, step, marks=mark, id=f"{fault} at {step}")


@pytest.mark.parametrize(("fault", "step"), cells())
def test_fault_at_step(box, fault, step):
    async def scenario():
        for seed in range(len(CALLER_TIMEOUTS_S)):
            net = box.network(3)
            faulty = FaultyRequest(box, net, step, fault)
            faulty.install()
            async with net:
                outcomes = await faulty.run(seed, "notice")
                await asyncio.sleep(30)
                if faulty.sent is not None and not faulty.sent.done():
                    faulty.sent.cancel()
                check(faulty, outcomes)

    box.run(scenario())


def idempotent_cells():
    for cell in cells():
        fault, step = cell.values
        if step not in ("request claimed", "outcome stored") and fault != "poison":
            yield cell


@pytest.mark.parametrize(("fault", "step"), idempotent_cells())
def test_fault_at_step_of_an_idempotent_request(box, fault, step):
    async def scenario():
        for seed in range(len(CALLER_TIMEOUTS_S)):
            net = box.network(3)
            faulty = FaultyRequest(box, net, step, fault)
            faulty.install()
            async with net:
                outcomes = await faulty.run(seed, "chat")
                await asyncio.sleep(30)
                faulty.sent.cancel()
            assert faulty.fault_injected
            assert outcomes[-1].status is OutcomeStatus.ANSWERED
            for outcome in outcomes:
                if outcome.status is OutcomeStatus.ANSWERED:
                    assert outcome.output == COMPLETE_OUTPUT

    box.run(scenario())


def check(faulty, outcomes):
    net = faulty.net
    assert faulty.fault_injected
    assert net.targets.ran["r1"] <= 1
    for outcome, n_runs in zip(outcomes, faulty.n_runs_at_reply, strict=True):
        if outcome.ran is Ran.NO:
            assert n_runs == 0, "reported 'not run' after it ran"
        if outcome.status is OutcomeStatus.ANSWERED:
            assert outcome.output == COMPLETE_OUTPUT
            assert net.targets.ran["r1"] == 1
    sent = faulty.sent
    if sent.done() and not sent.cancelled():
        outcomes = [sent.result(), *outcomes]
    answers = [o for o in outcomes if o.status is OutcomeStatus.ANSWERED]
    assert all(answer == answers[0] for answer in answers)
