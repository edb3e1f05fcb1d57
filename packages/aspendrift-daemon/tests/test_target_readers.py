"""Tests of the polling loops of targets, in virtual time."""

from __future__ import annotations

import asyncio
import random

import httpx

from aspendrift_daemon.target_readers import TargetReaders
from aspendrift_model.configuration import Configuration
from aspendrift_model.states import TargetKind
from aspendrift_model.targets import Target
from aspendrift_standins.virtual_time import run_virtual

INTERVAL_S = 1.0


def target(name, url="http://127.0.0.1:1"):
    return Target(name, "pool", TargetKind.ENGINE, url, "zone", "region")


class Source:
    def __init__(self, *targets):
        self.listeners = []
        self.set(*targets)

    def set(self, *targets):
        by_id = {each.target_id: each for each in targets}
        self.configuration = Configuration(1, targets_by_id=by_id)
        for listener in self.listeners:
            listener(self.configuration)

    def current(self):
        return self.configuration

    def on_change(self, listener):
        self.listeners.append(listener)


class Reader:
    def __init__(self):
        self.reads = []
        self.dropped_ids = []

    def wants(self, target):
        return target.target_id != "unwanted"

    def interval_s(self, n_targets):
        return INTERVAL_S * n_targets

    async def read(self, client, target):
        self.reads.append((target.target_id, target.url))

    def dropped(self, target_id):
        self.dropped_ids.append(target_id)


def readers_of(source):
    reader = Reader()
    transport = httpx.MockTransport(lambda request: httpx.Response(200))
    readers = TargetReaders(
        reader,
        source,
        lambda: httpx.AsyncClient(transport=transport),
        random.Random(1),
    )
    return reader, readers


def test_each_wanted_target_is_read_at_the_interval():
    async def main():
        reader, readers = readers_of(Source(target("a"), target("unwanted")))
        await readers.start()
        await asyncio.sleep(20.5 * INTERVAL_S)
        await readers.stop()
        return reader.reads

    reads = run_virtual(main())
    assert {name for name, _ in reads} == {"a"}
    assert 16 <= len(reads) <= 27


def test_removed_target_is_dropped_and_not_read_again():
    async def main():
        source = Source(target("a"), target("b"))
        reader, readers = readers_of(source)
        await readers.start()
        await asyncio.sleep(5.0)
        source.set(target("b"))
        n_reads = sum(name == "a" for name, _ in reader.reads)
        await asyncio.sleep(10.0)
        await readers.stop()
        assert reader.dropped_ids == ["a"]
        assert sum(name == "a" for name, _ in reader.reads) == n_reads
        assert n_reads

    run_virtual(main())


def test_target_that_moves_is_read_at_its_new_address():
    async def main():
        source = Source(target("a"))
        reader, readers = readers_of(source)
        await readers.start()
        source.set(target("a", "http://127.0.0.1:2"))
        await asyncio.sleep(3.0)
        await readers.stop()
        return reader.reads

    assert set(run_virtual(main())) == {("a", "http://127.0.0.1:2")}


def test_nothing_is_read_after_the_stop():
    async def main():
        source = Source(target("a"))
        reader, readers = readers_of(source)
        await readers.start()
        await asyncio.sleep(3.0)
        await readers.stop()
        n_reads = len(reader.reads)
        source.set(target("a"), target("b"))
        await asyncio.sleep(10.0)
        assert len(reader.reads) == n_reads

    run_virtual(main())
