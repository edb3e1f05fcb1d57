"""Tests of complete requests through the service, with fake interfaces."""

from __future__ import annotations

import asyncio

import pytest

from aspendrift_model.digests import token_digest
from aspendrift_model.states import OutcomeStatus, Ran, RefusalReason


class Collector:
    def __init__(self):
        self.tokens = []

    async def token(self, n, text):
        self.tokens.append((n, text))


def test_pipeline_answers_completely(box):
    async def scenario():
        async with box.network() as net:
            sink = Collector()
            outcome = await net.send(box.body(), sink=sink)
        texts = [f"hello-{n} " for n in range(1, 9)]
        assert outcome.status is OutcomeStatus.ANSWERED
        assert outcome.output == "".join(texts)
        assert sink.tokens == list(enumerate(texts, 1))
        assert outcome.digest == token_digest(texts)
        assert [s.stage for s in outcome.stages] == [
            "encode",
            "retrieve",
            "rerank",
            "generate",
        ]
        assert len(net.named("route_decided")) == 4
        assert len(net.named("request_ended")) == 1

    box.run(scenario())


def test_call_answers_and_stores_the_outcome(box):
    async def scenario():
        async with box.network(2) as net:
            first = await net.send(box.body(profile="deposit"))
            again = await net.send(box.body(profile="deposit"), daemon=1)
        assert first.status is OutcomeStatus.ANSWERED
        assert again == first
        assert net.targets.ran["r1"] == 1

    box.run(scenario())


def test_unknown_profile_is_refused(box):
    async def scenario():
        async with box.network() as net:
            return await net.send(box.body(profile="nothing"))

    outcome = box.run(scenario())
    assert outcome.reason is RefusalReason.UNKNOWN_PROFILE
    assert outcome.ran is Ran.NO


@pytest.mark.fault("daemon leaving", "request admitted")
def test_leaving_daemon_refuses_with_other_addresses(box):
    async def scenario():
        async with box.network() as net:
            net.services[0].begin_leaving()
            return await net.send(box.body())

    outcome = box.run(scenario())
    assert outcome.reason is RefusalReason.LEAVING
    assert outcome.addresses == ("http://other",)


@pytest.mark.fault("caller gone", "request sent", "request partly answered")
def test_disconnected_caller_cancels_at_the_target(box):
    async def scenario():
        async with box.network() as net:
            started = asyncio.Event()

            async def stuck(call):
                async for item in box.tokens(call, until=2):
                    yield item
                started.set()
                await asyncio.sleep(60)

            net.targets.scripts["engine-1"] = [stuck]
            run = asyncio.create_task(net.send(box.body()))
            await started.wait()
            run.cancel()
            await asyncio.wait({run})
            for _ in range(5):
                await asyncio.sleep(0)
            assert [each[0] for each in net.targets.cancelled] == ["engine-1"]
            assert net.services[0].n_open == 0
        assert net.named("request_ended")[0].reason is RefusalReason.CALLER_GONE

    box.run(scenario())
