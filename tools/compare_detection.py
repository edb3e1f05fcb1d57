"""Compare methods of failure detection and of view repair in a simulation.

Runs the decision objects of N_MEMBERS members in one loop, with the same seeded
faults for each variant. Detection variants: direct timeouts; indirect probes with
a suspicion period (SWIM); and the same with a majority of observers before an
accusation is disseminated (PRIME, section III-C). Repair variants: a hash of the
view on each message (PRIME, section III-B), and full lists at fixed intervals.
"""

from __future__ import annotations

import heapq
import itertools
import json
import random
import statistics
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final

import msgspec

from aspendrift_model.hosts import Host, Location
from aspendrift_model.ids import DaemonId, Incarnation, RegionName, ZoneName
from aspendrift_model.states import MemberState
from aspendrift_model.wire_peer import BucketHashes, MemberUpdate, ViewRecords
from aspendrift_policy.failure_detection import (
    ProbeMember,
    Prober,
    ProbeTimes,
    RequestIndirectProbes,
    ring_neighbours,
)
from aspendrift_policy.membership import MemberView

N_MEMBERS: Final = 40
N_SEEDS: Final = 3
TICK_S: Final = 0.1
LATENCY_S: Final = 0.002
N_MINORITY: Final = 13
RUN_S: Final = 100.0
SAMPLE_S: Final = 0.5
FAULT_AT_S: Final = 20.0
HEAL_AT_S: Final = 60.0
HEADER_BYTES: Final = 60
LIST_INTERVAL_S: Final = 10.0
ACCUSATION_KEEP_S: Final = 10.0
LOCATION: Final = Location(ZoneName("a"), RegionName("r"))
ENCODE: Final = msgspec.msgpack.Encoder().encode


@dataclass(frozen=True, slots=True)
class Variant:
    """A detection method combined with a repair method."""

    name: str
    n_helpers: int = 3
    suspicion_s: float = 3.0
    quorum: bool = False
    repair: str = "hash"


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault between FAULT_AT_S and HEAL_AT_S.

    ``delivers`` returns whether a message is delivered, given the origin, the
    receiver and a random generator. Members in ``gone`` stop for good, those in
    ``paused`` for 30 s. ``n_restarts`` members are replaced one after the other.
    """

    name: str
    delivers: Callable[[int, int, random.Random], bool] = lambda a, b, rng: True
    gone: tuple[int, ...] = ()
    paused: tuple[int, ...] = ()
    n_restarts: int = 0


VARIANTS: Final = (
    Variant("direct timeouts", 0, 0.0),
    Variant("helpers and suspicion"),
    Variant("majority of observers", quorum=True),
    Variant("helpers, plain lists", repair="lists"),
    Variant("helpers, no repair", repair="none"),
)
FAULTS: Final = (
    Fault("loss 1%", lambda a, b, rng: rng.random() > 0.01),
    Fault("loss 30%", lambda a, b, rng: rng.random() > 0.3),
    Fault("one-way link", lambda a, b, rng: (a, b) != (3, 7)),
    Fault("paused 30 s", paused=(5,)),
    Fault("cut of a third", lambda a, b, rng: (a < N_MINORITY) == (b < N_MINORITY)),
    Fault("silent hosts", gone=(4, 9)),
    Fault("restarts, loss 30%", lambda a, b, rng: rng.random() > 0.3, n_restarts=12),
)


@dataclass(slots=True)
class Node:
    """One member with its decision objects."""

    view: MemberView
    prober: Prober
    accusers: dict[DaemonId, dict[int, float]] = field(
        default_factory=lambda: defaultdict(dict)
    )
    synced_at: float = -10.0


class Simulation:
    """Simulates the members and their messages under a fault."""

    def __init__(self, variant: Variant, fault: Fault, seed: int) -> None:
        self.variant, self.fault = variant, fault
        self.rng = random.Random(seed)
        self.now = 0.0
        self.n_starts = N_MEMBERS
        self.nodes = {i: self.new_node(i, 1) for i in range(N_MEMBERS)}
        for node in self.nodes.values():
            for other in range(N_MEMBERS):
                node.view.apply(self.own_update(other), 0.0)
        self.queue: list[tuple[float, int, int, int, Any]] = []
        self.order = itertools.count()
        self.n_messages = self.n_bytes = 0
        self.false_accusation_s = 0.0
        self.detected_at: dict[int, float] = {}
        self.converged_at: float | None = None
        self.unreachable_share_by_side: dict[bool, float] = {}

    def new_node(self, index: int, incarnation: int) -> Node:
        """Return a member whose view holds only itself."""
        name = DaemonId(f"d{index:03}")
        host = Host(
            name, Incarnation(incarnation), LOCATION, "http://10.0.0.1", "tcp://x"
        )
        times = ProbeTimes(suspicion_s=self.variant.suspicion_s)
        return Node(MemberView(host, self.now), Prober(times, self.variant.n_helpers))

    def own_update(self, index: int) -> MemberUpdate:
        """Return the update of a member about itself."""
        view = self.nodes[index].view
        return view.update_of(view.own)

    def is_down(self, index: int) -> bool:
        """Return whether a member is stopped or paused now."""
        in_fault = FAULT_AT_S <= self.now < FAULT_AT_S + 30
        gone = index in self.fault.gone and self.now >= FAULT_AT_S
        return gone or (index in self.fault.paused and in_fault)

    def send(self, origin: int, to: int, message: Any) -> None:
        """Send a message, unless the fault drops it."""
        encoded = ENCODE([each if not callable(each) else "" for each in message])
        self.n_messages += 1
        self.n_bytes += len(encoded) + HEADER_BYTES
        active = FAULT_AT_S <= self.now < HEAL_AT_S
        if active and not self.fault.delivers(origin, to, self.rng):
            return
        due = self.now + LATENCY_S
        heapq.heappush(self.queue, (due, next(self.order), origin, to, message))

    def gossip(self, index: int) -> tuple[MemberUpdate, ...]:
        """Return the updates for the next message of a member."""
        return self.nodes[index].view.next_updates(8)

    def step(self) -> None:
        """Deliver the messages that are due and run one tick of every member."""
        self.now += TICK_S
        while self.queue and self.queue[0][0] <= self.now:
            due, _, origin, to, message = heapq.heappop(self.queue)
            if not self.is_down(to):
                self.receive(origin, to, message, due)
        for index, node in self.nodes.items():
            if self.is_down(index):
                continue
            for action in node.prober.tick(node.view, self.now, self.rng):
                self.act(index, node, action)
            if self.variant.repair == "lists":
                self.send_list(index, node)

    def act(self, index: int, node: Node, action: Any) -> None:
        """Execute an action of a prober."""
        to = int(action.daemon_id[1:])
        if isinstance(action, ProbeMember):
            message = ["probe", action.sequence, node.view.view_hash]
            self.send(index, to, [*message, self.gossip(index)])
        elif isinstance(action, RequestIndirectProbes):
            for helper in action.helper_ids:
                helping = ["help", action.sequence, action.daemon_id]
                self.send(index, int(helper[1:]), helping)
        elif self.variant.quorum:
            self.accuse(index, node, action.daemon_id)
        else:
            node.view.escalate_state(action.daemon_id, MemberState.SUSPECT, self.now)

    def accuse(self, index: int, node: Node, accused: DaemonId) -> None:
        """Notify the other observers of a member that it does not answer."""
        self.record_accusation(node, accused, index)
        for observer in self.observers(node, accused):
            if observer != index:
                self.send(index, observer, ["accuse", accused])

    def observers(self, node: Node, accused: DaemonId) -> list[int]:
        """Return the members that probe a member."""
        ids = [member.host.daemon_id for member in node.view.members()]
        if not hasattr(self, "rings") or self.rings[0] != ids:
            self.rings = (ids, {each: ring_neighbours(each, ids) for each in ids})
        watched = self.rings[1]
        return [int(each[1:]) for each in ids if accused in watched[each]]

    def record_accusation(self, node: Node, accused: DaemonId, by: int) -> None:
        """Record an accusation; suspect the member once a majority accuse it."""
        node.accusers[accused][by] = self.now
        observers = self.observers(node, accused)
        recent = [
            observer
            for observer, at in node.accusers[accused].items()
            if observer in observers and self.now - at < ACCUSATION_KEEP_S
        ]
        if 2 * len(recent) > len(observers):
            node.view.escalate_state(accused, MemberState.SUSPECT, self.now)

    def send_list(self, index: int, node: Node) -> None:
        """Send the complete view to a random member at fixed intervals."""
        if self.now - node.synced_at < LIST_INTERVAL_S:
            return
        node.synced_at = self.now
        to = node.view.sample(1, self.rng)
        if to:
            updates = tuple(node.view.update_of(each) for each in node.view.members())
            self.send(index, int(to[0].host.daemon_id[1:]), ["view", updates])

    def receive(self, origin: int, to: int, message: Any, due: float) -> None:
        """Process a message at its receiver."""
        node, kind = self.nodes[to], message[0]
        if kind == "probe":
            self.apply_gossip(origin, node, message[2], message[3])
            updates = self.accusation(node, origin) + self.gossip(to)
            self.send(to, origin, ["ack", message[1], node.view.view_hash, updates])
        elif kind == "ack":
            self.receive_ack(origin, to, node, message)
        elif kind == "help":
            action = node.prober.probe_for_peer(
                message[2], DaemonId(f"d{origin:03}"), message[1], self.now
            )
            self.act(to, node, action)
        elif kind == "accuse":
            self.record_accusation(node, message[1], origin)
        elif kind == "buckets":
            updates = node.view.differing_updates(message[1].hashes)
            self.send(to, origin, ["view", ViewRecords(updates).updates])
        else:
            for update in message[1]:
                node.view.apply(update, due)

    def receive_ack(self, origin: int, to: int, node: Node, message: Any) -> None:
        """Process an acknowledgement."""
        probe = node.prober.pop_acknowledged(message[1])
        if probe is None:
            return
        node.accusers.pop(probe.daemon_id, None)
        if probe.requester is not None:
            relayed = ["ack", probe.requester_sequence, None, ()]
            self.send(to, int(probe.requester[1:]), relayed)
        if message[2] is not None:
            self.apply_gossip(origin, node, message[2], message[3])

    def accusation(self, node: Node, origin: int) -> tuple[MemberUpdate, ...]:
        """Return the update about a member whose state is not live, else nothing."""
        member = node.view.members_by_id.get(DaemonId(f"d{origin:03}"))
        if member is None or member.state is MemberState.LIVE:
            return ()
        return (node.view.update_of(member),)

    def apply_gossip(
        self, origin: int, node: Node, view_hash: int, updates: Any
    ) -> None:
        """Apply updates, and request missing ones if the view hashes differ."""
        for update in updates:
            node.view.apply(update, self.now)
        differs = view_hash != node.view.view_hash
        if self.variant.repair == "hash" and differs and self.now - node.synced_at >= 1:
            node.synced_at = self.now
            own = int(node.view.own_id[1:])
            buckets = BucketHashes(node.view.bucket_hashes)
            self.send(own, origin, ["buckets", buckets])

    def observe(self) -> None:
        """Sample the detected failures, false accusations and convergence."""
        for index, node in self.nodes.items():
            if self.is_down(index):
                continue
            for member in node.view.members_by_id.values():
                other = int(member.host.daemon_id[1:])
                accused = member.state in (MemberState.UNREACHABLE, MemberState.DEAD)
                if not accused:
                    continue
                if other in self.fault.gone:
                    self.detected_at.setdefault(other * 1000 + index, self.now)
                elif not self.is_down(other) and not self.are_partitioned(index, other):
                    self.false_accusation_s += SAMPLE_S
        if self.fault.name.startswith("cut") and self.now < HEAL_AT_S:
            self.unreachable_share_by_side = {
                side: self.unreachable_share(side) for side in (True, False)
            }
        hashes = {
            n.view.view_hash for i, n in self.nodes.items() if not self.is_down(i)
        }
        if len(hashes) > 1:
            self.converged_at = None
        elif self.converged_at is None:
            self.converged_at = self.now

    def unreachable_share(self, in_minority: bool) -> float:
        """Return the share of the other side that one side regards as unreachable."""
        found = [
            member.state is MemberState.UNREACHABLE
            for index, node in self.nodes.items()
            if (index < N_MINORITY) is in_minority
            for member in node.view.members_by_id.values()
            if (int(member.host.daemon_id[1:]) < N_MINORITY) is not in_minority
        ]
        return sum(found) / len(found)

    def are_partitioned(self, first: int, second: int) -> bool:
        """Return whether two members are on different sides of a partition."""
        in_window = FAULT_AT_S <= self.now < HEAL_AT_S + 5
        return (
            self.fault.name.startswith("cut")
            and in_window
            and ((first < N_MINORITY) != (second < N_MINORITY))
        )

    def restart_due_member(self) -> None:
        """Replace the next member once its restart is due."""
        n_restarted = self.n_starts - N_MEMBERS
        due = FAULT_AT_S + (n_restarted + 1) * 3.0
        if n_restarted >= self.fault.n_restarts or self.now < due:
            return
        self.n_starts += 1
        index = n_restarted
        node = self.new_node(index, self.n_starts)
        node.view.queue_update(node.view.own_id)
        known = self.nodes[(index + 20) % N_MEMBERS].view
        for member in known.members():
            node.view.apply(known.update_of(member), self.now)
        self.nodes[index] = node


def run(variant: Variant, fault: Fault, seed: int) -> dict[str, float | None]:
    """Run one variant on one fault and return its metrics."""
    simulation = Simulation(variant, fault, seed)
    sampled_at = 0.0
    while simulation.now < RUN_S:
        simulation.restart_due_member()
        simulation.step()
        if simulation.now >= sampled_at + SAMPLE_S:
            sampled_at = simulation.now
            simulation.observe()
    n_live = N_MEMBERS - len(fault.gone)
    expected = len(fault.gone) * n_live
    found = [at - FAULT_AT_S for at in simulation.detected_at.values()]
    complete = expected > 0 and len(found) == expected
    return {
        "minority_notices": simulation.unreachable_share_by_side.get(True),
        "majority_notices": simulation.unreachable_share_by_side.get(False),
        "false_member_s": simulation.false_accusation_s,
        "detect_p50": statistics.median(found) if found else None,
        "detect_max": max(found) if complete else None,
        "equal_after_s": (
            None
            if simulation.converged_at is None
            else max(0.0, simulation.converged_at - HEAL_AT_S)
        ),
        "messages_per_s": simulation.n_messages / RUN_S / N_MEMBERS,
        "bytes_per_s": simulation.n_bytes / RUN_S / N_MEMBERS,
    }


def main() -> None:
    """Run every variant on every fault with the same seeds and print the results."""
    rows: list[dict[str, Any]] = []
    for fault in FAULTS:
        for variant in VARIANTS:
            runs = [run(variant, fault, seed) for seed in range(N_SEEDS)]
            row: dict[str, Any] = {"fault": fault.name, "variant": variant.name}
            for key in runs[0]:
                values = [each[key] for each in runs if each[key] is not None]
                row[key] = round(statistics.fmean(values), 2) if values else None
            row["runs_not_equal"] = sum(each["equal_after_s"] is None for each in runs)
            rows.append(row)
            print(row, flush=True)
    print("RESULT " + json.dumps({"n_members": N_MEMBERS, "rows": rows}))


if __name__ == "__main__":
    main()
