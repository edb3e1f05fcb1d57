"""Tests of counting and logging headers that can't be decoded."""

from __future__ import annotations

from types import SimpleNamespace

from aspendrift_daemon.events import EventHub
from aspendrift_gateway.interfaces import AnswerHead, HttpCall
from aspendrift_gateway.target_client import TargetClient
from aspendrift_gateway.unreadable_headers import UnreadableHeaders
from aspendrift_model.ids import TargetId
from aspendrift_standins.virtual_time import run_virtual

from .conftest import entry


def test_header_is_logged_once_per_target_and_minute_and_always_counted():
    """Guards against a log line per answer of a target with a malformed header."""
    logged, hub = [], EventHub()
    hub.connect_all(logged.append)
    headers = UnreadableHeaders(hub)
    for step in range(1300):
        headers.record(TargetId("t1"), "load: x", step * 0.1)
        headers.record(TargetId("t2"), "load: y", step * 0.1)
    assert [each.n_answers for each in logged] == [1, 1, 600, 600, 600, 600]
    assert headers.n_answers == 2600


def test_targets_that_ended_are_forgotten():
    headers = UnreadableHeaders(EventHub())
    for number in range(1000):
        headers.record(TargetId(f"t{number}"), "load: x", float(number))
    assert len(headers._logged_by_id) <= 121


def test_client_reports_headers_of_an_answer():
    """Guards against ignored headers of a target that nobody learns of."""
    found = []
    head = AnswerHead(None, True, False, False, False, unreadable="load: x")
    codec = SimpleNamespace(answer_head=lambda status, headers: head)
    client = TargetClient(
        codec, lambda key: None, on_unreadable=lambda *each: found.append(each)
    )

    async def respond(request):
        headers = SimpleNamespace(raw=())
        return SimpleNamespace(status_code=200, headers=headers, extensions={})

    async def run():
        connections = client._connections(entry("t1"))
        connections.transport = SimpleNamespace(handle_async_request=respond)
        await client.send(entry("t1"), HttpCall("POST", "/"), (), 5.0)

    run_virtual(run())
    assert found == [("t1", "load: x", 5.0)]
