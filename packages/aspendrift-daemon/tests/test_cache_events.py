"""Tests of polling cache events."""

from __future__ import annotations

import random

import httpx

from aspendrift_daemon.cache_events import CacheEventReader
from aspendrift_model.configuration import Configuration
from aspendrift_model.ids import PrefixKey, TargetId
from aspendrift_model.settings_routing import RoutingSettings
from aspendrift_model.wire_target import CacheEvent, CacheEvents
from aspendrift_policy.affinity import CacheHints

ENGINE = TargetId("e1")
KEY = PrefixKey("k1")


class NoConfiguration:
    def current(self) -> Configuration:
        return Configuration()

    def on_change(self, listener: object) -> None:
        pass


def reader(hints: CacheHints) -> CacheEventReader:
    return CacheEventReader(
        RoutingSettings(),
        NoConfiguration(),
        httpx.AsyncClient,
        hints,
        None,  # type: ignore[arg-type]
        random.Random(1),
    )


def test_events_become_hints_and_repeated_ones_change_nothing() -> None:
    hints = CacheHints()
    each = reader(hints)
    added = CacheEvents(1, (CacheEvent(1, KEY, True),))
    each.apply(ENGINE, added)
    assert list(hints.holders(KEY)) == [ENGINE]
    each.apply(ENGINE, CacheEvents(1, (CacheEvent(2, KEY, False),)))
    each.apply(ENGINE, added)
    assert list(hints.holders(KEY)) == []


def test_sequence_gap_drops_the_hints_of_the_engine() -> None:
    hints = CacheHints()
    each = reader(hints)
    each.apply(ENGINE, CacheEvents(1, (CacheEvent(1, KEY, True),)))
    each.apply(ENGINE, CacheEvents(9, (CacheEvent(9, "k2", True),)))
    assert list(hints.holders(KEY)) == []
    assert list(hints.holders(PrefixKey("k2"))) == [ENGINE]
