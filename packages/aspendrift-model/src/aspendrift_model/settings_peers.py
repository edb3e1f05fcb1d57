"""Settings of the peer link, membership and the spread of configuration."""

from __future__ import annotations

from dataclasses import dataclass

from aspendrift_model.settings_base import setting

__all__ = ["PeerSettings", "SeedPeer"]


@dataclass(frozen=True, slots=True)
class SeedPeer:
    """A daemon known in advance."""

    daemon_id: str = setting(doc="Name of the peer.")
    endpoint: str = setting(doc="pyzmq endpoint of the peer.")
    key: str = setting("", doc="CURVE public key of the peer, Z85.")


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """How daemons talk to each other."""

    bind: str = setting("tcp://127.0.0.1:0", doc="pyzmq endpoint to listen on.")
    secret_key_file: str = setting("", doc="File with the CURVE secret key, Z85.")
    allowed_keys: tuple[str, ...] = setting(
        (), doc="CURVE public keys of peers that may connect."
    )
    seeds: tuple[SeedPeer, ...] = setting((), doc="Daemons known in advance.")
