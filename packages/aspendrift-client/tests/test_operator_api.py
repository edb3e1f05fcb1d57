"""Tests of the operator API client."""

from __future__ import annotations

from collections.abc import Callable

import httpx
import msgspec
import pytest

from aspendrift_client.operator_api import CallRefused, NoDaemonAnswered, OperatorApi
from aspendrift_model.states import ItemKind, RefusalReason
from aspendrift_model.wire_operator import (
    ChangeAnswer,
    ChangeRequest,
    ChangeStatus,
    OperatorRefusal,
)

CHANGE = ChangeRequest("c1", ItemKind.ACCOUNT, "x", 0)
Handler = Callable[[httpx.Request], httpx.Response]


def api(handler: Handler, *urls: str) -> OperatorApi:
    client = httpx.Client(transport=httpx.MockTransport(handler))
    return OperatorApi(urls or ("http://d0/",), "secret", client)


def body(value: msgspec.Struct, status_code: int = 200) -> httpx.Response:
    return httpx.Response(status_code, content=msgspec.json.encode(value))


@pytest.mark.fault("daemon killed", "change submitted")
def test_change_is_repeated_elsewhere_with_the_same_id() -> None:
    sent: list[bytes] = []

    def handler(request: httpx.Request) -> httpx.Response:
        sent.append(request.content)
        if request.url.host == "d0":
            raise httpx.ReadTimeout("")
        return body(ChangeAnswer("c1", ChangeStatus.ACCEPTED, 3))

    answer = api(handler, "http://d0", "http://d1").make_change(CHANGE)
    assert answer.revision == 3
    assert len(sent) == 2
    assert sent[0] == sent[1]


def test_token_is_sent() -> None:
    def handler(request: httpx.Request) -> httpx.Response:
        assert request.headers["authorization"] == "Bearer secret"
        return body(ChangeAnswer("c1", ChangeStatus.ABSENT), 404)

    assert api(handler).find_change("c1").status is ChangeStatus.ABSENT


def test_refusal_is_typed() -> None:
    refusal = OperatorRefusal(RefusalReason.FORBIDDEN, "")
    with pytest.raises(CallRefused) as caught:
        api(lambda request: body(refusal, 403)).status()
    assert caught.value.reason is RefusalReason.FORBIDDEN


def test_missing_item_is_none() -> None:
    refusal = OperatorRefusal(RefusalReason.NOT_FOUND, "")
    found = api(lambda request: body(refusal, 404)).find_item(ItemKind.PROFILE, "p")
    assert found is None


def test_no_answer_names_every_failure() -> None:
    def handler(request: httpx.Request) -> httpx.Response:
        raise httpx.ConnectError("")

    with pytest.raises(NoDaemonAnswered) as caught:
        api(handler, "http://d0", "http://d1").status()
    assert len(caught.value.failures) == 2


def test_wait_ends_when_in_force() -> None:
    answers = [
        ChangeAnswer("c1", ChangeStatus.ACCEPTED, 1, 2, 3, ("d2",)),
        ChangeAnswer("c1", ChangeStatus.IN_FORCE, 1, 3, 3),
    ]
    seen: list[ChangeAnswer] = []
    waiting = api(lambda request: body(answers[len(seen)]))
    last = waiting.wait_in_force("c1", 60.0, seen.append)
    assert last.status is ChangeStatus.IN_FORCE
    assert seen == answers
