"""Tests of refusing requests while the configuration may be stale."""

from __future__ import annotations

import pytest

from aspendrift_model.ids import DaemonId
from aspendrift_model.states import RefusalReason
from aspendrift_model.wire_peer import RevisionDigest
from aspendrift_policy.freshness import Freshness

IDS = [DaemonId(f"d{i}") for i in range(5)]
LIMIT_S = 3.0


def freshness() -> Freshness:
    return Freshness(IDS[0], LIMIT_S, 100.0)


def witness(revision: int) -> RevisionDigest:
    return RevisionDigest(revision, 0, is_witness=True)


def test_daemon_without_a_head_read_is_not_ready() -> None:
    assert freshness().refusal_reason(0, IDS, 100.0) is RefusalReason.NOT_READY


def test_own_head_read_counts_until_the_age_limit() -> None:
    fresh = freshness()
    fresh.record_head_read(7, 100.0, 7)
    assert fresh.refusal_reason(7, IDS, 102.9) is None
    assert fresh.refusal_reason(7, IDS, 103.1) is RefusalReason.ISOLATED


def test_head_read_counts_once_its_revision_is_held() -> None:
    fresh = freshness()
    fresh.record_head_read(7, 100.0, 6)
    assert fresh.refusal_reason(6, IDS, 101.0) is RefusalReason.NOT_READY
    fresh.record_revision(7)
    assert fresh.refusal_reason(7, IDS, 101.0) is None


@pytest.mark.fault("daemon paused", "change in force")
def test_relayed_head_read_is_dated_from_the_query() -> None:
    """A reply buffered during a pause must not count as recent."""
    fresh = freshness()
    answer = RevisionDigest(7, 0, 7, head_age_ms=500)
    fresh.apply_digest(IDS[1], answer, 100.0, IDS, 7)
    assert fresh.fresh_at(7, IDS, 130.0) == 99.5
    assert fresh.refusal_reason(7, IDS, 130.0) is RefusalReason.ISOLATED


@pytest.mark.parametrize(("n_witnesses", "expected"), [(2, False), (3, True)])
def test_restarted_daemon_needs_more_than_half_besides_itself(
    n_witnesses: int, expected: bool
) -> None:
    fresh = freshness()
    for daemon_id in IDS[1 : 1 + n_witnesses]:
        fresh.apply_digest(daemon_id, witness(7), 101.0, IDS, 7)
    assert (fresh.refusal_reason(7, IDS, 102.0) is None) is expected


def test_contact_with_non_witnesses_does_not_prove_freshness() -> None:
    fresh = freshness()
    for daemon_id in IDS[1:]:
        fresh.apply_digest(daemon_id, RevisionDigest(7, 0), 101.0, IDS, 7)
    assert fresh.refusal_reason(7, IDS, 102.0) is RefusalReason.NOT_READY


def test_contact_with_a_newer_revision_ends_the_proof() -> None:
    fresh = freshness()
    for daemon_id in IDS[1:4]:
        fresh.apply_digest(daemon_id, witness(7), 101.0, IDS, 7)
    fresh.apply_digest(IDS[4], RevisionDigest(8, 0), 101.0, IDS, 7)
    assert fresh.refusal_reason(7, IDS, 102.0) is RefusalReason.NOT_READY
    assert fresh.refusal_reason(8, IDS, 102.0) is None


def test_contacts_are_relayed_with_their_age() -> None:
    source = freshness()
    for daemon_id in IDS[1:4]:
        source.apply_digest(daemon_id, witness(7), 101.0, IDS, 7)
    digest = source.digest(7, 0, IDS, 102.0)
    assert digest.is_witness
    other = Freshness(IDS[4], LIMIT_S, 100.0)
    other.apply_digest(IDS[0], digest, 102.0, IDS, 7)
    fresh_at = other.fresh_at(7, IDS, 102.0)
    assert fresh_at is not None
    assert fresh_at <= 101.0


def test_digest_lists_contacts_only_without_a_recent_head_read() -> None:
    fresh = freshness()
    fresh.record_head_read(7, 100.0, 7)
    assert fresh.digest(7, 0, IDS, 100.5).contact_ages == b""
    assert len(fresh.digest(7, 0, IDS, 102.0).contact_ages) == len(IDS)
