"""Parsing and writing of request and answer headers."""

from __future__ import annotations

import pytest

from cyclamenwing.gateway import calls
from cyclamenwing.platform import errors
from cyclamenwing.platform import messages
from cyclamenwing.routing import rate_limits
from cyclamenwing.transport import h1

HEADERS = (
    (b"host", b"API.example:80"),
    (b"request-id", b"9c41"),
    (b"token-counts", b"1460,80"),
    (b"prompt-prefix", b"5c1e:800,91bd:410,e440:250"),
    (b"deadline-ms", b"2500"),
    (b"key", b"secret"),
    (b"connection", b"keep-alive"),
    (b"tenant", b"forged"),
    (b"kv-hold", b"forged"),
    (b"expect-replica", b"forged"),
    (b"x-own", b"1"),
)
REQUEST = h1.Request(b"POST", b"/a/b?q=1", HEADERS, b"body")


def replace_header(name: bytes, value: bytes) -> h1.Request:
    headers = tuple(h for h in HEADERS if h[0] != name)
    return REQUEST._replace(headers=(*headers, (name, value)))


def test_request_headers_are_parsed() -> None:
    call = messages.read_call(REQUEST)
    assert call.virtual_host == "api.example"
    assert call.path == "/a/b"
    assert call.key == "secret"
    assert call.wait_s == 2.5
    assert call.size == calls.Size(1460, 80)
    assert call.parts == (
        calls.Part("5c1e", 800),
        calls.Part("91bd", 410),
        calls.Part("e440", 250),
    )


def test_request_without_token_counts_has_no_size() -> None:
    call = messages.read_call(REQUEST._replace(headers=HEADERS[:2]))
    assert (call.size, call.parts, call.wait_s) == (None, (), None)


@pytest.mark.parametrize(
    ("name", "value"),
    [
        (b"token-counts", b"many"),
        (b"token-counts", b"-1,5"),
        (b"token-counts", b"1460"),
        (b"prompt-prefix", b"5c1e"),
        (b"prompt-prefix", b"5c1e:x"),
        (b"deadline-ms", b"soon"),
        (b"deadline-ms", b"-1"),
        (b"deadline-ms", b"nan"),
        (b"request-id", b"a b"),
        (b"request-id", b""),
        (b"key", b"\xff"),
    ],
)
def test_malformed_headers_are_refused(name: bytes, value: bytes) -> None:
    with pytest.raises(errors.RequestUnreadableError):
        messages.read_call(replace_header(name, value))


def test_reserved_headers_of_clients_are_dropped() -> None:
    options = calls.UpstreamOptions("i-1", 1.25, "team", None)
    call = messages.read_call(REQUEST)
    written = messages.write_call(REQUEST, call, options)
    headers = [(k.lower(), v) for k, v in written.headers]
    assert (b"key", b"secret") not in headers
    assert not [h for h in headers if h[1] == b"forged"]
    assert headers.count((b"tenant", b"team")) == 1
    assert headers.count((b"expect-replica", b"i-1")) == 1
    assert headers.count((b"deadline-ms", b"1250")) == 1
    assert (b"x-own", b"1") in headers
    assert (b"request-id", b"9c41") in headers
    assert (written.target, written.body) == (b"/a/b?q=1", b"body")


def test_resumed_request_replaces_the_event_id() -> None:
    request = replace_header(b"last-event-id", b"3")
    options = calls.UpstreamOptions("i-1", 1.0, None, b"9")
    written = messages.write_call(
        request, messages.read_call(request), options
    )
    event_ids = [
        v for k, v in written.headers if k.lower() == b"last-event-id"
    ]
    assert event_ids == [b"9"]


@pytest.mark.parametrize(
    ("status", "headers", "not_run"),
    [
        (503, {b"not-executed": b"1"}, True),
        (429, {b"not-executed": b"1"}, True),
        (421, {}, True),
        (503, {}, False),
        (500, {}, False),
    ],
)
def test_not_run_requires_a_not_executed_header_or_status_421(
    status: int, headers: dict[bytes, bytes], not_run: bool
) -> None:
    head = h1.ResponseHead(status, b"", tuple(headers.items()))
    assert messages.read_answer(head).not_run is not_run


def test_answer_headers_are_parsed() -> None:
    metadata = messages.read_answer(
        h1.ResponseHead(
            200,
            b"OK",
            (
                (b"request-id", b"9c41"),
                (b"replica-stamp", b"x"),
                (b"connection", b"Close"),
                (b"keep-alive", b"timeout=10"),
                (b"content-encoding", b"gzip"),
            ),
        )
    )
    assert metadata == calls.AnswerMetadata(
        b"9c41", True, False, True, 10.0, True
    )


@pytest.mark.parametrize("status", [200, 421, 429, 500, 503])
@pytest.mark.parametrize(
    ("value", "leaving"), [(b"1", True), (b"0", False), (None, False)]
)
def test_any_answer_may_say_that_its_endpoint_leaves(
    status: int, value: bytes | None, leaving: bool
) -> None:
    headers = () if value is None else ((b"server-leaving", value),)
    head = h1.ResponseHead(status, b"", headers)
    assert messages.read_answer(head).leaving is leaving


@pytest.mark.parametrize(
    ("status", "value", "refuse_s"),
    [
        (503, b"2", 2.0),
        (503, b"0.25", 0.25),
        (503, b".5", 0.5),
        (503, b"0", 0.0),
        # Longer than any process runs, and small enough to calculate with.
        (503, b"9" * 300, messages.MAX_REFUSE_S),
        (503, None, None),
        (503, b"", None),
        (503, b"soon", None),
        (503, b"-1", None),
        (503, b"inf", None),
        (503, b"9" * 400, None),
        (503, b"nan", None),
        (503, b"1_0", None),
        (503, b"Fri, 31 Dec 2027 23:59:59 GMT", None),
        # Only an endpoint that turns a request away asks for a pause.
        (200, b"2", None),
        (421, b"2", None),
        (429, b"2", None),
    ],
)
def test_retry_after_of_an_endpoint_must_be_a_finite_number_of_seconds(
    status: int, value: bytes | None, refuse_s: float | None
) -> None:
    headers = () if value is None else ((b"retry-after", value),)
    head = h1.ResponseHead(status, b"", headers)
    assert messages.read_answer(head).refuse_s == refuse_s


@pytest.mark.parametrize(
    ("retry_after_s", "value"),
    [(0.001, b"0.01"), (0.3, b"0.30"), (1.001, b"1.01"), (1.1, b"1.10")],
)
def test_retry_after_is_not_rounded_to_an_earlier_time(
    retry_after_s: float, value: bytes
) -> None:
    refusal = calls.Refusal(503, "overloaded", "not_run", retry_after_s)
    _, headers, _ = messages.write_refusal(refusal, None)
    assert (b"Retry-After", value) in headers


def test_refusal_has_retry_after_and_request_id() -> None:
    status, headers, body = messages.write_refusal(
        calls.Refusal(503, "overloaded", "not_run", 0.25), b"9c41"
    )
    assert status == 503
    assert (b"Retry-After", b"0.25") in headers
    assert (b"Request-Id", b"9c41") in headers
    assert b"overloaded" in body


@pytest.mark.parametrize(
    ("value", "limit_rps", "unreadable"),
    [
        (b"1.1", 1.1, False),
        (b"40", 40.0, False),
        (b".5", 0.5, False),
        (b"0.001", 0.001, False),
        (b"0." + b"0" * 320 + b"1", rate_limits.MIN_LIMIT_RPS, False),
        (b"9" * 400, rate_limits.MAX_LIMIT_RPS, False),
        (b"0", None, True),
        (b"0.0", None, True),
        (b"-1", None, True),
        (b"1e3", None, True),
        (b"nan", None, True),
        (b"inf", None, True),
        (b"", None, True),
        (b"1,5", None, True),
        (b"\xff", None, True),
    ],
)
def test_limit_of_an_endpoint_is_a_decimal_above_zero(
    value: bytes, limit_rps: float | None, unreadable: bool
) -> None:
    head = h1.ResponseHead(200, b"OK", ((b"server-limit", value),))
    metadata = messages.read_answer(head)
    assert metadata.limit_rps == limit_rps
    assert metadata.limit_unreadable is unreadable


def test_answer_without_a_limit_names_none() -> None:
    metadata = messages.read_answer(h1.ResponseHead(200, b"OK", ()))
    assert (metadata.limit_rps, metadata.limit_unreadable) == (None, False)


@pytest.mark.parametrize(
    ("value", "remaining_s"),
    [
        (b"2500", 2.5),
        (b"0", 0.0),
        (b"0.5", 0.0005),
        (b"-1", None),
        (b"soon", None),
        (b"", None),
        (b"9" * 400, None),
    ],
)
def test_cold_time_of_an_endpoint_is_a_finite_number(
    value: bytes, remaining_s: float | None
) -> None:
    head = h1.ResponseHead(200, b"OK", ((b"cold-ms", value),))
    assert messages.read_answer(head).cold_remaining_s == remaining_s


def test_answer_without_a_cold_time_states_none() -> None:
    head = h1.ResponseHead(200, b"OK", ())
    assert messages.read_answer(head).cold_remaining_s is None
