"""Daemons that keep the limits of targets together, in virtual time, with faults.

Each daemon has its own view of the others, which follows the faults with a delay that
differs between daemons. Its decisions are those of `aspendrift_policy.target_rates`;
equal fixed shares decide on the same requests beside them, for comparison.
"""

from __future__ import annotations

import heapq
import itertools
import random
from bisect import bisect_left
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Final

from aspendrift_model.ids import DaemonId, TargetId
from aspendrift_model.target_entries import TargetKey
from aspendrift_policy.target_rates import (
    IssuedPermit,
    RateLimit,
    RateOwner,
    owner_of,
)

__all__ = ["Load", "RateResult", "RateWorld", "largest_sum"]

_LATENCY_S: Final = (0.001, 0.006)
_ANSWER_TIMEOUT_S: Final = 0.05
_SILENT_OWNER_S: Final = 0.5
_STEP_S: Final = 0.1
# Time until a daemon notices that another one stopped, is back, or is new.
_DETECTION_S: Final = (0.5, 2.5)
_GOSSIP_S: Final = (0.1, 1.5)
# A daemon that starts knows the list of members after this time.
_LIST_READ_S: Final = 0.3
# Dead daemons are removed from the list of members after this time.
_REMOVED_AFTER_S: Final = 15.0
_MAX_TRIED: Final = 2


@dataclass(frozen=True, slots=True)
class Load:
    """Load of a run.

    Parameters
    ----------
    requests_per_s : float
        Requests of all daemons together.
    waits_share : float
        Share of the requests that wait for a permit, up to ``max_wait_s``.
    """

    n_daemons: int
    n_targets: int
    requests_per_s: float
    run_s: float
    waits_share: float = 0.5
    max_wait_s: float = 0.8


@dataclass(frozen=True, slots=True)
class RateResult:
    """Requests sent in a run.

    Parameters
    ----------
    largest : int
        Largest number that one target got in one window.
    used_share : float
        Mean rate over the rate that a target tolerates.
    queries_per_s : float
        Largest number of queries that one daemon got for one target, per second.
    """

    largest: int
    used_share: float
    queries_per_s: float = 0.0


def largest_sum(times: Sequence[float], window_s: float) -> int:
    """Return the largest number of times within any window."""
    ordered = sorted(times)
    return max(
        (
            bisect_left(ordered, at + window_s) - index
            for index, at in enumerate(ordered)
        ),
        default=0,
    )


@dataclass(slots=True)
class _Daemon:
    daemon_id: DaemonId
    rates: RateOwner
    live: set[DaemonId]
    members: set[DaemonId]
    group: int = 0
    is_killed: bool = False
    frozen_until: float = 0.0
    refused_until: dict[TargetKey, float] = field(default_factory=dict)
    silent_until: dict[DaemonId, float] = field(default_factory=dict)
    share_tokens: dict[TargetKey, tuple[float, float]] = field(default_factory=dict)
    n_queries: dict[tuple[TargetKey, int], int] = field(default_factory=dict)


class RateWorld:
    """One run: daemons, targets, requests and faults.

    Parameters
    ----------
    limit : RateLimit
        Limit of every target from the start, as all daemons know it.
    tolerated_per_s : float
        Requests per second that a target tolerates.
    """

    def __init__(
        self,
        load: Load,
        limit: RateLimit,
        tolerated_per_s: float,
        rng: random.Random,
    ) -> None:
        self.load = load
        self.now = 0.0
        self._limit = limit
        self._tolerated_per_s = tolerated_per_s
        self._rng = rng
        self._sequence = itertools.count()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self.targets = [
            TargetKey(TargetId(f"t{number}"), 1) for number in range(load.n_targets)
        ]
        self.sent_by_target: dict[TargetKey, list[float]] = {
            key: [] for key in self.targets
        }
        self.shares_by_target: dict[TargetKey, list[float]] = {
            key: [] for key in self.targets
        }
        self.daemons_by_id: dict[DaemonId, _Daemon] = {}
        ids = [DaemonId(f"d{number}") for number in range(load.n_daemons)]
        for daemon_id in ids:
            self._add(daemon_id, set(ids))
        self._at(0.0, self._request)

    def run(self) -> None:
        """Run all events until the end of the run."""
        while self._queue and self._queue[0][0] <= self.load.run_s:
            self.now, _, action = heapq.heappop(self._queue)
            action()

    def result(self, window_s: float) -> RateResult:
        """Return what the permits of the owners gave."""
        most = max(
            (
                count
                for each in self.daemons_by_id.values()
                for count in each.n_queries.values()
            ),
            default=0,
        )
        return self._result(self.sent_by_target, window_s, float(most))

    def shares_result(self, window_s: float) -> RateResult:
        """Return what equal fixed shares gave."""
        return self._result(self.shares_by_target, window_s, 0.0)

    def largest_after(self, window_s: float, since: float) -> int:
        """Return the largest sum of one target in any window after a time."""
        return max(
            largest_sum([at for at in times if at >= since], window_s)
            for times in self.sent_by_target.values()
        )

    # Faults.

    def at(self, time: float, fault: Callable[[], None]) -> None:
        """Schedule a fault."""
        self._at(time, fault)

    def owner(self, index: int = 0) -> DaemonId:
        """Return the daemon that owns a target for those that see all running ones."""
        running = [e.daemon_id for e in self.daemons_by_id.values() if not e.is_killed]
        found = owner_of(self.targets[index], running)
        assert found is not None
        return found

    def kill(self, daemon_id: DaemonId) -> None:
        """Kill a daemon; its row is removed some time later."""
        self.daemons_by_id[daemon_id].is_killed = True
        self._spread(daemon_id, _DETECTION_S, lambda each: each.live.discard(daemon_id))
        self._at(self.now + _REMOVED_AFTER_S, lambda: self._remove(daemon_id))

    def freeze(self, daemon_id: DaemonId, for_s: float) -> None:
        """Suspend a daemon; its messages and timers run when it continues."""
        daemon = self.daemons_by_id[daemon_id]
        daemon.frozen_until = self.now + for_s
        if for_s > _DETECTION_S[0]:
            self._spread(
                daemon_id, _DETECTION_S, lambda each: each.live.discard(daemon_id)
            )
            thawed = self.now + for_s + _DETECTION_S[1]
            self._at(
                thawed,
                lambda: self._spread(
                    daemon_id, _GOSSIP_S, lambda each: each.live.add(daemon_id)
                ),
            )

    def cut(self, groups: Sequence[Iterable[DaemonId]]) -> None:
        """Cut groups of daemons off from each other and all others."""
        for number, group in enumerate(groups, 1):
            for daemon_id in group:
                self.daemons_by_id[daemon_id].group = number
        self._notice_groups()

    def heal(self) -> None:
        """End all cuts."""
        for daemon in self.daemons_by_id.values():
            daemon.group = 0
        self._notice_groups()

    def join(self, name: str) -> None:
        """Start a daemon that no other one knows yet."""
        daemon_id = DaemonId(name)
        others = [e for e in self.daemons_by_id.values() if not e.is_killed]
        daemon = self._add(daemon_id, {daemon_id})

        def read_list() -> None:
            daemon.members |= {each.daemon_id for each in others}

        self._at(self.now + _LIST_READ_S, read_list)
        for other in others:
            self._later(daemon, _GOSSIP_S, self._met(daemon, other))
            self._later(other, _GOSSIP_S, self._met(other, daemon))

    # The daemons.

    def _add(self, daemon_id: DaemonId, known: set[DaemonId]) -> _Daemon:
        rates = RateOwner(daemon_id, self.now)
        daemon = _Daemon(daemon_id, rates, set(known), set(known))
        for key in self.targets:
            daemon.share_tokens[key] = (self._rng.random(), self.now)
        self.daemons_by_id[daemon_id] = daemon
        self._step(daemon)
        return daemon

    def _step(self, daemon: _Daemon) -> None:
        live = daemon.live | {daemon.daemon_id}
        daemon.rates.step(live, len(live), len(daemon.members), self.now)
        self._on(daemon, self.now + _STEP_S, lambda: self._step(daemon))

    def _request(self) -> None:
        """Let a random daemon serve a request, at one of a few targets."""
        gap_s = self._rng.expovariate(self.load.requests_per_s)
        self._at(self.now + gap_s, self._request)
        daemon = self._rng.choice(list(self.daemons_by_id.values()))
        if daemon.is_killed or daemon.frozen_until > self.now:
            return
        tried = self._rng.sample(self.targets, min(_MAX_TRIED, len(self.targets)))
        waits = self._rng.random() < self.load.waits_share
        self._try_shares(daemon, tried)
        self._try_permits(daemon, tried, self.load.max_wait_s if waits else 0.0)

    def _try_shares(self, daemon: _Daemon, tried: Sequence[TargetKey]) -> None:
        rate = self._tolerated_per_s / max(1, len(daemon.live | {daemon.daemon_id}))
        for key in tried:
            tokens, at = daemon.share_tokens[key]
            tokens = min(1.0, tokens + (self.now - at) * rate)
            is_sent = tokens >= 1.0
            daemon.share_tokens[key] = (tokens - is_sent, self.now)
            if is_sent:
                self.shares_by_target[key].append(self.now)
                return

    def _try_permits(
        self, daemon: _Daemon, tried: Sequence[TargetKey], max_wait_s: float
    ) -> None:
        """Ask the owner of the first target, and go on with the next without it."""
        if not tried:
            return
        key, *others = tried
        owner_id = owner_of(key, daemon.live | {daemon.daemon_id})
        assert owner_id is not None
        is_refused = daemon.refused_until.get(key, 0.0) > self.now + max_wait_s
        if is_refused or daemon.silent_until.get(owner_id, 0.0) > self.now:
            self._try_permits(daemon, others, max_wait_s)
            return
        asked_at = self.now
        is_open = [True]

        def give_up() -> None:
            if is_open[0]:
                is_open[0] = False
                daemon.silent_until[owner_id] = self.now + _SILENT_OWNER_S
                self._try_permits(daemon, others, max_wait_s)

        self._on(daemon, self.now + _ANSWER_TIMEOUT_S, give_up)
        owner = self.daemons_by_id[owner_id]

        def answered(found: object) -> None:
            if isinstance(found, IssuedPermit):
                if not is_open[0]:
                    self._message(
                        daemon,
                        owner,
                        lambda: owner.rates.take_back(found.number, self.now),
                    )
                    return
                until = asked_at + found.wait_s + found.valid_s
                self._on(
                    daemon,
                    self.now + found.wait_s,
                    lambda: self._use(daemon, owner, key, found.number, until),
                )
            elif is_open[0]:
                daemon.refused_until[key] = self.now + getattr(found, "retry_s", 0.0)
                self._try_permits(daemon, others, max_wait_s)
            is_open[0] = False

        def query() -> None:
            second = (key, int(self.now))
            owner.n_queries[second] = owner.n_queries.get(second, 0) + 1
            found = owner.rates.request(
                key,
                self._limit.interval_s,
                self._limit.window_s,
                max_wait_s,
                self.now,
            )
            self._message(owner, daemon, lambda: answered(found))

        self._message(daemon, owner, query)

    def _use(
        self,
        daemon: _Daemon,
        owner: _Daemon,
        key: TargetKey,
        number: int,
        until: float,
    ) -> None:
        """Send a request, unless a freeze outlasted its permit."""
        if self.now < until:
            self.sent_by_target[key].append(self.now)
            return
        self._message(daemon, owner, lambda: owner.rates.take_back(number, self.now))

    # Messages, views and time.

    def _message(
        self, sender: _Daemon, receiver: _Daemon, action: Callable[[], None]
    ) -> None:
        if sender is receiver:
            action()
        elif sender.group == receiver.group:
            self._later(receiver, _LATENCY_S, action)

    def _met(self, daemon: _Daemon, other: _Daemon) -> Callable[[], None]:
        def met() -> None:
            daemon.members.add(other.daemon_id)
            daemon.live.add(other.daemon_id)

        return met

    def _notice_groups(self) -> None:
        daemons = list(self.daemons_by_id.values())
        for first, second in itertools.permutations(daemons, 2):
            self._later(first, _DETECTION_S, self._noticed(first, second))

    def _noticed(self, daemon: _Daemon, other: _Daemon) -> Callable[[], None]:
        def noticed() -> None:
            if daemon.group != other.group or other.is_killed:
                daemon.live.discard(other.daemon_id)
            elif other.daemon_id in daemon.members:
                daemon.live.add(other.daemon_id)

        return noticed

    def _remove(self, daemon_id: DaemonId) -> None:
        self._spread(daemon_id, _GOSSIP_S, lambda each: each.members.discard(daemon_id))

    def _spread(
        self,
        about: DaemonId,
        within_s: tuple[float, float],
        change: Callable[[_Daemon], None],
    ) -> None:
        """Change what each other daemon knows, each after its own delay."""
        for daemon in self.daemons_by_id.values():
            if daemon.daemon_id != about:
                self._later(daemon, within_s, lambda each=daemon: change(each))

    def _later(
        self,
        daemon: _Daemon,
        within_s: tuple[float, float],
        action: Callable[[], None],
    ) -> None:
        self._on(daemon, self.now + self._rng.uniform(*within_s), action)

    def _on(self, daemon: _Daemon, time: float, action: Callable[[], None]) -> None:
        """Run an action at a daemon, later if it is suspended, never if killed."""

        def run() -> None:
            if daemon.is_killed:
                return
            if daemon.frozen_until > self.now:
                self._at(daemon.frozen_until, run)
                return
            action()

        self._at(time, run)

    def _at(self, time: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (time, next(self._sequence), action))

    def _result(
        self,
        times_by_target: dict[TargetKey, list[float]],
        window_s: float,
        queries_per_s: float,
    ) -> RateResult:
        n_sent = sum(len(times) for times in times_by_target.values())
        n_tolerated = self._tolerated_per_s * self.load.run_s * len(times_by_target)
        largest = max(largest_sum(each, window_s) for each in times_by_target.values())
        return RateResult(largest, n_sent / n_tolerated, queries_per_s)
