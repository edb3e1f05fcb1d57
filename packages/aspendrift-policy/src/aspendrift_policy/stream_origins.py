"""Origins of streams: the software version of the target that sent the first event.

Another software version can't continue a stream. A caller takes up an interrupted one
at any daemon, so each origin is held by a few daemons besides the one that served it.
Where no holder is left, the software versions that a pool had in the meantime may still
leave only one possibility.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

from aspendrift_model.ids import AttemptId, DaemonId, SoftwareVersion
from aspendrift_policy.owner_choice import owners_in_order

__all__ = [
    "N_HOLDERS",
    "N_QUERIED",
    "OriginInquiry",
    "OriginSource",
    "StreamOrigin",
    "StreamOrigins",
    "VersionHistory",
    "holders",
]

# Daemons that hold an origin besides the one that served the stream: with most of
# them killed at the same moment, one is likely to be left.
N_HOLDERS: Final = 3
# Daemons that are asked: holders stay among them if a daemon joined meanwhile.
N_QUERIED: Final = 4
# Longer than any caller waits for its answer.
_LIFETIME_S: Final = 60.0
_MAX_ORIGINS: Final = 16384


class OriginSource(Enum):
    """How the origin of a stream became known."""

    OWN = "own"
    HOLDER = "holder"
    HISTORY = "history"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class VersionHistory:
    """Software versions that a pool had in some time up to now.

    ``is_complete`` if the pool was observed throughout that time.
    """

    versions: frozenset[SoftwareVersion]
    is_complete: bool


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The software version that began a stream, None if it is unknown."""

    software: SoftwareVersion | None
    source: OriginSource


def holders(
    attempt_id: AttemptId, daemon_ids: Iterable[DaemonId], n_holders: int
) -> Sequence[DaemonId]:
    """Return the daemons that hold the origin of a stream, by rendezvous hashing."""
    return owners_in_order(attempt_id, daemon_ids)[:n_holders]


class StreamOrigins:
    """Origins held by one daemon, for a bounded time and number."""

    def __init__(self) -> None:
        self._by_id: OrderedDict[AttemptId, tuple[SoftwareVersion, float]] = (
            OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._by_id)

    def record(
        self, attempt_id: AttemptId, software: SoftwareVersion, now: float
    ) -> None:
        """Hold an origin; the first one recorded for an attempt stays."""
        if attempt_id in self._by_id:
            return
        self._by_id[attempt_id] = (software, now + _LIFETIME_S)
        while self._by_id:
            _, until = next(iter(self._by_id.values()))
            if until > now and len(self._by_id) <= _MAX_ORIGINS:
                return
            self._by_id.popitem(last=False)

    def software(self, attempt_id: AttemptId, now: float) -> SoftwareVersion | None:
        """Return the software version that began a stream, None if it isn't held."""
        found = self._by_id.get(attempt_id)
        return found[0] if found is not None and found[1] > now else None


@dataclass(slots=True)
class OriginInquiry:
    """Answers of daemons about the origin of one stream.

    Parameters
    ----------
    n_awaited : int
        Number of daemons that were asked and have not answered.
    """

    n_awaited: int
    _recorded: SoftwareVersion | None = None
    _histories: list[VersionHistory] = field(default_factory=list)

    def answered(
        self, software: SoftwareVersion | None, history: VersionHistory
    ) -> None:
        """Take the answer of a daemon: what it holds, and the history it observed."""
        self.n_awaited -= 1
        self._histories.append(history)
        if software is not None:
            self._recorded = software

    @property
    def is_settled(self) -> bool:
        """Whether no further answer matters."""
        return self._recorded is not None or self.n_awaited <= 0

    def result(self, own: VersionHistory) -> StreamOrigin:
        """Return what is known now.

        Without a record the version is certain only if no daemon knows of another one
        and one of them observed the pool throughout.

        Parameters
        ----------
        own : VersionHistory
            History of the pool as this daemon observed it; up to the present, if the
            version is concluded from histories.
        """
        if self._recorded is not None:
            return StreamOrigin(self._recorded, OriginSource.HOLDER)
        histories = [own, *self._histories]
        versions = frozenset[SoftwareVersion]().union(
            *(each.versions for each in histories)
        )
        if len(versions) == 1 and any(each.is_complete for each in histories):
            return StreamOrigin(next(iter(versions)), OriginSource.HISTORY)
        return StreamOrigin(None, OriginSource.UNKNOWN)
