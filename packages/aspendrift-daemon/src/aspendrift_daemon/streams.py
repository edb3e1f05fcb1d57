"""Sinks for the tokens of a request: none, or a buffer that the caller reads."""

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
    """Receives the tokens of a request in order."""

    async def token(self, n: int, text: str) -> None:
        """Accept a token; waits while the caller reads too slowly."""


class NoTokens:
    """Sink for a caller that reads the complete answer instead of a stream."""

    async def token(self, n: int, text: str) -> None:
        """Discard a token."""


class CallerStream:
    """Bounded buffer between a request and the response that streams it.

    Parameters
    ----------
    max_buffered_tokens : int
        Number of buffered tokens from which on :meth:`token` waits.
    """

    def __init__(self, max_buffered_tokens: int) -> None:
        self._max_buffered_tokens = max_buffered_tokens
        self._events: deque[TokenEvent] = deque()
        self._closed = False
        self._has_capacity = asyncio.Event()
        self._has_capacity.set()
        self.updated = asyncio.Event()

    @property
    def has_tokens(self) -> bool:
        """Whether a token is buffered."""
        return bool(self._events)

    async def token(self, n: int, text: str) -> None:
        """Accept a token; waits while the caller reads too slowly."""
        await self._has_capacity.wait()
        if self._closed:
            return
        self._events.append(TokenEvent(n, text))
        if len(self._events) >= self._max_buffered_tokens:
            self._has_capacity.clear()
        self.updated.set()

    def close(self) -> None:
        """Discard the buffered tokens and every later one."""
        self._closed = True
        self._events.clear()
        self._has_capacity.set()

    async def lines(
        self, run: asyncio.Task[OutcomeBody], outcome: Callable[[], OutcomeBody]
    ) -> AsyncIterator[bytes]:
        """Yield the NDJSON lines of the tokens, then the line of the outcome.

        Parameters
        ----------
        run : asyncio.Task
            The run; its end must set :attr:`updated`.
        outcome : callable
            Returns the outcome once the run has ended.
        """
        while not run.done() or self._events:
            if not self._events:
                await self.updated.wait()
            self.updated.clear()
            if self._events:
                yield self._drain()
        ended = msgspec.structs.replace(outcome(), output=None)
        yield msgspec.json.encode(EndEvent(ended)) + _NEWLINE

    def _drain(self) -> bytes:
        lines = [msgspec.json.encode(event) + _NEWLINE for event in self._events]
        self._events.clear()
        self._has_capacity.set()
        return b"".join(lines)
