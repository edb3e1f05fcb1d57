"""Tests that daemons of the last landed version and of this one read each other.

``data/messages-a0ccf33.json`` was written with the code of that version by
`tools/record_messages.py`. A fleet is replaced host by host, so both versions exchange
messages for as long as that takes.
"""

from __future__ import annotations

import enum
import json
import random
from pathlib import Path
from typing import Union

import msgspec
import pytest
from record_messages import ENUMS, exported, kinds, meaning, sample, unions

from aspendrift_model.decode_errors import DECODE_ERRORS

RECORDED = json.loads(
    (Path(__file__).parent / "data" / "messages-a0ccf33.json").read_text()
)
NEW_KINDS = kinds()


def old_structs():
    """Rebuild the structs of the recorded version, with its own enums."""
    made = {
        name: enum.Enum(name, members) for name, members in RECORDED["enums"].items()
    }

    def struct(name):
        if name not in made:
            kind = RECORDED["kinds"][name]
            fields = []
            for number, (field, hint) in enumerate(kind["fields"]):
                names = {each for each in RECORDED["kinds"] if each in hint}
                found = eval(hint, {**made, **{each: struct(each) for each in names}})  # noqa: S307
                is_required = number < kind["n_required"]
                fields.append((field, found) if is_required else (field, found, None))
            made[name] = msgspec.defstruct(
                name, fields, array_like=True, frozen=True, tag=kind["tag"]
            )
        return made[name]

    return {name: struct(name) for name in RECORDED["kinds"]}


OLD_KINDS = old_structs()


def covers(found, expected):
    """Return whether a meaning has all that another has, and maybe further fields."""
    if isinstance(expected, dict):
        return isinstance(found, dict) and all(
            name in found and covers(found[name], each)
            for name, each in expected.items()
        )
    if isinstance(expected, list):
        return len(found) == len(expected) and all(map(covers, found, expected))
    return found == expected


@pytest.mark.parametrize("name", RECORDED["kinds"])
def test_recorded_messages_are_decoded_to_the_same_meaning(name):
    """A field that was moved, removed or made required breaks the running daemons."""
    for each in RECORDED["kinds"][name]["samples"]:
        found = msgspec.msgpack.decode(
            bytes.fromhex(each["encoded"]), type=NEW_KINDS[name]
        )
        assert covers(meaning(found), each["meaning"])


@pytest.mark.parametrize("name", RECORDED["kinds"])
def test_new_messages_are_decoded_by_the_recorded_version(name):
    """Each field that the recorded version knows has to keep its place and type."""
    for seed in range(20):
        message = sample(NEW_KINDS[name], random.Random(seed))
        encoded = msgspec.msgpack.encode(message)
        found = msgspec.msgpack.decode(encoded, type=OLD_KINDS[name])
        assert covers(meaning(message), meaning(found))
        known = [field for field, _ in RECORDED["kinds"][name]["fields"]]
        assert list(meaning(found)) == known


@pytest.mark.parametrize("union", RECORDED["unions"])
def test_topics_keep_their_kinds_and_new_ones_are_unknown_to_the_recorded_version(
    union,
):
    """A new kind with the tag of an old one would be taken for that one."""
    old_names, new_names = RECORDED["unions"][union], unions()[union]
    assert set(old_names) <= set(new_names)
    decoder = msgspec.msgpack.Decoder(Union[tuple(OLD_KINDS[n] for n in old_names)])  # noqa: UP007
    for name in new_names:
        encoded = msgspec.msgpack.encode(sample(NEW_KINDS[name], random.Random(name)))
        if name in old_names:
            assert type(decoder.decode(encoded)) is OLD_KINDS[name]
        else:
            with pytest.raises(DECODE_ERRORS):
                decoder.decode(encoded)


def test_enums_on_the_wire_have_no_values_that_the_recorded_version_lacks():
    """One unknown value makes the other version drop the whole message.

    An unknown `PieceFailure` even ends the task with which the recorded version
    receives the messages of all peers.
    """
    for kind in ENUMS:
        members = {each.name: each.value for each in kind}
        assert members == RECORDED["enums"][kind.__name__]


def test_recorded_data_has_all_kinds_that_are_exported():
    assert set(RECORDED["kinds"]) <= set(exported())
