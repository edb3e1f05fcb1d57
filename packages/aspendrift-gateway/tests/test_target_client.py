"""Tests of the connections to targets."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import replace

import pytest

from aspendrift_gateway.interfaces import AnswerHead, HttpCall
from aspendrift_gateway.target_client import Broken, TargetClient
from aspendrift_model.ids import AttemptId
from aspendrift_standins.virtual_time import run_virtual

from .conftest import entry


class FakeTransport:
    def __init__(self):
        self.is_closed = False

    async def aclose(self):
        self.is_closed = True


def test_open_exchanges_continue_when_their_target_leaves_the_list():
    """Guards against streams cut off when the entry of their target is removed."""

    async def run():
        client = TargetClient(None, lambda key: None)
        target = entry("t1")
        connections = client._connections(target)
        connections.transport = FakeTransport()
        client.evict(target.key.target_id)
        await asyncio.sleep(15.0)
        assert not connections.transport.is_closed
        assert client._connections(target) is not connections
        await asyncio.sleep(30.0)
        assert connections.transport.is_closed

    run_virtual(run())


class RefusingTarget:
    """Refuses each call, and counts the connections."""

    def __init__(self):
        self.n_connections = 0
        self._writers = []

    async def close(self):
        for writer in self._writers:
            writer.close()
            with contextlib.suppress(ConnectionError):
                await writer.wait_closed()

    async def serve(self, reader, writer):
        self.n_connections += 1
        self._writers.append(writer)
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(4)
                writer.write(b"HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nfull")
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def answer_head(self, status, headers):
        return AnswerHead(None, False, True, False, False)


def test_surplus_answer_after_a_refused_call_is_not_read_as_that_of_the_next():
    async def run():
        refusing = RefusingTarget()
        server = await asyncio.start_server(refusing.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        target = replace(entry("t1"), address=f"127.0.0.1:{port}")
        client = TargetClient(refusing, lambda key: None)
        for _ in range(3):
            call = HttpCall("POST", "/", b"call")
            answer = await client.send_and_read(target, call, (), 0.0)
            assert answer.status == 503
        assert refusing.n_connections == 3
        await client.close()
        server.close()
        await refusing.close()

    asyncio.run(run())


class RepeatingTarget:
    """Answers each call with its number; the second one also with the first answer."""

    def __init__(self):
        self.n_calls = 0
        self.writers = []

    async def serve(self, reader, writer):
        self.writers.append(writer)
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(4)
                self.n_calls += 1
                numbers = [1, 2] if self.n_calls == 2 else [self.n_calls]
                for number in numbers:
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n")
                    writer.write(b"%d" % number)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def answer_head(self, status, headers):
        return AnswerHead(None, False, False, False, False)


def test_true_answer_after_a_copy_is_not_read_as_that_of_the_next_call():
    """Guards against results of one request that are given to another."""

    async def run():
        repeating = RepeatingTarget()
        server = await asyncio.start_server(repeating.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        target = replace(entry("t1"), address=f"127.0.0.1:{port}")
        client = TargetClient(repeating, lambda key: None)
        seen = set()

        def is_sound(answer):
            is_new = answer.body not in seen
            seen.add(answer.body)
            return is_new

        found = []
        for _ in range(3):
            call = HttpCall("POST", "/", b"call")
            answer = await client.send_and_read(target, call, (), 0.0, is_sound)
            found.append(answer.body)
        assert found == [b"1", b"1", b"3"]
        assert len(repeating.writers) == 2
        await client.close()
        server.close()
        for writer in repeating.writers:
            writer.close()
            with contextlib.suppress(ConnectionError):
                await writer.wait_closed()

    asyncio.run(run())


class StutteringTarget:
    """Sends a copy of each answer beside the next one, and fails each second request.

    Parameters
    ----------
    place : str
        Where the copy goes: before the next answer, whole or cut off, together with it,
        in parts, or behind the answer that it repeats.
    """

    def __init__(self, place, is_named=True, is_chunked=False):
        self.place = place
        self.is_chunked = is_chunked
        self.is_named = is_named
        self.n_run = 0
        self._connections = []

    async def close(self):
        await asyncio.gather(*self._connections)

    async def serve(self, reader, writer):
        self._connections.append(asyncio.current_task())
        await self._answer_all(reader, writer)
        writer.close()
        with contextlib.suppress(ConnectionError):
            await writer.wait_closed()

    async def _answer_all(self, reader, writer):
        copy = b""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(4)
                attempt_id = head.partition(b"attempt-id: ")[2].partition(b"\r\n")[0]
                answer = self._answer(attempt_id)
                for part in self._parts(copy, answer):
                    writer.write(part)
                    await asyncio.sleep(0.002)
                copy = answer
                if not self.is_named:
                    copy = copy.replace(b"Attempt-Id", b"Other")

    def _answer(self, attempt_id):
        self.n_run += 1
        status = 500 if self.n_run % 2 == 0 else 200
        body = b"answer to " + attempt_id
        framing = b"Content-Length: %d" % len(body)
        if self.is_chunked:
            framing = b"Transfer-Encoding: chunked"
            body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        return b"HTTP/1.1 %d X\r\nAttempt-Id: %s\r\nSigned: 1\r\n%s\r\n\r\n%s" % (
            status,
            attempt_id,
            framing,
            body,
        )

    def _parts(self, copy, answer):
        if self.place == "before":
            return (copy, answer)
        if self.place == "cut":
            return (copy[:-3], answer)
        if self.place == "cut in the head":
            return (copy[:40], answer)
        if self.place == "together":
            return (copy + answer,)
        if self.place == "in parts":
            return (copy[:9], copy[9:50], copy[50:] + answer[:30], answer[30:])
        return (answer + answer,)

    def answer_head(self, status, headers):
        values = {name.lower(): value.decode() for name, value in headers}
        attempt_id = values.get(b"attempt-id")
        return AnswerHead(attempt_id, b"signed" in values, False, False, False)


async def exchange_with(stuttering, n_requests):
    """Return the answers of a target to some requests, each with its id."""
    server = await asyncio.start_server(stuttering.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    target = replace(entry("t1"), address=f"127.0.0.1:{port}")
    client = TargetClient(stuttering, lambda key: None)
    answers = []
    for number in range(n_requests):
        attempt_id = AttemptId(f"r{number}")
        headers = ((b"attempt-id", attempt_id.encode()),)
        call = HttpCall("POST", "/", b"call", attempt_id)
        answers.append(await client.send_and_read(target, call, headers, 0.0))
    await client.close()
    server.close()
    await stuttering.close()
    return answers


@pytest.mark.parametrize("place", ["before", "together", "in parts", "behind"])
@pytest.mark.parametrize("is_named", [True, False])
@pytest.mark.parametrize("is_chunked", [True, False])
def test_request_gets_its_own_answer_from_a_target_that_answers_twice(
    place, is_named, is_chunked
):
    stuttering = StutteringTarget(place, is_named, is_chunked)
    answers = asyncio.run(exchange_with(stuttering, 6))
    assert [each.status for each in answers] == [200, 500] * 3
    bodies = [each.body for each in answers]
    assert bodies == [b"answer to r%d" % number for number in range(6)]
    assert stuttering.n_run == 6


@pytest.mark.parametrize("place", ["cut", "cut in the head"])
def test_answer_behind_a_copy_that_was_cut_off_is_no_crash_of_its_target(place):
    whole, lost = asyncio.run(exchange_with(StutteringTarget(place), 2))
    assert whole.body == b"answer to r0"
    assert isinstance(lost, Broken)
    assert not lost.may_have_crashed
