"""Where the tokens of a request go: nowhere, or to a caller through a buffer."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Callable
from typing import Final, Protocol

import msgspec

from aspendrift_model.wire_caller import EndEvent, OutcomeBody, TokenEvent

__all__ = ["CallerStream", "NoTokens", "TokenSink"]

_NEWLINE: Final = b"\n"


class TokenSink(Protocol):
    """Takes the tokens of a request in order."""

    async def token(self, n: int, text: str) -> None:
        """Take a token; waits while the caller is behind."""


class NoTokens:
    """Sink of a caller that wants the whole answer at once."""

    async def token(self, n: int, text: str) -> None:
        """Ignore a token."""


class CallerStream:
    """Bounded buffer between a request and the response that streams it.

    Parameters
    ----------
    n_buffered : int
        Tokens held before :meth:`token` waits.
    """

    def __init__(self, n_buffered: int) -> None:
        self._n_buffered = n_buffered
        self._events: deque[TokenEvent] = deque()
        self._closed = False
        self._has_room = asyncio.Event()
        self._has_room.set()
        self.has_news = asyncio.Event()

    @property
    def has_tokens(self) -> bool:
        """Whether a token waits to be sent."""
        return bool(self._events)

    async def token(self, n: int, text: str) -> None:
        """Take a token; waits while the caller is behind."""
        await self._has_room.wait()
        if self._closed:
            return
        self._events.append(TokenEvent(n, text))
        if len(self._events) >= self._n_buffered:
            self._has_room.clear()
        self.has_news.set()

    def close(self) -> None:
        """Drop what is buffered and every later token."""
        self._closed = True
        self._events.clear()
        self._has_room.set()

    async def lines(
        self, run: asyncio.Task[OutcomeBody], outcome: Callable[[], OutcomeBody]
    ) -> AsyncIterator[bytes]:
        """Yield the NDJSON lines of the tokens, then that of the outcome.

        Parameters
        ----------
        run : asyncio.Task
            The run, whose end sets :attr:`has_news`.
        outcome : callable
            Gives the outcome once the run has ended.
        """
        while not run.done() or self._events:
            if not self._events:
                await self.has_news.wait()
            self.has_news.clear()
            if self._events:
                yield self._take()
        ended = msgspec.structs.replace(outcome(), output=None)
        yield msgspec.json.encode(EndEvent(ended)) + _NEWLINE

    def _take(self) -> bytes:
        lines = [msgspec.json.encode(event) + _NEWLINE for event in self._events]
        self._events.clear()
        self._has_room.set()
        return b"".join(lines)
