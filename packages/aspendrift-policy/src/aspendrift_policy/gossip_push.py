"""Gossip push: duplicate filter, peer selection and the rate of head reads."""

from __future__ import annotations

import random
from collections import OrderedDict
from typing import Final

from aspendrift_model.ids import DaemonId
from aspendrift_policy.membership import MemberView

__all__ = ["SeenMessages", "head_read_delay_s", "push_peers"]

_MAX_SEEN_MESSAGES: Final = 4096
_MIN_HEAD_READ_INTERVAL_S: Final = 1.0


class SeenMessages:
    """Filters duplicate gossip messages; holds a bounded number of message ids."""

    def __init__(self, limit: int = _MAX_SEEN_MESSAGES) -> None:
        self._limit = limit
        self._seen: OrderedDict[tuple[str, int, int], None] = OrderedDict()

    def is_new(self, origin: str, incarnation: int, sequence: int) -> bool:
        """Return whether a message is received for the first time, and record it."""
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
    """Return random peers to which a message is pushed on first receipt."""
    excluded_ids = tuple(DaemonId(each) for each in excluded)
    chosen = view.sample(fanout, rng, excluded_ids)
    return [member.host.daemon_id for member in chosen]


def head_read_delay_s(n_daemons: int, reads_per_s: float, rng: random.Random) -> float:
    """Return the delay until this daemon's next read of the table's head.

    The delay grows with the number of daemons, so that all daemons together stay
    within ``reads_per_s`` on average. It is jittered to spread the reads.
    """
    mean_s = max(_MIN_HEAD_READ_INTERVAL_S, n_daemons / reads_per_s)
    return mean_s * rng.uniform(0.75, 1.25)
