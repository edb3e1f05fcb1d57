"""Tests of admission control over the stages of a request."""

from __future__ import annotations

import random
from collections.abc import Mapping

import pytest

from aspendrift_model.contracts import Contract
from aspendrift_model.ids import (
    AccountId,
    PoolName,
    PrefixKey,
    ProfileName,
    RequestId,
    StageName,
)
from aspendrift_model.outcomes import Refused
from aspendrift_model.profiles import Profile, Stage
from aspendrift_model.states import Priority, RefusalReason, StageKind
from aspendrift_policy.admission import AdmissionController, PoolCapacity, ServiceTimes
from aspendrift_policy.interfaces import Offer

ENCODE = Stage(StageName("encode"), StageKind.ENCODE, PoolName("enc"), expected_ms=20)
GENERATE = Stage(
    StageName("generate"), StageKind.GENERATE, PoolName("eng"), expected_ms=400
)
POOLS = {
    ENCODE.pool: PoolCapacity(8, 1.0),
    GENERATE.pool: PoolCapacity(4, 1.0),
}


def profile(priority: Priority = Priority.NORMAL) -> Profile:
    return Profile(ProfileName("p"), (ENCODE, GENERATE), Contract(2000, priority))


class AdmissionHarness:
    def __init__(self) -> None:
        self.times = ServiceTimes()
        self.controller = AdmissionController(self.times)
        self.rng = random.Random(5)
        self.n_offers = 0

    def offer(
        self,
        now: float = 0.0,
        deadline_s: float = 2.0,
        over_share: bool = False,
        priority: Priority = Priority.NORMAL,
        pools: Mapping[PoolName, PoolCapacity] = POOLS,
        account: str = "ann",
    ) -> Refused | None:
        self.n_offers += 1
        offer = Offer(
            RequestId(f"r{self.n_offers}"),
            AccountId(account),
            profile(priority),
            now + deadline_s,
            0,
            PrefixKey(""),
        )
        return self.controller.admit(offer, pools, over_share, now, self.rng)

    def n_admitted(self, n_offers: int, **options: object) -> int:
        return sum(self.offer(**options) is None for _ in range(n_offers))  # type: ignore[arg-type]


def test_later_stage_bounds_admission_while_the_first_is_idle() -> None:
    harness = AdmissionHarness()
    n_admitted = harness.n_admitted(200)
    assert 4 * 2.0 / 0.4 * 0.6 <= n_admitted <= 4 * 2.0 / 0.4


def test_chain_longer_than_the_deadline_is_refused_with_a_retry_time() -> None:
    answer = AdmissionHarness().offer(deadline_s=0.3)
    assert answer is not None
    assert answer.reason is RefusalReason.DEADLINE_UNREACHABLE
    assert answer.retry_after_ms is not None


@pytest.mark.fault("target slow", "request admitted")
def test_slow_stage_admits_less_and_recovers() -> None:
    harness = AdmissionHarness()
    for _ in range(100):
        harness.times.observe(profile(), GENERATE, 0, 1.2, now=0.0)
    slow = harness.n_admitted(200)
    assert slow < 6
    later = AdmissionHarness()
    later.times = harness.times
    later.controller = AdmissionController(harness.times)
    assert later.n_admitted(200, now=20.0) > 3 * max(slow, 1)


def test_small_share_of_the_demand_admits_a_small_share() -> None:
    quarter = {
        ENCODE.pool: PoolCapacity(8, 0.25),
        GENERATE.pool: PoolCapacity(4, 0.25),
    }
    n_quarter = AdmissionHarness().n_admitted(200, pools=quarter)
    n_full_share = AdmissionHarness().n_admitted(200)
    assert n_full_share / 5 <= n_quarter <= n_full_share / 3


def test_priorities_and_shares_leave_capacity_for_higher_ones() -> None:
    harness = AdmissionHarness()
    harness.n_admitted(200, over_share=True)
    assert harness.n_admitted(200) > 0
    assert harness.n_admitted(200, priority=Priority.BACKGROUND) == 0
    assert harness.n_admitted(200, priority=Priority.URGENT) > 0


@pytest.mark.fault("target failing", "request admitted")
def test_closed_pool_is_refused_until_it_may_be_probed() -> None:
    closed = {**POOLS, GENERATE.pool: PoolCapacity(0, 1.0, next_probe_at=1.0)}
    harness = AdmissionHarness()
    answer = harness.offer(pools=closed)
    assert answer is not None
    assert answer.reason is RefusalReason.NO_TARGET
    assert harness.n_admitted(20, now=1.0, pools=closed) == 1


def test_ended_stage_releases_its_work_once() -> None:
    harness = AdmissionHarness()
    n_first = harness.n_admitted(200)
    for i in range(1, 201):
        harness.controller.stage_ended(RequestId(f"r{i}"), GENERATE)
        harness.controller.release(RequestId(f"r{i}"), 0.0)
        harness.controller.release(RequestId(f"r{i}"), 0.0)
    assert harness.n_admitted(200) == n_first


@pytest.mark.fault("burst", "request admitted")
def test_requests_slower_than_predicted_leave_less_capacity() -> None:
    harness = AdmissionHarness()
    n_first = harness.n_admitted(200)
    for i in range(1, 201):
        harness.controller.stage_ended(RequestId(f"r{i}"), ENCODE)
        harness.controller.stage_ended(RequestId(f"r{i}"), GENERATE)
        harness.controller.release(RequestId(f"r{i}"), 2.5)
    assert harness.n_admitted(200, now=2.5) < n_first / 2


@pytest.mark.fault("burst", "request admitted")
def test_sudden_surge_of_one_account_leaves_capacity_for_the_others() -> None:
    harness = AdmissionHarness()
    assert harness.offer(account="bob") is None
    answers = [harness.offer(account="greedy") for _ in range(200)]
    refusal = answers[-1]
    assert refusal is not None
    assert refusal.reason is RefusalReason.ACCOUNT_OVER_SHARE
    assert harness.n_admitted(3, account="bob") == 3
    assert harness.n_admitted(3, account="cid") == 3


@pytest.mark.fault("target slow", "request admitted")
def test_stage_that_was_slow_is_tried_as_soon_as_it_is_idle() -> None:
    harness = AdmissionHarness()
    for held_s in (0.4, 2.2) * 20:
        harness.times.observe(profile(), GENERATE, 0, held_s, now=0.0)
    assert harness.offer(now=0.5) is None
