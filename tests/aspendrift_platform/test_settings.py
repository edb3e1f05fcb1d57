"""Tests of decoding the platform's settings file."""

from __future__ import annotations

import json

import msgspec
import pytest

from aspendrift_model.hosts import HostCapacity
from aspendrift_platform.settings import SettingsFile, decode_settings

SETTINGS = {
    "nodeName": "front-a-1",
    "role": "gateway",
    "ip": "10.1.0.41",
    "zone": "a",
    "region": "r",
    "listen": {
        "front": "10.1.0.41:8625",
        "ready": "10.1.0.41:8621",
        "control": "10.1.0.41:8628",
        "directory": "10.1.0.41:8620",
    },
    "portRange": [7740, 7755],
    "limits": {"maxFds": 4100, "memoryMb": 300},
    "dataDir": None,
    "bounds": {
        "drainMs": 2000,
        "configMs": 2500,
        "graceS": 8,
        "ttl_max_s": 5,
        "retryBudgetRatio": 0.2,
        "budgetWindowS": 10,
        "budgetExtra": 52,
        "leaseMs": None,
    },
    "platform": {"address": "10.200.1.7:8624", "writesPerS": 400, "readsPerS": 2000},
    "unknown": {"new": 1},
}


def test_settings_are_decoded_into_seconds_and_internal_names():
    found = decode_settings(json.dumps(SETTINGS).encode(), 9000)
    assert found.daemon_id == "front-a-1"
    assert found.location.zone == "a"
    assert found.front_address == "10.1.0.41:8625"
    assert found.directory_address == "10.1.0.41:8620"
    assert found.peer_ports == (7740, 7755)
    assert found.drain_s == 2.0
    assert found.store_reads_per_s == 2000
    assert found.retry_extra == 52
    assert found.store_address == "10.200.1.7:8624"
    assert found.max_files == 4100


@pytest.mark.parametrize(
    ("limits", "capacity"),
    [
        (
            {"cpuShare": 0.5, "cores": 3, "linkMbps": 12.5},
            HostCapacity(1.5, 12_500_000.0),
        ),
        ({"cpuShare": None, "cores": 1, "linkMbps": None}, HostCapacity()),
        ({}, HostCapacity()),
    ],
    ids=["stated", "null", "absent"],
)
def test_capacity_of_the_host_is_that_of_its_limits(limits, capacity):
    content = json.dumps({**SETTINGS, "limits": limits}).encode()
    assert decode_settings(content, 9000).capacity == capacity


def test_bounds_of_evacuations_and_cold_targets_are_decoded():
    bounds = {"evacuateMs": 4000, "coldOverrun": 1.5, "coldSlack": 5}
    found = decode_settings(json.dumps({**SETTINGS, "bounds": bounds}).encode(), 9000)
    assert found.evacuation_s == 4.0
    assert (found.cold_overrun, found.cold_slack) == (1.5, 5.0)


@pytest.mark.parametrize("bounds", [{}, {"evacuateMs": None, "coldSlack": None}])
def test_bounds_that_a_deployment_does_not_have_are_no_error(bounds):
    found = decode_settings(json.dumps({**SETTINGS, "bounds": bounds}).encode(), 9000)
    assert found.evacuation_s == 5.0
    assert (found.cold_overrun, found.cold_slack) == (1.0, 0.0)


@pytest.mark.parametrize("content", [b"", b"[]", b"{}", b'{"nodeName": 3}'])
def test_settings_that_cannot_be_used_raise(content):
    with pytest.raises(msgspec.MsgspecError):
        decode_settings(content, 9000)


def test_stamp_of_the_file_differs_once_it_is_written_or_replaced(tmp_path):
    path = tmp_path / "local.json"
    path.write_bytes(json.dumps(SETTINGS).encode())
    source = SettingsFile(path, 9000)
    before = source.change_token()
    assert source.change_token() == before
    replaced = tmp_path / "new.json"
    replaced.write_bytes(json.dumps({**SETTINGS, "nodeName": "front-a-2"}).encode())
    replaced.rename(path)
    assert source.change_token() != before
    assert source.read().daemon_id == "front-a-2"
