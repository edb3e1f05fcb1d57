"""Every fault while a daemon starts, runs and leaves, with the same invariants.

A process that is still running is never declared dead; a leaving daemon accepts no
work and is in no address answer once it is known to be leaving; and after the
fault all running daemons agree on the view and serve.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from aspendrift_daemon.address_routes import AddressSelector
from aspendrift_model.states import MemberState, RefusalReason

NAMES = [f"d{i}" for i in range(7)]
SUBJECT = "d4"
OTHER = "d2"
MINORITY = frozenset({"d4", "d6"})
FAULT_S = 12.0
STEPS = (
    "daemon starting",
    "daemon joined",
    "leave announced",
    "leave draining",
    "leave exited",
)


def daemon_killed(world: Any) -> None:
    async def restart() -> None:
        await world.kill(OTHER)
        await asyncio.sleep(FAULT_S / 2)
        await world.start(OTHER)

    world.restarting = asyncio.create_task(restart())


def daemon_paused(world: Any) -> None:
    world.loop.pause(OTHER)


def daemon_leaving(world: Any) -> None:
    world.daemons[OTHER].membership.begin_leaving()
    world.daemons[OTHER].configuration.begin_leaving()


def store_down(world: Any) -> None:
    world.table.is_down = True


def store_slow(world: Any) -> None:
    world.table.delay_s = 1.2


def store_answer_lost(world: Any) -> None:
    world.table.loses_answers = True


def peer_link_cut(world: Any) -> None:
    world.passes = lambda a, b: {a, b} != {SUBJECT, OTHER}


def peer_link_lossy(world: Any) -> None:
    world.passes = lambda a, b: world.rng.random() > 0.3


def peer_link_one_way(world: Any) -> None:
    world.passes = lambda a, b: (a, b) != (SUBJECT, OTHER)


def region_cut(world: Any) -> None:
    world.passes = lambda a, b: (a in MINORITY) == (b in MINORITY)


FAULTS: dict[str, Callable[[Any], None]] = {
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
}


def cases() -> Iterator[Any]:
    for row in FAULTS:
        for step in STEPS:
            mark = pytest.mark.fault(row, step)
            yield pytest.param(row, step, marks=mark, id=f"{row}-{step}")


def clear_fault(world: Any) -> None:
    world.loop.resume(OTHER)
    world.table.is_down = False
    world.table.delay_s = 0.001
    world.table.loses_answers = False
    world.passes = lambda a, b: True


def leave(world: Any) -> None:
    world.daemons[SUBJECT].membership.begin_leaving()
    world.daemons[SUBJECT].configuration.begin_leaving()


async def run_to_step(world: Any, step: str, fault: Callable[[Any], None]) -> None:
    """Bring the subject to its step and inject the fault there."""
    others = [name for name in NAMES if name != SUBJECT]
    await world.start(*others)
    await world.until(lambda: world.have_converged() and world.all_serve(), 20)
    if step == "daemon starting":
        fault(world)
        await world.start(SUBJECT)
        return
    await world.start(SUBJECT)
    await world.until(lambda: world.have_converged() and world.all_serve(), 20)
    if step == "daemon joined":
        fault(world)
        return
    if step == "leave announced":
        fault(world)
        leave(world)
        return
    leave(world)
    await asyncio.sleep(2)
    fault(world)
    if step == "leave exited":
        await world.kill(SUBJECT)


async def check_invariants(world: Any, killed: set[str]) -> None:
    """Fail if a running process is seen as dead, or a leaving one accepts work."""
    while True:
        await asyncio.sleep(0.1)
        for daemon in world.daemons.values():
            for name, state in daemon.states().items():
                is_running = name in world.daemons and name not in killed
                assert not (is_running and state is MemberState.DEAD), (
                    f"{name} runs but is seen as dead"
                )
            if daemon.configuration._is_leaving:
                assert daemon.refusal(world.now()) is RefusalReason.LEAVING


def _offered_daemon_ids(world: Any) -> set[str]:
    offered: set[str] = set()
    for daemon in world.daemons.values():
        selector = AddressSelector(daemon.link, world.settings, world.rng)
        offered |= {each.daemon_id for each in selector.answer().addresses}
    return offered


def _have_agreed(world: Any, leaving: set[str]) -> bool:
    """Return whether all views agree and all daemons that are not leaving serve."""
    daemons = world.daemons
    for name, daemon in daemons.items():
        states = daemon.states()
        for other in daemons:
            expected = MemberState.LEAVING if other in leaving else MemberState.LIVE
            if states.get(other) is not expected:
                return False
        if name not in leaving and daemon.refusal(world.now()) is not None:
            return False
    return world.have_converged()


@pytest.mark.parametrize(("row", "step"), cases())
def test_members_agree_after_a_fault(world: Any, row: str, step: str) -> None:
    async def scenario() -> None:
        killed = {OTHER} if row == "daemon killed" else set()
        await run_to_step(world, step, FAULTS[row])
        checking = asyncio.create_task(check_invariants(world, killed))
        await asyncio.sleep(30 if row == "daemon paused" else FAULT_S)
        clear_fault(world)
        leaving = {OTHER} if row == "daemon leaving" else set()
        if step in ("leave announced", "leave draining"):
            leaving.add(SUBJECT)
        await world.until(lambda: _have_agreed(world, leaving), 60)
        assert not _offered_daemon_ids(world) & leaving
        assert not checking.done(), checking.exception()
        checking.cancel()

    world.run(scenario())
