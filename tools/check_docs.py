"""Check the documentation: links, commands, generated pages and two tables.

Each line that begins with ``$`` in a console block is a command. Commands of the
project are parsed against the command tree. Read-only ones (``--help``, ``check``,
``settings``) are also run; their output must contain the lines shown below them.
"""

from __future__ import annotations

import contextlib
import io
import re
import shlex
import sys
import tomllib
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

import check_imports
import click
import generate_events_page
import generate_index_page
import generate_outcomes_page
import generate_settings_page
from click.testing import CliRunner

import aspendrift_client.cli
import aspendrift_daemon.cli

ROOT: Final = Path(__file__).resolve().parent.parent
BLOCK: Final = re.compile(r"^```console\n(.*?)^```", re.MULTILINE | re.DOTALL)
LINK: Final = re.compile(r"\]\(([^)#\s]+)(?:#[^)]*)?\)")
TABLE_ROW: Final = re.compile(r"^\| `aspendrift-(\w+)` \|.*\| (.*) \|$", re.MULTILINE)
TREES: Final = {
    "aspendrift": aspendrift_client.cli.command,
    "aspendriftd": aspendrift_daemon.cli.command,
}
GENERATORS: Final = (
    generate_settings_page.main,
    generate_outcomes_page.main,
    generate_events_page.main,
    generate_index_page.main,
)
ELISION: Final = "…"


@dataclass(slots=True)
class ShownCommand:
    """A command on a page, with the output shown below it."""

    words: list[str]
    shown: list[str] = field(default_factory=list)


def pages() -> list[Path]:
    """Return the pages to check."""
    return [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]


def shown_commands(text: str) -> Iterator[ShownCommand]:
    """Yield the commands in the console blocks of a page."""
    for block in BLOCK.findall(text):
        current: ShownCommand | None = None
        for line in block.replace("\\\n", "").splitlines():
            if line.startswith("$ "):
                if current is not None:
                    yield current
                current = ShownCommand(shlex.split(line[2:], comments=True))
            elif current is not None and line.strip():
                current.shown.append(line)
        if current is not None:
            yield current


def broken_links(page: Path, text: str) -> Iterator[str]:
    """Yield the relative links whose target does not exist."""
    for link in LINK.findall(text):
        if "://" not in link and not (page.parent / link).exists():
            yield f"broken link to {link}"


def parse(group: click.Command, name: str, words: list[str]) -> None:
    """Parse a command line as click would, without running the command."""
    context = group.make_context(name, list(words))
    while isinstance(context.command, click.Group):
        remaining = [*context._protected_args, *context.args]
        found, child, rest = context.command.resolve_command(context, remaining)
        if child is None:
            raise click.UsageError("no such command")
        context = child.make_context(found, rest, parent=context)


def command_problem(command: ShownCommand) -> str | None:
    """Return what is wrong with a command, or None."""
    name, *words = command.words
    if name == "make":
        targets = re.findall(r"^([\w-]+):", (ROOT / "Makefile").read_text(), re.M)
        unknown = set(words) - set(targets)
        return f"no make target {', '.join(unknown)}" if unknown else None
    if name not in TREES:
        return None
    try:
        with contextlib.redirect_stdout(io.StringIO()):
            parse(TREES[name], name, words)
    except click.exceptions.Exit:
        pass
    except click.ClickException as error:
        return error.format_message()
    return run_problem(command) if is_read_only(command) else None


def is_read_only(command: ShownCommand) -> bool:
    """Return whether a command at most reads files of the repository."""
    name, *words = command.words
    if words[-1:] == ["--help"] or words[:1] == ["completion"]:
        return True
    reads_example = words[:1] == ["check"] and words[-1].startswith("examples/")
    return name == "aspendriftd" and (reads_example or words[:1] == ["settings"])


def run_problem(command: ShownCommand) -> str | None:
    """Run a command and return how its output differs from the page, or None."""
    name, *words = command.words
    result = CliRunner().invoke(TREES[name], words, prog_name=name)
    if result.exit_code != 0:
        return f"exit code {result.exit_code}"
    output = {line.rstrip() for line in result.output.splitlines()}
    missing = [
        s for s in command.shown if ELISION not in s and s.rstrip() not in output
    ]
    return f"does not print {missing[0]!r}" if missing else None


def package_table_problems() -> Iterator[str]:
    """Yield the rows of the package table that differ from the import check."""
    text = (ROOT / "docs" / "ARCHITECTURE.md").read_text()
    rows = dict(TABLE_ROW.findall(text))
    for package, allowed in check_imports.ALLOWED.items():
        expected = ", ".join(f"`{name}`" for name in sorted(allowed)) or "-"
        if rows.get(package) != expected:
            yield f"package table: {package} may import {expected}"


def dependency_problems() -> Iterator[str]:
    """Yield the declared dependencies that the dependency page does not mention."""
    text = (ROOT / "docs" / "DEPENDENCIES.md").read_text()
    for path in sorted((ROOT / "packages").glob("*/pyproject.toml")):
        for name in tomllib.loads(path.read_text())["project"]["dependencies"]:
            if not name.startswith("aspendrift-") and name not in text:
                yield f"docs/DEPENDENCIES.md: no line for {name}"


def page_problems(page: Path) -> Iterator[str]:
    """Yield the problems of one page."""
    text = page.read_text()
    name = page.relative_to(ROOT)
    for problem in broken_links(page, text):
        yield f"{name}: {problem}"
    for command in shown_commands(text):
        problem = command_problem(command)
        if problem is not None:
            yield f"{name}: `{shlex.join(command.words)}`: {problem}"


def main() -> int:
    """Print all problems and return the exit code."""
    problems = [problem for page in pages() for problem in page_problems(page)]
    problems += [*package_table_problems(), *dependency_problems()]
    for problem in problems:
        print(problem, file=sys.stderr)
    stale = [generate() for generate in GENERATORS]
    return 1 if problems or any(stale) else 0


if __name__ == "__main__":
    sys.argv.append("--check")
    sys.exit(main())
