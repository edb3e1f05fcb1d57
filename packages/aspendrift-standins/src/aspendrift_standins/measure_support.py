"""Helpers of the measurements: fleets, configuration changes, logs and statistics."""

from __future__ import annotations

import asyncio
import json
import uuid
from collections.abc import AsyncIterator, Callable, Coroutine, Iterable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from datetime import datetime
from typing import Any, Final, TypeVar

import click
import httpx

from aspendrift_standins.errors import ProcessEnded
from aspendrift_standins.fleet import (
    OPERATOR_TOKEN,
    DaemonSpec,
    Fleet,
    StandInSpec,
)

__all__ = [
    "AppliedRevision",
    "ControlClient",
    "applied_events",
    "daemon_fleet",
    "print_result",
    "quantile",
    "run_with_retries",
    "slope",
]

_N_ZONES: Final = 11
_N_REGIONS: Final = 3
_TABLE_NAME: Final = "table"
_TIMEOUT_S: Final = 30.0
_STOP_GRACE_S: Final = 0.2
_N_RETRIES: Final = 3
_T = TypeVar("_T")


@dataclass(frozen=True, slots=True)
class AppliedRevision:
    """A revision applied by one daemon: Unix time in seconds, and gossip hops."""

    daemon_id: str
    revision: int
    at: float
    hops: int


class ControlClient:
    """Calls the operator API of the daemons of a fleet."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        headers = {"authorization": f"Bearer {OPERATOR_TOKEN}"}
        self._client = httpx.AsyncClient(
            headers=headers, timeout=_TIMEOUT_S, trust_env=False
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def status(self, daemon_id: str) -> dict[str, Any]:
        """Return the system status that one daemon reports."""
        url = f"{self._fleet.url(daemon_id)}/v1/admin/status"
        response = await self._client.get(url)
        response.raise_for_status()
        answer: dict[str, Any] = response.json()
        return answer

    async def add_account(self, daemon_id: str, name: str) -> dict[str, Any]:
        """Add a client account through a daemon; return the API's answer."""
        body = {"account_id": name, "token_sha256": uuid.uuid4().hex * 2}
        change = {
            "change_id": uuid.uuid4().hex,
            "kind": "account",
            "name": name,
            "expected_revision": 0,
            "body": body,
        }
        url = f"{self._fleet.url(daemon_id)}/v1/admin/changes"
        response = await self._client.post(url, json=change)
        answer: dict[str, Any] = response.json()
        return answer

    async def find_change(self, daemon_id: str, change_id: str) -> dict[str, Any]:
        """Return the current status of a change."""
        url = f"{self._fleet.url(daemon_id)}/v1/admin/changes/{change_id}"
        response = await self._client.get(url)
        answer: dict[str, Any] = response.json()
        return answer


@asynccontextmanager
async def daemon_fleet(
    n_daemons: int, settings: dict[str, Any]
) -> AsyncIterator[Fleet]:
    """Start a table stand-in and daemons across regions and availability zones.

    Parameters
    ----------
    settings : dict
        Settings that override the defaults.
    """
    async with Fleet(stop_grace_s=_STOP_GRACE_S) as fleet:
        await fleet.start_stand_ins([StandInSpec(_TABLE_NAME, "table")])
        specs = [
            DaemonSpec(
                f"d{index:03}",
                f"zone-{index % _N_ZONES}",
                f"region-{index % _N_ZONES % _N_REGIONS}",
                settings,
            )
            for index in range(n_daemons)
        ]
        await fleet.start_daemons(specs, {"table_url": fleet.url(_TABLE_NAME)})
        yield fleet


def run_with_retries(build_measurement: Callable[[], Coroutine[Any, Any, _T]]) -> _T:
    """Run a measurement; retry if another process took a port before it was bound."""
    for _ in range(_N_RETRIES):
        try:
            return asyncio.run(build_measurement())
        except ProcessEnded as error:
            click.echo(
                f"restarting the measurement: process {error.name} ended", err=True
            )
    return asyncio.run(build_measurement())


def applied_events(fleet: Fleet, daemon_ids: Iterable[str]) -> list[AppliedRevision]:
    """Return the revisions that each daemon applied, from the daemons' logs."""
    found: list[AppliedRevision] = []
    for daemon_id in daemon_ids:
        for line in fleet.child(daemon_id).log_text().splitlines():
            if "configuration_applied" not in line:
                continue
            event = json.loads(line)
            at = datetime.fromisoformat(event["timestamp"]).timestamp()
            found.append(
                AppliedRevision(daemon_id, event["revision"], at, event["hops"])
            )
    return found


def quantile(values: Sequence[float], share: float) -> float:
    """Return the quantile at a share; it is always one of the values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def slope(xs: Sequence[float], ys: Sequence[float]) -> tuple[float, float]:
    """Return slope and offset of the least-squares line through the points."""
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    sum_xx = sum((x - mean_x) ** 2 for x in xs)
    sum_xy = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True))
    per_unit = sum_xy / sum_xx if sum_xx else 0.0
    return per_unit, mean_y - per_unit * mean_x


def print_result(result: dict[str, Any]) -> None:
    """Print the ``RESULT`` line that ends the output of a measurement."""
    click.echo(f"RESULT {json.dumps(result)}")
