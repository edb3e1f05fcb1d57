"""Faults that stand-ins inject, configurable at run time.

Each ``*_share`` is the probability that the fault affects a request, drawn from a
seeded random generator. ``POST /faults`` changes the fields in its body and keeps
the others; ``GET /faults`` returns all of them.
"""

from __future__ import annotations

import random
from typing import Any, TypeVar

import msgspec

__all__ = ["FaultSwitch", "PlatformFaults", "TargetFaults"]


class PlatformFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults of the stand-ins of platform services.

    Parameters
    ----------
    seed : int
        Seed of the draws; a change restarts the random sequence.
    down_share : float
        The request is answered with 503 and has no effect.
    refuse_s : float
        When set, the port refuses connections for that many seconds.
    slow_share, slow_s : float
        The request is delayed by ``slow_s`` seconds before it takes effect.
    drop_share : float
        The connection is cut and the request has no effect.
    answer_lost_share : float
        The request takes effect, then the connection is cut.
    late_effect_share, late_effect_s : float
        The connection is cut at once and the request takes effect
        ``late_effect_s`` seconds later.
    """

    seed: int = 0
    down_share: float = 0.0
    refuse_s: float = 0.0
    slow_share: float = 0.0
    slow_s: float = 0.0
    drop_share: float = 0.0
    answer_lost_share: float = 0.0
    late_effect_share: float = 0.0
    late_effect_s: float = 0.5


class TargetFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults of target stand-ins.

    Parameters
    ----------
    seed : int
        Seed of the draws; a change restarts the random sequence.
    refuse_s : float
        When set, the port refuses connections for that many seconds.
    slow_factor : float
        Factor by which service times are multiplied.
    fail_share : float
        Answered with 500 before execution; the answer does not say that nothing ran.
    reject_share : float
        Answered with 503, which says that nothing ran.
    hang_share : float
        Neither executed nor answered.
    drop_share : float
        Executed, then the connection is cut.
    drop_after_tokens : int
        Tokens that an engine sends before it cuts the connection.
    twice_share : float
        Answered twice.
    foreign_share : float
        Answered with the attempt id of another request.
    late_share : float
        Answered after the deadline.
    crash_share : float
        The process exits during execution.
    crash_marker : str
        The process exits on input that contains this text; empty for never.
    """

    seed: int = 0
    refuse_s: float = 0.0
    slow_factor: float = 1.0
    fail_share: float = 0.0
    reject_share: float = 0.0
    hang_share: float = 0.0
    drop_share: float = 0.0
    drop_after_tokens: int = 2
    twice_share: float = 0.0
    foreign_share: float = 0.0
    late_share: float = 0.0
    crash_share: float = 0.0
    crash_marker: str = "CRASH-TARGET"


_F = TypeVar("_F", PlatformFaults, TargetFaults)


class FaultSwitch:
    """Fault settings of one stand-in, with the random generator for their draws."""

    def __init__(self, faults: PlatformFaults | TargetFaults) -> None:
        self._faults = faults
        self._rng = random.Random(faults.seed)

    def current(self, kind: type[_F]) -> _F:
        """Return the fault settings, which must be of the given type."""
        assert isinstance(self._faults, kind)
        return self._faults

    def show(self) -> PlatformFaults | TargetFaults:
        """Return the fault settings."""
        return self._faults

    def change(self, body: bytes) -> None:
        """Replace the settings given in a JSON object.

        Raises
        ------
        msgspec.MsgspecError
            If the object is malformed or names an unknown field.
        """
        changes = msgspec.json.decode(body, type=dict[str, Any])
        merged = {**msgspec.structs.asdict(self._faults), **changes}
        seed = self._faults.seed
        self._faults = msgspec.convert(merged, type=type(self._faults))
        if self._faults.seed != seed:
            self._rng = random.Random(self._faults.seed)

    def draw(self, share: float) -> bool:
        """Draw whether a fault of probability ``share`` affects one request."""
        return share > 0 and self._rng.random() < share
