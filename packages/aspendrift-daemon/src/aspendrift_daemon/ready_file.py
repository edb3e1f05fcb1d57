"""File that tells other processes where a daemon listens."""

from __future__ import annotations

import os
from pathlib import Path

import msgspec

from aspendrift_model.hosts import Host

__all__ = ["ReadyFile", "write_ready_file"]


class ReadyFile(msgspec.Struct, frozen=True):
    """Content of the ready file."""

    daemon_id: str
    url: str
    peer_endpoint: str
    pid: int


def write_ready_file(path: Path, host: Host) -> None:
    """Write the file atomically."""
    ready = ReadyFile(host.daemon_id, host.url, host.peer_endpoint, os.getpid())
    partial = path.with_name(path.name + ".partial")
    partial.write_bytes(msgspec.json.encode(ready))
    partial.replace(path)
