"""Tests of splitting streams into events."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from aspendrift_gateway.event_relay import EventRelay

STREAM = b"".join(b"id: %d\ndata: text %d\n\n" % (n, n) for n in range(1, 8))


@given(st.lists(st.integers(0, len(STREAM)), max_size=12))
def test_whole_events_come_out_however_the_bytes_are_cut(cuts):
    relay = EventRelay()
    places = [0, *sorted(cuts), len(STREAM)]
    out = b""
    for begin, end in zip(places, places[1:], strict=False):
        out += relay.feed(STREAM[begin:end])
        assert out == b"" or out.endswith(b"\n\n")
    assert out == STREAM
    assert relay.last_event_id == "7"
    assert relay.n_events == 7
    assert not relay.has_partial


def test_partial_event_is_dropped_at_a_restart():
    relay = EventRelay()
    assert relay.feed(b"id: 1\ndata: x\n\nid: 2\nda") == b"id: 1\ndata: x\n\n"
    relay.restart()
    assert relay.last_event_id == "1"
    assert relay.feed(b"id: 2\ndata: y\n\n") == b"id: 2\ndata: y\n\n"


def test_end_of_a_stream_inside_an_event_is_told_and_not_passed_on():
    relay = EventRelay()
    assert relay.feed(b"id: 1\ndata: x") == b""
    assert relay.has_partial
    assert relay.feed(b"\n\n") == b"id: 1\ndata: x\n\n"
    assert not relay.has_partial


@given(st.lists(st.integers(0, len(STREAM)), max_size=6))
def test_runs_that_break_anywhere_and_go_on_give_the_stream_once(lengths):
    relay = EventRelay()
    out = b""
    for length in [*lengths, len(STREAM)]:
        relay.restart()
        n_had = int(relay.last_event_id or 0)
        rest = b"".join(STREAM.split(b"\n\n")[n] + b"\n\n" for n in range(n_had, 7))
        out += relay.feed(rest[:length])
        assert STREAM.startswith(out)
    assert out == STREAM
