"""Every fault at every step of a request.

The caller sends, a fault strikes at the step, and the caller sends again at
random daemons until the outcome is final, having waited long or hardly for the
first send. Whatever happens, a request that may not be repeated runs at most
once, "not run" is true, and every whole answer is the one of that run. An
idempotent request is answered in the end, and no answer is cut or mixed.
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
WHOLE = "".join(f"hello-{n} " for n in range(1, 9))
PATIENCE_S = [60.0, 0.05, 0.3]


class Course:
    """One send of one request, with a fault at one step."""

    def __init__(self, box, net, step, fault):
        self.box = box
        self.net = net
        self.step = step
        self.fault = fault
        self.struck = False
        self.sent = None
        self.replace = None
        self.failing = None
        self.always = False
        self.attempts = set()
        self.n_runs_at_reply = []

    def reach(self, step):
        if step == self.step and not self.struck:
            self.struck = True
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
        """Whether the target fails in this attempt: the first one struck."""
        if self.replace is not None and self.failing is None:
            self.failing = call.attempt_id
        return call.attempt_id == self.failing or self.always

    async def run(self, seed, profile):
        rng = random.Random(seed)
        body = self.box.body(profile=profile)
        self.sent = asyncio.create_task(self.net.send(body))
        self.sent.add_done_callback(lambda _: self.reach("outcome replied"))
        await asyncio.wait({self.sent}, timeout=PATIENCE_S[seed])
        outcomes = []
        if self.sent.done() and not self.sent.cancelled():
            outcomes.append(self.note(self.sent.result()))
        for _ in range(12):
            if outcomes and final(outcomes[-1], profile):
                break
            await asyncio.sleep(rng.uniform(0.2, 1.5))
            daemon = rng.choice(self.awake())
            outcomes.append(self.note(await self.net.send(body, daemon=daemon)))
        return outcomes

    def note(self, outcome):
        self.n_runs_at_reply.append(self.net.targets.ran["r1"])
        return outcome

    def awake(self):
        return [
            number
            for number, host in enumerate(self.net.hosts)
            if not host.killed and host.awake.is_set()
        ]


def final(outcome, profile):
    if profile == "chat":
        return outcome.status is OutcomeStatus.ANSWERED
    return outcome.ran is not Ran.NO and outcome.reason is not R.CLAIM_HELD


def later(delay_s, function, *args):
    asyncio.get_running_loop().call_later(delay_s, function, *args)


def caller_gone(course):
    course.sent.cancel()


def daemon_killed(course):
    net = course.net
    net.hosts[0].killed = True
    net.buses[0].state = MemberState.DEAD


def daemon_paused(course):
    net = course.net
    net.hosts[0].awake.clear()
    net.buses[0].state = MemberState.UNREACHABLE
    later(PAUSE_S, net.hosts[0].awake.set)


def daemon_leaving(course):
    course.net.services[0].begin_leaving()


def store_down(course):
    course.net.table.down = True
    later(OUTAGE_S, setattr, course.net.table, "down", False)


def store_slow(course):
    gate = asyncio.Event()
    course.net.table.hold = gate
    later(OUTAGE_S, gate.set)


def store_answer_lost(course):
    course.net.table.lose_answers += 1


def peer_link_cut(course):
    for bus in course.net.buses:
        bus.cut = True
        bus.state = MemberState.UNREACHABLE


def peer_link_lossy(course):
    for number, bus in enumerate(course.net.buses):
        bus.lossy = random.Random(number)


def peer_link_one_way(course):
    course.net.buses[0].mute = True


def region_cut(course):
    net = course.net
    net.views[0].cut_off = True
    net.buses[0].cut = True
    net.buses[0].state = MemberState.UNREACHABLE
    later(OUTAGE_S, setattr, net.views[0], "cut_off", False)


def poison(course):
    async def crash(call):
        yield Broken("cut", crashed=True)

    course.replace = crash
    course.always = True


def target_slow(course):
    async def slow(call):
        await asyncio.sleep(60)
        yield Broken("too late")

    course.replace = slow


def failing(failure):
    def strike(course):
        async def fail(call):
            yield failure

        course.replace = fail

    return strike


def late_answer(course):
    async def late(call):
        await asyncio.sleep(11)
        async for item in course.box.tokens(call):
            yield item

    course.replace = late


def repeated_answer(course):
    async def repeated(call):
        for _ in range(2):
            async for item in course.box.tokens(call):
                yield item

    course.replace = repeated


def burst(course):
    async def crowd():
        sends = [
            course.net.send(course.box.body(f"b{i}", profile="deposit"), i % 3)
            for i in range(400)
        ]
        await asyncio.gather(*sends)

    course.crowd = asyncio.create_task(crowd())


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
        for seed in range(len(PATIENCE_S)):
            net = box.network(3)
            course = Course(box, net, step, fault)
            course.install()
            async with net:
                outcomes = await course.run(seed, "notice")
                await asyncio.sleep(30)
                if course.sent is not None and not course.sent.done():
                    course.sent.cancel()
                check(course, outcomes)

    box.run(scenario())


def idempotent_cells():
    for cell in cells():
        fault, step = cell.values
        if step not in ("request claimed", "outcome stored") and fault != "poison":
            yield cell


@pytest.mark.parametrize(("fault", "step"), idempotent_cells())
def test_fault_at_step_of_an_idempotent_request(box, fault, step):
    async def scenario():
        for seed in range(len(PATIENCE_S)):
            net = box.network(3)
            course = Course(box, net, step, fault)
            course.install()
            async with net:
                outcomes = await course.run(seed, "chat")
                await asyncio.sleep(30)
                course.sent.cancel()
            assert course.struck
            assert outcomes[-1].status is OutcomeStatus.ANSWERED
            for outcome in outcomes:
                if outcome.status is OutcomeStatus.ANSWERED:
                    assert outcome.output == WHOLE

    box.run(scenario())


def check(course, outcomes):
    net = course.net
    assert course.struck
    assert net.targets.ran["r1"] <= 1
    for outcome, n_runs in zip(outcomes, course.n_runs_at_reply, strict=True):
        if outcome.ran is Ran.NO:
            assert n_runs == 0, "it was told that it did not run"
        if outcome.status is OutcomeStatus.ANSWERED:
            assert outcome.output == WHOLE
            assert net.targets.ran["r1"] == 1
    sent = course.sent
    if sent.done() and not sent.cancelled():
        outcomes = [sent.result(), *outcomes]
    answers = [o for o in outcomes if o.status is OutcomeStatus.ANSWERED]
    assert all(answer == answers[0] for answer in answers)
