"""Property tests: every HTTP input gets a typed answer and never status 500."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import msgspec
import pytest
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st
from litestar import Litestar
from litestar.testing import TestClient

from aspendrift_daemon.limits import BodyLimits
from aspendrift_daemon.outcome_bodies import outcome_body
from aspendrift_daemon.request_routes import caller_routes, exception_handlers
from aspendrift_model.accounts import ClientAccount
from aspendrift_model.ids import AccountId, DaemonId, RequestId, Revision
from aspendrift_model.outcomes import Refused
from aspendrift_model.settings_requests import RequestSettings
from aspendrift_model.states import OutcomeStatus, Ran, RefusalReason
from aspendrift_model.wire_caller import OutcomeBody, RequestBody

SETTINGS = RequestSettings(max_body_bytes=4096)
AUTHORIZED = {"authorization": "Bearer t"}
SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text()
FIELDS = ("request_id", "profile", "input", "max_tokens", "deadline_ms", "stream", "x")
BODIES = st.dictionaries(st.sampled_from(FIELDS), SCALARS)
PATHS = st.text(st.characters(codec="ascii", exclude_categories=["Cc"]), max_size=30)
METHODS = st.sampled_from(["GET", "POST", "PUT", "DELETE", "PATCH", "OPTIONS", "ODD"])


class EchoService:
    """Answers each request with its input."""

    async def run(self, account: Any, body: RequestBody, sink: Any = None) -> Any:
        return OutcomeBody(
            body.request_id, OutcomeStatus.ANSWERED, Ran.YES, output=body.input
        )

    async def look_up(self, account: Any, request_id: str) -> OutcomeBody:
        reason = RefusalReason.NOT_FOUND
        return OutcomeBody(request_id, OutcomeStatus.FAILED, Ran.UNKNOWN, reason=reason)

    def unknown_account(self) -> OutcomeBody:
        refusal = Refused(RefusalReason.UNAUTHENTICATED)
        return outcome_body(
            RequestId(""), refusal, daemon_id=DaemonId("d"), revision=Revision(1)
        )


class OneAccount:
    """Authenticator that accepts one token."""

    def account(self, authorization: str | None) -> ClientAccount | None:
        known = authorization == AUTHORIZED["authorization"]
        return ClientAccount(AccountId("a"), "") if known else None


@pytest.fixture(scope="module")
def client() -> Iterator[TestClient[Any]]:
    service: Any = EchoService()
    authenticator: Any = OneAccount()
    app: Any = Litestar(
        caller_routes(service, authenticator, SETTINGS),
        exception_handlers=exception_handlers(),
        logging_config=None,
    )
    limited: Any = BodyLimits(app, SETTINGS.max_body_bytes, 10.0)
    with TestClient(limited, raise_server_exceptions=True) as test_client:
        yield test_client


def check_typed(status: int, content: bytes) -> OutcomeBody:
    assert status < 500
    outcome = msgspec.json.decode(content, type=OutcomeBody)
    if outcome.status is not OutcomeStatus.ANSWERED:
        assert outcome.reason is not None
        assert outcome.sentence or status == 404
    return outcome


@settings(suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(st.binary(max_size=200))
@example(b"[" * 4000)
@example(b'{"request_id": "\\ud800", "profile": "p", "input": "x"}')
@example(b"\xff")
@example(b"x" * 5000)
def test_any_body_gets_a_typed_answer(client: TestClient[Any], body: bytes) -> None:
    response = client.post("/v1/requests", content=body, headers=AUTHORIZED)
    outcome = check_typed(response.status_code, response.content)
    assert outcome.ran is Ran.NO


@settings(suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(BODIES)
def test_any_fields_get_a_typed_answer(
    client: TestClient[Any], fields: dict[str, Any]
) -> None:
    content = msgspec.json.encode(fields)
    response = client.post("/v1/requests", content=content, headers=AUTHORIZED)
    outcome = check_typed(response.status_code, response.content)
    if outcome.status is OutcomeStatus.ANSWERED:
        assert outcome.output == fields["input"]


@settings(suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(METHODS, PATHS, st.booleans())
def test_any_route_gets_a_typed_answer(
    client: TestClient[Any], method: str, path: str, authorized: bool
) -> None:
    url = "/" + path.lstrip("/").replace("?", "").replace("#", "")
    headers = AUTHORIZED if authorized else {}
    response = client.request(method, url, headers=headers)
    if not response.headers.get("content-type", "").startswith("application/json"):
        assert response.status_code in (200, 204)
        return
    assert response.status_code < 500


@given(st.text(st.characters(codec="ascii", categories=["L", "N", "P"]), max_size=20))
@settings(suppress_health_check=[HealthCheck.function_scoped_fixture])
def test_any_wrong_token_is_refused(client: TestClient[Any], token: str) -> None:
    headers = {"authorization": f"Bearer {token}x"}
    response = client.post("/v1/requests", content=b"{}", headers=headers)
    outcome = check_typed(response.status_code, response.content)
    assert outcome.reason is RefusalReason.UNAUTHENTICATED
