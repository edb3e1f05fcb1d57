"""Acquires slots on targets; keeps trials of poison suspects on separate targets."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from typing import Final

from aspendrift_daemon.interfaces import Clock
from aspendrift_daemon.poison import PoisonGuard
from aspendrift_model.ids import TargetId
from aspendrift_model.outcomes import Refused
from aspendrift_model.states import AttemptEnd, RefusalReason
from aspendrift_policy.interfaces import (
    AttemptResult,
    Dispatcher,
    RouteAnswer,
    RouteChoice,
    RouteQuery,
)
from aspendrift_policy.poison import ContentState

__all__ = ["SlotSource"]

_ACQUIRE_GRACE_S: Final = 0.05


@dataclass(frozen=True, slots=True)
class SlotSource:
    """Acquires slots from the dispatcher."""

    clock: Clock
    dispatcher: Dispatcher
    poison: PoisonGuard

    async def acquire(self, query: RouteQuery) -> RouteAnswer:
        """Acquire a slot; a suspect waits for a target without a trial of another."""
        while True:
            clearance = await self.poison.await_clearance(
                query.request_id, query.deadline_at
            )
            if clearance.state is ContentState.QUARANTINED:
                return Refused(RefusalReason.POISON)
            if clearance.state is ContentState.CLEAN:
                return await self._acquire_slot(query)
            query_elsewhere = _excluding(query, clearance.busy_targets)
            answer = await self._acquire_between_trials(
                query_elsewhere, clearance.busy_targets
            )
            if answer is not None:
                return answer
            query = replace(query, is_retry=False)

    async def _acquire_between_trials(
        self, query: RouteQuery, busy: frozenset[TargetId]
    ) -> RouteAnswer | None:
        """Acquire a slot; None if a trial began or ended before one was free."""
        if not busy:
            return await self._acquire_slot(query)
        acquiring = asyncio.create_task(self._acquire_slot(query))
        changed = asyncio.create_task(self.poison.await_trial_change(query.deadline_at))
        is_acquired = False
        try:
            await asyncio.wait(
                {acquiring, changed}, return_when=asyncio.FIRST_COMPLETED
            )
            if acquiring.done() and _is_no_target(acquiring.result()):
                await changed
                is_overdue = self.clock.monotonic() >= query.deadline_at
                return acquiring.result() if is_overdue else None
            is_acquired = acquiring.done()
            return acquiring.result() if is_acquired else None
        finally:
            changed.cancel()
            if not is_acquired:
                await self._cancel_acquisition(query, acquiring)

    async def _cancel_acquisition(
        self, query: RouteQuery, acquiring: asyncio.Task[RouteAnswer]
    ) -> None:
        """Cancel an acquisition; release the slot if it was acquired meanwhile."""
        acquiring.cancel()
        await asyncio.wait({acquiring})
        answer = None if acquiring.cancelled() else acquiring.result()
        if isinstance(answer, RouteChoice):
            unused = AttemptResult(AttemptEnd.CANCELLED, 0.0, 0.0)
            self.dispatcher.release(query, answer, unused)

    async def _acquire_slot(self, query: RouteQuery) -> RouteAnswer:
        remaining_s = query.deadline_at - self.clock.monotonic() + _ACQUIRE_GRACE_S
        try:
            async with asyncio.timeout(remaining_s):
                return await self.dispatcher.acquire(query)
        except TimeoutError:
            return Refused(RefusalReason.DEADLINE_EXCEEDED)


def _excluding(query: RouteQuery, busy: frozenset[TargetId]) -> RouteQuery:
    return replace(query, avoid_sharing=True, excluded=query.excluded | busy)


def _is_no_target(answer: RouteAnswer) -> bool:
    return isinstance(answer, Refused) and answer.reason is RefusalReason.NO_TARGET
