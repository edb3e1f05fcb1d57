"""Measure how all daemons together keep the limits of targets, in virtual time.

Prints, for a zone of cold targets and for targets that state a limit, at 8, 64 and 200
daemons: the largest sum of one window over the bound, the share of the tolerated rate
that was used, and the same for equal fixed shares in the same run. Owners are killed
and frozen, daemons are cut off and join.
"""

from __future__ import annotations

import random
import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

from rate_world import Load, RateWorld

from aspendrift_model.routes import ColdLimit
from aspendrift_policy.target_rates import RateLimit, cold_limit, stated_limit

N_DAEMONS: Final = (8, 64, 200)
N_SEEDS: Final = 3
N_TARGETS: Final = 10
RUN_S: Final = 60.0
COLD_PER_S: Final = 5.5
OVERRUN: Final = 1.5
SLACK: Final = 5.0
STATED_PER_S: Final = 6.0
# Load on each target, as a multiple of what it tolerates.
LOAD_FACTOR: Final = 4.0


@dataclass(frozen=True, slots=True)
class Case:
    """A limit, its bound, and the window of the bound."""

    name: str
    limit: RateLimit
    tolerated_per_s: float
    bound: float
    window_s: float


CASES: Final = (
    Case(
        "cold",
        cold_limit(ColdLimit(3.0, COLD_PER_S), OVERRUN, SLACK),
        COLD_PER_S,
        COLD_PER_S * OVERRUN + SLACK,
        1.0,
    ),
    Case(
        "stated",
        stated_limit(STATED_PER_S),
        STATED_PER_S,
        STATED_PER_S * 4.0 * 1.5 + 5.0,
        4.0,
    ),
)


def no_faults(world: RateWorld, rng: random.Random) -> None:
    """Let the run pass undisturbed."""


def kills(world: RateWorld, rng: random.Random) -> None:
    """Kill an owner every 12 s, and start another daemon 2 s later."""
    for number in range(4):
        world.at(8.0 + 12.0 * number, lambda: world.kill(world.owner()))
        world.at(10.0 + 12.0 * number, lambda name=f"j{number}": world.join(name))


def freezes(world: RateWorld, rng: random.Random) -> None:
    """Suspend owners for 0.3 to 6 s."""
    for number, for_s in enumerate((0.3, 1.0, 3.0, 6.0)):
        world.at(
            8.0 + 12.0 * number,
            lambda index=number, s=for_s: world.freeze(world.owner(index), s),
        )


def partitions(world: RateWorld, rng: random.Random) -> None:
    """Cut off an owner alone, then halves, then thirds; each for 8 s."""
    ids = list(world.daemons_by_id)
    rng.shuffle(ids)
    half, third = len(ids) // 2, len(ids) // 3
    world.at(6.0, lambda: world.cut([[world.owner()]]))
    world.at(24.0, lambda: world.cut([ids[:half], ids[half:]]))
    world.at(42.0, lambda: world.cut([ids[:third], ids[third : 2 * third]]))
    for at in (14.0, 32.0, 50.0):
        world.at(at, world.heal)


FAULTS: Final[dict[str, Callable[[RateWorld, random.Random], None]]] = {
    "none": no_faults,
    "kills": kills,
    "freezes": freezes,
    "partitions": partitions,
}


def main(names: Sequence[str]) -> None:
    """Print one line for each limit, number of daemons and kind of fault.

    ``names`` are those of the limits to measure; all of them if empty.
    """
    print("limit   daemons faults      sum/bound  used  queries/s | equal shares")
    for case in CASES:
        if names and case.name not in names:
            continue
        for n_daemons in N_DAEMONS:
            for name, faults in FAULTS.items():
                print(measure(case, n_daemons, name, faults))
                sys.stdout.flush()


def measure(
    case: Case,
    n_daemons: int,
    name: str,
    faults: Callable[[RateWorld, random.Random], None],
) -> str:
    """Return the line of one case: the worst sum and the mean use of all seeds."""
    demand = case.tolerated_per_s * N_TARGETS * LOAD_FACTOR
    permits, shares = [], []
    for seed in range(N_SEEDS):
        rng = random.Random(seed)
        load = Load(n_daemons, N_TARGETS, demand, RUN_S)
        world = RateWorld(load, case.limit, case.tolerated_per_s, rng)
        faults(world, rng)
        world.run()
        permits.append(world.result(case.window_s))
        shares.append(world.shares_result(case.window_s))
    used, shares_used = (
        sum(each.used_share for each in found) / N_SEEDS for found in (permits, shares)
    )
    largest, shares_largest = (
        max(each.largest for each in found) for found in (permits, shares)
    )
    queries = max(each.queries_per_s for each in permits)
    return (
        f"{case.name:7} {n_daemons:7} {name:11} "
        f"{largest / case.bound:9.2f} {used:5.2f} {queries:10.0f} | "
        f"{shares_largest / case.bound:9.2f} {shares_used:5.2f}"
    )


if __name__ == "__main__":
    main(sys.argv[1:])
