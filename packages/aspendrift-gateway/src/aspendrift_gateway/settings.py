"""Settings of a gateway process, independent of the platform's names."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from aspendrift_model.hosts import HostCapacity, Location
from aspendrift_model.ids import DaemonId

__all__ = ["GatewaySettings", "PolicyKind"]


class PolicyKind(Enum):
    """Policies in use: the product's own, or naive ones for comparison.

    With ``RATIONED``, chains that can't be on time yield to those that can.
    """

    LEARNED = "learned"
    RATIONED = "rationed"
    NAIVE = "naive"


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of a gateway.

    Parameters
    ----------
    front_address, ready_address, directory_address : str
        IP address and port of each HTTP server.
    metrics_port : int
        Port of the metrics, on the IP address of the host.
    peer_ports : tuple of int
        First and last port for traffic between daemons.
    store_address : str
        IP address and port of the platform's store.
    store_reads_per_s : float
        Reads per second that the store accepts from all daemons together.
    drain_s : float
        Time from the start of a target's draining to its last new request.
    configuration_s : float
        Time in which an accepted configuration must be in force at each daemon.
    grace_s : float
        Time from SIGTERM to SIGKILL.
    address_keep_s : float
        Maximum time for which callers cache addresses.
    retry_share, retry_window_s, retry_extra : float
        Retry budget of all daemons for one pool: a share of its requests within a
        window, plus a constant.
    evacuation_s : float
        Time in which an accepted evacuation must be in force at each daemon.
    cold_overrun, cold_slack : float
        Requests that all daemons together may send a cold target within one second: a
        multiple of the rate that it tolerates, plus a constant.
    memory_bytes : float
        Memory that the process may use.
    capacity : HostCapacity
        Processor and link of the host.
    """

    daemon_id: DaemonId
    location: Location
    ip: str
    front_address: str
    ready_address: str
    directory_address: str
    metrics_port: int
    peer_ports: tuple[int, int]
    store_address: str
    store_reads_per_s: float
    drain_s: float
    configuration_s: float
    grace_s: float
    address_keep_s: float
    retry_share: float
    retry_window_s: float
    retry_extra: float
    max_files: int
    memory_bytes: float
    policies: PolicyKind = PolicyKind.LEARNED
    evacuation_s: float = 5.0
    cold_overrun: float = 1.0
    cold_slack: float = 0.0
    capacity: HostCapacity = HostCapacity()
