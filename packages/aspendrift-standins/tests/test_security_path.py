"""Tests of TLS, CURVE and operator roles between real processes."""

from __future__ import annotations

import asyncio
import datetime
import hashlib
import json
from pathlib import Path
from typing import Any

import httpx
import pytest
from click.testing import CliRunner

from aspendrift_client.cli import command
from aspendrift_client.errors import ExitCode
from aspendrift_client.key_files import write_certificates
from aspendrift_standins.commands import Commands
from aspendrift_standins.errors import CommandFailed
from aspendrift_standins.fleet import DaemonSpec, Fleet, StandInSpec

READER = "reader-token"
DAEMONS = ("d1", "d2")


def new_peer_key(folder: Path) -> dict[str, str]:
    arguments = ["--output", "json", "keys", "new", "peer", str(folder)]
    result = CliRunner().invoke(command, arguments)
    (row,) = json.loads(result.output)
    return dict(row)


def overlays(folder: Path) -> list[dict[str, Any]]:
    """Return the settings of two daemons with TLS, CURVE and a read-only operator."""
    now = datetime.datetime.now(datetime.UTC)
    issued = write_certificates(folder, ["127.0.0.1"], now)
    keys = [new_peer_key(folder / name) for name in DAEMONS]
    reader = {"name": "reader", "sha256": hashlib.sha256(READER.encode()).hexdigest()}
    allowed = [key["public_key"] for key in keys]
    return [
        {
            "http": {
                "tls_certificate_file": str(issued.certificate_file),
                "tls_key_file": str(issued.key_file),
                "operators": [reader],
            },
            "peers": {"secret_key_file": key["secret_file"], "allowed_keys": allowed},
        }
        for key in keys
    ]


async def run_operator(folder: Path) -> tuple[str, CommandFailed, str]:
    specs = [
        DaemonSpec(name, overlay=overlay)
        for name, overlay in zip(DAEMONS, overlays(folder), strict=True)
    ]
    async with Fleet(folder / "fleet") as fleet:
        await fleet.start_stand_ins([StandInSpec("table", "table")])
        await fleet.start_daemons(specs, {"table_url": fleet.url("table")})
        url = fleet.url("d1")
        ca_file = str(folder / "ca.pem")
        reader = Commands(
            [url], {"ASPENDRIFT_TOKEN": READER, "ASPENDRIFT_CA_FILE": ca_file}
        )
        status_output = await reader.run("status")
        with pytest.raises(CommandFailed) as refused:
            await reader.run("account", "remove", "a")
        async with httpx.AsyncClient(trust_env=False) as client:
            with pytest.raises(httpx.TransportError):
                await client.get(url.replace("https", "http") + "/livez")
            with pytest.raises(httpx.ConnectError):
                await client.get(f"{url}/livez")
        log = fleet.child("d1").log_text()
    return status_output, refused.value, log


def test_operator_is_recognised_over_tls_and_held_to_its_role(tmp_path: Path) -> None:
    status_output, refused, log = asyncio.run(run_operator(tmp_path))
    assert "d1" in status_output
    assert refused.code == ExitCode.REFUSED
    assert "forbidden" in str(refused)
    assert READER not in log
