"""Measure the duration of a routing decision by the number of candidates.

Prints one line of JSON with the median and the 99th percentile, in microseconds.
"""

from __future__ import annotations

import json
import random
import statistics
import sys
import time
from typing import Final

from aspendrift_model.contracts import Contract
from aspendrift_model.hosts import Location
from aspendrift_model.ids import (
    AccountId,
    AttemptId,
    PoolName,
    PrefixKey,
    ProfileName,
    RegionName,
    RequestId,
    StageName,
    TargetId,
    ZoneName,
)
from aspendrift_model.profiles import Profile, Stage
from aspendrift_model.settings_routing import RoutingSettings
from aspendrift_model.states import Priority, StageKind, TargetKind
from aspendrift_model.targets import LoadReport, Target
from aspendrift_policy.affinity import CacheHints
from aspendrift_policy.interfaces import RouteQuery
from aspendrift_policy.router import TargetPool, TwoChoiceRouter

N_DECISIONS: Final = 20_000
N_PREFIXES: Final = 500
BUSY_SHARES: Final = (0.5, 0.95, 1.0)
SEED: Final = 11
SLOTS: Final = 8
ZONES: Final = ("a", "b", "c")


def make_pool(n_targets: int, busy_share: float, rng: random.Random) -> TargetPool:
    """Return a pool in which each target is full with probability ``busy_share``."""
    location = Location(ZoneName("a"), RegionName("r"))
    pool = TargetPool(RoutingSettings(), location, rng)
    targets = [
        Target(
            TargetId(f"t{i}"),
            PoolName("eng"),
            TargetKind.ENGINE,
            "http://127.0.0.1:1",
            ZoneName(ZONES[i % len(ZONES)]),
            RegionName("r"),
            SLOTS,
        )
        for i in range(n_targets)
    ]
    pool.configure(targets, 0.0)
    pool.refresh(1.0, 0, 0.0)
    for target in targets:
        is_full = rng.random() < busy_share
        n_own = SLOTS if is_full else rng.randrange(SLOTS)
        for _ in range(n_own):
            pool.record_sent(target.target_id, 0.0)
        pool.apply_report(LoadReport(target.target_id, n_own, 0, SLOTS), 1.0)
    return pool


def make_query(number: int) -> RouteQuery:
    """Return a query with one of N_PREFIXES prefixes."""
    stage = Stage(StageName("generate"), StageKind.GENERATE, PoolName("eng"))
    profile = Profile(ProfileName("p"), (stage,), Contract(1000))
    return RouteQuery(
        RequestId(f"r{number}"),
        AttemptId(f"a{number}"),
        AccountId("ann"),
        profile,
        stage,
        10.0,
        Priority.NORMAL,
        PrefixKey(f"prefix-{number % N_PREFIXES}"),
    )


def measure(n_targets: int, busy_share: float) -> dict[str, float]:
    """Return the median and the 99th percentile of the time of a decision."""
    rng = random.Random(SEED)
    pool = make_pool(n_targets, busy_share, rng)
    router = TwoChoiceRouter(RoutingSettings(), CacheHints(), rng)
    queries = [make_query(number) for number in range(N_PREFIXES)]
    times_us: list[float] = []
    for number in range(N_DECISIONS):
        query = queries[number % N_PREFIXES]
        pool.is_full = False
        started = time.perf_counter_ns()
        router.choose(pool, query, 0.2, 2.0)
        times_us.append((time.perf_counter_ns() - started) / 1000.0)
    times_us.sort()
    return {
        "candidates": n_targets,
        "full_share": busy_share,
        "p50_us": round(statistics.median(times_us), 1),
        "p99_us": round(times_us[int(0.99 * len(times_us))], 1),
    }


def main() -> int:
    """Measure all cases and print the result."""
    cases = [measure(n, share) for n in (40, 600) for share in BUSY_SHARES]
    print(json.dumps(cases))
    return 0


if __name__ == "__main__":
    sys.exit(main())
