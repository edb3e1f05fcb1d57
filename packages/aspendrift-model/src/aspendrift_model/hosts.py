"""Entry hosts, availability zones and the network links between zones."""

from __future__ import annotations

import math
from dataclasses import dataclass

from aspendrift_model.ids import DaemonId, Incarnation, RegionName, ZoneName

__all__ = ["Host", "HostCapacity", "Link", "Location"]


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
class HostCapacity:
    """What a host gives its daemon, as the settings of the process state it.

    Parameters
    ----------
    cores : float
        Processor time per second, in cores of the usual speed; 0 if unknown.
    link_bits_per_s : float
        Rate of the host's own link, in bits per second; 0 if unknown.
    """

    cores: float = 0.0
    link_bits_per_s: float = 0.0

    @property
    def is_known(self) -> bool:
        """Whether the settings stated both."""
        return 0 < self.cores < math.inf and 0 < self.link_bits_per_s < math.inf


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
    capacity : HostCapacity
        What the host gives the daemon.
    """

    daemon_id: DaemonId
    incarnation: Incarnation
    location: Location
    url: str
    peer_endpoint: str
    peer_key: str = ""
    capacity: HostCapacity = HostCapacity()
