"""Measure the age of the configuration proofs of up to 350 simulated daemons.

While the table answers, head reads are relayed in probes; during an outage, a
daemon relies on digests from more than half of its view. The freshness decisions
run in one process: probes go to ring neighbours with a fixed latency and a share
of lost messages.
"""

from __future__ import annotations

import heapq
import json
import random
from typing import Final

from aspendrift_model.ids import DaemonId
from aspendrift_policy.failure_detection import ring_neighbours
from aspendrift_policy.freshness import Freshness
from aspendrift_policy.gossip_push import head_read_delay_s

LIMIT_S: Final = 3.0
PROBE_S: Final = 0.5
REFRESH_FACTOR: Final = 0.4
READS_PER_S: Final = 50.0
LATENCY_S: Final = 0.002
OUTAGE_AT_S: Final = 15.0
RUN_S: Final = 30.0
WARM_UP_S: Final = 8.0
SAMPLE_S: Final = 0.5
CASES: Final = ((8, 0.0), (96, 0.01), (350, 0.0), (350, 0.01), (350, 0.1))


class Simulation:
    """Simulates daemons that probe each other."""

    def __init__(self, n_daemons: int, lost_share: float, seed: int) -> None:
        self.rng = random.Random(seed)
        self.lost_share = lost_share
        self.ids = [DaemonId(f"d{i:03}") for i in range(n_daemons)]
        self.fresh = {each: Freshness(each, LIMIT_S, 0.0) for each in self.ids}
        self.peers = {each: ring_neighbours(each, self.ids) for each in self.ids}
        self.events: list[tuple[float, int, str, DaemonId]] = []
        for number, each in enumerate(self.ids):
            first = self.rng.uniform(0, PROBE_S)
            heapq.heappush(self.events, (first, number, "probe", each))
            heapq.heappush(self.events, (first, number, "read", each))
        self.ages: dict[str, list[float]] = {"reading": [], "outage": []}

    def run(self) -> None:
        """Run all probes and head reads until RUN_S."""
        sample_at = WARM_UP_S
        while self.events[0][0] < RUN_S:
            now, number, kind, own_id = heapq.heappop(self.events)
            if now >= sample_at:
                self.sample(sample_at)
                sample_at += SAMPLE_S
            delay_s = self.read(own_id, now) if kind == "read" else None
            if delay_s is None:
                delay_s = self.probe(own_id, now)
            heapq.heappush(self.events, (now + delay_s, number, kind, own_id))

    def read(self, own_id: DaemonId, now: float) -> float:
        """Read the head if the table answers; return the delay until the next read."""
        if now < OUTAGE_AT_S:
            self.fresh[own_id].record_head_read(1, now, 1)
        return head_read_delay_s(len(self.ids), READS_PER_S, self.rng)

    def probe(self, own_id: DaemonId, now: float) -> float:
        """Probe a neighbour; return the delay until the next probe."""
        peer_id = self.rng.choice(self.peers[own_id])
        fresh = self.fresh[own_id]
        if self.rng.random() >= 1 - (1 - self.lost_share) ** 2:
            digest = self.fresh[peer_id].digest(1, 0, self.ids, now + LATENCY_S)
            fresh.apply_digest(peer_id, digest, now, self.ids, 1)
        needs_refresh = fresh.needs_refresh(1, self.ids, now + 2 * LATENCY_S)
        return (
            PROBE_S
            * (REFRESH_FACTOR if needs_refresh else 1)
            * self.rng.uniform(0.9, 1.1)
        )

    def sample(self, now: float) -> None:
        """Record the age of the freshness proof of every daemon."""
        if OUTAGE_AT_S <= now < OUTAGE_AT_S + LIMIT_S:
            return
        phase = "reading" if now < OUTAGE_AT_S else "outage"
        for fresh in self.fresh.values():
            at = fresh.fresh_at(1, self.ids, now)
            self.ages[phase].append(RUN_S if at is None else now - at)


def quantile(values: list[float], share: float) -> float:
    """Return the quantile of the values at ``share``."""
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 2)


def main() -> None:
    """Run all cases and print their results."""
    rows = []
    for n_daemons, lost_share in CASES:
        simulation = Simulation(n_daemons, lost_share, 1)
        simulation.run()
        row: dict[str, object] = {"n_daemons": n_daemons, "lost_share": lost_share}
        for phase, ages in simulation.ages.items():
            row[f"{phase}_p50_s"] = quantile(ages, 0.5)
            row[f"{phase}_p99_s"] = quantile(ages, 0.99)
            row[f"{phase}_max_s"] = quantile(ages, 1.0)
            stale = sum(age > LIMIT_S for age in ages)
            row[f"{phase}_isolated_share"] = round(stale / len(ages), 5)
        rows.append(row)
        print(row, flush=True)
    print("RESULT " + json.dumps({"limit_s": LIMIT_S, "rows": rows}))


if __name__ == "__main__":
    main()
