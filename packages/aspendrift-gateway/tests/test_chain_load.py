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
    assert found.share(since_s=play.AFTER_BURST_SINCE_S) >= 0.5


@pytest.mark.parametrize(("factor", "least"), [(1.2, 0.35), (2.0, 0.25)])
def test_load_beyond_the_capacity_leaves_requests_on_time(factor, least):
    """Guards against all requests being late because none is refused in time."""
    found = play.Play(play.LEARNED, play.steady(factor), 1).run()
    assert found.share(since_s=play.SINCE_S) >= least
