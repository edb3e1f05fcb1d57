"""Tests of the end of the embedded HTTP server, in virtual time."""

from __future__ import annotations

import asyncio

import pytest
import uvicorn

from aspendrift_daemon.embedded_server import EmbeddedServer
from aspendrift_standins.virtual_time import run_virtual

CLOSE_S = 0.4


class Connection:
    def __init__(self, ends_after_s=None):
        self.ends_after_s = ends_after_s
        self.connections = None

    def shutdown(self):
        if self.ends_after_s is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(self.ends_after_s, self.connections.discard, self)


class Request:
    """A request that answers some time after it was ended."""

    def __init__(self, answer_s):
        self.answer_s = answer_s
        self.is_answered = False

    async def serve(self):
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            await asyncio.sleep(self.answer_s)
            self.is_answered = True


async def app(scope, receive, send):
    raise NotImplementedError


async def closing_s(connections=(), requests=()):
    """Return the time that a server takes to close."""
    config = uvicorn.Config(app, http="h11", ws="none", lifespan="off", log_config=None)
    config.load()
    server = EmbeddedServer(config, CLOSE_S)
    server.servers = []
    state = server.server_state
    for connection in connections:
        connection.connections = state.connections
        state.connections.add(connection)
    for request in requests:
        task = asyncio.create_task(request.serve())
        task.add_done_callback(state.tasks.discard)
        state.tasks.add(task)
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    server.begin_exit()
    await server.main_loop()
    await server.shutdown()
    return loop.time() - began_at


@pytest.mark.parametrize("connections", [(), (Connection(0.1),)])
def test_server_whose_connections_end_does_not_wait(connections):
    assert run_virtual(closing_s(connections)) < CLOSE_S / 2


def test_connection_that_stays_open_does_not_delay_the_close():
    took_s = run_virtual(closing_s([Connection()]))
    assert CLOSE_S <= took_s < CLOSE_S + 0.05


def test_request_ended_by_the_close_has_time_to_answer():
    request = Request(answer_s=0.05)
    assert run_virtual(closing_s([Connection(0.35)], [request])) <= CLOSE_S
    assert request.is_answered


def test_request_that_does_not_end_does_not_delay_the_close():
    took_s = run_virtual(closing_s(requests=[Request(answer_s=60.0)]))
    assert CLOSE_S <= took_s < CLOSE_S + 0.05
