"""Tests of the decisions on rate limits of targets; see also tests/tools."""

from __future__ import annotations

from dataclasses import replace

import pytest

from aspendrift_model.ids import DaemonId, PoolName, TargetId, ZoneName
from aspendrift_model.routes import ColdLimit
from aspendrift_model.target_entries import TargetEntry, TargetKey
from aspendrift_policy.target_rates import (
    DeniedPermit,
    IssuedPermit,
    LimitedTargets,
    LimitKind,
    RateOwner,
    cold_limit,
    owner_of,
    stated_limit,
)

KEY = TargetKey(TargetId("t1"), 1)
ENTRY = TargetEntry(KEY, PoolName("p"), "t1:1", ZoneName("z1"), 4, False)
OBERLAND = cold_limit(ColdLimit(3.0, 5.5), 1.5, 5.0)
SELF = DaemonId("d1")


class Steps:
    """An owner that steps ten times per second."""

    def __init__(self, candidates=(SELF,), n_live=1, n_members=1):
        self.owner = RateOwner(SELF, 0.0)
        self.now = 0.0
        self.view = (candidates, n_live, n_members)
        self.owner.step(*self.view, 0.0)

    def until(self, now, view=None):
        self.view = view or self.view
        while self.now < now - 0.05:
            self.now += 0.1
            self.owner.step(*self.view, self.now)
        return self

    def ask(self, max_wait_s=0.0, limit=OBERLAND):
        return self.owner.request(
            KEY, limit.interval_s, limit.window_s, max_wait_s, self.now
        )


@pytest.mark.parametrize(
    ("limit", "bound"), [(OBERLAND, 13.25), (stated_limit(2.0), 17.0)]
)
def test_two_owners_together_keep_the_bound(limit, bound):
    n_per_owner = (limit.window_s + 0.5) / limit.interval_s
    assert 2 * n_per_owner <= bound
    assert 2 * n_per_owner > bound - 2.0


def test_limit_is_never_above_what_the_target_tolerates():
    assert cold_limit(ColdLimit(3.0, 2.0), 10.0, 50.0).interval_s == 0.5


def test_new_owner_issues_nothing_for_the_window_and_a_second():
    """A restarted owner doesn't know what it issued before."""
    steps = Steps().until(1.9)
    denied = steps.ask()
    assert isinstance(denied, DeniedPermit)
    assert not denied.is_owner
    assert denied.retry_s == pytest.approx(0.1)
    assert isinstance(steps.until(2.1).ask(), IssuedPermit)


def test_daemon_that_becomes_the_owner_waits_for_the_window():
    """The owner before may still issue permits, or has just issued some."""
    other = next(
        found
        for found in (DaemonId(f"o{number}") for number in range(50))
        if owner_of(KEY, [SELF, found]) == found
    )
    steps = Steps(candidates=(SELF, other), n_live=2, n_members=2).until(5.0)
    assert isinstance(steps.ask(), DeniedPermit)
    steps.until(5.5, view=((SELF,), 1, 2))
    assert isinstance(steps.ask(), DeniedPermit)
    assert isinstance(steps.until(7.5).ask(), IssuedPermit)


def test_suspended_owner_waits_for_the_window():
    """A frozen process goes on with messages before its timers run."""
    steps = Steps().until(5.0)
    steps.now = 5.8
    assert isinstance(steps.ask(), DeniedPermit)
    assert isinstance(steps.until(8.0).ask(), IssuedPermit)


def test_owner_in_contact_with_less_than_half_issues_nothing():
    """Each of many groups of daemons would have an owner."""
    steps = Steps(n_live=1, n_members=3).until(5.0)
    assert isinstance(steps.ask(), DeniedPermit)
    assert isinstance(steps.until(7.5, view=((SELF,), 2, 4)).ask(), IssuedPermit)


def test_permits_are_dated_one_interval_apart():
    steps = Steps().until(3.0)
    found = [steps.ask(max_wait_s=0.6) for _ in range(4)]
    assert [each.wait_s for each in found[:3]] == pytest.approx([0.0, 0.25, 0.5])
    assert found[3] == DeniedPermit(pytest.approx(0.75), is_owner=True)


def test_denied_daemons_ask_again_at_distinct_times():
    """All of them would ask at the time of the next permit."""
    steps = Steps().until(3.0)
    steps.ask()
    times = [steps.ask().retry_s for _ in range(3)]
    assert times == pytest.approx([0.25, 0.35, 0.45])


def test_returned_permit_is_issued_again_with_its_date():
    """A new date would add a permit to a window that is full."""
    steps = Steps().until(3.0)
    first = steps.ask()
    steps.owner.take_back(first.number, steps.now)
    steps.owner.take_back(first.number, steps.now)
    steps.until(3.2)
    again = steps.ask()
    assert (again.wait_s, again.valid_s) == (0.0, pytest.approx(0.3))
    assert isinstance(steps.ask(), DeniedPermit)


def test_returned_permit_that_is_too_old_is_not_issued_again():
    steps = Steps().until(3.0)
    steps.ask(max_wait_s=0.0)
    later = steps.ask(max_wait_s=1.0)
    steps.until(3.7)
    steps.owner.take_back(later.number, steps.now)
    assert steps.ask().valid_s == pytest.approx(0.5)


def test_cold_target_is_limited_until_it_is_warm():
    targets = LimitedTargets()
    assert targets.limit(ENTRY, OBERLAND, 3.0, 2.9) is OBERLAND
    assert targets.limit(ENTRY, OBERLAND, 3.0, 3.0) is None


def test_stated_limit_holds_until_an_answer_comes_without_it():
    targets = LimitedTargets()
    targets.apply_stated(KEY, 2.0)
    limit = targets.limit(ENTRY, None, 0.0, 100.0)
    assert limit.kind is LimitKind.STATED
    assert targets.limit(ENTRY, OBERLAND, 200.0, 100.0) is limit
    targets.apply_stated(KEY, None)
    assert targets.limit(ENTRY, None, 0.0, 100.0) is None


def test_target_backs_off_for_the_longest_stated_time():
    """A shorter time in a later answer would end the first one early."""
    targets = LimitedTargets()
    assert targets.back_off(KEY, 2.0, 10.0)
    assert not targets.back_off(KEY, 0.5, 10.5)
    assert targets.backoff_until(KEY, 11.9) == 12.0
    assert targets.backoff_until(KEY, 12.0) is None
    assert targets.is_empty


def test_what_a_target_stated_is_forgotten_after_it_is_unlisted_for_long():
    targets = LimitedTargets()
    targets.back_off(KEY, 250.0, 20.0)
    targets.apply_stated(KEY, 2.0)
    targets.retain(set(), 30.0)
    targets.retain({KEY}, 320.0)
    targets.retain(set(), 325.0)
    targets.retain(set(), 624.0)
    assert targets.n_stated == 1
    targets.retain(set(), 625.0)
    assert targets.is_empty


def test_what_a_target_stated_is_forgotten_when_it_restarts():
    targets = LimitedTargets()
    targets.back_off(KEY, 2.0, 20.0)
    targets.apply_stated(KEY, 2.0)
    targets.retain({replace(KEY, born_ms=KEY.born_ms + 1)}, 20.5)
    assert targets.is_empty
