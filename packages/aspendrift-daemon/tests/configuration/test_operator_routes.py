"""Tests of the operator routes and of the address route over HTTP."""

from __future__ import annotations

import asyncio
import hashlib
from typing import Any

import httpx
import msgspec
import pytest
from litestar import Litestar

from aspendrift_daemon.address_routes import AddressSelector, address_routes
from aspendrift_daemon.events import EventHub
from aspendrift_daemon.operator_access import OperatorAccess
from aspendrift_daemon.operator_answers import OperatorAnswers
from aspendrift_daemon.operator_routes import (
    ChangeRequested,
    OperatorContext,
    operator_routes,
)
from aspendrift_daemon.target_survey import TargetSurvey
from aspendrift_model.settings_http import HttpSettings, OperatorRole, OperatorToken

NAMES = ("d0", "d1", "d2")
COUNTS = {"d0": 0, "d1": 2, "d2": 1}


def sha256(token: str) -> str:
    return hashlib.sha256(token.encode()).hexdigest()


OPERATORS = tuple(
    OperatorToken(role.value, sha256(f"token-{role.value}"), (role,))
    for role in OperatorRole
)


class Api:
    """HTTP client of daemon d0 of a world whose daemons have started."""

    def __init__(self, world: Any, settings: HttpSettings) -> None:
        self.requested: list[ChangeRequested] = []
        hub = EventHub()
        hub.connect(ChangeRequested, self.requested.append)
        self._surveys = {
            name: TargetSurvey(daemon.link, name, lambda target_id, n=name: COUNTS[n])
            for name, daemon in world.daemons.items()
        }
        daemon = world.daemons["d0"]
        context = OperatorContext(
            daemon.configuration,
            OperatorAnswers(daemon.configuration, daemon.link, world.clock),
            self._surveys["d0"],
            OperatorAccess(settings),
            hub,
        )
        selector = AddressSelector(daemon.link, world.settings, world.rng)
        handlers = [*operator_routes(context), *address_routes(selector)]
        app = Litestar(route_handlers=handlers, openapi_config=None)
        transport = httpx.ASGITransport(app)
        self.client = httpx.AsyncClient(transport=transport, base_url="http://d0")

    async def change(self, token: str = "", **values: Any) -> httpx.Response:
        body = {
            "change_id": "c1",
            "kind": "account",
            "name": "x",
            "expected_revision": 0,
            "body": {"account_id": "x", "token_sha256": "00"},
        } | values
        headers = {"authorization": f"Bearer {token}"} if token else {}
        return await self.client.post("/v1/admin/changes", json=body, headers=headers)


async def start_api(world: Any, settings: HttpSettings | None = None) -> Api:
    await world.start(*NAMES)
    await world.until(lambda: world.have_converged() and world.all_serve(), 20)
    return Api(world, settings or HttpSettings())


def test_change_is_made_shown_and_audited(world: Any) -> None:
    async def scenario() -> None:
        api = await start_api(world)
        changed = await api.change(note="why")
        assert changed.status_code == 200
        assert changed.json()["status"] in ("accepted", "in_force")
        item = await api.client.get("/v1/admin/items/account/x")
        assert item.json()["revision"] == 1
        audit = await api.client.get("/v1/admin/changes")
        change = audit.json()["changes"][0]
        assert (change["operator"], change["note"]) == ("local", "why")
        assert api.requested[0].change_id == "c1"
        await world.until(lambda: world.all_hold(1), 5)
        await asyncio.sleep(2)
        found = await api.client.get("/v1/admin/changes/c1")
        assert found.json()["status"] == "in_force"

    world.run(scenario())


@pytest.mark.fault("operators racing", "change submitted", "drain accepted")
def test_conflict_names_the_other_change(world: Any) -> None:
    async def scenario() -> None:
        api = await start_api(world)
        await api.change()
        conflict = await api.change(change_id="c2")
        assert conflict.status_code == 409
        assert conflict.json()["other"]["change_id"] == "c1"

    world.run(scenario())


@pytest.mark.parametrize(
    ("values", "status"),
    [
        ({"kind": "nothing"}, 400),
        ({"name": "../x"}, 400),
        ({"expected_revision": -1}, 400),
        ({"extra": 1}, 400),
        ({"body": {"account_id": "x"}}, 422),
        ({"body": {"account_id": "y", "token_sha256": ""}}, 422),
        ({"note": "n" * 300_000}, 413),
    ],
)
def test_malformed_change_is_refused(
    world: Any, values: dict[str, Any], status: int
) -> None:
    async def scenario() -> None:
        api = await start_api(world)
        assert (await api.change(**values)).status_code == status
        assert world.table.version == 0

    world.run(scenario())


@pytest.mark.parametrize(
    ("token", "kind", "status"),
    [
        ("", "account", 401),
        ("wrong", "account", 401),
        ("token-read", "account", 403),
        ("token-publish", "account", 200),
        ("token-publish", "target", 403),
        ("token-drain", "target", 422),
    ],
)
def test_roles_guard_changes(world: Any, token: str, kind: str, status: int) -> None:
    async def scenario() -> None:
        api = await start_api(world, HttpSettings(operators=OPERATORS))
        assert (await api.change(token, kind=kind)).status_code == status

    world.run(scenario())


@pytest.mark.parametrize(
    "path", ["status", "changes", "changes/c1", "items/account", "items/account/x"]
)
def test_reading_needs_a_token(world: Any, path: str) -> None:
    async def scenario() -> None:
        api = await start_api(world, HttpSettings(operators=OPERATORS))
        refused = await api.client.get(f"/v1/admin/{path}")
        assert refused.status_code == 401
        assert refused.json()["reason"] == "unauthenticated"

    world.run(scenario())


def test_off_loopback_changes_are_refused_without_operators(world: Any) -> None:
    async def scenario() -> None:
        api = await start_api(world, HttpSettings(host="10.0.0.1"))
        assert (await api.change()).status_code == 401

    world.run(scenario())


@pytest.mark.fault("daemon killed", "drain finishing")
def test_in_flight_work_is_counted_and_silent_daemons_are_named(world: Any) -> None:
    async def scenario() -> None:
        api = await start_api(world)
        counted = await api.client.get("/v1/admin/targets/t1/in-flight")
        assert counted.json()["in_flight_by_daemon"] == COUNTS
        world.passes = lambda origin, to: "d2" not in (origin, to)
        counted = await api.client.get("/v1/admin/targets/t1/in-flight")
        assert counted.json()["unanswered"] == ["d2"]

    world.run(scenario())


@pytest.mark.fault("peer link cut", "change in force")
def test_status_names_daemons_that_have_not_confirmed(world: Any) -> None:
    async def scenario() -> None:
        api = await start_api(world)
        world.passes = lambda origin, to: "d2" not in (origin, to)
        await api.change()
        status = (await api.client.get("/v1/admin/status")).json()
        assert status["revision"] == 1
        assert status["unconfirmed"] == ["d2"]
        world.passes = lambda origin, to: True
        await asyncio.sleep(10)
        status = (await api.client.get("/v1/admin/status")).json()
        assert status["unconfirmed"] == []

    world.run(scenario())


def test_addresses_name_own_zone_first_and_only_serving_daemons(world: Any) -> None:
    async def scenario() -> None:
        api = await start_api(world)
        answer = (await api.client.get("/v1/addresses?zone=b")).json()
        assert answer["addresses"][0]["daemon_id"] == "d1"
        assert answer["keep_s"] == world.settings.address_keep_s
        world.daemons["d1"].configuration.begin_leaving()
        world.daemons["d1"].membership.begin_leaving()
        await asyncio.sleep(1)
        answer = (await api.client.get("/v1/addresses?zone=b")).json()
        assert "d1" not in [each["daemon_id"] for each in answer["addresses"]]

    world.run(scenario())


def test_answer_bodies_are_json(world: Any) -> None:
    async def scenario() -> None:
        api = await start_api(world)
        for path in ("status", "items/profile", "changes"):
            response = await api.client.get(f"/v1/admin/{path}")
            assert response.headers["content-type"] == "application/json"
            msgspec.json.decode(response.content)

    world.run(scenario())
