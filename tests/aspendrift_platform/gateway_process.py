"""A gateway in a process of its own, as the platform starts it."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from contextlib import asynccontextmanager
from pathlib import Path

import httpx
from platform_emulator import free_address, settings

READY_TIMEOUT_S = 40.0

_MAIN = "from aspendrift_platform.main import run; run()"


class GatewayProcess:
    """A gateway process with a loopback address of its own.

    Parameters
    ----------
    folder : Path
        Folder for its settings and its log.
    number : int
        Last part of its name.
    """

    def __init__(self, folder, number, store_address, **bounds):
        self.name = f"g{number}"
        port = int(free_address().rpartition(":")[2])
        found = settings(self.name, store_address, [port, port])
        found["bounds"].update(bounds)
        # The metrics port is the same in all processes, also in those of other runs, so
        # each process has an address of its own.
        ip = f"127.{1 + port // 256}.{port % 256}.2"
        listen = found["listen"]
        found["ip"] = ip
        found["listen"] = {
            role: f"{ip}:{address.rpartition(':')[2]}"
            for role, address in listen.items()
        }
        self.front = found["listen"]["front"]
        self.ready = found["listen"]["ready"]
        self._settings_path = Path(folder) / f"{self.name}.json"
        self._settings_path.write_text(json.dumps(found))
        self._log_path = Path(folder) / f"{self.name}.log"
        self._process = None

    def start(self):
        """Start the process; a later start appends to the log."""
        environment = {
            **os.environ,
            "ASPENDRIFT_BOOT": str(self._settings_path),
            "PYTHONPATH": os.pathsep.join(each for each in sys.path if each),
        }
        with self._log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-c", _MAIN], env=environment, stdout=log, stderr=log
            )

    def kill(self):
        """End the process without a chance to clean up."""
        self._process.kill()
        self._process.wait()

    def terminate(self):
        """Ask the process to leave."""
        self._process.terminate()

    def reload(self):
        """Tell the process that its settings file may have changed."""
        self._process.send_signal(signal.SIGHUP)

    def pause(self):
        """Freeze the process."""
        self._process.send_signal(signal.SIGSTOP)

    def resume(self):
        """Let a frozen process go on."""
        if self._process is not None:
            self._process.send_signal(signal.SIGCONT)

    async def until_ended(self):
        """Wait for the end of the process; return its exit code."""
        while self._process.poll() is None:  # noqa: ASYNC110
            await asyncio.sleep(0.02)
        return self._process.returncode

    def logged(self, event):
        """Return the logged events of a name."""
        lines = self._log_path.read_text().splitlines()
        parsed = [json.loads(line) for line in lines if line.startswith("{")]
        return [each for each in parsed if each.get("event") == event]

    async def until_ready(self, client: httpx.AsyncClient):
        """Wait until the process accepts requests."""
        while True:
            try:
                answer = await client.get(f"http://{self.ready}/-/ready")
                if answer.status_code == 200:
                    return
            except httpx.HTTPError:
                pass
            assert self._process.poll() is None, self._log_path.read_text()[-2000:]
            await asyncio.sleep(0.05)


async def until_all_ready(gateways, client, within_s=READY_TIMEOUT_S):
    """Wait until all of these processes accept requests."""
    async with asyncio.timeout(within_s):
        await asyncio.gather(*(each.until_ready(client) for each in gateways))


@asynccontextmanager
async def running(platform, gateways):
    """Run a platform; at the end, end its gateways and the tasks that use them.

    Yields the list of these tasks.
    """
    tasks = []
    await platform.start()
    try:
        yield tasks
    finally:
        for task in tasks:
            task.cancel()
        for gateway in gateways:
            gateway.resume()
            gateway.kill()
        await platform.stop()
