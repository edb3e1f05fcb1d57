"""How news spreads among daemons, and how seldom the table's head is read."""

from __future__ import annotations

import random
from collections import OrderedDict
from typing import Final

from aspendrift_model.ids import DaemonId
from aspendrift_policy.membership import MemberView

__all__ = ["SeenMessages", "head_read_delay_s", "push_peers"]

_MAX_SEEN: Final = 4096
_MIN_HEAD_READ_S: Final = 1.0


class SeenMessages:
    """Remembers which spread messages were already received, within a bound."""

    def __init__(self, limit: int = _MAX_SEEN) -> None:
        self._limit = limit
        self._seen: OrderedDict[tuple[str, int, int], None] = OrderedDict()

    def is_new(self, origin: str, incarnation: int, sequence: int) -> bool:
        """Return whether a message is received for the first time, and note it."""
        key = (origin, incarnation, sequence)
        if key in self._seen:
            return False
        self._seen[key] = None
        if len(self._seen) > self._limit:
            self._seen.popitem(last=False)
        return True


def push_peers(
    view: MemberView, fanout: int, rng: random.Random, excluded: tuple[str, ...] = ()
) -> list[DaemonId]:
    """Return the peers that a message is forwarded to on first receipt."""
    left_out = tuple(DaemonId(each) for each in excluded)
    chosen = view.sample(fanout, rng, left_out)
    return [member.host.daemon_id for member in chosen]


def head_read_delay_s(n_daemons: int, reads_per_s: float, rng: random.Random) -> float:
    """Return the time until this daemon's next read of the head.

    All daemons together stay within ``reads_per_s`` on average, whatever their
    number.
    """
    mean_s = max(_MIN_HEAD_READ_S, n_daemons / reads_per_s)
    return mean_s * rng.uniform(0.75, 1.25)
