"""Tests of attempts, usable answers and retries."""

from __future__ import annotations

import pytest

from aspendrift_gateway.attempts import InputsGone, Served
from aspendrift_gateway.refusals import Refusal
from aspendrift_gateway.target_client import Broken, NotSent
from aspendrift_model.pieces import Handle
from aspendrift_model.routes import RequestKind
from aspendrift_model.states import RefusalReason
from aspendrift_standins.virtual_time import run_virtual

from .conftest import Reply, entry, route

UNSAFE = route(RequestKind.NON_IDEMPOTENT, max_attempts=2)
STREAM = route(RequestKind.STREAMING, event_gap_s=0.3)
RESUMABLE = route(RequestKind.STREAMING, event_gap_s=0.3, is_resumable=True)


def send(scene, found_route=None, inputs=()):
    async def run():
        return await scene.sender().send(scene.delivery(found_route, inputs))

    return run_virtual(run())


def test_answer_is_passed_on_whole_with_its_headers(scene):
    found = scene(Reply(status=201, chunks=(b"wh", b"ole")))
    assert send(found) == Served(201)
    assert found.answer.status == 201
    assert found.answer.body == b"whole"
    assert (b"x-signature", b"s") in found.answer.headers
    assert (b"content-length", b"5") in found.answer.headers
    assert found.answer.is_ended


@pytest.mark.parametrize(
    "first",
    [
        Broken("reset"),
        Reply(status=500),
        Reply(chunks=(b"wh",), breaks_after=1),
        Reply(is_signed=False),
        Reply(is_encoded=True),
        Reply(attempt_id="other"),
        Reply(delay_s=5.0),
    ],
)
def test_repeatable_request_is_sent_to_another_target(scene, first):
    found = scene(first, Reply())
    assert send(found) == Served(200)
    assert len({each.target_id for each in found.client.sent}) == 2
    assert found.answer.body == b"whole"


@pytest.mark.parametrize(
    ("first", "reason"),
    [
        (Broken("reset"), RefusalReason.TARGET_FAILED),
        (Reply(chunks=(b"wh",), breaks_after=1), RefusalReason.TARGET_FAILED),
        (Reply(is_signed=False), RefusalReason.TARGET_FAILED),
        (Reply(attempt_id="other"), RefusalReason.TARGET_FAILED),
        (Reply(delay_s=50.0), RefusalReason.DEADLINE_EXCEEDED),
    ],
)
def test_request_that_may_have_run_is_not_sent_again(scene, first, reason):
    found = scene(first)
    outcome = send(found, UNSAFE)
    assert isinstance(outcome, Refusal)
    assert outcome.reason is reason
    assert len(found.client.sent) == 1
    assert not found.answer.has_begun


def test_failure_of_a_target_is_passed_on_where_nothing_may_be_repeated(scene):
    found = scene(Reply(status=500, chunks=(b"no",)))
    assert send(found, UNSAFE) == Served(500)
    assert found.answer.body == b"no"


@pytest.mark.parametrize(
    "first", [NotSent("refused"), Reply(status=503, has_not_run=True)]
)
def test_request_that_has_not_run_goes_to_another_target(scene, first):
    found = scene(first, Reply())
    assert send(found, UNSAFE) == Served(200)
    assert len({each.target_id for each in found.client.sent}) == 2


def test_request_that_no_target_ran_is_refused_as_not_run(scene):
    found = scene(*[Reply(status=503, has_not_run=True)] * 3)
    outcome = send(found, UNSAFE)
    assert outcome.reason in (RefusalReason.OVERLOADED, RefusalReason.NO_TARGET)
    assert outcome.retry_after_s > 0


def test_no_target_is_a_refusal_that_says_when_to_come_back(scene):
    found = scene(targets=())
    outcome = send(found)
    assert outcome.reason is RefusalReason.NO_TARGET
    assert outcome.retry_after_s > 0
    assert found.client.sent == []


def test_second_sends_stop_when_the_budget_is_spent(scene):
    found = scene(*[Broken("reset")] * 100, budget_floor_per_s=0.0)

    async def run():
        sender = found.sender()
        for _ in range(30):
            await sender.send(found.delivery())

    run_virtual(run())
    n_repeated = len(found.client.sent) - 30
    assert n_repeated <= 5 + 0.2 * 30


def test_repeats_stop_at_the_routes_limit(scene):
    found = scene(*[Broken("reset")] * 9)
    send(found, route(max_attempts=2))
    assert len(found.client.sent) == 2


def test_extra_answer_makes_the_targets_connections_distrusted(scene):
    found = scene(Reply(attempt_id="other"), Reply())
    send(found)
    assert found.client.reuse_disabled == [found.client.sent[0].target_id]


def test_time_left_shrinks_with_each_send(scene):
    found = scene(Reply(delay_s=5.0), Reply())
    send(found)
    first, second = found.client.sent
    assert second.left_s < first.left_s - 0.25


def test_broken_connection_is_reported_with_its_target(scene):
    found = scene(Broken("reset"), Reply())
    send(found)
    assert found.broken == [found.client.sent[0].target_id]


def test_every_answer_is_closed(scene):
    found = scene(Reply(status=500), Reply())
    send(found)
    assert all(each.is_closed for each in found.client.responses)


def events(*numbers):
    return b"".join(b"id: %d\ndata: x\n\n" % number for number in numbers)


def test_stream_is_passed_on_event_by_event(scene):
    found = scene(Reply(chunks=(events(1) + b"id: 2\nda", b"ta: x\n\n", events(3))))
    assert send(found, STREAM) == Served(200)
    assert found.answer.body == events(1, 2, 3)
    assert found.answer.is_ended


def test_stream_that_breaks_off_is_cut_and_looks_so(scene):
    found = scene(Reply(chunks=(events(1), b"id: 2\nda"), breaks_after=2))
    outcome = send(found, STREAM)
    assert outcome.is_cut
    assert found.answer.body == events(1)
    assert not found.answer.is_ended
    assert len(found.client.sent) == 1


def test_stream_that_broke_before_its_first_event_is_no_success(scene):
    found = scene(Reply(chunks=(), breaks_after=0))
    outcome = send(found, STREAM)
    assert isinstance(outcome, Refusal)
    assert outcome.reason is RefusalReason.TARGET_FAILED


def test_resumable_stream_goes_on_elsewhere_behind_its_last_event(scene):
    first = Reply(chunks=(events(1, 2), b"id: 3\nda"), breaks_after=2)
    found = scene(first, Reply(chunks=(events(3, 4),)))
    assert send(found, RESUMABLE) == Served(200)
    assert found.answer.body == events(1, 2, 3, 4)
    assert [each.last_event_id for each in found.client.sent] == [None, "2"]
    assert found.answer.is_ended


def test_resumable_stream_that_stalls_goes_on_elsewhere(scene):
    first = Reply(chunks=(events(1), events(2)), gap_s=30.0)
    found = scene(first, Reply(chunks=(events(2),)))
    assert send(found, RESUMABLE) == Served(200)
    assert found.answer.body == events(1, 2)
    assert found.client.responses[0].is_closed


def test_stream_keeps_its_place_when_inputs_have_to_be_made_again(scene):
    """Guards against a resumed stream that restarts at its first event.

    It happened when a target reported that the inputs of the stream were gone.
    """
    first = Reply(chunks=(events(1, 2),), breaks_after=1)
    gone = Reply(status=409, has_not_run=True)
    found = scene(first, gone, Reply(chunks=(events(3),)))

    async def run():
        sender = found.sender()
        delivery = found.delivery(RESUMABLE, (Handle("a/1"),))
        assert isinstance(await sender.send(delivery), InputsGone)
        delivery.inputs = (Handle("b/2"),)
        return await sender.send(delivery)

    assert run_virtual(run()) == Served(200)
    assert found.answer.body == events(1, 2, 3)
    assert found.client.sent[-1].last_event_id == "2"
    assert found.client.sent[-1].inputs == ("b/2",)


def test_inputs_are_given_up_once_a_target_with_free_slots_has_fetched_them(scene):
    found = scene(Reply(delay_s=1.0, chunks=(events(1),)))
    send(found, STREAM, (Handle("a/1"),))
    assert found.progress.n_fetched >= 1


def test_inputs_are_kept_until_the_first_bytes_of_a_busy_target(scene):
    found = scene(Reply(delay_s=1.0, chunks=(events(1),)), targets=(entry("t1"),))

    async def run():
        sender = found.sender()
        sender.chooser(found.delivery().routed.pool).reported(entry("t1"), 4, 0.0)
        await sender.send(found.delivery(STREAM, (Handle("a/1"),)))

    run_virtual(run())
    assert found.progress.n_fetched == 1
