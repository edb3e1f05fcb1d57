"""Notices that the settings file changed, with or without a signal."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final, Protocol

from aspendrift_daemon.events import EventHub
from aspendrift_gateway.events import SettingsReloaded
from aspendrift_gateway.settings import GatewaySettings

__all__ = ["SettingsSource", "SettingsWatch"]

# A look costs one call of the operating system; operators expect a change to be in
# force within the two seconds that a configuration takes.
_LOOK_S: Final = 1.0


class SettingsSource(Protocol):
    """Where the settings of this process come from."""

    def stamp(self) -> object:
        """Return what differs once the settings may have changed; OSError if gone."""

    def read(self) -> GatewaySettings:
        """Read the settings; OSError or ValueError if they can't be used."""


class SettingsWatch:
    """Reads the settings again when their stamp differs, or when told to.

    Made before the first reading, so that a change right after it is noticed.
    """

    def __init__(self, source: SettingsSource, events: EventHub) -> None:
        self._source = source
        self._events = events
        self._stamp = self._look()
        self._take: Callable[[GatewaySettings], None] | None = None
        self._task: asyncio.Task[None] | None = None

    def start(self, take: Callable[[GatewaySettings], None]) -> None:
        """Begin to look; ``take`` receives settings that were read again."""
        self._take = take
        self._task = asyncio.create_task(self._look_forever())

    async def stop(self) -> None:
        """Stop looking."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def reload(self) -> None:
        """Read the settings; a file that can't be used changes nothing."""
        self._stamp = self._look()
        problem = ""
        try:
            settings = self._source.read()
        except (OSError, ValueError) as error:
            problem = str(error)
        else:
            if self._take is not None:
                self._take(settings)
        self._events.emit(SettingsReloaded(problem))

    async def _look_forever(self) -> None:
        while True:
            await asyncio.sleep(_LOOK_S)
            if self._look() != self._stamp:
                self.reload()

    def _look(self) -> object:
        try:
            return self._source.stamp()
        except OSError as error:
            # Reported by the reload that a changed stamp leads to.
            return str(error)
