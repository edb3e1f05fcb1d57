"""Tests of joining, lost contact, refused connections, leaving and restarts."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from aspendrift_model.states import MemberState, RefusalReason
from aspendrift_model.wire_peer import MemberUpdate

NAMES = [f"d{i}" for i in range(9)]


async def start_and_settle(world: Any) -> None:
    await world.start(*NAMES)
    await world.until(lambda: world.have_converged() and world.all_serve(), 20)


def states_of(world: Any, name: str) -> set[MemberState]:
    others = [daemon for key, daemon in world.daemons.items() if key != name]
    return {daemon.states().get(name) for daemon in others}


@pytest.mark.fault("daemon killed", "daemon joined")
def test_refused_connection_marks_the_member_dead(world: Any) -> None:
    async def scenario() -> None:
        await start_and_settle(world)
        await world.kill("d4")
        dead_or_removed = {MemberState.DEAD, None}
        await world.until(lambda: states_of(world, "d4") <= dead_or_removed, 15)
        assert all(len(d.link.view.members()) == 8 for d in world.daemons.values())

    world.run(scenario())


@pytest.mark.fault("peer link cut", "daemon joined")
@pytest.mark.fault("daemon paused", "daemon joined")
def test_silent_member_is_unreachable_never_dead_and_recovers(world: Any) -> None:
    async def scenario() -> None:
        await start_and_settle(world)
        world.passes = lambda origin, to: "d4" not in (origin, to)
        unreachable = {MemberState.UNREACHABLE}
        await world.until(lambda: states_of(world, "d4") == unreachable, 30)
        await asyncio.sleep(200)
        assert states_of(world, "d4") == unreachable
        world.passes = lambda origin, to: True
        live = {MemberState.LIVE}
        await world.until(lambda: states_of(world, "d4") == live, 30)

    world.run(scenario())


@pytest.mark.fault("region cut", "daemon joined", "leave announced")
def test_region_partition_marks_no_member_dead_and_recovers(world: Any) -> None:
    async def scenario() -> None:
        await start_and_settle(world)
        one_side = set(NAMES[:4])
        world.passes = lambda a, b: (a in one_side) == (b in one_side)
        await asyncio.sleep(300)
        seen = {s for d in world.daemons.values() for s in d.states().values()}
        assert seen == {MemberState.LIVE, MemberState.UNREACHABLE}
        world.passes = lambda a, b: True
        await world.until(lambda: world.have_converged() and world.all_serve(), 60)
        for name in NAMES:
            await world.until(
                lambda n=name: states_of(world, n) == {MemberState.LIVE}, 60
            )

    world.run(scenario())


@pytest.mark.fault("peer link one-way", "daemon joined")
def test_one_way_link_does_not_suspect_a_member_that_helpers_reach(world: Any) -> None:
    async def scenario() -> None:
        await start_and_settle(world)
        world.passes = lambda origin, to: (origin, to) != ("d2", "d4")
        n_suspected = 0
        for _ in range(600):
            await asyncio.sleep(0.1)
            n_suspected += states_of(world, "d4") != {MemberState.LIVE}
        assert n_suspected == 0

    world.run(scenario())


@pytest.mark.fault("peer link lossy", "daemon starting", "daemon joined")
def test_views_converge_over_lossy_links_without_dead_members(world: Any) -> None:
    async def scenario() -> None:
        world.passes = lambda origin, to: world.rng.random() > 0.3
        await world.start(*NAMES)
        await world.until(world.have_converged, 60)
        for _ in range(600):
            await asyncio.sleep(0.1)
            for daemon in world.daemons.values():
                assert MemberState.DEAD not in daemon.states().values()
        world.passes = lambda origin, to: True
        await world.until(world.have_converged, 30)

    world.run(scenario())


@pytest.mark.fault("daemon killed", "daemon starting")
def test_restart_is_a_new_incarnation_and_old_updates_are_ignored(world: Any) -> None:
    async def scenario() -> None:
        await start_and_settle(world)
        old_view = world.daemons["d4"].link.view
        old_update = old_view.update_of(old_view.own)
        await world.kill("d4")
        await world.start("d4")
        await world.until(world.have_converged, 30)
        incarnation = world.daemons["d4"].link.host.incarnation
        assert incarnation > old_update.incarnation
        for state in MemberState:
            stale_update = MemberUpdate(
                "d4", old_update.incarnation, 99, state, old_update.host
            )
            for name, daemon in world.daemons.items():
                assert name == "d4" or not daemon.link.view.apply(
                    stale_update, world.now()
                )
        await asyncio.sleep(5)
        assert world.have_converged()

    world.run(scenario())


@pytest.mark.fault(
    "daemon leaving", "leave announced", "leave draining", "leave exited"
)
def test_leaving_member_is_known_at_once_and_dead_after_exit(world: Any) -> None:
    async def scenario() -> None:
        await start_and_settle(world)
        leaving_daemon = world.daemons["d4"]
        leaving_daemon.configuration.begin_leaving()
        leaving_daemon.membership.begin_leaving()
        assert leaving_daemon.refusal(world.now()) is RefusalReason.LEAVING
        leaving = {MemberState.LEAVING}
        await world.until(lambda: states_of(world, "d4") == leaving, 1)
        await asyncio.sleep(20)
        assert states_of(world, "d4") == leaving
        await world.kill("d4")
        dead_or_removed = {MemberState.DEAD, None}
        await world.until(lambda: states_of(world, "d4") <= dead_or_removed, 15)

    world.run(scenario())


@pytest.mark.fault("peer link cut", "leave announced")
@pytest.mark.fault("peer link lossy", "leave announced")
def test_lost_leave_announcement_is_disseminated_later(world: Any) -> None:
    async def scenario() -> None:
        await start_and_settle(world)
        world.passes = lambda origin, to: "d4" not in (origin, to)
        world.daemons["d4"].membership.begin_leaving()
        await asyncio.sleep(1)
        assert MemberState.LEAVING not in states_of(world, "d4")
        world.passes = lambda origin, to: True
        leaving = {MemberState.LEAVING}
        await world.until(lambda: states_of(world, "d4") == leaving, 10)

    world.run(scenario())


@pytest.mark.fault("daemon killed", "leave announced", "leave draining")
def test_daemon_killed_while_leaving_is_dead(world: Any) -> None:
    async def scenario() -> None:
        await start_and_settle(world)
        world.daemons["d4"].membership.begin_leaving()
        await world.kill("d4")
        dead_or_removed = {MemberState.DEAD, None}
        await world.until(lambda: states_of(world, "d4") <= dead_or_removed, 15)

    world.run(scenario())


@pytest.mark.fault("daemon killed", "daemon starting", "daemon joined")
def test_whole_zone_restarted_at_once_joins_again(world: Any) -> None:
    async def scenario() -> None:
        await start_and_settle(world)
        zone = [f"d{i}" for i in (0, 3, 6)]
        for name in zone:
            await world.kill(name)
        await asyncio.sleep(3)
        await world.start(*zone)
        await world.until(lambda: world.have_converged() and world.all_serve(), 30)

    world.run(scenario())


def test_features_are_announced_directly_to_each_new_member(world: Any) -> None:
    """Probes alone take minutes to bring each daemon together with each other one.

    Until then owners would be chosen among different daemons at each of them.
    """

    async def scenario() -> None:
        await start_and_settle(world)
        for number, name in enumerate(NAMES):
            world.daemons[name].link.announced_features = number + 1
        for daemon in world.daemons.values():
            daemon.link.announced_by_id.clear()
        await world.kill("d4")
        await world.start("d4")
        restarted = world.daemons["d4"].link
        restarted.announced_features = 64
        expected = {name: n + 1 for n, name in enumerate(NAMES) if name != "d4"}
        await world.until(lambda: restarted.announced_by_id == expected, 5)

    world.run(scenario())
