"""Tests of decoding the operators' configuration and target entries."""

from __future__ import annotations

import json

import pytest

from aspendrift_gateway.interfaces import ConfigurationUnreadable
from aspendrift_model.routes import ColdLimit, RequestKind
from aspendrift_model.target_entries import TargetEntry, UnreadableEntry
from aspendrift_platform.configuration import decode_configuration, decode_entry

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "h.example",
            "prefix": "/a/",
            "kind": "streaming",
            "timeoutMs": 15000,
            "targetLatencyMs": 1500,
            "priority": 1,
            "split": [
                {"service": "s-1", "weight": 90},
                {"service": "s-2", "weight": 10},
            ],
            "maxAttempts": 2,
            "stages": [
                {"service": "s-3", "after": [], "byteCount": 8000},
                {"service": "s-3", "after": [0], "byteCount": 60000},
            ],
            "public": False,
            "sticky": True,
            "resumable": True,
            "targetGapMs": 300,
        },
        {
            "name": "r-2",
            "host": "h.example",
            "prefix": "/b/",
            "kind": "non_idempotent",
            "service": "s-1",
            "timeoutMs": 800,
            "targetLatencyMs": 200,
            "priority": 2,
            "maxAttempts": 1,
            "public": True,
        },
    ],
    "services": [
        {
            "name": "s-1",
            "healthPath": "/health",
            "maxConns": 360,
            "engine": {"slots": 64, "kvCapacity": 548488, "moves": True},
            "coldStartS": 3.0,
            "coldPerS": 5.5,
        },
        {
            "name": "s-3",
            "maxConns": 100,
            "pieces": {
                "slots": 1,
                "queue": 2,
                "batch": 4,
                "callMs": 150.0,
                "itemMs": 32.0,
                "headroomMb": 18.0,
                "handleS": 4.0,
                "linkMbps": 10000,
            },
        },
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [{"name": "a-1", "apiKeys": ["k1", "k2"], "priority": 1}],
}
ENTRY = {
    "service": "s-1",
    "address": "10.128.0.9:8080",
    "zone": "z",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "coldLeftMs": 0,
    "seq": 4,
}


def encode(value):
    return json.dumps(value).encode()


def test_configuration_is_decoded_into_internal_names_and_units():
    found = decode_configuration(encode(CONFIGURATION))
    stream, plain = found.routes
    assert found.version == 7
    assert stream.kind is RequestKind.STREAMING
    assert stream.timeout_s == 15.0
    assert stream.objective_s == 1.5
    assert stream.event_gap_s == 0.3
    assert [(each.pool, each.weight) for each in stream.pools] == [
        ("s-1", 90.0),
        ("s-2", 10.0),
    ]
    assert [(each.index, each.after) for each in stream.stages] == [(0, ()), (1, (0,))]
    assert stream.may_repeat
    assert plain.kind is RequestKind.NON_IDEMPOTENT
    assert not plain.may_repeat
    assert plain.is_public
    assert plain.pools[0].pool == "s-1"
    assert found.pools_by_name["s-3"].pieces.result_memory_bytes == 18e6
    assert found.pools_by_name["s-3"].pieces.call_s == 0.15
    assert found.pools_by_name["s-1"].model.n_slots == 64
    assert found.pools_by_name["s-1"].cold == ColdLimit(3.0, 5.5)
    assert found.pools_by_name["s-3"].cold is None
    assert found.accounts[0].keys == ("k1", "k2")
    assert found.limits.idle_timeout_s == 15.0


@pytest.mark.parametrize(
    "value",
    [
        b"\xff",
        b"[]",
        b"{}",
        b"[" * 100_000,
        encode({"version": 1, "routes": [{"host": "h", "prefix": "/", "kind": "new"}]}),
    ],
)
def test_unreadable_configuration_gives_the_reason(value):
    found = decode_configuration(value)
    assert isinstance(found, ConfigurationUnreadable)
    assert found.problem


def test_entry_is_decoded():
    found = decode_entry("i-1", encode({**ENTRY, "born": 17}))
    assert isinstance(found, TargetEntry)
    assert found.key.target_id == "i-1"
    assert found.key.born_ms == 17
    assert not found.is_draining


def test_time_that_a_target_stays_cold_is_decoded():
    found = decode_entry("i-1", encode({**ENTRY, "coldLeftMs": 1800}))
    assert found.cold_left_s == 1.8


def test_draining_entry_is_recognised():
    assert decode_entry("i-1", encode({**ENTRY, "state": "draining"})).is_draining


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff\xfe",
        b"null",
        b"[" * 100_000,
        *(
            encode({name: each for name, each in ENTRY.items() if name != missing})
            for missing in ENTRY
        ),
        encode({**ENTRY, "state": "starting"}),
        encode({**ENTRY, "slots": True}),
        encode({**ENTRY, "service": 3}),
        encode({**ENTRY, "born": 1.5}),
        encode({**ENTRY, "born": "17"}),
        encode({**ENTRY, "address": "host:80"}),
        encode({**ENTRY, "address": "10.0.0.1"}),
    ],
)
def test_entry_of_another_writer_names_no_target(value):
    found = decode_entry("i-1", value)
    assert isinstance(found, UnreadableEntry)
    assert found.problem
