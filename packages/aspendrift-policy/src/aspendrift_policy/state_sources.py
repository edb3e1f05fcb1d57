"""Decides which daemons read the store and from whom the others get its state.

Load it answers: hundreds of daemons before one store whose reads are limited and
priced. A few readers, chosen by rendezvous hashing over the live members, follow the
store. Every other daemon asks one of them at short intervals, and is sent changes as
soon as that one sees them. A source that does not answer, or whose own state is old,
is replaced, and the store is read directly for that interval, so that no daemon
depends on another one for longer.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Final, TypeAlias

import xxhash

from aspendrift_model.hosts import HostCapacity
from aspendrift_model.ids import DaemonId, PoolName
from aspendrift_policy.owner_choice import (
    NO_CAPACITIES,
    HostDemand,
    carriers_in_order,
)

__all__ = [
    "QuerySource",
    "ReadStore",
    "SourceAges",
    "SourceFailure",
    "SourceStep",
    "SourceTimes",
    "StateFollower",
    "n_readers",
    "readers_in_order",
    "sources_in_order",
]

_READERS: Final = PoolName("state-readers")
_MIN_READERS: Final = 2
# Bounds the queries that one reader answers in an interval.
_MAX_FOLLOWERS_PER_READER: Final = 40
# A daemon that replaced the readers as source is given up for them after this time.
_READERS_RETRY_S: Final = 2.0
# What answering the queries of a follower takes: the bound on the control traffic of a
# daemon, and some messages a second.
_FOLLOWER_DEMAND: Final = HostDemand(cores=0.001, link_bits_per_s=90_000.0)
# Share of the query interval after which the next reader is asked when one is stale and
# the store can't be read: with a full interval each, 8 readers take 6 s.
_NEXT_READER_SHARE: Final = 0.25


def n_readers(n_daemons: int) -> int:
    """Return the number of daemons that follow the store."""
    return max(_MIN_READERS, -(-n_daemons // _MAX_FOLLOWERS_PER_READER))


def readers_in_order(
    daemon_ids: Sequence[DaemonId],
    capacity_by_id: Mapping[DaemonId, HostCapacity] = NO_CAPACITIES,
) -> list[DaemonId]:
    """Return the daemons that follow the store, in the same order at all daemons."""
    n_followers = min(len(daemon_ids), _MAX_FOLLOWERS_PER_READER)
    demand = HostDemand(
        n_followers * _FOLLOWER_DEMAND.cores,
        n_followers * _FOLLOWER_DEMAND.link_bits_per_s,
    )
    order = carriers_in_order(_READERS, daemon_ids, demand, capacity_by_id)
    return order[: n_readers(len(daemon_ids))]


def sources_in_order(
    own_id: DaemonId,
    daemon_ids: Sequence[DaemonId],
    capacity_by_id: Mapping[DaemonId, HostCapacity] = NO_CAPACITIES,
) -> tuple[list[DaemonId], int]:
    """Return the other daemons in order of preference, and the number of readers.

    The readers come first, in an order of each daemon's own so that their followers
    are spread evenly.
    """
    chosen = readers_in_order(daemon_ids, capacity_by_id)
    readers = [each for each in chosen if each != own_id]
    others = [each for each in daemon_ids if each != own_id and each not in readers]
    return _own_order(own_id, readers) + _own_order(own_id, others), len(readers)


def _own_order(own_id: DaemonId, ids: Iterable[DaemonId]) -> list[DaemonId]:
    return sorted(
        ids, key=lambda each: xxhash.xxh3_64_intdigest(f"{own_id}/{each}".encode())
    )


class SourceFailure(Enum):
    """Why a source was replaced."""

    SILENT = "silent"
    STALE = "stale"
    NO_EVACUATIONS = "no_evacuations"


@dataclass(frozen=True, slots=True)
class SourceTimes:
    """Times of a follower, in seconds.

    Parameters
    ----------
    interval_s : float
        Interval between queries.
    answer_timeout_s : float
        Time after which a query counts as unanswered.
    store_retry_s : float
        Interval between direct reads while the store does not answer.
    max_configuration_age_s, max_targets_age_s, max_evacuations_age_s : float
        Age from which the state of a source is too old. If a source tells no
        evacuations, the last applies to those that this daemon holds.
    """

    interval_s: float
    answer_timeout_s: float
    store_retry_s: float
    max_configuration_age_s: float
    max_targets_age_s: float
    max_evacuations_age_s: float


@dataclass(frozen=True, slots=True)
class SourceAges:
    """Ages of the state of a source, in seconds.

    Parameters
    ----------
    evacuations_s : float or None
        None if the source tells no evacuations.
    """

    configuration_s: float
    targets_s: float
    evacuations_s: float | None

    def failure(
        self, held_evacuations_s: float, times: SourceTimes
    ) -> SourceFailure | None:
        """Return why the source must be replaced; None if its state is recent.

        Load it answers: a fleet in which the readers are of a release that tells no
        evacuations. Its new daemons read the store themselves, though only when their
        own knowledge gets old, and not with each query.
        """
        if (
            self.configuration_s > times.max_configuration_age_s
            or self.targets_s > times.max_targets_age_s
        ):
            return SourceFailure.STALE
        max_age_s = times.max_evacuations_age_s
        if self.evacuations_s is not None:
            return SourceFailure.STALE if self.evacuations_s > max_age_s else None
        if held_evacuations_s > max_age_s:
            return SourceFailure.NO_EVACUATIONS
        return None


@dataclass(frozen=True, slots=True)
class QuerySource:
    """Ask a daemon for its state; ``number`` identifies the query."""

    daemon_id: DaemonId
    number: int


@dataclass(frozen=True, slots=True)
class ReadStore:
    """Read the store, since ``source_id`` failed; None if there is no other daemon."""

    source_id: DaemonId | None
    failure: SourceFailure | None


SourceStep: TypeAlias = QuerySource | ReadStore


class StateFollower:
    """Chooses the source of a daemon that does not follow the store itself."""

    def __init__(self) -> None:
        self._index = 0
        self._other_index = -1
        self._number = 0
        self._asked_id: DaemonId | None = None
        self._asked_at = float("-inf")
        self._query_at = float("-inf")
        self._read_failed_at = float("-inf")
        self._left_readers_at = float("-inf")
        self._sources: list[DaemonId] = []
        self._n_readers = 0

    @property
    def source_id(self) -> DaemonId | None:
        """The daemon that is asked next; None if there is no other daemon."""
        if not self._sources:
            return None
        return self._sources[self._index % len(self._sources)]

    def set_members(
        self,
        own_id: DaemonId,
        daemon_ids: Sequence[DaemonId],
        capacity_by_id: Mapping[DaemonId, HostCapacity] = NO_CAPACITIES,
    ) -> None:
        """Set the live daemons; the current source is kept if it is still listed.

        Also one that replaced the readers: hosts come and go all the time when the
        store is in trouble, and readers that it turns away must not be asked again
        after each change. One that is no reader any more is replaced as usual.
        """
        before = self.source_id
        self._sources, self._n_readers = sources_in_order(
            own_id, daemon_ids, capacity_by_id
        )
        self._index = self._sources.index(before) if before in self._sources else 0

    def steps(self, now: float, times: SourceTimes) -> list[SourceStep]:
        """Return what is due: replacing a silent source, and the next query."""
        found: list[SourceStep] = []
        if self._asked_id is not None and now - self._asked_at > times.answer_timeout_s:
            found += self._replace(SourceFailure.SILENT, now, times)
        if now >= self._query_at:
            found += self._query(now, times)
        return found

    def answered(
        self,
        number: int,
        ages: SourceAges,
        held_evacuations_age_s: float,
        now: float,
        times: SourceTimes,
    ) -> tuple[float | None, list[SourceStep]]:
        """Handle an answer with the ages of the source's state.

        Return when the query was sent, or None if the answer does not belong to the
        open query, and what is due.
        """
        if number != self._number or self._asked_id is None:
            return None, []
        failure = ages.failure(held_evacuations_age_s, times)
        if failure is not None:
            return self._asked_at, self._replace(failure, now, times)
        self._asked_id = None
        return self._asked_at, []

    def query_at(self, at: float) -> None:
        """Make the next query due at a time."""
        self._query_at = at

    def read_failed(self, now: float) -> None:
        """Record that the store rejected a read; another source is asked at once."""
        self._read_failed_at = now
        self.query_at(now)

    def _query(self, now: float, times: SourceTimes) -> list[SourceStep]:
        self._query_at = now + times.interval_s
        if (
            self._index >= self._n_readers
            and now - self._left_readers_at > _READERS_RETRY_S
        ):
            self._index = 0
        source_id = self.source_id
        if source_id is None:
            return self._read(None, None, now, times)
        self._number += 1
        self._asked_id = source_id
        self._asked_at = now
        return [QuerySource(source_id, self._number)]

    def _replace(
        self, failure: SourceFailure, now: float, times: SourceTimes
    ) -> list[SourceStep]:
        failed_id, self._asked_id = self._asked_id, None
        if self._sources and failed_id == self.source_id:
            self._index = self._next_index(now)
        found = self._read(failed_id, failure, now, times)
        if not found and self._index < self._n_readers:
            # The store turns this daemon away, and probably some of the readers.
            next_at = now + times.interval_s * _NEXT_READER_SHARE
            self._query_at = min(self._query_at, next_at)
        return found

    def _next_index(self, now: float) -> int:
        """Return the next reader, then another daemon, then the first reader again.

        If another daemon fails as well, not only the readers are turned away.
        """
        if self._index + 1 < self._n_readers:
            return self._index + 1
        if self._index >= self._n_readers > 0:
            return 0
        if self._index < self._n_readers:
            self._left_readers_at = now
        n_others = len(self._sources) - self._n_readers
        if not n_others:
            return 0
        self._other_index = (self._other_index + 1) % n_others
        return self._n_readers + self._other_index

    def _read(
        self,
        source_id: DaemonId | None,
        failure: SourceFailure | None,
        now: float,
        times: SourceTimes,
    ) -> list[SourceStep]:
        if now - self._read_failed_at < times.store_retry_s:
            return []
        return [ReadStore(source_id, failure)]
