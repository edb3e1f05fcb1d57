"""Shared code of the scripts that generate documentation pages."""

from __future__ import annotations

import sys
from pathlib import Path

__all__ = ["write_or_check"]


def write_or_check(page: Path, text: str, script: str) -> int:
    """Write a page, or with ``--check`` report whether it is current.

    Parameters
    ----------
    script : str
        Name of the script that generates the page.
    """
    if "--check" not in sys.argv:
        page.write_text(text)
        return 0
    if page.exists() and page.read_text() == text:
        return 0
    print(f"{page}: stale; run tools/{script}", file=sys.stderr)
    return 1
