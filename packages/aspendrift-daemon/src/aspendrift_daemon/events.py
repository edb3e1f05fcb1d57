"""Named, typed events that components emit and listeners receive.

The log line, the metric and the test of a decision all use the same event.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, ClassVar, TypeAlias

__all__ = ["Event", "EventHub", "Listener"]


@dataclass(frozen=True, slots=True)
class Event:
    """Base of all events; subclasses set ``name`` and add fields."""

    name: ClassVar[str] = "event"


Listener: TypeAlias = Callable[[Any], None]


class EventHub:
    """Delivers each event to the listeners of its type, then to those of all types."""

    def __init__(self) -> None:
        self._by_type: dict[type[Event], list[Listener]] = {}
        self._all: list[Listener] = []

    def connect(self, kind: type[Event], listener: Listener) -> None:
        """Call a listener with each event of exactly this type."""
        self._by_type.setdefault(kind, []).append(listener)

    def connect_all(self, listener: Listener) -> None:
        """Call a listener with every event."""
        self._all.append(listener)

    def emit(self, event: Event) -> None:
        """Deliver an event synchronously, in order of connection."""
        for listener in self._by_type.get(type(event), ()):
            listener(event)
        for listener in self._all:
            listener(event)
