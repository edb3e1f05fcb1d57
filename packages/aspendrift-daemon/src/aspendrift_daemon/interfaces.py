"""Protocols of the platform's services and of the daemon's components."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol, TypeAlias

from aspendrift_model.configuration import Configuration
from aspendrift_model.hosts import Host
from aspendrift_model.ids import DaemonId
from aspendrift_model.states import MemberState
from aspendrift_model.wire_platform import Condition, HostEntry, Row, Write

__all__ = [
    "Clock",
    "Committed",
    "ConfigurationSource",
    "Conflict",
    "MembershipList",
    "MessageHandler",
    "NotWritten",
    "PeerBus",
    "RowsRead",
    "StoreUnavailable",
    "TableService",
    "Topic",
    "TransactResult",
    "WriteUnknown",
]


class Clock(Protocol):
    """The clocks of the process."""

    def monotonic(self) -> float:
        """Return seconds on the monotonic clock."""

    def unix(self) -> float:
        """Return seconds since the epoch; for timestamps, never for decisions."""


@dataclass(frozen=True, slots=True)
class RowsRead:
    """Rows as they were at one point in time."""

    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The service did not answer, or refused the call by its rate limit."""

    detail: str
    over_rate: bool = False


@dataclass(frozen=True, slots=True)
class Committed:
    """The transaction took effect."""

    version: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """The transaction had no effect; ``rows`` are those whose condition failed."""

    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class NotWritten:
    """The transaction is known to have had no effect: it was refused or not sent."""

    detail: str
    over_rate: bool = False


@dataclass(frozen=True, slots=True)
class WriteUnknown:
    """The transaction may have taken effect, or may still do so."""

    detail: str


TransactResult: TypeAlias = Committed | Conflict | NotWritten | WriteUnknown


class TableService(Protocol):
    """The platform's transactional table."""

    async def read(self, keys: Sequence[str]) -> RowsRead | StoreUnavailable:
        """Read rows by key; absent rows have version 0."""

    async def scan(
        self, prefix: str, after: str = "", limit: int = 500
    ) -> RowsRead | StoreUnavailable:
        """Read rows by key prefix, sorted, after a key."""

    async def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> TransactResult:
        """Commit the writes atomically if every condition holds."""


class MembershipList(Protocol):
    """The platform's list of hosts, which may be out of date."""

    async def hosts(self) -> tuple[HostEntry, ...] | StoreUnavailable:
        """Return the hosts that the platform lists."""


Topic: TypeAlias = str
MessageHandler: TypeAlias = Callable[[DaemonId, bytes], None]


class PeerBus(Protocol):
    """Messages between daemons."""

    def subscribe(self, topic: Topic, handler: MessageHandler) -> None:
        """Call a handler with the origin and payload of each message of a topic."""

    def broadcast(self, topic: Topic, payload: bytes) -> None:
        """Push a payload to every daemon in view at most once, best effort."""

    def send(self, daemon_id: DaemonId, topic: Topic, payload: bytes) -> None:
        """Send a payload to one daemon, best effort."""

    def members(self) -> Sequence[tuple[Host, MemberState]]:
        """Return every known daemon, this one included."""


class ConfigurationSource(Protocol):
    """The configuration in force at this daemon."""

    def current(self) -> Configuration:
        """Return the configuration in force."""

    def on_change(self, listener: Callable[[Configuration], None]) -> None:
        """Call a listener after each newer revision is applied."""
