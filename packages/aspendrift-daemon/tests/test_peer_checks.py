"""Tests of the checks of the peer link's settings."""

from __future__ import annotations

from pathlib import Path

import pytest
import zmq

from aspendrift_daemon.peer_checks import peer_problems
from aspendrift_model.settings_peers import PeerSettings


def paths(peers: PeerSettings) -> list[str]:
    return [problem.path for problem in peer_problems(peers)]


@pytest.mark.parametrize(
    ("bind", "allow_plaintext", "accepted"),
    [
        ("tcp://127.0.0.1:0", False, True),
        ("tcp://[::1]:7000", False, True),
        ("tcp://10.0.0.1:7000", False, False),
        ("tcp://*:7000", False, False),
        ("tcp://[", False, False),
        ("tcp://10.0.0.1:7000", True, True),
    ],
)
def test_link_without_keys_needs_loopback_or_an_explicit_setting(
    bind: str, allow_plaintext: bool, accepted: bool
) -> None:
    peers = PeerSettings(bind=bind, allow_plaintext=allow_plaintext)
    assert (not paths(peers)) is accepted


def test_good_key_is_accepted(tmp_path: Path) -> None:
    public, secret = zmq.curve_keypair()
    path = tmp_path / "peer.key"
    path.write_bytes(secret + b"\n")
    peers = PeerSettings(
        bind="tcp://10.0.0.1:7000",
        secret_key_file=str(path),
        allowed_keys=(public.decode(),),
    )
    assert not paths(peers)


def test_wrong_key_is_named_but_never_shown(tmp_path: Path) -> None:
    path = tmp_path / "peer.key"
    path.write_text("not-a-key")
    (problem,) = peer_problems(PeerSettings(secret_key_file=str(path)))
    assert problem.path == "peers.secret_key_file"
    assert "not-a-key" not in str(problem)


def test_missing_file_and_short_public_key_are_named() -> None:
    peers = PeerSettings(secret_key_file="/nowhere", allowed_keys=("short",))
    assert paths(peers) == ["peers.secret_key_file", "peers.allowed_keys[0]"]
