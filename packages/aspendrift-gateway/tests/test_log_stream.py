"""Tests of a log stream that never blocks and has limits."""

from __future__ import annotations

import fcntl
import json
import os

import pytest

from aspendrift_gateway.log_stream import LogStream


@pytest.fixture
def pipe():
    read_end, write_end = os.pipe()
    yield read_end, write_end
    for end in (read_end, write_end):
        try:
            os.close(end)
        except OSError:
            continue


def drain(read_end):
    flags = fcntl.fcntl(read_end, fcntl.F_GETFL)
    fcntl.fcntl(read_end, fcntl.F_SETFL, flags | os.O_NONBLOCK)
    found = b""
    while True:
        try:
            found += os.read(read_end, 1 << 20)
        except BlockingIOError:
            return found


def test_lines_are_written(pipe):
    read_end, write_end = pipe
    stream = LogStream(write_end)
    stream.write(b"one\n")
    stream.flush()
    assert drain(read_end) == b"one\n"


def test_stopped_reader_neither_blocks_nor_grows_memory(pipe):
    read_end, write_end = pipe
    stream = LogStream(write_end, max_buffered_bytes=10_000)
    line = b"x" * 99 + b"\n"
    for _ in range(10_000):
        stream.write(line)
        stream.flush()
    assert stream.n_dropped > 8_000
    n_dropped = stream.n_dropped
    drain(read_end)
    stream.flush()
    stream.write(b"after\n")
    stream.flush()
    rest = drain(read_end)
    assert b'"log_lines_dropped","n_lines":%d' % n_dropped in rest
    assert rest.endswith(b"after\n")


def test_tenfold_load_stays_within_the_bound_and_is_reported(pipe):
    read_end, write_end = pipe
    now = 0.0
    stream = LogStream(write_end, max_bytes_per_s=10_000, clock=lambda: now)
    line = b"x" * 99 + b"\n"
    found = b""
    for _ in range(10_000):
        now += 0.001
        stream.write(line)
        stream.flush()
        found += drain(read_end)
    assert len(found) <= 10_000 * (10 + 2) + 10_000
    assert len(found) >= 10_000 * 10
    reports = [each for each in found.split(b"\n") if b"log_lines_dropped" in each]
    n_reported = sum(json.loads(each)["n_lines"] for each in reports)
    assert n_reported + stream.n_dropped + found.count(line) == 10_000


def test_closed_reader_is_no_error(pipe):
    read_end, write_end = pipe
    stream = LogStream(write_end)
    os.close(read_end)
    stream.write(b"one\n")
    stream.flush()
    stream.write(b"two\n")
    stream.flush()
