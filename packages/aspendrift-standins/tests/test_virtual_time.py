"""Tests of the event loop with virtual time."""

from __future__ import annotations

import asyncio

import pytest

from aspendrift_standins.virtual_time import (
    Stalled,
    VirtualClock,
    VirtualTimeLoop,
    run_virtual,
)


def test_sleeps_follow_one_another_in_order_of_time() -> None:
    order: list[str] = []

    async def sleeper(name: str, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        order.append(name)

    async def main() -> float:
        await asyncio.gather(sleeper("late", 86_400.0), sleeper("early", 1.0))
        return VirtualClock(asyncio.get_running_loop()).monotonic()

    assert run_virtual(main()) >= 86_400.0
    assert order == ["early", "late"]


def test_timeouts_fire_in_virtual_time() -> None:
    async def main() -> None:
        async with asyncio.timeout(3600):
            await asyncio.sleep(3601)

    with pytest.raises(TimeoutError):
        run_virtual(main())


def test_nothing_runs_during_a_pause() -> None:
    async def main() -> list[float]:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualTimeLoop)
        ran_at: list[float] = []
        loop.call_later(0.1, lambda: ran_at.append(loop.time()))
        loop.pause(1.0)
        await asyncio.sleep(0.5)
        return ran_at

    assert run_virtual(main()) == [1.0]


def test_run_that_can_never_continue_is_an_error() -> None:
    async def main() -> None:
        await asyncio.get_running_loop().create_future()

    with pytest.raises(Stalled):
        run_virtual(main())
