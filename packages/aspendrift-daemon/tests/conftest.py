"""Fakes shared by the tests of several folders."""

from __future__ import annotations

import asyncio

import pytest

from aspendrift_daemon.interfaces import (
    Committed,
    Conflict,
    NotWritten,
    RowsRead,
    StoreUnavailable,
    WriteUnknown,
)
from aspendrift_model.wire_platform import Row

_SLOW_READ_S = 2.0
_SLOW_WRITE_S = 3.0
_SHORT_DELAY_S = 0.4
_LONG_DELAY_S = 7.0
_OUTAGE_S = 20.0
_DELAY_BEYOND_OUTAGE_S = 25.0


class MemoryTable:
    """Transactional table in memory."""

    def __init__(self):
        self.rows = {}
        self.version = 0

    def row(self, key):
        return self.rows.get(key, Row(key, 0, None))

    async def read(self, keys):
        await asyncio.sleep(0)
        return RowsRead(tuple(self.row(key) for key in keys))

    async def transact(self, conditions, writes):
        await asyncio.sleep(0)
        return self.apply(conditions, writes)

    def apply(self, conditions, writes):
        failed = [c.key for c in conditions if self.row(c.key).version != c.version]
        if failed:
            return Conflict(tuple(self.row(key) for key in failed))
        self.version += 1
        for write in writes:
            self.rows[write.key] = Row(write.key, self.version, write.value)
        return Committed(self.version)


class ExploredTable:
    """Lets an explorer inject a fault before, during or after each call of a table."""

    def __init__(self, table, choices):
        self._table = table
        self._choices = choices
        self._tasks = set()
        self._down_until = 0.0

    def __getattr__(self, name):
        return getattr(self._table, name)

    def _is_down(self):
        return asyncio.get_running_loop().time() < self._down_until

    async def read(self, keys):
        if self._is_down():
            return StoreUnavailable("down")
        fault = self._choices.pick(3, "read")
        if fault == 1:
            return StoreUnavailable("down")
        if fault == 2:
            await asyncio.sleep(_SLOW_READ_S)
        return await self._table.read(keys)

    async def transact(self, conditions, writes):
        if self._is_down():
            return NotWritten("down")
        fault = self._choices.pick(9, "transact")
        if fault == 1:
            return NotWritten("down")
        if fault == 2:
            return WriteUnknown("lost before the effect")
        if fault == 3:
            await self._table.transact(conditions, writes)
            return WriteUnknown("lost after the effect")
        if fault in (4, 5):
            delay_s = _SHORT_DELAY_S if fault == 4 else _LONG_DELAY_S
            self._apply_later(delay_s, conditions, writes)
            return WriteUnknown("effect still to come")
        if fault == 6:
            await asyncio.sleep(_SLOW_WRITE_S)
        if fault in (7, 8):
            self._down_until = asyncio.get_running_loop().time() + _OUTAGE_S
            if fault == 7:
                return NotWritten("down")
            self._apply_later(_DELAY_BEYOND_OUTAGE_S, conditions, writes)
            return WriteUnknown("lost in an outage")
        return await self._table.transact(conditions, writes)

    def _apply_later(self, delay_s, conditions, writes):
        async def apply():
            await asyncio.sleep(delay_s)
            self._table.apply(conditions, writes)

        task = asyncio.create_task(apply())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


@pytest.fixture
def memory_table():
    return MemoryTable


@pytest.fixture
def explored_table():
    return ExploredTable
