"""Lookup of the route, pool and account of a request."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

import xxhash

from aspendrift_model.ids import AttemptId, PoolName
from aspendrift_model.routes import KeyedAccount, Route, RoutingConfiguration

__all__ = ["RouteTable"]

_HASH_RANGE: Final = float(1 << 64)


@dataclass(frozen=True, slots=True)
class _HostRoutes:
    """Routes of one host; ``lengths`` are the prefix lengths, longest first."""

    by_prefix: Mapping[str, Route]
    lengths: tuple[int, ...]


class RouteTable:
    """Index over one version of the routing configuration."""

    def __init__(self, configuration: RoutingConfiguration) -> None:
        self.configuration = configuration
        self._by_host = _index(configuration.routes)
        self._accounts_by_key = {
            key: account for account in configuration.accounts for key in account.keys
        }

    @property
    def has_accounts(self) -> bool:
        """Whether requests need an account key, unless their route is public."""
        return bool(self.configuration.accounts)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest matching prefix of a path."""
        routes = self._by_host.get(host)
        if routes is None:
            return None
        for length in routes.lengths:
            route = routes.by_prefix.get(path[:length])
            if route is not None:
                return route
        return None

    def account(self, key: str | None) -> KeyedAccount | None:
        """Return the account that holds a key."""
        return None if key is None else self._accounts_by_key.get(key)

    def pool(self, route: Route, attempt_id: AttemptId) -> PoolName:
        """Return the pool of a request, chosen by weight.

        The choice hashes the attempt id, so that every daemon chooses the same pool.
        """
        total = sum(weighted.weight for weighted in route.pools)
        position = xxhash.xxh3_64_intdigest(attempt_id.encode()) / _HASH_RANGE * total
        for weighted in route.pools:
            position -= weighted.weight
            if position < 0:
                return weighted.pool
        return route.pools[-1].pool


def _index(routes: tuple[Route, ...]) -> dict[str, _HostRoutes]:
    by_prefix_by_host: dict[str, dict[str, Route]] = {}
    for route in routes:
        by_prefix_by_host.setdefault(route.host, {})[route.prefix] = route
    return {
        host: _HostRoutes(
            by_prefix,
            tuple(sorted({len(prefix) for prefix in by_prefix}, reverse=True)),
        )
        for host, by_prefix in by_prefix_by_host.items()
    }
