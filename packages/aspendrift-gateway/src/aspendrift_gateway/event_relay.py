"""Forwards a stream event by event, so that another target can resume it."""

from __future__ import annotations

from typing import Final

__all__ = ["EventRelay", "EventTooLarge"]

_EVENT_END: Final = b"\n\n"
_ID_FIELD: Final = b"id:"
_MAX_EVENT_BYTES: Final = 1024 * 1024


class EventTooLarge(Exception):
    """A target sent more than this process keeps of one event."""


class EventRelay:
    """Splits a byte stream into complete events and tracks the id of the last one.

    Only complete events are forwarded: a target may fail in the middle of one, and
    a stream that another target resumes begins with a complete event.
    """

    def __init__(self) -> None:
        self._partial = bytearray()
        self.last_event_id: str | None = None
        self.n_events = 0

    @property
    def has_partial(self) -> bool:
        """Whether the stream stopped in the middle of an event."""
        return bool(self._partial)

    def feed(self, chunk: bytes) -> bytes:
        """Accept bytes of the stream and return the events that are now complete.

        Raises `EventTooLarge` if the event that has begun is longer than allowed.
        """
        # The separator may begin in the bytes before.
        searched_from = max(0, len(self._partial) - len(_EVENT_END) + 1)
        self._partial += chunk
        end = self._partial.rfind(_EVENT_END, searched_from)
        if end < 0:
            if len(self._partial) > _MAX_EVENT_BYTES:
                raise EventTooLarge(f"event over {_MAX_EVENT_BYTES} bytes")
            return b""
        complete = bytes(self._partial[: end + len(_EVENT_END)])
        del self._partial[: end + len(_EVENT_END)]
        for event in complete.split(_EVENT_END):
            if event.strip():
                self.n_events += 1
                self._record_id(event)
        return complete

    def restart(self) -> None:
        """Drop a partial event; the next attempt sends it again."""
        self._partial.clear()

    def _record_id(self, event: bytes) -> None:
        for line in event.split(b"\n"):
            if line.startswith(_ID_FIELD):
                self.last_event_id = line[len(_ID_FIELD) :].strip().decode("latin-1")
