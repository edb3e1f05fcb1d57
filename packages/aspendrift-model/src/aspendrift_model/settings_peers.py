"""Settings of peer links, membership and dissemination of configuration."""

from __future__ import annotations

from dataclasses import dataclass

from aspendrift_model.settings_base import setting

__all__ = ["PeerSettings", "SeedPeer"]


@dataclass(frozen=True, slots=True)
class SeedPeer:
    """A peer that the daemon contacts at its start."""

    daemon_id: str = setting(doc="Name of the peer.")
    endpoint: str = setting(doc="ZeroMQ endpoint of the peer.")
    key: str = setting("", doc="CURVE public key of the peer in Z85 encoding.")


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """Communication between daemons."""

    bind: str = setting("tcp://127.0.0.1:0", doc="ZeroMQ endpoint to listen on.")
    advertise_endpoint: str = setting(
        "", doc="Endpoint announced to peers; if empty, the bound one."
    )
    secret_key_file: str = setting(
        "", doc="File with the CURVE secret key in Z85 encoding."
    )
    allowed_keys: tuple[str, ...] = setting(
        (), doc="CURVE public keys of peers that may connect."
    )
    allow_plaintext: bool = setting(
        False,
        doc="Whether to allow peers without keys on an address other than loopback.",
    )
    seeds: tuple[SeedPeer, ...] = setting(
        (), doc="Peers that the daemon contacts at its start."
    )
    max_queued: int = setting(
        1000,
        unit="messages",
        doc="Maximum number of messages queued for one peer.",
        minimum=1,
    )
    idle_link_s: float = setting(
        60.0, unit="s", doc="Idle time after which a link is closed.", minimum=1
    )
    probe_interval_s: float = setting(
        0.5, unit="s", doc="Interval between probes of random peers.", minimum=0.01
    )
    probe_timeout_s: float = setting(
        0.4,
        unit="s",
        doc="Timeout for a direct acknowledgement of a probe.",
        minimum=0.01,
    )
    suspicion_s: float = setting(
        3.0,
        unit="s",
        doc="Time in which a suspected member can refute the suspicion.",
        minimum=0.01,
    )
    list_interval_s: float = setting(
        10.0,
        unit="s",
        doc="Interval between reads of the platform's membership list.",
        minimum=0.1,
    )
    list_reads_per_s: float = setting(
        1.0,
        unit="1/s",
        doc="Maximum rate of membership list reads by all daemons together.",
        minimum=0.01,
    )
    test_drop_share: float = setting(
        0.0, doc="Fraction of messages to drop, for tests.", minimum=0, maximum=1
    )
    push_fanout: int = setting(
        4,
        unit="peers",
        doc="Number of peers to which a new change is pushed.",
        minimum=1,
    )
    freshness_limit_s: float = setting(
        3.0,
        unit="s",
        doc="Age of its configuration state at which a daemon refuses new requests.",
        minimum=0.1,
    )
    head_reads_per_s: float = setting(
        50.0,
        unit="1/s",
        doc="Maximum rate of head revision reads by all daemons together.",
        minimum=0.1,
    )
    address_keep_s: float = setting(
        10.0, unit="s", doc="Time for which callers may cache addresses.", minimum=0.1
    )
    addresses_per_answer: int = setting(
        4, unit="addresses", doc="Maximum number of addresses in one answer.", minimum=1
    )
