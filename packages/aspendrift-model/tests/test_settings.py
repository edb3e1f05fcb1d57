"""Tests of loading and validating settings files."""

from __future__ import annotations

from pathlib import Path

import pytest

from aspendrift_model.settings import DaemonSettings, LogLevel, load_settings
from aspendrift_model.settings_base import SettingsError, list_settings

VALID_SETTINGS = """
{
    // the host
    "daemon_id": "d1", "zone": "a", "region": "r",
    "platform": {"table_url": "http://127.0.0.1:1"},
    "log_level": "debug",
    "http": {"port": 80, "operators": [{"name": "ann", "sha256": "00"}]},
}
"""


@pytest.fixture
def settings_file(tmp_path: Path) -> Path:
    return tmp_path / "settings.json"


def test_file_with_comments_is_read(settings_file: Path) -> None:
    settings_file.write_text(VALID_SETTINGS)
    settings = load_settings(settings_file)
    assert settings.log_level is LogLevel.DEBUG
    assert settings.http.port == 80
    assert settings.http.operators[0].name == "ann"


def test_every_problem_is_named_at_once(settings_file: Path) -> None:
    settings_file.write_text(
        '{"daemon_id": 3, "zone": "a", "region": "r", "zoen": 1,'
        ' "platform": {"table_url": "x", "timeout_s": 0},'
        ' "log_level": "loud", "http": {"port": 70000}}'
    )
    with pytest.raises(SettingsError) as caught:
        load_settings(settings_file)
    paths = {problem.path for problem in caught.value.problems}
    assert paths == {
        "daemon_id",
        "zoen",
        "platform.timeout_s",
        "log_level",
        "http.port",
    }


@pytest.mark.parametrize("text", ["[]", "{", "null", ""])
def test_malformed_file_is_a_settings_error(settings_file: Path, text: str) -> None:
    settings_file.write_text(text)
    with pytest.raises(SettingsError):
        load_settings(settings_file)


def test_every_setting_is_documented() -> None:
    listed = list_settings(DaemonSettings)
    assert all(info.doc for info in listed)
    assert len({info.path for info in listed}) == len(listed)
