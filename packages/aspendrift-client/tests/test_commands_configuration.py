"""Tests of the operator commands against a scripted daemon."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import click
import httpx
import pytest
from click.testing import CliRunner, Result

from aspendrift_client import commands_configuration, commands_status
from aspendrift_client.context import ClientContext
from aspendrift_client.errors import ExitCode

TARGET = {"target_id": "t1", "pool": "p", "state": "active"}
ITEM = {"kind": "target", "name": "t1", "revision": 4, "body": TARGET}
CHANGE = {
    "revision": 5,
    "change_id": "c0",
    "kind": "target",
    "name": "t1",
    "operator": "ben",
    "at_unix_s": 0.0,
    "previous_revision": 4,
}


class Daemon:
    """Scripted daemon: answers by path and records the request bodies."""

    def __init__(self) -> None:
        self.answers: dict[str, tuple[int, Any]] = {}
        self.sent: list[Any] = []

    def __call__(self, request: httpx.Request) -> httpx.Response:
        if request.content:
            self.sent.append(json.loads(request.content))
        status, answer = self.answers[request.url.path.removeprefix("/v1/admin/")]
        return httpx.Response(status, json=answer)

    def answer(self, path: str, answer: Any, status: int = 200) -> None:
        self.answers[path] = (status, answer)


@pytest.fixture
def daemon(monkeypatch: pytest.MonkeyPatch) -> Daemon:
    scripted = Daemon()
    client = httpx.Client
    monkeypatch.setattr(
        httpx, "Client", lambda **_: client(transport=httpx.MockTransport(scripted))
    )
    return scripted


def run(*words: str) -> Result:
    group = click.Group("aspendrift")
    for command in commands_configuration.COMMANDS + commands_status.COMMANDS:
        group.add_command(command)
    context = ClientContext(("http://d0",))
    return CliRunner().invoke(group, list(words), obj=context)


def test_drain_keeps_the_target_and_sends_the_revision_seen(daemon: Daemon) -> None:
    daemon.answer("items/target/t1", ITEM)
    daemon.answer("changes", {"change_id": "c1", "status": "accepted", "revision": 5})
    result = run("target", "drain", "t1", "--change-id", "c1", "--note", "disk")
    assert result.exit_code == ExitCode.OK, result.output
    change = daemon.sent[0]
    assert change["expected_revision"] == 4
    assert change["body"] == TARGET | {"state": "draining"}
    assert (change["change_id"], change["note"]) == ("c1", "disk")


@pytest.mark.fault("operators racing", "drain accepted")
def test_conflict_names_the_author_of_the_other_change(daemon: Daemon) -> None:
    daemon.answer("items/target/t1", ITEM)
    conflict = {"change_id": "c1", "status": "conflict", "other": CHANGE}
    daemon.answer("changes", conflict, 409)
    result = run("target", "drain", "t1")
    assert result.exit_code == ExitCode.CONFLICT
    assert "ben" in result.output


@pytest.mark.fault("store answer lost", "drain accepted")
def test_unknown_outcome_names_the_change_id(daemon: Daemon) -> None:
    daemon.answer("items/target/t1", ITEM)
    daemon.answer("changes", {"change_id": "c1", "status": "unknown"}, 504)
    result = run("target", "drain", "t1", "--change-id", "c1")
    assert result.exit_code == ExitCode.UNKNOWN
    assert "aspendrift change show c1" in result.output


def test_wait_names_daemons_that_have_not_confirmed(daemon: Daemon) -> None:
    daemon.answer("items/target/t1", ITEM)
    answer = {
        "change_id": "c1",
        "status": "accepted",
        "revision": 5,
        "n_held": 2,
        "n_view": 3,
        "unconfirmed": ["d7"],
    }
    daemon.answer("changes", answer)
    daemon.answer("changes/c1", answer)
    words = ("target", "drain", "t1", "--change-id", "c1", "--wait", "--timeout", "0")
    result = run(*words)
    assert result.exit_code == ExitCode.FAILED
    assert "not confirmed: d7" in result.output


def test_new_profile_expects_no_earlier_one(daemon: Daemon, tmp_path: Path) -> None:
    file = tmp_path / "p.json"
    file.write_text('{"name": "briefing"}')
    daemon.answer("changes", {"change_id": "c", "status": "in_force", "revision": 1})
    assert run("profile", "publish", str(file)).exit_code == ExitCode.OK
    assert daemon.sent[0]["expected_revision"] == 0


@pytest.mark.parametrize("text", ["[]", "{", "{}"])
def test_wrong_file_is_a_usage_error(daemon: Daemon, tmp_path: Path, text: str) -> None:
    file = tmp_path / "p.json"
    file.write_text(text)
    assert run("profile", "publish", str(file)).exit_code == ExitCode.USAGE
    assert daemon.sent == []


def test_new_account_prints_its_token_once(daemon: Daemon) -> None:
    daemon.answer("changes", {"change_id": "c", "status": "in_force", "revision": 1})
    result = run("account", "add", "bob", "--share", "2")
    token = result.output.splitlines()[0].removeprefix("token: ")
    body = daemon.sent[0]["body"]
    assert token not in json.dumps(body)
    assert body["share"] == 2.0


def test_status_lists_daemons(daemon: Daemon) -> None:
    row = {
        "daemon_id": "d0",
        "state": "live",
        "incarnation": 1,
        "zone": "a",
        "region": "r",
        "url": "",
        "revision": 3,
        "serving": True,
    }
    status = {
        "daemon_id": "d0",
        "revision": 4,
        "fresh_age_s": 0.5,
        "refusal": None,
        "store_age_s": 0.5,
        "unconfirmed": ["d0"],
        "daemons": [row],
    }
    daemon.answer("status", status)
    result = run("status")
    assert result.exit_code == ExitCode.OK
    assert "not confirmed: d0" in result.output
