"""Stand-ins of clients, replicas and the platform's store, for scripts.

Only the standard library is used. Everything listens on loopback addresses.
The gateways are the project's own, started with the command of the deploy
file; their settings have the fields of deploy/gateway.json.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_S = 1.2
_taken: set[int] = set()
REASONS = {200: "OK", 404: "Not Found", 412: "Precondition Failed",
           410: "Gone", 421: "Misdirected Request", 500: "Error",
           503: "Service Unavailable", 504: "Gateway Timeout"}


def free_port() -> int:
    """Return a free port that no outgoing connection takes meanwhile."""
    while True:
        port = random.randrange(20_000, 32_000)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _taken:
            _taken.add(port)
            return port


class Record:
    """Write what was sent, answered and run to record.txt."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.began = time.monotonic()
        self._file = (folder / "record.txt").open("w", buffering=1)

    def now(self) -> float:
        return time.monotonic() - self.began

    def note(self, text: str) -> None:
        line = f"{self.now():8.3f} {text}"
        self._file.write(line + "\n")

    def say(self, text: str) -> None:
        self.note(text)
        print(text, flush=True)


async def read_head(reader: asyncio.StreamReader):
    """Return the first line and the headers; None at the end."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader: asyncio.StreamReader, headers) -> bytes:
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


def make_answer(status: int, body: bytes, headers=()) -> bytes:
    head = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
    head += "".join(f"{k}: {v}\r\n" for k, v in headers)
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


class Store:
    """Serve the platform's store: items, ranges, watches, transactions."""

    def __init__(self) -> None:
        self.items: dict[str, tuple[bytes, int, int]] = {}
        self.history: list[tuple[str, int]] = []
        self.revision = 10
        self._changed = asyncio.Event()
        self._servers = []
        self.address = ""

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._servers.append(server)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def put(self, key: str, value: bytes | None) -> int:
        self.revision += 1
        self._write(key, value)
        self._notify()
        return self.revision

    def _write(self, key: str, value: bytes | None) -> None:
        self.history.append((key, self.revision))
        if value is None:
            self.items.pop(key, None)
        else:
            created = self.items.get(key, (b"", 0, self.revision))[2]
            self.items[key] = (value, self.revision, created)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _encode(self, key: str):
        value, revision, created = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(),
                "revision": revision, "created": created, "lease": 0}

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                status, answer = await self._answer(
                    method, url.path, query, body)
                writer.write(make_answer(
                    status, json.dumps(answer).encode(),
                    [("Content-Type", "application/json")]))
                await writer.drain()
        writer.close()

    async def _answer(self, method, path, query, body):
        if path == "/v1/kv-key":
            if query["key"] not in self.items:
                return 404, {"at_rev": self.revision}
            return 200, self._encode(query["key"]) | {
                "at_rev": self.revision}
        if path == "/v1/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query["prefix"])
                          and k > query.get("after", ""))
            return 200, {"items": [self._encode(k) for k in keys[:500]],
                         "has_more": len(keys) > 500,
                         "at_rev": self.revision}
        if path == "/v1/kv-watch":
            return await self._watch(query)
        if path == "/v1/kv-txn":
            return self._commit(json.loads(body))
        return 404, {}

    async def _watch(self, query):
        after = int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            changes = {}
            for key, revision in self.history:
                if revision > after and key.startswith(query["prefix"]):
                    changes[key] = revision
            left = until - time.monotonic()
            if changes or left <= 0:
                events = [
                    self._encode(k) if k in self.items else
                    {"key": k, "revision": r, "deleted": True}
                    for k, r in changes.items()]
                return 200, {"events": events, "at_rev": self.revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self._changed.wait()

    def _commit(self, txn):
        if any(self.items.get(e["key"], (b"", 0, 0))[1] != e["revision"]
               for e in txn["expected"]):
            return 412, {"items": [self._encode(e["key"])
                                   for e in txn["expected"]
                                   if e["key"] in self.items]}
        self.revision += 1
        for entry in txn.get("replace", []):
            self._write(entry["key"], base64.b64decode(entry["value"]))
        for key in txn.get("remove", []):
            self._write(key, None)
        self._notify()
        return 200, {"revision": self.revision}

    def close(self) -> None:
        for server in self._servers:
            server.close()


class Gateway:
    """Run one gateway with the command of the deploy file."""

    def __init__(self, name, zone, store, folder, zones, seeds=(),
                 limits=None, bounds=None) -> None:
        self.name = name
        self.listen = f"127.0.0.1:{free_port()}"
        self.ready = f"127.0.0.1:{free_port()}"
        self.control = f"127.0.0.1:{free_port()}"
        self._folder = pathlib.Path(folder)
        self.path = self._folder / f"{name}.json"
        self.settings = {
            "host": name, "availability_zone": zone, "region": "r1",
            "regions": {z: "r1" for z in zones},
            "listen": self.listen, "ready": self.ready,
            "control": self.control,
            "metrics": f"127.0.0.1:{free_port()}",
            "store": store, "seeds": list(seeds), "bootstrap": True,
            "limits": {"memory_mb": 300, "max_fds": 4100,
                       "link_mbps": 1000.0, "cpu_share": 0.817, "cpus": 1}
            | (limits or {}),
            "bounds": {"drain_ms": 2000, "grace_s": 8, "config_ms": 2000,
                       "retry_ratio": 0.2, "retry_window_s": 10,
                       "retry_slack": 56, "settle_ms": 1500}
            | (bounds or {}),
        }
        self.process = None

    async def start(self) -> None:
        self.path.write_text(json.dumps(self.settings, indent=1))
        env = {k: v for k, v in os.environ.items()
               if k in ("PATH", "HOME", "LANG")}
        env["CYCLAMENWING_CONFIG"] = str(self.path)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        log = (self._folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "python3", "src/gateway.py", cwd=ROOT, env=env,
            stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError,
                                     TimeoutError):
                status, _, _ = await fetch(
                    self.ready, "GET", "/v1/ready", {}, b"", 1.0)
                if status == 200:
                    return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} was not ready in time")

    def signal(self, number: int) -> None:
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        if self.process is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.process.wait()


async def fetch(address, method, path, headers, body, timeout_s):
    """Send one request on a new connection; return status, headers, body.

    :raises OSError, EOFError: if the connection ends before a whole answer
    """
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{k}: {v}" for k, v in headers.items()]
            if "Host" not in headers:
                lines.append("Host: x")
            lines += [f"Content-Length: {len(body)}", "Connection: close"]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            line, head = await read_head(reader)
            answer = await read_body(reader, head)
            return int(line.split(" ")[1]), head, answer
        finally:
            writer.close()


class Replica:
    """Serve a service's requests and register in the store.

    `run` is awaited for each request that begins to run; it writes the answer.
    """

    def __init__(self, record, store, service, zone, run, slots=64) -> None:
        self.record = record
        self.store = store
        self.service = service
        self.zone = zone
        self.run = run
        self.slots = slots
        self.port = free_port()
        self.address = f"127.0.0.1:{self.port}"
        self.starts = 0
        self.id = ""
        self.up = False
        self.crashes: list[float] = []
        self._server = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        self.starts += 1
        self.born = int(time.time() * 1000)
        self.id = f"i-{self.port}-{self.starts}"
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, reuse_address=True)
        self.up = True
        self.register("ready")
        self.record.note(f"replica {self.id} starts")

    def register(self, state: str) -> None:
        self.store.put(f"servers/{self.id}", json.dumps({
            "service": self.service, "address": self.address,
            "zone": self.zone, "version": "v1", "slots": self.slots,
            "state": state, "cold_left_ms": 0, "seq": 1,
            "born": self.born}).encode())

    def unregister(self) -> None:
        self.store.put(f"servers/{self.id}", None)

    async def go_dark(self, seconds: float) -> None:
        """Answer nothing, as a machine without power; then start anew."""
        self.record.note(f"replica {self.id} goes dark")
        self.crashes.append(time.monotonic())
        self.up = False
        silenced, self._writers = self._writers, set()
        for writer in silenced:
            with contextlib.suppress(Exception):
                writer.transport.pause_reading()
        self._stop_tasks()
        self._server.close()
        # Connections to it hang: its queue of new connections is full.
        full = socket.socket()
        full.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        full.bind(("127.0.0.1", self.port))
        full.listen(0)
        fillers = []
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            fillers.append(filler)
        expiry = asyncio.get_running_loop().call_later(
            3 * HEARTBEAT_S, self.unregister)
        await asyncio.sleep(seconds)
        if expiry.when() > asyncio.get_running_loop().time():
            expiry.cancel()
            self.unregister()
        for filler in fillers:
            filler.close()
        full.close()
        for writer in silenced:
            writer.transport.abort()
        await self.start()

    async def crash(self, seconds: float) -> None:
        """Reset all connections and refuse new ones; then start anew."""
        self.record.note(f"replica {self.id} crashes")
        self.crashes.append(time.monotonic())
        self.up = False
        self._server.close()
        self._stop_tasks()
        for writer in self._writers:
            writer.transport.abort()
        self._writers = set()
        old = self.id
        expiry = asyncio.get_running_loop().call_later(
            3 * HEARTBEAT_S, self.store.put, f"servers/{old}", None)
        await asyncio.sleep(seconds)
        if expiry.when() > asyncio.get_running_loop().time():
            expiry.cancel()
            self.unregister()
        await self.start()

    def _stop_tasks(self) -> None:
        current = asyncio.current_task()
        for task in self._tasks:
            if task is not current:
                task.cancel()

    def close(self) -> None:
        if self._server:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        self._stop_tasks()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while self.up:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                if writer not in self._writers:
                    await asyncio.sleep(3600)
                method, target, _ = line.split(" ")
                await self._handle(writer, method, target, headers, body)
        except (OSError, EOFError, ConnectionError, ValueError):
            pass
        except asyncio.CancelledError:
            return
        finally:
            self._tasks.discard(task)
            if writer in self._writers:
                self._writers.discard(writer)
                writer.close()

    async def _handle(self, writer, method, target, headers, body) -> None:
        request = headers.get("request-id", "")
        if target == "/health":
            writer.write(make_answer(200, b"", [("Replica-Id", self.id)]))
            return
        expected = headers.get("expect-replica")
        if expected is not None and expected != self.id:
            writer.write(make_answer(421, b"", [
                ("Replica-Id", self.id), ("Request-Id", request),
                ("Not-Executed", "1")]))
            return
        self.record.note(
            f"replica {self.id} runs {request} {method} {target} "
            f"tenant {headers.get('tenant')}")
        await self.run(self, writer, target, headers, body)
        await writer.drain()


def stamp(replica: Replica, request: str):
    return [("Request-Id", request), ("Replica-Stamp", f"s.{replica.id}")]


def run_case(folder: pathlib.Path, case) -> None:
    """Run `case(record, temporary folder)`; exit with what it returns."""
    record = Record(folder)
    temporary = tempfile.mkdtemp(prefix="review-")
    code = 2
    try:
        code = asyncio.run(
            asyncio.wait_for(case(record, pathlib.Path(temporary)), 115))
    except Exception as err:
        record.say(f"could not run: {err!r}")
    finally:
        if not os.environ.get("KEEP"):
            shutil.rmtree(temporary, ignore_errors=True)
        else:
            print(temporary)
    record.say(f"exit {code}")
    sys.exit(code)
