"""Decides whether a daemon's configuration is fresh enough for new requests.

A daemon is fresh as of the latest time at which it held every change accepted
until then. There are two proofs of freshness:

- a read of the table's head, by this daemon or relayed by a peer, that shows no
  revision missing here;
- contact with a majority of the view, none of which reports a revision missing
  here. A majority is enough because an accepted change is held by a majority.

A daemon loses its configuration on restart, so the new process can't confirm
what the old one held. It counts towards a majority only as a witness: once it
has been fresh as of a time after its own start. This is the recovery rule of
viewstamped replication.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from aspendrift_model.ids import DaemonId
from aspendrift_model.states import RefusalReason
from aspendrift_model.wire_peer import RevisionDigest

__all__ = ["Freshness", "HeadRead"]

_CONTACT_AGE_UNIT_S: Final = 0.1
_MAX_CONTACT_AGE: Final = 255


@dataclass(frozen=True, slots=True)
class HeadRead:
    """Revision and monotonic time, in seconds, of a read of the table's head."""

    revision: int
    at: float


class Freshness:
    """Tracks until when a daemon's configuration was provably up to date.

    Parameters
    ----------
    own_id : DaemonId
        Id of this daemon.
    limit_s : float
        Configuration age beyond which new requests are refused, in seconds.
    started_at : float
        When the process started, on the monotonic clock, in seconds.
    """

    def __init__(self, own_id: DaemonId, limit_s: float, started_at: float) -> None:
        self._own_id = own_id
        self._limit_s = limit_s
        self._started_at = started_at
        self._is_witness = False
        self._had_equal_view = False
        self._head: HeadRead | None = None
        self._head_confirmed_at: float | None = None
        self._contact_at_by_id: dict[DaemonId, float] = {}
        self._contact_revision = 0

    @property
    def head(self) -> HeadRead | None:
        """The most recent known read of the head."""
        return self._head

    def record_head_read(self, revision: int, at: float, held_revision: int) -> None:
        """Record a read of the head, made no earlier than ``at``."""
        if self._head is None or at > self._head.at:
            self._head = HeadRead(revision, at)
        if held_revision >= revision:
            self._confirm_head(at)

    def record_revision(self, revision: int) -> None:
        """Record the revision that this daemon now holds."""
        if self._head is not None and revision >= self._head.revision:
            self._confirm_head(self._head.at)

    def apply_digest(
        self,
        daemon_id: DaemonId,
        digest: RevisionDigest,
        as_of: float,
        member_ids: Sequence[DaemonId],
        held_revision: int,
    ) -> None:
        """Apply the digest in a peer's reply to a request sent at ``as_of``.

        Parameters
        ----------
        as_of : float
            When the request was sent. Ages in the digest are counted back from
            this time, so that a reply delayed in a buffer is not dated too late.
        member_ids : sequence of DaemonId
            The members that ``contact_ages`` lists; empty if the views differ.
        """
        if digest.head_age_ms >= 0:
            at = as_of - digest.head_age_ms / 1000
            self.record_head_read(digest.head_revision, at, held_revision)
        self._had_equal_view |= bool(member_ids)
        if digest.is_witness:
            self._record_contact(daemon_id, as_of)
        newest = max(digest.revision, digest.contact_revision)
        self._contact_revision = max(self._contact_revision, newest)
        if len(member_ids) == len(digest.contact_ages):
            self._record_relayed_contacts(member_ids, digest.contact_ages, as_of)

    def _record_relayed_contacts(
        self, member_ids: Sequence[DaemonId], ages: bytes, as_of: float
    ) -> None:
        for member_id, age in zip(member_ids, ages, strict=True):
            if age < _MAX_CONTACT_AGE:
                self._record_contact(member_id, as_of - (age + 1) * _CONTACT_AGE_UNIT_S)

    def digest(
        self,
        revision: int,
        content_hash: int,
        member_ids: Sequence[DaemonId],
        now: float,
    ) -> RevisionDigest:
        """Return the digest to send to a peer.

        Parameters
        ----------
        member_ids : sequence of DaemonId
            The members whose contact ages to include if there is no recent head
            read; empty to include none.
        """
        self._update_witness(revision, member_ids, now)
        head = self._head
        age_ms = -1 if head is None else max(0, round((now - head.at) * 1000))
        ages = b""
        if head is None or now - head.at > self._limit_s / 2:
            ages = bytes(self._contact_age(each, now) for each in member_ids)
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
        """Return the latest time until which no accepted change can be missing."""
        proofs = [self._head_confirmed_at]
        if held_revision >= self._contact_revision:
            proofs.append(self._majority_at(member_ids, now))
        known = [proof for proof in proofs if proof is not None]
        return max(known, default=None)

    def refusal_reason(
        self, held_revision: int, member_ids: Sequence[DaemonId], now: float
    ) -> RefusalReason | None:
        """Return why new requests are refused, or None if they are accepted."""
        if self._is_head_recent(now, self._limit_s):
            return None
        fresh_at = self.fresh_at(held_revision, member_ids, now)
        if fresh_at is None:
            return RefusalReason.NOT_READY
        if now - fresh_at > self._limit_s:
            return RefusalReason.ISOLATED
        return None

    def needs_refresh(
        self, held_revision: int, member_ids: Sequence[DaemonId], now: float
    ) -> bool:
        """Return whether the daemon should poll its peers more often."""
        if self._is_head_recent(now, self._limit_s / 2):
            return False
        fresh_at = self.fresh_at(held_revision, member_ids, now)
        return fresh_at is None or now - fresh_at > self._limit_s / 2

    def _is_head_recent(self, now: float, limit_s: float) -> bool:
        at = self._head_confirmed_at
        return at is not None and now - at <= limit_s

    def _update_witness(
        self, held_revision: int, member_ids: Sequence[DaemonId], now: float
    ) -> None:
        if self._is_witness or not member_ids:
            return
        fresh_at = self.fresh_at(held_revision, member_ids, now)
        self._is_witness = fresh_at is not None and fresh_at >= self._started_at

    def _confirm_head(self, at: float) -> None:
        before = self._head_confirmed_at
        self._head_confirmed_at = at if before is None else max(before, at)

    def _record_contact(self, daemon_id: DaemonId, at: float) -> None:
        before = self._contact_at_by_id.get(daemon_id, at)
        self._contact_at_by_id[daemon_id] = max(before, at)

    def _contact_age(self, daemon_id: DaemonId, now: float) -> int:
        if daemon_id == self._own_id:
            return 0 if self._is_witness else _MAX_CONTACT_AGE
        at = self._contact_at_by_id.get(daemon_id)
        if at is None:
            return _MAX_CONTACT_AGE
        return min(_MAX_CONTACT_AGE, int((now - at) / _CONTACT_AGE_UNIT_S))

    def _majority_at(self, member_ids: Sequence[DaemonId], now: float) -> float | None:
        """Return the latest time since which a majority has been in contact."""
        contact_times = self._peer_contact_times(member_ids)
        if self._is_witness:
            contact_times.append(now)
        needed = len(member_ids) // 2 + 1
        if len(member_ids) > 1 and not self._had_equal_view:
            return None
        if len(contact_times) < needed:
            return None
        return sorted(contact_times, reverse=True)[needed - 1]

    def _peer_contact_times(self, member_ids: Sequence[DaemonId]) -> list[float]:
        contacts = self._contact_at_by_id
        return [
            contacts[each]
            for each in member_ids
            if each != self._own_id and each in contacts
        ]
