"""Tests of the selection of a target within a pool."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from aspendrift_model.ids import PoolName, PrefixKey, TargetId, ZoneName
from aspendrift_model.load_reports import LoadReport
from aspendrift_model.states import AttemptEnd
from aspendrift_model.target_entries import TargetEntry, TargetKey
from aspendrift_policy.affinity import target_hash, top_targets
from aspendrift_policy.outliers import EjectionRules
from aspendrift_policy.pool_choice import PoolChooser

RULES = EjectionRules(
    failures_to_eject=2, ejection_s=1.0, max_ejection_s=8.0, slow_start_s=0.0
)
ZONE = ZoneName("z1")


def entry(name, zone="z1", born=1, n_slots=4):
    key = TargetKey(TargetId(name), born)
    return TargetEntry(key, PoolName("p"), f"{name}:1", ZoneName(zone), n_slots, False)


def make_chooser(seed=0):
    return PoolChooser(RULES, random.Random(seed))


def choose(chooser, entries, now=0.0, prefix=None, excluded=()):
    return chooser.choose(entries, ZONE, prefix, excluded, now)


def test_idle_targets_of_the_own_zone_go_first():
    entries = [entry("t1", "z2"), entry("t2", "z1")]
    assert choose(make_chooser(), entries).key.target_id == "t2"


def test_load_outweighs_the_zone():
    chooser, entries = make_chooser(), [entry("t1", "z2"), entry("t2", "z1")]
    for _ in range(2):
        chooser.sent(entries[1])
    assert choose(chooser, entries).key.target_id == "t1"


def test_slow_target_is_avoided_and_tried_again_later():
    chooser, entries = make_chooser(), [entry("t1"), entry("t2")]
    for each, took_s in zip(entries, (0.3, 0.05), strict=True):
        chooser.sent(each)
        chooser.ended(each, AttemptEnd.ANSWERED, took_s, 0.0)
    assert {choose(chooser, entries, 0.1).key.target_id for _ in range(20)} == {"t2"}
    later = {choose(chooser, entries, 30.0).key.target_id for _ in range(40)}
    assert later == {"t1", "t2"}


def test_target_that_failed_twice_is_ejected_and_probed_once():
    chooser, entries = make_chooser(), [entry("t1"), entry("t2"), entry("t3")]
    for _ in range(2):
        chooser.sent(entries[0])
        chooser.ended(entries[0], AttemptEnd.BROKEN, None, 0.0)
    chosen = {choose(chooser, entries, 0.1).key.target_id for _ in range(20)}
    assert chosen == {"t2", "t3"}
    probes = [choose(chooser, entries, 1.5).key.target_id for _ in range(5)]
    assert probes.count("t1") == 1


def test_trial_does_not_use_up_a_probe():
    chooser, entries = make_chooser(), [entry("t1"), entry("t2")]
    chooser.sent(entries[0])
    chooser.ended(entries[0], AttemptEnd.NOT_SENT, None, 0.0)
    dry_run = chooser.choose(entries, ZONE, None, (), 2.0, is_dry_run=True)
    assert dry_run.key.target_id == "t2"
    assert choose(chooser, entries, 2.0).key.target_id == "t1"


def test_restarted_target_starts_without_its_failure_history():
    chooser = make_chooser()
    old, other = entry("t1"), entry("t2")
    for _ in range(2):
        chooser.sent(old)
        chooser.ended(old, AttemptEnd.BROKEN, None, 0.0)
    restarted = entry("t1", born=2)
    chooser.sent(other)
    assert choose(chooser, [restarted, other], 0.1).key == restarted.key


def test_requests_that_share_a_prompt_go_to_one_target():
    entries = [entry(f"t{n}", f"z{n % 3}") for n in range(6)]
    first, second = make_chooser(1), make_chooser(2)
    for number in range(50):
        prefix = PrefixKey(f"part{number}")
        one = choose(first, entries, prefix=prefix)
        assert one == choose(second, entries, prefix=prefix)


def test_prompts_spread_over_targets():
    entries = [entry(f"t{n}") for n in range(6)]
    chooser = make_chooser()
    counts = Counter(
        choose(chooser, entries, prefix=PrefixKey(f"part{n}")).key for n in range(600)
    )
    assert min(counts.values()) > 50


def send_hot(n_requests, n_slots):
    """Return the requests at each target after a number of them with one prompt."""
    entries = [entry(f"t{n}", n_slots=n_slots) for n in range(6)]
    chooser, counts = make_chooser(), Counter()
    for _ in range(n_requests):
        chosen = choose(chooser, entries, prefix=PrefixKey("hot"))
        chooser.sent(chosen)
        counts[chosen.key] += 1
    return counts


def test_hot_prompt_spills_over_before_it_overloads_its_target():
    assert max(send_hot(60, 4).values()) <= 25


def test_hot_prompt_does_not_queue_at_a_small_target_beside_free_ones():
    """Guards against a slack in requests, two thirds of the slots of a small target."""
    assert max(send_hot(40, 12).values()) <= 12


@pytest.mark.parametrize("n_requests", [5, 9, 60, 200])
def test_targets_of_64_slots_are_filled_as_before(n_requests):
    """Guards against moved cached prompts where the bound was 8 requests."""
    loads = [0] * 6
    hashes = [target_hash(TargetId(f"t{n}")) for n in range(6)]
    ranked = top_targets(PrefixKey("hot"), hashes, 6)
    for _ in range(n_requests):
        bound = 8.0 + 1.5 * sum(loads) / 6
        within = [index for index in ranked if loads[index] <= bound]
        loads[within[0]] += 1
    counts = send_hot(n_requests, 64)
    assert [counts[entry(f"t{n}").key] for n in range(6)] == loads


def test_target_on_a_slow_machine_counts_as_more_loaded():
    """Guards against half of the work on a machine that takes 2.5 times as long."""
    chooser, entries = make_chooser(), [entry("t1"), entry("t2")]
    for step in range(40):
        chooser.reported(entries[0], LoadReport(0, 0, 4, 2.5), step * 0.1)
    assert chooser.slowdown(entries[0], 4.0) > 2.0
    assert {choose(chooser, entries, 4.0).key.target_id for _ in range(20)} == {"t2"}
    assert chooser.slowdown(entries[0], 30.0) == pytest.approx(1.0, abs=0.01)


def test_flickering_pace_does_not_move_all_daemons_to_one_target():
    """Guards against following a pace that changes faster than a request takes.

    Every daemon sees every target, and the pace of each alternates every 0.1 s.
    """
    rng = random.Random(3)
    entries = [entry(f"t{n}", n_slots=64) for n in range(8)]
    choosers = [make_chooser(seed) for seed in range(20)]
    for step in range(100):
        now = 0.1 * step
        paces = [rng.choice((1.0, 1.0, 2.5)) for _ in entries]
        counts = Counter()
        for chooser in choosers:
            for each, pace in zip(entries, paces, strict=True):
                n_own = chooser.inputs(each, now).own_load
                chooser.reported(each, LoadReport(n_own, 0, 64, pace), now)
            chosen = choose(chooser, entries, now)
            chooser.sent(chosen)
            counts[chosen.key] += 1
        changes = [
            abs(chooser.slowdown(each, now) - chooser.slowdown(each, now + 0.1))
            for chooser in choosers
            for each in entries
        ]
        assert max(changes) < 0.1
    assert max(chooser.slowdown(e, 9.9) for e in entries for chooser in choosers) < 2.1


def test_excluded_targets_are_not_chosen():
    entries = [entry("t1"), entry("t2")]
    assert choose(make_chooser(), entries, excluded={"t1"}).key.target_id == "t2"
    assert choose(make_chooser(), entries, excluded={"t1", "t2"}) is None


def test_report_counts_requests_of_other_daemons():
    chooser, entries = make_chooser(), [entry("t1"), entry("t2")]
    chooser.reported(entries[0], LoadReport(2, 1, 4), 0.0)
    assert choose(chooser, entries, 0.1).key.target_id == "t2"
    assert chooser.load(entries[0], 0.1) == 3.0
    assert chooser.load(entries[0], 5.0) == 0.0


def test_probe_that_is_not_sent_leaves_the_target_due_for_another():
    """Without it, a target that got no permit for its probe stays ejected for ever."""
    chooser, entries = make_chooser(), [entry("t1"), entry("t2")]
    chooser.sent(entries[0])
    chooser.ended(entries[0], AttemptEnd.NOT_SENT, None, 0.0)
    for now in (2.0, 2.1):
        assert choose(chooser, entries, now).key.target_id == "t1"
        assert choose(chooser, entries, now).key.target_id == "t2"
        chooser.declined(entries[0], now)


def test_target_has_a_free_slot_while_healthy_and_not_full():
    chooser, target = make_chooser(), entry("t1")
    assert chooser.has_free_slot(target, 0.0)
    for _ in range(4):
        chooser.sent(target)
    assert not chooser.has_free_slot(target, 0.0)
    chooser.ended(target, AttemptEnd.NOT_SENT, None, 0.0)
    assert not chooser.has_free_slot(target, 0.0)
