"""Tests of pieces that are sent again, with gateways that are real processes."""

from __future__ import annotations

import asyncio

import pytest
from stage_repeats import STAGE_SERVICES, StageRepeats


@pytest.mark.parametrize(
    "trouble",
    [{"rejected_share": 0.9}, {"failed_share": 0.5, "kill_interval_s": 2.0}],
    ids=["rejected", "failed-and-killed"],
)
def test_pieces_of_stages_stay_within_the_common_limit_on_repeats(tmp_path, trouble):
    play = StageRepeats(tmp_path, 1, **trouble)
    asyncio.run(play.play())
    assert play.statuses[200] > 0
    excess = {each: play.worst_excess(each) for each in STAGE_SERVICES}
    assert max(excess.values()) <= 0, excess
