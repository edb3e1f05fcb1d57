"""Tests of the stand-in of the table service."""

from __future__ import annotations

import asyncio

import httpx
import pytest

from aspendrift_model.wire_platform import (
    Condition,
    ReadQuery,
    Row,
    ScanQuery,
    Transaction,
    TransactionConflict,
    TransactionDone,
    Write,
)
from aspendrift_standins.faults import PlatformFaults
from aspendrift_standins.process import serving
from aspendrift_standins.table import Table, TableOptions, TableStandIn

CREATE = Transaction((Condition("a", 0),), (Write("a", "1"), Write("ab", "2")))


@pytest.fixture
def table() -> Table:
    return Table(TableOptions(writes_per_s=10, reads_per_s=10))


def test_transaction_commits_only_if_every_condition_holds(table: Table) -> None:
    assert table.transact(CREATE, 0) == TransactionDone(1)
    conflict = table.transact(CREATE, 0)
    assert conflict == TransactionConflict((Row("a", 1, "1"),))
    update = Transaction((Condition("a", 1),), (Write("a", None), Write("b", "3")))
    assert table.transact(update, 0) == TransactionDone(2)
    rows = table.read(ReadQuery(("a", "b")), 0)
    assert rows is not None
    assert rows.rows == (Row("a", 0, None), Row("b", 2, "3"))


def test_scan_is_sorted_and_pages_by_key(table: Table) -> None:
    table.transact(CREATE, 0)
    table.transact(Transaction((), (Write("b", "x"), Write("aa", "y"))), 0)
    first = table.scan(ScanQuery("a", limit=2), 0)
    rest = table.scan(ScanQuery("a", after="aa"), 0)
    none = table.scan(ScanQuery("a", after="b"), 0)
    assert first and rest and none
    assert [row.key for row in first.rows] == ["a", "aa"]
    assert [row.key for row in rest.rows] == ["ab"]
    assert none.rows == ()


def test_rows_over_the_rate_are_refused_until_time_passes(table: Table) -> None:
    for _ in range(5):
        assert table.transact(Transaction((), (Write("k", "1"), Write("l", "2"))), 0)
    assert table.transact(Transaction((), (Write("k", "1"),)), 0) is None
    assert table.transact(Transaction((), (Write("k", "1"),)), 0.1) is not None
    assert table.read(ReadQuery(tuple("abcdefghij")), 0) is not None
    assert table.read(ReadQuery(("a",)), 0) is None
    assert table.counts.over_rate == 2


def serve_once(faults: PlatformFaults) -> tuple[int | str, int]:
    """Send a transaction; return its status or error, and the transactions run."""
    stand_in = TableStandIn(TableOptions(), faults)

    async def run() -> int | str:
        body = {"conditions": [], "writes": [{"key": "k", "value": "1"}]}
        async with serving(stand_in) as url, httpx.AsyncClient(base_url=url) as client:
            try:
                return (await client.post("/v1/txn", json=body)).status_code
            except httpx.HTTPError as error:
                return type(error).__name__

    return asyncio.run(run()), stand_in.table.counts.transactions


@pytest.mark.parametrize(
    ("faults", "seen", "n_run"),
    [
        (PlatformFaults(), 200, 1),
        (PlatformFaults(down_share=1), 503, 0),
        (PlatformFaults(drop_share=1), "RemoteProtocolError", 0),
        (PlatformFaults(answer_lost_share=1), "RemoteProtocolError", 1),
    ],
)
def test_fault_is_shown_with_its_effect(
    faults: PlatformFaults, seen: int | str, n_run: int
) -> None:
    answer, n_done = serve_once(faults)
    if isinstance(seen, str):
        assert answer in (seen, "ReadError")
    else:
        assert answer == seen
    assert n_done == n_run


def test_late_effect_takes_place_after_the_connection_was_cut() -> None:
    stand_in = TableStandIn(
        TableOptions(), PlatformFaults(late_effect_share=1, late_effect_s=0)
    )

    async def run() -> None:
        body = {"conditions": [], "writes": [{"key": "k", "value": "1"}]}
        async with serving(stand_in) as url, httpx.AsyncClient(base_url=url) as client:
            with pytest.raises(httpx.HTTPError):
                await client.post("/v1/txn", json=body)
            await client.post("/faults", json={"late_effect_share": 0})
            rows = (await client.post("/v1/read", json={"keys": ["k"]})).json()
            assert rows["rows"][0]["version"] == 1

    asyncio.run(run())


def test_faults_are_switched_while_it_runs_and_bad_ones_refused() -> None:
    async def run() -> None:
        stand_in = TableStandIn(TableOptions(), PlatformFaults())
        async with serving(stand_in) as url, httpx.AsyncClient(base_url=url) as client:
            await client.post("/faults", json={"down_share": 1})
            response = await client.post("/v1/read", json={"keys": []})
            assert response.status_code == 503
            response = await client.post("/faults", json={"no_such": 1})
            assert response.status_code == 400
            assert (await client.get("/faults")).json()["down_share"] == 1

    asyncio.run(run())
