"""Tests of the lease state machine with simulated daemons and one row."""

from __future__ import annotations

import pytest

from aspendrift_policy.leases import (
    Lease,
    LeaseRecord,
    LeaseTimes,
    ReadLease,
    WaitLease,
    WriteLease,
)

TIMES = LeaseTimes(duration_s=6.0, margin_s=1.0, takeover_wait_s=2.5)


class Row:
    """In-memory lease row with conditional writes."""

    def __init__(self) -> None:
        self.version = 0
        self.record: LeaseRecord | None = None

    def commit(self, write: WriteLease) -> bool:
        if write.version != self.version:
            return False
        self.version += 1
        self.record = write.record
        return True

    def step(self, lease: Lease, now: float) -> None:
        """Execute the actions of a daemon until it has to wait."""
        while not isinstance(action := lease.next_action(now), WaitLease):
            if isinstance(action, ReadLease):
                lease.record_read(self.version, self.record, now)
            elif self.commit(action):
                lease.record_commit(self.version, action.record, now)
            else:
                lease.record_conflict(self.version, self.record, now)


def pending_write(lease: Lease, now: float) -> WriteLease:
    action = lease.next_action(now)
    assert isinstance(action, WriteLease)
    return action


def test_one_of_two_daemons_holds_the_lease_and_waits_before_it_acts() -> None:
    row, first, second = Row(), Lease("a", TIMES), Lease("b", TIMES)
    row.step(first, 0.0)
    row.step(second, 0.0)
    assert first.is_held(0.0) and not second.is_held(0.0)
    assert not first.may_act(2.0)
    assert first.may_act(2.5)


def test_renewed_lease_is_kept_under_the_same_fencing_number() -> None:
    row, first, second = Row(), Lease("a", TIMES), Lease("b", TIMES)
    for now_s in range(60):
        row.step(first, float(now_s))
        row.step(second, float(now_s))
    assert first.may_act(59.5)
    assert not second.is_held(59.5)
    assert first.fencing == 1


@pytest.mark.fault("lease lapsed", "order sent", "lease taken")
def test_paused_holder_stops_before_another_takes_over() -> None:
    row, paused, other = Row(), Lease("a", TIMES), Lease("b", TIMES)
    row.step(paused, 0.0)
    row.step(other, 0.1)
    row.step(other, 5.9)
    assert not other.is_held(5.9)
    assert not paused.is_held(5.0)
    row.step(other, 6.2)
    assert other.is_held(6.2)
    assert other.fencing == 2
    row.step(paused, 9.0)
    assert not paused.is_held(9.0)
    assert paused.record is not None
    assert paused.record.fencing == 2


@pytest.mark.fault("daemon paused", "lease taken")
def test_renewal_sent_after_a_pause_conflicts() -> None:
    row, paused, other = Row(), Lease("a", TIMES), Lease("b", TIMES)
    row.step(paused, 0.0)
    renewal = pending_write(paused, 3.0)
    row.step(other, 3.0)
    row.step(other, 9.1)
    assert other.is_held(9.1)
    assert not row.commit(renewal)
    paused.record_conflict(row.version, row.record, 9.2)
    assert not paused.is_held(9.2)


@pytest.mark.fault("store answer lost", "lease taken")
def test_takeover_with_a_lost_answer_is_not_presumed_held() -> None:
    row, lease = Row(), Lease("a", TIMES)
    lease.record_read(0, None, 0.0)
    write = pending_write(lease, 0.0)
    row.commit(write)
    lease.record_unknown_outcome()
    assert not lease.is_held(0.1)
    row.step(lease, 0.1)
    assert not lease.is_held(0.1)
    row.step(lease, 6.2)
    assert lease.is_held(6.2)
    assert lease.fencing == 2


@pytest.mark.fault("store answer lost", "lease taken")
def test_renewal_with_a_lost_answer_keeps_the_old_expiry() -> None:
    row, lease = Row(), Lease("a", TIMES)
    row.step(lease, 0.0)
    write = pending_write(lease, 3.0)
    row.commit(write)
    lease.record_unknown_outcome()
    assert lease.is_held(4.9)
    lease.record_read(row.version, row.record, 4.0)
    assert not lease.is_held(5.1)
    row.step(lease, 4.5)
    assert lease.is_held(9.0)


@pytest.mark.fault("store answer lost", "lease taken")
def test_renewal_that_takes_effect_late_does_not_end_the_lease() -> None:
    row, lease = Row(), Lease("a", TIMES)
    row.step(lease, 0.0)
    late = pending_write(lease, 2.5)
    lease.record_unknown_outcome()
    lease.record_read(row.version, row.record, 2.6)
    again = pending_write(lease, 2.7)
    assert row.commit(late)
    assert not row.commit(again)
    lease.record_conflict(row.version, row.record, 2.8)
    assert lease.is_held(2.8)
    row.step(lease, 2.9)
    assert lease.is_held(7.8)


@pytest.mark.fault("store down", "lease taken")
def test_lease_ends_by_itself_without_the_store() -> None:
    row, lease = Row(), Lease("a", TIMES)
    row.step(lease, 0.0)
    lease.record_failure()
    assert lease.may_act(4.9)
    assert not lease.may_act(5.0)


def test_released_lease_is_acquired_at_once() -> None:
    row, first, second = Row(), Lease("a", TIMES), Lease("b", TIMES)
    row.step(first, 0.0)
    row.step(second, 0.0)
    write = first.release(1.0)
    assert write is not None
    assert row.commit(write)
    assert not first.is_held(1.0)
    second.record_failure()
    row.step(second, 1.1)
    assert second.is_held(1.1)
    assert second.fencing == 2
