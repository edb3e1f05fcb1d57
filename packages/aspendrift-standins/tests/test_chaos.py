"""Tests of the schedule and the injection of random failures."""

from __future__ import annotations

import asyncio

from aspendrift_standins.chaos import (
    ChaosEvent,
    ChaosKind,
    ChaosPlan,
    ChaosRunner,
    chaos_events,
)
from aspendrift_standins.fleet import Fleet, StandInSpec

PLAN = ChaosPlan(3, 500.0, 1.0, ("d1", "d2", "d3", "d4"), "table", ("e1", "e2"))


def test_schedule_is_the_same_for_the_same_seed_and_has_every_kind() -> None:
    events = chaos_events(PLAN)
    assert events == chaos_events(PLAN)
    assert {event.kind for event in events} == set(ChaosKind)
    assert all(1 <= event.length_s <= 8 and event.at_s < 500 for event in events)


def test_no_process_fails_twice_at_a_time_and_most_daemons_stay() -> None:
    events = chaos_events(PLAN)
    for event in events:
        concurrent = [
            other
            for other in events
            if other.at_s <= event.at_s <= other.ends_s and other is not event
        ]
        assert event.name not in {other.name for other in concurrent}
        n_daemons_out = len({o.name for o in concurrent if o.name.startswith("d")})
        assert n_daemons_out + event.name.startswith("d") <= 2


def test_process_that_has_not_recovered_does_not_fail_again() -> None:
    events = [
        ChaosEvent(0.0, ChaosKind.TARGET_KILLED, "service", 0.3),
        ChaosEvent(0.1, ChaosKind.TARGET_KILLED, "service", 0.0),
    ]

    async def run() -> ChaosRunner:
        async with Fleet() as fleet:
            await fleet.start_stand_ins([StandInSpec("service", "service")])
            runner = ChaosRunner(fleet)
            await runner.run(events)
            assert await fleet.get_json("service", "/runs") == {}
            return runner

    runner = asyncio.run(run())
    assert (runner.completed, runner.errors) == (events[:1], [])
