"""Tests that an answer is framed as complete only if its target completed it."""

from __future__ import annotations

import asyncio

import httpx
import pytest
from emulated_world import Cluster
from scripted_target import Script, ScriptedTarget

CHUNKED = b"Transfer-Encoding: chunked"


def events(*numbers):
    return b"".join(b"id: %d\ndata: x\n\n" % number for number in numbers)


def chunks(*parts, ends=True):
    sent = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
    return sent + (b"0\r\n\r\n" if ends else b"")


class _World:
    """A gateway before two scripted targets of one pool."""

    def __init__(self, cluster, targets):
        self.cluster = cluster
        self.targets = targets

    def script(self, first, *others):
        """Give both targets these answers, in the order of the attempts."""
        scripts = [first, *others]
        for target in self.targets:
            target.scripts = scripts

    async def call(self, path):
        (gateway,) = self.cluster.gateways
        return (await self.cluster.call(gateway, path))[1]

    async def until_listed(self):
        (gateway,) = self.cluster.gateways
        pool = self.targets[0].service
        await self.cluster.until(
            lambda: (
                {each.key.target_id for each in gateway.state.registry.usable(pool)}
                == {each.name for each in self.targets}
            )
        )


@pytest.fixture
def run_scripted():
    """Run a scenario against targets that send scripted bytes."""

    def run(service, scenario):
        async def main():
            cluster = Cluster()
            targets = []
            try:
                await cluster.start()
                for name in ("0", "1"):
                    cluster.platform.store.remove("servers", f"{service}-{name}")
                    target = ScriptedTarget(
                        cluster.platform.store, f"scripted-{name}", service
                    )
                    targets.append(target)
                    await target.start()
                world = _World(cluster, targets)
                await world.until_listed()
                await scenario(world)
            finally:
                for target in targets:
                    await target.stop()
                await cluster.stop()

        asyncio.run(main())

    return run


@pytest.mark.parametrize(
    "body",
    [events(1, 2), events(1) + b"id: 2\nda"],
    ids=["after-an-event", "inside-an-event"],
)
@pytest.mark.parametrize("framing", [b"", CHUNKED], ids=["unframed", "chunked"])
def test_stream_that_a_crash_ended_plainly_is_not_framed_as_complete(
    run_scripted, body, framing
):
    async def scenario(world):
        sent = chunks(body, ends=False) if framing else body
        world.script(Script(sent, framing, crashes=True))
        with pytest.raises(httpx.RemoteProtocolError):
            await world.call("/model/x")

    run_scripted("model", scenario)


@pytest.mark.parametrize(
    "body",
    [events(1, 2), events(1, 2) + b"id: 3\nda"],
    ids=["after-an-event", "inside-an-event"],
)
def test_stream_that_a_crash_ended_plainly_is_continued_elsewhere(run_scripted, body):
    async def scenario(world):
        rest = Script(chunks(events(3, 4)), CHUNKED)
        world.script(Script(body, crashes=True), rest)
        answer = await world.call("/resume/x")
        assert answer.content == events(1, 2, 3, 4)
        asked = [each for t in world.targets for each in t.last_event_ids]
        assert sorted(asked, key=str) == ["2", None]

    run_scripted("model", scenario)


def test_stream_that_was_reset_is_not_framed_as_complete(run_scripted):
    async def scenario(world):
        world.script(Script(events(1, 2), resets=True))
        with pytest.raises(httpx.RemoteProtocolError):
            await world.call("/model/x")

    run_scripted("model", scenario)


def test_answer_that_a_crash_ended_plainly_is_not_framed_as_complete(run_scripted):
    async def scenario(world):
        world.script(Script(b"half of an ans", crashes=True))
        answer = await world.call("/once/x")
        assert answer.status_code == 502

    run_scripted("desk", scenario)


def test_answer_that_a_crash_ended_plainly_is_repeated_if_its_kind_allows(
    run_scripted,
):
    async def scenario(world):
        whole = Script(b"whole", b"Content-Length: 5")
        world.script(Script(b"who", crashes=True), whole)
        answer = await world.call("/safe/x")
        assert answer.content == b"whole"

    run_scripted("desk", scenario)


@pytest.mark.parametrize(
    ("path", "service"),
    [("/once/x", "desk"), ("/safe/x", "desk"), ("/model/x", "model")],
    ids=["once", "safe", "stream"],
)
def test_answer_without_length_or_chunks_is_complete_if_its_target_lives(
    run_scripted, path, service
):
    async def scenario(world):
        world.script(Script(events(1, 2)))
        answer = await world.call(path)
        assert answer.status_code == 200
        assert answer.content == events(1, 2)

    run_scripted(service, scenario)
