"""Tests of changes of the configuration, with gateways that are real processes."""

from __future__ import annotations

import asyncio

import pytest
from configuration_changes import ConfigurationChanges, Trouble


@pytest.mark.parametrize(
    "trouble",
    [Trouble(delay_s=0.9), Trouble(hidden_share=0.5), Trouble(stops=True)],
    ids=["slow", "hidden", "stops"],
)
def test_no_request_is_handled_by_an_older_configuration(tmp_path, trouble):
    changes = ConfigurationChanges(tmp_path, 1, trouble, n_gateways=3, n_changes=2)
    asyncio.run(changes.play())
    assert changes.violations() == []
    assert changes.summary()["by_status"].get(200, 0) > 0
