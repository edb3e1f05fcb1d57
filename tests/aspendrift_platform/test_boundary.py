"""Tests that names of the platform's protocol stay within the adapter."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
ADAPTER = sorted((ROOT / "platform" / "src").rglob("*.py"))
PRODUCT = sorted((ROOT / "packages").glob("*/src/**/*.py"))
WIRE_NAMES = re.compile(
    r"Attempt-Id|Deadline-Ms|response-signature|not-executed|expected-instance"
    r"|engine-load|piece-key|prompt-prefix|token-usage|retryBudgetRatio|apiKeys"
    r"|targetLatencyMs|headroomMb|coldLeftMs|rows-feed|rows-get|stage-run"
    r"|stage-free|expectRev|ASPENDRIFT_BOOT",
)
STATEFUL = re.compile(
    r"\b(asyncio\.(create_task|sleep|Queue|Event|timeout)|time\.(time|monotonic)"
    r"|random\.|call_later)\b"
)


@pytest.mark.parametrize("path", PRODUCT, ids=lambda path: path.stem)
def test_product_neither_imports_the_adapter_nor_knows_wire_names(path):
    text = path.read_text()
    assert "aspendrift_platform" not in text
    assert not WIRE_NAMES.search(text)


@pytest.mark.parametrize("path", ADAPTER, ids=lambda path: path.stem)
def test_adapter_only_translates(path):
    text = path.read_text()
    assert not STATEFUL.search(text)
    tree = ast.parse(text)
    coroutines = [
        each for each in ast.walk(tree) if isinstance(each, ast.AsyncFunctionDef)
    ]
    assert coroutines == []


def test_adapter_is_small():
    n_lines = sum(len(path.read_text().splitlines()) for path in ADAPTER)
    assert n_lines < 1500
