"""Tests of the kept addresses."""

from __future__ import annotations

import random

from aspendrift_client.address_book import AddressBook
from aspendrift_model.wire_caller import Address, AddressAnswer

ANSWER = AddressAnswer(
    (Address("d1", "u1", "a"), Address("d2", "u2", "a"), Address("d3", "u3", "b")),
    keep_s=10.0,
)


def filled_book() -> AddressBook:
    book = AddressBook(["seed"])
    book.update(ANSWER, 100.0, random.Random(1))
    return book


def test_answer_is_kept_for_its_time_only() -> None:
    book = filled_book()
    assert not book.needs_refresh(107.0)
    assert book.needs_refresh(110.0)


def test_requests_spread_over_the_near_zone() -> None:
    book, rng = filled_book(), random.Random(2)
    chosen = [book.choose(101.0, rng) for _ in range(200)]
    assert set(chosen) == {"u1", "u2"}
    assert 60 < chosen.count("u1") < 140


def test_open_requests_move_the_next_one_on() -> None:
    book, rng = filled_book(), random.Random(2)
    chosen = []
    for _ in range(6):
        url = book.choose(101.0, rng)
        assert url is not None
        book.begin(url)
        chosen.append(url)
    assert {chosen.count(url) for url in ("u1", "u2", "u3")} == {2}
    assert chosen[2] == "u3"
    for url in chosen:
        book.end(url)
    assert book.choose(101.0, rng) in {"u1", "u2"}


def test_failed_address_is_left_out_then_tried_again() -> None:
    book, rng = filled_book(), random.Random(3)
    book.report_failure("u1", 101.0)
    assert {book.choose(101.4, rng) for _ in range(50)} == {"u2"}
    assert "u1" in {book.choose(101.6, rng) for _ in range(50)}


def test_far_zone_then_seed_serve_when_the_near_zone_fails() -> None:
    book, rng = filled_book(), random.Random(4)
    book.report_failure("u1", 101.0)
    book.report_failure("u2", 101.0)
    assert book.choose(101.0, rng) == "u3"
    book.report_failure("u3", 101.0)
    assert book.choose(101.0, rng) == "seed"


def test_first_to_return_is_tried_when_all_failed() -> None:
    book, rng = filled_book(), random.Random(5)
    for at, url in ((101.0, "u3"), (101.1, "u1"), (101.2, "u2"), (101.3, "seed")):
        book.report_failure(url, at)
    assert book.choose(101.35, rng) == "u3"


def test_no_address_is_known() -> None:
    assert AddressBook([]).choose(0.0, random.Random(0)) is None
