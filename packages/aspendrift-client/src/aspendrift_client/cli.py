"""``aspendrift``, the command line for callers and operators."""

from __future__ import annotations

import importlib.metadata
from pathlib import Path
from typing import Final

import click
from click.shell_completion import get_completion_class

from aspendrift_client import (
    commands_configuration,
    commands_keys,
    commands_log,
    commands_placement,
    commands_request,
    commands_status,
)
from aspendrift_client.context import ClientContext
from aspendrift_client.errors import InvalidInput
from aspendrift_client.output import OutputFormat, OutputWriter
from aspendrift_client.run_async import fail

__all__ = ["command", "main"]

_HELP: Final = """Send requests to aspendrift and operate it.

\b
Exit codes:
  0  done
  1  failed; for a request: it ran, without a complete answer
  2  invalid usage of the command, or an invalid file
  3  refused; it had no effect
  4  no daemon could be reached; it had no effect
  5  not known whether it took effect
  6  conflict with another operator's change
"""
_SHELLS: Final = ("bash", "zsh", "fish")


@click.group("aspendrift", help=_HELP)
@click.option(
    "--address",
    "addresses",
    multiple=True,
    envvar="ASPENDRIFT_ADDRESS",
    metavar="URL",
    help="Base URL of a daemon; may be repeated. [env: ASPENDRIFT_ADDRESS]",
)
@click.option(
    "--token",
    default="",
    envvar="ASPENDRIFT_TOKEN",
    help="Bearer token. [env: ASPENDRIFT_TOKEN]",
)
@click.option(
    "--token-file",
    type=click.Path(path_type=Path, dir_okay=False),
    envvar="ASPENDRIFT_TOKEN_FILE",
    help="File with the bearer token. [env: ASPENDRIFT_TOKEN_FILE]",
)
@click.option(
    "--ca-file",
    type=click.Path(exists=True, dir_okay=False),
    default=None,
    envvar="ASPENDRIFT_CA_FILE",
    help="Certificate authorities to trust, PEM. [env: ASPENDRIFT_CA_FILE]",
)
@click.option(
    "--output",
    type=click.Choice([each.value for each in OutputFormat]),
    default=OutputFormat.TABLE.value,
    show_default=True,
    help="Form of the results.",
)
@click.version_option(
    importlib.metadata.version("aspendrift-client"), prog_name="aspendrift"
)
@click.pass_context
def command(
    click_context: click.Context,
    addresses: tuple[str, ...],
    token: str,
    token_file: Path | None,
    ca_file: str | None,
    output: str,
) -> None:
    """Pass the global options to the commands."""
    click_context.obj = ClientContext(
        addresses=tuple(address.rstrip("/") for address in addresses),
        token=token or _read_token(token_file),
        ca_file=ca_file or "",
        output=OutputWriter(OutputFormat(output)),
    )


@command.command("completion")
@click.argument("shell", type=click.Choice(_SHELLS))
def completion_command(shell: str) -> None:
    """Print a completion script for SHELL."""
    completion = get_completion_class(shell)
    if completion is None:
        fail(InvalidInput(f"no completion script for {shell}"))
    script = completion(command, {}, "aspendrift", "_ASPENDRIFT_COMPLETE")
    click.echo(script.source())


_MODULES: Final = (
    commands_request,
    commands_configuration,
    commands_status,
    commands_placement,
    commands_keys,
    commands_log,
)

for _module in _MODULES:
    for _command in _module.COMMANDS:
        command.add_command(_command)


def _read_token(path: Path | None) -> str:
    if path is None:
        return ""
    try:
        return path.read_text(encoding="utf-8").strip()
    except (OSError, ValueError) as error:
        fail(InvalidInput(f"--token-file: {error}"))


def main() -> None:
    """Run the command line."""
    command.main(prog_name="aspendrift")


if __name__ == "__main__":
    main()
