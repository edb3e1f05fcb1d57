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
    advertise_endpoint: str = setting(
        "", doc="Endpoint given to peers; empty takes the bound one."
    )
    secret_key_file: str = setting("", doc="File with the CURVE secret key, Z85.")
    allowed_keys: tuple[str, ...] = setting(
        (), doc="CURVE public keys of peers that may connect."
    )
    allow_plaintext: bool = setting(
        False, doc="Whether peers may do without keys on an address not loopback."
    )
    seeds: tuple[SeedPeer, ...] = setting((), doc="Daemons known in advance.")
    max_queued: int = setting(
        1000, unit="messages", doc="Messages queued for one peer.", minimum=1
    )
    idle_link_s: float = setting(
        60.0, unit="s", doc="Time after which an unused link closes.", minimum=1
    )
    probe_interval_s: float = setting(
        0.5, unit="s", doc="Time between probes of random peers.", minimum=0.01
    )
    probe_timeout_s: float = setting(
        0.4, unit="s", doc="Time for a direct acknowledgement.", minimum=0.01
    )
    suspicion_s: float = setting(
        3.0, unit="s", doc="Time a suspect has to refute.", minimum=0.01
    )
    list_interval_s: float = setting(
        10.0, unit="s", doc="Time between reads of the platform's list.", minimum=0.1
    )
    test_drop_share: float = setting(
        0.0, doc="Share of messages lost on purpose, for tests.", minimum=0, maximum=1
    )
    push_fanout: int = setting(
        4, unit="peers", doc="Peers that a new change is pushed to.", minimum=1
    )
    freshness_limit_s: float = setting(
        3.0,
        unit="s",
        doc="Age of knowledge at which a daemon takes no new work.",
        minimum=0.1,
    )
    head_reads_per_s: float = setting(
        50.0,
        unit="1/s",
        doc="Reads of the head revision by all daemons together.",
        minimum=0.1,
    )
    address_keep_s: float = setting(
        10.0, unit="s", doc="How long callers may keep addresses.", minimum=0.1
    )
    addresses_per_answer: int = setting(
        4, unit="addresses", doc="Addresses in one answer.", minimum=1
    )
