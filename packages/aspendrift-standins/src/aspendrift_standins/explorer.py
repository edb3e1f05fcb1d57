"""Systematic fault injection: stateless model checking with a bound on faults.

A scenario calls :meth:`Choices.pick` at each choice point, that is, wherever a
fault may occur. Option 0 means no fault, any other option is a fault. A course is
one execution of the scenario with the options taken in it. The explorer runs the
scenario once for every way to place at most ``max_faults`` faults among the first
``max_points`` choice points, so a scenario that passes has no failing course
within these bounds.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field

__all__ = ["Choices", "Course", "CourseFailed", "explore"]


@dataclass(frozen=True, slots=True)
class Course:
    """One execution: the options taken and the names of their choice points."""

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
    """The scenario failed on a course; ``Choices(options)`` replays it."""

    def __init__(self, course: Course, error: Exception) -> None:
        super().__init__(f"{course}: {error!r}; options {course.options}")
        self.course = course


@dataclass(slots=True)
class Choices:
    """Chooses the options of one execution and records them.

    Parameters
    ----------
    planned : sequence of int
        Options for the first choice points; later ones take option 0.
    """

    planned: Sequence[int] = ()
    options: list[int] = field(default_factory=list)
    n_options: list[int] = field(default_factory=list)
    points: list[str] = field(default_factory=list)

    def pick(self, n_options: int, point: str) -> int:
        """Return the option to take at a choice point with ``n_options`` options."""
        index = len(self.options)
        option = self.planned[index] if index < len(self.planned) else 0
        option = min(option, n_options - 1)
        self.options.append(option)
        self.n_options.append(n_options)
        self.points.append(point)
        return option

    def course(self) -> Course:
        """Return the course so far."""
        return Course(tuple(self.options), tuple(self.points))


def explore(
    scenario: Callable[[Choices], None], max_faults: int, max_points: int
) -> int:
    """Run a scenario on every course within the bounds.

    Returns
    -------
    int
        Number of courses executed.

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
            pending.extend(_with_one_more_fault(choices, len(planned), max_points))
    return n_courses


def _n_faults(options: Sequence[int]) -> int:
    return sum(option > 0 for option in options)


def _with_one_more_fault(
    choices: Choices, first: int, max_points: int
) -> Iterator[tuple[int, ...]]:
    """Yield the planned options extended by one fault at a later choice point."""
    taken = tuple(choices.options)
    for index in range(first, min(len(taken), max_points)):
        for option in range(1, choices.n_options[index]):
            yield (*taken[:index], option)
