"""Tests of the exchange of use digests between daemons."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

import pytest

from aspendrift_daemon.use_exchange import UseExchange
from aspendrift_model.hosts import Host, Location
from aspendrift_model.ids import (
    DaemonId,
    Incarnation,
    PoolName,
    RegionName,
    TargetId,
    ZoneName,
)
from aspendrift_model.settings_routing import RoutingSettings
from aspendrift_model.states import MemberState
from aspendrift_model.targets import LoadReport
from aspendrift_policy.fairness import FairShares, name_hash

POOL = PoolName("eng")
ENGINE = TargetId("e1")
Handler = Callable[[DaemonId, bytes], None]


class Network:
    """Delivers messages between daemons immediately and counts their bytes."""

    def __init__(self) -> None:
        self.handlers: dict[DaemonId, Handler] = {}
        self.n_bytes = 0


class Bus:
    def __init__(self, network: Network, daemon_id: DaemonId) -> None:
        self._network = network
        self._daemon_id = daemon_id

    def subscribe(self, topic: str, handler: Handler) -> None:
        self._network.handlers[self._daemon_id] = handler

    def broadcast(self, topic: str, payload: bytes) -> None:
        raise AssertionError

    def send(self, daemon_id: DaemonId, topic: str, payload: bytes) -> None:
        self._network.n_bytes += len(payload)
        self._network.handlers[daemon_id](self._daemon_id, payload)

    def members(self) -> Sequence[tuple[Host, MemberState]]:
        place = Location(ZoneName("a"), RegionName("r"))
        return [
            (Host(each, Incarnation(1), place, "", ""), MemberState.LIVE)
            for each in self._network.handlers
        ]


class Clock:
    def monotonic(self) -> float:
        return 10.0

    def unix(self) -> float:
        return 10.0


class Targets:
    def __init__(self) -> None:
        self.reports: list[LoadReport] = []

    def target_by_hash(self, id_hash: int) -> TargetId | None:
        return ENGINE if id_hash == name_hash(ENGINE) else None

    def apply_report(self, report: LoadReport, now: float) -> None:
        self.reports.append(report)


class Daemon:
    def __init__(self, network: Network, name: str) -> None:
        self.shares = FairShares()
        self.targets = Targets()
        daemon_id = DaemonId(name)
        self.use = UseExchange(
            RoutingSettings(),
            Clock(),
            Bus(network, daemon_id),
            self.shares,
            self.targets,
            random.Random(1),
            daemon_id,
        )


def test_peers_learn_demand_rank_and_polled_loads() -> None:
    network = Network()
    first, second = Daemon(network, "a"), Daemon(network, "b")
    second.shares.record_demand(POOL, 40.0, 10.0)
    second.use.share_report(LoadReport(ENGINE, 3, 1, 8, 100), 9.5)
    second.use.share_report(LoadReport(TargetId("unknown"), 1, 1, 8), 9.5)
    second.use.send(10.0)
    first.use.send(10.0)
    assert first.shares.system_demand(POOL, 2, 10.0) == pytest.approx(4.0)
    assert (first.use.rank(), second.use.rank()) == (0, 1)
    (report,) = first.targets.reports
    assert (report.active, report.queued, report.age_ms) == (3, 1, 600)


@pytest.mark.fault("peer link lossy", "request admitted")
def test_message_that_cannot_be_read_is_dropped() -> None:
    network = Network()
    daemon = Daemon(network, "a")
    network.handlers[DaemonId("a")](DaemonId("b"), b"\xc1garbage")
    assert daemon.targets.reports == []
    assert daemon.shares.recent_digests(10.0) == []


def test_each_digest_goes_to_a_few_peers_only() -> None:
    network = Network()
    daemons = [Daemon(network, f"d{i:03}") for i in range(350)]
    n_bytes = daemons[0].use.send(10.0)
    assert n_bytes == network.n_bytes
    n_reached = sum(bool(each.shares.recent_digests(10.0)) for each in daemons)
    assert n_reached == RoutingSettings().digest_fanout
