"""Tests of the slot queue and of the lagging load report."""

from __future__ import annotations

import asyncio

from aspendrift_model.wire_target import LoadBody
from aspendrift_standins.slots import LaggingLoad, SlotQueue


def test_slots_are_granted_by_priority_then_arrival() -> None:
    async def run() -> list[str]:
        queue = SlotQueue(1, 0)
        order: list[str] = []

        async def work(name: str, priority: int) -> None:
            await queue.acquire(priority)
            order.append(name)
            queue.release(0)

        await queue.acquire(0)
        tasks = [
            asyncio.create_task(work(name, priority))
            for name, priority in (("n1", 1), ("n2", 1), ("urgent", 0))
        ]
        await asyncio.sleep(0)
        queue.release(0)
        await asyncio.gather(*tasks)
        return order

    assert asyncio.run(run()) == ["urgent", "n1", "n2"]


def test_slot_granted_to_a_cancelled_waiter_is_passed_on() -> None:
    async def run() -> None:
        queue = SlotQueue(1, 0)
        await queue.acquire(0)
        waiting = asyncio.create_task(queue.acquire(0))
        await asyncio.sleep(0)
        queue.release(0)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        await asyncio.wait_for(queue.acquire(0), 1)

    asyncio.run(run())


def test_load_report_shows_the_state_before_the_lag() -> None:
    lagging = LaggingLoad(1, LoadBody(0, 0, 4))
    lagging.record(LoadBody(1, 0, 4), 10)
    lagging.record(LoadBody(2, 0, 4), 10.5)
    assert [lagging.visible(t).active for t in (10.9, 11, 11.4, 11.5)] == [0, 1, 1, 2]
