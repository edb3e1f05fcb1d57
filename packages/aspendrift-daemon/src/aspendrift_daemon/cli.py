"""``aspendriftd``, the command line of the daemon."""

from __future__ import annotations

import asyncio
import importlib.metadata
import json
import sys
from collections.abc import Sequence
from enum import IntEnum
from pathlib import Path
from typing import Final

import click
from click.shell_completion import get_completion_class

from aspendrift_daemon.app import serve
from aspendrift_daemon.logs import configure_logging
from aspendrift_daemon.peer_checks import peer_problems
from aspendrift_daemon.tls import transport_problems
from aspendrift_model.settings import DaemonSettings, load_settings
from aspendrift_model.settings_base import SettingInfo, SettingsError, list_settings

__all__ = ["ExitCode", "command", "main"]

_HELP: Final = """The serving daemon of aspendrift.

\b
Exit codes:
  0  success; the daemon exited after its last request
  1  the daemon stopped because of an internal error
  2  invalid command line or invalid settings
"""
_SHELLS: Final = ("bash", "zsh", "fish")
_SETTINGS_FILE = click.Path(path_type=Path, dir_okay=False)


class ExitCode(IntEnum):
    """Exit codes of the daemon, part of its public interface."""

    OK = 0
    FAILED = 1
    SETTINGS = 2


@click.group("aspendriftd", help=_HELP)
@click.version_option(
    importlib.metadata.version("aspendrift-daemon"), prog_name="aspendriftd"
)
def command() -> None:
    """Group the commands."""


@command.command("run")
@click.argument("settings_file", metavar="SETTINGS", type=_SETTINGS_FILE)
def run_command(settings_file: Path) -> None:
    """Run the daemon with the settings file SETTINGS until SIGTERM or SIGINT."""
    settings = _load_checked_settings(settings_file)
    configure_logging(settings.log_level.value)
    asyncio.run(serve(settings))


@command.command("check")
@click.argument("settings_file", metavar="SETTINGS", type=_SETTINGS_FILE)
def check_command(settings_file: Path) -> None:
    """Check the settings file SETTINGS and print every problem."""
    _load_checked_settings(settings_file)
    click.echo(f"{settings_file}: ok")


@command.command("settings")
@click.option(
    "--output",
    type=click.Choice(["table", "json"]),
    default="table",
    show_default=True,
    help="Output format.",
)
def settings_command(output: str) -> None:
    """Print every setting with its type, unit and default."""
    listed = list_settings(DaemonSettings)
    click.echo(_as_json(listed) if output == "json" else _as_table(listed))


@command.command("completion")
@click.argument("shell", type=click.Choice(_SHELLS))
def completion_command(shell: str) -> None:
    """Print a completion script for SHELL."""
    completion = get_completion_class(shell)
    if completion is not None:
        script = completion(command, {}, "aspendriftd", "_ASPENDRIFTD_COMPLETE")
        click.echo(script.source())


def _load_checked_settings(path: Path) -> DaemonSettings:
    try:
        settings = load_settings(path)
        problems = (
            *transport_problems(settings.http),
            *peer_problems(settings.peers),
        )
        if problems:
            raise SettingsError(str(path), problems)
    except SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(int(ExitCode.SETTINGS))
    return settings


def _as_json(listed: Sequence[SettingInfo]) -> str:
    rows = [
        {
            "path": info.path,
            "type": info.type_name,
            "unit": info.unit,
            "default": info.default,
            "allowed": info.allowed,
            "doc": info.doc,
        }
        for info in listed
    ]
    return json.dumps(rows, indent=2)


def _as_table(listed: Sequence[SettingInfo]) -> str:
    lines = [("SETTING", "TYPE", "UNIT", "DEFAULT")]
    lines += [(i.path, i.type_name, i.unit or "-", i.default) for i in listed]
    widths = [max(len(line[column]) for line in lines) for column in range(4)]
    padded = (
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        for line in lines
    )
    return "\n".join(line.rstrip() for line in padded)


def main() -> None:
    """Run the command line."""
    command.main(prog_name="aspendriftd")


if __name__ == "__main__":
    main()
