"""Endpoints that answer before they have read the request, then reset.

Reported of another system: the part of an answer without a length that came
before a reset was passed on as a whole one, while the upload was still being
written; and an answer with status 000 was passed on.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator

import pytest
from tests.gateway import deployments
from tests.gateway import test_endless_answers

from cyclamenwing.transport import errors
from cyclamenwing.transport import h1
from cyclamenwing.transport import h1_client

SIZE = {"Token-Counts": b"1000,100", "Prompt-Prefix": b"aa:800,bb:200"}
UPLOAD = b"u" * 3_500_000
HEAD = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nReplica-Stamp: s\r\n"
    b"Connection: close\r\n\r\n"
)
EVENTS = b"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"


class EarlyEndpoint:
    """Answer at once, read a part of the request at most, then end.

    :param end: how the connection ends: "reset", "close" without reading the
        rest of the request, or an end of the stream before a "late reset"
    :param pause_s: time between the answer and its end
    """

    def __init__(self, answer: bytes, end: str, pause_s: float) -> None:
        self.answer = answer
        self.end = end
        self.pause_s = pause_s
        self.requests = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            # A connection that is checked or closed without a request.
            writer.close()
            return
        self.requests += 1
        if b"last-event-id" in head.lower():
            # The rest of a stream that was begun elsewhere.
            writer.write(HEAD + b"id: 3\ndata: 3\n\n")
        else:
            writer.write(self.answer)
        await writer.drain()
        await asyncio.sleep(self.pause_s)
        if self.end == "late reset":
            writer.write_eof()
            await asyncio.sleep(0.1)
        if self.end != "close":
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        writer.transport.abort()


@contextlib.asynccontextmanager
async def deploy(
    endpoint: EarlyEndpoint, names: tuple[str, ...]
) -> AsyncIterator[deployments.Deployment]:
    """Put an endpoint in the place of others."""
    async with deployments.deploy() as deployment:
        listener = socket.socket()
        # So small that the gateway's socket can't take the whole upload.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        server = await asyncio.start_server(
            endpoint.serve, sock=listener, limit=4096
        )
        host, port = listener.getsockname()
        for name in names:
            await test_endless_answers.replace_address(
                deployment, name, f"{host}:{port}"
            )
        try:
            yield deployment
        finally:
            server.close()


async def send(
    deployment: deployments.Deployment,
    method: bytes,
    route: str,
    body: bytes,
    headers: dict[str, bytes] | None = None,
) -> tuple[int, bytes, bool]:
    """Return the status, the body, and whether the answer looks complete."""
    address = deployment.gateways[0].address
    connection = await h1_client.ClientConnection.open(address, 1.0)
    sent: dict[bytes, bytes] = {
        b"Host": deployments.HOST,
        b"Request-Id": b"r1",
        b"Deadline-Ms": b"3000",
        b"Key": deployments.KEY,
    }
    sent |= {k.encode(): v for k, v in (headers or {}).items()}
    connection.send(
        h1.Request(method, f"/{route}/x".encode(), tuple(sent.items()), body)
    )
    read = bytearray()
    try:
        head = await connection.read_head(5.0)
        try:
            while (data := await connection.read_data(5.0)) is not None:
                read += data
        except errors.TransportError:
            return head.status, bytes(read), False
        return head.status, bytes(read), True
    finally:
        connection.close()


PAUSES_S = [0.0, 0.001, 0.02, 0.2]


@pytest.mark.parametrize("pause_s", PAUSES_S)
@pytest.mark.parametrize("answer", [b"x", b"x" * 1000, b"x" * 300_000])
@pytest.mark.parametrize(
    ("upload", "end"),
    [
        (b"", "reset"),
        (UPLOAD, "reset"),
        (UPLOAD, "close"),
        (UPLOAD, "late reset"),
    ],
)
def test_answer_that_ends_before_the_upload_is_no_success(
    upload: bytes, end: str, answer: bytes, pause_s: float
) -> None:
    """The end of the stream is no end of an answer either, meanwhile."""

    async def check() -> None:
        endpoint = EarlyEndpoint(HEAD + answer, end, pause_s)
        async with deploy(endpoint, ("a1", "a2")) as deployment:
            for _ in range(3):
                status, _, _ = await send(deployment, b"POST", "write", upload)
                assert status == 502
            assert endpoint.requests == 3

    asyncio.run(check())


@pytest.mark.parametrize("pause_s", PAUSES_S)
@pytest.mark.parametrize("upload", [b"", UPLOAD])
def test_stream_that_is_reset_does_not_look_complete(
    upload: bytes, pause_s: float
) -> None:
    async def check() -> None:
        endpoint = EarlyEndpoint(HEAD + EVENTS, "reset", pause_s)
        async with deploy(endpoint, ("m1", "m2")) as deployment:
            for _ in range(3):
                status, body, complete = await send(
                    deployment, b"POST", "chat", upload, SIZE
                )
                assert status == 502 or (body == EVENTS and not complete)

    asyncio.run(check())


@pytest.mark.parametrize("pause_s", PAUSES_S)
def test_resumed_stream_that_is_reset_does_not_look_complete(
    pause_s: float,
) -> None:
    """The second endpoint breaks off too; half of the stream was passed on."""

    async def check() -> None:
        endpoint = EarlyEndpoint(HEAD + EVENTS, "reset", pause_s)
        async with deploy(endpoint, ("m1", "m2")) as deployment:
            status, body, complete = await send(
                deployment, b"POST", "resume", UPLOAD, SIZE
            )
            assert endpoint.requests == 2
            assert status in {200, 502}
            assert not (status == 200 and complete)
            assert (EVENTS + b"id: 3\ndata: 3\n\n").startswith(body) or (
                status == 502
            )

    asyncio.run(check())


@pytest.mark.parametrize("status", [b"000", b"099", b"001", b"00", b"1000"])
@pytest.mark.parametrize("method", [b"POST", b"GET", b"HEAD"])
def test_status_that_is_none_reaches_no_client(
    method: bytes, status: bytes
) -> None:
    async def check() -> None:
        for framing in (b"Content-Length: 1\r\n", b""):
            answer = HEAD.replace(b"200", status).replace(
                b"Connection", framing + b"Connection"
            )
            endpoint = EarlyEndpoint(answer + b"x", "close", 0.02)
            async with deploy(endpoint, ("a1", "a2")) as deployment:
                route = "write" if method == b"POST" else "read"
                found, body, _ = await send(deployment, method, route, b"")
                assert found == 502
                assert body != b"x"

    asyncio.run(check())


def test_status_that_is_none_does_not_end_a_stream() -> None:
    """Nor does it go on in one that was begun elsewhere."""

    async def check() -> None:
        endpoint = EarlyEndpoint(HEAD.replace(b"200", b"000"), "close", 0.0)
        async with deploy(endpoint, ("m1", "m2")) as deployment:
            status, body, _ = await send(
                deployment, b"POST", "chat", b"", SIZE
            )
            assert status == 502
            assert b"id:" not in body

    asyncio.run(check())


def test_reset_answer_to_head_without_a_length_is_complete() -> None:
    """Such an answer ends with its head, whatever comes after."""

    async def check() -> None:
        endpoint = EarlyEndpoint(HEAD, "reset", 0.05)
        async with deploy(endpoint, ("a1", "a2")) as deployment:
            status, body, complete = await send(
                deployment, b"HEAD", "read", b""
            )
            assert (status, body, complete) == (200, b"", True)

    asyncio.run(check())
