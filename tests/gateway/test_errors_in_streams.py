"""Errors of the endpoint at which a broken stream would go on.

A stream has begun and breaks off; the next endpoint answers with an error.
Neither its text nor its head may be taken for events, and the stream may not
end as if it were complete.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import pytest
from tests.gateway import deployments

from cyclamenwing.gateway import events
from cyclamenwing.standin import platform_endpoint
from cyclamenwing.transport import errors
from cyclamenwing.transport import h1

SIZE = {"Token-Counts": b"1000,100", "Prompt-Prefix": b"aa:800,bb:200"}
BEGUN = b"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"
JSON = b"Content-Type: application/json\r\n"
STREAM = b"Content-Type: text/event-stream\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
ERROR = b'{"error": "failed"}\n\n'
HEAD = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\n\r\n"

Behaviour = Callable[
    [h1.ServerConnection, h1.Request, h1.Headers], Awaitable[None]
]


def frame(data: bytes) -> bytes:
    """Return data as the only chunk of a body."""
    return b"%x\r\n%s\r\n0\r\n\r\n" % (len(data), data)


# What the next endpoint writes after its status line, id and stamp.
ANSWERS = {
    "error status": (b"500 Failed", JSON + CHUNKED, frame(ERROR)),
    "error status, as a stream": (
        b"500 Failed",
        STREAM + CHUNKED,
        frame(ERROR),
    ),
    "error status without a length": (b"500 Failed", JSON, ERROR),
    "refusal": (
        b"503 Full",
        b"Not-Executed: 1\r\n" + CHUNKED,
        frame(ERROR),
    ),
    "error of success": (b"200 OK", JSON + CHUNKED, frame(ERROR)),
    "empty error of success": (b"200 OK", JSON + CHUNKED, b"0\r\n\r\n"),
    "text in the stream": (b"200 OK", STREAM + CHUNKED, frame(ERROR)),
    "head in the stream": (b"200 OK", STREAM + CHUNKED, frame(HEAD)),
    "head between chunks": (b"200 OK", STREAM + CHUNKED, HEAD + b"failed"),
    "head in a stream without a length": (b"200 OK", STREAM, HEAD + b"x\n\n"),
    "events once more": (b"200 OK", STREAM + CHUNKED, frame(BEGUN)),
}


def begin_or_fail(
    answer: tuple[bytes, bytes, bytes],
) -> Behaviour:
    """Return a behaviour: break a new stream off, answer a resumed one."""
    status, headers, body = answer

    async def behave(
        connection: h1.ServerConnection,
        request: h1.Request,
        extra: h1.Headers,
    ) -> None:
        if h1.find_header(request.headers, b"last-event-id") is None:
            await platform_endpoint.BEHAVIOURS["cut"](
                connection, request, extra
            )
            return
        head = b"".join(
            b"%s: %s\r\n" % header
            for header in platform_endpoint.make_headers(request, extra)
        )
        await connection.stream.write(
            b"HTTP/1.1 %s\r\n%s%s\r\n%s" % (status, head, headers, body)
        )
        connection.close()

    return behave


async def read_all(deployment: deployments.Deployment) -> tuple[bytes, bool]:
    """Return what a client receives, and whether it looks complete."""
    connection = await deployment.open("resume", b"POST", headers=SIZE)
    received = b""
    try:
        await connection.read_head(5.0)
        while (data := await connection.read_data(5.0)) is not None:
            received += data
    except errors.TransportError:
        return received, False
    finally:
        connection.close()
    return received, True


@pytest.mark.parametrize("name", ANSWERS)
def test_error_of_the_next_endpoint_is_no_part_of_the_stream(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against an error's text or head in a stream, and a false end.
    monkeypatch.setitem(
        platform_endpoint.BEHAVIOURS,
        "begin or fail",
        begin_or_fail(ANSWERS[name]),
    )

    async def check() -> None:
        async with deployments.deploy() as deployment:
            deployment.set_behaviour("llm", "begin or fail")
            received, complete = await read_all(deployment)
            # Of the endpoints, the second one was asked to go on.
            assert received == BEGUN
            assert not complete

    asyncio.run(check())


@pytest.mark.parametrize("data", [ERROR, HEAD, b"5\n\n", b" id: 3\n\n"])
def test_bytes_that_are_no_event_are_rejected(data: bytes) -> None:
    reader = events.EventReader()
    reader.feed(BEGUN)
    with pytest.raises(errors.MalformedMessageError):
        reader.feed(data)
    assert (reader.count, reader.last_id) == (2, b"2")


@pytest.mark.parametrize(
    "data",
    [
        b"id: 3\ndata: 3\n\n",
        b"weight-versions: 4\nid: 3\ndata: {\n\n",
        b": comment\n\n",
        b"event: done\r\ndata:\r\n\r\n",
        b"data\n\n",
        b"\xef\xbb\xbfdata: 1\n\n",
    ],
)
def test_events_of_any_form_are_passed_on_unchanged(data: bytes) -> None:
    assert events.EventReader().feed(data) == data
