"""Tests of the schedule of random failures."""

from __future__ import annotations

from aspendrift_standins.chaos import ChaosKind, ChaosPlan, chaos_events

PLAN = ChaosPlan(3, 500.0, 1.0, ("d1", "d2", "d3", "d4"), "table", ("e1", "e2"))


def test_schedule_is_the_same_for_the_same_seed_and_has_every_kind() -> None:
    events = chaos_events(PLAN)
    assert events == chaos_events(PLAN)
    assert {event.kind for event in events} == set(ChaosKind)
    assert all(1 <= event.length_s <= 8 and event.at_s < 500 for event in events)


def test_no_process_fails_twice_at_a_time_and_most_daemons_stay() -> None:
    events = chaos_events(PLAN)
    for event in events:
        together = [
            other
            for other in events
            if other.at_s <= event.at_s <= other.ends_s and other is not event
        ]
        assert event.name not in {other.name for other in together}
        n_daemons_out = len({o.name for o in together if o.name.startswith("d")})
        assert n_daemons_out + event.name.startswith("d") <= 2
