"""Tests of the bounds on what reading one connection takes of the processor."""

from __future__ import annotations

import pytest

from aspendrift_policy.read_limits import (
    BodyChunks,
    ChunkQuota,
    HeadLines,
    SharedPace,
    turn_end,
)


@pytest.mark.parametrize(
    ("data", "start", "expected"),
    [
        (b"", 0, 0),
        (b"x" * 1000, 0, 1000),
        (b"x" * 1000, 400, 1000),
        (b"\n" * 128, 0, 128),
        (b"\n" * 1000, 0, 128),
        (b"\n" * 1000, 900, 1000),
        (b"a\r\n" * 1000, 0, 384),
        (b"x" * 5000, 0, 4096),
    ],
)
def test_a_turn_ends_after_so_many_lines_or_bytes(data, start, expected):
    assert turn_end(data, start, 4096) == expected


def test_turns_cover_all_bytes_once():
    data = b"1\r\n.\r\n" * 5000
    start, parts = 0, []
    while start < len(data):
        end = turn_end(data, start, 65536)
        parts.append(data[start:end])
        start = end
    assert b"".join(parts) == data
    assert max(part.count(b"\n") for part in parts) <= 128


def test_lines_of_a_body_do_not_count_as_those_of_a_head():
    lines = HeadLines()
    lines.begin()
    assert not lines.is_too_long(b"\n" * 1000)
    lines.end()
    assert not lines.is_too_long(b"\n" * 5000)
    lines.begin()
    assert not lines.is_too_long(b"\n" * 1000)
    assert lines.is_too_long(b"\n" * 1000)


@pytest.mark.parametrize(
    ("n_chunks", "n_bytes", "expected"),
    [
        (4096, 1, False),
        (5400, 1, False),
        (5500, 1, True),
        (20_000, 3, True),
        (1_000_000, 4, False),
        (1_000_000, 9, False),
    ],
)
def test_only_many_pieces_below_the_size_of_an_event_are_fragmented(
    n_chunks, n_bytes, expected
):
    chunks = BodyChunks()
    for _ in range(n_chunks):
        chunks.record(n_bytes)
    assert chunks.is_fragmented == expected


def test_stream_of_hundreds_of_events_a_second_is_within_its_quota():
    quota = ChunkQuota(0.0)
    assert all(quota.excess(50, now / 10) == 0 for now in range(1, 600))


def test_pieces_over_the_quota_are_counted():
    quota = ChunkQuota(0.0)
    assert quota.excess(4096, 0.0) == 0
    assert quota.excess(64, 0.0) == 64
    assert quota.excess(600, 1.0) == 100


def test_connections_over_their_quota_share_one_rate():
    pace = SharedPace()
    waits = [pace.delay_s(64, 0.0) for _ in range(10)]
    assert waits == sorted(waits)
    assert waits[-1] == pytest.approx(0.32)
    assert pace.delay_s(64, 10.0) == pytest.approx(0.032)
