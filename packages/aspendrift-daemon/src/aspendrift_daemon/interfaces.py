"""Protocols of the platform's services and of the parts of the daemon."""

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
        """Return seconds since the epoch; for records, never for decisions."""


@dataclass(frozen=True, slots=True)
class RowsRead:
    """Rows as they were at one moment."""

    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The service did not answer, or refused because of its rate."""

    detail: str
    over_rate: bool = False


@dataclass(frozen=True, slots=True)
class Committed:
    """The transaction took effect."""

    version: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """The transaction had no effect; rows whose condition failed."""

    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class NotWritten:
    """The transaction certainly had no effect: it was refused or never sent."""

    detail: str
    over_rate: bool = False


@dataclass(frozen=True, slots=True)
class WriteUnknown:
    """The transaction may or may not have taken effect, now or later."""

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
        """Commit writes together if every condition holds."""


class MembershipList(Protocol):
    """The platform's lagging list of hosts."""

    async def hosts(self) -> tuple[HostEntry, ...] | StoreUnavailable:
        """Return the hosts that the platform lists."""


Topic: TypeAlias = str
MessageHandler: TypeAlias = Callable[[DaemonId, bytes], None]


class PeerBus(Protocol):
    """Messages between daemons."""

    def subscribe(self, topic: Topic, handler: MessageHandler) -> None:
        """Call a handler with the origin and payload of each message of a topic."""

    def broadcast(self, topic: Topic, payload: bytes) -> None:
        """Push a payload to every daemon in view, each at most once, best effort."""

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
