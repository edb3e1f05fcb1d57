"""Chooses a target of a pool where some are limited or back off.

Targets without a limit go first while they have free slots. A request waits for a
permit only if it has no other target, and only for one that comes in time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final, TypeAlias

from aspendrift_daemon.interfaces import Clock
from aspendrift_gateway.permit_exchange import (
    Permit,
    PermitExchange,
    Restrictions,
)
from aspendrift_model.ids import TargetId
from aspendrift_model.target_entries import TargetEntry
from aspendrift_policy.pool_choice import PoolChooser
from aspendrift_policy.target_rates import MAX_AHEAD_S

__all__ = ["ChoiceRefused", "PermittedChoice", "PermittedTarget"]

# Times that owners are asked for a dated permit before a request is refused. In an
# overload more would only delay the refusal.
_MAX_WAITS: Final = 3
# Callers are told to wait at least this long.
_MIN_RETRY_S: Final = 0.05

Choose: TypeAlias = Callable[[frozenset[TargetId], float], TargetEntry | None]


@dataclass(frozen=True, slots=True)
class PermittedTarget:
    """A target, and the permit with which the request is sent."""

    entry: TargetEntry
    permit: Permit


@dataclass(frozen=True, slots=True)
class ChoiceRefused:
    """No target; ``retry_after_s`` is None if the pool has none to wait for."""

    retry_after_s: float | None
    detail: str


@dataclass(slots=True)
class PermittedChoice:
    """Choice of a target for one attempt of a request.

    Parameters
    ----------
    usable : callable
        Returns the targets of the pool that the request may be sent to.
    choose : callable
        Chooses one of them without some others.
    latest_at : float
        Time after which a permit is of no use.
    """

    permits: PermitExchange
    chooser: PoolChooser
    clock: Clock
    usable: Callable[[], Sequence[TargetEntry]]
    choose: Choose
    latest_at: float

    async def target(
        self, restrictions: Restrictions, now: float
    ) -> PermittedTarget | ChoiceRefused:
        """Return a target that may be sent the request now."""
        denied: set[TargetId] = set()
        while True:
            entry = self.choose(self._skipped(restrictions, denied, now), now)
            if entry is None:
                return await self._wait(now)
            if not self.permits.is_restricted(entry, now):
                return PermittedTarget(entry, Permit())
            outcome = await self.permits.acquire(entry, now)
            now = self.clock.monotonic()
            if isinstance(outcome, Permit):
                if self._is_usable(entry):
                    return PermittedTarget(entry, outcome)
                self.permits.release(outcome)
            self.chooser.declined(entry, now)
            denied.add(entry.key.target_id)

    def _skipped(
        self, restrictions: Restrictions, denied: set[TargetId], now: float
    ) -> frozenset[TargetId]:
        closed = restrictions.backoff_until_by_id.keys() | denied
        skipped = closed | restrictions.limited
        for entry in self.usable():
            is_open = entry.key.target_id not in skipped
            if is_open and self.chooser.has_free_slot(entry, now):
                return frozenset(skipped)
        return frozenset(closed)

    async def _wait(self, now: float) -> PermittedTarget | ChoiceRefused:
        """Wait for the first permit of any target, if it comes in time."""
        for _ in range(_MAX_WAITS):
            entry = self._next_entry(now)
            if entry is None:
                break
            sendable_at = self.permits.sendable_at(entry, now)
            if sendable_at > self.latest_at:
                break
            if sendable_at > now + MAX_AHEAD_S:
                await asyncio.sleep(sendable_at - now - MAX_AHEAD_S)
                now = self.clock.monotonic()
            outcome = await self.permits.acquire(entry, now, self.latest_at - now)
            now = self.clock.monotonic()
            if isinstance(outcome, Permit):
                if self._is_usable(entry):
                    return PermittedTarget(entry, outcome)
                self.permits.release(outcome)
        entry = self._next_entry(now)
        if entry is None:
            return ChoiceRefused(None, "no target")
        retry_s = self.permits.sendable_at(entry, now) - now
        return ChoiceRefused(max(_MIN_RETRY_S, retry_s), "targets limited")

    def _next_entry(self, now: float) -> TargetEntry | None:
        return min(
            self.usable(),
            key=lambda each: self.permits.sendable_at(each, now),
            default=None,
        )

    def _is_usable(self, entry: TargetEntry) -> bool:
        return any(each.key == entry.key for each in self.usable())
