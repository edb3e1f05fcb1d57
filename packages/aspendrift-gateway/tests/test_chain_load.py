"""Tests of what callers get when chains need more than the stage pools finish.

Several daemons decide on loads that are up to 0.3 s old, in virtual time.
"""

from __future__ import annotations

import importlib.util
import sys
from pathlib import Path

import pytest

_TOOL = Path(__file__).parents[3] / "tools" / "measure_chain_load.py"
_SPEC = importlib.util.spec_from_file_location("measure_chain_load", _TOOL)
play = importlib.util.module_from_spec(_SPEC)
sys.modules[_SPEC.name] = play
_SPEC.loader.exec_module(play)


def test_backlog_of_a_burst_does_not_make_every_later_request_late():
    """Guards against an overload that outlasts its burst.

    If overdue jobs go in the order of arrival, each new request waits behind the
    backlog and becomes overdue as well, although arrivals are below the capacity.
    """
    found = play.Play(play.LEARNED, play.AFTER_BURST, 1).run()
    assert found.share(since_s=play.AFTER_BURST_SINCE_S) >= 0.65


def test_load_below_the_capacity_is_served_on_time():
    """Guards against refusals and late calls while the pools can serve everyone."""
    found = play.Play(play.LEARNED, play.steady(0.8), 1).run()
    assert found.share(since_s=play.SINCE_S) >= 0.8
    assert _share_of(found, "refused") <= 0.05


def test_calls_of_a_pool_are_not_sent_through_a_link_too_slow_for_them():
    # The pools would belong to d2, d4 and d3 if all hosts had the same link.
    links = (1e8, 1e6, 1e6, 1e6, 1e6, 1e8)
    shares = [
        play.Play(play.LEARNED, play.steady(0.8), seed, links)
        .run()
        .share(since_s=play.SINCE_S)
        for seed in range(1, 7)
    ]
    assert sum(shares) / len(shares) >= 0.8


@pytest.mark.parametrize(("factor", "least"), [(1.2, 0.45), (2.0, 0.28)])
def test_load_beyond_the_capacity_is_shared(factor, least):
    """Guards against all requests being late, and against starving some of them.

    No rank or account is served less than a quarter as often as all requests, and
    large requests at least half as often.
    """
    found = play.Play(play.LEARNED, play.steady(factor), 1).run()
    on_time = found.share(since_s=play.SINCE_S)
    assert on_time >= least
    for rank in (0, 2):
        assert found.share(lambda r, n=rank: r.rank == n, play.SINCE_S) > on_time / 4
    for number in range(play.N_ACCOUNTS):
        name = f"a{number}"
        assert found.share(lambda r, n=name: r.account == n, play.SINCE_S) > on_time / 4
    assert found.share(lambda r: r.is_large, play.SINCE_S) > on_time / 2


def _share_of(found, outcome):
    return found.share(
        since_s=play.SINCE_S, outcome=lambda each: each.outcome == outcome
    )
