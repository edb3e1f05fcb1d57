"""Property tests of the wire messages: any input is a message or unreadable."""

from __future__ import annotations

from types import ModuleType
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from aspendrift_model import (
    wire_caller,
    wire_operator,
    wire_peer,
    wire_platform,
    wire_target,
)
from aspendrift_model.unreadable import UNREADABLE
from aspendrift_model.wire_peer import PEER_PROTOCOL_VERSION, Envelope

DEPTH = 5000


def messages_of(module: ModuleType) -> list[type[msgspec.Struct]]:
    found = [getattr(module, name) for name in module.__all__]
    return [
        each
        for each in found
        if isinstance(each, type) and issubclass(each, msgspec.Struct)
    ]


JSON_MESSAGES = [
    each
    for module in (wire_caller, wire_operator, wire_platform, wire_target)
    for each in messages_of(module)
]
PEER_MESSAGES = messages_of(wire_peer)


def read(decode: Any, content: bytes, kind: type[msgspec.Struct]) -> None:
    try:
        assert isinstance(decode(content, type=kind), kind)
    except UNREADABLE:
        pass


@given(st.sampled_from(JSON_MESSAGES), st.binary(max_size=100))
def test_any_json_is_a_message_or_unreadable(
    kind: type[msgspec.Struct], content: bytes
) -> None:
    read(msgspec.json.decode, content, kind)


@given(st.sampled_from(PEER_MESSAGES), st.binary(max_size=100))
def test_any_message_pack_is_a_message_or_unreadable(
    kind: type[msgspec.Struct], content: bytes
) -> None:
    read(msgspec.msgpack.decode, content, kind)


@pytest.mark.parametrize("kind", JSON_MESSAGES, ids=lambda kind: kind.__name__)
def test_hostile_json_is_unreadable(kind: type[msgspec.Struct]) -> None:
    fields = [field.encode_name for field in msgspec.structs.fields(kind)]
    for name in (*fields, "unknown"):
        for value in (b"[" * DEPTH, b'{"a":' * DEPTH, b'"\\ud800"', b'"\xff"'):
            read(msgspec.json.decode, b'{"' + name.encode() + b'":' + value, kind)


@pytest.mark.parametrize("kind", PEER_MESSAGES, ids=lambda kind: kind.__name__)
def test_hostile_message_pack_is_unreadable(kind: type[msgspec.Struct]) -> None:
    for content in (b"\x91" * DEPTH, b"\xdd\xff\xff\xff\xff", b"\xc6\xff\xff\xff\xff"):
        read(msgspec.msgpack.decode, content, kind)
        read(msgspec.msgpack.decode, b"\xdc\x00\x40" + b"\xc0" * 63 + content, kind)


ENVELOPE = Envelope(PEER_PROTOCOL_VERSION, "d1", 1, "topic", b"payload")


@given(st.data())
def test_truncated_envelope_is_unreadable(data: st.DataObject) -> None:
    whole = msgspec.msgpack.encode(ENVELOPE)
    cut = data.draw(st.integers(0, len(whole) - 1))
    with pytest.raises(UNREADABLE):
        msgspec.msgpack.decode(whole[:cut], type=Envelope)


def test_envelope_with_fields_of_a_newer_version_is_read() -> None:
    known = msgspec.to_builtins(ENVELOPE, builtin_types=(bytes,))
    encoded = msgspec.msgpack.encode([*known, "newer", {"more": 1}])
    assert msgspec.msgpack.decode(encoded, type=Envelope) == ENVELOPE
