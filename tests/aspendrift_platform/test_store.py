"""Tests of encoding store calls and decoding their responses."""

from __future__ import annotations

import base64
import json
from urllib.parse import parse_qs, urlsplit

import pytest

from aspendrift_model.store_rows import StorePosition
from aspendrift_platform.store import PlatformStoreCodec

CODEC = PlatformStoreCodec()


def parse_query(call):
    parts = urlsplit(call.target_path)
    found = parse_qs(parts.query, keep_blank_values=True)
    return parts.path, {name: values[0] for name, values in found.items()}


def test_read_of_the_next_page_begins_behind_the_last_key():
    path, sent = parse_query(CODEC.read("servers", "i-1"))
    assert path == "/-/rows-get"
    assert sent == {"table": "servers", "part": "", "from": "i-1\0"}


def test_read_of_one_key_reads_only_that():
    _, sent = parse_query(CODEC.read_key("op", "config"))
    assert sent["from"] == "config"
    assert sent["to"] == "config\0"


@pytest.mark.parametrize(
    ("key", "zone"),
    [("evacuate/z1", "z1"), ("config", None), ("evacuate/", None), ("evacuate", None)],
)
def test_row_that_requests_an_evacuation_names_its_zone(key, zone):
    assert CODEC.evacuated_zone(key) == zone


def test_feed_continues_after_a_version():
    path, sent = parse_query(CODEC.feed("servers", 530, 2.0))
    assert path == "/-/rows-feed"
    assert sent == {"table": "servers", "after": "530", "waitMs": "2000"}


def test_put_and_remove_are_transactions_without_a_condition():
    put = json.loads(CODEC.put("t", "k", b"value").body)
    assert put["expectRev"] == []
    assert base64.b64decode(put["puts"][0]["value"]) == b"value"
    removed = json.loads(CODEC.remove("t", "k").body)
    assert removed["remove"] == [{"table": "t", "part": "", "key": "k"}]


def test_rows_are_decoded_and_removed_ones_marked():
    body = json.dumps(
        {
            "rows": [
                {"table": "t", "part": "", "key": "a", "value": "eA==", "ver": 3},
                {"table": "t", "part": "", "key": "b", "ver": 4, "deleted": True},
            ],
            "truncated": False,
            "ver": 9,
            "nowMs": 5,
        }
    ).encode()
    found = CODEC.rows(body, 2)
    assert found.position == StorePosition(2, 9)
    assert found.version == 9
    assert [(row.key, row.value) for row in found.rows] == [("a", b"x"), ("b", None)]


@pytest.mark.parametrize("body", [b"", b"{}", b'{"rows":[{"key":"a","value":"?"}]}'])
def test_unreadable_answer_is_none(body):
    assert CODEC.rows(body, 0) is None


@pytest.mark.parametrize(
    ("headers", "era"),
    [
        (((b"Store-Era", b"3"),), 3),
        (((b"store-era", b"0"),), 0),
        (((b"store-era", b"new"),), None),
        ((), None),
    ],
)
def test_era_of_the_store_is_in_a_header_of_each_answer(headers, era):
    assert CODEC.era(headers) == era
