"""Tests of the explanation of a request from logs."""

from __future__ import annotations

import json

from click.testing import CliRunner

from aspendrift_client.cli import command
from aspendrift_client.log_explain import explain, read_lines


def line(event, at=None, node=None, **fields):
    text = json.dumps({**fields, "event": event, "timestamp": "2026-01-01T00:00:00Z"})
    return f"{at} {node} {text}\n" if at is not None else f"{text}\n"


REFUSED = [
    line("request_routed", 1.0, "d1", request_id="a", route="r"),
    "built in 3 s\n",
    line("request_routed", 1.1, "d1", request_id="b", route="r"),
    line("stage_job_ended", 1.2, "d1", request_id="a", stage=2, failure="late"),
    line(
        "request_ended",
        1.3,
        "d1",
        request_id="a",
        status=503,
        reason="overloaded",
        detail="stage 2: late",
    ),
]


def explained(request_id, *logs):
    lines, n_unreadable = read_lines(
        (f"log{number}", log) for number, log in enumerate(logs)
    )
    return explain(request_id, lines, n_unreadable)


def test_lines_of_one_request_are_joined_and_its_end_explained():
    found = explained("a", REFUSED)
    assert [each.event for each in found.lines] == [
        "request_routed",
        "stage_job_ended",
        "request_ended",
    ]
    assert found.cause == (
        "status 503: its stages could not be completed in time (stage 2: late);"
        " earlier failures: stage 2: late"
    )
    assert found.n_unreadable == 1


def test_lines_of_several_daemons_come_in_order():
    owner = [line("stage_call_sent", 1.15, "d2", request_ids=["a", "b"], target_id="t")]
    found = explained("a", REFUSED, owner)
    assert [each.source for each in found.lines] == ["d1", "d2", "d1", "d1"]


def test_target_changes_logged_by_the_daemon_are_shown():
    log = [
        line("target_changed", 0.1, "d1", target_id="t", change="added"),
        line("target_changed", 0.5, "d1", target_id="t", change="draining"),
        line("target_changed", 0.5, "d2", target_id="t", change="draining"),
        line("target_changed", 0.5, "d1", target_id="u", change="gone"),
        line(
            "attempt_ended", 1.0, "d1", request_id="a", target_id="t", verdict="broken"
        ),
        line(
            "request_ended",
            1.1,
            "d1",
            request_id="a",
            status=502,
            reason="target_failed",
            detail="ReadError",
        ),
    ]
    found = explained("a", log)
    assert [each.event for each in found.lines][0] == "target_changed"
    assert len(found.lines) == 3
    assert found.cause.endswith("earlier failures: t: broken")


def test_request_without_an_end_names_its_daemon():
    found = explained("b", REFUSED)
    assert found.cause == "the request has no end, but the daemon d1 kept running"
    assert not found.is_explained
    elsewhere = [line("request_routed", 9.0, "d2", request_id="c", route="r")]
    found = explained("b", REFUSED[:3], elsewhere)
    assert found.cause == ("the daemon d1 ended during the request; no later log line")
    assert found.is_explained
    found = explained("b", REFUSED, [line("gateway_ready", 9.0, "d1")])
    assert found.cause == "the daemon d1 ended during the request and restarted"
    assert (found.kind, found.is_explained) == ("daemon ended", True)


def test_denied_request_names_the_configuration_that_its_daemon_had():
    denied = line(
        "request_ended", 5.0, "d1", request_id="k", status=401, reason="unauthenticated"
    )
    applied = [
        line("configuration_applied", 1.0, "d1", version=3),
        line("configuration_applied", 4.0, "d1", version=7),
        line("configuration_applied", 4.5, "d2", version=8),
        line("configuration_applied", 6.0, "d1", version=9),
    ]
    found = explained("k", [denied], applied)
    assert found.cause == (
        "status 401: no account has its key in configuration 7, in force since 4.0"
    )
    assert not explained("k", [denied]).is_explained


def test_unknown_request_is_reported():
    assert explained("c", REFUSED).cause.startswith("no log line names this request")


def test_command_prints_lines_and_cause(tmp_path):
    path = tmp_path / "d1.log"
    path.write_text("".join(REFUSED) + "{broken\n")
    result = CliRunner().invoke(command, ["log", "explain", "a", str(path)])
    assert result.exit_code == 0
    assert "its stages could not be completed in time" in result.output
    assert "2 lines could not be read" in result.output


def test_command_without_a_readable_file_fails(tmp_path):
    missing = str(tmp_path / "missing.log")
    result = CliRunner().invoke(command, ["log", "explain", "a", missing])
    assert result.exit_code == 2
