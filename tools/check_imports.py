"""Check that each package imports only its allowed dependencies."""

from __future__ import annotations

import ast
import sys
from pathlib import Path
from typing import Final

ALLOWED: Final = {
    "model": set(),
    "policy": {"model"},
    "daemon": {"model", "policy"},
    "client": {"model"},
    "gateway": {"model", "policy", "daemon"},
    "standins": {"model", "client"},
}
ADAPTER_ALLOWED: Final = {"platform", "gateway", "model", "daemon"}
PREFIX: Final = "aspendrift_"


def imported_packages(path: Path) -> set[str]:
    """Return the short names of the project packages that a source file imports."""
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module)
    roots = {name.split(".")[0] for name in names}
    return {root.removeprefix(PREFIX) for root in roots if root.startswith(PREFIX)}


def violations(root: Path) -> list[str]:
    """Return one line for each import that ``ALLOWED`` does not list."""
    found: list[str] = []
    for package, allowed in ALLOWED.items():
        source = root / "packages" / f"aspendrift-{package}" / "src"
        for path in sorted(source.rglob("*.py")):
            extra = imported_packages(path) - allowed - {package}
            found += [f"{path.relative_to(root)}: imports {name}" for name in extra]
    return found


def adapter_violations(root: Path) -> list[str]:
    """Return one line for each import of the adapter not in ``ADAPTER_ALLOWED``.

    The adapter translates for the gateway and therefore imports the product's
    types; the product never imports the adapter.
    """
    found: list[str] = []
    for path in sorted((root / "platform" / "src").rglob("*.py")):
        extra = imported_packages(path) - ADAPTER_ALLOWED
        found += [f"{path.relative_to(root)}: imports {name}" for name in extra]
    return found


def main() -> int:
    """Print the violations and return the exit code."""
    root = Path(__file__).resolve().parent.parent
    lines = violations(root) + adapter_violations(root)
    for line in lines:
        print(line, file=sys.stderr)
    return 1 if lines else 0


if __name__ == "__main__":
    sys.exit(main())
