"""Tests of holding origins of streams, and of concluding on a lost one."""

from __future__ import annotations

import random

from aspendrift_model.ids import AttemptId, DaemonId, SoftwareVersion
from aspendrift_policy.stream_origins import (
    N_HOLDERS,
    N_QUERIED,
    OriginInquiry,
    OriginSource,
    StreamOrigin,
    StreamOrigins,
    VersionHistory,
    holders,
)

V1, V2 = SoftwareVersion("v1"), SoftwareVersion("v2")
UNKNOWN = StreamOrigin(None, OriginSource.UNKNOWN)


def history(*versions, is_complete=True):
    return VersionHistory(frozenset(versions), is_complete)


def test_first_origin_of_an_attempt_stays():
    origins = StreamOrigins()
    origins.record(AttemptId("a"), V1, 0.0)
    origins.record(AttemptId("a"), V2, 1.0)
    assert origins.software(AttemptId("a"), 2.0) == V1
    assert origins.software(AttemptId("b"), 2.0) is None


def test_origins_expire_and_their_number_is_bounded():
    origins = StreamOrigins()
    for number in range(20_000):
        origins.record(AttemptId(str(number)), V1, number * 0.001)
    assert len(origins) <= 16_384
    assert origins.software(AttemptId("19999"), 20.0) == V1
    assert origins.software(AttemptId("19999"), 200.0) is None
    origins.record(AttemptId("new"), V2, 300.0)
    assert len(origins) == 1


def test_most_origins_outlive_a_loss_of_six_in_ten_daemons():
    rng = random.Random(1)
    daemons = [DaemonId(f"d{number}") for number in range(20)]
    n_found = 0
    for number in range(500):
        attempt = AttemptId(f"a{number}")
        written = set(holders(attempt, daemons, N_HOLDERS))
        alive = rng.sample(daemons, 8)
        # Restarted daemons are members again, and hold nothing.
        asked = holders(attempt, daemons, N_QUERIED)
        n_found += any(each in written and each in alive for each in asked)
    assert n_found > 0.7 * 500


def test_holders_are_asked_though_a_daemon_joined_meanwhile():
    daemons = [DaemonId(f"d{number}") for number in range(20)]
    for number in range(200):
        attempt = AttemptId(f"a{number}")
        written = set(holders(attempt, daemons, N_HOLDERS))
        asked = set(holders(attempt, [*daemons, DaemonId("new")], N_QUERIED))
        assert written <= asked


def test_recorded_version_settles_an_inquiry_whatever_the_histories_are():
    inquiry = OriginInquiry(3)
    inquiry.answered(None, history(V1))
    assert not inquiry.is_settled
    inquiry.answered(V2, history(V1, V2))
    assert inquiry.is_settled
    assert inquiry.result(history(V1)) == StreamOrigin(V2, OriginSource.HOLDER)


def test_sole_version_of_a_pool_that_was_observed_throughout_is_the_origin():
    own = history(V1, is_complete=False)
    inquiry = OriginInquiry(1)
    assert inquiry.result(own) == UNKNOWN
    inquiry.answered(None, history(V1))
    assert inquiry.result(own) == StreamOrigin(V1, OriginSource.HISTORY)


def test_version_that_one_daemon_saw_leaves_the_origin_unknown():
    inquiry = OriginInquiry(1)
    inquiry.answered(None, history(V1))
    assert inquiry.result(history(V1, V2, is_complete=False)) == UNKNOWN
    inquiry = OriginInquiry(1)
    inquiry.answered(None, history(V1, V2, is_complete=False))
    assert inquiry.result(history(V1)) == UNKNOWN


def test_pool_without_targets_leaves_the_origin_unknown():
    assert OriginInquiry(0).result(history()) == UNKNOWN
