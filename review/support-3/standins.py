"""Stand-ins of the platform's store, of replicas and of clients.

They use the standard library alone and do what PROTOCOL.md says.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import random
import socket
import time
import urllib.parse

MS = 1000.0
_reserved: set[int] = set()


def reserve_port() -> int:
    """Return a free port of the loopback address.

    It lies below the ports that the system gives to outgoing connections, so
    that none of these takes it before its process starts.
    """
    while True:
        port = random.randrange(18_000, 32_000)
        if port in _reserved:
            continue
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        _reserved.add(port)
        return port


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict]:
    """Return the first line and the headers of a message."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader: asyncio.StreamReader, headers: dict) -> bytes:
    """Return the body of a message that has a length or chunks."""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


class HttpServer:
    """Serve HTTP/1.1 requests on a free loopback port."""

    def __init__(self) -> None:
        self.address = ""
        self.writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def listen(self, port: int = 0) -> str:
        self._server = await asyncio.start_server(
            self._accept, "127.0.0.1", port
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self.address

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _accept(self, reader, writer) -> None:
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ", 2)
                if not await self.handle(
                    method, target, headers, body, reader, writer
                ):
                    break
        except (
            OSError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ValueError,
        ):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, method, target, headers, body, reader, writer):
        """Answer one request; return whether the connection stays open."""
        raise NotImplementedError


def write_answer(writer, status: int, body: bytes, headers=()) -> None:
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in headers)
    writer.write(head.encode("latin-1") + b"\r\n" + body)


class Store(HttpServer):
    """Platform's metadata store: ranges, watches and transactions."""

    def __init__(self) -> None:
        super().__init__()
        self.items: dict[str, tuple[bytes, int, int]] = {}
        self.history: list[tuple[int, str, bytes | None]] = []
        self.revision = 1
        self.changed = asyncio.Condition()
        # Called with the key and the caller's port; True keeps the answer.
        self.before_answer = None

    async def put(self, key: str, value: bytes | None) -> float:
        """Write or delete a key as the operator or a replica does.

        Return the time of the acknowledgement.
        """
        async with self.changed:
            self._write(key, value, self._next())
            self.changed.notify_all()
        return time.monotonic()

    def _next(self) -> int:
        self.revision += 1
        return self.revision

    def _write(self, key: str, value: bytes | None, revision: int) -> None:
        self.history.append((revision, key, value))
        if value is None:
            self.items.pop(key, None)
        else:
            created = self.items.get(key, (b"", 0, revision))[2]
            self.items[key] = (value, revision, created)

    def _item(self, key: str) -> dict:
        value, revision, created = self.items[key]
        return {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": revision,
            "created": created,
            "lease": 0,
        }

    async def handle(self, method, target, headers, body, reader, writer):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/v1/kv-range":
            status, answer = self._range(query)
        elif url.path == "/v1/kv-watch":
            status, answer = await self._watch(query)
        elif url.path == "/v1/kv-txn":
            status, answer = await self._txn(json.loads(body))
        elif url.path == "/v1/kv-key":
            known = query["key"] in self.items
            status = 200 if known else 404
            answer = self._item(query["key"]) if known else {}
            answer["at_rev"] = self.revision
        else:
            status, answer = 404, {}
        data = json.dumps(answer).encode()
        write_answer(
            writer, status, data, [("Content-Type", "application/json")]
        )
        await writer.drain()
        return True

    def _range(self, query):
        keys = sorted(
            k
            for k in self.items
            if k.startswith(query["prefix"]) and k > query.get("after", "")
        )
        return 200, {
            "items": [self._item(k) for k in keys[:500]],
            "has_more": len(keys) > 500,
            "at_rev": self.revision,
        }

    async def _watch(self, query):
        after, prefix = int(query["after"]), query["prefix"]

        def found():
            return [
                {
                    "key": key,
                    "revision": revision,
                    "value": base64.b64encode(value).decode(),
                    "created": revision,
                    "lease": 0,
                }
                if value is not None
                else {"key": key, "revision": revision, "deleted": True}
                for revision, key, value in self.history
                if revision > after and key.startswith(prefix)
            ]

        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query["wait_ms"]) / MS):
                async with self.changed:
                    await self.changed.wait_for(found)
        return 200, {"events": found(), "at_rev": self.revision}

    async def _txn(self, txn):
        expected = txn.get("expected", [])
        replace, remove = txn.get("replace", []), txn.get("remove", [])
        if len(expected) + len(replace) + len(remove) > 32:
            return 400, {}
        reserved = ("op/", "servers/")
        if any(r["key"].startswith(reserved) for r in replace):
            return 403, {}
        async with self.changed:
            if any(
                self.items.get(e["key"], (b"", 0, 0))[1] != e["revision"]
                for e in expected
            ):
                keys = [e["key"] for e in expected if e["key"] in self.items]
                return 412, {"items": [self._item(k) for k in keys]}
            revision = self._next()
            for entry in replace:
                value = base64.b64decode(entry["value"])
                self._write(entry["key"], value, revision)
            for key in remove:
                self._write(key, None, revision)
            self.changed.notify_all()
        return 200, {"revision": revision}


class Replica(HttpServer):
    """Replica of a service that is no model, or of a model service.

    :ivar runs: time, request id and headers of each run
    :ivar arrivals: the same for each request that it got, run or not
    """

    def __init__(self, name: str, service: str, zone: str = "z1") -> None:
        super().__init__()
        self.name, self.service, self.zone = name, service, zone
        self.state = "ready"
        self.born = int(time.time() * MS)
        self.seq = 0
        self.slots = 6
        self.work_s = 0.02
        self.runs: list[tuple[float, str, dict]] = []
        self.arrivals: list[tuple[float, str, dict]] = []
        self.events = 10
        self.event_gap_s = 0.02

    def entry(self) -> bytes:
        self.seq += 1
        return json.dumps({
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": self.seq,
            "born": self.born,
        }).encode()

    async def handle(self, method, target, headers, body, reader, writer):
        now = time.monotonic()
        request = headers.get("request-id", "")
        echo = [("Request-Id", request)] if request else []
        if target == "/health":
            write_answer(writer, 200, b"", [("Replica-Id", self.name)])
            return True
        if headers.get("expect-replica", self.name) != self.name:
            write_answer(writer, 421, b"", [*echo, ("Replica-Id", self.name)])
            return True
        self.arrivals.append((now, request, headers))
        return await self.serve(headers, body, echo, writer)

    async def serve(self, headers, body, echo, writer):
        self.runs.append((
            time.monotonic(),
            headers.get("request-id"),
            headers,
        ))
        stamp = [*echo, ("Replica-Stamp", f"stamp-{self.name}")]
        if "token-counts" in headers:
            return await self.stream(headers, stamp, writer)
        await asyncio.sleep(self.work_s)
        write_answer(writer, 200, b"done " + body, stamp)
        await writer.drain()
        return True

    async def stream(self, headers, stamp, writer):
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        head += "Transfer-Encoding: chunked\r\n"
        head += "".join(f"{n}: {v}\r\n" for n, v in stamp) + "\r\n"
        writer.write(head.encode())
        first = int(headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.event_gap_s)
            data = f"id: {number}\ndata: {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class Answer:
    """Answer that a client got; `status` 0 means none, `whole` complete."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict = {}
        self.body = b""
        self.whole = False
        self.sent_s = time.monotonic()
        self.end_s = 0.0
        self.error = ""


async def request(
    address: str,
    method: str,
    path: str,
    headers: dict,
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Answer:
    """Send one request on a new connection and read its answer."""
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {path} HTTP/1.1", "Connection: close"]
            lines += [f"{k}: {v}" for k, v in headers.items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            head = "\r\n".join(lines) + "\r\n\r\n"
            answer.sent_s = time.monotonic()
            writer.write(head.encode() + body)
            line, answer.headers = await read_head(reader)
            answer.status = int(line.split()[1])
            answer.body = await read_body(reader, answer.headers)
            answer.whole = True
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as err:
        answer.error = repr(err)
    finally:
        answer.end_s = time.monotonic()
        if writer is not None:
            writer.close()
    return answer
