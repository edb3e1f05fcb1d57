"""Property tests of settings: any file yields settings or a ``SettingsError``."""

from __future__ import annotations

import json
import tempfile
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from aspendrift_model.settings import DaemonSettings, load_settings
from aspendrift_model.settings_base import SettingsError, list_settings

VALID_SETTINGS: dict[str, Any] = {
    "daemon_id": "d",
    "zone": "a",
    "region": "r",
    "platform": {"table_url": "http://127.0.0.1:1"},
}
SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8)
VALUES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)
PATHS = [info.path for info in list_settings(DaemonSettings) if "[]" not in info.path]


def load_content(content: bytes) -> DaemonSettings | SettingsError:
    with tempfile.NamedTemporaryFile() as file:
        file.write(content)
        file.flush()
        try:
            return load_settings(Path(file.name))
        except SettingsError as error:
            return error


@given(st.binary(max_size=200))
def test_any_bytes_give_a_typed_error(content: bytes) -> None:
    assert isinstance(load_content(content), SettingsError)


@given(st.sampled_from(PATHS), VALUES)
def test_any_value_is_taken_or_named_by_its_path(path: str, value: Any) -> None:
    values = json.loads(json.dumps(VALID_SETTINGS))
    section = values
    *parents, name = path.split(".")
    for parent in parents:
        section = section.setdefault(parent, {})
    section[name] = value
    result = load_content(json.dumps(values).encode())
    if isinstance(result, SettingsError):
        assert all(problem.path.startswith(path) for problem in result.problems)


@pytest.mark.parametrize("number", ["Infinity", "-Infinity", "NaN", "1e999"])
def test_number_has_to_be_finite(number: str) -> None:
    text = json.dumps(VALID_SETTINGS).replace("}}", '}, "http": {"body_timeout_s": X}}')
    result = load_content(text.replace("X", number).encode())
    assert isinstance(result, SettingsError)
    assert [problem.path for problem in result.problems] == ["http.body_timeout_s"]


def test_deeply_nested_file_gives_a_typed_error() -> None:
    assert isinstance(load_content(b"[" * 20_000), SettingsError)
