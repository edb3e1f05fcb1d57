"""Tests of streams: order, back pressure, resumption, continuation."""

from __future__ import annotations

import asyncio

import pytest

from aspendrift_daemon.streams import CallerStream
from aspendrift_daemon.targets import Broken, ForeignAnswer, StageAnswered
from aspendrift_model.states import OutcomeStatus, Ran
from aspendrift_model.states import RefusalReason as R
from aspendrift_model.wire_target import GeneratedEnd, GeneratedToken

COMPLETE_OUTPUT = "".join(f"hello-{n} " for n in range(1, 9))


def chat(box, **more):
    return box.body(profile="chat", **more)


class Collector:
    def __init__(self):
        self.tokens = []

    async def token(self, n, text):
        self.tokens.append((n, text))

    def is_complete(self):
        numbers = [n for n, _ in self.tokens]
        texts = "".join(text for _, text in self.tokens)
        return numbers == list(range(1, 9)) and texts == COMPLETE_OUTPUT


def cut_after(box, until, *, crashed=False):
    async def cut(call):
        async for item in box.tokens(call, until=until):
            yield item
        yield Broken("cut", crashed)

    return cut


@pytest.mark.fault("target failing", "request sent", "request partly answered")
@pytest.mark.parametrize("until", [0, 1, 5, 8])
def test_broken_stream_is_resumed_at_the_engine(box, until):
    async def scenario():
        async with box.network() as net:
            sink = Collector()
            net.targets.scripts["engine-1"] = [cut_after(box, until), None]
            outcome = await net.send(chat(box), sink=sink)
        assert outcome.output == COMPLETE_OUTPUT
        assert sink.is_complete()
        assert net.targets.calls[1] == ("engine-1", ("resume", until))

    box.run(scenario())


@pytest.mark.fault("target crashing", "request partly answered")
@pytest.mark.parametrize("until", [0, 1, 5, 8])
def test_crashed_engine_is_replaced_by_another(box, until):
    async def scenario():
        async with box.network() as net:
            sink = Collector()
            net.targets.scripts["engine-1"] = [cut_after(box, until, crashed=True)]
            outcome = await net.send(chat(box), sink=sink)
        assert outcome.output == COMPLETE_OUTPUT
        assert sink.is_complete()
        name, call = net.targets.calls[1]
        assert name == "engine-2"
        assert len(call.prefix_tokens) == until

    box.run(scenario())


@pytest.mark.fault("target crashing", "request partly answered")
def test_stream_that_may_not_be_repeated_is_not_continued_elsewhere(box):
    async def scenario():
        async with box.network() as net:
            net.targets.scripts["engine-1"] = [cut_after(box, 3, crashed=True)]
            outcome = await net.send(box.body(profile="notice"), sink=Collector())
        assert outcome.status is OutcomeStatus.FAILED
        assert outcome.ran is Ran.YES
        assert len(net.targets.calls) == 1

    box.run(scenario())


@pytest.mark.fault("repeated answer", "request partly answered", "request answered")
@pytest.mark.fault("foreign answer", "request partly answered", "request answered")
def test_repeated_and_foreign_tokens_are_dropped(box):
    async def noisy(call):
        async for item in box.tokens(call):
            yield GeneratedToken("other.1", 1, "foreign")
            yield item
            yield item if isinstance(item, GeneratedToken) else Broken("late")

    async def scenario():
        async with box.network() as net:
            sink = Collector()
            net.targets.scripts["engine-1"] = [noisy]
            outcome = await net.send(chat(box), sink=sink)
        assert outcome.output == COMPLETE_OUTPUT
        assert sink.is_complete()
        assert len(net.named("answer_dropped")) >= 16

    box.run(scenario())


@pytest.mark.fault("foreign answer", "request sent", "request answered")
def test_answer_to_another_attempt_is_not_used(box):
    async def scenario():
        async with box.network() as net:
            net.targets.scripts["service-1"] = [
                box.after_run(net.targets, ForeignAnswer("other.1"))
            ]
            repeated = await net.send(box.body("r1", profile="log"))
            once = await net.send(box.body("r2", profile="deposit"))
        assert repeated.status is OutcomeStatus.ANSWERED
        assert repeated.output == '"call:hello"'
        assert (once.reason, once.ran) == (R.OUTCOME_UNKNOWN, Ran.UNKNOWN)
        assert net.targets.ran["r2"] == 1

    box.run(scenario())


@pytest.mark.fault("target failing", "request sent", "request partly answered")
def test_stream_with_a_missing_token_is_not_accepted_as_complete(box):
    async def skips(call):
        async for item in box.tokens(call):
            if not (isinstance(item, GeneratedToken) and item.n == 4):
                yield item

    async def scenario():
        async with box.network() as net:
            sink = Collector()
            net.targets.scripts["engine-1"] = [skips, None]
            outcome = await net.send(chat(box), sink=sink)
        assert outcome.output == COMPLETE_OUTPUT
        assert sink.is_complete()

    box.run(scenario())


@pytest.mark.fault("target slow", "request partly answered")
@pytest.mark.fault("late answer", "request partly answered")
def test_stream_past_its_deadline_ends_and_is_cancelled(box):
    async def slow(call):
        async for item in box.tokens(call, until=2):
            yield item
        await asyncio.sleep(60)
        yield GeneratedEnd(call.attempt_id, 2, "")

    async def scenario():
        async with box.network() as net:
            net.targets.scripts["engine-1"] = [slow]
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            outcome = await net.send(chat(box, deadline_ms=500))
            assert loop.time() - started_at <= 0.51
            await asyncio.sleep(0)
            assert [each[0] for each in net.targets.cancelled] == ["engine-1"]
        assert (outcome.reason, outcome.ran) == (R.DEADLINE_EXCEEDED, Ran.YES)
        assert outcome.retry_after_ms

    box.run(scenario())


@pytest.mark.fault("target slow", "request sent")
def test_slow_call_is_tried_elsewhere_within_the_deadline(box):
    async def slow(call):
        await asyncio.sleep(60)

    async def scenario():
        async with box.network() as net:
            net.targets.scripts["service-1"] = [slow]
            outcome = await net.send(box.body(profile="log"))
        assert outcome.status is OutcomeStatus.ANSWERED
        assert [query.is_retry for query in net.dispatchers[0].queries] == [False, True]
        assert net.targets.cancelled[0][0] == "service-1"

    box.run(scenario())


@pytest.mark.fault("target failing", "request sent")
def test_failed_request_is_answered_at_once_with_a_retry_time(box):
    async def fail(call):
        return Broken("status 500")

    async def scenario():
        async with box.network() as net:
            net.targets.scripts = {"service-1": [fail], "service-2": [fail]}
            loop = asyncio.get_running_loop()
            outcome = await net.send(box.body(profile="log"))
            assert loop.time() < 0.01
        assert outcome.reason is R.TARGET_FAILED
        assert outcome.retry_after_ms

    box.run(scenario())


def test_concurrent_requests_with_one_id_run_separately(box):
    async def scenario():
        async with box.network() as net:
            sinks = Collector(), Collector()
            bodies = chat(box), chat(box, text="other")
            first, second = await asyncio.gather(
                *(net.send(b, sink=s) for b, s in zip(bodies, sinks, strict=True))
            )
        assert first.output == COMPLETE_OUTPUT
        assert second.output == COMPLETE_OUTPUT.replace("hello", "other")
        attempts = [call.attempt_id for _, call in net.targets.calls]
        assert len(set(attempts)) == 2

    box.run(scenario())


def test_slow_caller_pauses_only_its_own_engine_stream(box):
    async def scenario():
        async with box.network() as net:
            produced = []

            async def counted(call):
                async for item in box.tokens(call):
                    produced.append(item)
                    yield item

            net.targets.scripts["engine-1"] = [counted, None]
            stream = CallerStream(3)
            run = asyncio.create_task(net.send(chat(box), sink=stream))
            run.add_done_callback(lambda _: stream.updated.set())
            await asyncio.sleep(1)
            assert len(produced) == 4
            other = await net.send(chat(box, request_id="r2"))
            assert other.output == COMPLETE_OUTPUT
            lines = [line async for line in stream.lines(run, run.result)]
        assert b"".join(lines).count(b'"event":"token"') == 8
        assert len(produced) == 9

    box.run(scenario())


@pytest.mark.fault("caller gone", "request partly answered")
def test_stalled_caller_frees_the_slot_at_the_deadline(box):
    async def scenario():
        async with box.network() as net:
            stream = CallerStream(2)
            outcome = await net.send(chat(box, deadline_ms=300), sink=stream)
            assert not any(net.dispatchers[0].held.values())
        assert (outcome.reason, outcome.ran) == (R.DEADLINE_EXCEEDED, Ran.YES)

    box.run(scenario())


@pytest.mark.fault("late answer", "request sent", "request answered")
def test_answer_after_the_retry_was_sent_is_not_used(box):
    async def scenario():
        async with box.network() as net:
            retry_started = asyncio.Event()

            async def answers_late(call):
                await retry_started.wait()
                return StageAnswered(b'"late"', 1.0)

            async def answers(call):
                retry_started.set()
                await asyncio.sleep(0.1)
                return StageAnswered(b'"own"', 1.0)

            net.targets.scripts = {"service-1": [answers_late], "service-2": [answers]}
            outcome = await net.send(box.body(profile="log"))
        assert outcome.output == '"own"'

    box.run(scenario())
