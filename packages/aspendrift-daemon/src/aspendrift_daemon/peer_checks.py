"""Checks of the peer link's settings before a daemon starts."""

from __future__ import annotations

import ipaddress
from pathlib import Path
from typing import Final
from urllib.parse import urlsplit

import zmq

from aspendrift_model.settings_base import SettingProblem
from aspendrift_model.settings_peers import PeerSettings

__all__ = ["peer_problems"]

_SECRET_KEY: Final = "peers.secret_key_file"
_KEY_LENGTH: Final = 40


def peer_problems(peers: PeerSettings) -> tuple[SettingProblem, ...]:
    """Return the problems of the peer link's keys and address.

    A link without keys is accepted on a loopback address only, unless the
    settings allow it elsewhere.
    """
    problems = [*_key_problems(peers)]
    problems += [
        SettingProblem(f"peers.allowed_keys[{i}]", repr(key)[:80], "a Z85 public key")
        for i, key in enumerate(peers.allowed_keys)
        if len(key) != _KEY_LENGTH
    ]
    return tuple(problems)


def _key_problems(peers: PeerSettings) -> list[SettingProblem]:
    if peers.secret_key_file:
        return _file_problems(peers.secret_key_file)
    if peers.allow_plaintext or _is_loopback(peers.bind):
        return []
    allowed = f"a file for {peers.bind}, or peers.allow_plaintext set to true"
    return [SettingProblem(_SECRET_KEY, "nothing", allowed)]


def _file_problems(name: str) -> list[SettingProblem]:
    """Return the problems of a secret key file, never with its content."""
    try:
        zmq.curve_public(Path(name).read_text(encoding="ascii").strip().encode())
    except OSError as error:
        return [SettingProblem(_SECRET_KEY, str(error), "a readable file")]
    except (ValueError, zmq.ZMQError):
        found = f"no key in {name}"
        return [SettingProblem(_SECRET_KEY, found, "a Z85 secret key")]
    return []


def _is_loopback(endpoint: str) -> bool:
    try:
        host = urlsplit(endpoint).hostname or ""
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False
