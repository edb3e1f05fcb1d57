"""Runs the ``aspendrift`` command line against a fleet."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, Final

from aspendrift_standins.errors import CommandFailed
from aspendrift_standins.fleet import OPERATOR_TOKEN

__all__ = ["Commands", "python_output"]

_CLIENT_MODULE: Final = "aspendrift_client.cli"
_MAX_PROCESSES: Final = 4


class Commands:
    """Runs commands as one operator.

    Parameters
    ----------
    urls : sequence of str
        Base URLs of the daemons.
    environment : mapping
        Environment variables to set; these override the address and the token.
    """

    def __init__(
        self, urls: Sequence[str], environment: Mapping[str, str] | None = None
    ) -> None:
        self._environment = {
            "ASPENDRIFT_ADDRESS": " ".join(urls),
            "ASPENDRIFT_TOKEN": OPERATOR_TOKEN,
            **(environment or {}),
        }
        self._process_limit = asyncio.Semaphore(_MAX_PROCESSES)

    async def run(self, *words: str) -> str:
        """Run a command and return its output.

        Raises
        ------
        CommandFailed
            If its exit code is not 0.
        """
        async with self._process_limit:
            return await python_output(
                ["-m", _CLIENT_MODULE, *words], self._environment
            )

    async def put(
        self, folder: Path, words: Sequence[str], name: str, body: Mapping[str, Any]
    ) -> None:
        """Write an item to a file and run a command with that file."""
        path = folder / f"{words[0]}-{name}.json"
        path.write_text(json.dumps(body))
        await self.run(*words, str(path))


async def python_output(
    arguments: Sequence[str], environment: Mapping[str, str] | None = None
) -> str:
    """Run a Python process to completion and return its output.

    Raises
    ------
    CommandFailed
        If its exit code is not 0.
    """
    path = {"PYTHONPATH": os.pathsep.join(sys.path)}
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *arguments,
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
        env={**os.environ, **path, **(environment or {})},
    )
    output, _ = await process.communicate()
    if process.returncode:
        raise CommandFailed(arguments, process.returncode, output.decode())
    return output.decode()
