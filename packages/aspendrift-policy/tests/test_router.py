"""Tests of the selection of a target for an attempt."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

import pytest

from aspendrift_model.contracts import Contract
from aspendrift_model.hosts import Location
from aspendrift_model.ids import (
    AccountId,
    AttemptId,
    PoolName,
    PrefixKey,
    ProfileName,
    RegionName,
    RequestId,
    StageName,
    TargetId,
    ZoneName,
)
from aspendrift_model.profiles import Profile, Stage
from aspendrift_model.settings_routing import RoutingSettings
from aspendrift_model.states import (
    AttemptEnd,
    Priority,
    StageKind,
    TargetKind,
    TargetState,
)
from aspendrift_model.targets import LoadReport, Target
from aspendrift_policy.affinity import CacheHints
from aspendrift_policy.interfaces import RouteChoice, RouteQuery, RouteReason
from aspendrift_policy.router import TargetPool, TwoChoiceRouter
from aspendrift_policy.subsets import choose_subset

HERE = Location(ZoneName("a"), RegionName("r"))
STAGE = Stage(StageName("generate"), StageKind.GENERATE, PoolName("eng"))
PROFILE = Profile(ProfileName("p"), (STAGE,), Contract(1000))
QUERY = RouteQuery(
    RequestId("r"),
    AttemptId("a"),
    AccountId("ann"),
    PROFILE,
    STAGE,
    10.0,
    Priority.NORMAL,
    PrefixKey(""),
)
SERVICE_S = 0.2


def target(name: str, zone: str = "a", slots: int = 8) -> Target:
    return Target(
        TargetId(name),
        PoolName("eng"),
        TargetKind.ENGINE,
        "http://127.0.0.1:1",
        ZoneName(zone),
        RegionName("r"),
        slots,
    )


def report(name: str, active: int, age_ms: int = 0) -> LoadReport:
    return LoadReport(TargetId(name), active, 0, 8, age_ms)


class Scenario:
    def __init__(self, *targets: Target) -> None:
        rng = random.Random(3)
        settings = RoutingSettings()
        self.pool = TargetPool(settings, HERE, rng)
        self.pool.configure(targets, 0.0)
        self.router = TwoChoiceRouter(settings, CacheHints(), rng)

    def choose(self, query: RouteQuery = QUERY, now: float = 1.0) -> RouteChoice | None:
        return self.router.choose(self.pool, query, SERVICE_S, now)

    def fill(self, now: float) -> Counter[str]:
        """Send until no slot is free; return the number of requests by target."""
        counts: Counter[str] = Counter()
        while (choice := self.choose(now=now)) is not None:
            name = choice.target.target_id
            self.pool.record_sent(name, now)
            counts[name] += 1
        return counts

    def fail(self, name: str, end: AttemptEnd, times: int, now: float) -> None:
        for _ in range(times):
            self.pool.attempt_ended(TargetId(name), end, now)


def test_less_loaded_of_two_targets_is_chosen() -> None:
    scenario = Scenario(target("t1"), target("t2"))
    scenario.pool.apply_report(report("t1", 6), 1.0)
    scenario.pool.apply_report(report("t2", 1), 1.0)
    choice = scenario.choose()
    assert choice is not None
    assert choice.target.target_id == "t2"
    assert {score.target_id for score in choice.scores} == {"t1", "t2"}


def test_own_attempts_since_a_delayed_report_count() -> None:
    scenario = Scenario(target("t1"), target("t2"))
    for now in (9.0, 9.5):
        for _ in range(3):
            scenario.pool.record_sent(TargetId("t1"), now)
    scenario.pool.apply_report(report("t1", 0, age_ms=2000), 10.0)
    scenario.pool.apply_report(report("t2", 2, age_ms=2000), 10.0)
    choice = scenario.choose(now=10.0)
    assert choice is not None
    assert choice.target.target_id == "t2"


def test_same_zone_is_preferred_until_it_is_loaded() -> None:
    scenario = Scenario(target("near", "a"), target("far", "b"))
    first = scenario.choose()
    assert first is not None
    assert first.target.target_id == "near"
    assert first.reason is RouteReason.SAME_ZONE
    scenario.pool.apply_report(report("near", 7), 1.0)
    spilled = scenario.choose()
    assert spilled is not None
    assert spilled.target.target_id == "far"


@pytest.mark.fault("target crashing", "request sent")
def test_zone_that_stops_answering_is_left_at_once() -> None:
    scenario = Scenario(target("near", "a"), target("far", "b"))
    for _ in range(3):
        scenario.pool.record_missed_poll(TargetId("near"), 1.0)
    choices = [scenario.choose(now=1.0) for _ in range(8)]
    assert {c.target.target_id for c in choices if c is not None} == {"far"}


def test_daemons_together_fill_the_slots_once() -> None:
    n_daemons = 8
    total = 0
    for seed in range(n_daemons):
        rng = random.Random(seed)
        pool = TargetPool(RoutingSettings(), HERE, rng)
        pool.configure([target(f"t{i}") for i in range(6)], 0.0)
        for i in range(6):
            pool.apply_report(report(f"t{i}", 0), 1.0)
        pool.refresh(1.0 / n_daemons, seed, 1.0)
        total += sum(c.allowance for c in pool.candidates_by_id.values())
    assert 0.7 * 48 <= total <= 1.3 * 48


def test_daemon_keeps_to_its_share_of_the_pool_while_the_share_moves() -> None:
    scenario = Scenario(*(target(f"t{i}", slots=3) for i in range(6)))
    n_sent = 0
    for step in range(30):
        scenario.pool.refresh(0.16 + 0.002 * step, 1, float(step))
        n_sent += sum(scenario.fill(float(step)).values())
    assert 3 <= n_sent <= 5


def test_free_slots_of_idle_daemons_are_lent_out() -> None:
    scenario = Scenario(target("t1"))
    scenario.pool.refresh(0.25, 0, 0.0)
    n_sent = 0
    for now in (1.0, 1.1, 1.2, 1.3, 1.4, 1.5, 1.6, 1.7):
        n_sent += sum(scenario.fill(now).values())
        scenario.pool.apply_report(report("t1", n_sent), now + 0.05)
    assert n_sent >= 7


@pytest.mark.fault("target failing", "request sent")
def test_failing_target_is_ejected_probed_and_readmitted() -> None:
    scenario = Scenario(target("t1"), target("t2"), target("t3"))
    scenario.fail("t1", AttemptEnd.BROKEN, 3, now=1.0)
    assert "t1" not in scenario.fill(now=1.1)
    probe = scenario.choose(now=3.0)
    assert probe is not None
    assert (probe.target.target_id, probe.reason) == ("t1", RouteReason.PROBE)
    assert scenario.choose(now=3.0) is None
    scenario.fail("t1", AttemptEnd.ANSWERED, 1, now=3.1)
    scenario.pool.refresh(1.0, 0, 3.2)
    assert 0 < scenario.fill(now=3.2)["t1"] < 8
    scenario.pool.refresh(1.0, 0, 6.0)
    assert scenario.fill(now=6.0)["t1"] > 0


@pytest.mark.fault("target crashing", "request sent")
def test_one_refused_connection_ejects_the_target() -> None:
    scenario = Scenario(target("t1"), target("t2"))
    scenario.fail("t1", AttemptEnd.NOT_SENT, 1, now=1.0)
    assert "t1" not in scenario.fill(now=1.1)


@pytest.mark.fault("target failing", "request sent")
def test_no_more_than_the_capped_share_is_ejected() -> None:
    scenario = Scenario(*(target(f"t{i}") for i in range(4)))
    for i in range(4):
        scenario.fail(f"t{i}", AttemptEnd.TIMED_OUT, 5, now=1.0)
    assert scenario.pool.n_ejected == 2


@pytest.mark.fault("target failing", "request sent")
def test_flapping_target_is_ejected_for_longer_each_time() -> None:
    scenario = Scenario(target("t1"), target("t2"))
    health = scenario.pool.candidates_by_id[TargetId("t1")].health
    lengths: list[float] = []
    now = 1.0
    for _ in range(4):
        scenario.fail("t1", AttemptEnd.BROKEN, 3, now)
        lengths.append(health.ejected_until - now)
        now = health.ejected_until
        health.probe_sent()
        scenario.fail("t1", AttemptEnd.ANSWERED, 1, now)
    assert lengths == sorted(lengths)
    assert lengths[-1] > 4 * lengths[0]


@pytest.mark.parametrize("is_retry", [False, True])
def test_draining_target_is_never_chosen(is_retry: bool) -> None:
    scenario = Scenario(target("t1"), target("t2"))
    leaving = replace(target("t1"), state=TargetState.DRAINING)
    scenario.pool.configure([leaving, target("t2")], 1.0)
    query = replace(QUERY, is_retry=is_retry, prefix_key=PrefixKey("x"))
    scenario.router.hints.record_cached(TargetId("t1"), PrefixKey("x"))
    chosen = {scenario.choose(query) for _ in range(20)}
    assert {c.target.target_id for c in chosen if c is not None} == {"t2"}


def test_prefix_goes_to_one_target_until_that_is_loaded() -> None:
    scenario = Scenario(*(target(f"t{i}") for i in range(6)))
    query = replace(QUERY, prefix_key=PrefixKey("charter"))
    chosen = {c.target.target_id for c in (scenario.choose(query),) * 5 if c}
    assert len(chosen) == 1
    preferred = chosen.pop()
    scenario.pool.apply_report(report(preferred, 8), 1.0)
    other = scenario.choose(query)
    assert other is not None
    assert other.target.target_id != preferred


def test_wrong_hint_does_not_prevent_a_choice() -> None:
    scenario = Scenario(target("t1"), target("t2"))
    query = replace(QUERY, prefix_key=PrefixKey("charter"))
    scenario.router.hints.record_cached(TargetId("gone"), PrefixKey("charter"))
    scenario.router.hints.record_cached(TargetId("t2"), PrefixKey("charter"))
    choice = scenario.choose(query)
    assert choice is not None
    assert choice.target.target_id == "t2"
    scenario.router.hints.remove_targets([TargetId("t2")])
    assert scenario.choose(query) is not None


@pytest.mark.fault("poison", "request sent")
def test_suspect_is_routed_to_the_target_with_the_fewest_requests() -> None:
    scenario = Scenario(target("t1"), target("t2"))
    scenario.pool.apply_report(report("t1", 1), 1.0)
    choice = scenario.choose(replace(QUERY, avoid_sharing=True))
    assert choice is not None
    assert (choice.target.target_id, choice.reason) == ("t2", RouteReason.ISOLATION)


def test_subset_is_bounded_and_keeps_targets_in_other_zones() -> None:
    targets = [target(f"t{i}", "abc"[i % 3]) for i in range(600)]
    subset = choose_subset(targets, 40, HERE, salt=7)
    assert len(subset) == 40
    assert sum(1 for each in subset if each.zone == "a") == 30
    assert subset != choose_subset(targets, 40, HERE, salt=8)


def test_target_at_a_new_address_does_not_count_old_requests() -> None:
    scenario = Scenario(target("t1"), target("t2"))
    scenario.pool.record_sent(TargetId("t1"), 1.0)
    moved = replace(target("t1"), url="http://127.0.0.1:2")
    scenario.pool.configure([moved, target("t2")], 2.0)
    scenario.pool.record_ended(TargetId("t1"), 3.0)
    assert scenario.pool.candidates_by_id[TargetId("t1")].load.own_active == 0
