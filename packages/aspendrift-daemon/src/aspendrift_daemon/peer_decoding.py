"""Decoding of messages of one topic, some of which may be of a later version.

A message of a kind that this version doesn't know, or that can't be decoded for another
reason, is dropped. It is counted and logged at a bounded rate, by topic and origin.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, ClassVar, Final, Generic, TypeVar, cast

import msgspec

from aspendrift_daemon.events import Event, EventHub
from aspendrift_daemon.interfaces import Topic
from aspendrift_model.decode_errors import DECODE_ERRORS
from aspendrift_model.ids import DaemonId

__all__ = ["PeerDecoder", "PeerMessageDropped"]

# Further messages of an origin are counted for the rest of this time.
_LOG_INTERVAL_S: Final = 60.0
# Origins with lines of their own in this time; what others send is counted together.
# While a fleet is replaced, hundreds of peers may be of a later version.
_MAX_ORIGINS_LOGGED: Final = 8
_MAX_KIND_LENGTH: Final = 16

_OTHERS: Final = DaemonId("")

_Message = TypeVar("_Message")


@dataclass(frozen=True, slots=True)
class PeerMessageDropped(Event):
    """Messages of a peer on a topic could not be decoded and were dropped.

    ``kind`` is the tag of the first one, empty if it has none. ``n_messages`` counts
    those that no earlier line has; without an origin they are those of several.
    """

    name: ClassVar[str] = "peer_message_dropped"
    topic: str
    origin: str
    kind: str
    n_messages: int


@dataclass(slots=True)
class _Dropped:
    """Messages of an origin in the present interval."""

    kind: str
    n_not_logged: int = 0


class PeerDecoder(Generic[_Message]):
    """Decodes the messages of a topic.

    Parameters
    ----------
    message_type : type
        The struct, or the union of tagged structs, that the topic carries.
    """

    def __init__(self, message_type: Any, topic: Topic, events: EventHub) -> None:
        self._decoder = msgspec.msgpack.Decoder(message_type)
        self._topic = topic
        self._events = events
        self._interval_began_at = float("-inf")
        self._dropped_by_origin: dict[DaemonId, _Dropped] = {}
        self.n_dropped = 0

    def decode(self, origin: DaemonId, payload: bytes, now: float) -> _Message | None:
        """Return a message, or None if it is of an unknown kind or malformed."""
        try:
            return cast(_Message, self._decoder.decode(payload))
        except DECODE_ERRORS:
            self._dropped(origin, payload, now)
            return None

    def _dropped(self, origin: DaemonId, payload: bytes, now: float) -> None:
        self.n_dropped += 1
        if now - self._interval_began_at >= _LOG_INTERVAL_S:
            self._begin_interval(now)
        known = self._dropped_by_origin.get(origin)
        if known is not None:
            known.n_not_logged += 1
        elif len(self._dropped_by_origin) < _MAX_ORIGINS_LOGGED:
            kind = _kind(payload)
            self._dropped_by_origin[origin] = _Dropped(kind)
            self._log(origin, kind, 1)
        else:
            others = self._dropped_by_origin.setdefault(_OTHERS, _Dropped(""))
            others.n_not_logged += 1

    def _begin_interval(self, now: float) -> None:
        """Log what was only counted in the previous interval."""
        for origin, dropped in self._dropped_by_origin.items():
            if dropped.n_not_logged:
                self._log(origin, dropped.kind, dropped.n_not_logged)
        self._dropped_by_origin.clear()
        self._interval_began_at = now

    def _log(self, origin: DaemonId, kind: str, n_messages: int) -> None:
        self._events.emit(PeerMessageDropped(self._topic, origin, kind, n_messages))


def _kind(payload: bytes) -> str:
    """Return the tag of a message, bounded in length; empty if it has none."""
    try:
        tag, *_ = msgspec.msgpack.decode(payload, type=list[msgspec.Raw])
        return msgspec.msgpack.decode(tag, type=str)[:_MAX_KIND_LENGTH]
    except (*DECODE_ERRORS, ValueError):
        return ""
