"""Takes slots on targets, and keeps suspects of poison apart from each other."""

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
from aspendrift_policy.poison import Standing

__all__ = ["SlotSource"]

_ACQUIRE_GRACE_S: Final = 0.05


@dataclass(frozen=True, slots=True)
class SlotSource:
    """Asks the dispatcher for slots."""

    clock: Clock
    dispatcher: Dispatcher
    poison: PoisonGuard

    async def take(self, query: RouteQuery) -> RouteAnswer:
        """Take a slot; a suspect waits for a target without another suspect."""
        while True:
            turn = await self.poison.await_turn(query.request_id, query.deadline_at)
            if turn.standing is Standing.CONVICTED:
                return Refused(RefusalReason.POISON)
            if turn.standing is Standing.CLEAN:
                return await self._acquire_slot(query)
            away = _away_from(query, turn.busy_targets)
            answer = await self._acquire_between_trials(away, turn.busy_targets)
            if answer is not None:
                return answer
            query = replace(query, is_retry=False)

    async def _acquire_between_trials(
        self, query: RouteQuery, busy: frozenset[TargetId]
    ) -> RouteAnswer | None:
        """Take a slot; None if trials began or ended before there was one."""
        if not busy:
            return await self._acquire_slot(query)
        asked = asyncio.create_task(self._acquire_slot(query))
        changed = asyncio.create_task(self.poison.await_trials(query.deadline_at))
        taken = False
        try:
            await asyncio.wait({asked, changed}, return_when=asyncio.FIRST_COMPLETED)
            if asked.done() and _lacks_target(asked.result()):
                await changed
                is_late = self.clock.monotonic() >= query.deadline_at
                return asked.result() if is_late else None
            taken = asked.done()
            return asked.result() if taken else None
        finally:
            changed.cancel()
            if not taken:
                await self._take_back(query, asked)

    async def _take_back(
        self, query: RouteQuery, asked: asyncio.Task[RouteAnswer]
    ) -> None:
        """Stop asking for a slot, and give it back if it comes all the same."""
        asked.cancel()
        await asyncio.wait({asked})
        answer = None if asked.cancelled() else asked.result()
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


def _away_from(query: RouteQuery, busy: frozenset[TargetId]) -> RouteQuery:
    return replace(query, avoid_sharing=True, excluded=query.excluded | busy)


def _lacks_target(answer: RouteAnswer) -> bool:
    return isinstance(answer, Refused) and answer.reason is RefusalReason.NO_TARGET
