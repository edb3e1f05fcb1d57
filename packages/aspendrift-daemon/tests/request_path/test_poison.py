"""Tests of the bound on the targets that one poison request may crash."""

from __future__ import annotations

import asyncio
import random

import pytest

from aspendrift_daemon.targets import Broken
from aspendrift_model.states import CallerAction, OutcomeStatus, Ran
from aspendrift_model.states import RefusalReason as R

POISON = "poison"
WORK_S = 0.2
RESTART_S = 3.0


class Engines:
    """Engines that crash on poison, together with everything they run."""

    def __init__(self, net, box, names):
        self.net = net
        self.box = box
        self.crashed = []
        self.poison_s = 0.01
        self.n_tokens_first = 0
        self.crash_events = {name: asyncio.Event() for name in names}
        for name in names:
            net.targets.scripts[name] = [self.engine(name)]

    def engine(self, name):
        async def generate(call):
            crash_event = self.crash_events[name]
            if POISON in call.input and self.n_tokens_first:
                until = len(call.prefix_tokens) + self.n_tokens_first
                async for item in self.box.tokens(call, until=until):
                    yield item
            work_s = self.poison_s if POISON in call.input else WORK_S
            try:
                async with asyncio.timeout(work_s):
                    await crash_event.wait()
            except TimeoutError:
                if POISON in call.input and not crash_event.is_set():
                    self.crash(name)
            if crash_event.is_set():
                yield Broken("cut", crashed=True)
                return
            self.net.targets.ran[call.request_id] += 1
            async for item in self.box.tokens(call):
                yield item

        return generate

    def crash(self, name):
        self.crashed.append(name)
        self.crash_events[name].set()
        self.crash_events[name] = asyncio.Event()
        self.net.targets.down.add(name)
        mark_as_up = self.net.targets.down.discard
        asyncio.get_running_loop().call_later(RESTART_S, mark_as_up, name)


def build_network(box, n_daemons=8, n_engines=8):
    net = box.network(n_daemons)
    names = [f"engine-{i}" for i in range(1, n_engines + 1)]
    for number, dispatcher in enumerate(net.dispatchers):
        dispatcher.targets = box.engines(names)
        dispatcher.rng = random.Random(number)
        dispatcher.down = net.targets.down
    return net, Engines(net, box, names)


def chat(box, request_id, text, profile="chat"):
    return box.body(request_id, profile=profile, text=text)


@pytest.mark.fault("poison", "request admitted", "request sent")
@pytest.mark.fault("poison", "request partly answered")
@pytest.mark.parametrize("n_tokens_first", [0, 2])
def test_fifty_resends_crash_two_targets(box, n_tokens_first):
    async def scenario():
        net, engines = build_network(box)
        engines.n_tokens_first = n_tokens_first
        rng = random.Random(1)
        async with net:
            outcomes = []
            for i in range(50):
                body = chat(box, f"p{i}", POISON)
                outcomes.append(await net.send(body, daemon=rng.randrange(8)))
        assert len(engines.crashed) == 2
        assert all(o.status is not OutcomeStatus.ANSWERED for o in outcomes)
        assert all(o.reason is R.POISON for o in outcomes)
        assert all(o.action is CallerAction.DO_NOT_RESEND for o in outcomes)
        assert all(o.ran is Ran.NO for o in outcomes[1:])

    box.run(scenario())


@pytest.mark.fault("poison", "request sent")
@pytest.mark.parametrize("seed", range(5))
def test_resends_without_waiting_crash_two_targets(box, seed):
    """The caller resends to another daemon while the first request is retried."""

    async def scenario():
        net, engines = build_network(box)
        rng = random.Random(seed)
        async with net:
            sends = []
            for i in range(50):
                body = chat(box, f"p{i}", POISON)
                send = net.send(body, daemon=rng.randrange(8))
                sends.append(asyncio.create_task(send))
                await asyncio.sleep(0.011 + rng.random() * 0.02)
            outcomes = await asyncio.gather(*sends)
        assert len(engines.crashed) == 2
        assert all(o.reason is R.POISON for o in outcomes)

    box.run(scenario())


@pytest.mark.fault("poison", "request sent")
@pytest.mark.fault("target crashing", "request sent")
@pytest.mark.parametrize("seed", range(5))
def test_clean_requests_beside_poison_are_answered(box, seed):
    async def scenario():
        net, engines = build_network(box)
        rng = random.Random(seed)
        async with net:
            clean_runs = []
            for i in range(16):
                body = chat(box, f"i{i}", f"innocent {i}")
                clean_runs.append(
                    asyncio.create_task(net.send(body, daemon=rng.randrange(8)))
                )
            await asyncio.sleep(0.05)
            poison_runs = [
                asyncio.create_task(net.send(chat(box, f"p{i}", f"{POISON} {i}"), i))
                for i in range(2)
            ]
            outcomes = await asyncio.gather(*clean_runs)
            ends = await asyncio.gather(*poison_runs)
            again = await net.send(chat(box, "again", "innocent 0"))
        assert all(o.status is OutcomeStatus.ANSWERED for o in outcomes)
        assert again.status is OutcomeStatus.ANSWERED
        assert all(end.reason is R.POISON for end in ends)
        assert len(engines.crashed) <= 4
        quarantined = {event.fingerprint for event in net.named("content_convicted")}
        assert len(quarantined) == 2

    box.run(scenario())


@pytest.mark.fault("target crashing", "request sent", "request partly answered")
def test_crash_without_poison_quarantines_no_content(box):
    async def scenario():
        net, engines = build_network(box)
        for dispatcher in net.dispatchers:
            dispatcher.rng = None
        async with net:
            sends = [
                asyncio.create_task(net.send(chat(box, f"i{i}", f"text {i}"), i % 8))
                for i in range(8)
            ]
            await asyncio.sleep(0.05)
            engines.crash("engine-1")
            outcomes = await asyncio.gather(*sends)
        assert all(o.status is OutcomeStatus.ANSWERED for o in outcomes)
        assert not net.named("content_convicted")
        assert net.named("target_crashed")

    box.run(scenario())


@pytest.mark.fault("poison", "request claimed", "request sent")
def test_unrepeatable_poison_is_quarantined_by_its_second_attempt(box):
    async def scenario():
        net, engines = build_network(box)
        async with net:
            first = await net.send(chat(box, "p0", POISON, "notice"))
            assert (first.reason, first.ran) == (R.OUTCOME_UNKNOWN, Ran.UNKNOWN)
            same = await net.send(chat(box, "p0", POISON, "notice"), 3)
            assert same == first
            assert len(engines.crashed) == 1
            second = await net.send(chat(box, "p1", POISON, "notice"), 3)
            assert (second.reason, second.ran) == (R.POISON, Ran.UNKNOWN)
            for i in range(2, 20):
                third = await net.send(chat(box, f"p{i}", POISON, "notice"), i % 8)
                assert (third.reason, third.ran) == (R.POISON, Ran.NO)
        assert len(engines.crashed) == 2

    box.run(scenario())


@pytest.mark.fault("poison", "daemon starting")
def test_daemon_that_starts_later_has_the_quarantined_contents(box):
    async def scenario():
        net, engines = build_network(box)
        async with net:
            await net.send(chat(box, "p0", POISON))
            await asyncio.sleep(1)
            new_daemon = net.add_daemon()
            await new_daemon.start()
            await asyncio.sleep(1)
            outcome = await net.send(chat(box, "p1", POISON), daemon=8)
        assert (outcome.reason, outcome.ran) == (R.POISON, Ran.NO)
        assert len(engines.crashed) == 2

    box.run(scenario())


@pytest.mark.fault("poison", "request sent")
@pytest.mark.fault("store down", "request sent")
def test_quarantine_is_disseminated_without_the_table(box):
    async def scenario():
        net, engines = build_network(box)
        net.table.down = True
        async with net:
            await net.send(chat(box, "p0", POISON))
            outcome = await net.send(chat(box, "p1", POISON), daemon=7)
        assert outcome.reason is R.POISON
        assert len(engines.crashed) == 2

    box.run(scenario())


def test_suspects_with_one_content_run_one_trial_at_a_time(box):
    """Concurrent requests with one content crash one target, then one more."""

    async def scenario():
        net, engines = build_network(box)
        for dispatcher in net.dispatchers:
            dispatcher.rng = None
        async with net:
            sends = [net.send(chat(box, f"p{i}", POISON), i) for i in range(6)]
            outcomes = await asyncio.gather(*sends)
        assert len(engines.crashed) == 2
        assert all(o.reason is R.POISON for o in outcomes)

    box.run(scenario())


@pytest.mark.fault("target crashing", "request sent")
def test_more_suspects_than_targets_wait_for_free_targets(box):
    """Suspects wait for targets on which no trial of another suspect runs."""

    async def scenario():
        net, engines = build_network(box, n_engines=3)
        for dispatcher in net.dispatchers:
            dispatcher.rng = None
            dispatcher.waits = True
        async with net:
            sends = [
                asyncio.create_task(net.send(chat(box, f"i{i}", f"text {i}"), i % 8))
                for i in range(12)
            ]
            await asyncio.sleep(0.05)
            engines.crash("engine-1")
            outcomes = await asyncio.gather(*sends)
        assert all(o.status is OutcomeStatus.ANSWERED for o in outcomes)
        assert not net.named("content_convicted")

    box.run(scenario())


@pytest.mark.fault("poison", "request sent")
def test_copy_sent_before_the_first_crash_is_the_second_attempt(box):
    """The caller resends to another daemon just before the first target crashes."""

    async def scenario():
        net, engines = build_network(box)
        for dispatcher in net.dispatchers:
            dispatcher.rng = None
        net.dispatchers[1].targets = net.dispatchers[1].targets[3:]
        engines.poison_s = 0.05
        async with net:
            first = asyncio.create_task(net.send(chat(box, "p0", POISON), 0))
            await asyncio.sleep(0.04)
            second = asyncio.create_task(net.send(chat(box, "p1", POISON), 1))
            outcomes = await asyncio.gather(first, second)
        assert engines.crashed == ["engine-1", "engine-4"]
        assert all(o.reason is R.POISON for o in outcomes)

    box.run(scenario())
