"""Tests that answers without end are broken off before they fill the memory."""

from __future__ import annotations

import asyncio
import collections

import pytest
from platform_emulator import MAX_ENDLESS_BYTES
from scripted_target import CHUNKED, MAX_REPEATED_BYTES, Script, chunks

from aspendrift_daemon.metered_transport import BodyFragmented, BodyTooLarge
from aspendrift_gateway.events import TargetBroke
from aspendrift_gateway.target_client import Answer

FILLER = b"x" * 100_000
BYTE_CHUNKS = Script(chunks(*[b"."] * 1000, ends=False), CHUNKED, repeats=True)
# Framing of a chunk is two lines, and 128 lines are parsed in one turn.
MAX_CHUNKS_PER_TURN = 65


def assert_broken_off(world):
    sent = [target.n_bytes_sent for target in world.targets]
    assert 0 < max(sent) < MAX_REPEATED_BYTES


@pytest.mark.parametrize(
    "script",
    [
        Script(FILLER, repeats=True),
        Script(chunks(FILLER, ends=False), CHUNKED, repeats=True),
        Script(FILLER, b"Content-Length: 99999999999", repeats=True),
        Script(FILLER, repeats=True, status=b"404 Not Found", is_signed=False),
        Script(b"", repeats_head=True),
    ],
    ids=["unframed", "chunked", "length", "unsigned", "head"],
)
def test_answer_without_end_is_not_kept(run_scripted, script):
    async def scenario(world):
        world.script(script)
        answer = await world.call("/once/x")
        assert answer.status_code == 502
        assert_broken_off(world)

    run_scripted("desk", scenario)


@pytest.mark.parametrize(
    "script",
    [
        Script(b"", repeats_head=True),
        Script(b"", b"\r\n".join([b"X-Filler: x"] * 2000)),
        Script(b"", cut_head=b"HTTP/1.1 200 OK\r\n"),
    ],
    ids=["bytes", "lines", "crash"],
)
def test_only_a_broken_connection_is_taken_for_a_crash(run_scripted, script):
    """Guards against contents that are refused as poison since heads were too long."""

    async def scenario(world):
        broke = []
        (gateway,) = world.cluster.gateways
        gateway.events.connect(TargetBroke, broke.append)
        world.script(script)
        answer = await world.call("/once/x")
        assert answer.status_code == 502
        assert len(broke) == bool(script.cut_head)

    run_scripted("desk", scenario)


@pytest.mark.parametrize("framing", [b"", CHUNKED], ids=["unframed", "chunked"])
def test_event_without_end_is_not_kept(run_scripted, framing):
    async def scenario(world):
        filler = chunks(FILLER, ends=False) if framing else FILLER
        world.script(Script(filler, framing, repeats=True))
        answer = await world.call("/model/x")
        assert answer.status_code == 502
        assert_broken_off(world)

    run_scripted("model", scenario)


def test_results_of_pieces_without_end_are_not_kept(run_scripted):
    async def scenario(world):
        world.script(*[Script(FILLER, repeats=True) for _ in range(30)])
        (gateway,) = world.cluster.gateways
        _, answer = await world.cluster.stream(gateway, pieces="1,1,1")
        assert answer.status_code in (502, 503)
        assert_broken_off(world)

    run_scripted("first", scenario)


def test_answers_of_the_store_without_end_are_not_kept(run_scenario):
    async def scenario(cluster):
        store = cluster.platform.store
        store.is_endless = True
        await cluster.until(
            lambda: any(isinstance(each, BodyTooLarge) for each in cluster.events)
        )
        _, answer = await cluster.call(cluster.gateways[0], "/safe/x")
        assert answer.status_code == 200
        store.is_endless = False
        cluster.platform.configure(2)
        await cluster.until(
            lambda: cluster.gateways[0].state.configuration_version == 2
        )
        assert 0 < store.n_endless_bytes < MAX_ENDLESS_BYTES

    run_scenario(scenario)


def ended_fragmented(world):
    """Return the addresses of the exchanges that will end as too fragmented."""
    found = []
    (gateway,) = world.cluster.gateways
    gateway.events.connect(BodyFragmented, lambda event: found.append(event.address))
    return found


@pytest.mark.parametrize(
    ("service", "path"), [("model", "/model/x"), ("desk", "/once/x")]
)
def test_chunks_of_one_byte_without_end_are_broken_off(run_scripted, service, path):
    """Guards against one answer that takes the processor until its deadline."""

    async def scenario(world):
        ended = ended_fragmented(world)
        world.script(BYTE_CHUNKS, BYTE_CHUNKS)
        answer = await world.call(path)
        assert answer.status_code == 502
        assert ended and set(ended) <= {each.address for each in world.targets}

    run_scripted(service, scenario)


class ChunksByTurn:
    """Counts the chunks that are read in each turn of the event loop."""

    def __init__(self, monkeypatch):
        self.n_by_turn = collections.Counter()
        self._n_turns = 0
        read = Answer.chunks

        async def counted(answer):
            async for chunk in read(answer):
                self.n_by_turn[self._n_turns] += 1
                yield chunk

        monkeypatch.setattr(Answer, "chunks", counted)

    async def count_turns(self):
        while True:
            self._n_turns += 1
            await asyncio.sleep(0)


@pytest.mark.parametrize("service", ["model", "desk", "first"])
def test_chunks_of_one_byte_do_not_hold_up_other_requests(
    run_scripted, monkeypatch, service
):
    """Guards against a gateway that stands still while it reads one answer."""
    found = ChunksByTurn(monkeypatch)

    async def scenario(world):
        counting = asyncio.create_task(found.count_turns())
        world.script(*[BYTE_CHUNKS for _ in range(30)])
        if service == "first":
            (gateway,) = world.cluster.gateways
            await world.cluster.stream(gateway, pieces="1,1,1")
        else:
            await world.call("/model/x" if service == "model" else "/once/x")
        counting.cancel()
        assert found.n_by_turn.total() > 1000
        # Of two targets that are read at once.
        assert max(found.n_by_turn.values()) <= 2 * MAX_CHUNKS_PER_TURN

    run_scripted(service, scenario)
