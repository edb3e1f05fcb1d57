"""Faults that stand-ins show, switchable while they run.

Each ``*_share`` is the probability that one request meets the fault, drawn
from a seeded generator. ``POST /faults`` with some of the fields changes these
and keeps the others; ``GET /faults`` shows them.
"""

from __future__ import annotations

import random
from typing import Any, TypeVar

import msgspec

__all__ = ["FaultSwitch", "PlatformFaults", "TargetFaults"]


class PlatformFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults of the platform's services.

    Parameters
    ----------
    seed : int
        Seed of the draws; a changed seed starts them anew.
    down_share : float
        Answered with 503 before any effect.
    refuse_s : float
        When set, the port refuses connections for so many seconds.
    slow_share, slow_s : float
        Delayed by so many seconds before any effect.
    drop_share : float
        Connection cut before any effect.
    answer_lost_share : float
        Takes effect, then the connection is cut.
    late_effect_share, late_effect_s : float
        Connection cut at once; takes effect so many seconds later.
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
    """Faults of targets.

    Parameters
    ----------
    seed : int
        Seed of the draws; a changed seed starts them anew.
    refuse_s : float
        When set, the port refuses connections for so many seconds.
    slow_factor : float
        Multiplies service times.
    fail_share : float
        Answered with 500 before any work, without saying so.
    reject_share : float
        Answered with 503 that says that no work was done.
    hang_share : float
        Never answered and not worked on.
    drop_share : float
        Worked on, then the connection is cut.
    drop_after_tokens : int
        Tokens that an engine sends before it cuts the connection.
    twice_share : float
        Answered twice.
    foreign_share : float
        Answered under the attempt id of another request.
    late_share : float
        Answered after the deadline.
    crash_share : float
        The process exits in the middle of the work.
    crash_marker : str
        The process exits on input that contains this; empty for never.
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
    """The faults of one stand-in and the generator that draws them."""

    def __init__(self, faults: PlatformFaults | TargetFaults) -> None:
        self._faults = faults
        self._rng = random.Random(faults.seed)

    def current(self, kind: type[_F]) -> _F:
        """Return the faults, which must be of a kind."""
        assert isinstance(self._faults, kind)
        return self._faults

    def show(self) -> PlatformFaults | TargetFaults:
        """Return the faults."""
        return self._faults

    def change(self, body: bytes) -> None:
        """Replace the fields that a JSON object names.

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
        """Decide whether one request meets a fault."""
        return share > 0 and self._rng.random() < share
