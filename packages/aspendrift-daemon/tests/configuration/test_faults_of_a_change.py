"""Every fault at every step of a change and of a drain, with the same invariants.

A daemon that accepts work holds each change that was accepted longer ago than the
freshness limit; revisions never decrease; the outcome that the operator receives
is true; and after the fault every daemon holds every recorded change.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

import pytest

from aspendrift_daemon.configuration_table import (
    ChangeNotWritten,
    ChangeRecorded,
    ChangeUnknown,
)
from aspendrift_model.states import TargetState

NAMES = [f"d{i}" for i in range(7)]
PUBLISHER = "d1"
MINORITY = frozenset({"d5", "d6"})
PUBLISHER_SIDE = frozenset({"d1", "d6"})
FAULT_S = 12.0
CHECK_MARGIN_S = 0.3
STEPS = ("submitted", "written", "spreading", "in force")
DRAIN_COLUMN = {
    "written": "drain accepted",
    "spreading": "drain spreading",
    "in force": "drain finishing",
}


@dataclass
class Case:
    """One change under one fault."""

    world: Any
    publishing: asyncio.Task[Any] | None = None
    other_tasks: list[asyncio.Task[Any]] = field(default_factory=list)
    outcome: Any = None
    accepted_at: dict[int, float] = field(default_factory=dict)
    is_finished: bool = False

    def spawn(self, work: Any) -> None:
        self.other_tasks.append(asyncio.create_task(work))


def caller_gone(case: Case) -> None:
    if case.publishing is not None:
        case.publishing.cancel()


def daemon_killed(case: Case) -> None:
    async def kill_and_restart() -> None:
        await asyncio.sleep(0.0005)
        caller_gone(case)
        await case.world.kill(PUBLISHER)
        await asyncio.sleep(FAULT_S / 2)
        await case.world.start(PUBLISHER)

    case.spawn(kill_and_restart())


def daemon_paused(case: Case) -> None:
    case.world.loop.pause(PUBLISHER)


def daemon_leaving(case: Case) -> None:
    daemon = case.world.daemons[PUBLISHER]
    daemon.membership.begin_leaving()
    daemon.configuration.begin_leaving()


def store_down(case: Case) -> None:
    case.world.table.is_down = True


def store_slow(case: Case) -> None:
    case.world.table.delay_s = 1.2


def store_answer_lost(case: Case) -> None:
    case.world.table.loses_answers = True


def peer_link_cut(case: Case) -> None:
    case.world.passes = lambda a, b: PUBLISHER not in (a, b)


def peer_link_lossy(case: Case) -> None:
    case.world.passes = lambda a, b: case.world.rng.random() > 0.3


def peer_link_one_way(case: Case) -> None:
    case.world.passes = lambda a, b: a != PUBLISHER


def region_cut(case: Case) -> None:
    case.world.passes = lambda a, b: (a in MINORITY) == (b in MINORITY)


def region_cut_around_publisher(case: Case) -> None:
    side = PUBLISHER_SIDE
    case.world.passes = lambda a, b: (a in side) == (b in side)


def operators_racing(case: Case) -> None:
    other = case.world.target("other", 1, "draining")
    case.spawn(case.world.daemons["d4"].configuration.publish(other, "ben"))


def burst(case: Case) -> None:
    for i in range(20):
        change = case.world.change(f"burst-{i}", f"burst-{i}")
        case.spawn(case.world.daemons[NAMES[i % 7]].configuration.publish(change))


FAULTS: dict[str, Callable[[Case], None]] = {
    "caller gone": caller_gone,
    "daemon killed": daemon_killed,
    "daemon paused": daemon_paused,
    "daemon leaving": daemon_leaving,
    "store down": store_down,
    "store slow": store_slow,
    "store answer lost": store_answer_lost,
    "peer link cut": peer_link_cut,
    "peer link lossy": peer_link_lossy,
    "peer link one-way": peer_link_one_way,
    "region cut": region_cut,
    "operators racing": operators_racing,
    "burst": burst,
}
SECOND_FAULTS: dict[str, Callable[[Case], None]] = {
    "store down": store_down,
    "peer link lossy": peer_link_lossy,
    "region cut": region_cut,
    "region cut around publisher": region_cut_around_publisher,
}
IMPOSSIBLE = {
    (row, "written")
    for row in ("peer link cut", "peer link lossy", "peer link one-way", "burst")
}


def cases() -> Iterator[Any]:
    for row in FAULTS:
        for step in STEPS:
            columns = [DRAIN_COLUMN[step]] if step in DRAIN_COLUMN else []
            if (row, step) not in IMPOSSIBLE and (row, step) != ("burst", "in force"):
                columns.append(f"change {step}")
            if columns:
                mark = pytest.mark.fault(row, *columns)
                yield pytest.param(row, step, marks=mark, id=f"{row}-{step}")


def clear_fault(case: Case) -> None:
    world = case.world
    world.loop.resume(PUBLISHER)
    world.table.is_down = False
    world.table.delay_s = 0.001
    world.table.loses_answers = False
    world.passes = lambda a, b: True


async def check_invariants(case: Case) -> None:
    """Check the invariants ten times a second."""
    world = case.world
    limit_s = world.settings.freshness_limit_s + CHECK_MARGIN_S
    highest: dict[Any, int] = {}
    while not case.is_finished:
        now = world.now()
        for daemon in world.daemons.values():
            revision = daemon.configuration.current().revision
            assert revision >= highest.get(daemon, 0), "revision decreased"
            highest[daemon] = revision
            progress = daemon.configuration.progress(revision)
            if progress.is_accepted:
                case.accepted_at.setdefault(revision, now)
        for daemon in world.daemons.values():
            if daemon.refusal(now) is not None:
                continue
            held = daemon.configuration.current().revision
            missing = [
                revision
                for revision, at in case.accepted_at.items()
                if now - at > limit_s and revision > held
            ]
            assert not missing, f"{daemon.link.host.daemon_id} serves without {missing}"
        await asyncio.sleep(0.1)


async def start_change_with_fault(
    case: Case, step: str, fault: Callable[[Case], None]
) -> None:
    """Start the change and inject the fault at its step."""
    world = case.world
    change = world.target("c1", 1, "draining")
    if step == "submitted":
        fault(case)
    if step == "written":

        def committed() -> None:
            world.table.on_commit = lambda: None
            fault(case)

        world.table.on_commit = committed
    publisher = world.daemons.get(PUBLISHER)
    if publisher is not None:
        work = publisher.run(publisher.configuration.publish(change, "ann"))
        case.publishing = asyncio.create_task(work)
    if step == "submitted":
        await asyncio.sleep(0)
        if fault is caller_gone:
            fault(case)
    if step == "spreading":
        await world.until(lambda: _n_holders(world) >= 2, 5)
        fault(case)
    if step == "in force":
        await world.until(lambda: world.all_hold(2), 5)
        fault(case)


def _n_holders(world: Any) -> int:
    configurations = [daemon.configuration for daemon in world.daemons.values()]
    return sum(
        configuration.current().revision >= 2 for configuration in configurations
    )


@pytest.mark.parametrize(("row", "step"), cases())
def test_change_and_drain_hold_under_a_fault(world: Any, row: str, step: str) -> None:
    world.run(run_change_under_fault(world, row, step, FAULTS[row]))


@pytest.mark.parametrize("also", SECOND_FAULTS)
@pytest.mark.parametrize("step", ["written", "spreading"])
@pytest.mark.parametrize("row", FAULTS)
def test_change_and_drain_hold_under_two_faults(
    world: Any, row: str, step: str, also: str
) -> None:
    def both(case: Case) -> None:
        SECOND_FAULTS[also](case)
        FAULTS[row](case)

    world.run(run_change_under_fault(world, row, step, both))


async def run_change_under_fault(
    world: Any, row: str, step: str, fault: Callable[[Case], None]
) -> None:
    await world.start(*NAMES)
    await world.until(lambda: world.have_converged() and world.all_serve(), 20)
    added = await world.daemons["d0"].configuration.publish(
        world.target("c0", 0, "active")
    )
    assert isinstance(added, ChangeRecorded)
    await world.until(lambda: world.all_hold(1), 7)
    case = Case(world)
    checking = asyncio.create_task(check_invariants(case))
    await start_change_with_fault(case, step, fault)
    await asyncio.sleep(30 if row == "daemon paused" else FAULT_S)
    clear_fault(case)
    tasks = [case.publishing] if case.publishing else []
    results = await asyncio.gather(*tasks, *case.other_tasks, return_exceptions=True)
    await _check_end(case, results)
    case.is_finished = True
    await checking


async def _check_end(case: Case, results: list[Any]) -> None:
    world = case.world
    found = await world.daemons["d2"].configuration.table.find("c1")
    is_recorded = isinstance(found, ChangeRecorded)
    reported = results[0] if case.publishing is not None else None
    if isinstance(reported, ChangeRecorded):
        assert is_recorded
    if isinstance(reported, ChangeNotWritten):
        assert not is_recorded
    if not isinstance(
        reported, ChangeRecorded | ChangeUnknown | asyncio.CancelledError
    ):
        assert not is_recorded, "reported as not recorded, but it was recorded"
    table = world.daemons["d2"].configuration.table
    head = await table.head()
    changes = await table.history(0, 100)
    assert [each.revision for each in changes] == list(range(1, head + 1))
    ids = [each.change_id for each in changes]
    assert len(set(ids)) == len(ids)
    assert ("c1" in ids) == is_recorded
    for result in results:
        if isinstance(result, ChangeRecorded) and result.record is not None:
            assert result.record.change_id in ids, "reported as recorded, but lost"
    await world.until(lambda: world.all_hold(head), 7)
    await world.until(lambda: _all_not_leaving_serve(world), 20)
    if is_recorded:
        for daemon in world.daemons.values():
            state = daemon.configuration.current().targets_by_id["t"].state
            assert state is TargetState.DRAINING


def _all_not_leaving_serve(world: Any) -> bool:
    not_leaving = [d for d in world.daemons.values() if not d.configuration._is_leaving]
    return all(daemon.refusal(world.now()) is None for daemon in not_leaving)
