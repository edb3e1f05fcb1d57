"""Tests that a gateway whose links to all targets are cut still serves its callers."""

from __future__ import annotations

import asyncio

import httpx
import pytest
from emulated_world import complete_stream

from aspendrift_gateway.interfaces import AddressQuery
from aspendrift_model.ids import ZoneName

CONNECT_S = 0.1


class CutTransport(httpx.AsyncBaseTransport):
    """Connections that can't be established: packets vanish, or are refused."""

    def __init__(self, is_silent):
        self.is_silent = is_silent

    async def handle_async_request(self, request):
        if not self.is_silent:
            raise httpx.ConnectError("refused")
        await asyncio.sleep(CONNECT_S)
        raise httpx.ConnectTimeout("no answer")


class Links:
    """The links of one gateway to all targets, which a test cuts and restores."""

    def __init__(self, gateway):
        self.client = gateway.client
        self._connections = self.client._connections
        self._accepts = self.client.accepts_connections

    def cut(self, is_silent=True):
        transport = CutTransport(is_silent)

        def connections(entry):
            found = self._connections(entry)
            found.transport = transport
            return found

        async def accepts_connections(entry):
            await asyncio.sleep(CONNECT_S if is_silent else 0.0)
            return False

        self.client._connections = connections
        self.client.accepts_connections = accepts_connections

    def restore(self):
        self.client._by_id.clear()
        self.client._connections = self._connections
        self.client.accepts_connections = self._accepts


async def until_served(cluster, gateway, path):
    """Call until an answer is served; the detection of a cut takes a moment."""
    async with asyncio.timeout(20.0):
        while True:
            _, answer = await cluster.call(gateway, path)
            if answer.status_code == 200:
                return
            await asyncio.sleep(0.1)


@pytest.mark.parametrize("is_silent", [True, False], ids=["silent", "refused"])
def test_requests_at_a_gateway_without_links_are_served(run_scenario, is_silent):
    async def scenario(cluster):
        stranded = cluster.gateways[0]
        Links(stranded).cut(is_silent)
        await until_served(cluster, stranded, "/safe/a")
        ran = cluster.platform.records.ran
        for path in ("/safe/b", "/once/b"):
            attempt_id, answer = await cluster.call(stranded, path)
            assert answer.status_code == 200
            assert answer.text == f"answer to {attempt_id}"
            assert answer.headers["response-signature"].endswith(attempt_id)
            assert ran[attempt_id] == 1
        attempt_id, answer = await cluster.stream(stranded)
        assert answer.text == complete_stream(attempt_id)
        assert ran[attempt_id] == 1

    run_scenario(scenario, n_gateways=3)


def test_owners_without_links_hand_their_pools_to_others(run_scenario):
    async def scenario(cluster):
        for gateway in cluster.gateways[:2]:
            Links(gateway).cut()
            await until_served(cluster, gateway, "/safe/a")
        for _ in range(4):
            attempt_id, answer = await cluster.stream(cluster.gateways[2])
            assert answer.text == complete_stream(attempt_id)

    run_scenario(scenario, n_gateways=3)


def test_gateway_without_links_leaves_the_addresses_until_they_are_back(run_scenario):
    async def scenario(cluster):
        stranded, other = cluster.gateways[:2]
        links = Links(stranded)
        links.cut()
        await until_served(cluster, stranded, "/safe/a")
        query = AddressQuery(ZoneName("z1"))
        address = stranded.settings.front_address
        await cluster.until(lambda: address not in other.addresses(query))
        assert address not in stranded.addresses(query)
        assert not stranded.is_ready()
        links.restore()
        await cluster.until(lambda: address in other.addresses(query))
        assert stranded.is_ready()
        attempt_id, answer = await cluster.call(stranded, "/safe/b")
        assert answer.text == f"answer to {attempt_id}"

    run_scenario(scenario, n_gateways=3)


def test_callers_are_refused_at_once_if_no_gateway_has_links(run_scenario):
    async def scenario(cluster):
        for gateway in cluster.gateways:
            Links(gateway).cut()
        for gateway in cluster.gateways:
            for _ in range(3):
                await cluster.call(gateway, "/safe/a")
        await cluster.until(lambda: not any(g.is_ready() for g in cluster.gateways))
        _, answer = await cluster.call(cluster.gateways[0], "/once/a")
        assert answer.status_code == 503
        assert float(answer.headers["retry-after"]) > 0
        query = AddressQuery(ZoneName("z1"))
        assert len(cluster.gateways[0].addresses(query)) == 3

    run_scenario(scenario, n_gateways=3)


def freeze_configuration(gateway):
    """Let a gateway learn of no further configuration."""
    gateway.state.apply_configuration = lambda value, source: None


async def move_key(cluster, *gateways):
    """Replace the key of the account; return once these gateways know it."""
    tenants = [{"name": "account", "apiKeys": ["new"]}]
    cluster.platform.configure(2, tenants=tenants)
    await cluster.until(
        lambda: all(each.state.configuration_version == 2 for each in gateways)
    )


def test_request_handed_over_meets_no_older_configuration(run_scenario):
    async def scenario(cluster):
        stranded, behind, current = cluster.gateways
        Links(stranded).cut()
        await until_served(cluster, stranded, "/safe/a")
        freeze_configuration(behind)
        await move_key(cluster, stranded, current)
        for _ in range(12):
            attempt_id, answer = await cluster.call(stranded, "/safe/b", key="new")
            assert answer.status_code == 200
            assert answer.text == f"answer to {attempt_id}"

    run_scenario(scenario, n_gateways=3)


def test_request_is_refused_as_not_run_if_all_others_are_behind(run_scenario):
    async def scenario(cluster):
        stranded, *others = cluster.gateways
        Links(stranded).cut()
        await until_served(cluster, stranded, "/safe/a")
        for gateway in others:
            freeze_configuration(gateway)
        await move_key(cluster, stranded)
        for _ in range(6):
            attempt_id, answer = await cluster.call(stranded, "/once/b", key="new")
            assert answer.status_code == 503
            assert float(answer.headers["retry-after"]) > 0
            assert cluster.platform.records.ran[attempt_id] == 0

    run_scenario(scenario, n_gateways=3)


def breaks_off(run):
    """Return a target's reaction to a request after which its connection breaks."""

    async def run_and_break(scope, headers, send):
        await run(scope, headers, silent)
        await asyncio.sleep(0.3)
        raise ConnectionError("broken by the test")

    async def silent(message):
        pass

    return run_and_break


def test_request_that_reached_a_target_is_handed_over_only_within_the_retry_budget(
    run_scenario, monkeypatch
):
    async def scenario(cluster):
        stranded = cluster.gateways[0]
        budget = stranded.budgets.of("desk", stranded.clock.monotonic())
        while budget.may_retry(stranded.clock.monotonic()):
            budget.consume()
        budget.floor_per_s = 0.0
        for target in cluster.platform.targets_by_name.values():
            target._run = breaks_off(target._run)
        calling = asyncio.create_task(cluster.call(stranded, "/safe/a"))
        await cluster.until(
            lambda: "desk" in cluster.platform.records.arrivals_by_service
        )
        links, found = stranded.links, type(stranded.links)
        is_lost = found.is_lost.fget
        monkeypatch.setattr(
            found, "is_lost", property(lambda each: each is links or is_lost(each))
        )
        attempt_id, answer = await calling
        arrivals = cluster.platform.records.arrivals_by_service["desk"]
        assert [each for _, each in arrivals] == [attempt_id]
        assert answer.status_code == 502

    run_scenario(scenario, n_gateways=3)


def test_gateway_learns_the_configuration_by_which_its_request_was_served(
    run_scenario,
):
    async def scenario(cluster):
        stranded, *others = cluster.gateways
        Links(stranded).cut()
        await until_served(cluster, stranded, "/safe/a")
        # Neither the store nor a query tells the gateway of the change.
        apply = stranded.state.apply_configuration
        stranded.state.apply_configuration = lambda value, source: (
            None if source == "store" else apply(value, source)
        )
        stranded.peer_state._send_query = lambda daemon_id, number: None
        for gateway in others:
            gateway.peer_state._subscribers_by_id.clear()
        cluster.platform.configure(2)
        await cluster.until(
            lambda: all(each.state.configuration_version == 2 for each in others)
        )
        assert stranded.state.configuration_version == 1
        await cluster.call(stranded, "/safe/b")
        await cluster.until(lambda: stranded.state.configuration_version == 2)

    run_scenario(scenario, n_gateways=3)
