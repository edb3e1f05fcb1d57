"""Tests of the systematic fault injection."""

from __future__ import annotations

import pytest

from aspendrift_standins.explorer import Choices, CourseFailed, explore


def test_every_placement_within_the_bounds_is_run_once() -> None:
    seen: list[tuple[int, ...]] = []

    def scenario(choices: Choices) -> None:
        taken = tuple(choices.pick(3, f"step {i}") for i in range(4))
        seen.append(taken)

    assert explore(scenario, max_faults=2, max_points=4) == 1 + 4 * 2 + 6 * 4
    assert len(set(seen)) == len(seen)


def test_points_beyond_the_bound_take_the_default_option() -> None:
    def scenario(choices: Choices) -> None:
        taken = [choices.pick(2, "step") for _ in range(5)]
        assert not any(taken[2:])

    assert explore(scenario, max_faults=5, max_points=2) == 4


def test_failing_execution_is_named_and_can_be_replayed() -> None:
    def scenario(choices: Choices) -> None:
        first = choices.pick(2, "write")
        second = choices.pick(3, "read")
        assert not (first == 1 and second == 2)

    with pytest.raises(CourseFailed) as caught:
        explore(scenario, max_faults=2, max_points=2)
    assert str(caught.value.course) == "write=1, read=2"
    with pytest.raises(AssertionError):
        scenario(Choices(caught.value.course.options))


def test_points_may_depend_on_earlier_options() -> None:
    courses: set[tuple[int, ...]] = set()

    def scenario(choices: Choices) -> None:
        taken = [choices.pick(2, "lost")]
        if taken[0]:
            taken.append(choices.pick(2, "retry"))
        courses.add(tuple(taken))

    explore(scenario, max_faults=2, max_points=8)
    assert courses == {(0,), (1, 0), (1, 1)}
