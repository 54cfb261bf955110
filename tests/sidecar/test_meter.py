from __future__ import annotations

import msgspec
import pytest

from cyclamenwing.sidecar import errors
from cyclamenwing.sidecar import meter

BOUND = 3


def make_event(content: str = "x", **more: object) -> bytes:
    delta = {"content": content} if content else {}
    chunk = {"id": "c", "choices": [{"index": 0, "delta": delta}]} | more
    return b"data: " + msgspec.json.encode(chunk) + b"\n\n"


def make_usage(prompt: int, completion: int) -> bytes:
    usage = {"prompt_tokens": prompt, "completion_tokens": completion}
    return make_event(choices=[], usage=usage)


DONE = meter.DONE_EVENT


def test_overrun_is_cut_and_not_billed() -> None:
    metered = meter.StreamMeter(False, BOUND)
    passed = b"".join(metered.feed(make_event()) for _ in range(10))
    assert metered.stopped
    assert metered.usage["completion"] == BOUND
    events = passed.split(b"\n\n")
    assert events[:BOUND] == [make_event()[:-2]] * BOUND
    assert b'"finish_reason":"length"' in events[BOUND]
    assert events[BOUND + 1 :] == [DONE[:-2], b""]
    assert metered.finish() == b""


@pytest.mark.parametrize(
    ("shown", "events", "passed", "usage"),
    [
        (False, [make_event(), make_usage(7, 1), DONE], [0, 2], (7, 1)),
        (True, [make_event(), make_usage(7, 1), DONE], [0, 1, 2], (7, 1)),
        (False, [make_usage(7, 99), DONE], [1], (7, BOUND)),
        (False, [b": ping\n\n", make_event("é"), DONE], [0, 1, 2], (0, 1)),
        (False, [b'data: {"error": {}}\n\n', DONE], [0, 1], (0, 0)),
        (False, [make_event(""), DONE], [0, 1], (0, 0)),
    ],
)
def test_stream_in_any_cut(
    shown: bool,
    events: list[bytes],
    passed: list[int],
    usage: tuple[int, int],
) -> None:
    whole = b"".join(events)
    for cut in range(1, len(whole)):
        metered = meter.StreamMeter(shown, BOUND)
        got = metered.feed(whole[:cut]) + metered.feed(whole[cut:])
        assert got == b"".join(events[i] for i in passed)
        assert tuple(metered.usage.values()) == usage
        assert metered.finish() == b""


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
        meter.StreamMeter(True, BOUND).feed(data)


@pytest.mark.parametrize(
    ("body", "usage"),
    [
        (b"{", None),
        (b"[]", None),
        (b"{}", None),
        (b'{"usage": {"prompt_tokens": 2}}', None),
        (b'{"usage":{"prompt_tokens":2,"completion_tokens":9}}', (2, BOUND)),
    ],
)
def test_whole_answer(body: bytes, usage: tuple[int, int] | None) -> None:
    metered = meter.WholeMeter(BOUND)
    assert metered.feed(body) == b""
    if usage is None:
        with pytest.raises(errors.EndpointMalformedError):
            metered.finish()
        return
    assert metered.finish() == body
    assert tuple(metered.usage.values()) == usage


def test_cut_stream_is_not_whole() -> None:
    metered = meter.StreamMeter(False, BOUND)
    metered.feed(make_event())
    with pytest.raises(errors.EndpointCrashedError):
        metered.finish()
