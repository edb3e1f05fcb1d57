"""Fair shares of accounts and daemons, from local usage and digests of peers."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Final

import msgspec
import xxhash

from aspendrift_model.ids import AccountId, DaemonId, ModelName, PoolName
from aspendrift_policy.load_estimate import DecayedRate

__all__ = [
    "AccountDemand",
    "FairShares",
    "UsageDigest",
    "fair_level",
    "model_key",
    "name_hash",
]

_ACCOUNT_WINDOW_S: Final = 3.0
_DEMAND_WINDOW_S: Final = 10.0
_DIGEST_MAX_AGE_S: Final = 6.0
_MAX_ACCOUNTS_IN_DIGEST: Final = 16
_MAX_ACCOUNTS: Final = 4096
_LEVEL_MAX_AGE_S: Final = 0.1
_OFFERED: Final = "offered"
_ADMITTED: Final = "admitted"


def model_key(pool: PoolName, model: ModelName) -> str:
    """Return the key of the demand for a model of a pool."""
    return f"{pool}/{model}"


def name_hash(name: str) -> int:
    """Return the 32-bit hash of a name that digests contain."""
    return xxhash.xxh32_intdigest(name.encode())


class AccountDemand(msgspec.Struct, frozen=True, array_like=True):
    """Dominant shares that an account requested and was granted, per second.

    The dominant share of a request is the largest part of any one pool's
    capacity that it uses, so that accounts with different pipelines can be
    compared.
    """

    account: int
    offered: float
    admitted: float


class UsageDigest(msgspec.Struct, frozen=True, array_like=True):
    """Usage report of a daemon to its peers: its heaviest accounts and its demand.

    Names are sent as 32-bit hashes. All other accounts are summed, so the size
    does not grow with the number of accounts.
    """

    accounts: tuple[AccountDemand, ...]
    offered_rest: float
    demand_by_key: dict[int, float]


class _Account:
    __slots__ = ("admitted", "offered")

    def __init__(self) -> None:
        self.offered = DecayedRate(_ACCOUNT_WINDOW_S)
        self.admitted = DecayedRate(_ACCOUNT_WINDOW_S)


def fair_level(
    demands: Mapping[int, float], weights: Mapping[int, float], capacity: float
) -> float:
    """Return the level of weighted max-min fair shares.

    An account that requests less than its weight times the level gets all that
    it requests; the remaining capacity is divided among the others.

    Parameters
    ----------
    demands : mapping of int to float
        Demand of each account.
    weights : mapping of int to float
        Weight of each account; 1 when absent.
    capacity : float
        Capacity to divide, in the unit of the demands.
    """
    order = sorted(demands, key=lambda key: demands[key] / weights.get(key, 1.0))
    remaining = capacity
    remaining_weight = sum(weights.get(key, 1.0) for key in order)
    for key in order:
        weight = weights.get(key, 1.0)
        level = remaining / remaining_weight
        if demands[key] / weight > level:
            return level
        remaining -= demands[key]
        remaining_weight -= weight
    return math.inf


class FairShares:
    """Usage of pools by accounts, at this daemon and its peers."""

    def __init__(self) -> None:
        self._accounts_by_hash: dict[int, _Account] = {}
        self._demand_by_key: dict[int, DecayedRate] = {}
        self._digests_by_peer: dict[DaemonId, tuple[float, UsageDigest]] = {}
        self._level = math.inf
        self._level_at = -math.inf
        self._admitted: dict[int, float] = {}

    def record_offered(
        self, account_id: AccountId, dominant_share_s: float, now: float
    ) -> None:
        """Record a request of an account, by its dominant share."""
        self._account(account_id).offered.add(dominant_share_s, now)

    def record_admitted(
        self, account_id: AccountId, dominant_share_s: float, now: float
    ) -> None:
        """Record an admitted request of an account, by its dominant share."""
        self._account(account_id).admitted.add(dominant_share_s, now)

    def record_demand(self, key: str, work_s: float, now: float) -> None:
        """Record demand for a pool or a model, admitted or not, in slot-seconds."""
        rate = self._demand_by_key.setdefault(
            name_hash(key), DecayedRate(_DEMAND_WINDOW_S)
        )
        rate.add(work_s, now)

    def system_demand(self, key: str, n_daemons: int, now: float) -> float:
        """Return the demand of all daemons for a pool or a model, in slots."""
        hashed = name_hash(key)
        rate = self._demand_by_key.get(hashed)
        own = 0.0 if rate is None else rate.per_s(now)
        peer_demands = [
            digest.demand_by_key.get(hashed, 0.0) for digest in self.recent_digests(now)
        ]
        if not peer_demands:
            return own * n_daemons
        return own + sum(peer_demands) / len(peer_demands) * (n_daemons - 1)

    def digest(self, now: float) -> UsageDigest:
        """Return the digest to send to the peers."""
        demands = [
            AccountDemand(
                key,
                round(account.offered.per_s(now), 5),
                round(account.admitted.per_s(now), 5),
            )
            for key, account in self._accounts_by_hash.items()
        ]
        demands.sort(key=lambda demand: demand.offered, reverse=True)
        heaviest = tuple(demands[:_MAX_ACCOUNTS_IN_DIGEST])
        rest = sum(demand.offered for demand in demands[_MAX_ACCOUNTS_IN_DIGEST:])
        demand = {
            key: round(rate.per_s(now), 3) for key, rate in self._demand_by_key.items()
        }
        return UsageDigest(heaviest, round(rest, 5), demand)

    def apply_digest(self, peer: DaemonId, digest: UsageDigest, now: float) -> None:
        """Record the digest of a peer."""
        self._digests_by_peer[peer] = (now, digest)

    def recent_digests(self, now: float) -> list[UsageDigest]:
        """Return the recent digests, and remove the expired ones."""
        oldest = now - _DIGEST_MAX_AGE_S
        for peer in [p for p, (at, _) in self._digests_by_peer.items() if at < oldest]:
            del self._digests_by_peer[peer]
        return [digest for _, digest in self._digests_by_peer.values()]

    def share_of_pool(
        self, pool: PoolName, slots: int, n_daemons: int, now: float
    ) -> float:
        """Return this daemon's share of a pool, from 0 to 1.

        Parameters
        ----------
        pool : PoolName
            The pool.
        slots : int
            Slots of its available targets.
        n_daemons : int
            Live daemons, this one included.
        now : float
            Current time in seconds.

        Notes
        -----
        Each daemon gets the slots that its own demand needs, and unused slots are
        divided evenly; the shares of all daemons add up to one. The hourly surge
        reaches all daemons at the same time, so the shares change little while the
        demand jumps. The mean over a sample of peers stands for all peers.
        """
        if n_daemons <= 1 or slots <= 0:
            return 1.0 / max(1, n_daemons)
        rate = self._demand_by_key.get(name_hash(pool))
        own = 0.0 if rate is None else rate.per_s(now)
        total = self.system_demand(pool, n_daemons, now)
        unused = max(0.0, slots - total)
        return (own + unused / n_daemons) / max(total, float(slots))

    def over_share(
        self,
        account_id: AccountId,
        weights: Mapping[int, float],
        n_daemons: int,
        now: float,
    ) -> bool:
        """Return whether an account has been granted more than its fair share.

        Parameters
        ----------
        account_id : AccountId
            The account.
        weights : mapping of int to float
            Weight of each account by ``name_hash``.
        n_daemons : int
            Live daemons, this one included.
        """
        if now - self._level_at >= _LEVEL_MAX_AGE_S:
            offered = self._system_use(_OFFERED, n_daemons, now)
            self._level = fair_level(offered, weights, 1.0)
            self._admitted = self._system_use(_ADMITTED, n_daemons, now)
            self._level_at = now
        key = name_hash(account_id)
        return self._admitted.get(key, 0.0) > self._level * weights.get(key, 1.0)

    def _system_use(self, field: str, n_daemons: int, now: float) -> dict[int, float]:
        use: dict[int, float] = {
            key: getattr(account, field).per_s(now)
            for key, account in self._accounts_by_hash.items()
        }
        digests = self.recent_digests(now)
        scale = (n_daemons - 1) / len(digests) if digests else 0.0
        for digest in digests:
            for demand in digest.accounts:
                reported: float = getattr(demand, field)
                use[demand.account] = use.get(demand.account, 0.0) + reported * scale
        return use

    def _account(self, account_id: AccountId) -> _Account:
        key = name_hash(account_id)
        account = self._accounts_by_hash.get(key)
        if account is None:
            if len(self._accounts_by_hash) >= _MAX_ACCOUNTS:
                oldest = next(iter(self._accounts_by_hash))
                del self._accounts_by_hash[oldest]
            account = self._accounts_by_hash[key] = _Account()
        return account
