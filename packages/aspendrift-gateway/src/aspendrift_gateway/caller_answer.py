"""Interface of the request path to the caller's connection."""

from __future__ import annotations

from typing import Protocol

from aspendrift_model.opaque_requests import Headers

__all__ = ["CallerAnswer"]


class CallerAnswer(Protocol):
    """The answer to one request, sent in parts."""

    has_begun: bool

    async def begin(self, status: int, headers: Headers) -> None:
        """Send the head of the answer."""

    async def send(self, content: bytes) -> None:
        """Send a part of the body."""

    async def end(self) -> None:
        """Send the end of the body."""

    def abort(self) -> None:
        """Close the connection to show that the answer is incomplete."""
