"""Tests of handing requests over to daemons that reach targets."""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace
from types import SimpleNamespace

import pytest

from aspendrift_daemon.events import EventHub
from aspendrift_gateway.attempts import Delivery, RoutedRequest, Served
from aspendrift_gateway.handover import (
    HANDED_OVER_HEADER,
    Handover,
    split_marker,
)
from aspendrift_gateway.refusals import Refusal, refusal_status
from aspendrift_gateway.target_client import Broken, NotSent
from aspendrift_model.ids import DaemonId, Fingerprint
from aspendrift_model.opaque_requests import HandedOver
from aspendrift_model.routes import RequestKind
from aspendrift_model.states import MemberState, RefusalReason
from aspendrift_standins.virtual_time import VirtualClock, run_virtual

from .conftest import (
    POOL,
    FakeAnswer,
    FakeClient,
    FakeProgress,
    Network,
    Reply,
    request,
    route,
)

ONCE = route(RequestKind.NON_IDEMPOTENT, max_attempts=1)
STREAM = route(RequestKind.STREAMING)
VERSION = 21
BEHIND = Reply(status=421, chunks=(b"{}",), is_signed=False)
REFUSED = Reply(status=503, chunks=(b"{}",), is_signed=False)


class PeerClient(FakeClient):
    """Other daemons that give the replies of a test."""

    async def send(self, entry, call, headers, now):
        self.headers = headers
        metadata = SimpleNamespace(last_event_id=None, left_s=0.0, inputs=())
        return await super().send(entry, call, metadata, now)


class Codec:
    def handed_over(self, request, left_s):
        return ((b"left", b"%.1f" % left_s),)


class World:
    """A daemon among three others; some of them have no links to targets."""

    def __init__(self, *replies, without_links=("own",)):
        self.client = PeerClient(*replies)
        network = Network()
        self.link = network.link("own")
        for name in ("a", "b", "c"):
            network.link(name)
        self.link.view = SimpleNamespace(members=lambda: self._members(network))
        self.links = SimpleNamespace(
            is_lost=True, without_links=lambda now: frozenset(without_links)
        )
        self.answer = FakeAnswer()
        self.n_run = 0

    def _members(self, network):
        return [
            SimpleNamespace(
                host=replace(each.host, url=f"{each.host.daemon_id}:1"),
                state=MemberState.LIVE,
                is_serving=True,
            )
            for each in network.links_by_id.values()
        ]

    def send(self, found_route=ONCE, **changes):
        return run_virtual(self.run(found_route, **changes))

    async def run(self, found_route=ONCE, **changes):
        clock = VirtualClock(asyncio.get_running_loop())
        handover = Handover(
            self.link,
            self.links,
            self.client,
            Codec(),
            clock,
            EventHub(),
            random.Random(0),
        )
        now = clock.monotonic()
        routed = RoutedRequest(
            request(**changes),
            found_route,
            POOL,
            None,
            0,
            Fingerprint("f"),
            now,
            now + 2.0,
            now + 2.0,
        )
        self.delivery = Delivery(routed, self.answer, FakeProgress())
        self.delivery.n_run = self.n_run
        self.is_due = handover.is_due(self.delivery)
        return await handover.send(self.delivery, VERSION)


def test_answer_of_the_other_daemon_is_forwarded_whole():
    world = World(Reply(chunks=(b"wh", b"ole")))
    assert world.send() == Served(200, is_handed_over=True)
    assert world.answer.body == b"whole"
    assert (b"x-signature", b"s") in world.answer.headers
    assert (b"content-length", b"5") in world.answer.headers
    assert world.answer.is_ended


def test_request_says_who_handed_it_over_and_how_much_time_is_left():
    world = World(Reply())
    world.send()
    assert (HANDED_OVER_HEADER, b"own;21") in world.client.headers
    assert (b"left", b"2.0") in world.client.headers


def test_refusal_of_the_other_daemon_stays_a_promise():
    world = World(REFUSED)
    assert world.send().status == 503
    assert world.answer.status == 503


def test_refusal_is_no_promise_for_a_request_that_may_have_run_here():
    world = World(REFUSED)
    world.n_run = 1
    outcome = world.send(route(max_attempts=2))
    assert outcome.reason is RefusalReason.TARGET_FAILED
    assert refusal_status(outcome.reason) == 502


def test_daemon_that_takes_no_connection_is_replaced_by_another():
    world = World(NotSent("refused"), Reply())
    assert world.send().status == 200
    assert len({each.target_id for each in world.client.sent}) == 2


def test_daemon_whose_configuration_is_older_is_replaced_by_another():
    world = World(BEHIND, BEHIND, Reply())
    assert world.send().status == 200
    assert len({each.target_id for each in world.client.sent}) == 3


def test_request_is_refused_as_not_run_if_all_daemons_are_behind():
    world = World(BEHIND, BEHIND, BEHIND)
    outcome = world.send()
    assert refusal_status(outcome.reason) == 503
    assert outcome.retry_after_s > 0


@pytest.mark.parametrize(
    ("value", "found"),
    [
        (b"a;21", HandedOver(DaemonId("a"), 21)),
        (b"a", HandedOver(DaemonId("a"))),
        (b"a;x", HandedOver(DaemonId("a"))),
    ],
)
def test_marker_of_any_release_is_no_header_of_the_caller(value, found):
    headers = [(b"a", b"1"), (HANDED_OVER_HEADER, value), (b"b", b"2")]
    assert split_marker(headers) == (((b"a", b"1"), (b"b", b"2")), found)


def test_request_that_may_have_reached_the_other_daemon_is_not_sent_again():
    world = World(Broken("reset"), Reply())
    outcome = world.send()
    assert outcome.reason is RefusalReason.OUTCOME_UNKNOWN
    assert len(world.client.sent) == 1


def test_daemons_without_links_get_nothing():
    world = World(Reply(), without_links=("own", "a", "c"))
    world.send()
    assert [each.target_id for each in world.client.sent] == ["b"]


def test_request_is_refused_at_once_if_no_daemon_has_links():
    world = World(without_links=())
    outcome = world.send()
    assert outcome.reason is RefusalReason.NO_TARGET
    assert refusal_status(outcome.reason) == 503
    assert outcome.retry_after_s > 0


def test_request_is_handed_over_once():
    world = World()
    outcome = world.send(handed_over=HandedOver(DaemonId("a")))
    assert outcome.reason is RefusalReason.NO_TARGET
    assert world.client.sent == []


def test_stream_arrives_as_the_other_daemon_sends_it():
    world = World(Reply(chunks=(b"id: 1\n\n", b"id: 2\n\n"), gap_s=0.2))
    assert world.send(STREAM).status == 200
    assert world.answer.body == b"id: 1\n\nid: 2\n\n"
    assert b"content-length" not in dict(world.answer.headers)
    assert world.answer.is_ended


def test_stream_that_the_other_daemon_breaks_off_is_cut():
    world = World(Reply(chunks=(b"id: 1\n\n",), breaks_after=1))
    outcome = world.send(STREAM)
    assert outcome.is_cut
    assert not world.answer.is_ended


def test_answer_that_breaks_off_before_its_end_is_unknown():
    world = World(Reply(chunks=(b"wh",), breaks_after=1))
    outcome = world.send()
    assert isinstance(outcome, Refusal)
    assert outcome.reason is RefusalReason.OUTCOME_UNKNOWN
    assert not world.answer.has_begun


@pytest.mark.parametrize("attempt_id", ["other", None])
def test_answer_to_another_request_is_not_forwarded(attempt_id):
    world = World(Reply(attempt_id=attempt_id))
    outcome = world.send()
    assert isinstance(outcome, Refusal)
    assert outcome.reason is RefusalReason.OUTCOME_UNKNOWN
    assert not world.answer.has_begun


def test_answer_that_takes_longer_than_the_deadline_is_unknown():
    world = World(Reply(delay_s=5.0))
    outcome = world.send()
    assert outcome.reason is RefusalReason.DEADLINE_EXCEEDED
    assert refusal_status(outcome.reason) == 504


@pytest.mark.parametrize(
    ("found_route", "n_run", "is_due"),
    [
        (ONCE, 0, True),
        (ONCE, 1, False),
        (route(max_attempts=2), 1, True),
        (route(max_attempts=2), 2, False),
    ],
)
def test_only_what_may_run_again_is_handed_over(found_route, n_run, is_due):
    world = World(Reply())
    world.n_run = n_run
    world.send(found_route)
    assert world.is_due is is_due


def test_nothing_is_handed_over_while_targets_can_be_reached():
    world = World(Reply())
    world.links.is_lost = False
    world.send()
    assert not world.is_due


def test_request_counts_as_sent_before_the_other_daemon_answers():
    world = World(Reply(delay_s=5.0))

    async def run():
        task = asyncio.create_task(world.run())
        await asyncio.sleep(0.5)
        task.cancel()
        await asyncio.wait({task})

    run_virtual(run())
    assert world.delivery.progress.n_sent == 1
