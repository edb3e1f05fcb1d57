"""Tests of publishing, disseminating and retaining the configuration."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from aspendrift_daemon.configuration_table import (
    ChangeNotWritten,
    ChangeRecorded,
    ChangeUnknown,
)
from aspendrift_model.states import RefusalReason
from aspendrift_policy.configuration_rows import ItemConflict

NAMES = [f"d{i}" for i in range(7)]


async def start_and_settle(world: Any, n: int = 7) -> None:
    await world.start(*NAMES[:n])
    await world.until(lambda: world.have_converged() and world.all_serve(), 20)


def assert_revisions_never_decrease(world: Any) -> None:
    for daemon in world.daemons.values():
        assert daemon.revisions == sorted(daemon.revisions)


def test_change_is_in_force_everywhere(world: Any) -> None:
    async def scenario() -> None:
        await start_and_settle(world)
        outcome = await world.daemons["d3"].configuration.publish(world.change("c1"))
        assert isinstance(outcome, ChangeRecorded)
        await world.until(lambda: world.all_hold(1), 2)
        configuration = world.daemons["d3"].configuration
        await world.until(lambda: configuration.progress(1).is_in_force, 2)
        assert configuration.current().accounts_by_id["x"].share == 1.0

    world.run(scenario())


@pytest.mark.fault("operators racing", "change submitted", "change written")
def test_racing_operators_get_one_winner_and_one_conflict(world: Any) -> None:
    async def scenario() -> None:
        await start_and_settle(world)
        outcomes = await asyncio.gather(
            world.daemons["d0"].configuration.publish(
                world.change("c1", share=2.0), "ann"
            ),
            world.daemons["d5"].configuration.publish(
                world.change("c2", share=3.0), "ben"
            ),
        )
        kinds = {type(outcome) for outcome in outcomes}
        assert kinds == {ChangeRecorded, ItemConflict}
        conflict = next(each for each in outcomes if isinstance(each, ItemConflict))
        recorded = next(each for each in outcomes if isinstance(each, ChangeRecorded))
        assert conflict.other.revision == recorded.revision
        assert conflict.other.operator in ("ann", "ben")
        await world.until(lambda: world.all_hold(1), 5)

    world.run(scenario())


@pytest.mark.fault("operators racing", "change spreading", "change in force")
def test_racing_changes_of_different_items_are_all_kept(world: Any) -> None:
    async def scenario() -> None:
        await start_and_settle(world)
        changes = [world.change(f"c{i}", name=f"x{i}") for i in range(7)]
        outcomes = await asyncio.gather(
            *(
                world.daemons[name].configuration.publish(change)
                for name, change in zip(NAMES, changes, strict=True)
            )
        )
        assert sorted(each.revision for each in outcomes) == list(range(1, 8))
        await world.until(lambda: world.all_hold(7), 7)
        for daemon in world.daemons.values():
            assert len(daemon.configuration.current().accounts_by_id) == 7
        assert_revisions_never_decrease(world)

    world.run(scenario())


@pytest.mark.fault("store answer lost", "change submitted", "change written")
def test_change_whose_answer_is_lost_is_found_by_its_id(world: Any) -> None:
    async def scenario() -> None:
        await start_and_settle(world)
        world.table.loses_answers = True
        configuration = world.daemons["d1"].configuration
        first = await configuration.publish(world.change("c1"))
        again = await world.daemons["d4"].configuration.publish(world.change("c1"))
        assert [first.revision, again.revision] == [1, 1]
        await world.until(lambda: world.all_hold(1), 5)

    world.run(scenario())


@pytest.mark.fault("store answer lost", "change spreading", "change in force")
@pytest.mark.fault("store down", "change written", "change spreading")
def test_lost_answer_and_outage_are_reported_as_unknown(world: Any) -> None:
    async def scenario() -> None:
        await start_and_settle(world)
        table, configuration = world.table, world.daemons["d1"].configuration
        table.loses_answers = True
        publishing = asyncio.create_task(configuration.publish(world.change("c1")))
        await world.until(lambda: table.version == 1, 5)
        table.is_down = True
        outcome = await publishing
        assert isinstance(outcome, ChangeUnknown)
        assert outcome.change_id == "c1"
        table.is_down = table.loses_answers = False
        found = await world.daemons["d2"].configuration.table.find("c1")
        assert found == ChangeRecorded(1)
        await world.until(lambda: world.all_hold(1), 7)

    world.run(scenario())


@pytest.mark.fault("store down", "change submitted", "change in force")
def test_outage_refuses_changes_and_keeps_those_in_force(world: Any) -> None:
    async def scenario() -> None:
        await start_and_settle(world)
        await world.daemons["d1"].configuration.publish(world.change("c1"))
        await world.until(lambda: world.all_hold(1), 5)
        world.table.is_down = True
        outcome = await world.daemons["d1"].configuration.publish(
            world.change("c2", "y")
        )
        assert isinstance(outcome, ChangeNotWritten)
        await asyncio.sleep(120)
        assert world.all_hold(1)
        assert world.all_serve()

    world.run(scenario())


@pytest.mark.fault(
    "store slow", "change submitted", "change written", "change spreading"
)
def test_slow_store_delays_a_change_and_loses_none(world: Any) -> None:
    async def scenario() -> None:
        await start_and_settle(world)
        world.table.delay_s = 1.5
        outcome = await world.daemons["d1"].configuration.publish(world.change("c1"))
        assert isinstance(outcome, ChangeRecorded)
        await world.until(lambda: world.all_hold(1), 7)

    world.run(scenario())


@pytest.mark.fault("daemon killed", "change written", "change spreading")
def test_change_of_a_killed_daemon_is_read_from_the_table(world: Any) -> None:
    async def scenario() -> None:
        await start_and_settle(world)
        world.passes = lambda origin, to: origin != "d1"
        publishing = asyncio.create_task(
            world.daemons["d1"].configuration.publish(world.change("c1"))
        )
        await world.until(lambda: world.table.version == 1, 5)
        publishing.cancel()
        await world.kill("d1")
        await world.until(lambda: world.all_hold(1), 7)

    world.run(scenario())


@pytest.mark.fault("peer link lossy", "change spreading", "change in force")
def test_lossy_links_delay_but_do_not_stop_dissemination(world: Any) -> None:
    async def scenario() -> None:
        world.passes = lambda origin, to: world.rng.random() > 0.3
        await world.start(*NAMES)
        await world.until(world.have_converged, 60)
        for i in range(5):
            await world.daemons["d1"].configuration.publish(
                world.change(f"c{i}", f"x{i}")
            )
            await world.until(lambda r=i + 1: world.all_hold(r), 7)
        assert_revisions_never_decrease(world)

    world.run(scenario())


@pytest.mark.fault("peer link one-way", "change spreading", "change in force")
@pytest.mark.fault("peer link cut", "change spreading", "change in force")
@pytest.mark.parametrize(
    "cut", [{("d6", "*")}, {("*", "d6")}, {("d6", "*"), ("*", "d6")}]
)
def test_daemon_with_a_broken_link_gets_changes_from_the_table(
    world: Any, cut: set[tuple[str, str]]
) -> None:
    async def scenario() -> None:
        await start_and_settle(world)
        world.passes = lambda origin, to: not cut & {(origin, "*"), ("*", to)}
        await world.daemons["d1"].configuration.publish(world.change("c1"))
        await world.until(lambda: world.all_hold(1), 7)
        assert world.daemons["d6"].refusal(world.now()) is None

    world.run(scenario())


@pytest.mark.fault("region cut", "change submitted", "change spreading")
def test_partitioned_minority_without_store_stops_then_catches_up(world: Any) -> None:
    async def scenario() -> None:
        await start_and_settle(world)
        minority = {"d5", "d6"}
        world.passes = lambda a, b: (a in minority) == (b in minority)
        for name in minority:
            configuration = world.daemons[name].configuration
            configuration.table._table = _unreachable_table(world)
        outcome = await world.daemons["d1"].configuration.publish(world.change("c1"))
        assert isinstance(outcome, ChangeRecorded)
        assert world.daemons["d1"].configuration.progress(1).is_accepted
        assert not world.daemons["d1"].configuration.progress(1).is_in_force
        await asyncio.sleep(10)
        for name, daemon in world.daemons.items():
            expected = RefusalReason.ISOLATED if name in minority else None
            assert daemon.refusal(world.now()) is expected
        world.passes = lambda a, b: True
        await world.until(lambda: world.all_hold(1) and world.all_serve(), 10)
        assert_revisions_never_decrease(world)

    world.run(scenario())


@pytest.mark.fault("region cut", "change in force")
@pytest.mark.fault("store down", "daemon joined")
def test_region_partition_and_outage_leave_the_majority_serving(world: Any) -> None:
    async def scenario() -> None:
        await start_and_settle(world)
        minority = {"d5", "d6"}
        world.table.is_down = True
        world.passes = lambda a, b: (a in minority) == (b in minority)
        await asyncio.sleep(60)
        for name, daemon in world.daemons.items():
            expected = RefusalReason.ISOLATED if name in minority else None
            assert daemon.refusal(world.now()) is expected

    world.run(scenario())


@pytest.mark.fault("store down", "daemon starting")
@pytest.mark.fault("daemon killed", "change in force", "daemon starting")
def test_restart_in_an_outage_takes_the_configuration_from_peers(world: Any) -> None:
    async def scenario() -> None:
        await start_and_settle(world)
        for i in range(3):
            await world.daemons["d1"].configuration.publish(
                world.change(f"c{i}", f"x{i}")
            )
        await world.until(lambda: world.all_hold(3), 5)
        world.table.is_down = True
        for name in ("d0", "d3", "d6"):
            await world.kill(name)
        await world.start("d0", "d3", "d6")
        assert world.daemons["d0"].refusal(world.now()) is RefusalReason.NOT_READY
        await world.until(lambda: world.all_hold(3) and world.all_serve(), 20)
        assert_revisions_never_decrease(world)

    world.run(scenario())


def test_head_reads_stay_within_their_bound(world: Any) -> None:
    async def scenario() -> None:
        await start_and_settle(world)
        before = world.table.n_reads
        await asyncio.sleep(100)
        n_reads = world.table.n_reads - before
        assert n_reads <= 100 * world.settings.head_reads_per_s
        assert n_reads <= 100 * len(NAMES) * 1.25

    world.run(scenario())


def test_abandoned_change_never_takes_effect(world: Any) -> None:
    async def scenario() -> None:
        await start_and_settle(world, 3)
        configuration = world.daemons["d0"].configuration
        await configuration.table.abandon("c1")
        outcome = await configuration.publish(world.change("c1"))
        assert not isinstance(outcome, ChangeRecorded)
        assert world.all_hold(0)

    world.run(scenario())


def _unreachable_table(world: Any) -> Any:
    table = type(world.table)()
    table.is_down = True
    return table


@pytest.mark.fault("daemon killed", "change spreading")
@pytest.mark.fault("store down", "change spreading", "daemon starting")
def test_restart_of_holders_in_an_outage_does_not_revert_the_change(world: Any) -> None:
    """More than half of the daemons hold the change and lose it in a restart.

    They must not count as a majority that lacks the change.
    """

    async def scenario() -> None:
        await start_and_settle(world, 5)
        holders = {"d0", "d1", "d2"}
        world.passes = lambda a, b: (a in holders) == (b in holders)
        for name in ("d3", "d4"):
            world.daemons[name].configuration.table._table = _unreachable_table(world)
        await world.daemons["d1"].configuration.publish(world.change("c1"))
        assert world.daemons["d1"].configuration.progress(1).is_accepted
        world.table.is_down = True
        for name in holders:
            await world.kill(name)
        await asyncio.sleep(10)
        world.passes = lambda a, b: True
        await world.start(*holders)
        for _ in range(300):
            await asyncio.sleep(0.1)
            assert not any(
                daemon.refusal(world.now()) is None
                for daemon in world.daemons.values()
                if daemon.configuration.current().revision < 1
            )
        world.table.is_down = False
        await world.until(lambda: world.all_hold(1) and world.all_serve(), 20)

    world.run(scenario())


@pytest.mark.fault("daemon paused", "change spreading", "change in force")
def test_paused_daemon_does_not_serve_a_stale_configuration(world: Any) -> None:
    async def scenario() -> None:
        await start_and_settle(world)
        world.loop.pause("d6")
        await world.daemons["d1"].configuration.publish(world.change("c1"))
        await asyncio.sleep(30)
        configuration = world.daemons["d6"].configuration
        assert configuration.current().revision == 0
        assert configuration.may_serve(world.now()) is RefusalReason.ISOLATED
        world.loop.resume("d6")
        await world.until(lambda: world.all_hold(1) and world.all_serve(), 7)

    world.run(scenario())


@pytest.mark.fault("burst", "change submitted")
@pytest.mark.fault("store slow", "change submitted")
def test_burst_of_changes_over_a_slow_store_is_recorded(world: Any) -> None:
    """Each conflict means that another change was recorded, so that none starves."""

    async def scenario() -> None:
        await start_and_settle(world)
        world.table.delay_s = 0.4
        outcomes = await asyncio.gather(
            *(
                world.daemons[NAMES[i % 7]].configuration.publish(
                    world.change(f"c{i}", f"x{i}")
                )
                for i in range(20)
            )
        )
        assert {type(outcome) for outcome in outcomes} == {ChangeRecorded}
        assert sorted(each.revision for each in outcomes) == list(range(1, 21))

    world.run(scenario())


@pytest.mark.fault("store slow", "daemon starting")
@pytest.mark.fault("burst", "daemon starting")
def test_all_daemons_starting_at_once_share_the_rate_of_the_table(world: Any) -> None:
    """Forty daemons would read 128,000 rows; the table allows 2,000 a second."""

    async def scenario() -> None:
        await world.start("d0")
        configuration = world.daemons["d0"].configuration
        rows = world.table.rows
        await configuration.publish(world.change("c1"))
        change = rows["config/item/account/x"]
        for i in range(3200):
            key = f"config/item/account/x{i:04}"
            value = change.value.replace('"x"', f'"x{i:04}"')
            rows[key] = type(change)(key, change.version, value)
        await world.kill("d0")
        world.table.rows_per_s = 2000.0
        started = world.now()
        names = [f"d{i}" for i in range(40)]
        await world.start(*names)
        await world.until(lambda: world.all_hold(1) and world.all_serve(), 60)
        assert world.now() - started < 45
        for daemon in world.daemons.values():
            assert len(daemon.configuration.log.items_by_key) == 3201

    world.run(scenario())


@pytest.mark.fault("peer link lossy", "change spreading")
def test_push_that_shows_a_gap_is_followed_by_a_pull_at_once(world: Any) -> None:
    async def scenario() -> None:
        await start_and_settle(world, 3)
        link = world.daemons["d2"].link
        receive = link.receive

        def without_configuration(origin: str, topic: str, payload: bytes) -> None:
            if topic != "c":
                receive(origin, topic, payload)

        def only_configuration(origin: str, topic: str, payload: bytes) -> None:
            if topic == "c":
                receive(origin, topic, payload)

        link.receive = without_configuration
        await world.daemons["d0"].configuration.publish(world.change("c1", "x1"))
        link.receive = only_configuration
        await world.daemons["d0"].configuration.publish(world.change("c2", "x2"))
        await world.until(lambda: world.all_hold(2), 0.1)

    world.run(scenario())
