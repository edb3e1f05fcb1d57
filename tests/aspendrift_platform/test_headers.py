"""Tests of decoding callers' requests and encoding requests to targets."""

from __future__ import annotations

from dataclasses import replace

import pytest

from aspendrift_gateway.interfaces import BadRequest, ForwardMetadata, LoadReport
from aspendrift_model.ids import AccountId, AttemptId, TargetId
from aspendrift_model.opaque_requests import PromptPart
from aspendrift_model.pieces import Handle
from aspendrift_platform.headers import PlatformCallerCodec, answer_head, forwarded

HEADERS = (
    (b"host", b"H.example:80"),
    (b"attempt-id", b"9c41"),
    (b"model", b"m"),
    (b"token-usage", b"1460,80"),
    (b"prompt-prefix", b"5c1e:800,91bd:410"),
    (b"deadline-ms", b"15000"),
    (b"credential", b"secret"),
    (b"pieces", b"0,1,8"),
    (b"piece-key", b"7c1e"),
    (b"x-other", b"kept"),
)


def decode(*extra, method="POST", body=b"body"):
    headers = (*HEADERS, *extra)
    return PlatformCallerCodec().request(method, b"/a/b?c=d", headers, body)


def metadata(**changes):
    values = {"target_id": TargetId("i-1"), "left_s": 1.25, **changes}
    return ForwardMetadata(**values)


def test_request_is_decoded():
    found = decode()
    assert found.host == "h.example"
    assert found.path == "/a/b"
    assert found.target_path == b"/a/b?c=d"
    assert found.attempt_id == "9c41"
    assert found.caller_timeout_s == 15.0
    assert found.key == "secret"
    assert found.pieces == (0, 1, 8)
    assert found.prompt == (PromptPart("5c1e", 800), PromptPart("91bd", 410))


def test_stream_that_its_caller_takes_up_names_where_it_began():
    found = decode((b"resumes", b"71c9"), (b"last-event-id", b"12"))
    assert (found.resumes, found.last_event_id) == ("71c9", "12")
    assert dict(forwarded(found, metadata()))[b"resumes"] == b"71c9"
    assert decode().resumes is None


def test_target_that_leaves_says_so_in_any_answer():
    for status in (200, 421, 503):
        assert answer_head(status, ((b"Server-Leaving", b"1"),)).is_leaving
        assert not answer_head(status, ()).is_leaving


def test_forwarded_request_keeps_the_callers_headers_and_body_length():
    headers = dict(forwarded(decode(), metadata()))
    for name in (b"attempt-id", b"model", b"token-usage", b"prompt-prefix", b"x-other"):
        assert headers[name] == dict(HEADERS)[name]
    assert headers[b"host"] == b"H.example:80"
    assert headers[b"deadline-ms"] == b"1250"
    assert headers[b"expected-instance"] == b"i-1"
    assert headers[b"content-length"] == b"4"


def test_key_is_never_forwarded_and_the_account_is_not_the_callers():
    request = decode((b"tenant", b"forged"))
    headers = dict(forwarded(request, metadata(account_id=AccountId("a-1"))))
    assert b"credential" not in headers
    assert headers[b"tenant"] == b"a-1"
    assert b"tenant" not in dict(forwarded(request, metadata()))


@pytest.mark.parametrize(
    "name",
    [
        b"kv-hold",
        b"pin-ms",
        b"kv-backup",
        b"kv-from",
        b"kv-fetch",
        b"inputs",
        b"request-urgency",
        b"expected-version",
        b"expected-instance",
    ],
)
def test_headers_that_the_system_sets_are_dropped_from_callers(name):
    sent = forwarded(decode((name, b"forged")), metadata())
    assert (name, b"forged") not in sent


def test_headers_of_the_connection_are_dropped():
    request = decode(
        (b"connection", b"close, X-Hop"),
        (b"x-hop", b"1"),
        (b"transfer-encoding", b"chunked"),
        (b"keep-alive", b"timeout=5"),
    )
    names = {name for name, _ in forwarded(request, metadata())}
    assert not names & {b"connection", b"x-hop", b"transfer-encoding", b"keep-alive"}


def test_connection_header_cannot_drop_the_attempt_id():
    request = decode((b"connection", b"attempt-id, host"))
    names = {name for name, _ in forwarded(request, metadata())}
    assert {b"attempt-id", b"host"} <= names


def test_inputs_and_resume_point_are_sent():
    request = decode((b"last-event-id", b"3"))
    sent = forwarded(
        request, metadata(inputs=(Handle("a/1"), Handle("b/2")), last_event_id="9")
    )
    assert dict(sent)[b"inputs"] == b"a/1,b/2"
    assert [value for name, value in sent if name == b"last-event-id"] == [b"9"]
    assert dict(forwarded(request, metadata()))[b"last-event-id"] == b"3"


def test_get_without_a_body_has_no_length():
    sent = dict(forwarded(decode(method="GET", body=b""), metadata()))
    assert b"content-length" not in sent


@pytest.mark.parametrize(
    ("name", "value"),
    [
        (b"deadline-ms", b"soon"),
        (b"pieces", b"1,x"),
        (b"token-usage", b"many"),
        (b"prompt-prefix", b"5c1e"),
        (b"deadline-ms", b"nan"),
        (b"deadline-ms", b"1e400"),
        (b"pieces", b"1000000000"),
        (b"pieces", b"-1"),
        (b"prompt-prefix", b"5c1e:" + b"9" * 400),
    ],
)
def test_unreadable_header_is_a_bad_request(name, value):
    headers = tuple(each for each in HEADERS if each[0] != name) + ((name, value),)
    found = PlatformCallerCodec().request("GET", b"/", headers, b"")
    assert isinstance(found, BadRequest)


def test_answer_head_is_decoded():
    head = answer_head(
        503,
        (
            (b"Attempt-Id", b"9c41"),
            (b"Not-Executed", b"1"),
            (b"Engine-Load", b"3,1,8"),
            (b"Keep-Alive", b"timeout=5, max=10"),
            (b"Connection", b"Close"),
        ),
    )
    assert head.attempt_id == AttemptId("9c41")
    assert head.has_not_run
    assert not head.is_signed
    assert head.closes
    assert (head.load.n_running, head.load.n_waiting, head.load.n_slots) == (3, 1, 8)
    assert head.keep_alive_s == 5.0


def test_answer_that_names_two_requests_is_that_of_neither():
    ids = ((b"Attempt-Id", b"0f"), (b"attempt-id", b"9c41"))
    head = answer_head(200, ids)
    assert head.attempt_id not in (None, AttemptId("0f"), AttemptId("9c41"))
    assert answer_head(200, (ids[1], ids[1])).attempt_id == AttemptId("9c41")


def test_misdirected_request_has_not_run():
    assert answer_head(421, ()).has_not_run


def test_unreadable_load_is_no_load_and_is_reported():
    head = answer_head(200, ((b"engine-load", b"3,x"),))
    assert head.load is None
    assert head.unreadable == "engine-load: 3,x"


@pytest.mark.parametrize(
    ("text", "slowdown"),
    [(b"3,1,8", 1.0), (b"3,1,8,250", 2.5), (b"3,1,8,100,later,fields", 1.0)],
)
def test_load_report_with_more_fields_is_not_lost(text, slowdown):
    head = answer_head(200, ((b"engine-load", text),))
    assert head.load == LoadReport(3, 1, 8, slowdown)
    assert not head.unreadable


@pytest.mark.parametrize(
    "text",
    [b"", b"3,1", b"-1,0,8", b"3,1,8,0", b"3,1,8,nan", b"9" * 400 + b",0,8"],
)
def test_load_report_with_impossible_values_is_unreadable(text):
    assert answer_head(200, ((b"engine-load", text),)).unreadable


@pytest.mark.parametrize(
    ("value", "timeout_s"),
    [(b"timeout=5", 5.0), (b"timeout=\xb2", None), (b"timeout=" + b"9" * 400, 86_400)],
)
def test_idle_time_of_any_target_can_be_read(value, timeout_s):
    assert answer_head(200, ((b"keep-alive", value),)).keep_alive_s == timeout_s


def test_limit_that_a_target_states_for_all_daemons_is_decoded():
    assert answer_head(200, ((b"Server-Limit", b"2.5"),)).requests_per_s == 2.5
    assert answer_head(200, ()).requests_per_s is None
    assert answer_head(200, ((b"Server-Limit", b"many"),)).unreadable


def test_time_that_a_target_asks_to_be_left_alone_is_decoded():
    assert answer_head(503, ((b"Retry-After", b"1.5"),)).retry_after_s == 1.5
    assert answer_head(503, ()).retry_after_s is None
    assert answer_head(503, ((b"Retry-After", b"-1"),)).unreadable


def test_refusal_has_a_retry_time():
    headers = dict(PlatformCallerCodec().refusal_headers(AttemptId("a"), 0.25))
    assert headers[b"retry-after"] == b"0.250"
    assert headers[b"attempt-id"] == b"a"


def test_request_that_is_handed_over_decodes_like_its_callers():
    first = decode((b"last-event-id", b"7"), (b"resumes", b"9c40"))
    headers = PlatformCallerCodec().handed_over(first, 3.5)
    second = PlatformCallerCodec().request("POST", b"/a/b?c=d", headers, b"body")
    assert second.caller_timeout_s == 3.5
    assert replace(second, headers=(), caller_timeout_s=15.0) == replace(
        first, headers=()
    )
    assert [name for name, _ in headers].count(b"deadline-ms") == 1
    assert (b"content-length", b"4") in headers
