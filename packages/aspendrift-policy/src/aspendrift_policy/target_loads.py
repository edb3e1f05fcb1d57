"""Finds the loaded targets of a pool from load reports that all daemons received.

Load it answers: many daemons before many targets, each of which a daemon sees less than
once in ten seconds, so that its own load reports are too old for its next request. One
daemon collects samples of loaded targets and names these to all others. A target that
isn't named is below the bound.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from math import isqrt
from typing import Final

from aspendrift_model.ids import DaemonId
from aspendrift_model.load_reports import LoadReport
from aspendrift_model.target_entries import TargetKey

__all__ = [
    "LOADED_SHARE",
    "LoadTracker",
    "ObservedLoad",
    "RelayGroup",
    "is_loaded",
    "list_interval_s",
    "max_listed",
    "relay_groups",
    "sample_interval_s",
]

# Share of its slots in use above which a target counts as loaded. The rest is for work
# that has its prompt cached there, until the next message.
LOADED_SHARE: Final = 0.75
# A loaded target gets little work and so few reports. Without one for this long, about
# the time of a stream, it counts as free again.
_MAX_SAMPLE_AGE_S: Final = 1.0
# Messages of samples that the owner of a pool receives in a second from all daemons
# together, about 100 bytes each.
_SAMPLES_PER_S: Final = 64.0
_MIN_SAMPLE_INTERVAL_S: Final = 0.25
# Bytes that the owner sends at once to all relays together, and about what one target
# and the name of one daemon take.
_ROUND_BYTES: Final = 8192
# Lists are sent at this interval, or at a longer one if they take many bytes; they are
# valid for 1.5 s.
_MIN_LIST_INTERVAL_S: Final = 0.5
_MAX_LIST_INTERVAL_S: Final = 1.0
_LIST_BYTES_PER_S: Final = 8192.0
_TARGET_BYTES: Final = 32
_DAEMON_BYTES: Final = 12
_MIN_LISTED: Final = 4
_MAX_LISTED: Final = 32


@dataclass(frozen=True, slots=True)
class ObservedLoad:
    """A load report, and the monotonic time at which it was received."""

    report: LoadReport
    observed_at: float

    @property
    def share(self) -> float:
        """Requests at the target over its slots."""
        return self.report.n_requests / max(1, self.report.n_slots)


@dataclass(frozen=True, slots=True)
class RelayGroup:
    """A daemon that gets a message, and those that it passes the message on to."""

    relay: DaemonId
    others: tuple[DaemonId, ...]


class LoadTracker:
    """Samples of loaded targets of one pool, at the pool's owner."""

    def __init__(self) -> None:
        self._load_by_key: dict[TargetKey, ObservedLoad] = {}

    def record(self, key: TargetKey, load: ObservedLoad) -> None:
        """Record a sample, unless a later one is known."""
        known = self._load_by_key.get(key)
        if known is None or load.observed_at >= known.observed_at:
            self._load_by_key[key] = load

    def loaded(self, now: float) -> dict[TargetKey, ObservedLoad]:
        """Return the targets that are loaded now, the most loaded first."""
        for key, load in list(self._load_by_key.items()):
            if now - load.observed_at > _MAX_SAMPLE_AGE_S:
                del self._load_by_key[key]
        found = [
            each for each in self._load_by_key.items() if is_loaded(each[1].report)
        ]
        return dict(sorted(found, key=lambda each: (-each[1].share, each[0])))


def is_loaded(report: LoadReport) -> bool:
    """Return whether a target has requests waiting or most of its slots in use."""
    return report.n_waiting > 0 or report.n_running > LOADED_SHARE * report.n_slots


def sample_interval_s(n_daemons: int) -> float:
    """Return the shortest time between two messages of samples of one daemon."""
    return max(_MIN_SAMPLE_INTERVAL_S, n_daemons / _SAMPLES_PER_S)


def list_interval_s(n_bytes: int) -> float:
    """Return the time until the next list, after one of this many bytes in all."""
    return min(
        _MAX_LIST_INTERVAL_S, max(_MIN_LIST_INTERVAL_S, n_bytes / _LIST_BYTES_PER_S)
    )


def max_listed(n_daemons: int) -> int:
    """Return the number of targets that the owner may name to all daemons at once."""
    n_groups = max(1, isqrt(n_daemons))
    message_bytes = _ROUND_BYTES // n_groups - _DAEMON_BYTES * n_daemons // n_groups
    return min(_MAX_LISTED, max(_MIN_LISTED, message_bytes // _TARGET_BYTES))


def relay_groups(
    daemon_ids: Sequence[DaemonId], rng: random.Random
) -> tuple[RelayGroup, ...]:
    """Divide daemons into about as many groups as each group has members.

    The groups are drawn anew for each message, so that a daemon behind a relay that
    fails misses one message and not all.
    """
    shuffled = rng.sample(daemon_ids, len(daemon_ids))
    n_groups = isqrt(len(shuffled))
    groups = [shuffled[number::n_groups] for number in range(n_groups)]
    return tuple(RelayGroup(group[0], tuple(group[1:])) for group in groups)
