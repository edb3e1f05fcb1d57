"""Failure detector: direct probes, indirect probes and suspicion.

Each member probes its successors on several rings, like the K rings of Rapid,
so that all members have about the same number of observers. A neighbour that
does not acknowledge a probe is probed indirectly through helpers, as in SWIM,
before it is suspected.
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
    "Outstanding",
    "ProbeAction",
    "ProbeMember",
    "ProbeTimes",
    "Prober",
    "RequestIndirectProbes",
    "SuspectMember",
    "ring_neighbours",
]

_N_RINGS: Final = 16
_N_HELPERS: Final = 3
_MAX_TICK_GAP_INTERVALS: Final = 4.0
_REFRESH_INTERVAL_FACTOR: Final = 0.4


@dataclass(frozen=True, slots=True)
class ProbeTimes:
    """Probe interval and time-outs, in seconds."""

    interval_s: float = 0.5
    timeout_s: float = 0.4
    suspicion_s: float = 3.0


@dataclass(frozen=True, slots=True)
class ProbeMember:
    """Send a probe to a member."""

    daemon_id: DaemonId
    sequence: int


@dataclass(frozen=True, slots=True)
class RequestIndirectProbes:
    """Ask helpers to probe a member that did not acknowledge a direct probe."""

    daemon_id: DaemonId
    sequence: int
    helper_ids: tuple[DaemonId, ...]


@dataclass(frozen=True, slots=True)
class SuspectMember:
    """Suspect a member: neither it nor a helper acknowledged the probe."""

    daemon_id: DaemonId


ProbeAction: TypeAlias = ProbeMember | RequestIndirectProbes | SuspectMember


@dataclass(frozen=True, slots=True)
class Outstanding:
    """A probe that has not been acknowledged.

    For a helper's probe, ``requester`` is the member that requested it, and
    ``requester_sequence`` the sequence number of that member's own probe.
    """

    daemon_id: DaemonId
    sent_at: float
    is_indirect: bool = False
    requester: DaemonId | None = None
    requester_sequence: int = 0


class Prober:
    """Decides which members to probe and which to suspect."""

    def __init__(self, times: ProbeTimes, n_helpers: int = _N_HELPERS) -> None:
        self._times = times
        self._n_helpers = n_helpers
        self._sequence = 0
        self._round: list[DaemonId] = []
        self._outstanding_by_sequence: dict[int, Outstanding] = {}
        self._next_probe_at = 0.0
        self._ticked_at: float | None = None
        self._checked_members: tuple[Member, ...] = ()
        self._suspects: list[Member] = []

    def tick(
        self,
        view: MemberView,
        now: float,
        rng: random.Random,
        needs_refresh: bool = False,
    ) -> list[ProbeAction]:
        """Return the actions due now, and mark unrefuted suspects unreachable.

        With ``needs_refresh``, probes are sent more often, because their
        acknowledgements carry configuration digests.
        """
        self._discard_after_pause(now)
        actions = self._expire(view, now, rng)
        self._expire_suspicions(view, now)
        if now >= self._next_probe_at:
            interval_s = self._times.interval_s * (
                _REFRESH_INTERVAL_FACTOR if needs_refresh else 1.0
            )
            self._next_probe_at = now + interval_s * rng.uniform(0.9, 1.1)
            actions += self._probe_next(view, now, rng)
        return actions

    def probe_for_peer(
        self, daemon_id: DaemonId, requester: DaemonId, sequence: int, now: float
    ) -> ProbeMember:
        """Return an indirect probe requested by another member."""
        return self._send(Outstanding(daemon_id, now, False, requester, sequence))

    def pop_acknowledged(self, sequence: int) -> Outstanding | None:
        """Return and remove the outstanding probe with this sequence number, if any."""
        return self._outstanding_by_sequence.pop(sequence, None)

    def _discard_after_pause(self, now: float) -> None:
        before, self._ticked_at = self._ticked_at, now
        max_gap_s = self._times.interval_s * _MAX_TICK_GAP_INTERVALS
        if before is not None and now - before > max_gap_s:
            self._outstanding_by_sequence.clear()

    def _expire(
        self, view: MemberView, now: float, rng: random.Random
    ) -> list[ProbeAction]:
        actions: list[ProbeAction] = []
        for sequence, probe in list(self._outstanding_by_sequence.items()):
            waited_s = now - probe.sent_at
            if probe.requester is not None:
                if waited_s > 2 * self._times.timeout_s:
                    del self._outstanding_by_sequence[sequence]
            elif not probe.is_indirect and waited_s > self._times.timeout_s:
                indirect = replace(probe, is_indirect=True)
                self._outstanding_by_sequence[sequence] = indirect
                actions.append(
                    self._request_indirect_probes(view, probe, sequence, rng)
                )
            elif waited_s > 3 * self._times.timeout_s:
                del self._outstanding_by_sequence[sequence]
                actions.append(SuspectMember(probe.daemon_id))
        return actions

    def _request_indirect_probes(
        self, view: MemberView, probe: Outstanding, sequence: int, rng: random.Random
    ) -> RequestIndirectProbes:
        helpers = view.sample(self._n_helpers, rng, excluded=(probe.daemon_id,))
        ids = tuple(helper.host.daemon_id for helper in helpers)
        return RequestIndirectProbes(probe.daemon_id, sequence, ids)

    def _expire_suspicions(self, view: MemberView, now: float) -> None:
        members = view.members()
        if members is not self._checked_members:
            self._checked_members = members
            self._suspects = [m for m in members if m.state is MemberState.SUSPECT]
        for member in self._suspects:
            if now - member.changed_at > self._times.suspicion_s:
                view.escalate_state(member.host.daemon_id, MemberState.UNREACHABLE, now)

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
    """Return the successors of a daemon on rings with different hash seeds."""
    others = [daemon_id for daemon_id in daemon_ids if daemon_id != own_id]
    if len(others) <= n_rings:
        return sorted(others)
    found: set[DaemonId] = set()
    for ring in range(n_rings):
        own_position = _ring_position(own_id, ring)
        found.add(min(others, key=lambda each: _distance(own_position, each, ring)))
    return sorted(found)


def _ring_position(daemon_id: DaemonId, ring: int) -> int:
    return xxhash.xxh3_64_intdigest(daemon_id.encode(), seed=ring)


def _distance(own_position: int, daemon_id: DaemonId, ring: int) -> int:
    return (_ring_position(daemon_id, ring) - own_position) % (1 << 64)


def _new_round(view: MemberView, rng: random.Random) -> list[DaemonId]:
    ids = [member.host.daemon_id for member in view.peers()]
    neighbours = ring_neighbours(view.own_id, ids)
    unreachable = [
        each for each in neighbours if _is_unreachable(view.members_by_id[each])
    ]
    reachable = [each for each in neighbours if each not in unreachable]
    rng.shuffle(reachable)
    return reachable + rng.sample(unreachable, min(1, len(unreachable)))


def _is_unreachable(member: Member) -> bool:
    return member.state is MemberState.UNREACHABLE
