"""Explores all schedules with a few faults of two operators that change one item."""

from __future__ import annotations

import asyncio
import random

import msgspec
import pytest

from aspendrift_daemon.configuration_table import (
    ChangeAbsent,
    ChangeNotWritten,
    ChangeRecorded,
    ChangeUnknown,
    ConfigurationTable,
)
from aspendrift_model.states import ItemKind
from aspendrift_model.wire_operator import ChangeBody, ChangeRequest
from aspendrift_policy.configuration_rows import AbandonedChange, ItemConflict
from aspendrift_standins.explorer import explore
from aspendrift_standins.virtual_time import VirtualClock, run_virtual

SETTLE_S = 60.0
QUERY_INTERVAL_S = 6.0


def account_change(change_id, share):
    body = {"account_id": "a", "token_sha256": "0" * 64, "share": share}
    raw = msgspec.Raw(msgspec.json.encode(body))
    return ChangeRequest(change_id, ItemKind.ACCOUNT, "a", 0, raw)


def recorded_changes(table):
    """Return the change ids in the order of their revisions."""
    keys = sorted(key for key in table.rows if key.startswith("config/revision/"))
    bodies = [
        msgspec.json.decode(table.rows[key].value, type=ChangeBody) for key in keys
    ]
    assert [body.revision for body in bodies] == list(range(1, len(bodies) + 1))
    return [body.change_id for body in bodies]


async def publish(table, change, is_abandoned):
    """Publish as an operator would, and query again while the outcome is unknown."""
    outcome = await table.publish(change, "operator")
    for _ in range(3):
        if not isinstance(outcome, ChangeUnknown | ChangeAbsent):
            break
        await asyncio.sleep(QUERY_INTERVAL_S)
        if is_abandoned:
            outcome = await table.abandon(change.change_id)
        else:
            outcome = await table.find(change.change_id)
    return outcome


def check_outcome(outcome, change_id, recorded):
    """Check that the outcome an operator received is true and stays so."""
    if isinstance(outcome, ChangeRecorded):
        assert recorded.count(change_id) == 1, (
            f"{change_id} reported as recorded, recorded: {recorded}"
        )
        assert recorded[outcome.revision - 1] == change_id
    elif isinstance(outcome, ChangeNotWritten | AbandonedChange | ItemConflict):
        assert change_id not in recorded, (
            f"{change_id} reported as {outcome}, recorded: {recorded}"
        )
    else:
        assert isinstance(outcome, ChangeUnknown | ChangeAbsent)


def make_scenario(memory_table, explored_table, is_abandoned):
    def scenario(choices):
        async def main():
            clock = VirtualClock(asyncio.get_running_loop())
            inner = memory_table()
            store = explored_table(inner, choices)
            tables = [
                ConfigurationTable(store, clock, random.Random(n)) for n in (1, 2)
            ]
            changes = [account_change("c1", 1.0), account_change("c2", 2.0)]
            outcomes = await asyncio.gather(
                *(
                    publish(table, change, is_abandoned)
                    for table, change in zip(tables, changes, strict=True)
                )
            )
            await asyncio.sleep(SETTLE_S)
            recorded = recorded_changes(inner)
            assert len(recorded) <= 1, f"both changes were recorded: {recorded}"
            for outcome, change in zip(outcomes, changes, strict=True):
                check_outcome(outcome, change.change_id, recorded)

        run_virtual(main())

    return scenario


@pytest.mark.fault("operators racing", "change submitted", "change written")
@pytest.mark.fault("store down", "change submitted", "change written")
@pytest.mark.fault("store slow", "change submitted", "change written")
@pytest.mark.fault("store answer lost", "change submitted", "change written")
@pytest.mark.parametrize("is_abandoned", [False, True])
def test_racing_operators_get_true_outcomes_in_every_execution(
    memory_table, explored_table, is_abandoned
):
    scenario = make_scenario(memory_table, explored_table, is_abandoned)
    assert explore(scenario, max_faults=3, max_points=12) > 500
