"""Tests of who reads the store and whom the others query."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest

from aspendrift_model.ids import DaemonId
from aspendrift_policy.state_sources import (
    QuerySource,
    ReadStore,
    SourceAges,
    SourceFailure,
    SourceTimes,
    StateFollower,
    readers_in_order,
    sources_in_order,
)

TIMES = SourceTimes(1.0, 0.4, 2.0, 2.2, 1.2, 3.0)
NEW = SourceAges(0.0, 0.0, 0.0)
OLD = SourceAges(9.0, 9.0, 9.0)


def daemons(count):
    return [DaemonId(f"d{number}") for number in range(count)]


def follower(count=20):
    ids = daemons(count)
    own_id = next(each for each in ids if each not in readers_in_order(ids))
    found = StateFollower()
    found.set_members(own_id, ids)
    return found


def queried(steps):
    return [each for each in steps if isinstance(each, QuerySource)]


@pytest.mark.parametrize("count", [1, 2, 6, 30, 100, 300, 1000])
def test_readers_grow_far_slower_than_the_daemons(count):
    ids = daemons(count)
    readers = readers_in_order(ids)
    assert min(count, 2) <= len(readers) <= 2 + count / 40
    assert readers == readers_in_order(ids[::-1])


@pytest.mark.parametrize("count", [30, 100, 300])
def test_followers_spread_over_the_readers(count):
    ids = daemons(count)
    readers = readers_in_order(ids)
    first = Counter(
        sources_in_order(own_id, ids)[0][0] for own_id in ids if own_id not in readers
    )
    assert set(first) == set(readers)
    assert max(first.values()) <= 2.5 * count / len(readers)


def test_loss_of_a_reader_replaces_only_that_reader():
    ids = daemons(200)
    before = readers_in_order(ids)
    after = readers_in_order([each for each in ids if each != before[0]])
    assert set(before) - {before[0]} <= set(after)


def test_source_is_queried_once_an_interval():
    found = follower()
    n_queries = 0
    for tick in range(100):
        now = tick * 0.1
        for step in queried(found.steps(now, TIMES)):
            n_queries += 1
            found.answered(step.number, SourceAges(0.5, 0.5, 0.5), 0.5, now, TIMES)
    assert n_queries == 10


def test_silent_source_is_replaced_and_the_store_read_at_once():
    found = follower()
    (query,) = found.steps(0.0, TIMES)
    assert found.steps(0.3, TIMES) == []
    assert found.steps(0.5, TIMES) == [ReadStore(query.daemon_id, SourceFailure.SILENT)]
    (second,) = found.steps(1.0, TIMES)
    assert second.daemon_id != query.daemon_id


@pytest.mark.parametrize(
    "ages",
    [
        SourceAges(2.5, 0.5, 0.5),
        SourceAges(0.5, 1.5, 0.5),
        SourceAges(0.5, 0.5, 3.5),
        SourceAges(2.5, 0.5, None),
    ],
)
def test_stale_source_is_replaced_and_the_store_read_at_once(ages):
    found = follower()
    (query,) = found.steps(0.0, TIMES)
    asked_at, steps = found.answered(query.number, ages, 0.5, 0.01, TIMES)
    assert asked_at == 0.0
    assert steps == [ReadStore(query.daemon_id, SourceFailure.STALE)]


@pytest.mark.parametrize(("held_age_s", "is_read"), [(2.9, False), (3.1, True)])
def test_store_is_read_before_evacuations_get_old_that_a_source_does_not_tell(
    held_age_s, is_read
):
    # A source of an earlier release answers in time, so that it never counted as stale
    # and an evacuation would have stayed unknown here.
    found = follower()
    (query,) = found.steps(0.0, TIMES)
    ages = SourceAges(0.5, 0.5, None)
    _, steps = found.answered(query.number, ages, held_age_s, 0.01, TIMES)
    failure = SourceFailure.NO_EVACUATIONS
    assert steps == ([ReadStore(query.daemon_id, failure)] if is_read else [])


def test_daemon_that_the_store_rejects_is_soon_past_many_stale_readers():
    # At 300 daemons it asked 8 readers that were turned away as well, one an interval.
    found = follower(300)
    found.read_failed(0.0)
    now, queried_ids = 0.0, []
    while now < 3.5:
        for query in queried(found.steps(now, TIMES)):
            queried_ids.append(query.daemon_id)
            found.answered(query.number, OLD, 9.0, now, replace(TIMES, store_retry_s=9))
        now += 0.1
    readers = readers_in_order(daemons(300))
    assert set(readers) <= set(queried_ids)
    # One of the readers after the other, then again one for each interval.
    assert len(queried_ids) <= len(readers) + 3


def test_change_of_the_members_leads_back_to_no_reader_that_was_just_replaced():
    # Two readers that the store turned away asked only each other for as long as hosts
    # came and went, and learned nothing.
    ids = daemons(20)
    own_id, *others = readers_in_order(ids)
    found = StateFollower()
    now, queried_ids = 0.0, []
    while now < 1.5:
        found.set_members(own_id, ids)
        for query in queried(found.steps(now, TIMES)):
            queried_ids.append(query.daemon_id)
            found.answered(query.number, OLD, 9.0, now, TIMES)
        now += 0.1
    assert [each in others for each in queried_ids] == [True, False]


def test_answer_to_an_earlier_query_confirms_nothing():
    found = follower()
    (first,) = found.steps(0.0, TIMES)
    found.steps(0.5, TIMES)
    (second,) = found.steps(1.0, TIMES)
    assert found.answered(first.number, NEW, 0.0, 1.1, TIMES) == (None, [])
    assert found.answered(second.number, NEW, 0.0, 1.1, TIMES) == (1.0, [])


def test_store_is_read_rarely_while_every_source_is_stale():
    found = follower()
    n_reads = 0
    asked = set()
    for tick in range(200):
        now = tick * 0.1
        for step in found.steps(now, TIMES):
            if isinstance(step, ReadStore):
                n_reads += 1
                continue
            asked.add(step.daemon_id)
            _, steps = found.answered(step.number, OLD, 9.0, now, TIMES)
            for _ in steps:
                n_reads += 1
                found.read_failed(now)
    assert n_reads <= 10
    assert len(asked) > 4


def test_store_is_read_each_interval_while_it_answers_and_sources_fail():
    found = follower()
    n_reads = 0
    for tick in range(100):
        now = tick * 0.1
        for step in found.steps(now, TIMES):
            if isinstance(step, QuerySource):
                _, steps = found.answered(step.number, OLD, 9.0, now, TIMES)
                n_reads += len(steps)
    assert n_reads == 10


def test_readers_are_asked_again_after_others():
    found = follower()
    readers = set(readers_in_order(daemons(20)))
    for tick in range(80):
        now = tick * 0.1
        for step in queried(found.steps(now, TIMES)):
            age_s = 9.0 if now < 4.0 and step.daemon_id in readers else 0.5
            found.answered(
                step.number, SourceAges(age_s, age_s, age_s), 0.5, now, TIMES
            )
    assert found.source_id in readers


def test_daemon_without_peers_reads_the_store():
    found = StateFollower()
    found.set_members(DaemonId("d0"), [DaemonId("d0")])
    assert found.steps(0.0, TIMES) == [ReadStore(None, None)]


def test_source_stays_while_it_is_a_reader():
    ids = daemons(100)
    readers = readers_in_order(ids)
    own_id = next(each for each in ids if each not in readers)
    found = StateFollower()
    found.set_members(own_id, ids)
    source_id = found.source_id
    gone = next(each for each in ids if each not in (*readers, own_id))
    found.set_members(own_id, [each for each in ids if each != gone])
    assert found.source_id == source_id
