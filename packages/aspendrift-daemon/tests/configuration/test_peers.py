"""Tests of the peer link over loopback sockets."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from pathlib import Path

import msgspec
import pytest
import zmq

from aspendrift_daemon.clock import SystemClock
from aspendrift_daemon.events import EventHub
from aspendrift_daemon.peers import (
    LinkDirection,
    PeerLink,
    PeerMessageRejected,
    PeerRejection,
)
from aspendrift_model.hosts import Host, HostCapacity, Location
from aspendrift_model.ids import DaemonId, Incarnation, RegionName, ZoneName
from aspendrift_model.settings_peers import PeerSettings, SeedPeer
from aspendrift_model.states import MemberState, PeerFeature
from aspendrift_model.wire_peer import MemberUpdate
from aspendrift_policy.membership import MemberView, host_record
from aspendrift_policy.peer_features import encoded_features

PLACE = Location(ZoneName("a"), RegionName("r"))


class Node:
    """A started link and what it received on one topic."""

    def __init__(
        self,
        name: str,
        settings: PeerSettings | None = None,
        incarnation: int = 1,
        passes: Callable[[LinkDirection, DaemonId], bool] | None = None,
    ) -> None:
        self.hub = EventHub()
        self.rejected: list[PeerMessageRejected] = []
        self.hub.connect(PeerMessageRejected, self.rejected.append)
        host = Host(DaemonId(name), Incarnation(incarnation), PLACE, "", "")
        link_filter = None
        if passes is not None:
            link_filter = type("Filter", (), {"passes": staticmethod(passes)})()
        self.link = PeerLink(
            settings or PeerSettings(),
            host,
            SystemClock(),
            self.hub,
            random.Random(1),
            link_filter,
        )
        self.received: list[tuple[str, bytes]] = []
        self.link.subscribe("t", lambda origin, p: self.received.append((origin, p)))

    def add_to_view(self, *others: Node) -> None:
        for other in others:
            add_seed(self.link.view, other.link.host)


def add_seed(view: MemberView, host: Host) -> None:
    view.add_seed(host, 0.0)


async def until(condition: Callable[[], bool]) -> None:
    for _ in range(2000):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise TimeoutError


async def stop(*nodes: Node) -> None:
    for node in nodes:
        await node.link.stop()


def test_message_reaches_its_topic_at_one_daemon() -> None:
    async def scenario() -> None:
        first, second = Node("d1"), Node("d2")
        await first.link.start()
        await second.link.start()
        first.add_to_view(second)
        first.link.send(DaemonId("d2"), "other", b"no")
        first.link.send(DaemonId("d2"), "t", b"hello")
        await until(lambda: bool(second.received))
        assert second.received == [("d1", b"hello")]
        assert second.link.counters.n_received == 2
        await stop(first, second)

    asyncio.run(scenario())


def test_broadcast_reaches_each_daemon_once() -> None:
    async def scenario() -> None:
        nodes = [Node(f"d{i}", PeerSettings(push_fanout=3)) for i in range(5)]
        for node in nodes:
            await node.link.start()
        for node in nodes:
            node.add_to_view(*(each for each in nodes if each is not node))
        nodes[0].link.broadcast("t", b"x")
        await until(lambda: sum(len(node.received) for node in nodes) >= 4)
        await until(lambda: all(n.link.counters.n_received for n in nodes[1:]))
        await asyncio.sleep(0)
        assert [len(node.received) for node in nodes] == [0, 1, 1, 1, 1]
        await stop(*nodes)

    asyncio.run(scenario())


@pytest.mark.fault("daemon killed", "daemon starting")
def test_message_of_an_old_incarnation_is_rejected() -> None:
    async def scenario() -> None:
        old, new, other = Node("d1"), Node("d1", incarnation=2), Node("d2")
        for node in (old, new, other):
            await node.link.start()
        other.add_to_view(new)
        old.add_to_view(other)
        old.link.send(DaemonId("d2"), "t", b"late")
        await until(lambda: bool(other.rejected))
        assert other.rejected[0].reason is PeerRejection.OLD_INCARNATION
        assert other.received == []
        await stop(old, new, other)

    asyncio.run(scenario())


def nested_envelope() -> bytes:
    """Return an envelope whose extra field exceeds the decoder's nesting limit."""
    known = msgspec.msgpack.encode([1, "d2", 1, "t", b"", 1])
    deep = b"\x91" * 5000 + b"\xc0"
    return bytes([known[0] + 1]) + known[1:] + deep


@pytest.mark.parametrize("message", [b"", b"\xff\xff", b"\xc0", nested_envelope()])
def test_malformed_message_is_rejected_and_the_next_one_read(message: bytes) -> None:
    async def scenario() -> None:
        node = Node("d1")
        await node.link.start()
        context = zmq.Context()
        socket = context.socket(zmq.PUSH)
        socket.connect(node.link.endpoint)
        socket.send(message)
        socket.send(b"\xff\xff")
        await until(lambda: len(node.rejected) == 2)
        assert node.rejected[0].reason is PeerRejection.MALFORMED
        socket.close(linger=0)
        context.term()
        await stop(node)

    asyncio.run(scenario())


def test_only_allowed_keys_connect(tmp_path: Path) -> None:
    async def scenario() -> None:
        pairs = [zmq.curve_keypair() for _ in range(3)]
        allowed = tuple(public.decode() for public, _ in pairs[:2])
        nodes = []
        for i, (_, secret) in enumerate(pairs):
            key_file = tmp_path / f"key{i}"
            key_file.write_bytes(secret)
            settings = PeerSettings(secret_key_file=str(key_file), allowed_keys=allowed)
            nodes.append(Node(f"d{i}", settings))
            await nodes[i].link.start()
        for node in nodes[1:]:
            node.add_to_view(nodes[0])
        nodes[2].link.send(DaemonId("d0"), "t", b"stranger")
        nodes[1].link.send(DaemonId("d0"), "t", b"friend")
        await until(lambda: bool(nodes[0].received))
        nodes[1].link.send(DaemonId("d0"), "t", b"again")
        await until(lambda: len(nodes[0].received) == 2)
        assert {origin for origin, _ in nodes[0].received} == {"d1"}
        await stop(*nodes)

    asyncio.run(scenario())


@pytest.mark.parametrize("direction", list(LinkDirection))
def test_filter_drops_messages(direction: LinkDirection) -> None:
    async def scenario() -> None:
        is_out = direction is LinkDirection.OUT
        sender = Node(
            "d1", passes=(lambda d, _: d is not direction) if is_out else None
        )
        receiver = Node(
            "d2", passes=None if is_out else (lambda d, _: d is not direction)
        )
        probe = Node("d3")
        for node in (sender, receiver, probe):
            await node.link.start()
        sender.add_to_view(receiver, probe)
        sender.link.send(DaemonId("d2"), "t", b"dropped")
        await until(lambda: is_out or receiver.link.counters.n_received > 0)
        assert receiver.received == []
        assert (sender.link.counters.n_sent == 0) is is_out
        await stop(sender, receiver, probe)

    asyncio.run(scenario())


def test_only_a_refused_connection_counts_as_refused() -> None:
    async def scenario() -> None:
        node, other = Node("d1"), Node("d2")
        await node.link.start()
        await other.link.start()
        host = other.link.host
        assert not await node.link.is_refused(host)
        await other.link.stop()
        assert await node.link.is_refused(host)
        await stop(node)

    asyncio.run(scenario())


def test_seeds_are_members_before_their_first_message() -> None:
    async def scenario() -> None:
        other = Node("d2")
        await other.link.start()
        settings = PeerSettings(seeds=(SeedPeer("d2", other.link.endpoint),))
        node = Node("d1", settings)
        await node.link.start()
        states = {host.daemon_id: state for host, state in node.link.members()}
        assert states == {"d1": MemberState.LIVE, "d2": MemberState.JOINING}
        await stop(node, other)

    asyncio.run(scenario())


def test_features_of_a_peer_are_unknown_after_its_restart() -> None:
    """A host that is put back to an older build must not be relied upon.

    The older build announces nothing, so what its predecessor announced has to be
    dropped with the first message of the new incarnation.
    """

    async def scenario() -> None:
        new, old, other = Node("d1"), Node("d1", incarnation=2), Node("d2")
        for node in (new, old, other):
            await node.link.start()
        other.add_to_view(new)
        for node in (new, old):
            node.add_to_view(other)
        d1 = DaemonId("d1")
        assert not other.link.supports(d1, PeerFeature.PERMITS)
        new.link.send(DaemonId("d2"), "t", b"new")
        await until(lambda: len(other.received) == 1)
        other.link.record_features(d1, encoded_features([PeerFeature.PERMITS]))
        assert other.link.supports(d1, PeerFeature.PERMITS)
        assert not other.link.supports(d1, PeerFeature.EVACUATIONS)
        old.link.send(DaemonId("d2"), "t", b"old")
        await until(lambda: len(other.received) == 2)
        assert not other.link.supports(d1, PeerFeature.PERMITS)
        # A message of the first process that arrives late doesn't bring it back.
        new.link.send(DaemonId("d2"), "t", b"late")
        await until(lambda: bool(other.rejected))
        assert not other.link.supports(d1, PeerFeature.PERMITS)
        await stop(new, old, other)

    asyncio.run(scenario())


def test_capacities_count_only_while_all_builds_know_them() -> None:
    """Guards against two owners of a pool while hosts are replaced one by one."""
    own = Host(DaemonId("d0"), Incarnation(1), PLACE, "", "")
    link = PeerLink(
        PeerSettings(),
        own,
        SystemClock(),
        EventHub(),
        random.Random(1),
        features=[PeerFeature.CAPACITIES],
    )
    capacity = HostCapacity(2.0, 1e8)
    other = Host(DaemonId("d1"), Incarnation(1), PLACE, "", "", capacity=capacity)
    link.view.add_seed(other, 0.0)
    assert link.capacities()[other.daemon_id] == capacity
    earlier_build = encoded_features({PeerFeature.PERMITS})
    record = host_record(other)
    link.view.apply(MemberUpdate("d1", 1, 0, MemberState.LIVE, record), 0.0)
    link._features.record_message(other.daemon_id, 1)
    link.record_features(other.daemon_id, earlier_build)
    assert link.lacks(other.daemon_id, PeerFeature.CAPACITIES)
    assert link.capacities() == {}
    link.view.escalate_state(other.daemon_id, MemberState.DEAD, 1.0)
    assert list(link.capacities()) == [DaemonId("d0")]
