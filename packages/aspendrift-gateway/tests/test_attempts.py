"""Tests of attempts, usable answers and retries."""

from __future__ import annotations

import asyncio
import math
from dataclasses import replace

import pytest

from aspendrift_gateway.attempts import InputsGone, Served
from aspendrift_gateway.caller_answer import CallerDisconnected
from aspendrift_gateway.events import AttemptEnded, AttemptVerdict
from aspendrift_gateway.interfaces import AnswerHead
from aspendrift_gateway.refusals import Refusal
from aspendrift_gateway.servers import _AsgiAnswer
from aspendrift_gateway.target_client import Answer, Broken, NotSent
from aspendrift_model.load_reports import LoadReport
from aspendrift_model.pieces import Handle
from aspendrift_model.routes import RequestKind
from aspendrift_model.states import RefusalReason
from aspendrift_policy.buffer_budget import BufferBudget, UnreadAnswers
from aspendrift_standins.virtual_time import run_virtual

from .conftest import POOL, FakePromptGuard, Reply, entry, route

UNSAFE = route(RequestKind.NON_IDEMPOTENT, max_attempts=2)
STREAM = route(RequestKind.STREAMING, event_gap_s=0.3)
RESUMABLE = route(RequestKind.STREAMING, event_gap_s=0.3, is_resumable=True)


def send(harness, found_route=None, inputs=()):
    async def run():
        return await harness.sender().send(harness.delivery(found_route, inputs))

    return run_virtual(run())


def test_complete_answer_is_passed_on_with_its_headers(make_harness):
    harness = make_harness(Reply(status=201, chunks=(b"wh", b"ole")))
    assert send(harness) == Served(201)
    assert harness.answer.status == 201
    assert harness.answer.body == b"whole"
    assert (b"x-signature", b"s") in harness.answer.headers
    assert (b"content-length", b"5") in harness.answer.headers
    assert harness.answer.is_ended


@pytest.mark.parametrize(
    "first",
    [
        Broken("reset"),
        Reply(status=500),
        Reply(chunks=(b"wh",), breaks_after=1),
        Reply(is_signed=False),
        Reply(is_encoded=True),
        Reply(attempt_id="other"),
        Reply(attempt_id=None),
        Reply(delay_s=5.0),
    ],
)
def test_repeatable_request_is_sent_to_another_target(make_harness, first):
    harness = make_harness(first, Reply())
    assert send(harness) == Served(200)
    assert len({each.target_id for each in harness.client.sent}) == 2
    assert harness.answer.body == b"whole"


def test_log_tells_what_each_target_answered_that_was_tried(make_harness):
    harness = make_harness(Reply(attempt_id="other", status=404), Reply())

    async def run():
        sender = harness.sender()
        ended = []
        harness.events.connect(AttemptEnded, ended.append)
        await sender.send(harness.delivery())
        return ended

    ended = run_virtual(run())
    assert [(each.verdict, each.status, each.signature) for each in ended] == [
        (AttemptVerdict.FOREIGN, 404, "s"),
        (AttemptVerdict.ANSWERED, 200, "s"),
    ]


def test_answer_that_cannot_be_read_is_no_crash_of_its_target(make_harness):
    harness = make_harness(Broken("head", may_have_crashed=False), Reply())
    assert send(harness) == Served(200)
    assert harness.broken == []
    assert harness.prompts.broke == []


def test_inputs_are_kept_for_the_attempt_after_a_failure(make_harness):
    """Guards against stages that run again since their results were freed too early."""
    harness = make_harness(Reply(status=500), Reply())
    freed_after = []
    sent = harness.client.sent
    harness.progress.inputs_fetched = lambda: freed_after.append(len(sent))
    assert send(harness, inputs=(Handle("h1"),)) == Served(200)
    assert [each.inputs for each in sent] == [("h1",), ("h1",)]
    assert freed_after == [2]


def test_inputs_are_freed_with_the_last_failure(make_harness):
    harness = make_harness(Reply(status=500))
    assert send(harness, UNSAFE, inputs=(Handle("h1"),)) == Served(500)
    assert harness.progress.n_fetched == 1


@pytest.mark.parametrize(
    ("first", "reason"),
    [
        (Broken("reset"), RefusalReason.TARGET_FAILED),
        (Reply(chunks=(b"wh",), breaks_after=1), RefusalReason.TARGET_FAILED),
        (Reply(is_signed=False), RefusalReason.TARGET_FAILED),
        (Reply(attempt_id="other"), RefusalReason.TARGET_FAILED),
        (Reply(attempt_id=None), RefusalReason.TARGET_FAILED),
        (Reply(delay_s=50.0), RefusalReason.DEADLINE_EXCEEDED),
    ],
)
def test_request_that_may_have_run_is_not_sent_again(make_harness, first, reason):
    harness = make_harness(first)
    outcome = send(harness, UNSAFE)
    assert isinstance(outcome, Refusal)
    assert outcome.reason is reason
    assert len(harness.client.sent) == 1
    assert not harness.answer.has_begun


def test_target_failure_is_passed_on_if_no_retry_is_allowed(make_harness):
    harness = make_harness(Reply(status=500, chunks=(b"no",)))
    assert send(harness, UNSAFE) == Served(500)
    assert harness.answer.body == b"no"


@pytest.mark.parametrize(
    "first", [NotSent("refused"), Reply(status=503, has_not_run=True)]
)
def test_request_that_has_not_run_goes_to_another_target(make_harness, first):
    harness = make_harness(first, Reply())
    assert send(harness, UNSAFE) == Served(200)
    assert len({each.target_id for each in harness.client.sent}) == 2


def test_request_that_no_target_ran_is_refused_as_not_run(make_harness):
    harness = make_harness(*[Reply(status=503, has_not_run=True)] * 3)
    outcome = send(harness, UNSAFE)
    assert outcome.reason in (RefusalReason.OVERLOADED, RefusalReason.NO_TARGET)
    assert outcome.retry_after_s > 0


def test_no_target_is_a_refusal_with_a_retry_time(make_harness):
    harness = make_harness(targets=())
    outcome = send(harness)
    assert outcome.reason is RefusalReason.NO_TARGET
    assert outcome.retry_after_s > 0
    assert harness.client.sent == []


def test_retries_stop_when_the_budget_is_spent(make_harness):
    harness = make_harness(*[Broken("reset")] * 100, budget_floor_per_s=0.0)

    async def run():
        sender = harness.sender()
        for _ in range(30):
            await sender.send(harness.delivery())

    run_virtual(run())
    n_repeated = len(harness.client.sent) - 30
    assert n_repeated <= 5 + 0.2 * 30


def test_retries_stop_at_the_limit_of_the_route(make_harness):
    harness = make_harness(*[Broken("reset")] * 9)
    send(harness, route(max_attempts=2))
    assert len(harness.client.sent) == 2


def test_foreign_answer_disables_connection_reuse_for_the_target(make_harness):
    harness = make_harness(Reply(attempt_id="other"), Reply())
    send(harness)
    assert harness.client.reuse_disabled == [harness.client.sent[0].target_id]


def test_remaining_time_shrinks_with_each_attempt(make_harness):
    harness = make_harness(Reply(delay_s=5.0), Reply())
    send(harness)
    first, second = harness.client.sent
    assert second.left_s < first.left_s - 0.25


def test_broken_connection_is_reported_with_its_target(make_harness):
    harness = make_harness(Broken("reset"), Reply())
    send(harness)
    assert harness.broken == [harness.client.sent[0].target_id]


def test_every_answer_is_closed(make_harness):
    harness = make_harness(Reply(status=500), Reply())
    send(harness)
    assert all(each.is_closed for each in harness.client.responses)


def events(*numbers):
    return b"".join(b"id: %d\ndata: x\n\n" % number for number in numbers)


def test_stream_is_passed_on_event_by_event(make_harness):
    harness = make_harness(
        Reply(chunks=(events(1) + b"id: 2\nda", b"ta: x\n\n", events(3)))
    )
    assert send(harness, STREAM) == Served(200)
    assert harness.answer.body == events(1, 2, 3)
    assert harness.answer.is_ended


def test_broken_stream_is_not_ended_as_complete(make_harness):
    harness = make_harness(Reply(chunks=(events(1), b"id: 2\nda"), breaks_after=2))
    outcome = send(harness, STREAM)
    assert outcome.is_cut
    assert harness.answer.body == events(1)
    assert not harness.answer.is_ended
    assert len(harness.client.sent) == 1


def test_stream_broken_before_its_first_event_is_a_failure(make_harness):
    harness = make_harness(Reply(chunks=(), breaks_after=0))
    outcome = send(harness, STREAM)
    assert isinstance(outcome, Refusal)
    assert outcome.reason is RefusalReason.TARGET_FAILED


def test_resumable_stream_continues_elsewhere_after_its_last_event(make_harness):
    first = Reply(chunks=(events(1, 2), b"id: 3\nda"), breaks_after=2)
    harness = make_harness(first, Reply(chunks=(events(3, 4),)))
    assert send(harness, RESUMABLE) == Served(200)
    assert harness.answer.body == events(1, 2, 3, 4)
    assert [each.last_event_id for each in harness.client.sent] == [None, "2"]
    assert harness.answer.is_ended


def test_stalled_resumable_stream_continues_elsewhere(make_harness):
    first = Reply(chunks=(events(1), events(2)), gap_s=30.0)
    harness = make_harness(first, Reply(chunks=(events(2),)))
    assert send(harness, RESUMABLE) == Served(200)
    assert harness.answer.body == events(1, 2)
    assert harness.client.responses[0].is_closed


def test_stream_goes_on_at_a_target_that_is_silent_for_a_second_and_a_half(
    make_harness,
):
    """Guards against a stream that two targets work on at the same time."""
    first = Reply(chunks=(events(1), events(2)), gap_s=1.5)
    harness = make_harness(first, Reply(chunks=(events(2),)))
    found_route = route(RequestKind.STREAMING, event_gap_s=0.2, is_resumable=True)
    assert send(harness, found_route) == Served(200)
    assert len(harness.client.sent) == 1


def test_stream_is_not_cut_because_its_caller_reads_slowly(make_harness):
    harness = make_harness(Reply(chunks=(events(1), events(2), events(3))))
    harness.answer.send_s = 2.0
    assert send(harness, RESUMABLE) == Served(200)
    assert harness.answer.body == events(1, 2, 3)
    assert len(harness.client.sent) == 1


def test_answer_is_not_fetched_again_because_its_caller_reads_slowly(make_harness):
    harness = make_harness(Reply())
    harness.answer.send_s = 2.0
    assert send(harness) == Served(200)
    assert len(harness.client.sent) == 1


def test_stream_without_whole_events_counts_as_stalled(make_harness):
    trickle = (events(1), *(b"d" for _ in range(40)))
    harness = make_harness(Reply(chunks=trickle, gap_s=0.5), Reply(chunks=(events(2),)))
    assert send(harness, RESUMABLE) == Served(200)
    assert harness.answer.body == events(1, 2)
    assert harness.client.responses[0].is_closed


def test_stream_keeps_its_position_when_inputs_are_recomputed(make_harness):
    """Guards against a resumed stream that restarts at its first event.

    It happened when a target reported that the inputs of the stream were gone.
    """
    first = Reply(chunks=(events(1, 2),), breaks_after=1)
    gone = Reply(status=409, has_not_run=True)
    harness = make_harness(first, gone, Reply(chunks=(events(3),)))

    async def run():
        sender = harness.sender()
        delivery = harness.delivery(RESUMABLE, (Handle("a/1"),))
        assert isinstance(await sender.send(delivery), InputsGone)
        delivery.inputs = (Handle("b/2"),)
        return await sender.send(delivery)

    assert run_virtual(run()) == Served(200)
    assert harness.answer.body == events(1, 2, 3)
    assert harness.client.sent[-1].last_event_id == "2"
    assert harness.client.sent[-1].inputs == ("b/2",)


def test_inputs_are_released_once_an_idle_target_has_fetched_them(
    make_harness,
):
    harness = make_harness(Reply(delay_s=1.0, chunks=(events(1),)))
    send(harness, STREAM, (Handle("a/1"),))
    assert harness.progress.n_fetched >= 1


def test_inputs_are_kept_until_the_first_bytes_of_a_busy_target(make_harness):
    harness = make_harness(
        Reply(delay_s=1.0, chunks=(events(1),)), targets=(entry("t1"),)
    )

    async def run():
        sender = harness.sender()
        chooser = sender.chooser(harness.delivery().routed.pool)
        chooser.reported(entry("t1"), LoadReport(4, 0, 4), 0.0)
        await sender.send(harness.delivery(STREAM, (Handle("a/1"),)))

    run_virtual(run())
    assert harness.progress.n_fetched == 1


TWO_VERSIONS = tuple(
    entry(f"{version}-{number}", software=version)
    for version in ("v1", "v2")
    for number in range(2)
)


def versions_sent(harness):
    return [each.target_id.partition("-")[0] for each in harness.client.sent]


def test_stream_is_never_continued_at_another_software_version(make_harness):
    first = Reply(chunks=(events(1, 2),), breaks_after=1)
    rest = Reply(chunks=(events(3),))
    for seed in range(12):
        harness = make_harness(first, rest, targets=TWO_VERSIONS, seed=seed)
        assert send(harness, RESUMABLE) == Served(200)
        assert harness.answer.body == events(1, 2, 3)
        assert len(set(versions_sent(harness))) == 1


def test_stream_is_cut_at_once_if_no_target_has_its_software_version(make_harness):
    targets = (entry("v1-0", software="v1"), entry("v2-0", software="v2"))
    first = Reply(chunks=(events(1),), breaks_after=1)
    harness = make_harness(first, Reply(chunks=(events(2),)), targets=targets)
    outcome = send(harness, RESUMABLE)
    assert isinstance(outcome, Served) and outcome.is_cut
    assert len(harness.client.sent) == 1
    assert harness.answer.body == events(1)
    assert not harness.answer.is_ended


@pytest.mark.parametrize("is_read", [True, False])
def test_stream_is_not_continued_at_a_target_that_returned_as_another_version(
    make_harness, is_read
):
    """Guards against a choice by an entry from before a target ended and returned."""
    targets = (
        entry("v1-0", software="v1"),
        entry("v1-1", software="v1"),
        replace(entry("v2-0", software="v2"), is_draining=True),
    )
    first = Reply(chunks=(events(1),), breaks_after=1)
    harness = make_harness(first, Reply(chunks=(events(2),)), targets=targets)

    async def run():
        sender = harness.sender()
        harness.state.targets_confirmed_at = -1.0
        delivery = harness.delivery(RESUMABLE)
        sending = asyncio.create_task(sender.send(delivery))
        await asyncio.sleep(0.5)
        assert len(harness.client.sent) == 1
        if is_read:
            now = asyncio.get_running_loop().time()
            returned = [entry(f"v1-{n}", born=2, software="v2") for n in range(2)]
            harness.state.registry.replace([*returned, targets[2]], now)
            harness.state.targets_confirmed_at = now
        return await sending

    outcome = run_virtual(run())
    assert outcome.is_cut
    assert len(harness.client.sent) == 1
    assert harness.answer.body == events(1)


def test_request_without_an_event_may_run_at_another_software_version(make_harness):
    targets = (entry("v1-0", software="v1"), entry("v2-0", software="v2"))
    first = Reply(chunks=(b"id: 1\nda",), breaks_after=1)
    harness = make_harness(first, Reply(chunks=(events(1),)), targets=targets)
    assert send(harness, RESUMABLE) == Served(200)
    assert set(versions_sent(harness)) == {"v1", "v2"}


def test_target_whose_inputs_were_gone_may_continue_the_stream(make_harness):
    first = Reply(chunks=(events(1),), breaks_after=1)
    gone = Reply(status=409, has_not_run=True)
    rest = Reply(chunks=(events(2),))

    async def run(harness):
        sender = harness.sender()
        delivery = harness.delivery(RESUMABLE, (Handle("a/1"),))
        assert isinstance(await sender.send(delivery), InputsGone)
        delivery.inputs = (Handle("b/2"),)
        return await sender.send(delivery)

    for seed in range(12):
        harness = make_harness(first, gone, rest, targets=TWO_VERSIONS, seed=seed)
        assert run_virtual(run(harness)) == Served(200)
        assert len(set(versions_sent(harness))) == 1


@pytest.mark.parametrize(
    ("first", "is_suspect"),
    [
        (Reply(chunks=(), breaks_after=0), True),
        (Reply(chunks=(b"id: 1\nda",), breaks_after=1), True),
        (Reply(chunks=(events(1),), breaks_after=1), False),
        (Broken("reset"), False),
        (NotSent("refused"), False),
        (Reply(status=503, has_not_run=True), False),
    ],
)
def test_only_a_stream_that_had_just_begun_is_suspected_of_a_crash(
    make_harness, first, is_suspect
):
    harness = make_harness(first, Reply(chunks=(events(2),)))
    send(harness, RESUMABLE)
    assert bool(harness.prompts.broke) == is_suspect


def test_quarantined_prompt_is_refused_as_not_run_before_its_first_attempt(
    make_harness,
):
    harness = make_harness(prompts=FakePromptGuard(refuses_after=0))
    outcome = send(harness, RESUMABLE)
    assert outcome.reason is RefusalReason.POISON
    assert outcome.retry_after_s > 0
    assert harness.client.sent == []


def test_quarantined_prompt_that_ran_is_not_sent_again_nor_said_not_to_have_run(
    make_harness,
):
    crash = Reply(chunks=(), breaks_after=0)
    harness = make_harness(crash, prompts=FakePromptGuard(refuses_after=1))
    outcome = send(harness, RESUMABLE)
    assert outcome.reason is RefusalReason.TARGET_FAILED
    assert len(harness.client.sent) == 1


def test_stream_that_ends_inside_an_event_is_broken_off(make_harness):
    first = Reply(chunks=(events(1), b"id: 2\nda"))
    harness = make_harness(first)
    outcome = send(harness, STREAM)
    assert outcome.is_cut
    assert harness.answer.body == events(1)
    assert not harness.answer.is_ended
    assert harness.broken == [harness.client.sent[0].target_id]


def test_stream_that_ends_inside_an_event_is_continued_elsewhere(make_harness):
    first = Reply(chunks=(events(1), b"id: 2\nda"))
    harness = make_harness(first, Reply(chunks=(events(2),)))
    assert send(harness, RESUMABLE) == Served(200)
    assert harness.answer.body == events(1, 2)
    assert [each.last_event_id for each in harness.client.sent] == [None, "1"]


def test_stream_without_length_or_chunks_and_events_is_broken_off(make_harness):
    harness = make_harness(Reply(chunks=(), framing=()), Reply(chunks=(events(1),)))
    assert send(harness, RESUMABLE) == Served(200)
    assert harness.answer.body == events(1)
    assert harness.prompts.broke == [harness.client.sent[0].target_id]


@pytest.mark.parametrize("found_route", [STREAM, UNSAFE])
def test_answer_without_length_or_chunks_is_complete_at_its_end(
    make_harness, found_route
):
    harness = make_harness(Reply(chunks=(events(1, 2),), framing=()))
    assert send(harness, found_route) == Served(200)
    assert harness.answer.body == events(1, 2)
    assert harness.answer.is_ended


@pytest.mark.parametrize("found_route", [STREAM, UNSAFE])
def test_answer_without_length_or_chunks_of_a_target_that_is_gone_is_broken(
    make_harness, found_route
):
    harness = make_harness(Reply(chunks=(events(1, 2),), framing=()))
    harness.client.is_listening = False
    outcome = send(harness, found_route)
    assert isinstance(outcome, Refusal) or outcome.is_cut
    assert not harness.answer.is_ended
    assert harness.broken == [harness.client.sent[0].target_id]


def test_answer_that_is_followed_by_another_is_not_forwarded(make_harness):
    body = b"whole" + b"HTTP/1.1 200 OK\r\n\r\n"
    harness = make_harness(Reply(chunks=(body,), framing=()))
    outcome = send(harness, UNSAFE)
    assert outcome.reason is RefusalReason.TARGET_FAILED
    assert not harness.answer.has_begun
    assert harness.broken == []


def test_target_is_not_asked_about_the_end_of_an_answer_that_shows_it(make_harness):
    harness = make_harness(Reply())
    assert send(harness) == Served(200)
    assert harness.client.n_connections_tried == 0


@pytest.mark.parametrize(("method", "status"), [("HEAD", 200), ("GET", 204)])
def test_answer_that_can_have_no_body_shows_its_end(method, status):
    answer = Answer(status, (), AnswerHead(None, True, False, False, False), None)
    answer.method = method
    assert answer.is_delimited


def test_request_whose_inputs_were_gone_draws_on_the_retry_budget(make_harness):
    gone = Reply(status=409, has_not_run=True)
    rest = Reply(chunks=(events(1),))
    harness = make_harness(gone, rest, budget_floor_per_s=0.0)

    async def run():
        sender = harness.sender()
        budget = sender._budgets.of(POOL, 0.0)
        while budget.may_retry(0.0):
            budget.consume()
        delivery = harness.delivery(STREAM, (Handle("a/1"),))
        assert isinstance(await sender.send(delivery), InputsGone)
        return await sender.send(delivery)

    outcome = run_virtual(run())
    assert outcome.reason is RefusalReason.RETRY_BUDGET_SPENT
    assert len(harness.client.sent) == 1


STREAM_TYPE = (b"Content-Type", b"Text/Event-Stream; charset=utf-8")
NO_STREAM = [
    Reply(status=500, chunks=(b"failed\n\n",)),
    Reply(status=404, chunks=(b"not found\n\n",)),
    Reply(status=302, chunks=(b"elsewhere\n\n",)),
    Reply(chunks=(b"<p>failed</p>\n\n",), content_type=b"text/html"),
    Reply(chunks=(b"failed\n\n",), content_type=b""),
    Reply(chunks=(), framing=((b"content-length", b"0"),)),
    Reply(status=204, chunks=(), framing=()),
    Reply(status=206, chunks=(events(2),)),
]


@pytest.mark.parametrize("second", NO_STREAM)
def test_error_after_a_stream_began_is_not_put_into_the_stream(make_harness, second):
    """Guards against an error's text in a stream, or a stream that it completes."""
    harness = make_harness(Reply(chunks=(events(1),), breaks_after=1), second)
    outcome = send(harness, RESUMABLE)
    assert outcome.is_cut
    assert harness.answer.n_heads == 1
    assert harness.answer.body == events(1)
    assert not harness.answer.is_ended


@pytest.mark.parametrize("second", NO_STREAM)
def test_stream_is_continued_after_a_target_that_answered_with_an_error(
    make_harness, second
):
    harness = make_harness(
        Reply(chunks=(events(1),), breaks_after=1), second, Reply(chunks=(events(2),))
    )
    found_route = route(
        RequestKind.STREAMING, event_gap_s=0.3, is_resumable=True, max_attempts=3
    )
    assert send(harness, found_route) == Served(200)
    assert harness.answer.body == events(1, 2)


def test_stream_that_has_nothing_more_to_send_is_complete(make_harness):
    harness = make_harness(Reply(chunks=(events(1),), breaks_after=1), Reply(chunks=()))
    assert send(harness, RESUMABLE) == Served(200)
    assert harness.answer.body == events(1)
    assert harness.answer.is_ended


@pytest.mark.parametrize(
    ("headers", "expected"),
    [((), b""), ((STREAM_TYPE,), b"text/event-stream")],
)
def test_media_type_has_no_parameters(headers, expected):
    head = AnswerHead("a1", True, False, False, False)
    assert Answer(200, headers, head, None).media_type == expected


LARGE = 1024 * 1024
PIECES = tuple(b"x" * 65536 for _ in range(LARGE // 65536))


def large(**changes):
    framing = ((b"content-length", str(LARGE).encode()),)
    return Reply(chunks=PIECES, framing=framing, **changes)


@pytest.mark.parametrize("found_route", [UNSAFE, route()])
def test_large_answer_without_room_is_read_no_faster_than_by_its_caller(
    make_harness, found_route
):
    """Guards against answers of slow callers that fill the memory."""
    harness = make_harness(large())
    harness.client.budget.max_bytes = LARGE // 2
    harness.answer.send_s = 0.3

    async def run():
        sender = harness.sender()
        sending = asyncio.create_task(sender.send(harness.delivery(found_route)))
        await asyncio.sleep(1.0)
        assert harness.client.responses[0].stream.n_read <= 5
        return await sending

    assert run_virtual(run()) == Served(200)
    assert harness.answer.body == b"".join(PIECES)
    assert harness.answer.is_ended
    assert (b"content-length", b"1048576") in harness.answer.headers


def test_large_answer_counts_until_its_caller_has_read_it(make_harness):
    """Guards against answers that wait for their callers and count for nothing."""
    harness = make_harness(large())
    harness.answer.send_s = 0.3

    async def run():
        sender = harness.sender()
        sending = asyncio.create_task(sender.send(harness.delivery()))
        await asyncio.sleep(1.0)
        assert harness.client.budget.n_bytes == LARGE
        return await sending

    assert run_virtual(run()) == Served(200)
    assert harness.answer.body == b"".join(PIECES)
    assert harness.client.budget.n_bytes == 0


@pytest.mark.parametrize(
    ("reply", "found_route"),
    [(Reply(chunks=(b"data: 1\n\n",)), STREAM), (large(), route()), (Reply(), route())],
    ids=["stream", "large", "whole"],
)
def test_broken_connection_of_a_caller_is_no_crash_of_the_target(
    make_harness, reply, found_route
):
    async def break_off(message):
        raise ConnectionResetError

    harness = make_harness(reply)
    harness.client.budget.max_bytes = 1024
    unread = UnreadAnswers(BufferBudget(LARGE))
    harness.answer = _AsgiAnswer(break_off, lambda: False, unread)
    with pytest.raises(CallerDisconnected):
        send(harness, found_route)
    assert harness.broken == []
    assert harness.prompts.broke == []


def test_large_answer_without_room_that_breaks_off_is_not_framed_as_complete(
    make_harness,
):
    harness = make_harness(large(breaks_after=3), Reply())
    harness.client.budget.max_bytes = 0
    outcome = send(harness)
    assert outcome.is_cut
    assert not harness.answer.is_ended
    assert harness.broken


@pytest.mark.parametrize("n_room", [0, LARGE])
@pytest.mark.parametrize(
    "first", [large(breaks_after=0), large(status=500)], ids=["broken", "failure"]
)
def test_large_answer_that_failed_is_repeated(make_harness, first, n_room):
    harness = make_harness(first, Reply())
    harness.client.budget.max_bytes = n_room + 1024
    assert send(harness) == Served(200)
    assert harness.answer.body == b"whole"
    assert harness.client.budget.n_bytes == 0


def test_length_of_an_answer_without_a_body_is_not_that_of_a_body():
    head = AnswerHead("a1", True, False, False, False)
    headers = ((b"content-length", b"1000000"),)
    assert Answer(200, headers, head, None).is_large
    assert not Answer(200, headers, head, None, "HEAD").is_large
    assert not Answer(304, headers, head, None).is_large
    endless = ((b"content-length", b"99999999999"),)
    assert not Answer(200, endless, head, None).is_large


def send_while_leaving(harness, found_route, last_start_at):
    async def run():
        sender = harness.sender()
        sender.limit_starts(last_start_at)
        return await sender.send(harness.delivery(found_route))

    return run_virtual(run())


@pytest.mark.parametrize("found_route", [UNSAFE, STREAM, route()])
@pytest.mark.parametrize(
    "first", [NotSent("refused"), Reply(status=503, has_not_run=True, delay_s=0.1)]
)
def test_request_not_run_at_first_is_not_sent_late_before_the_exit(
    make_harness, found_route, first
):
    harness = make_harness(first, Reply())
    n_sent = [0]

    def last_start_at(takes_s):
        n_sent[0] += 1
        return math.inf if n_sent[0] == 1 else -math.inf

    outcome = send_while_leaving(harness, found_route, last_start_at)
    assert outcome == Refusal(RefusalReason.LEAVING, "too late to begin", 0.0)
    assert len(harness.client.sent) == 1
    assert harness.progress.n_not_run == 1


def test_request_that_may_not_be_repeated_needs_its_whole_time_before_the_exit(
    make_harness,
):
    needed = []

    def last_start_at(takes_s):
        needed.append(takes_s)
        return math.inf

    for found_route in (UNSAFE, STREAM):
        harness = make_harness(Reply())
        send_while_leaving(harness, found_route, last_start_at)
    assert needed == [UNSAFE.timeout_s, STREAM.objective_s]


def test_request_that_may_have_run_is_continued_before_the_exit(make_harness):
    harness = make_harness(Broken("reset"), Reply())
    limits = [math.inf, -math.inf]
    outcome = send_while_leaving(harness, route(), lambda takes_s: limits.pop(0))
    assert outcome == Served(200)
