"""Tests of the answers that are skipped before that to a request."""

from __future__ import annotations

import pytest

from aspendrift_daemon.surplus_answers import (
    AnswerReader,
    SurplusUnreadable,
    has_second_status_line,
    holds_surplus_answer,
)


class Awaited:
    """Awaits the answer with the id ``own``; answers without an id are surplus."""

    def is_named_in(self, head):
        return b"own" in head

    def is_surplus(self, status, headers):
        return dict(headers).get(b"id") != b"own"


def answer(request_id=b"own", body=b"body", status=200, framing=None):
    if framing is None:
        framing = b"Content-Length: %d" % len(body)
    named = b"Id: " + request_id + b"\r\n" if request_id else b""
    return b"HTTP/1.1 %d X\r\n%s%s\r\n\r\n%s" % (status, named, framing, body)


def chunked(request_id, *chunks):
    body = b"".join(b"%x\r\n%s\r\n" % (len(each), each) for each in (*chunks, b""))
    return answer(request_id, body, framing=b"Transfer-Encoding: chunked")


def read(stream, size):
    """Feed a stream in parts of a size; return what was read, behind, and surplus."""
    reader = AnswerReader(Awaited())
    own, behind = b"", b""
    for start in range(0, len(stream), size):
        part = reader.feed(stream[start : start + size])
        own, behind = own + part[0], behind + part[1]
    return own, behind, reader.n_surplus


SIZES = pytest.mark.parametrize("size", [1, 7, 64, 100_000])
INTERIM = b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n"


@SIZES
@pytest.mark.parametrize(
    ("surplus", "n"),
    [
        (answer(b"other"), 1),
        (answer(None), 1),
        (answer(b"other", status=500), 1),
        (answer(b"other", b""), 1),
        (answer(b"other", b"HTTP/1.1 200 X\r\nId: new\r\n\r\n"), 1),
        (answer(b"other", status=204, framing=b"X: y", body=b""), 1),
        (chunked(b"other", b"one", b"\r\n\r\n"), 1),
        (INTERIM + answer(b"other"), 1),
        (answer(b"other") * 3, 3),
    ],
)
@pytest.mark.parametrize(
    "own", [answer(), chunked(b"own", b"one", b"two"), INTERIM + answer()]
)
def test_surplus_answers_before_the_awaited_one_are_skipped(own, surplus, n, size):
    assert read(surplus + own, size) == (own, b"", n)


@SIZES
@pytest.mark.parametrize(
    "own",
    [
        answer(body=b""),
        answer(),
        answer(body=b"x" * 200_000),
        answer(status=204, framing=b"X: y", body=b""),
    ],
    ids=range(4),
)
def test_answer_behind_the_awaited_one_is_not_handed_over(own, size):
    found, behind, _ = read(own + answer(b"other"), size)
    assert found == own
    assert behind == answer(b"other")


@pytest.mark.parametrize("n_split", range(1, 7))
@pytest.mark.parametrize(
    ("behind", "may_have_more"), [(b"", False), (answer(b"other"), True)]
)
def test_bytes_behind_the_last_chunk_are_noticed(behind, may_have_more, n_split):
    """A head that ends like a last chunk is none."""
    reader = AnswerReader(Awaited())
    stream = chunked(b"own", b"one", b"two").replace(
        b"chunked\r\n", b"chunked\r\nN: 10\r\n"
    )
    reader.feed(stream[:-n_split])
    reader.feed(stream[-n_split:] + behind)
    assert reader.may_have_more is may_have_more


@SIZES
@pytest.mark.parametrize(
    "stream",
    [
        answer(b"other", framing=b"Connection: close"),
        answer(b"other") * 8 + answer(b"other", b"last"),
        b"no answer at all\r\n\r\n",
        answer(status=304, framing=b"Content-Length: 9", body=b""),
        answer(framing=b"Connection: close"),
        answer(framing=b"Content-Length: " + b"1" * 5000),
    ],
)
def test_what_cannot_be_skipped_is_left_to_the_client(stream, size):
    found, behind, _ = read(stream, size)
    assert stream.endswith(found)
    assert found.startswith((b"HTTP/1.1", b"no"))
    assert behind == b""


def test_surplus_answers_without_end_are_not_read_on():
    reader = AnswerReader(Awaited())
    reader.feed(answer(b"other", b"", framing=b"Content-Length: 999999999"))
    with pytest.raises(SurplusUnreadable):
        for _ in range(1000):
            reader.feed(b"x" * 10_000)


@SIZES
def test_awaited_answer_behind_a_copy_that_was_cut_off_is_not_waited_for(size):
    copy = answer(b"other", b"x" * 500)
    with pytest.raises(SurplusUnreadable):
        read(copy[:-200] + answer(), size)


@SIZES
@pytest.mark.parametrize(
    "head", [b"HTTP/1.1 200 X\r\nId: other\r\nX: y", b"HTTP/1.1 103 Early\r\nLink: x"]
)
def test_answer_joined_with_the_head_of_a_copy_is_not_waited_for(head, size):
    joined = head + answer(status=500)
    try:
        found, _, _ = read(joined, size)
    except SurplusUnreadable:
        return
    # Read in one part, it is left to the caller of the reader.
    assert found == joined
    assert has_second_status_line(found)


def test_surplus_answer_in_many_small_chunks_is_not_read_on():
    reader = AnswerReader(Awaited())
    reader.feed(answer(b"other", b"", framing=b"Transfer-Encoding: chunked"))
    with pytest.raises(SurplusUnreadable):
        for _ in range(10_000):
            reader.feed(b"1\r\nx\r\n")


@pytest.mark.parametrize("stream", [answer(b"other"), answer(b"other")[:-1]])
def test_connection_that_ends_behind_a_surplus_answer_is_no_broken_answer(stream):
    reader = AnswerReader(Awaited())
    reader.feed(stream)
    with pytest.raises(SurplusUnreadable):
        reader.end()


def test_first_answer_of_a_connection_is_never_skipped():
    reader = AnswerReader(Awaited(), is_first=True)
    assert reader.feed(answer(None)) == (answer(None), b"")


@pytest.mark.parametrize(
    ("behind", "is_held"),
    [
        (answer(b"other"), True),
        (answer(None)[:-2], True),
        (chunked(b"other", b"x"), True),
        (answer(b"other")[:30], False),
        (b"", False),
        (b"HTTP/1.1 200 OK in a text", False),
        (answer(), False),
    ],
)
def test_answer_behind_one_that_ends_with_its_connection_is_found(behind, is_held):
    assert holds_surplus_answer(b"body" + behind, Awaited()) is is_held


def test_body_full_of_status_lines_does_not_hold_the_event_loop():
    class Counted(Awaited):
        n_heads = 0

        def is_surplus(self, status, headers):
            self.n_heads += 1
            return False

    counted = Counted()
    assert not holds_surplus_answer(answer(b"other") * 10_000, counted)
    assert 0 < counted.n_heads <= 16
