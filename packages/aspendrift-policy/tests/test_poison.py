"""Tests of suspects, quarantine and single-flight trials of poison contents."""

from __future__ import annotations

from aspendrift_model.ids import Fingerprint, TargetId
from aspendrift_policy.poison import (
    ContentState,
    PoisonLimits,
    SuspectTracker,
    Trial,
    TrialTracker,
)


def tracker(**limits):
    return SuspectTracker(PoisonLimits(**limits))


def test_first_crash_makes_suspects():
    suspects = tracker()
    assert suspects.record_crash("t1", {"a", "b"}, 1.0) == ()
    assert suspects.content_state("a", 2.0) is ContentState.SUSPECT
    assert suspects.content_state("c", 2.0) is ContentState.CLEAN
    assert suspects.crashed_targets("a") == {"t1"}


def test_content_common_to_two_crashes_is_quarantined():
    suspects = tracker()
    suspects.record_crash("t1", {"a", "b", "p"}, 1.0)
    assert suspects.record_crash("t2", {"c", "p"}, 2.0) == ("p",)
    assert suspects.content_state("p", 3.0) is ContentState.QUARANTINED
    assert suspects.content_state("a", 3.0) is ContentState.SUSPECT


def test_two_contents_common_to_two_crashes_are_not_quarantined():
    suspects = tracker()
    suspects.record_crash("t1", {"a", "p"}, 1.0)
    assert suspects.record_crash("t2", {"a", "p"}, 2.0) == ()
    assert suspects.record_crash("t3", {"p"}, 3.0) == ("p",)


def test_second_crash_of_one_target_quarantines_no_content():
    suspects = tracker()
    suspects.record_crash("t1", {"a"}, 1.0)
    assert suspects.record_crash("t1", {"a"}, 60.0) == ()
    assert suspects.content_state("a", 61.0) is ContentState.SUSPECT


def test_reports_of_several_daemons_are_one_crash():
    suspects = tracker()
    suspects.record_crash("t1", {"a"}, 1.0)
    suspects.record_crash("t1", {"b"}, 1.2)
    assert suspects.n_crashes == 1
    assert suspects.content_state("b", 2.0) is ContentState.SUSPECT


def test_completed_content_is_cleared():
    suspects = tracker()
    suspects.record_crash("t1", {"a", "p"}, 1.0)
    assert suspects.clear("a")
    assert suspects.record_crash("t2", {"a", "p"}, 2.0) == ("p",)


def test_suspicion_and_quarantine_expire():
    suspects = tracker(suspicion_s=10.0, quarantine_s=100.0)
    suspects.record_crash("t1", {"a", "p"}, 0.0)
    suspects.record_crash("t2", {"p"}, 1.0)
    assert suspects.content_state("a", 10.5) is ContentState.CLEAN
    assert suspects.content_state("p", 100.0) is ContentState.QUARANTINED
    assert suspects.content_state("p", 102.0) is ContentState.CLEAN


def test_memory_is_bounded():
    suspects = tracker(max_crashes=4, max_suspects_per_crash=3, max_quarantined=5)
    for i in range(50):
        suspects.record_crash(f"t{i}", {f"a{i}.{n}" for n in range(10)}, i * 1.0)
        suspects.quarantine(f"p{i}", i * 1.0)
    assert suspects.n_crashes <= 4
    states = [suspects.content_state(f"p{i}", 50.0) for i in range(50)]
    assert states.count(ContentState.QUARANTINED) == 5
    n_suspects = sum(
        suspects.content_state(f"a{i}.{n}", 50.0) is ContentState.SUSPECT
        for i in range(50)
        for n in range(10)
    )
    assert n_suspects <= 12


def test_one_trial_per_target_and_content():
    trials = TrialTracker(30.0)
    assert trials.begin(Trial("a", "t1", "d1"), 0.0)
    assert not trials.begin(Trial("b", "t1", "d1"), 0.1)
    assert not trials.begin(Trial("a", "t2", "d1"), 0.1)
    assert trials.begin(Trial("b", "t2", "d1"), 0.1)
    assert trials.busy_targets(0.2) == {"t1", "t2"}
    assert trials.end("a", "t1", "d1")
    assert trials.begin(Trial("c", "t1", "d1"), 0.3)


def test_two_daemons_agree_on_which_waiting_trial_goes_first():
    mine, theirs = Trial("a", "t1", "d1"), Trial("b", "t1", "d2")
    first, second = TrialTracker(30.0), TrialTracker(30.0)
    first.begin(mine, 0.0)
    second.begin(theirs, 0.0)
    first.apply_update(theirs, 0.01)
    second.apply_update(mine, 0.01)
    assert first.confirm(mine, 0.03)
    assert not second.confirm(theirs, 0.03)


def test_running_trial_goes_before_a_waiting_one():
    pending = Trial("a", "t1", "d1")
    trials = TrialTracker(30.0)
    trials.begin(pending, 0.0)
    trials.apply_update(Trial("b", "t1", "d2", running=True), 0.01)
    assert not trials.confirm(pending, 0.03)


def test_trial_of_a_daemon_that_died_ends():
    trials = TrialTracker(30.0)
    trials.apply_update(Trial("a", "t1", "d2", running=True), 0.0)
    assert trials.has_trial("a", 29.0)
    assert not trials.has_trial("a", 31.0)


def test_known_good_content_is_not_quarantined_for_crashes() -> None:
    tracker = SuspectTracker(PoisonLimits())
    content = Fingerprint("no body")
    tracker.mark_known_good(content, 0.0)
    tracker.record_crash(TargetId("t1"), [content], 1.0)
    assert tracker.record_crash(TargetId("t2"), [content], 2.0) == ()
    assert tracker.content_state(content, 2.0) is ContentState.CLEAN


def test_completed_run_discards_an_earlier_crash() -> None:
    tracker = SuspectTracker(PoisonLimits(known_good_s=10.0))
    content = Fingerprint("a")
    tracker.record_crash(TargetId("t1"), [content], 0.0)
    tracker.mark_known_good(content, 1.0)
    assert tracker.record_crash(TargetId("t2"), [content], 20.0) == ()
    assert tracker.record_crash(TargetId("t3"), [content], 21.0) == (content,)


def test_quarantine_ends_when_the_content_completed_at_another_daemon() -> None:
    suspects = tracker()
    suspects.record_crash("t1", {"a"}, 1.0)
    suspects.record_crash("t2", {"a"}, 2.0)
    assert suspects.exonerate("a", 20.0, 3.0)
    assert suspects.content_state("a", 3.0) is ContentState.CLEAN
    assert suspects.record_crash("t3", {"a"}, 4.0) == ()
    assert not suspects.exonerate("b", 20.0, 5.0)


def test_content_is_known_good_for_no_longer_than_where_it_completed() -> None:
    suspects = tracker()
    suspects.exonerate("a", 20.0, 3.0)
    assert suspects.known_good_s("a", 13.0) == 10.0
    suspects.exonerate("a", 5.0, 13.0)
    assert suspects.known_good_s("a", 13.0) == 10.0
    assert suspects.known_good_s("a", 23.0) == 0.0
    suspects.record_crash("t1", {"a"}, 24.0)
    suspects.record_crash("t2", {"a"}, 25.0)
    assert suspects.content_state("a", 25.0) is ContentState.QUARANTINED


def test_known_good_content_is_disputed_after_two_targets_crashed() -> None:
    suspects = tracker()
    suspects.mark_known_good("a", 0.0)
    suspects.record_crash("t1", {"a", "b"}, 1.0)
    suspects.record_crash("t1", {"a", "b"}, 20.0)
    assert not suspects.is_disputed("a", 20.0)
    suspects.record_crash("t2", {"a", "b"}, 21.0)
    assert suspects.is_disputed("a", 21.0)
    assert not suspects.is_disputed("b", 21.0)
    assert not suspects.is_disputed("a", 200.0)
