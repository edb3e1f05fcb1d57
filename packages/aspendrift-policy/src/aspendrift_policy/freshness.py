"""Whether a daemon knows enough of the newest configuration to take new work.

A daemon is fresh as of the latest moment at which it held everything accepted
until then. Two things prove it: a read of the table's head, its own or relayed,
that shows no revision it lacks; or news from more than half of the view, none
of which holds a revision it lacks, since an accepted change is held by more
than half.

A daemon keeps nothing over a restart, so the new process may not stand for what
the old one held. It counts towards more than half only as a witness: once it
has itself been fresh as of a moment after its start. The rule is that of
recovery in viewstamped replication.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from aspendrift_model.ids import DaemonId
from aspendrift_model.states import RefusalReason
from aspendrift_model.wire_peer import RevisionDigest

__all__ = ["Freshness", "HeadRead"]

_AGE_UNIT_S: Final = 0.1
_MAX_AGE: Final = 255


@dataclass(frozen=True, slots=True)
class HeadRead:
    """What a read of the table's head saw, and when, in monotonic seconds."""

    revision: int
    at: float


class Freshness:
    """Tracks since when a daemon may be behind.

    Parameters
    ----------
    own_id : DaemonId
        The daemon itself.
    limit_s : float
        Age of knowledge at which the daemon takes no new work, in seconds.
    started_at : float
        When the process started, on the monotonic clock, in seconds.
    """

    def __init__(self, own_id: DaemonId, limit_s: float, started_at: float) -> None:
        self._own_id = own_id
        self._limit_s = limit_s
        self._started_at = started_at
        self._is_witness = False
        self._has_agreed = False
        self._head: HeadRead | None = None
        self._head_confirmed_at: float | None = None
        self._contact_at_by_id: dict[DaemonId, float] = {}
        self._contact_revision = 0

    @property
    def head(self) -> HeadRead | None:
        """The newest read of the head that is known."""
        return self._head

    def head_was(self, revision: int, at: float, held_revision: int) -> None:
        """Note a read of the head, made no earlier than ``at``."""
        if self._head is None or at > self._head.at:
            self._head = HeadRead(revision, at)
        if held_revision >= revision:
            self._confirm(at)

    def held(self, revision: int) -> None:
        """Note the revision that the daemon now holds."""
        if self._head is not None and revision >= self._head.revision:
            self._confirm(self._head.at)

    def learned(
        self,
        daemon_id: DaemonId,
        digest: RevisionDigest,
        as_of: float,
        member_ids: Sequence[DaemonId],
        held_revision: int,
    ) -> None:
        """Take in the digest of a peer that was asked at ``as_of``.

        Parameters
        ----------
        as_of : float
            When the answered question was sent: nothing in the digest is older
            than its stated age before this moment.
        member_ids : sequence of DaemonId
            The members that ``contact_ages`` lists; empty if the views differ.
        """
        if digest.head_age_ms >= 0:
            at = as_of - digest.head_age_ms / 1000
            self.head_was(digest.head_revision, at, held_revision)
        self._has_agreed |= bool(member_ids)
        if digest.is_witness:
            self._contact(daemon_id, as_of)
        newest = max(digest.revision, digest.contact_revision)
        self._contact_revision = max(self._contact_revision, newest)
        if len(member_ids) == len(digest.contact_ages):
            self._relayed(member_ids, digest.contact_ages, as_of)

    def _relayed(
        self, member_ids: Sequence[DaemonId], ages: bytes, as_of: float
    ) -> None:
        for member_id, age in zip(member_ids, ages, strict=True):
            if age < _MAX_AGE:
                self._contact(member_id, as_of - (age + 1) * _AGE_UNIT_S)

    def digest(
        self,
        revision: int,
        content_hash: int,
        member_ids: Sequence[DaemonId],
        now: float,
    ) -> RevisionDigest:
        """Return what to tell a peer.

        Parameters
        ----------
        member_ids : sequence of DaemonId
            The members whose contacts to list, while no head read is recent;
            empty to list none.
        """
        self._become_witness(revision, member_ids, now)
        head = self._head
        age_ms = -1 if head is None else max(0, round((now - head.at) * 1000))
        ages = b""
        if head is None or now - head.at > self._limit_s / 2:
            ages = bytes(self._age(each, now) for each in member_ids)
        return RevisionDigest(
            revision,
            content_hash,
            0 if head is None else head.revision,
            age_ms,
            max(self._contact_revision, revision),
            self._is_witness,
            ages,
        )

    def fresh_at(
        self, held_revision: int, member_ids: Sequence[DaemonId], now: float
    ) -> float | None:
        """Return the latest moment until which nothing accepted can be missing."""
        proofs = [self._head_confirmed_at]
        if held_revision >= self._contact_revision:
            proofs.append(self._majority_at(member_ids, now))
        known = [proof for proof in proofs if proof is not None]
        return max(known, default=None)

    def refusal(
        self, held_revision: int, member_ids: Sequence[DaemonId], now: float
    ) -> RefusalReason | None:
        """Return why new work is refused, or None if it may be taken."""
        if self._is_head_recent(now, self._limit_s):
            return None
        fresh_at = self.fresh_at(held_revision, member_ids, now)
        if fresh_at is None:
            return RefusalReason.NOT_READY
        if now - fresh_at > self._limit_s:
            return RefusalReason.ISOLATED
        return None

    def is_hungry(
        self, held_revision: int, member_ids: Sequence[DaemonId], now: float
    ) -> bool:
        """Return whether the daemon should ask its peers more often."""
        if self._is_head_recent(now, self._limit_s / 2):
            return False
        fresh_at = self.fresh_at(held_revision, member_ids, now)
        return fresh_at is None or now - fresh_at > self._limit_s / 2

    def _is_head_recent(self, now: float, limit_s: float) -> bool:
        at = self._head_confirmed_at
        return at is not None and now - at <= limit_s

    def _become_witness(
        self, held_revision: int, member_ids: Sequence[DaemonId], now: float
    ) -> None:
        if self._is_witness or not member_ids:
            return
        fresh_at = self.fresh_at(held_revision, member_ids, now)
        self._is_witness = fresh_at is not None and fresh_at >= self._started_at

    def _confirm(self, at: float) -> None:
        before = self._head_confirmed_at
        self._head_confirmed_at = at if before is None else max(before, at)

    def _contact(self, daemon_id: DaemonId, at: float) -> None:
        before = self._contact_at_by_id.get(daemon_id, at)
        self._contact_at_by_id[daemon_id] = max(before, at)

    def _age(self, daemon_id: DaemonId, now: float) -> int:
        if daemon_id == self._own_id:
            return 0 if self._is_witness else _MAX_AGE
        at = self._contact_at_by_id.get(daemon_id)
        if at is None:
            return _MAX_AGE
        return min(_MAX_AGE, int((now - at) / _AGE_UNIT_S))

    def _majority_at(self, member_ids: Sequence[DaemonId], now: float) -> float | None:
        """Return the latest moment since which more than half were heard from."""
        known = self._others(member_ids)
        if self._is_witness:
            known.append(now)
        needed = len(member_ids) // 2 + 1
        if len(member_ids) > 1 and not self._has_agreed:
            return None
        if len(known) < needed:
            return None
        return sorted(known, reverse=True)[needed - 1]

    def _others(self, member_ids: Sequence[DaemonId]) -> list[float]:
        contacts = self._contact_at_by_id
        return [
            contacts[each]
            for each in member_ids
            if each != self._own_id and each in contacts
        ]
