"""Property tests of wire messages: input is decoded or raises ``DECODE_ERRORS``."""

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
from aspendrift_model.decode_errors import DECODE_ERRORS
from aspendrift_model.wire_peer import PEER_PROTOCOL_VERSION, Envelope

NESTING_DEPTH = 5000


def message_types(module: ModuleType) -> list[type[msgspec.Struct]]:
    found = [getattr(module, name) for name in module.__all__]
    return [
        candidate
        for candidate in found
        if isinstance(candidate, type) and issubclass(candidate, msgspec.Struct)
    ]


JSON_MESSAGE_TYPES = [
    candidate
    for module in (wire_caller, wire_operator, wire_platform, wire_target)
    for candidate in message_types(module)
]
PEER_MESSAGE_TYPES = message_types(wire_peer)


def decode_or_error(decode: Any, content: bytes, kind: type[msgspec.Struct]) -> None:
    try:
        assert isinstance(decode(content, type=kind), kind)
    except DECODE_ERRORS:
        pass


@given(st.sampled_from(JSON_MESSAGE_TYPES), st.binary(max_size=100))
def test_any_json_is_a_message_or_unreadable(
    kind: type[msgspec.Struct], content: bytes
) -> None:
    decode_or_error(msgspec.json.decode, content, kind)


@given(st.sampled_from(PEER_MESSAGE_TYPES), st.binary(max_size=100))
def test_any_message_pack_is_a_message_or_unreadable(
    kind: type[msgspec.Struct], content: bytes
) -> None:
    decode_or_error(msgspec.msgpack.decode, content, kind)


@pytest.mark.parametrize("kind", JSON_MESSAGE_TYPES, ids=lambda kind: kind.__name__)
def test_hostile_json_is_unreadable(kind: type[msgspec.Struct]) -> None:
    fields = [field.encode_name for field in msgspec.structs.fields(kind)]
    for name in (*fields, "unknown"):
        for value in (
            b"[" * NESTING_DEPTH,
            b'{"a":' * NESTING_DEPTH,
            b'"\\ud800"',
            b'"\xff"',
        ):
            decode_or_error(
                msgspec.json.decode, b'{"' + name.encode() + b'":' + value, kind
            )


@pytest.mark.parametrize("kind", PEER_MESSAGE_TYPES, ids=lambda kind: kind.__name__)
def test_hostile_message_pack_is_unreadable(kind: type[msgspec.Struct]) -> None:
    for content in (
        b"\x91" * NESTING_DEPTH,
        b"\xdd\xff\xff\xff\xff",
        b"\xc6\xff\xff\xff\xff",
    ):
        decode_or_error(msgspec.msgpack.decode, content, kind)
        decode_or_error(
            msgspec.msgpack.decode, b"\xdc\x00\x40" + b"\xc0" * 63 + content, kind
        )


ENVELOPE = Envelope(PEER_PROTOCOL_VERSION, "d1", 1, "topic", b"payload")


@given(st.data())
def test_truncated_envelope_is_unreadable(data: st.DataObject) -> None:
    encoded = msgspec.msgpack.encode(ENVELOPE)
    cut = data.draw(st.integers(0, len(encoded) - 1))
    with pytest.raises(DECODE_ERRORS):
        msgspec.msgpack.decode(encoded[:cut], type=Envelope)


def test_envelope_with_fields_of_a_newer_version_is_read() -> None:
    known = msgspec.to_builtins(ENVELOPE, builtin_types=(bytes,))
    encoded = msgspec.msgpack.encode([*known, "newer", {"more": 1}])
    assert msgspec.msgpack.decode(encoded, type=Envelope) == ENVELOPE
