from __future__ import annotations

import msgspec
import pytest

from cyclamenwing.sidecar import errors
from cyclamenwing.sidecar import meter

MAX_TOKENS = 3


def make_event(content: str = "x", **more: object) -> bytes:
    delta = {"content": content} if content else {}
    chunk = {"id": "c", "choices": [{"index": 0, "delta": delta}]} | more
    return b"data: " + msgspec.json.encode(chunk) + b"\n\n"


def make_usage(prompt: int, completion: int) -> bytes:
    usage = {"prompt_tokens": prompt, "completion_tokens": completion}
    return make_event(choices=[], usage=usage)


DONE = meter.DONE_EVENT


def test_tokens_above_the_limit_are_dropped_and_not_billed() -> None:
    usage_meter = meter.StreamMeter(False, MAX_TOKENS)
    forwarded = b"".join(usage_meter.feed(make_event()) for _ in range(10))
    assert usage_meter.stopped
    assert usage_meter.usage["completion"] == MAX_TOKENS
    events = forwarded.split(b"\n\n")
    assert events[:MAX_TOKENS] == [make_event()[:-2]] * MAX_TOKENS
    assert b'"finish_reason":"length"' in events[MAX_TOKENS]
    assert events[MAX_TOKENS + 1 :] == [DONE[:-2], b""]
    assert usage_meter.finish() == b""


@pytest.mark.parametrize(
    ("shown", "events", "forwarded", "usage"),
    [
        (False, [make_event(), make_usage(7, 1), DONE], [0, 2], (7, 1)),
        (True, [make_event(), make_usage(7, 1), DONE], [0, 1, 2], (7, 1)),
        (False, [make_usage(7, 99), DONE], [1], (7, MAX_TOKENS)),
        (False, [b": ping\n\n", make_event("é"), DONE], [0, 1, 2], (0, 1)),
        (False, [b'data: {"error": {}}\n\n', DONE], [0, 1], (0, 0)),
        (False, [make_event(""), DONE], [0, 1], (0, 0)),
    ],
)
def test_stream_split_at_any_byte(
    shown: bool,
    events: list[bytes],
    forwarded: list[int],
    usage: tuple[int, int],
) -> None:
    stream = b"".join(events)
    for position in range(1, len(stream)):
        usage_meter = meter.StreamMeter(shown, MAX_TOKENS)
        output = usage_meter.feed(stream[:position]) + usage_meter.feed(
            stream[position:]
        )
        assert output == b"".join(events[i] for i in forwarded)
        assert tuple(usage_meter.usage.values()) == usage
        assert usage_meter.finish() == b""


@pytest.mark.parametrize(
    "data",
    [
        b"hello\n\n",
        b"data: {\n\n",
        b"data: []\n\n",
        b'data: {"choices": 1}\n\n',
        b'data: {"choices": [], "usage": {"prompt_tokens": "x"}}\n\n',
        make_usage(-1, 1),
        b"x" * (meter.MAX_EVENT_BYTES + 1),
    ],
)
def test_malformed_stream_is_a_coded_error(data: bytes) -> None:
    with pytest.raises(errors.EndpointMalformedError):
        meter.StreamMeter(True, MAX_TOKENS).feed(data)


@pytest.mark.parametrize(
    ("body", "usage"),
    [
        (b"{", None),
        (b"[]", None),
        (b"{}", None),
        (b'{"usage": {"prompt_tokens": 2}}', None),
        (
            b'{"usage":{"prompt_tokens":2,"completion_tokens":9}}',
            (2, MAX_TOKENS),
        ),
    ],
)
def test_buffered_response(body: bytes, usage: tuple[int, int] | None) -> None:
    usage_meter = meter.BufferedMeter(MAX_TOKENS)
    assert usage_meter.feed(body) == b""
    if usage is None:
        with pytest.raises(errors.EndpointMalformedError):
            usage_meter.finish()
        return
    assert usage_meter.finish() == body
    assert tuple(usage_meter.usage.values()) == usage


def test_truncated_stream_raises() -> None:
    usage_meter = meter.StreamMeter(False, MAX_TOKENS)
    usage_meter.feed(make_event())
    with pytest.raises(errors.EndpointCrashedError):
        usage_meter.finish()
