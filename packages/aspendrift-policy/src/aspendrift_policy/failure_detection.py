"""Finding members that do not answer: probes, helpers and suspicion.

Each member probes its neighbours on several rings, after the K rings of Rapid,
so that every member has the same number of observers. A neighbour that does
not acknowledge is probed through helpers, as in SWIM, before it is accused.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Final, TypeAlias

import xxhash

from aspendrift_model.ids import DaemonId
from aspendrift_model.states import MemberState
from aspendrift_policy.membership import Member, MemberView

__all__ = [
    "AskHelpers",
    "Outstanding",
    "ProbeAction",
    "ProbeMember",
    "ProbeTimes",
    "Prober",
    "SilentMember",
    "ring_neighbours",
]

_N_RINGS: Final = 16
_N_HELPERS: Final = 3
_PAUSE_INTERVALS: Final = 4.0
_HUNGRY_FACTOR: Final = 0.4


@dataclass(frozen=True, slots=True)
class ProbeTimes:
    """Intervals of probing, in seconds."""

    interval_s: float = 0.5
    timeout_s: float = 0.4
    suspicion_s: float = 3.0


@dataclass(frozen=True, slots=True)
class ProbeMember:
    """Send a probe."""

    daemon_id: DaemonId
    sequence: int


@dataclass(frozen=True, slots=True)
class AskHelpers:
    """Ask helpers to probe a member that did not answer directly."""

    daemon_id: DaemonId
    sequence: int
    helper_ids: tuple[DaemonId, ...]


@dataclass(frozen=True, slots=True)
class SilentMember:
    """Neither the member nor a helper answered: suspect it."""

    daemon_id: DaemonId


ProbeAction: TypeAlias = ProbeMember | AskHelpers | SilentMember


@dataclass(frozen=True, slots=True)
class Outstanding:
    """A probe that has not been acknowledged.

    ``requester`` is the member on whose behalf a helper probes, and
    ``requester_sequence`` the number of its own probe.
    """

    daemon_id: DaemonId
    sent_at: float
    is_indirect: bool = False
    requester: DaemonId | None = None
    requester_sequence: int = 0


class Prober:
    """Decides whom to probe and when to suspect."""

    def __init__(self, times: ProbeTimes, n_helpers: int = _N_HELPERS) -> None:
        self._times = times
        self._n_helpers = n_helpers
        self._sequence = 0
        self._round: list[DaemonId] = []
        self._outstanding_by_sequence: dict[int, Outstanding] = {}
        self._next_probe_at = 0.0
        self._ticked_at: float | None = None
        self._searched: tuple[Member, ...] = ()
        self._suspects: list[Member] = []

    def tick(
        self, view: MemberView, now: float, rng: random.Random, hungry: bool = False
    ) -> list[ProbeAction]:
        """Return what to do now, and end suspicions that were not refuted.

        A hungry member probes more often, for the news in the acknowledgements.
        """
        self._forget_after_pause(now)
        actions = self._expire(view, now, rng)
        self._end_suspicions(view, now)
        if now >= self._next_probe_at:
            interval_s = self._times.interval_s * (_HUNGRY_FACTOR if hungry else 1.0)
            self._next_probe_at = now + interval_s * rng.uniform(0.9, 1.1)
            actions += self._probe_next(view, now, rng)
        return actions

    def help_probe(
        self, daemon_id: DaemonId, requester: DaemonId, sequence: int, now: float
    ) -> ProbeMember:
        """Return a probe on behalf of another member."""
        return self._send(Outstanding(daemon_id, now, False, requester, sequence))

    def acknowledged(self, sequence: int) -> Outstanding | None:
        """Return the probe that an acknowledgement answers, once."""
        return self._outstanding_by_sequence.pop(sequence, None)

    def _forget_after_pause(self, now: float) -> None:
        before, self._ticked_at = self._ticked_at, now
        limit = self._times.interval_s * _PAUSE_INTERVALS
        if before is not None and now - before > limit:
            self._outstanding_by_sequence.clear()

    def _expire(
        self, view: MemberView, now: float, rng: random.Random
    ) -> list[ProbeAction]:
        actions: list[ProbeAction] = []
        for sequence, probe in list(self._outstanding_by_sequence.items()):
            waited = now - probe.sent_at
            if probe.requester is not None:
                if waited > 2 * self._times.timeout_s:
                    del self._outstanding_by_sequence[sequence]
            elif not probe.is_indirect and waited > self._times.timeout_s:
                waiting = replace(probe, is_indirect=True)
                self._outstanding_by_sequence[sequence] = waiting
                actions.append(self._ask_helpers(view, probe, sequence, rng))
            elif waited > 3 * self._times.timeout_s:
                del self._outstanding_by_sequence[sequence]
                actions.append(SilentMember(probe.daemon_id))
        return actions

    def _ask_helpers(
        self, view: MemberView, probe: Outstanding, sequence: int, rng: random.Random
    ) -> AskHelpers:
        helpers = view.sample(self._n_helpers, rng, excluded=(probe.daemon_id,))
        ids = tuple(helper.host.daemon_id for helper in helpers)
        return AskHelpers(probe.daemon_id, sequence, ids)

    def _end_suspicions(self, view: MemberView, now: float) -> None:
        members = view.members()
        if members is not self._searched:
            self._searched = members
            self._suspects = [m for m in members if m.state is MemberState.SUSPECT]
        for member in self._suspects:
            if now - member.changed_at > self._times.suspicion_s:
                view.judge(member.host.daemon_id, MemberState.UNREACHABLE, now)

    def _probe_next(
        self, view: MemberView, now: float, rng: random.Random
    ) -> list[ProbeAction]:
        if not self._round:
            self._round = _new_round(view, rng)
        while self._round:
            daemon_id = self._round.pop()
            member = view.members_by_id.get(daemon_id)
            if member is not None and member.state is not MemberState.DEAD:
                return [self._send(Outstanding(daemon_id, now))]
        return []

    def _send(self, probe: Outstanding) -> ProbeMember:
        self._sequence += 1
        self._outstanding_by_sequence[self._sequence] = probe
        return ProbeMember(probe.daemon_id, self._sequence)


def ring_neighbours(
    own_id: DaemonId, daemon_ids: Sequence[DaemonId], n_rings: int = _N_RINGS
) -> list[DaemonId]:
    """Return the successors of a daemon on rings ordered by different hashes."""
    others = [daemon_id for daemon_id in daemon_ids if daemon_id != own_id]
    if len(others) <= n_rings:
        return sorted(others)
    found: set[DaemonId] = set()
    for ring in range(n_rings):
        own_place = _place(own_id, ring)
        found.add(min(others, key=lambda each: _distance(own_place, each, ring)))
    return sorted(found)


def _place(daemon_id: DaemonId, ring: int) -> int:
    return xxhash.xxh3_64_intdigest(daemon_id.encode(), seed=ring)


def _distance(own_place: int, daemon_id: DaemonId, ring: int) -> int:
    return (_place(daemon_id, ring) - own_place) % (1 << 64)


def _new_round(view: MemberView, rng: random.Random) -> list[DaemonId]:
    ids = [member.host.daemon_id for member in view.peers()]
    neighbours = ring_neighbours(view.own_id, ids)
    silent = [each for each in neighbours if _is_unreachable(view.members_by_id[each])]
    reachable = [each for each in neighbours if each not in silent]
    rng.shuffle(reachable)
    return reachable + rng.sample(silent, min(1, len(silent)))


def _is_unreachable(member: Member) -> bool:
    return member.state is MemberState.UNREACHABLE
