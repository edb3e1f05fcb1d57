"""Tests of the cached addresses."""

from __future__ import annotations

import random

from aspendrift_client.address_table import AddressTable
from aspendrift_model.wire_caller import Address, AddressAnswer

ANSWER = AddressAnswer(
    (Address("d1", "u1", "a"), Address("d2", "u2", "a"), Address("d3", "u3", "b")),
    keep_s=10.0,
)


def filled_table() -> AddressTable:
    table = AddressTable(["seed"])
    table.update(ANSWER, 100.0, random.Random(1))
    return table


def test_address_answer_needs_a_refresh_after_its_lifetime() -> None:
    table = filled_table()
    assert not table.needs_refresh(107.0)
    assert table.needs_refresh(110.0)


def test_requests_spread_over_the_near_zone() -> None:
    table, rng = filled_table(), random.Random(2)
    chosen = [table.choose(101.0, rng) for _ in range(200)]
    assert set(chosen) == {"u1", "u2"}
    assert 60 < chosen.count("u1") < 140


def test_address_with_the_fewest_open_requests_is_chosen() -> None:
    table, rng = filled_table(), random.Random(2)
    chosen = []
    for _ in range(6):
        url = table.choose(101.0, rng)
        assert url is not None
        table.record_start(url)
        chosen.append(url)
    assert {chosen.count(url) for url in ("u1", "u2", "u3")} == {2}
    assert chosen[2] == "u3"
    for url in chosen:
        table.record_end(url)
    assert table.choose(101.0, rng) in {"u1", "u2"}


def test_failed_address_is_left_out_then_tried_again() -> None:
    table, rng = filled_table(), random.Random(3)
    table.record_failure("u1", 101.0)
    assert {table.choose(101.4, rng) for _ in range(50)} == {"u2"}
    assert "u1" in {table.choose(101.6, rng) for _ in range(50)}


def test_far_zone_then_seed_serve_when_the_near_zone_fails() -> None:
    table, rng = filled_table(), random.Random(4)
    table.record_failure("u1", 101.0)
    table.record_failure("u2", 101.0)
    assert table.choose(101.0, rng) == "u3"
    table.record_failure("u3", 101.0)
    assert table.choose(101.0, rng) == "seed"


def test_earliest_failed_address_is_tried_when_all_failed() -> None:
    table, rng = filled_table(), random.Random(5)
    for at, url in ((101.0, "u3"), (101.1, "u1"), (101.2, "u2"), (101.3, "seed")):
        table.record_failure(url, at)
    assert table.choose(101.35, rng) == "u3"


def test_no_address_is_known() -> None:
    assert AddressTable([]).choose(0.0, random.Random(0)) is None
