"""Decides whether a daemon lost its links to all targets, and which others did.

Load it answers: a host that callers, store and other hosts reach, but that reaches no
target. To each request that looks like one target that is down. A daemon that hears
from no target therefore probes a few of them. If all are out of reach, it says so to
the other daemons and leaves the requests to them. A crash of all targets looks the
same, and the other daemons then find it out by themselves.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from typing import Final

from aspendrift_model.ids import DaemonId, PoolName
from aspendrift_model.target_entries import TargetEntry

__all__ = [
    "LinkHealth",
    "PeersWithoutLinks",
    "choose_probes",
    "report_interval_s",
    "without_links",
]

# A target answers a stage call or a short request within this time.
_SILENCE_S: Final = 0.5
_PROBE_INTERVAL_S: Final = 0.5
_MAX_PROBES: Final = 5
# Reports of one daemon to all others: the minimum interval, and the messages a second
# that bound it among hundreds of daemons.
_MIN_REPORT_INTERVAL_S: Final = 1.0
_REPORTS_PER_S: Final = 100.0
# A report holds for this many intervals, since some are lost.
_VALID_INTERVALS: Final = 3.0


def choose_probes(
    entries: Sequence[TargetEntry], rng: random.Random
) -> list[TargetEntry]:
    """Return targets to probe, of as many pools as possible; the first decides alone.

    Only if the first one can't be reached, the others are probed as well.
    """
    by_pool: dict[PoolName, list[TargetEntry]] = {}
    for entry in rng.sample(entries, len(entries)):
        by_pool.setdefault(entry.pool, []).append(entry)
    chosen: list[TargetEntry] = []
    while by_pool and len(chosen) < _MAX_PROBES:
        for pool in list(by_pool):
            chosen.append(by_pool[pool].pop())
            if not by_pool[pool]:
                del by_pool[pool]
    return chosen[:_MAX_PROBES]


def report_interval_s(n_daemons: int) -> float:
    """Return how often a daemon says that its links are lost."""
    return max(_MIN_REPORT_INTERVAL_S, n_daemons / _REPORTS_PER_S)


class LinkHealth:
    """Whether this daemon reaches any target, from its exchanges and from probes."""

    def __init__(self) -> None:
        self.is_lost = False
        self._unanswered_since: float | None = None
        self._has_failure = False
        self._is_probing = False
        self._probed_at = float("-inf")

    def sent(self, now: float) -> None:
        """Record that something was sent to a target."""
        if self._unanswered_since is None:
            self._unanswered_since = now

    def received(self, now: float) -> None:
        """Record that a target answered."""
        self._unanswered_since = None
        self._has_failure = False

    def failed(self, now: float) -> None:
        """Record that a connection to a target failed."""
        self._has_failure = True

    def silent_s(self, now: float) -> float:
        """Return for how long no target has answered what was sent, in seconds."""
        return 0.0 if self._unanswered_since is None else now - self._unanswered_since

    def is_probe_due(self, now: float) -> bool:
        """Return whether to probe targets now."""
        if self._is_probing or now - self._probed_at < _PROBE_INTERVAL_S:
            return False
        return self.is_lost or self._has_failure or self.silent_s(now) >= _SILENCE_S

    def probe_began(self, now: float) -> None:
        """Record that targets are being probed."""
        self._is_probing = True
        self._probed_at = now

    def probe_ended(self, is_reached: bool, now: float) -> bool:
        """Record whether any target was reached; return whether that is a change."""
        self._is_probing = False
        was_lost = self.is_lost
        self.is_lost = not is_reached
        if is_reached:
            self.received(now)
        return was_lost is not self.is_lost


class PeersWithoutLinks:
    """Other daemons that said that they lost their links to all targets."""

    def __init__(self) -> None:
        self._until_by_id: dict[DaemonId, float] = {}

    def reported(
        self, daemon_id: DaemonId, is_lost: bool, n_daemons: int, now: float
    ) -> bool:
        """Record what a daemon says of its links; return whether that is a change."""
        was_lost = self._until_by_id.pop(daemon_id, float("-inf")) > now
        if is_lost:
            self._until_by_id[daemon_id] = now + _VALID_INTERVALS * report_interval_s(
                n_daemons
            )
        return was_lost is not is_lost

    def lost(self, now: float) -> frozenset[DaemonId]:
        """Return the daemons whose links are lost, as of their last reports."""
        if not self._until_by_id:
            return frozenset()
        return frozenset(each for each, at in self._until_by_id.items() if at > now)


def without_links(
    lost: frozenset[DaemonId], live_ids: Iterable[DaemonId]
) -> frozenset[DaemonId]:
    """Return the daemons to leave out; none if no live daemon has links."""
    return lost if any(each not in lost for each in live_ids) else frozenset()
