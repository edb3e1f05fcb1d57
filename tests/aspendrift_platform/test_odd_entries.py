"""Tests of entries that other writers left in the list of targets."""

from __future__ import annotations

import json

import pytest
from platform_emulator import target_entry

from aspendrift_model.target_entries import TargetEntry, UnreadableEntry
from aspendrift_platform.configuration import decode_entry

SOUND = target_entry("desk", "127.0.0.1:9")
TOO_LARGE = int("9" * 400)
ODD = {
    "cold-time-too-large": {"coldLeftMs": TOO_LARGE},
    "cold-time-too-small": {"coldLeftMs": -TOO_LARGE},
    "slots-too-large": {"slots": TOO_LARGE},
    "no-slots": {"slots": 0},
    "negative-slots": {"slots": -1},
    "start-too-late": {"born": TOO_LARGE},
    "start-beyond-64-bits": {"born": 1 << 64},
    "negative-start": {"born": -1},
    "port-too-large": {"address": "127.0.0.1:99999"},
    "port-0": {"address": "127.0.0.1:0"},
    "ip-out-of-range": {"address": "127.0.0.256:80"},
    "line-break-in-the-version": {"version": "v\r\nx: 1"},
}


def _encoded(change):
    return json.dumps({**SOUND, **change}).encode()


VALUES = {
    **{name: _encoded(change) for name, change in ODD.items()},
    "nested": b'{"a":' * 100_000 + b"1" + b"}" * 100_000,
    "nested-in-a-sound-entry": _encoded({})[:-1]
    + b',"x":'
    + b"[" * 100_000
    + b"]" * 100_000
    + b"}",
}


@pytest.mark.parametrize("name", VALUES)
def test_odd_entry_names_no_target(name):
    assert isinstance(decode_entry("i-odd", VALUES[name]), UnreadableEntry)


def test_id_that_no_header_can_hold_names_no_target():
    for key in ("i\r\nx: 1", "", "\u00e9", "i" * 201):
        assert isinstance(decode_entry(key, _encoded({})), UnreadableEntry)


@pytest.mark.parametrize("version", ["", "v2-\u00e9"])
def test_any_printable_version_is_allowed(version):
    found = decode_entry("i-1", _encoded({"version": version}))
    assert isinstance(found, TargetEntry)


def test_odd_entries_keep_no_gateway_from_following_the_list(run_scenario):
    async def scenario(cluster):
        platform = cluster.platform
        for name, value in VALUES.items():
            platform.store.put("servers", f"odd-{name}", value)
        await platform.add_target("desk-late", "desk")
        for gateway in cluster.gateways:
            await cluster.until(
                lambda g=gateway: (
                    {each.key.target_id for each in g.state.registry.usable("desk")}
                    == {"desk-0", "desk-1", "desk-late"}
                )
            )
            for _ in range(6):
                assert (await cluster.call(gateway, "/safe/x"))[1].status_code == 200
        started = await cluster.add_gateway("started-beside-odd-entries")
        await cluster.until(started.is_ready)
        assert (await cluster.call(started, "/safe/x"))[1].status_code == 200

    run_scenario(scenario, 3)
