"""Raw HTTP exchanges with bad input, for the contract tables."""

from __future__ import annotations

import asyncio
import json
from typing import Any
from typing import NamedTuple

ANSWER_TIMEOUT_S = 10.0


class Raw(NamedTuple):
    """Hold a request's bytes; `hold` keeps the connection open."""

    data: bytes
    hold: bool = True


class Reply(NamedTuple):
    """Hold an answer; status 0 means a connection closed without one."""

    status: int
    body: bytes

    @property
    def code(self) -> str:
        """Return the code of a refusal."""
        try:
            return str(json.loads(self.body)["code"])
        except (ValueError, KeyError, TypeError):
            return ""

    @property
    def run(self) -> str:
        """Return the run state of a refusal."""
        return str(json.loads(self.body)["run"])


def make_raw(
    method: str,
    path: str,
    headers: dict[str, str] | list[tuple[str, str]],
    body: bytes | None = b"",
    length: int | None = None,
) -> Raw:
    """Return a request; `length` overrides the body's, -1 leaves it out."""
    pairs = list(headers.items()) if isinstance(headers, dict) else headers
    lines = [f"{method} {path} HTTP/1.1", "Host: h", "Connection: close"]
    lines += [f"{name}: {value}" for name, value in pairs]
    size = len(body or b"") if length is None else length
    if size >= 0:
        lines.append(f"Content-Length: {size}")
    head = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"
    return Raw(head + (body or b""))


def make_chunked(path: str, headers: dict[str, str], body: bytes) -> Raw:
    """Return a request whose body has no stated length."""
    head = make_raw(
        "POST", path, headers | {"Transfer-Encoding": "chunked"}, None, -1
    )
    return Raw(head.data + b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body))


async def exchange(address: str, raw: Raw) -> Reply:
    """Send bytes and read the answer to its end."""
    ip, _, port = address.partition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        writer.write(raw.data)
        await writer.drain()
        if not raw.hold:
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


class Row(NamedTuple):
    """State what a bad request is answered."""

    name: str
    raw: Raw
    status: int
    code: str = ""


async def run_table(address: str, rows: list[Row]) -> list[str]:
    """Send all rows' requests; return where an answer differs."""
    replies = await asyncio.gather(
        *(exchange(address, row.raw) for row in rows)
    )
    wrong: list[str] = []
    for row, reply in zip(rows, replies, strict=True):
        if (reply.status, reply.code) != (row.status, row.code):
            wrong.append(f"{row.name}: {reply}")
        elif reply.code and reply.run != "not_run":
            wrong.append(f"{row.name}: run {reply.run}")
    return wrong


def encode(message: Any) -> bytes:
    """Return a message as JSON."""
    return json.dumps(message).encode()


__all__ = (
    "Raw",
    "Reply",
    "Row",
    "encode",
    "exchange",
    "make_chunked",
    "make_raw",
    "run_table",
)
