"""Tests of finding loaded targets, and of what callers gain from it under load."""

from __future__ import annotations

import heapq
import random
from collections import Counter, deque
from itertools import count
from statistics import quantiles

import pytest

from aspendrift_model.ids import DaemonId, PoolName, PrefixKey, TargetId, ZoneName
from aspendrift_model.load_reports import LoadReport
from aspendrift_model.states import AttemptEnd
from aspendrift_model.target_entries import TargetEntry, TargetKey
from aspendrift_policy.outliers import EjectionRules
from aspendrift_policy.pool_choice import PoolChooser
from aspendrift_policy.target_loads import (
    LoadTracker,
    ObservedLoad,
    list_interval_s,
    max_listed,
    relay_groups,
    sample_interval_s,
)
from aspendrift_policy.target_speeds import SpeedTracker, speed_of

RULES = EjectionRules(2, 1.0, 8.0, 0.0)
ZONE = ZoneName("z1")


def entry(name, n_slots=12, born=1):
    key = TargetKey(TargetId(name), born)
    return TargetEntry(key, PoolName("p"), f"{name}:1", ZONE, n_slots, False)


def observed(n_running, n_waiting=0, n_slots=12, at=0.0):
    return ObservedLoad(LoadReport(n_running, n_waiting, n_slots), at)


A, B, C = (entry(name) for name in "abc")


def make_chooser(seed=0):
    return PoolChooser(RULES, random.Random(seed))


def test_targets_are_loaded_over_three_quarters_of_their_slots_or_with_a_queue():
    tracker = LoadTracker()
    tracker.record(A.key, observed(9))
    tracker.record(B.key, observed(10))
    tracker.record(C.key, observed(4, 3))
    assert list(tracker.loaded(0.5)) == [B.key, C.key]
    assert list(tracker.loaded(1.5)) == []


def test_later_sample_replaces_an_earlier_one_whatever_their_order():
    tracker = LoadTracker()
    tracker.record(A.key, observed(3, at=2.0))
    tracker.record(A.key, observed(12, 5, at=1.9))
    assert list(tracker.loaded(2.1)) == []


def chosen_ids(chooser, now, prefix=None, n=200, entries=(A, B, C)):
    choices = (chooser.choose(entries, ZONE, prefix, (), now) for _ in range(n))
    return Counter(each.key.target_id for each in choices)


@pytest.mark.parametrize("prefix", [None, PrefixKey("p1")])
def test_queued_target_gets_nothing_until_the_list_expires(prefix):
    """Guards against work at a queue that only other daemons saw."""
    chooser = make_chooser()
    first = chosen_ids(chooser, 0.0, prefix).most_common(1)[0][0]
    key = TargetKey(TargetId(first), 1)
    chooser.apply_loaded({key: observed(12, 3)}, 0.0, 1.5)
    assert first not in chosen_ids(chooser, 1.0, prefix)
    assert first in chosen_ids(chooser, 1.6, prefix)


def test_cached_work_is_let_in_as_far_as_it_fits():
    """Guards against all daemons filling the last slots of a target at once."""
    chooser, prefix = make_chooser(), PrefixKey("p1")
    (first,) = chosen_ids(chooser, 0.0, prefix)
    key = TargetKey(TargetId(first), 1)
    shares = []
    for n_running in (10, 11, 12):
        chooser.apply_loaded({key: observed(n_running)}, 0.0, 1.5)
        shares.append(chosen_ids(chooser, 0.1, prefix)[first] / 200)
    assert 0.55 < shares[0] < 0.8
    assert 0.2 < shares[1] < 0.45
    assert shares[2] == 0.0


def test_own_later_report_takes_precedence_over_the_list():
    chooser = make_chooser()
    chooser.apply_loaded(
        {A.key: observed(12, 3, at=0.0), B.key: observed(12)}, 0.0, 1.5
    )
    chooser.reported(A, LoadReport(0, 0, 12), 0.5)
    assert "a" in chosen_ids(chooser, 0.6)
    chooser.reported(A, LoadReport(12, 1, 12), 0.7)
    assert set(chosen_ids(chooser, 0.8)) == {"c"}


def test_restarted_target_starts_without_the_load_of_its_predecessor():
    chooser, restarted = make_chooser(), entry("a", born=2)
    chooser.apply_loaded({A.key: observed(12, 9)}, 0.0, 1.5)
    assert chooser.load(restarted, 0.1) == 0.0
    assert "a" in chosen_ids(chooser, 0.1, entries=(restarted, B))


def test_work_spreads_if_all_targets_are_loaded():
    """Guards against all daemons choosing the least loaded target of their list."""
    entries = [entry(f"t{number:02}") for number in range(20)]
    loads = {each.key: observed(12, n) for n, each in enumerate(entries)}
    counts = Counter()
    for seed in range(40):
        chooser = make_chooser(seed)
        chooser.apply_loaded(loads, 0.0, 1.5)
        counts += chosen_ids(chooser, 0.1, n=5, entries=entries)
    assert max(counts.values()) < 0.2 * counts.total()


@pytest.mark.parametrize("n_daemons", [1, 2, 8, 64, 195, 350])
def test_each_daemon_gets_one_message_and_the_owner_sends_few(n_daemons):
    ids = [DaemonId(f"d{number}") for number in range(n_daemons)]
    groups = relay_groups(ids, random.Random(1))
    reached = [each for group in groups for each in (group.relay, *group.others)]
    assert sorted(reached) == sorted(ids)
    assert len(groups) <= n_daemons**0.5
    n_bytes = len(groups) * 32 * max_listed(n_daemons) + 12 * n_daemons
    assert n_bytes <= 8192 + 32 * len(groups)
    assert n_daemons / sample_interval_s(n_daemons) <= max(64.0, 4 * n_daemons / 350)


class Play:
    """Streams of many daemons at model targets, in virtual time.

    A target has slots and a queue. Its head comes when a stream starts, its first
    event after the prompt was read. Loads travel as they do between daemons: samples
    after up to 0.25 s, at the interval of each daemon, lists each 0.5 s to 1 s.
    """

    def __init__(
        self,
        seed,
        n_daemons,
        n_targets,
        n_slots,
        shares_loads,
        speeds=(1,),
        learns=False,
    ):
        self.rng = random.Random(seed)
        self.entries = [entry(f"t{n:02}", n_slots) for n in range(n_targets)]
        self.factors = {
            each.key: 1 / speeds[n % len(speeds)] for n, each in enumerate(self.entries)
        }
        self.choosers = [make_chooser(f"{seed}/{n}") for n in range(n_daemons)]
        self.sampled_at = dict.fromkeys(self.choosers, float("-inf"))
        self.shares_loads = shares_loads
        self.tracker = LoadTracker()
        self.learns = learns
        self.speeds = SpeedTracker()
        self.n_running = Counter()
        self.queues = {each.key: deque() for each in self.entries}
        self.first_s = []
        self.numbers = count()
        self.agenda = []

    def at(self, when, act, *args):
        heapq.heappush(self.agenda, (when, next(self.numbers), act, args))

    def play(self, per_s, prefixes, until, hot_share=0.0):
        """Return the times to the first event of the streams that arrived."""
        self.at(0.0, self.arrive, per_s, prefixes, hot_share)
        self.at(0.5, self.share)
        while self.agenda:
            now, _, act, args = heapq.heappop(self.agenda)
            if now > until:
                break
            act(now, *args)
        return self.first_s

    def arrive(self, now, per_s, prefixes, hot_share):
        is_hot = self.rng.random() < hot_share
        number = 0 if is_hot else self.rng.randrange(prefixes)
        chooser = self.rng.choice(self.choosers)
        prefix = PrefixKey(f"{number}")
        target = chooser.choose(self.entries, ZONE, prefix, (), now)
        chooser.sent(target)
        self.queues[target.key].append((chooser, target, now))
        self.serve(now, target)
        self.at(
            now + self.rng.expovariate(per_s), self.arrive, per_s, prefixes, hot_share
        )

    def serve(self, now, target):
        queue, key = self.queues[target.key], target.key
        while queue and self.n_running[key] < target.n_slots:
            chooser, _, arrived_at = queue.popleft()
            self.n_running[key] += 1
            slowness = self.factors[key]
            slowness *= 1 + self.n_running[key] / target.n_slots
            first_s = 0.08 * slowness
            self.first_s.append(now + first_s - arrived_at)
            report = LoadReport(self.n_running[key], len(queue), target.n_slots)
            chooser.reported(target, report, now)
            self.sample(now, chooser, target, report)
            self.at(now + first_s + 0.6 * slowness, self.end, chooser, target, slowness)

    def end(self, now, chooser, target, slowness):
        self.speeds.record(target.key, 0.02 * slowness, now)
        chooser.ended(target, AttemptEnd.ANSWERED, None, now)
        self.n_running[target.key] -= 1
        self.serve(now, target)

    def sample(self, now, chooser, target, report):
        interval_s = sample_interval_s(len(self.choosers))
        is_high = report.n_waiting or report.n_running > 0.75 * report.n_slots
        if is_high and now - self.sampled_at[chooser] >= interval_s:
            self.sampled_at[chooser] = now
            load = ObservedLoad(report, now)
            delay_s = self.rng.uniform(0.01, 0.27)
            self.at(now + delay_s, lambda now: self.tracker.record(target.key, load))

    def share(self, now):
        if self.shares_loads:
            found = list(self.tracker.loaded(now).items())
            loads = dict(found[: max_listed(len(self.choosers))])
            for chooser in self.choosers:
                chooser.apply_loaded(loads, now, now + 1.5)
        if self.learns:
            steps = self.speeds.steps(now)
            speeds = {key: speed_of(step) for key, step in steps.items()}
            for chooser in self.choosers:
                chooser.apply_speeds(speeds, now + 20.0)
        n_listed = min(len(self.tracker.loaded(now)), max_listed(len(self.choosers)))
        n_bytes = 27 * n_listed * len(self.choosers) ** 0.5
        self.at(now + list_interval_s(n_bytes), self.share)


def share_over(times_s, limit_s):
    return sum(each > limit_s for each in times_s) / len(times_s)


@pytest.mark.parametrize("seed", range(3))
def test_hot_prompt_at_many_daemons_does_not_queue_beside_free_targets(seed):
    """Guards against a queue at the target of a hot prompt.

    61 daemons see each of 56 targets once in 15 s. A fifth of the requests have one
    prompt, three times what its target serves.
    """
    times = {}
    for shares_loads in (False, True):
        game = Play(seed, 61, 56, 12, shares_loads)
        times[shares_loads] = game.play(190.0, 380, 20.0, hot_share=0.2)
    assert share_over(times[False], 1.0) > 0.1
    assert share_over(times[True], 1.0) < 0.1 * share_over(times[False], 1.0)
    p95 = {each: quantiles(times[each], n=20)[-1] for each in times}
    assert p95[True] < 0.5 * p95[False]


FACTORS = (0.6, 1.0, 1.6)
# Streams per second that 56 targets of 12 slots with these speeds serve at most.
CAPACITY_PER_S = sum(12 * FACTORS[n % 3] / (0.68 * 2) for n in range(56))


def play_speeds(share, learns):
    """Return the times of streams that arrived once speeds may have been learned."""
    game = Play(1, 61, 56, 12, learns, FACTORS, learns)
    times_s = game.play(CAPACITY_PER_S * share, 380, 24.0)
    return times_s[len(times_s) // 2 :]


@pytest.mark.parametrize(("share", "gain"), [(0.5, 0.1), (0.9, 0.5)])
def test_work_is_divided_by_what_targets_of_three_speeds_finish(share, gain):
    """Guards against queues at slow targets while fast ones are idle.

    Speeds and loads are compared with counts of each daemon's own requests.
    """
    before, after = play_speeds(share, False), play_speeds(share, True)
    assert share_over(after, 1.0) < gain * share_over(before, 1.0)
    assert sum(after) / len(after) < 0.6 * sum(before) / len(before)
