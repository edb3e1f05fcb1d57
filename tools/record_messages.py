"""Samples of the messages between daemons, and the recording of those of a version.

Run with the sources of a landed version on ``PYTHONPATH``, it writes the messages,
types and values of that version, from which `test_recorded_messages` rebuilds its
decoders.
"""

from __future__ import annotations

import enum
import json
import random
import sys
import types
import typing
from pathlib import Path

import msgspec

from aspendrift_model import wire_peer, wire_work
from aspendrift_model.pieces import PieceFailure
from aspendrift_model.states import ItemKind, MemberState

ENUMS = (ItemKind, MemberState, PieceFailure)
N_SAMPLES = 2


def exported():
    """Return what both modules of messages export, by name."""
    return {
        name: getattr(module, name)
        for module in (wire_peer, wire_work)
        for name in module.__all__
    }


def kinds():
    """Return the structs of messages and of their parts by name."""
    return {
        name: each
        for name, each in exported().items()
        if isinstance(each, type) and issubclass(each, msgspec.Struct)
    }


def unions():
    """Return the names of the kinds that a topic carries, by name of the union."""
    return {
        name: [kind.__name__ for kind in typing.get_args(each)]
        for name, each in exported().items()
        if typing.get_origin(each) in (types.UnionType, typing.Union)
    }


def sample(hint, rng):
    """Return a random value of a type."""
    arguments = typing.get_args(hint)
    if typing.get_origin(hint) is tuple:
        if arguments[1:] == (...,):
            arguments = arguments[:1] * rng.randint(1, 3)
        return tuple(sample(each, rng) for each in arguments)
    if arguments:
        return sample(rng.choice(arguments), rng)
    if issubclass(hint, msgspec.Struct):
        hints = typing.get_type_hints(hint)
        names = hint.__struct_fields__
        return hint(*(sample(hints[name], rng) for name in names))
    if issubclass(hint, enum.Enum):
        return rng.choice(list(hint))
    plain = {
        bool: lambda: rng.random() < 0.5,
        int: lambda: rng.randrange(1 << 40),
        float: lambda: rng.uniform(0.0, 1e6),
        str: lambda: f"name-{rng.randrange(1000)}",
        bytes: lambda: rng.randbytes(5),
        type(None): lambda: None,
    }
    return plain[hint]()


def meaning(value):
    """Return a message as JSON values, each field under its name."""
    if isinstance(value, msgspec.Struct):
        fields = value.__struct_fields__
        return {name: meaning(getattr(value, name)) for name in fields}
    if isinstance(value, (tuple, list)):
        return [meaning(each) for each in value]
    if isinstance(value, enum.Enum):
        return value.value
    return value.hex() if isinstance(value, bytes) else value


def record():
    """Return the messages and types of the version that is imported."""
    recorded = {}
    for name, kind in kinds().items():
        samples = [sample(kind, random.Random(f"{name}/{n}")) for n in range(N_SAMPLES)]
        n_required = len(kind.__struct_fields__) - len(kind.__struct_defaults__)
        recorded[name] = {
            "tag": kind.__struct_config__.tag,
            "fields": [
                [each, kind.__annotations__[each]] for each in kind.__struct_fields__
            ],
            "n_required": n_required,
            "samples": [
                {
                    "encoded": msgspec.msgpack.encode(each).hex(),
                    "meaning": meaning(each),
                }
                for each in samples
            ],
        }
    enums = {each.__name__: {m.name: m.value for m in each} for each in ENUMS}
    return {"kinds": recorded, "unions": unions(), "enums": enums}


if __name__ == "__main__":
    Path(sys.argv[1]).write_text(json.dumps(record(), separators=(",", ":")) + "\n")
