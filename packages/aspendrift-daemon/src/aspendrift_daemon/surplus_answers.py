"""Skips answers that a server sends on a connection beside those to its requests.

A server may send an answer a second time, late, where the answer to the next request
is expected. The client library takes the first answer after a request for its own, so
the bytes of surplus ones are left out before it reads them.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from itertools import islice
from typing import Final, Protocol

import h11
import httpx

from aspendrift_policy.read_limits import BodyChunks

__all__ = [
    "AnswerReader",
    "AwaitedAnswer",
    "SurplusUnreadable",
    "has_second_status_line",
    "holds_surplus_answer",
]

# A server that sends more answers than that before the awaited one is not followed.
_MAX_SURPLUS_ANSWERS: Final = 8
_MAX_SURPLUS_BYTES: Final = 1024 * 1024
# Heads that are parsed in a body without an end of its own, in one turn of the event
# loop.
_MAX_HEADS_IN_BODY: Final = 16
# Bytes of a request's id that may be split between two reads.
_MAX_ID_BYTES: Final = 256
# The client library's own limit.
_MAX_HEAD_BYTES: Final = 100 * 1024
_PROTOCOL: Final = b"HTTP/"
_HEAD_END: Final = re.compile(rb"\n\r?\n")
_LENGTH: Final = b"content-length"
_TRANSFER_ENCODING: Final = b"transfer-encoding"
_LAST_CHUNK: Final = b"0\r\n\r\n"
_LENGTH_LINE: Final = re.compile(
    rb"\ncontent-length:[ \t]*(\d{1,20})[ \t]*\r?\n", re.IGNORECASE
)
_STATUS_LINE: Final = re.compile(rb"HTTP/\d\.\d \d{3}")
_STATUSES_WITHOUT_BODY: Final = frozenset({204, 304})


class SurplusUnreadable(httpx.RemoteProtocolError):
    """The end of a surplus answer can't be found, so the awaited one can't either."""


def has_second_status_line(head: bytes) -> bool:
    """Return whether a head is that of an unfinished answer joined with another.

    Parsers take the second status line for the end of a header or of the reason phrase,
    so that an answer would get the status of a surplus one before it.
    """
    return _STATUS_LINE.search(head, 1) is not None


class AwaitedAnswer(Protocol):
    """Tells the answer to one request from others on its connection."""

    def is_named_in(self, head: bytes) -> bool:
        """Return whether an encoded head names the request."""

    def is_surplus(self, status: int, headers: Iterable[tuple[bytes, bytes]]) -> bool:
        """Return whether an answer certainly belongs to another request."""


def holds_surplus_answer(body: bytes, awaited: AwaitedAnswer) -> bool:
    """Return whether a body that ends with its connection holds a surplus answer."""
    for found in islice(_STATUS_LINE.finditer(body), _MAX_HEADS_IN_BODY):
        reader = AnswerReader(awaited)
        start = found.start()
        try:
            reader.feed(body[start : start + _MAX_HEAD_BYTES])
        except SurplusUnreadable:
            return True
        if reader.n_surplus or reader.is_skipping:
            return True
    return False


class AnswerReader:
    """Passes on the bytes of one answer, without surplus answers before and behind it.

    Parameters
    ----------
    awaited : AwaitedAnswer
        Tells whether an answer is that of the request.
    is_first : bool
        Whether the connection had no request before, so that there can be no copy of an
        answer; then none is skipped.
    """

    def __init__(self, awaited: AwaitedAnswer, is_first: bool = False) -> None:
        self._awaited = awaited
        self._is_first = is_first
        self._parser: h11.Connection | None = None
        # Bytes of heads that may be the awaited one or precede it.
        self._held = bytearray()
        # Bytes of interim heads among them.
        self._n_interim = 0
        self._n_surplus_bytes = 0
        self._chunks = BodyChunks()
        # Latest bytes of a surplus body.
        self._tail = b""
        # Bytes of the answer that are still to come; None if its head doesn't tell.
        self._n_left: int | None = None
        self._has_begun = False
        # Latest bytes of a body in chunks; None for other bodies.
        self._latest: bytes | None = None
        # Whether bytes behind the answer may have been passed on with its end.
        self.may_have_more = False
        self.n_surplus = 0
        self.is_skipping = False

    def feed(self, data: bytes) -> tuple[bytes, bytes]:
        """Return the bytes of the answer, and those behind its end.

        Raises `SurplusUnreadable`.
        """
        if not self._has_begun:
            data = self._find(data)
        elif self._latest is not None:
            self._find_last_chunk(self._latest + data)
        if self._n_left is None:
            return data, b""
        own, behind = data[: self._n_left], data[self._n_left :]
        self._n_left -= len(own)
        return own, behind

    def end(self) -> None:
        """Note the end of the connection; raises `SurplusUnreadable`."""
        if not self._has_begun and (self.n_surplus or self.is_skipping):
            raise SurplusUnreadable("connection closed behind a surplus answer")

    def _find(self, data: bytes) -> bytes:
        """Return the bytes from the head of the answer on; empty before it."""
        if self._parser is None:
            end = _HEAD_END.search(data)
            head = b"" if end is None else data[: end.end()]
            if head.startswith(_PROTOCOL) and self._awaited.is_named_in(head):
                self._begin(head, data[len(head) :])
                return data
            self._parser = _parser()
        if not self.is_skipping:
            self._held += data
        self._parser.receive_data(data)
        return self._parse(self._parser)

    def _parse(self, parser: h11.Connection) -> bytes:
        """Skip surplus answers; return the bytes of the answer, empty before it."""
        while True:
            event = self._next_event(parser)
            if event is None:
                return self._take_held(parser)
            if isinstance(event, h11.InformationalResponse):
                self._check_head(parser)
                self._n_interim = self._n_parsed(parser)
            elif isinstance(event, h11.Response):
                self._check_head(parser)
                if not self._may_skip(event):
                    return self._take_held(parser)
                self.is_skipping = True
                self._held.clear()
                self._n_interim = 0
            elif isinstance(event, h11.Data):
                self._check_surplus(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self.n_surplus += 1
                self.is_skipping = False
                self._parser = None
                behind = parser.trailing_data[0]
                return self._find(behind) if behind else b""
            else:
                return b""

    def _check_head(self, parser: h11.Connection) -> None:
        """Raise an error if a head that was parsed is joined with the awaited one."""
        head = bytes(self._held[self._n_interim : self._n_parsed(parser)])
        if has_second_status_line(head) and self._awaited.is_named_in(head):
            raise SurplusUnreadable("second status line in the head")

    def _next_event(self, parser: h11.Connection) -> object:
        """Return the next event; None if the bytes are no answer."""
        try:
            return parser.next_event()
        except h11.RemoteProtocolError as error:
            if self.n_surplus or self.is_skipping:
                raise SurplusUnreadable(str(error)) from error
            return None

    def _may_skip(self, answer: h11.Response) -> bool:
        headers = list(answer.headers)
        is_delimited = answer.status_code in _STATUSES_WITHOUT_BODY or any(
            name in (_LENGTH, _TRANSFER_ENCODING) for name, _ in headers
        )
        return (
            not self._is_first
            and self.n_surplus < _MAX_SURPLUS_ANSWERS
            and is_delimited
            and self._awaited.is_surplus(answer.status_code, headers)
        )

    def _take_held(self, parser: h11.Connection) -> bytes:
        n_head = self._n_parsed(parser)
        held, self._held = bytes(self._held), bytearray()
        self._begin(held[:n_head], held[n_head:])
        return held

    def _n_parsed(self, parser: h11.Connection) -> int:
        """Return how many of the held bytes are parsed."""
        return len(self._held) - len(parser.trailing_data[0])

    def _begin(self, head: bytes, body: bytes) -> None:
        """Note the end of the answer, if its head tells it, and how to find it."""
        self._has_begun = True
        status = head[9:12]
        length = _LENGTH_LINE.search(head)
        if status.isdigit() and int(status) in _STATUSES_WITHOUT_BODY:
            self._n_left = len(head)
        elif _TRANSFER_ENCODING in head.lower():
            self._find_last_chunk(body)
        elif length:
            self._n_left = len(head) + int(length[1])

    def _find_last_chunk(self, body: bytes) -> None:
        """Note whether anything follows what looks like the last chunk of a body."""
        end = body.find(_LAST_CHUNK) + len(_LAST_CHUNK)
        if len(_LAST_CHUNK) <= end < len(body):
            self.may_have_more = True
        self._latest = body[-len(_LAST_CHUNK) + 1 :]

    def _check_surplus(self, data: bytes) -> None:
        """Raise an error if a surplus body is large, or holds the awaited answer.

        The body of an answer that was cut off ends with the answers behind it.
        """
        self._n_surplus_bytes += len(data)
        self._chunks.record(len(data))
        if self._n_surplus_bytes > _MAX_SURPLUS_BYTES or self._chunks.is_fragmented:
            raise SurplusUnreadable("surplus answers are too large")
        self._tail = self._tail[-_MAX_ID_BYTES:] + data
        if self._awaited.is_named_in(self._tail):
            raise SurplusUnreadable("a surplus answer was cut off")


def _parser() -> h11.Connection:
    """Return the state of a connection on which an answer is expected."""
    parser = h11.Connection(h11.CLIENT, _MAX_HEAD_BYTES)
    parser.send(h11.Request(method=b"GET", target=b"/", headers=[(b"host", b"-")]))
    parser.send(h11.EndOfMessage())
    return parser
