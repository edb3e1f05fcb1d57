"""Measure in virtual time until the last daemon applies an evacuation.

Runs the parts of a gateway that keep its state current: the reader of the store, the
exchange with peers and the state. The store and the links between daemons are stand-ins
without loss. The rows are written while the store is up, slow, or turns a third of the
daemons away.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import statistics
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any, Final

from aspendrift_daemon.events import EventHub
from aspendrift_gateway.interfaces import StoreRow, StoreRows
from aspendrift_gateway.peer_state import PeerState
from aspendrift_gateway.store_client import HistoryGone, StoreFailure
from aspendrift_gateway.store_reader import StoreReader
from aspendrift_gateway.system_state import SystemState
from aspendrift_model.hosts import Host, HostCapacity, Location
from aspendrift_model.ids import DaemonId, Incarnation, RegionName, TargetId, ZoneName
from aspendrift_model.routes import RoutingConfiguration
from aspendrift_model.states import MemberState, PeerFeature
from aspendrift_model.target_entries import UnreadableEntry
from aspendrift_policy.owner_choice import NO_CAPACITIES
from aspendrift_policy.state_sources import readers_in_order
from aspendrift_standins.virtual_time import VirtualClock, run_virtual

COUNTS: Final = (8, 91, 300)
CONDITIONS: Final = ("up", "slow", "third rejected", "third and all readers rejected")
SETTINGS: Any = SimpleNamespace(
    drain_s=3.0, configuration_s=3.0, evacuation_s=5.0, store_reads_per_s=2000.0
)
DEGRADED_S: Final = 6.0
ZONE: Final = ZoneName("z1")
LATENCY_S: Final = 0.002
CALL_S: Final = 0.004
# Just below the time after which a call to the store counts as failed.
SLOW_CALL_S: Final = 0.7
# Interval at which a long poll looks for changes.
POLL_S: Final = 0.02
WARM_UP_S: Final = 5.0
MAX_DEGRADED_BEFORE_S: Final = 4.0


class Codec:
    """Decodes rows whose keys say everything; the configuration is always the same."""

    configuration_table = "op"
    configuration_key = "config"
    targets_table = "servers"

    def evacuated_zone(self, key: str) -> ZoneName | None:
        """Return the zone that a row evacuates."""
        zone = key.removeprefix("evacuate/")
        return None if zone == key else ZoneName(zone)

    def configuration(self, value: bytes) -> RoutingConfiguration:
        """Return a configuration without routes."""
        return RoutingConfiguration(1, (), {})

    def target_entry(self, key: str, value: bytes) -> UnreadableEntry:
        """Return an entry of no target."""
        return UnreadableEntry(TargetId(key), "")


@dataclass(slots=True)
class Rows:
    """The rows of the store."""

    version: int = 0
    rows: dict[tuple[str, str], StoreRow] = field(default_factory=dict)

    def put(self, table: str, key: str) -> None:
        """Write a row."""
        self.version += 1
        self.rows[table, key] = StoreRow(key, self.version, b"{}")

    def after(self, table: str, version: int) -> StoreRows:
        """Return the rows of a table that changed after a version."""
        found = (row for (name, _), row in self.rows.items() if name == table)
        changed = tuple(row for row in found if row.version > version)
        return StoreRows(changed, self.version)


class Store:
    """The store as one daemon reaches it."""

    def __init__(self, content: Rows) -> None:
        self.codec = Codec()
        self.is_rejecting = False
        self.call_s = CALL_S
        self._content = content

    async def read_table(self, table: str) -> StoreRows | StoreFailure:
        """Read every row of a table."""
        return await self._answer(table, -1)

    async def feed(
        self, table: str, after: int, wait_s: float
    ) -> StoreRows | HistoryGone | StoreFailure:
        """Read the changes after a version, waiting for one."""
        for _ in range(int(wait_s / POLL_S)):
            if self.is_rejecting or self._content.after(table, after).rows:
                break
            await asyncio.sleep(POLL_S)
        return await self._answer(table, after)

    async def _answer(self, table: str, after: int) -> StoreRows | StoreFailure:
        await asyncio.sleep(self.call_s)
        if self.is_rejecting:
            return StoreFailure("status 429")
        return self._content.after(table, after)


class Link:
    """The link of one daemon to the others."""

    def __init__(self, name: str, links_by_id: dict[DaemonId, Link]) -> None:
        location = Location(ZoneName("z"), RegionName("r"))
        self.host = Host(DaemonId(name), Incarnation(1), location, "", "")
        self.known: Sequence[tuple[Host, MemberState]] = ()
        self._links_by_id = links_by_id
        self._handler: Callable[[DaemonId, bytes], None] | None = None
        links_by_id[self.host.daemon_id] = self

    def subscribe(self, topic: str, handler: Callable[[DaemonId, bytes], None]) -> None:
        """Register the only handler."""
        self._handler = handler

    def members(self) -> Sequence[tuple[Host, MemberState]]:
        """Return all daemons."""
        return self.known

    def capacities(self) -> Mapping[DaemonId, HostCapacity]:
        """Return no capacities: all hosts are alike."""
        return NO_CAPACITIES

    @property
    def n_feature_changes(self) -> int:
        """Number of changes to what is known of the features of others."""
        return 0

    def supports(self, daemon_id: DaemonId, feature: PeerFeature) -> bool:
        """Return True: all daemons are of the present release."""
        return True

    def lacks(self, daemon_id: DaemonId, feature: PeerFeature) -> bool:
        """Return False, see :meth:`supports`."""
        return False

    def send(self, daemon_id: DaemonId, topic: str, payload: bytes) -> None:
        """Send a message."""
        handler = self._links_by_id[daemon_id]._handler
        assert handler is not None
        loop = asyncio.get_running_loop()
        loop.call_later(LATENCY_S, handler, self.host.daemon_id, payload)


class Daemon:
    """The parts of a gateway that keep its state current."""

    def __init__(self, link: Any, content: Rows) -> None:
        clock = VirtualClock(asyncio.get_running_loop())
        hub, rng = EventHub(), random.Random(link.host.daemon_id)
        codec: Any = Codec()
        self.store: Any = Store(content)
        self.daemon_id = link.host.daemon_id
        self.state = SystemState(codec, hub)
        self.reader = StoreReader(
            self.store, self.state, lambda: SETTINGS, self.n_readers, clock, hub, rng
        )
        self.peers = PeerState(
            link,
            self.state,
            self.reader,
            lambda: SETTINGS,
            clock,
            hub,
            rng,
            lambda: 0.0,
            lambda: True,
            lambda report: None,
            lambda content: None,
            SimpleNamespace(digest=lambda: 0, answer=lambda daemon_id, digest: None),
        )

    def n_readers(self) -> int:
        """Return the number of daemons that follow the store."""
        return self.peers.n_readers()


def degrade(daemons: Sequence[Daemon], condition: str, rng: random.Random) -> None:
    """Make the store slow, or let it reject a third of the daemons."""
    if condition == "slow":
        for daemon in daemons:
            daemon.store.call_s = SLOW_CALL_S
    elif condition != "up":
        reader_ids = readers_in_order([each.daemon_id for each in daemons])
        are_first = reader_ids if "readers" in condition else []
        order = rng.sample(daemons, len(daemons))
        order.sort(key=lambda each: each.daemon_id not in are_first)
        for daemon in order[: len(daemons) // 3]:
            daemon.store.is_rejecting = True


async def time_to_last(count: int, condition: str, seed: int) -> float:
    """Return the seconds from the write of a row until the last daemon applies it."""
    rng = random.Random(seed)
    content, links_by_id = Rows(), {}
    content.put("op", "config")
    links = [Link(f"d{number:03}", links_by_id) for number in range(count)]
    daemons = [Daemon(link, content) for link in links]
    members = [(link.host, MemberState.LIVE) for link in links]
    for link, daemon in zip(links, daemons, strict=True):
        link.known = members
        await daemon.reader.start()
        await daemon.peers.start()
    await asyncio.sleep(WARM_UP_S)
    degrade(daemons, condition, rng)
    await asyncio.sleep(rng.uniform(0.0, MAX_DEGRADED_BEFORE_S))
    content.put("op", f"evacuate/{ZONE}")
    loop = asyncio.get_running_loop()
    written_at = loop.time()
    limit_s = SETTINGS.evacuation_s + DEGRADED_S
    while any(not each.state.evacuations.zones for each in daemons):
        if loop.time() - written_at > limit_s:
            break
        await asyncio.sleep(POLL_S / 2)
    took_s = loop.time() - written_at
    for daemon in daemons:
        await daemon.peers.stop()
        await daemon.reader.stop()
    return took_s


def measure(count: int, condition: str, n_runs: int) -> list[float]:
    """Return the times of several runs, which differ in their seeds."""
    times: list[float] = []

    async def run(seed: int) -> None:
        times.append(await time_to_last(count, condition, seed))

    for seed in range(n_runs):
        run_virtual(run(seed))
    return times


def main() -> None:
    """Print the times of all sizes and conditions."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=5)
    n_runs = parser.parse_args().runs
    print("daemons, store: median and largest time in seconds")
    for count in COUNTS:
        for condition in CONDITIONS:
            times = measure(count, condition, n_runs)
            figures = f"{statistics.median(times):.2f} {max(times):.2f}"
            print(f"{count}, {condition}: {figures}", flush=True)


if __name__ == "__main__":
    main()
