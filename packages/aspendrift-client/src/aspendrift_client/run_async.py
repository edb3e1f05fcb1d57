"""Runs a coroutine from a command and turns errors into exit codes."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Coroutine
from typing import Any, NoReturn, TypeVar

import click

from aspendrift_client.errors import ClientError

__all__ = ["fail", "run"]

_T = TypeVar("_T")


def run(coroutine: Coroutine[Any, Any, _T]) -> _T:
    """Run a coroutine; exit with the code of a client error if it raises one."""
    try:
        return asyncio.run(coroutine)
    except ClientError as error:
        fail(error)


def fail(error: ClientError) -> NoReturn:
    """Print an error and exit with its code."""
    click.echo(f"error: {error}", err=True)
    sys.exit(int(error.exit_code))
