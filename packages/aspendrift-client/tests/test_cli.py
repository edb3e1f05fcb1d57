"""Tests of the ``aspendrift`` command line."""

from __future__ import annotations

import json
import os
from pathlib import Path

import click
import pytest
from click.testing import CliRunner

from aspendrift_client.cli import command
from aspendrift_client.errors import ExitCode

UNREACHABLE = ["--address", "http://127.0.0.1:1"]


@pytest.fixture
def runner(monkeypatch: pytest.MonkeyPatch) -> CliRunner:
    for name in [name for name in os.environ if name.startswith("ASPENDRIFT_")]:
        monkeypatch.delenv(name)
    return CliRunner()


def paths_of_commands(
    group: click.Group, prefix: tuple[str, ...] = ()
) -> list[tuple[str, ...]]:
    found = [prefix]
    for name, child in group.commands.items():
        path = (*prefix, name)
        is_group = isinstance(child, click.Group)
        found += paths_of_commands(child, path) if is_group else [path]
    return found


@pytest.mark.parametrize("path", paths_of_commands(command), ids=" ".join)
def test_every_command_has_help(runner: CliRunner, path: tuple[str, ...]) -> None:
    result = runner.invoke(command, [*path, "--help"])
    assert result.exit_code == 0
    assert "Usage:" in result.output


def test_missing_address_is_a_usage_error(runner: CliRunner) -> None:
    result = runner.invoke(command, ["address", "list"])
    assert result.exit_code == ExitCode.USAGE
    assert "ASPENDRIFT_ADDRESS" in result.output


def test_unreachable_daemon_has_its_own_exit_code(runner: CliRunner) -> None:
    result = runner.invoke(command, [*UNREACHABLE, "address", "list"])
    assert result.exit_code == ExitCode.UNREACHED


def test_unsent_request_is_reported_as_not_run(runner: CliRunner) -> None:
    send = ["request", "send", "p", "--input", "x", "--deadline-ms", "200"]
    result = runner.invoke(command, [*UNREACHABLE, "--output", "json", *send])
    assert result.exit_code == ExitCode.UNREACHED
    assert json.loads(result.output)["ran"] == "no"


@pytest.mark.parametrize(
    "options",
    [["--input", "@/nowhere"], ["--input", "x", "--request-id", "has space"]],
)
def test_bad_input_is_found_before_sending(
    runner: CliRunner, options: list[str]
) -> None:
    result = runner.invoke(command, [*UNREACHABLE, "request", "send", "p", *options])
    assert result.exit_code == ExitCode.USAGE


def test_peer_keys_are_private_and_never_overwritten(
    runner: CliRunner, tmp_path: Path
) -> None:
    arguments = ["--output", "json", "keys", "new", "peer", str(tmp_path)]
    result = runner.invoke(command, arguments)
    (row,) = json.loads(result.output)
    secret_file = Path(row["secret_file"])
    assert len(row["public_key"]) == 40
    assert secret_file.stat().st_mode & 0o077 == 0
    assert secret_file.read_text() not in result.output
    assert runner.invoke(command, arguments).exit_code == ExitCode.USAGE


@pytest.mark.parametrize("shell", ["bash", "zsh", "fish"])
def test_completion_scripts(runner: CliRunner, shell: str) -> None:
    result = runner.invoke(command, ["completion", shell])
    assert "_ASPENDRIFT_COMPLETE" in result.output
