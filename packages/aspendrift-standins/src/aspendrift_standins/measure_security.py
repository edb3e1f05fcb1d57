"""Measures a daemon under hostile clients, and the cost of TLS."""

from __future__ import annotations

import asyncio
import contextlib
import datetime
import hashlib
import ssl
import statistics
import sys
import time
from pathlib import Path
from typing import Final
from urllib.parse import urlsplit

import click
import httpx
import msgspec
import psutil

from aspendrift_client.key_files import IssuedCertificate, write_certificates
from aspendrift_model.wire_caller import RequestBody
from aspendrift_standins.commands import Commands
from aspendrift_standins.fleet import OPERATOR_TOKEN, DaemonSpec, Fleet, StandInSpec
from aspendrift_standins.hostile import Attack, attacks, run_attack

__all__ = ["AttackFigures", "SecurityFigures", "TransportFigures", "main", "measure"]

PLAIN: Final = "daemon-plain"
ENCRYPTED: Final = "daemon-tls"
TOKEN: Final = "security-token"
_MEMORY_LIMIT_MB: Final = 128.0
_SAMPLE_INTERVAL_S: Final = 0.05
_HONEST_INTERVAL_S: Final = 0.1
_HONEST_TIMEOUT_S: Final = 10.0
_SETTLE_S: Final = 2.0
_INPUT_TIMEOUT_S: Final = 1.0
_JSON: Final = {"content-type": "application/json"}


class AttackFigures(msgspec.Struct):
    """Figures of the daemon during one attack."""

    name: str
    n_clients: int
    n_cut_off: int
    peak_rss_mb: float
    after_rss_mb: float
    honest_sent: int
    honest_answered: int


class TransportFigures(msgspec.Struct):
    """Figures of one transport: median times and mean CPU times, in milliseconds."""

    connect_ms: float
    request_ms: float
    cpu_ms_per_connect: float
    cpu_ms_per_request: float


class SecurityFigures(msgspec.Struct):
    """Figures of the measurement and the load average of the machine at its end."""

    load_average: float
    idle_rss_mb: float
    peak_rss_mb: float
    attacks: list[AttackFigures]
    plain: TransportFigures
    tls: TransportFigures
    n_logs_with_secrets: int

    @property
    def passed(self) -> bool:
        """Whether callers were served, memory is bounded and logs hold no secret."""
        served = all(each.honest_answered for each in self.attacks)
        in_memory = self.peak_rss_mb < _MEMORY_LIMIT_MB
        return served and in_memory and not self.n_logs_with_secrets


class _ProcessMonitor:
    """Reads the memory and CPU time of one daemon process."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self.url = fleet.url(name)
        self._process = psutil.Process(fleet.child(name).pid)
        self.peak_mb = 0.0

    def rss_mb(self) -> float:
        """Return the resident memory, in MiB."""
        return float(self._process.memory_info().rss) / 2**20

    def cpu_s(self) -> float:
        """Return the CPU time used, in seconds."""
        times = self._process.cpu_times()
        return float(times.user + times.system)

    async def track_peak(self) -> None:
        """Record the peak resident memory until cancelled."""
        while True:
            self.peak_mb = max(self.peak_mb, self.rss_mb())
            await asyncio.sleep(_SAMPLE_INTERVAL_S)


class _HonestCaller:
    """Sends requests at a fixed interval and counts the answers."""

    def __init__(self, client: httpx.AsyncClient, url: str) -> None:
        self._client = client
        self._url = f"{url}/v1/requests"
        self.n_sent = 0
        self.n_answered = 0

    async def run(self) -> None:
        """Send until cancelled."""
        while True:
            self.n_sent += 1
            body = RequestBody(f"honest-{time.monotonic_ns()}", "call", "x")
            with contextlib.suppress(httpx.HTTPError):
                response = await self._client.post(
                    self._url,
                    content=msgspec.json.encode(body),
                    headers=_JSON,
                    timeout=_HONEST_TIMEOUT_S,
                )
                self.n_answered += response.status_code == 200
            await asyncio.sleep(_HONEST_INTERVAL_S)


async def _measure_attack(
    monitor: _ProcessMonitor,
    attack: Attack,
    client: httpx.AsyncClient,
    duration_s: float,
) -> AttackFigures:
    address = urlsplit(monitor.url)
    monitor.peak_mb = 0.0
    caller = _HonestCaller(client, monitor.url)
    background = [
        asyncio.create_task(monitor.track_peak()),
        asyncio.create_task(caller.run()),
    ]
    n_cut_off = await run_attack(
        attack, address.hostname or "", address.port or 0, duration_s
    )
    for task in background:
        task.cancel()
    await asyncio.gather(*background, return_exceptions=True)
    await asyncio.sleep(_SETTLE_S)
    return AttackFigures(
        attack.name,
        attack.n_clients,
        n_cut_off,
        monitor.peak_mb,
        monitor.rss_mb(),
        caller.n_sent,
        caller.n_answered,
    )


async def _measure_transport(
    monitor: _ProcessMonitor, ssl_context: ssl.SSLContext, n_rounds: int
) -> TransportFigures:
    """Measure new connections, then requests on one connection."""
    url = f"{monitor.url}/livez"
    cpu_s = monitor.cpu_s()
    connects = []
    for _ in range(n_rounds):
        async with httpx.AsyncClient(verify=ssl_context, trust_env=False) as client:
            connects.append(await _timed_get(client, url))
    connect_cpu_s = monitor.cpu_s() - cpu_s
    async with httpx.AsyncClient(verify=ssl_context, trust_env=False) as client:
        await client.get(url)
        cpu_s = monitor.cpu_s()
        requests = [await _timed_get(client, url) for _ in range(n_rounds)]
        request_cpu_s = monitor.cpu_s() - cpu_s
    return TransportFigures(
        statistics.median(connects),
        statistics.median(requests),
        connect_cpu_s / n_rounds * 1e3,
        request_cpu_s / n_rounds * 1e3,
    )


async def _timed_get(client: httpx.AsyncClient, url: str) -> float:
    started_at = time.monotonic()
    response = await client.get(url)
    response.raise_for_status()
    return (time.monotonic() - started_at) * 1e3


def _daemons(issued: IssuedCertificate) -> list[DaemonSpec]:
    limits = {"header_timeout_s": _INPUT_TIMEOUT_S, "body_timeout_s": _INPUT_TIMEOUT_S}
    files = {
        "tls_certificate_file": str(issued.certificate_file),
        "tls_key_file": str(issued.key_file),
    }
    return [
        DaemonSpec(PLAIN, overlay={"http": limits}),
        DaemonSpec(ENCRYPTED, overlay={"http": limits | files}),
    ]


async def _publish(fleet: Fleet) -> None:
    commands = Commands([fleet.url(PLAIN)])
    for name, pool, kind in (("pool", "pool", "stage_pool"), ("engine",) * 3):
        target = {
            "target_id": name,
            "pool": pool,
            "kind": kind,
            "url": fleet.url(name),
            "zone": "zone-1",
            "region": "region-1",
            "slots": 64,
        }
        await commands.put(fleet.directory, ("target", "add"), name, target)
    for name, kind, pool, max_tokens in (
        ("call", "encode", "pool", 0),
        ("stream", "generate", "engine", 512),
    ):
        stage = {"name": "s", "kind": kind, "pool": pool, "max_tokens": max_tokens}
        contract = {"deadline_ms": 30_000}
        profile = {"name": name, "stages": [stage], "contract": contract}
        await commands.put(fleet.directory, ("profile", "publish"), name, profile)
    digest = hashlib.sha256(TOKEN.encode()).hexdigest()
    arguments = ("account", "add", "security", "--token-sha256", digest, "--wait")
    await commands.run(*arguments)


async def measure(n_clients: int, duration_s: float, n_rounds: int) -> SecurityFigures:
    """Start a plain and an encrypted daemon and measure both."""
    async with Fleet() as fleet:
        issued = _issue_certificates(fleet.directory / "tls")
        stand_ins = [("table", "table"), ("hostlist", "hostlist")]
        stand_ins += [("pool", "stage_pool"), ("engine", "engine")]
        await fleet.start_stand_ins([StandInSpec(*each) for each in stand_ins])
        platform = {"table_url": fleet.url("table")}
        await fleet.start_daemons(_daemons(issued), platform)
        await _publish(fleet)
        await asyncio.sleep(_SETTLE_S)
        plain, encrypted = (
            _ProcessMonitor(fleet, PLAIN),
            _ProcessMonitor(fleet, ENCRYPTED),
        )
        idle_mb = plain.rss_mb()
        ssl_context = ssl.create_default_context(cafile=str(issued.ca_file))
        transports = [
            await _measure_transport(monitor, ssl_context, n_rounds)
            for monitor in (plain, encrypted)
        ]
        headers = {"authorization": f"Bearer {TOKEN}"}
        async with httpx.AsyncClient(headers=headers, trust_env=False) as client:
            attack_figures = [
                await _measure_attack(plain, attack, client, duration_s)
                for attack in attacks(TOKEN, n_clients)
            ]
        n_logs = sum(_log_has_secret(fleet, name) for name in (PLAIN, ENCRYPTED))
    load = psutil.getloadavg()[0]
    peak_mb = max(each.peak_rss_mb for each in attack_figures)
    plain_figures, tls_figures = transports
    return SecurityFigures(
        load, idle_mb, peak_mb, attack_figures, plain_figures, tls_figures, n_logs
    )


def _log_has_secret(fleet: Fleet, name: str) -> bool:
    log = fleet.child(name).log_text()
    return any(secret in log for secret in (TOKEN, OPERATOR_TOKEN))


def _issue_certificates(folder: Path) -> IssuedCertificate:
    folder.mkdir()
    return write_certificates(
        folder, ["127.0.0.1"], datetime.datetime.now(datetime.UTC)
    )


@click.command()
@click.option("--clients", "n_clients", default=200, show_default=True)
@click.option("--duration-s", default=4.0, show_default=True)
@click.option("--rounds", "n_rounds", default=200, show_default=True)
def main(n_clients: int, duration_s: float, n_rounds: int) -> None:
    """Print the figures; the last line is the result as JSON."""
    figures = asyncio.run(measure(n_clients, duration_s, n_rounds))
    click.echo(f"idle {figures.idle_rss_mb:.1f} MB, peak {figures.peak_rss_mb:.1f} MB")
    for each in figures.attacks:
        click.echo(
            f"{each.name:18} {each.n_clients:4} clients, cut off "
            f"{each.n_cut_off:5} times  "
            f"peak {each.peak_rss_mb:6.1f} MB  after {each.after_rss_mb:6.1f} MB  "
            f"honest {each.honest_answered} of {each.honest_sent}"
        )
    for name, transport in (("plain", figures.plain), ("tls", figures.tls)):
        click.echo(
            f"{name:6} connect {transport.connect_ms:.2f} ms "
            f"({transport.cpu_ms_per_connect:.2f} ms CPU), "
            f"request {transport.request_ms:.2f} ms "
            f"({transport.cpu_ms_per_request:.2f} ms CPU)"
        )
    click.echo(f"logs with secrets {figures.n_logs_with_secrets}")
    click.echo(f"RESULT {msgspec.json.encode(figures).decode()}")
    sys.exit(0 if figures.passed else 1)


if __name__ == "__main__":
    main()
