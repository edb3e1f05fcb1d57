"""Reloads the settings when their file changes or a signal requests it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final, Protocol

from aspendrift_daemon.events import EventHub
from aspendrift_gateway.events import SettingsReloaded
from aspendrift_gateway.settings import GatewaySettings

__all__ = ["SettingsSource", "SettingsWatch"]

# A poll costs one system call. Operators expect a change to be in force within 2 s,
# as for a configuration.
_POLL_INTERVAL_S: Final = 1.0


class SettingsSource(Protocol):
    """Source of the settings of this process."""

    def change_token(self) -> object:
        """Return a value that changes with the settings; OSError if missing."""

    def read(self) -> GatewaySettings:
        """Read the settings; OSError or ValueError if they can't be used."""


class SettingsWatch:
    """Reads the settings again when their change token changes, or on request.

    Create it before the settings are first read, so that a change right after that
    read is detected.
    """

    def __init__(self, source: SettingsSource, events: EventHub) -> None:
        self._source = source
        self._events = events
        self._change_token = self._read_change_token()
        self._apply: Callable[[GatewaySettings], None] | None = None
        self._task: asyncio.Task[None] | None = None

    def start(self, apply: Callable[[GatewaySettings], None]) -> None:
        """Start polling; ``apply`` receives settings that were read again."""
        self._apply = apply
        self._task = asyncio.create_task(self._poll_forever())

    async def stop(self) -> None:
        """Stop polling."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def reload(self) -> None:
        """Read and apply the settings; an unusable file changes nothing."""
        self._change_token = self._read_change_token()
        problem = ""
        try:
            settings = self._source.read()
        except (OSError, ValueError) as error:
            problem = str(error)
        else:
            if self._apply is not None:
                self._apply(settings)
        self._events.emit(SettingsReloaded(problem))

    async def _poll_forever(self) -> None:
        while True:
            await asyncio.sleep(_POLL_INTERVAL_S)
            if self._read_change_token() != self._change_token:
                self.reload()

    def _read_change_token(self) -> object:
        try:
            return self._source.change_token()
        except OSError as error:
            # Reported by the reload that the changed token causes.
            return str(error)
