"""Measure the cost of digests, probes and view hashes by the size of the view."""

from __future__ import annotations

import json
import random
import time
import tracemalloc
from collections.abc import Callable
from typing import Final

import msgspec

from aspendrift_model.hosts import Host, Location
from aspendrift_model.ids import DaemonId, Incarnation, RegionName, ZoneName
from aspendrift_model.states import MemberState
from aspendrift_model.wire_peer import (
    Ack,
    Gossip,
    MemberMessage,
    MemberUpdate,
    Probe,
    RevisionDigest,
)
from aspendrift_policy.failure_detection import ring_neighbours
from aspendrift_policy.freshness import Freshness
from aspendrift_policy.membership import MemberView, host_record

SIZES: Final = (8, 50, 100, 200, 350)
N_REPEATS: Final = 300
LIMIT_S: Final = 3.0


def host(index: int, incarnation: int = 1) -> Host:
    """Return a host with names of typical length."""
    location = Location(
        ZoneName(f"zone-{index % 11}"), RegionName(f"region-{index % 3}")
    )
    key = "k" * 40
    return Host(
        DaemonId(f"entry-{index:04}"),
        Incarnation(incarnation),
        location,
        f"https://10.1.{index % 256}.17:8443",
        f"tcp://10.1.{index % 256}.17:7000",
        key,
    )


def filled_view(n_members: int) -> MemberView:
    """Return a view of live members."""
    view = MemberView(host(0), 0.0)
    for index in range(1, n_members):
        each = host(index)
        update = MemberUpdate(each.daemon_id, 1, 0, MemberState.LIVE, host_record(each))
        view.apply(update, 0.0)
    while view.next_updates(8):
        pass
    return view


def microseconds(work: Callable[[], object]) -> float:
    """Return the processor time of a call, the minimum of three rounds."""
    rounds = []
    for _ in range(3):
        started = time.process_time()
        for _ in range(N_REPEATS):
            work()
        rounds.append((time.process_time() - started) / N_REPEATS * 1e6)
    return round(min(rounds), 2)


def measure(n_members: int) -> dict[str, float]:
    """Return the costs at one view size, in microseconds, bytes and KiB."""
    tracemalloc.start()
    view = filled_view(n_members)
    view_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    ids = [member.host.daemon_id for member in view.members()]
    freshness = Freshness(ids[0], LIMIT_S, 0.0)
    witness = RevisionDigest(7, 1, is_witness=True)
    for daemon_id in ids:
        freshness.apply_digest(daemon_id, witness, 100.0, ids, 7)
    digest = freshness.digest(7, 1, ids, 101.0)
    reading = Freshness(ids[0], LIMIT_S, 0.0)
    reading.record_head_read(7, 100.0, 7)
    typical = RevisionDigest(7, 1, 7, 900, 7, True)
    probe = Probe(7, Gossip(view.view_hash, typical))
    encoder = msgspec.msgpack.Encoder()
    decoder = msgspec.msgpack.Decoder(MemberMessage)
    encoded = encoder.encode(probe)
    outage = encoder.encode(Ack(7, Gossip(view.view_hash, digest)))
    rng = random.Random(1)

    def restart() -> None:
        each = host(rng.randrange(1, n_members), rng.randrange(2, 1 << 40))
        record = host_record(each)
        update = MemberUpdate(
            each.daemon_id, each.incarnation, 0, MemberState.LIVE, record
        )
        view.apply(update, 1.0)

    return {
        "n_members": n_members,
        "probe_bytes": len(encoded),
        "outage_ack_bytes": len(outage),
        "encode_probe_us": microseconds(lambda: encoder.encode(probe)),
        "decode_probe_us": microseconds(lambda: decoder.decode(encoded)),
        "digest_us": microseconds(lambda: reading.digest(7, 1, ids, 100.1)),
        "outage_digest_us": microseconds(lambda: freshness.digest(7, 1, ids, 109.0)),
        "outage_learn_us": microseconds(
            lambda: freshness.apply_digest(ids[1], digest, 101.0, ids, 7)
        ),
        "majority_us": microseconds(lambda: freshness.fresh_at(7, ids, 101.0)),
        "view_hash_us": microseconds(lambda: view.view_hash),
        "update_view_us": microseconds(restart),
        "neighbours_us": microseconds(lambda: ring_neighbours(ids[0], ids)),
        "view_kb": round(view_bytes / 1024, 1),
    }


def main() -> None:
    """Measure all view sizes and print the results."""
    rows = [measure(n_members) for n_members in SIZES]
    for row in rows:
        print(row)
    print("RESULT " + json.dumps(rows))


if __name__ == "__main__":
    main()
