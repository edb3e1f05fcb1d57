"""Child process of a fleet: start, readiness check, signals and shutdown."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

import psutil

from aspendrift_standins.errors import AlreadyRunning, NotReady, ProcessEnded

__all__ = ["Child", "ChildCommand"]

_POLL_S: Final = 0.02
_READY_TIMEOUT_S: Final = 30.0
_LOG_TAIL_CHARS: Final = 2_000


@dataclass(frozen=True, slots=True)
class ChildCommand:
    """How to start a process.

    Parameters
    ----------
    name : str
        Unique name within the fleet.
    module : str
        Python module to run.
    arguments : sequence of str
        Arguments after the module.
    ready_file : Path
        File that the process writes when it is ready.
    log_file : Path
        File to which its standard output and standard error are appended.
    """

    name: str
    module: str
    arguments: Sequence[str]
    ready_file: Path
    log_file: Path


class Child:
    """A process that is started from a command and can be restarted."""

    def __init__(self, command: ChildCommand) -> None:
        self.command = command
        self.ready: dict[str, Any] = {}
        self.paused = False
        self._process: asyncio.subprocess.Process | None = None

    @property
    def url(self) -> str:
        """Base URL, from the ready file."""
        return str(self.ready["url"])

    @property
    def pid(self) -> int:
        """Process id of the latest start; 0 before the first start."""
        return 0 if self._process is None else self._process.pid

    @property
    def running(self) -> bool:
        """Whether the process has been started and has not exited."""
        return self._process is not None and self._process.returncode is None

    @property
    def exit_code(self) -> int | None:
        """Exit code of the latest start; None before it and while it runs."""
        return None if self._process is None else self._process.returncode

    async def start(self) -> None:
        """Start the process without waiting for it; see :meth:`wait_ready`.

        Raises
        ------
        AlreadyRunning
            If the process is running. A second start would replace the handle of the
            running process, which the fleet could then no longer stop.
        """
        if self.running:
            raise AlreadyRunning(self.command.name, self.pid)
        self.command.ready_file.unlink(missing_ok=True)
        self.paused = False
        environment = os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)}
        with self.command.log_file.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                self.command.module,
                *self.command.arguments,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
            )

    async def wait_ready(self) -> None:
        """Wait until the process has written its ready file, and read it.

        Raises
        ------
        ProcessEnded, NotReady
            If the process exits first, or is not ready in time.
        """
        name = self.command.name
        deadline = time.monotonic() + _READY_TIMEOUT_S
        while not self.command.ready_file.exists():
            if not self.running:
                raise ProcessEnded(name, self.exit_code or 0, self.log_tail())
            if time.monotonic() >= deadline:
                raise NotReady(name, _READY_TIMEOUT_S, self.log_tail())
            await asyncio.sleep(_POLL_S)
        self.ready = json.loads(self.command.ready_file.read_text())

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has exited."""
        if self._process is None or not self.running:
            return
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(number)
        if number is signal.SIGSTOP:
            self.paused = True
        elif number is signal.SIGCONT:
            self.paused = False

    async def wait_ended(self, timeout_s: float | None) -> bool:
        """Wait until the process exits; return False on time-out (None: no limit)."""
        if self._process is None:
            return True
        try:
            await asyncio.wait_for(self._process.wait(), timeout_s)
        except TimeoutError:
            return False
        return True

    async def stop(self, grace_s: float) -> None:
        """Terminate the process, and kill it if it runs on after the grace period."""
        if not self.running:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        if not await self.wait_ended(grace_s):
            self.signal(signal.SIGKILL)
            await self.wait_ended(grace_s)

    def cpu_s(self) -> float:
        """Return the CPU time of the latest start; 0 if it is not running."""
        try:
            times = psutil.Process(self.pid).cpu_times()
        except (psutil.Error, ValueError):
            return 0.0
        return float(times.user + times.system)

    def log_text(self) -> str:
        """Return the output of the process."""
        path = self.command.log_file
        return path.read_text(errors="replace") if path.exists() else ""

    def log_tail(self) -> str:
        """Return the end of the output of the process."""
        return self.log_text()[-_LOG_TAIL_CHARS:]
