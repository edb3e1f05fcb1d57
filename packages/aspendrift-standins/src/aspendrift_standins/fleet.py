"""Starts stand-ins and daemons as child processes, and stops them at the end."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
import shutil
import signal
import tempfile
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Any, Final

import httpx

from aspendrift_standins.child import Child, ChildCommand
from aspendrift_standins.errors import UnknownProcess
from aspendrift_standins.ports import PortBlocks

__all__ = [
    "OPERATOR_TOKEN",
    "DaemonSpec",
    "Fleet",
    "StandInSpec",
    "merged",
]

OPERATOR_TOKEN: Final = "fleet-operator"
_DAEMON_MODULE: Final = "aspendrift_daemon.cli"
_N_SEEDS: Final = 3
_STOP_GRACE_S: Final = 5.0
_START_BATCH_SIZE: Final = 12


@dataclass(frozen=True, slots=True)
class StandInSpec:
    """One stand-in process.

    Parameters
    ----------
    name : str
        Unique name within the fleet.
    kind : str
        Module within this package, such as ``table`` or ``engine``.
    options, faults : mapping
        Fields of its options and faults that differ from the defaults.
    """

    name: str
    kind: str
    options: Mapping[str, Any] = field(default_factory=dict)
    faults: Mapping[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class DaemonSpec:
    """One daemon process.

    Parameters
    ----------
    overlay : mapping
        Settings that override those that the fleet writes, merged recursively.
    """

    daemon_id: str
    zone: str = "zone-1"
    region: str = "region-1"
    overlay: Mapping[str, Any] = field(default_factory=dict)


class Fleet:
    """Child processes on loopback, as an asynchronous context manager.

    Parameters
    ----------
    directory : Path or None
        Directory for settings, logs and run records, which is kept; if None, a
        temporary one, which is removed at the end.
    stop_grace_s : float
        Time that a process has to exit when the fleet stops, in seconds.
    """

    def __init__(
        self, directory: Path | None = None, stop_grace_s: float = _STOP_GRACE_S
    ) -> None:
        self._directory = directory
        self._keep_directory = directory is not None
        self._stop_grace_s = stop_grace_s
        self._ports = PortBlocks()
        self._children_by_name: dict[str, Child] = {}
        self._daemon_ids: list[str] = []
        self._client = httpx.AsyncClient(timeout=5.0, trust_env=False)

    async def __aenter__(self) -> Fleet:
        if self._directory is None:
            self._directory = Path(tempfile.mkdtemp(prefix="aspendrift-fleet-"))
        self._directory.mkdir(parents=True, exist_ok=True)
        self._stop_on_sigterm()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._client.aclose()
        children = self._children_by_name.values()
        await asyncio.gather(*(child.stop(self._stop_grace_s) for child in children))
        asyncio.get_running_loop().remove_signal_handler(signal.SIGTERM)
        self._ports.close()
        if not self._keep_directory:
            shutil.rmtree(self.directory, ignore_errors=True)

    @property
    def directory(self) -> Path:
        """Directory of settings, logs and run records."""
        assert self._directory is not None
        return self._directory

    @property
    def daemon_ids(self) -> tuple[str, ...]:
        """Ids of the daemons started, in order."""
        return tuple(self._daemon_ids)

    @property
    def names(self) -> tuple[str, ...]:
        """Names of all processes, in the order of their first starts."""
        return tuple(self._children_by_name)

    def child(self, name: str) -> Child:
        """Return a process by name.

        Raises
        ------
        UnknownProcess
            If there is none.
        """
        try:
            return self._children_by_name[name]
        except KeyError:
            raise UnknownProcess(name) from None

    def url(self, name: str) -> str:
        """Return the base URL of a process."""
        return self.child(name).url

    def urls(self, names: Iterable[str]) -> list[str]:
        """Return the base URLs of processes."""
        return [self.url(name) for name in names]

    def runs_file(self, name: str) -> Path:
        """Return the path of the run record of a target."""
        return self.directory / f"{name}.runs"

    async def start_stand_ins(self, specs: Sequence[StandInSpec]) -> None:
        """Start stand-ins and wait until they are ready."""
        ports = self._ports.allocate(len(specs))
        await self._start_all(
            self._stand_in_command(spec, port)
            for spec, port in zip(specs, ports, strict=True)
        )

    async def start_daemons(
        self, specs: Sequence[DaemonSpec], platform: Mapping[str, str]
    ) -> None:
        """Start daemons that have each other as seeds, and wait until they are ready.

        Parameters
        ----------
        platform : mapping
            The ``platform`` section of their settings.
        """
        ports = self._ports.allocate(2 * len(specs))
        http_ports, peer_ports = ports[: len(specs)], ports[len(specs) :]
        endpoints_by_id = {
            spec.daemon_id: f"tcp://127.0.0.1:{port}"
            for spec, port in zip(specs, peer_ports, strict=True)
        }
        self._daemon_ids += [spec.daemon_id for spec in specs]
        await self._start_all(
            self._daemon_command(spec, port, endpoints_by_id, platform)
            for spec, port in zip(specs, http_ports, strict=True)
        )

    async def start_module(
        self, name: str, module: str, arguments: Sequence[str]
    ) -> None:
        """Start a module that takes ``--ready-file``, and wait until it is ready."""
        ready_file = self.directory / f"{name}.ready"
        all_arguments = [*arguments, f"--ready-file={ready_file}"]
        command = self._command(name, module, all_arguments, ready_file)
        await self._start_all([command])

    async def restart(self, name: str) -> None:
        """Start an exited process with the same command, and wait until it is ready."""
        child = self.child(name)
        await child.start()
        await child.wait_ready()

    def kill(self, name: str) -> None:
        """Kill a process without a shutdown, as the loss of its host would."""
        self.child(name).signal(signal.SIGKILL)

    def pause(self, name: str) -> None:
        """Suspend a process without ending it."""
        self.child(name).signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Continue a paused process."""
        self.child(name).signal(signal.SIGCONT)

    def terminate(self, name: str) -> None:
        """Ask a process to shut down gracefully."""
        self.child(name).signal(signal.SIGTERM)

    async def switch_faults(self, name: str, **fields: Any) -> None:
        """Change the faults of a stand-in."""
        response = await self._client.post(f"{self.url(name)}/faults", json=fields)
        response.raise_for_status()

    async def get_json(self, name: str, path: str) -> Any:
        """Send a GET request to a process and return the JSON of the response."""
        response = await self._client.get(f"{self.url(name)}{path}")
        response.raise_for_status()
        return response.json()

    async def _start_all(self, commands: Iterable[ChildCommand]) -> None:
        children = [Child(command) for command in commands]
        for first in range(0, len(children), _START_BATCH_SIZE):
            batch = children[first : first + _START_BATCH_SIZE]
            for child in batch:
                self._children_by_name[child.command.name] = child
                await child.start()
            await asyncio.gather(*(child.wait_ready() for child in batch))

    def _stand_in_command(self, spec: StandInSpec, port: int) -> ChildCommand:
        ready_file = self.directory / f"{spec.name}.ready"
        arguments = [
            f"--port={port}",
            f"--ready-file={ready_file}",
            f"--options={json.dumps(dict(spec.options))}",
            f"--faults={json.dumps(dict(spec.faults))}",
        ]
        module = f"aspendrift_standins.{spec.kind}"
        return self._command(spec.name, module, arguments, ready_file)

    def _daemon_command(
        self,
        spec: DaemonSpec,
        http_port: int,
        endpoints_by_id: Mapping[str, str],
        platform: Mapping[str, str],
    ) -> ChildCommand:
        ready_file = self.directory / f"{spec.daemon_id}.ready"
        own = endpoints_by_id[spec.daemon_id]
        others = [
            {"daemon_id": daemon_id, "endpoint": endpoint}
            for daemon_id, endpoint in _others_after(endpoints_by_id, spec.daemon_id)
        ]
        settings = {
            "daemon_id": spec.daemon_id,
            "zone": spec.zone,
            "region": spec.region,
            "platform": dict(platform),
            "ready_file": str(ready_file),
            "http": {"port": http_port, "operators": [_operator()]},
            "peers": {"bind": own, "seeds": others[:_N_SEEDS]},
        }
        path = self.directory / f"{spec.daemon_id}.json"
        path.write_text(json.dumps(merged(settings, spec.overlay), indent=2))
        return self._command(
            spec.daemon_id, _DAEMON_MODULE, ["run", str(path)], ready_file
        )

    def _command(
        self, name: str, module: str, arguments: Sequence[str], ready_file: Path
    ) -> ChildCommand:
        log_file = self.directory / f"{name}.log"
        return ChildCommand(name, module, arguments, ready_file, log_file)

    def _stop_on_sigterm(self) -> None:
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        if task is not None:
            with contextlib.suppress(RuntimeError, ValueError):
                loop.add_signal_handler(signal.SIGTERM, task.cancel)


def merged(base: Mapping[str, Any], overlay: Mapping[str, Any]) -> dict[str, Any]:
    """Return a copy of a nested mapping, with an overlay merged into it."""
    result = dict(base)
    for key, value in overlay.items():
        base_value = result.get(key)
        if isinstance(base_value, Mapping) and isinstance(value, Mapping):
            result[key] = merged(base_value, value)
        else:
            result[key] = value
    return result


def _others_after(
    endpoints_by_id: Mapping[str, str], daemon_id: str
) -> list[tuple[str, str]]:
    """Return the others in cyclic order, so that daemons get different seeds."""
    items = list(endpoints_by_id.items())
    index = list(endpoints_by_id).index(daemon_id)
    return items[index + 1 :] + items[:index]


def _operator() -> dict[str, Any]:
    digest = hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
    return {
        "name": "fleet",
        "sha256": digest,
        "roles": ["read", "publish", "drain"],
    }
