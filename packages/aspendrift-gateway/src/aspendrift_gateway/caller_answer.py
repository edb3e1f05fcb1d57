"""Interface of the request path to the caller's connection."""

from __future__ import annotations

from typing import Final, Protocol

from aspendrift_model.opaque_requests import Headers

__all__ = [
    "CallerAnswer",
    "CallerDisconnected",
    "CallerStalled",
    "end_to_end_headers",
]

_HOP_BY_HOP_HEADERS: Final = frozenset(
    {b"connection", b"keep-alive", b"transfer-encoding", b"proxy-connection"}
)


class CallerStalled(Exception):
    """A caller does not read its answer, and the memory for it is needed."""


class CallerDisconnected(Exception):
    """The connection to a caller broke while its answer was sent.

    No ``OSError``, since those of the connection to a target are blamed on it.
    """


class CallerAnswer(Protocol):
    """The answer to one request, sent in parts.

    All parts may raise `CallerDisconnected`.
    """

    has_begun: bool

    async def begin(self, status: int, headers: Headers) -> None:
        """Send the head of the answer."""

    async def send(self, content: bytes) -> None:
        """Send a part of the body; raises `CallerStalled`."""

    async def end(self) -> None:
        """Send the end of the body."""

    def abort(self) -> None:
        """Close the connection to show that the answer is incomplete."""


def end_to_end_headers(headers: Headers, n_bytes: int | None) -> Headers:
    """Return the headers of an answer to forward, with the length of its body.

    Without a length, if ``n_bytes`` is None, the body is sent in chunks.
    """
    kept = tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in _HOP_BY_HOP_HEADERS and name.lower() != b"content-length"
    )
    if n_bytes is None:
        return kept
    return (*kept, (b"content-length", str(n_bytes).encode()))
