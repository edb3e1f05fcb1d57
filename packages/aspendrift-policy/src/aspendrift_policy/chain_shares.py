"""Shares of the offered chains that start while a pool can't serve all of them.

Handles a demand on a stage pool that lasts for seconds and exceeds its capacity. The
owner of the pool measures the offered work, with that of refused requests, and divides
the capacity among ranks and accounts. Each daemon starts a chain with the probability
that results. Daemons that act on the same measures, which are some tenths of a second
old, therefore neither all start nor all refuse at the same moment.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from aspendrift_policy.fairness import fair_level
from aspendrift_policy.load_estimate import DecayedRate

__all__ = ["DemandMeter", "StartShares"]

# Window of the offered work: a fraction of a burst, which lasts 5 to 7 s, and enough
# jobs for a stable rate.
_DEMAND_WINDOW_S: Final = 1.0
# Share of the capacity that is given out at the usual backlog; the rest makes up for
# calls that fail or are not full. It is larger with a smaller backlog.
_MAX_UTILIZATION: Final = 0.9
# Backlog of jobs that can be on time, in seconds of the pool's work, at which it gives
# out its usual share: enough for full calls.
_USUAL_BACKLOG_S: Final = 0.2
# Time in which a larger backlog is worked off. Twice the largest age of the measures
# that daemons act on; a shorter time makes the backlog oscillate.
_DRAIN_S: Final = 0.6
# Smallest share of the capacity that is given out, whatever the backlog.
_MIN_UTILIZATION: Final = 0.3
# Part of the common share that each rank has at least. The bound is a quarter, and a
# rank also loses chains that start and turn out late.
_RANK_FLOOR: Final = 0.45
# Part of a rank's capacity that its accounts get in proportion to their demand, so that
# no account is served much less often than the others. The rest is divided equally,
# and what an account does not use is lent to the others.
_PROPORTIONAL_PART: Final = 0.7
# Smallest share, so that the demand of a rank or account stays measurable.
_MIN_SHARE: Final = 0.02
# Accounts whose demand is measured separately by rank; the owner's memory is bounded.
_MAX_ACCOUNTS: Final = 512
# Offered pieces per second below which an account is forgotten.
_MIN_DEMAND_PER_S: Final = 0.01


@dataclass(frozen=True, slots=True)
class StartShares:
    """Probabilities that a chain starts; 1 for ranks that are not listed.

    Parameters
    ----------
    by_rank : mapping
        Share of the chains of a rank.
    by_account : mapping
        Share by rank and hash of the account, of accounts that get another share than
        the rest of their rank.
    """

    by_rank: Mapping[int, float] = field(default_factory=dict)
    by_account: Mapping[tuple[int, int], float] = field(default_factory=dict)

    def of(self, rank: int, account: int) -> float:
        """Return the share of the chains of a rank and account that start."""
        return self.by_account.get((rank, account), self.by_rank.get(rank, 1.0))


class DemandMeter:
    """Measures the work offered to one pool at its owner, by rank and account."""

    def __init__(self) -> None:
        self._rates_by_key: dict[tuple[int, int], DecayedRate] = {}

    def record(self, rank: int, account: int, n_pieces: float, now: float) -> None:
        """Record offered pieces: those submitted, and those refused before them."""
        key = (rank, account)
        rate = self._rates_by_key.get(key)
        if rate is None:
            if len(self._rates_by_key) >= _MAX_ACCOUNTS:
                key = (rank, 0)
            rate = self._rates_by_key.setdefault(key, DecayedRate(_DEMAND_WINDOW_S))
        rate.add(n_pieces, now)

    def shares(self, capacity_per_s: float, n_waiting: int, now: float) -> StartShares:
        """Return the shares for a capacity and a backlog; called a few times a second.

        Parameters
        ----------
        capacity_per_s : float
            Pieces per second that the pool completes.
        n_waiting : int
            Waiting pieces of jobs that can be on time.
        """
        by_rank = self._demand_by_rank(now)
        total = sum(sum(each.values()) for each in by_rank.values())
        if capacity_per_s <= 0 or not by_rank:
            return StartShares()
        surplus_s = n_waiting / capacity_per_s - _USUAL_BACKLOG_S
        utilization = _MAX_UTILIZATION - surplus_s / _DRAIN_S
        available = capacity_per_s * max(_MIN_UTILIZATION, utilization)
        if total <= available:
            return StartShares()
        floor = _RANK_FLOOR * available / total
        remaining = available * (1 - _RANK_FLOOR)
        share_by_rank: dict[int, float] = {}
        share_by_account: dict[tuple[int, int], float] = {}
        for rank in sorted(by_rank):
            demands = by_rank[rank]
            demand = sum(demands.values())
            extra = min(demand * (1 - floor), remaining)
            remaining -= extra
            available_of_rank = demand * floor + extra
            by_account = _account_shares(demands, available_of_rank)
            # Accounts that get all they ask for are not listed.
            share_by_rank[rank] = max(by_account.values(), default=1.0)
            share_by_account.update(
                {
                    (rank, account): max(_MIN_SHARE, share)
                    for account, share in by_account.items()
                    if share < share_by_rank[rank]
                }
            )
        return StartShares(share_by_rank, share_by_account)

    def _demand_by_rank(self, now: float) -> dict[int, dict[int, float]]:
        by_rank: dict[int, dict[int, float]] = {}
        for (rank, account), rate in list(self._rates_by_key.items()):
            per_s = rate.per_s(now)
            if per_s < _MIN_DEMAND_PER_S:
                del self._rates_by_key[(rank, account)]
            else:
                by_rank.setdefault(rank, {})[account] = per_s
        return by_rank


def _account_shares(demands: Mapping[int, float], available: float) -> dict[int, float]:
    """Return the share of each account for the capacity of their rank."""
    total = sum(demands.values())
    if available >= total:
        return dict.fromkeys(demands, 1.0)
    proportional = _PROPORTIONAL_PART * available / total
    rest = {account: each * (1 - proportional) for account, each in demands.items()}
    level = fair_level(rest, {}, available * (1 - _PROPORTIONAL_PART))
    return {
        account: proportional + min(rest[account], level) / each
        for account, each in demands.items()
    }
