"""Tests of the limits of targets over many daemons, in virtual time with faults."""

from __future__ import annotations

import random

import measure_target_rates
import pytest
from rate_world import Load, RateWorld, largest_sum

COLD, STATED = measure_target_rates.CASES
RUN_S = 60.0


def inject(world, rng):
    """Schedule random faults, mostly on owners and some of them at the same time."""
    at, n_joined = 3.0, 0
    while at < RUN_S:
        kind = rng.choice(["kill", "freeze", "cut", "heal", "join", "join"])
        index = rng.randrange(len(world.targets))
        if kind == "kill":
            world.at(at, lambda i=index: kill_owner(world, i))
        elif kind == "freeze":
            for_s = rng.choice([0.2, 0.6, 1.5, 4.0, 8.0])
            world.at(at, lambda i=index, s=for_s: world.freeze(world.owner(i), s))
        elif kind == "cut":
            ids = list(world.daemons_by_id)
            rng.shuffle(ids)
            n_groups = rng.randint(1, 4)
            groups = [ids[number :: n_groups + 1] for number in range(n_groups)]
            world.at(at, lambda cut=groups: world.cut(cut))
        elif kind == "heal":
            world.at(at, world.heal)
        else:
            n_joined += 1
            world.at(at, lambda name=f"j{n_joined}": world.join(name))
        at += rng.choice([0.1, 1.0, 2.5, 6.0])


def kill_owner(world, index):
    """Kill the owner of a target, unless few daemons are left."""
    if sum(not each.is_killed for each in world.daemons_by_id.values()) > 2:
        world.kill(world.owner(index))


@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize("case", [COLD, STATED], ids=["cold", "stated"])
def test_no_window_exceeds_the_bound_under_random_faults(case, seed):
    """Two owners at a time, or a new one beside permits of the old, add up.

    They do so when daemons see different members: while an owner is killed, frozen or
    cut off, and while daemons join.
    """
    rng = random.Random(seed)
    demand = case.tolerated_per_s * 3 * 4.0
    world = RateWorld(Load(12, 3, demand, RUN_S), case.limit, case.tolerated_per_s, rng)
    inject(world, rng)
    world.run()
    assert world.result(case.window_s).largest <= case.bound


def test_rate_is_used_though_each_share_is_far_below_one_request():
    """Daemons that ask at the wrong time would leave permits unused.

    Each of 64 daemons has less than a tenth of a request per second of a target.
    """
    world = RateWorld(
        Load(64, 2, COLD.tolerated_per_s * 4, 20.0),
        COLD.limit,
        COLD.tolerated_per_s,
        random.Random(1),
    )
    world.run()
    found = world.result(COLD.window_s)
    assert found.largest <= COLD.bound
    assert found.used_share > 0.65


def test_largest_sum_counts_a_half_open_window():
    assert largest_sum([0.0, 0.5, 1.0, 1.4], 1.0) == 3
    assert largest_sum([], 1.0) == 0
