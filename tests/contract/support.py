"""Raw HTTP requests with invalid input, and checks of their answers."""

from __future__ import annotations

import asyncio
import json
from typing import Any
from typing import NamedTuple

ANSWER_TIMEOUT_S = 10.0


class RawRequest(NamedTuple):
    """Hold a request's bytes.

    Unless `keep_open` is set, the sending side is closed after the bytes.
    """

    data: bytes
    keep_open: bool = True


class Reply(NamedTuple):
    """Hold an answer; status 0 means that the connection was closed."""

    status: int
    body: bytes

    @property
    def code(self) -> str:
        """Return the error code; empty if the body has none."""
        try:
            return str(json.loads(self.body)["code"])
        except (ValueError, KeyError, TypeError):
            return ""

    @property
    def run(self) -> str:
        """Return the run state of an error answer."""
        return str(json.loads(self.body)["run"])


def make_raw(
    method: str,
    path: str,
    headers: dict[str, str] | list[tuple[str, str]],
    body: bytes | None = b"",
    length: int | None = None,
) -> RawRequest:
    """Return a request.

    :param length: value of Content-Length instead of the body's length; -1
        omits the header
    """
    header_pairs = (
        list(headers.items()) if isinstance(headers, dict) else headers
    )
    lines = [f"{method} {path} HTTP/1.1", "Host: h", "Connection: close"]
    lines += [f"{name}: {value}" for name, value in header_pairs]
    size = len(body or b"") if length is None else length
    if size >= 0:
        lines.append(f"Content-Length: {size}")
    head = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"
    return RawRequest(head + (body or b""))


def make_chunked(
    path: str, headers: dict[str, str], body: bytes
) -> RawRequest:
    """Return a request with a chunked body."""
    head = make_raw(
        "POST", path, headers | {"Transfer-Encoding": "chunked"}, None, -1
    )
    return RawRequest(head.data + b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body))


async def send_raw(address: str, raw: RawRequest) -> Reply:
    """Send a request and read the answer until the connection closes."""
    ip, _, port = address.partition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        writer.write(raw.data)
        await writer.drain()
        if not raw.keep_open:
            writer.write_eof()
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            data = await reader.read(-1)
    except ConnectionResetError:
        data = b""
    finally:
        writer.close()
    head, _, body = data.partition(b"\r\n\r\n")
    status = int(head.split()[1]) if head else 0
    return Reply(status, body)


class ErrorCase(NamedTuple):
    """Describe an invalid request and its expected answer."""

    name: str
    raw: RawRequest
    status: int
    code: str = ""


async def check_cases(address: str, cases: list[ErrorCase]) -> list[str]:
    """Send the requests of all cases; return the unexpected answers.

    An answer with an error code must also say that nothing was run.
    """
    replies = await asyncio.gather(
        *(send_raw(address, case.raw) for case in cases)
    )
    faults: list[str] = []
    for case, reply in zip(cases, replies, strict=True):
        if (reply.status, reply.code) != (case.status, case.code):
            faults.append(f"{case.name}: {reply}")
        elif reply.code and reply.run != "not_run":
            faults.append(f"{case.name}: run {reply.run}")
    return faults


def encode(message: Any) -> bytes:
    """Return a message encoded as JSON."""
    return json.dumps(message).encode()


__all__ = (
    "ErrorCase",
    "RawRequest",
    "Reply",
    "check_cases",
    "encode",
    "make_chunked",
    "make_raw",
    "send_raw",
)
