"""Tests of the ``aspendriftd`` command line."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from click.testing import CliRunner

from aspendrift_daemon.cli import ExitCode, command

GOOD: dict[str, Any] = {
    "daemon_id": "d1",
    "zone": "a",
    "region": "r",
    "platform": {"table_url": "http://127.0.0.1:1"},
}


def check(path: Path, values: dict[str, Any]) -> tuple[int, str]:
    path.write_text(json.dumps(values))
    result = CliRunner().invoke(command, ["check", str(path)])
    return result.exit_code, result.output


def test_good_settings_pass(tmp_path: Path) -> None:
    assert check(tmp_path / "s.json", GOOD)[0] == ExitCode.OK


def test_each_wrong_setting_is_named_with_its_file(tmp_path: Path) -> None:
    path = tmp_path / "s.json"
    code, output = check(path, {**GOOD, "zone": 1, "http": {"port": -1, "x": 2}})
    assert code == ExitCode.SETTINGS
    lines = output.splitlines()
    assert len(lines) == 3
    assert all(line.startswith(f"{path}: ") for line in lines)


def test_run_refuses_wrong_settings(tmp_path: Path) -> None:
    result = CliRunner().invoke(command, ["run", str(tmp_path / "absent.json")])
    assert result.exit_code == ExitCode.SETTINGS


def test_plaintext_off_loopback_is_refused_unless_set(tmp_path: Path) -> None:
    http: dict[str, Any] = {"host": "10.0.0.1"}
    code, output = check(tmp_path / "s.json", {**GOOD, "http": http})
    assert code == ExitCode.SETTINGS
    assert "allow_plaintext" in output
    http["allow_plaintext"] = True
    assert check(tmp_path / "s.json", {**GOOD, "http": http})[0] == ExitCode.OK


def test_settings_are_listed_in_both_forms() -> None:
    runner = CliRunner()
    listed = json.loads(runner.invoke(command, ["settings", "--output", "json"]).output)
    table = runner.invoke(command, ["settings"]).output
    assert all(info["path"] in table for info in listed)
