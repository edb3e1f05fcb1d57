"""Commands that read logs."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import ExitStack
from pathlib import Path

import click

from aspendrift_client.context import ClientContext, pass_client_context
from aspendrift_client.errors import InvalidInput
from aspendrift_client.log_explain import LogLine, explain, read_lines
from aspendrift_client.run_async import fail

__all__ = ["COMMANDS"]

_LOG_FILE = click.Path(path_type=Path, dir_okay=False)


@click.group("log")
def log_group() -> None:
    """Read the logs of daemons."""


@log_group.command("explain")
@click.argument("request_id", metavar="ID")
@click.argument("files", metavar="FILE...", type=_LOG_FILE, nargs=-1, required=True)
@pass_client_context
def explain_command(
    context: ClientContext, request_id: str, files: tuple[Path, ...]
) -> None:
    """Show the log lines about request ID, in order, and why it ended as it did.

    FILE... are the logs of one or several daemons. Lines that are not structured
    are counted and skipped.
    """
    with ExitStack() as stack:
        texts = [(path.name, _lines(stack, path)) for path in files]
        lines, n_unreadable = read_lines(texts)
    found = explain(request_id, lines, n_unreadable)
    rows = [
        (line.at, line.source, line.event, _fields_text(line)) for line in found.lines
    ]
    context.output.write_rows(("at", "source", "event", "what"), rows)
    click.echo(found.cause)
    if found.n_unreadable:
        click.echo(f"{found.n_unreadable} lines could not be read", err=True)


COMMANDS = (log_group,)


def _lines(stack: ExitStack, path: Path) -> Iterator[str]:
    try:
        return iter(stack.enter_context(path.open(encoding="utf-8", errors="replace")))
    except OSError as error:
        fail(InvalidInput(str(error)))


def _fields_text(line: LogLine) -> str:
    shown = {
        name: value
        for name, value in line.fields.items()
        if name not in ("request_id", "request_ids") and value not in (None, "")
    }
    return " ".join(f"{name}={_value_text(value)}" for name, value in shown.items())


def _value_text(value: object) -> str:
    return f"{value:.3f}" if isinstance(value, float) else str(value)
