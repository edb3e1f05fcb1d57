"""Entry hosts, availability zones and the network links between zones."""

from __future__ import annotations

from dataclasses import dataclass

from aspendrift_model.ids import DaemonId, Incarnation, RegionName, ZoneName

__all__ = ["Host", "Link", "Location"]


@dataclass(frozen=True, slots=True)
class Location:
    """An availability zone within a region."""

    zone: ZoneName
    region: RegionName


@dataclass(frozen=True, slots=True)
class Link:
    """The network path between two availability zones.

    Parameters
    ----------
    one_way_ms : float
        One-way latency, in milliseconds.
    """

    first: ZoneName
    second: ZoneName
    one_way_ms: float


@dataclass(frozen=True, slots=True)
class Host:
    """An entry host and the daemon process that runs on it.

    Parameters
    ----------
    daemon_id : DaemonId
        Unique name of the daemon.
    incarnation : Incarnation
        Start time of the process in milliseconds; a higher value supersedes a
        lower one.
    url : str
        Base URL of the HTTP API for callers and operators.
    peer_endpoint : str
        ZeroMQ endpoint for peers, such as ``tcp://127.0.0.1:7000``.
    peer_key : str
        CURVE public key in Z85 encoding; empty for a plaintext link.
    """

    daemon_id: DaemonId
    incarnation: Incarnation
    location: Location
    url: str
    peer_endpoint: str
    peer_key: str = ""
