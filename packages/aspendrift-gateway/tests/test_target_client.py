"""Tests of the connections to targets."""

from __future__ import annotations

import asyncio

from aspendrift_gateway.target_client import TargetClient
from aspendrift_standins.virtual_time import run_virtual

from .conftest import entry


class FakeTransport:
    def __init__(self):
        self.is_closed = False

    async def aclose(self):
        self.is_closed = True


def test_open_exchanges_continue_when_their_target_leaves_the_list():
    """Guards against streams cut off when the entry of their target is removed."""

    async def run():
        client = TargetClient(None, lambda key: None)
        target = entry("t1")
        connections = client._connections(target)
        connections.transport = FakeTransport()
        client.evict(target.key.target_id)
        await asyncio.sleep(15.0)
        assert not connections.transport.is_closed
        assert client._connections(target) is not connections
        await asyncio.sleep(30.0)
        assert connections.transport.is_closed

    run_virtual(run())
