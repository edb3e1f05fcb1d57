"""Writes claim rows to the table, batched into transactions."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from aspendrift_daemon.interfaces import (
    Clock,
    Committed,
    Conflict,
    NotWritten,
    TableService,
    TransactResult,
)
from aspendrift_model.settings_requests import RequestSettings
from aspendrift_model.wire_platform import Condition, Row, Write
from aspendrift_policy.claims import WriteBudget

__all__ = ["ClaimWriter", "QueueFull"]

_BURST_S: Final = 1.0
_ROWS_PER_CLAIM: Final = 2
_MAX_IN_FLIGHT: Final = 4
_STOP_TIMEOUT_S: Final = 2.0


@dataclass(frozen=True, slots=True)
class QueueFull:
    """The claim would wait too long in the queue."""

    wait_s: float


@dataclass(slots=True)
class _Pending:
    """A queued row."""

    condition: Condition
    write: Write
    done: asyncio.Future[TransactResult]


@dataclass(slots=True)
class WriterCounts:
    """Counters of a writer."""

    transactions: int = 0
    rows: int = 0
    refused: int = 0


@dataclass(slots=True)
class ClaimWriter:
    """Queues rows and commits them in batches, within a rate limit.

    A claim is charged for two rows, its own and that of its outcome, so that
    writing the outcome never has to wait for the budget.

    Parameters
    ----------
    n_daemons : callable
        Returns the number of daemons that share the rate, including this one.
    """

    settings: RequestSettings
    clock: Clock
    table: TableService
    n_daemons: Callable[[], int]
    counts: WriterCounts = field(default_factory=WriterCounts)
    _claims: deque[_Pending] = field(default_factory=deque)
    _outcomes: deque[_Pending] = field(default_factory=deque)
    _wake: asyncio.Event = field(default_factory=asyncio.Event)
    _commits: set[asyncio.Task[None]] = field(default_factory=set)
    _loop: asyncio.Task[None] | None = None
    _budget: WriteBudget | None = None

    async def start(self) -> None:
        """Start the task that commits batches."""
        self._loop = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop committing; rows that are still queued are certainly not written."""
        if self._loop is not None:
            self._loop.cancel()
            await asyncio.gather(self._loop, return_exceptions=True)
        commits = list(self._commits)
        if commits:
            _, unfinished = await asyncio.wait(commits, timeout=_STOP_TIMEOUT_S)
            for commit in unfinished:
                commit.cancel()
        for pending in (*self._claims, *self._outcomes):
            _resolve(pending, NotWritten("the daemon is stopping"))

    async def write_claim(
        self, condition: Condition, write: Write
    ) -> TransactResult | QueueFull:
        """Write the row of a claim; `QueueFull` at once if the queue is too long."""
        now = self.clock.monotonic()
        n_rows = (len(self._claims) + 1) * _ROWS_PER_CLAIM
        wait_s = self._shared_budget().wait_s(n_rows, now)
        if wait_s > self._max_wait_s():
            self.counts.refused += 1
            return QueueFull(wait_s)
        return await self._enqueue(self._claims, condition, write)

    async def write_outcome(self, condition: Condition, write: Write) -> TransactResult:
        """Write a row that its claim was charged for: the outcome or the release."""
        return await self._enqueue(self._outcomes, condition, write)

    def spend(self, n_rows: int) -> None:
        """Charge the budget for rows that no claim was charged for."""
        self._shared_budget().spend(n_rows, self.clock.monotonic())

    async def _enqueue(
        self, queue: deque[_Pending], condition: Condition, write: Write
    ) -> TransactResult:
        future = asyncio.get_running_loop().create_future()
        pending = _Pending(condition, write, future)
        queue.append(pending)
        self._wake.set()
        try:
            return await asyncio.shield(future)
        except asyncio.CancelledError:
            if pending in queue:
                queue.remove(pending)
            raise

    def _max_wait_s(self) -> float:
        """Return the longest wait that leaves time to confirm the claim."""
        settings = self.settings
        wait_ms = min(settings.claim_max_wait_ms, settings.claim_timeout_ms / 2)
        return wait_ms / 1000

    def _shared_budget(self) -> WriteBudget:
        rate = self.settings.claim_rows_per_s / max(1, self.n_daemons())
        if self._budget is None:
            self._budget = WriteBudget(rate, _BURST_S, self.clock.monotonic())
        self._budget.rows_per_s = rate
        return self._budget

    async def _run(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._outcomes or self._claims:
                batch = self._next_batch(self.clock.monotonic())
                if batch:
                    await self._start_commit(batch)
                else:
                    await self._wait_for_budget()

    async def _wait_for_budget(self) -> None:
        now = self.clock.monotonic()
        wait_s = self._shared_budget().wait_s(_ROWS_PER_CLAIM, now)
        try:
            async with asyncio.timeout(max(wait_s, 0.001)):
                await self._wake.wait()
        except TimeoutError:
            return
        self._wake.clear()

    def _next_batch(self, now: float) -> list[_Pending]:
        """Return queued outcomes, then as many claims as the budget allows."""
        budget = self._shared_budget()
        batch: dict[str, _Pending] = {}
        for queue, cost in ((self._outcomes, 0), (self._claims, _ROWS_PER_CLAIM)):
            for _ in range(len(queue)):
                if len(batch) >= self.settings.claim_batch_rows:
                    break
                if queue[0].write.key in batch or not budget.try_spend(cost, now):
                    break
                pending = queue.popleft()
                batch[pending.write.key] = pending
        return list(batch.values())

    async def _start_commit(self, batch: list[_Pending]) -> None:
        if len(self._commits) >= _MAX_IN_FLIGHT:
            await asyncio.wait(self._commits, return_when=asyncio.FIRST_COMPLETED)
        task = asyncio.create_task(self._commit(batch))
        self._commits.add(task)
        task.add_done_callback(self._commits.discard)

    async def _commit(self, batch: list[_Pending]) -> None:
        """Commit a batch, without the rows that turn out to conflict."""
        while batch:
            result = await self.table.transact(
                [pending.condition for pending in batch],
                [pending.write for pending in batch],
            )
            if not isinstance(result, Conflict):
                self._count(batch, result)
                for pending in batch:
                    _resolve(pending, result)
                return
            batch = _without_conflicts(batch, result.rows)

    def _count(self, batch: list[_Pending], result: TransactResult) -> None:
        if isinstance(result, Committed):
            self.counts.transactions += 1
            self.counts.rows += len(batch)


def _without_conflicts(batch: list[_Pending], rows: tuple[Row, ...]) -> list[_Pending]:
    rows_by_key = {row.key: row for row in rows}
    remaining = []
    for pending in batch:
        row = rows_by_key.get(pending.write.key)
        if row is None:
            remaining.append(pending)
        else:
            _resolve(pending, Conflict((row,)))
    if len(remaining) == len(batch):
        for pending in remaining:
            _resolve(pending, NotWritten("conflict reported without its rows"))
        return []
    return remaining


def _resolve(pending: _Pending, result: TransactResult) -> None:
    if not pending.done.done():
        pending.done.set_result(result)
