"""Tests of estimated request ages and of caller timeouts."""

from __future__ import annotations

from aspendrift_model.ids import PoolName
from aspendrift_model.routes import RequestKind, Route, WeightedPool
from aspendrift_policy.caller_timeouts import caller_timeout_s, first_byte_timeout_s
from aspendrift_policy.request_ages import RequestAges


def route(kind=RequestKind.STREAMING, objective_s=1.5, gap_s=0.3):
    return Route(
        name="r",
        host="h",
        prefix="/",
        kind=kind,
        timeout_s=15.0,
        objective_s=objective_s,
        priority=1,
        pools=(WeightedPool(PoolName("p"), 1.0),),
        max_attempts=1,
        event_gap_s=gap_s,
    )


def test_resent_request_has_the_age_that_its_caller_timeout_lacks():
    ages = RequestAges()
    assert ages.age_s("r", 15.0) == 0.0
    assert ages.age_s("r", 12.5) == 2.5
    assert ages.age_s("other", 12.5) == 0.0
    assert ages.age_s("r", 14.98) == 0.0
    assert ages.age_s("r", None) == 0.0


def test_longer_caller_timeout_is_the_new_reference():
    ages = RequestAges()
    ages.age_s("r", 10.0)
    assert ages.age_s("r", 15.0) == 0.0
    assert ages.age_s("r", 10.0) == 5.0


def test_first_byte_timeout_of_a_stream_ends_before_its_deadline():
    assert first_byte_timeout_s(route(), 15.0) == 6.0
    assert first_byte_timeout_s(route(objective_s=0.2), 15.0) == 2.4
    assert first_byte_timeout_s(route(objective_s=0.2, gap_s=0.0), 15.0) == 2.0
    assert first_byte_timeout_s(route(), 3.0) == 3.0


def test_first_byte_timeout_of_a_plain_request_is_its_caller_timeout():
    plain = route(RequestKind.IDEMPOTENT)
    assert first_byte_timeout_s(plain, 20.0) == caller_timeout_s(plain, 20.0) == 15.0
    assert caller_timeout_s(plain, 1.5) == 1.5
