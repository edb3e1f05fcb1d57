"""Systematic exploration of the faults that a piece of code can meet.

A scenario asks a :class:`Choices` at each point where something may go wrong.
Option 0 is the normal course, any other option is a fault. The explorer runs the
scenario once for every way to place at most ``max_faults`` faults among the first
``max_points`` points, so a scenario that holds up has no failing course within
these bounds. This is stateless model checking with a bound on faults.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field

__all__ = ["Choices", "Course", "CourseFailed", "explore"]


@dataclass(frozen=True, slots=True)
class Course:
    """One run: the option taken at each point, with the points' names."""

    options: tuple[int, ...]
    points: tuple[str, ...]

    def __str__(self) -> str:
        faults = [
            f"{point}={option}"
            for point, option in zip(self.points, self.options, strict=True)
            if option
        ]
        return ", ".join(faults) or "no fault"


class CourseFailed(AssertionError):
    """The scenario failed on a course; replay it with ``Choices(options)``."""

    def __init__(self, course: Course, error: Exception) -> None:
        super().__init__(f"{course}: {error!r}; options {course.options}")
        self.course = course


@dataclass(slots=True)
class Choices:
    """Answers the choices of one run.

    Parameters
    ----------
    planned : sequence of int
        Options for the first points; later points take option 0.
    """

    planned: Sequence[int] = ()
    options: list[int] = field(default_factory=list)
    n_options: list[int] = field(default_factory=list)
    points: list[str] = field(default_factory=list)

    def pick(self, n_options: int, point: str) -> int:
        """Return the option to take at a point that has ``n_options``."""
        index = len(self.options)
        option = self.planned[index] if index < len(self.planned) else 0
        option = min(option, n_options - 1)
        self.options.append(option)
        self.n_options.append(n_options)
        self.points.append(point)
        return option

    def course(self) -> Course:
        """Return what was taken so far."""
        return Course(tuple(self.options), tuple(self.points))


def explore(
    scenario: Callable[[Choices], None], max_faults: int, max_points: int
) -> int:
    """Run a scenario on every course within the bounds.

    Returns
    -------
    int
        Number of courses run.

    Raises
    ------
    CourseFailed
        At the first course on which the scenario raises.
    """
    n_courses = 0
    pending: list[tuple[int, ...]] = [()]
    while pending:
        planned = pending.pop()
        choices = Choices(planned)
        try:
            scenario(choices)
        except Exception as error:
            raise CourseFailed(choices.course(), error) from error
        n_courses += 1
        if _n_faults(planned) < max_faults:
            pending.extend(_one_fault_more(choices, len(planned), max_points))
    return n_courses


def _n_faults(options: Sequence[int]) -> int:
    return sum(option > 0 for option in options)


def _one_fault_more(
    choices: Choices, first: int, max_points: int
) -> Iterator[tuple[int, ...]]:
    """Yield the plans with one fault at a point after the planned ones."""
    taken = tuple(choices.options)
    for index in range(first, min(len(taken), max_points)):
        for option in range(1, choices.n_options[index]):
            yield (*taken[:index], option)
