"""Play the replacement of hosts by another build, forwards and back, under load.

Gateways are real processes on the emulated platform of ``tests/aspendrift_platform``:
one build is that of a commit, the other that of the work tree. Hosts are replaced one
by one while callers send requests. In each direction one host is killed and all targets
of a pool fail for a while; a key is withdrawn. Then it is checked what callers and
targets saw.

    python tools/soak_mixed_builds.py --commit a0ccf33 --seed 1

Not part of the tests: it needs the repository's history and takes minutes.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tarfile
import tempfile
import time
from collections import Counter, defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from datetime import datetime
from io import BytesIO
from pathlib import Path
from typing import Any, Final

import click
import httpx

ROOT: Final = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests" / "aspendrift_platform"))

from emulated_world import complete_stream  # noqa: E402
from platform_emulator import (  # noqa: E402
    Platform,
    Target,
    configuration,
    free_address,
    settings,
)

N_HOSTS: Final = 4
N_CALLERS: Final = 4
_CALL_INTERVAL_S: Final = 0.02
_WITHDRAWN_KEY: Final = "withdrawn"
# The bound of the emulated settings, and a margin for a busy machine.
_WITHDRAWN_WITHIN_S: Final = 2.0 + 2.0
# Owners that were lost are suspected for 3 s.
_SETTLE_S: Final = 3.5
_OWNERS_WINDOW_S: Final = 1.5
# On a busy machine an owner is also suspected after a pause of a quarter of a second.
# Owners that differ because of the builds differ in each window.
_MAX_OWNERS_WINDOWS: Final = 5
# A small budget, so that it is spent while all targets of a pool fail.
_RETRIES_EXTRA: Final = 10
_PAUSE_CHECK_S: Final = 0.1
_MIN_PAUSE_S: Final = 2.0
_STOP_TIMEOUT_S: Final = 20.0
_READY_TIMEOUT_S: Final = 30.0
_NOT_RUN_STATUSES: Final = frozenset({401, 403, 408, 421, 429, 503})
_START: Final = (
    "import sys; from aspendrift_platform.main import main; sys.exit(main())"
)


@dataclass(frozen=True)
class Build:
    """A folder with the sources of a version."""

    name: str
    folder: Path

    def environment(self) -> dict[str, str]:
        """Return the environment of a process of this build."""
        sources = [*sorted(self.folder.glob("packages/*/src"))]
        paths = [str(each) for each in (*sources, self.folder / "platform" / "src")]
        return {**os.environ, "PYTHONPATH": os.pathsep.join(paths)}

    def check(self) -> None:
        """Raise unless a process of this build loads its own sources."""
        found = subprocess.run(
            [sys.executable, "-c", "import aspendrift_gateway as g; print(g.__file__)"],
            env=self.environment(),
            check=True,
            capture_output=True,
            text=True,
        ).stdout
        if not found.startswith(str(self.folder)):
            raise RuntimeError(f"{self.name}: loaded {found.strip()}")


@dataclass
class Request:
    """A request of a caller and what came of it; status 0 if it broke off."""

    kind: str
    attempt_id: str
    host: str
    status: int
    detail: str = ""
    began_at: float = 0.0


class AuditedTarget(Target):
    """Records when each attempt arrived."""

    async def _run(self, scope: Any, headers: Any, send: Any) -> None:
        self.platform.arrivals.append(
            (time.monotonic(), self.service, headers[b"attempt-id"])
        )
        await super()._run(scope, headers, send)

    def _check_inputs(self, attempt_id: str, inputs: Any) -> None:
        """Record results of other requests; count those that are freed already.

        A call that is repeated after a pause may run when its request has ended.
        """
        for handle in inputs:
            piece = self.records.handles.get(handle)
            if piece is None:
                self.platform.n_inputs_gone += 1
            elif piece[0] != attempt_id:
                self.records.violations.append((attempt_id, handle))


class AuditedPlatform(Platform):
    """The emulated platform with records of the attempts that targets got."""

    def __init__(self) -> None:
        super().__init__()
        self.arrivals: list[tuple[float, str, str]] = []
        self.n_inputs_gone = 0

    async def add_target(self, name: str, service: str, **changes: Any) -> Target:
        """Start a target."""
        target = AuditedTarget(self, name, service, **changes)
        self.targets_by_name[name] = target
        await self._serve(target.address, target)
        target.register()
        return target


class Host:
    """An entry host: its addresses stay, the process on it is replaced."""

    def __init__(self, name: str, ip: str, store: str, folder: Path) -> None:
        self.name = name
        self.folder = folder
        port = int(free_address().rpartition(":")[2])
        found = settings(name, store, [port, port])
        bounds = {**found["bounds"], "budgetExtra": _RETRIES_EXTRA}
        self.settings = {**found, "ip": ip, "bounds": bounds}
        self.front = self.settings["listen"]["front"]
        self.ready = self.settings["listen"]["ready"]
        self.settings_file = folder / f"{name}.json"
        self.settings_file.write_text(json.dumps(self.settings))
        self.process: asyncio.subprocess.Process | None = None
        self.build = ""
        self.is_used = False
        self.killed_at: list[float] = []
        self.logs: list[Path] = []

    async def start(self, build: Build) -> None:
        """Start a process and wait until it says that it is ready."""
        log = self.folder / f"{self.name}-{len(self.logs)}-{build.name}.log"
        self.logs.append(log)
        self.build = build.name
        with log.open("wb") as file:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-c",
                _START,
                env={**build.environment(), "ASPENDRIFT_BOOT": str(self.settings_file)},
                stdout=file,
                stderr=file,
            )
        async with asyncio.timeout(_READY_TIMEOUT_S), httpx.AsyncClient() as client:
            while not await self._is_ready(client):  # noqa: ASYNC110
                await asyncio.sleep(0.1)
        self.is_used = True

    async def _is_ready(self, client: httpx.AsyncClient) -> bool:
        try:
            answer = await client.get(f"http://{self.ready}/-/ready")
        except httpx.HTTPError:
            return False
        return answer.status_code == 200

    async def stop(self) -> int:
        """Stop the process as an operator does; return its exit code."""
        assert self.process is not None
        self.is_used = False
        self.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(_STOP_TIMEOUT_S):
            return await self.process.wait()

    async def kill(self) -> None:
        """Kill the process."""
        assert self.process is not None
        self.killed_at.append(time.monotonic())
        self.process.kill()
        await self.process.wait()
        self.is_used = False

    def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()


@dataclass
class Findings:
    """What was seen in a play."""

    requests: list[Request] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    n_owner_checks: int = 0
    n_windows_with_several_owners: int = 0
    n_both_builds_at_owner: int = 0
    n_key_checks: Counter[str] = field(default_factory=Counter)
    max_repeats: str = ""
    n_inputs_gone: int = 0


class Soak:
    """One play with one seed."""

    def __init__(self, old: Build, new: Build, seed: int, folder: Path) -> None:
        self.old, self.new = old, new
        self.rng = random.Random(seed)
        self.folder = folder
        self.platform = AuditedPlatform()
        self.findings = Findings()
        # Hosts of plays at the same time have the same fixed port for metrics.
        net = f"127.{self.rng.randrange(2, 250)}.{os.getpid() % 250}"
        self.hosts = [
            Host(f"h{n}", f"{net}.{n + 2}", self.platform.store.address, folder)
            for n in range(N_HOSTS)
        ]
        self.is_over = asyncio.Event()
        self.pauses_ended_at: list[float] = []
        self.version = 1
        self.withdrawn_at = float("inf")
        self._n_calls = 0

    async def play(self) -> Findings:
        """Replace all hosts forwards and back, then check what was seen."""
        await self._start_platform()
        pauses = asyncio.create_task(self._watch_pauses())
        tasks: list[asyncio.Task[None]] = []
        try:
            # Hosts that start at once read the list of members before all are in it,
            # and again only 10 s later.
            for host in self.hosts:
                await host.start(self.old)
            tasks = [asyncio.create_task(self._run_caller(n)) for n in range(N_CALLERS)]
            await self._observe_owners()
            await self._replace_all(self.new, is_withdrawn=True)
            await self._replace_all(self.old, is_withdrawn=False)
            await self._check_all_serve()
            self.is_over.set()
            await asyncio.gather(*tasks)
            await self._check_results_freed()
            await asyncio.gather(*(self._stop(host) for host in self.hosts))
        finally:
            for task in (pauses, *tasks):
                task.cancel()
            for host in self.hosts:
                host.end()
            await self.platform.stop()
        self._check_requests()
        self._check_repeats()
        self._check_logs()
        return self.findings

    async def _start_platform(self) -> None:
        await self.platform.start()
        services = (("desk", 2), ("model", 2), ("first", 2), ("second", 1))
        for service, n_targets in services:
            for number in range(n_targets):
                await self.platform.add_target(f"{service}-{number}", service)
        self._configure(["key", _WITHDRAWN_KEY])

    def _configure(self, keys: list[str]) -> None:
        account = {**configuration()["tenants"][0], "apiKeys": keys}
        self.platform.configure(self.version, tenants=[account])
        self.version += 1

    async def _replace_all(self, build: Build, is_withdrawn: bool) -> None:
        order = self.rng.sample(self.hosts, N_HOSTS)
        n_before_kill = self.rng.randrange(1, N_HOSTS)
        n_before_failures = self.rng.randrange(1, N_HOSTS)
        for number, host in enumerate(order):
            if number == n_before_kill:
                await self._kill_one()
            if number == n_before_failures:
                await self._fail_targets()
            if is_withdrawn and number == 1:
                self._configure(["key"])
                self.withdrawn_at = time.monotonic()
            await self._stop(host)
            await host.start(build)
            await self._observe_owners()

    async def _stop(self, host: Host) -> None:
        code = await host.stop()
        if code:
            self._violate(f"{host.name} ({host.build}) ended with {code}")

    async def _kill_one(self) -> None:
        host = self.rng.choice(self.hosts)
        await host.kill()
        await asyncio.sleep(self.rng.uniform(0.2, 2.0))
        await host.start(self.rng.choice([self.old, self.new]))
        await self._observe_owners()

    async def _fail_targets(self) -> None:
        """Let all plain targets fail for a while, so that retries are wanted."""
        desks = [
            each
            for each in self.platform.targets_by_name.values()
            if each.service == "desk"
        ]
        for target in desks:
            target.fails_next = 1 << 30
        await asyncio.sleep(3.0)
        for target in desks:
            target.fails_next = 0

    async def _observe_owners(self) -> None:
        await asyncio.sleep(_SETTLE_S)
        builds = sorted({host.build for host in self.hosts})
        for _ in range(_MAX_OWNERS_WINDOWS):
            began_at = time.time()
            await asyncio.sleep(_OWNERS_WINDOW_S)
            found = self._owners_since(began_at)
            if not found:
                return
            self.findings.n_windows_with_several_owners += 1
        self._violate(f"several owners of a pool: {found} with {builds}")

    def _owners_since(self, began_at: float) -> dict[str, list[str]]:
        """Return the owners of the pools that had jobs at several since a time."""
        owners, senders = defaultdict(set), defaultdict(set)
        for host in self.hosts:
            for job in _jobs_sent(host.logs[-1]):
                if datetime.fromisoformat(job["timestamp"]).timestamp() >= began_at:
                    owners[job["pool"]].add(job["owner_id"])
                    senders[job["pool"]].add(host.build)
        self.findings.n_owner_checks += len(owners)
        self.findings.n_both_builds_at_owner += sum(
            len(senders[pool]) > 1 and len(ids) == 1 for pool, ids in owners.items()
        )
        return {pool: sorted(ids) for pool, ids in owners.items() if len(ids) > 1}

    # Callers.

    async def _run_caller(self, number: int) -> None:
        rng = random.Random(f"{self.rng.random()}/{number}")
        while not self.is_over.is_set():
            used = [host for host in self.hosts if host.is_used]
            host = rng.choice(used)
            kind = rng.choice(["safe", "once", "model", "model", "resume", "withdrawn"])
            await self._call(host, kind)
            await asyncio.sleep(_CALL_INTERVAL_S)

    async def _call(self, host: Host, kind: str) -> Request:
        self._n_calls += 1
        attempt_id = f"{self._n_calls:016x}"
        path = "safe" if kind == "withdrawn" else kind
        headers = {
            "Host": "h.example",
            "Attempt-Id": attempt_id,
            "Deadline-Ms": "5000",
            "Credential": _WITHDRAWN_KEY if kind == "withdrawn" else "key",
        }
        if kind in ("model", "resume"):
            headers["X-Kind"] = "stream"
        if kind == "model":
            headers |= {"Pieces": "2,3,1", "Piece-Key": "k"}
        found = Request(kind, attempt_id, host.name, 0, began_at=time.monotonic())
        build = host.build
        # A connection of its own: one that is kept may be closed at any time.
        try:
            async with self._client() as client:
                answer = await client.post(
                    f"http://{host.front}/{path}/x", headers=headers, content=b"body"
                )
        except httpx.HTTPError as error:
            found.detail = type(error).__name__
            if not self._may_break(host, found):
                self._violate(f"{kind} {attempt_id} at {host.name}: {found.detail}")
        else:
            found.status = answer.status_code
            self._check_answer(found, answer, build)
        self.findings.requests.append(found)
        return found

    def _client(self) -> httpx.AsyncClient:
        # Without verification, since loading the certificates takes a lot of time.
        return httpx.AsyncClient(timeout=20.0, trust_env=False, verify=False)

    def _may_break(self, host: Host, request: Request) -> bool:
        """Return whether a request was at a killed host, or was never received."""
        if any(at >= request.began_at - 0.5 for at in host.killed_at):
            return True
        if request.detail == "ConnectError":
            return True
        was_paused = any(end >= request.began_at for end in self.pauses_ended_at)
        return was_paused and not self.platform.records.ran[request.attempt_id]

    async def _watch_pauses(self) -> None:
        """Record when this process was paused, as on a busy machine.

        A daemon closes a connection on which no request arrives for 3 s.
        """
        while True:
            began_at = time.monotonic()
            await asyncio.sleep(_PAUSE_CHECK_S)
            now = time.monotonic()
            if now - began_at > _MIN_PAUSE_S:
                self.pauses_ended_at.append(now)

    def _check_answer(
        self, request: Request, answer: httpx.Response, build: str
    ) -> None:
        if request.kind == "withdrawn":
            is_due = request.began_at > self.withdrawn_at + _WITHDRAWN_WITHIN_S
            if is_due:
                self.findings.n_key_checks[build] += 1
                # A daemon that leaves refuses before it looks at the key.
                if answer.status_code not in _NOT_RUN_STATUSES:
                    text = f"withdrawn key: {answer.status_code} of {build}"
                    self._violate(text)
            return
        if answer.status_code == 200:
            attempt_id = request.attempt_id
            is_stream = request.kind in ("model", "resume")
            text = f"answer to {attempt_id}"
            expected = complete_stream(attempt_id) if is_stream else text
            if answer.text != expected:
                self._violate(f"{request.kind} {attempt_id}: {answer.text[:60]!r}")
        elif answer.status_code == 500 and "response-signature" not in answer.headers:
            self._violate(f"{request.kind} {request.attempt_id}: 500 without signature")

    # Checks.

    def _violate(self, text: str) -> None:
        self.findings.violations.append(text)

    async def _check_all_serve(self) -> None:
        for host in self.hosts:
            for kind in ("safe", "once", "model", "resume"):
                for _ in range(50):
                    if (await self._call(host, kind)).status == 200:
                        break
                    await asyncio.sleep(0.1)
                else:
                    self._violate(f"{host.name} serves no {kind} in the end")

    async def _check_results_freed(self) -> None:
        for _ in range(100):
            if not self.platform.records.handles:
                return
            await asyncio.sleep(0.1)
        self._violate(f"{len(self.platform.records.handles)} results not freed")

    def _check_requests(self) -> None:
        """Compare what callers were told with what targets ran in the end."""
        ran = self.platform.records.ran
        for each in self.findings.requests:
            n_runs = ran[each.attempt_id]
            if each.kind == "once" and n_runs > 1:
                self._violate(f"once {each.attempt_id} ran {n_runs} times")
            if each.status in _NOT_RUN_STATUSES and n_runs:
                self._violate(f"{each.kind} {each.attempt_id}: {each.status} but ran")
        self.findings.n_inputs_gone = self.platform.n_inputs_gone
        for violation in self.platform.records.violations:
            self._violate(f"at a target: {violation}")

    def _check_repeats(self) -> None:
        """Compare the repeats in each window with the common budget of each pool."""
        bounds = self.hosts[0].settings["bounds"]
        window_s, share = bounds["budgetWindowS"], bounds["retryBudgetRatio"]
        largest = (-1.0, "")
        by_service = defaultdict(list)
        seen: set[str] = set()
        for at, service, attempt_id in self.platform.arrivals:
            by_service[service].append((at, attempt_id in seen))
            seen.add(attempt_id)
        for service, arrivals in by_service.items():
            for end, _ in arrivals:
                window = [again for at, again in arrivals if end - window_s < at <= end]
                n_repeats = sum(window)
                allowed = share * (len(window) - n_repeats) + bounds["budgetExtra"]
                text = f"{service}: {n_repeats} repeats of {allowed:.0f} allowed"
                largest = max(largest, (n_repeats / allowed, text))
        self.findings.max_repeats = largest[1]
        if largest[0] > 1.0:
            self._violate(largest[1])

    def _check_logs(self) -> None:
        """Check that no process failed."""
        for host in self.hosts:
            for log in host.logs:
                if "Traceback" in log.read_text():
                    self._violate(f"exception in {log.name}")


def _jobs_sent(log: Path) -> Iterator[dict[str, Any]]:
    # The last line may be incomplete.
    for line in log.read_text().split("\n")[:-1]:
        if '"stage_job_sent"' in line:
            yield json.loads(line)


@contextmanager
def exported(commit: str) -> Iterator[Path]:
    """Export the sources of a commit to a temporary folder."""
    folder = Path(tempfile.mkdtemp(prefix="aspendrift-build-"))
    try:
        archive = subprocess.run(
            ["git", "archive", "--format=tar", commit],
            cwd=ROOT,
            check=True,
            capture_output=True,
        ).stdout
        with tarfile.open(fileobj=BytesIO(archive)) as tar:
            tar.extractall(folder, filter="data")
        yield folder
    finally:
        shutil.rmtree(folder)


def report(seed: int, findings: Findings) -> dict[str, Any]:
    """Return the figures of a play."""
    statuses = Counter(each.status for each in findings.requests)
    return {
        "seed": seed,
        "requests": len(findings.requests),
        "statuses": {str(status): n for status, n in sorted(statuses.items())},
        "broken": dict(
            Counter(each.detail for each in findings.requests if each.detail)
        ),
        "owner_checks": findings.n_owner_checks,
        "one_owner_of_both_builds": findings.n_both_builds_at_owner,
        "windows_with_several_owners": findings.n_windows_with_several_owners,
        "inputs_gone": findings.n_inputs_gone,
        "key_checks": dict(findings.n_key_checks),
        "repeats": findings.max_repeats,
        "violations": findings.violations,
    }


@click.command()
@click.option("--commit", required=True, help="Commit of the other build.")
@click.option("--seed", "seeds", type=int, multiple=True, required=True)
@click.option("--keep-logs", is_flag=True, help="Keep the folder with the logs.")
def main(commit: str, seeds: tuple[int, ...], keep_logs: bool) -> None:
    """Play each seed and print one line of JSON for it."""
    n_violations = 0
    with exported(commit) as folder:
        old, new = Build("old", folder), Build("new", ROOT)
        for build in (old, new):
            build.check()
        for seed in seeds:
            logs = Path(tempfile.mkdtemp(prefix=f"aspendrift-soak-{seed}-"))
            findings = asyncio.run(_play(old, new, seed, logs))
            click.echo(json.dumps(report(seed, findings)))
            n_violations += len(findings.violations)
            if keep_logs:
                click.echo(f"logs: {logs}", err=True)
            else:
                shutil.rmtree(logs)
    sys.exit(1 if n_violations else 0)


async def _play(old: Build, new: Build, seed: int, logs: Path) -> Findings:
    return await Soak(old, new, seed, logs).play()


if __name__ == "__main__":
    main()
