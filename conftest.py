"""Test configuration shared by all packages."""

from __future__ import annotations

from pathlib import Path
from typing import Final

import hypothesis
import pytest

hypothesis.settings.register_profile(
    "repeatable", derandomize=True, database=None, deadline=None
)
hypothesis.settings.load_profile("repeatable")

KNOWN_RED: Final = Path(__file__).parent / "KNOWN-RED.txt"


def _known_red() -> frozenset[str]:
    """Return the test ids listed in KNOWN-RED.txt, one ``test: ID`` line each."""
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text().splitlines()
    return frozenset(
        line.removeprefix("test:").strip() for line in lines if line.startswith("test:")
    )


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the tests listed in KNOWN-RED.txt, and only these, as expected failures."""
    listed = _known_red()
    for item in items:
        if item.nodeid in listed:
            mark = pytest.mark.xfail(reason="listed in KNOWN-RED.txt", strict=False)
            item.add_marker(mark)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the listed tests with their outcomes."""
    for outcome in ("xfailed", "xpassed"):
        for report in terminalreporter.stats.get(outcome, []):
            terminalreporter.write_line(f"KNOWN RED ({outcome}): {report.nodeid}")
