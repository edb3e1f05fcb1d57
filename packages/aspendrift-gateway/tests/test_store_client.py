"""Tests of calls to the store that are slow, or whose answers are lost."""

from __future__ import annotations

import asyncio
import math

import httpx
import pytest

from aspendrift_gateway.interfaces import HttpCall, StoreRows
from aspendrift_gateway.store_client import StoreClient, StoreFailure
from aspendrift_standins.virtual_time import run_virtual

# Time in which a configuration must be in force.
CONFIGURATION_S = 2.0
LONG_POLL_S = 1.0


class Codec:
    """Encodes a read as its path, and decodes the number of its answer."""

    def feed(self, table, after, wait_s):
        return HttpCall("GET", f"/feed?{wait_s}")

    def read(self, table, after=None):
        return HttpCall("GET", "/read")

    def era(self, headers):
        return 0

    def rows(self, body, era):
        return StoreRows((), int(body))


class Transport(httpx.AsyncBaseTransport):
    """Answers each call after a time of its own, with the number of the call."""

    def __init__(self, *delays_s):
        self.delays_s = list(delays_s)
        self.sent_at = []
        self.n_open = 0

    async def handle_async_request(self, request):
        self.sent_at.append(asyncio.get_running_loop().time())
        number = len(self.sent_at)
        self.n_open += 1
        try:
            wait_s = float(request.url.query or b"0")
            delay_s = self.delays_s.pop(0)
            if delay_s is None:
                raise httpx.ConnectError("refused")
            await asyncio.sleep(wait_s + delay_s)
        finally:
            self.n_open -= 1
        return httpx.Response(200, content=str(number).encode())


def play(transport, wait_s=None):
    """Return the result of a read or a feed, and the time that it took."""
    found = []

    async def main():
        client = StoreClient("127.0.0.1:1", Codec(), transport=transport)
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        if wait_s is None:
            result = await client.read_table("t")
        else:
            result = await client.feed("t", 0, wait_s)
        found.extend((result, loop.time() - began_at))
        await asyncio.sleep(0)
        assert transport.n_open == 0

    run_virtual(main())
    return found


@pytest.mark.parametrize("wait_s", [None, 0.0, LONG_POLL_S])
def test_answer_that_takes_long_is_heard(wait_s):
    transport = Transport(0.9, 0.9, 0.9)
    result, took_s = play(transport, wait_s)
    assert result == StoreRows((), 1)
    assert took_s == pytest.approx((wait_s or 0.0) + 0.9)


@pytest.mark.parametrize("n_lost", [0, 1, 2])
def test_lost_answers_are_made_up_for_by_another_call(n_lost):
    transport = Transport(*[math.inf] * n_lost, 0.004, 0.004)
    result, took_s = play(transport)
    assert result == StoreRows((), n_lost + 1)
    assert took_s < CONFIGURATION_S


def test_store_that_refuses_is_reported_at_once():
    result, took_s = play(Transport(None))
    assert isinstance(result, StoreFailure) and not result.is_unknown
    assert took_s == 0.0


def test_refused_call_does_not_end_one_that_is_open():
    result, _ = play(Transport(0.9, None))
    assert result == StoreRows((), 1)


def test_store_that_never_answers_is_given_up():
    transport = Transport(*[math.inf] * 9)
    result, _ = play(transport)
    assert isinstance(result, StoreFailure) and result.is_unknown
    assert len(transport.sent_at) <= 3
