"""Tests of load plans."""

from __future__ import annotations

import dataclasses

from aspendrift_model.states import StageKind
from aspendrift_standins.expected import ExpectedStage
from aspendrift_standins.load_plan import LoadAccount, LoadPlan, LoadProfile, planned

PLAN = LoadPlan(
    "run",
    7,
    2_000,
    100.0,
    (
        LoadProfile(
            "briefing",
            (ExpectedStage("encode", StageKind.ENCODE),),
            1_000,
            weight=4,
            shared_prefix_chars=50,
        ),
        LoadProfile(
            "deposit", (ExpectedStage("call", StageKind.CALL),), 1_000, False, 1
        ),
    ),
    (LoadAccount("a", "t1", 3), LoadAccount("b", "t2")),
    resend_share=0.1,
)


def test_same_seed_gives_the_same_requests() -> None:
    assert list(planned(PLAN)) == list(planned(PLAN))
    other = dataclasses.replace(PLAN, seed=8)
    assert list(planned(PLAN)) != list(planned(other))


def test_requests_come_at_the_rate_and_in_the_shares_planned() -> None:
    requests = list(planned(PLAN))
    assert len({request.request_id for request in requests}) == 2_000
    assert 18 < requests[-1].at_s < 22
    assert 340 < sum(r.profile.name == "deposit" for r in requests) < 460
    assert 1_400 < sum(r.account.account_id == "a" for r in requests) < 1_600
    assert 150 < sum(r.resend for r in requests) < 250


def test_input_begins_with_the_prefix_of_its_account() -> None:
    prefixes = {
        (request.account.account_id, request.input[:50])
        for request in planned(PLAN)
        if request.profile.name == "briefing"
    }
    assert len(prefixes) == 2
