"""Tests of gossip duplicate filtering and the rate of head reads."""

from __future__ import annotations

import random

import pytest

from aspendrift_policy.gossip_push import SeenMessages, head_read_delay_s


@pytest.mark.parametrize("n_daemons", [1, 8, 32, 96, 350, 1000])
def test_head_reads_of_all_daemons_stay_within_the_bound(n_daemons: int) -> None:
    rng = random.Random(1)
    delays = [head_read_delay_s(n_daemons, 50.0, rng) for _ in range(2000)]
    mean_s = sum(delays) / len(delays)
    assert n_daemons / mean_s <= 50.0 * 1.02
    assert max(delays) <= max(1.0, n_daemons / 50.0) * 1.25


def test_repeated_message_is_not_new() -> None:
    seen = SeenMessages(limit=2)
    assert seen.is_new("d1", 1, 1)
    assert not seen.is_new("d1", 1, 1)
    assert seen.is_new("d1", 2, 1)
    assert seen.is_new("d2", 1, 1)
