"""Tests of containing prompt parts that crash targets."""

from __future__ import annotations

import random

import pytest

from aspendrift_model.ids import PromptPartId, TargetId
from aspendrift_model.target_entries import TargetKey
from aspendrift_policy.prompt_suspects import PromptSuspects

BAD = "bad"
# Crashes after which no further request with the part may reach a target.
MAX_CRASHES = 5


def key(number, born=1):
    return TargetKey(TargetId(f"t{number}"), born)


def parts(*names):
    return tuple(PromptPartId(name) for name in names)


def crash(suspects, n_crashes, *names, now=0.0):
    """Record crashes of different targets over requests with these parts."""
    found = None
    for number in range(n_crashes):
        found = suspects.record_crash(key(number), parts(*names), now + number)
    return found


def refuses(suspects, *names, now=10.0):
    return suspects.matching(parts(*names), now) is not None


def test_part_common_to_the_crashes_is_refused_whatever_else_a_prompt_holds():
    suspects = PromptSuspects()
    for number in range(3):
        suspects.record_crash(key(number), parts(f"a{number}", BAD, f"b{number}"), 0.0)
    assert refuses(suspects, "other", BAD)
    assert not refuses(suspects, "a1", "b1")


def test_two_crashes_are_no_evidence():
    suspects = PromptSuspects()
    assert crash(suspects, 2, "a", BAD) is None
    assert not refuses(suspects, "a", BAD)


def test_part_beside_the_cause_is_not_refused_alone():
    suspects = PromptSuspects()
    assert crash(suspects, 3, "system", BAD) == {"system", BAD}
    assert refuses(suspects, "system", BAD)
    assert not refuses(suspects, "system", "c")


def test_part_that_was_completed_between_crashes_is_not_blamed():
    suspects = PromptSuspects()
    for number in range(8):
        suspects.record_crash(key(number), parts("system", f"a{number}"), number)
        suspects.record_completed(parts("system", "x"), number + 0.5)
    assert not refuses(suspects, "system", "a1")
    assert len(suspects) == 0


def test_reports_of_several_daemons_about_one_crash_count_once():
    suspects = PromptSuspects()
    for target in range(2):
        for report in range(5):
            suspects.record_crash(key(target), parts("a", BAD), report * 0.3)
    assert not refuses(suspects, "a", BAD)


def test_target_that_breaks_off_everything_puts_nothing_in_quarantine():
    suspects = PromptSuspects()
    for number in range(20):
        suspects.record_crash(key(1, born=number), parts("a", f"b{number}"), number)
    assert len(suspects) == 0


def test_prompt_without_shared_parts_is_never_suspected():
    suspects = PromptSuspects()
    crash(suspects, 9)
    assert len(suspects) == 0
    assert not refuses(suspects)


def test_quarantine_narrows_to_the_cause_as_other_parts_are_completed():
    suspects = PromptSuspects()
    crash(suspects, 3, "system", BAD)
    for _ in range(2):
        suspects.record_completed(parts("system", "x"), 5.0)
    assert refuses(suspects, "other", BAD)
    assert not refuses(suspects, "system", "x")


def test_quarantine_never_narrows_to_parts_that_were_completed():
    suspects = PromptSuspects()
    crash(suspects, 3, "system", "rare")
    suspects.record_completed(parts("system"), 5.0)
    for _ in range(3):
        suspects.record_completed(parts("rare"), 5.0)
    assert not refuses(suspects, "system")
    assert not refuses(suspects, "rare")


def test_further_crash_narrows_the_quarantine_to_the_common_part():
    suspects = PromptSuspects()
    crash(suspects, 3, "system", BAD)
    assert suspects.record_crash(key(7), parts("other", BAD), 4.0) == {BAD}
    assert refuses(suspects, "third", BAD)


def test_quarantine_that_completed_requests_refute_is_lifted_and_stays_so():
    suspects = PromptSuspects()
    signature = crash(suspects, 3, "a", "b")
    assert not suspects.record_completed(parts("a", "b"), 5.0).lifted
    assert suspects.record_completed(parts("a", "b"), 5.0).lifted == (signature,)
    assert not suspects.quarantine(signature, 1000.0, 6.0)
    assert not refuses(suspects, "a", "b")


def test_quarantine_and_suspicion_end():
    suspects = PromptSuspects()
    crash(suspects, 3, "a", BAD)
    assert refuses(suspects, "a", BAD, now=3000.0)
    assert not refuses(suspects, "a", BAD, now=4000.0)
    suspects = PromptSuspects()
    crash(suspects, 2, "a", BAD)
    suspects.record_crash(key(9), parts("a", BAD), 200.0)
    assert len(suspects) == 0


def test_daemons_with_the_same_quarantines_have_the_same_digest():
    first, second = PromptSuspects(), PromptSuspects()
    assert first.digest() == second.digest() == 0
    for found, order in ((first, ("a", "b")), (second, ("b", "a"))):
        for name in order:
            found.quarantine(frozenset(parts(name, BAD)), 100.0, 0.0)
    assert first.digest() == second.digest() != 0
    second.lift(frozenset(parts("a", BAD)), 1.0)
    assert first.digest() != second.digest()


def play_load(seed, was_sound=False, n_requests=600):
    """Play requests of three kinds at five targets, some with the part from second 10.

    With ``was_sound`` the part is in use before, and crashes nothing until then.
    Targets crash at times for other reasons, and are back after 4 s.
    """
    rng = random.Random(seed)
    suspects = PromptSuspects()
    down_until = dict.fromkeys(range(5), 0.0)
    n_starts = dict.fromkeys(range(5), 1)
    n_bad_crashes = n_sound = n_sound_refused = 0
    for number in range(n_requests):
        now = number * 0.1
        has_part = (now > 10.0 or was_sound) and rng.random() < 0.3
        is_bad = has_part and now > 10.0
        names = [f"system{rng.randrange(3)}", f"doc{rng.randrange(30)}"]
        if has_part:
            names.insert(rng.randrange(3), BAD)
        n_sound += not is_bad
        if suspects.matching(parts(*names), now) is not None:
            n_sound_refused += not is_bad
            continue
        up = [target for target, until in down_until.items() if until <= now]
        if not up:
            continue
        target = rng.choice(up)
        if is_bad or rng.random() < 0.02:
            n_bad_crashes += is_bad
            down_until[target] = now + 4.0
            n_starts[target] += 1
            incarnation = TargetKey(TargetId(f"t{target}.{n_starts[target]}"), 1)
            suspects.record_crash(incarnation, parts(*names), now)
        else:
            suspects.record_completed(parts(*names), now)
    return n_bad_crashes, n_sound, n_sound_refused


@pytest.mark.parametrize("was_sound", [False, True])
@pytest.mark.parametrize("seed", range(20))
def test_crashes_end_and_sound_requests_are_served_under_load(seed, was_sound):
    n_bad_crashes, n_sound, n_sound_refused = play_load(seed, was_sound)
    assert n_bad_crashes <= MAX_CRASHES
    assert n_sound_refused < 0.02 * n_sound
