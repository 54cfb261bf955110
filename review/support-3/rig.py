"""Stand-ins of the platform, replicas and clients, and processes of gateways.

Only the standard library is used. All addresses are on 127.0.0.1.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import typing
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
MAX_TXN_ENTRIES = 32
# A case that takes longer could not run.
MAX_CASE_S = 115


# Below the ports that the system gives to outgoing connections.
PORTS = range(15_000, 32_000)
_taken: set[int] = set()


def pick_port() -> int:
    """Return a free port that no other part of this case uses."""
    while True:
        port = random.choice(PORTS)
        if port in _taken:
            continue
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        _taken.add(port)
        return port


# --- HTTP -----------------------------------------------------------------


@dataclasses.dataclass
class Message:
    """Hold a request or the head of an answer."""

    start: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def method(self) -> str:
        return self.start.split()[0]

    @property
    def target(self) -> str:
        return self.start.split()[1]

    @property
    def status(self) -> int:
        return int(self.start.split()[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as err:
        if err.partial:
            raise
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers.setdefault(name.lower(), value.strip())
    return Message(lines[0], headers)


async def read_body(reader: asyncio.StreamReader, head: Message) -> bytes:
    if head.headers.get("transfer-encoding") == "chunked":
        body = b""
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readline()
        return body
    return await reader.readexactly(int(head.headers.get("content-length", 0)))


def encode_answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    lines = [f"HTTP/1.1 {status} S"]
    lines += [f"{k}: {v}" for k, v in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """Accept connections and answer their requests one by one."""

    def __init__(self) -> None:
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port or pick_port(), backlog=512
        )
        host, bound = self._server.sockets[0].getsockname()
        self.address = f"{host}:{bound}"

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._writers.add(writer)
        try:
            while (request := await read_head(reader)) is not None:
                request.body = await self.read_body(reader, request)
                if not await self.handle(request, reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def read_body(
        self, reader: asyncio.StreamReader, head: Message
    ) -> bytes:
        return await read_body(reader, head)

    async def handle(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a request; return whether the connection stays open."""
        raise NotImplementedError


# --- the platform's store -------------------------------------------------


class Copy(typing.NamedTuple):
    """Hold the state of a store at one time."""

    items: dict[str, tuple[bytes, int, int]]
    history: list[tuple[int, str, bytes | None]]
    revision: int


class Store(Server):
    """Serve ranges, watches and transactions as PROTOCOL.md says.

    :ivar mode: empty, or "silent" or "busy" while the store is down
    :ivar era: value of `Store-Era` in all answers, None for no such header
    """

    def __init__(self) -> None:
        super().__init__()
        self.items: dict[str, tuple[bytes, int, int]] = {}
        self.history: list[tuple[int, str, bytes | None]] = []
        self.revision = 1
        self.mode = ""
        self.era: int | None = None
        # Called with the new values by key once a transaction is answered.
        self.watch_commit: typing.Callable[[dict[str, bytes]], None] | None
        self.watch_commit = None
        self._changed = asyncio.Condition()

    async def put(self, key: str, value: bytes | None) -> None:
        async with self._changed:
            self.revision += 1
            self._write(key, value)
            self._changed.notify_all()

    def read_json(self, prefix: str) -> dict[str, object]:
        return {
            key.removeprefix(prefix): json.loads(value)
            for key, (value, _, _) in self.items.items()
            if key.startswith(prefix)
        }

    async def set_mode(self, mode: str) -> None:
        """Take the store down, or bring it back with an empty mode."""
        async with self._changed:
            self.mode = mode
            self._changed.notify_all()

    def copy(self) -> Copy:
        """Return a copy of what the store holds."""
        return Copy(dict(self.items), list(self.history), self.revision)

    async def restore(self, copy: Copy) -> None:
        """Go back to a copy; the operator and the replicas write again."""
        rewritten = {
            key: self.items.get(key, (None, 0, 0))[0]
            for key in {*self.items, *copy.items}
            if key.startswith(("op/", "servers/"))
        }
        async with self._changed:
            self.items = dict(copy.items)
            self.history = list(copy.history)
            self.revision = copy.revision
            self.era = (self.era or 0) + 1
            self._changed.notify_all()
        for key, value in rewritten.items():
            await self.put(key, value)

    def _write(self, key: str, value: bytes | None) -> None:
        self.history.append((self.revision, key, value))
        if value is None:
            self.items.pop(key, None)
            return
        created = self.items.get(key, (b"", 0, self.revision))[2]
        self.items[key] = (value, self.revision, created)

    async def handle(self, request, reader, writer) -> bool:
        if self.mode == "silent":
            async with self._changed:
                await self._changed.wait_for(lambda: self.mode != "silent")
            return False
        if self.mode == "busy":
            status, answer = 503, {}
        else:
            status, answer = await self._answer(request)
            if self.mode == "silent":
                async with self._changed:
                    await self._changed.wait_for(lambda: self.mode != "silent")
                return False
        head = {"Content-Type": "application/json"}
        if self.era is not None:
            head["Store-Era"] = str(self.era)
        body = json.dumps(answer).encode()
        writer.write(encode_answer(status, head, body))
        await writer.drain()
        if self.watch_commit and status == 200 and "kv-txn" in request.target:
            writes = json.loads(request.body)["replace"]
            self.watch_commit({
                row["key"]: base64.b64decode(row["value"]) for row in writes
            })
        return True

    async def _answer(self, request: Message) -> tuple[int, dict]:
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/v1/kv-range":
            keys = sorted(
                key
                for key in self.items
                if key.startswith(query["prefix"])
                and key > query.get("after", "")
            )
            return 200, {
                "items": [self._encode(key) for key in keys[:500]],
                "has_more": len(keys) > 500,
                "at_rev": self.revision,
            }
        if url.path == "/v1/kv-watch":
            return await self._watch(query)
        if url.path == "/v1/kv-txn":
            return await self._commit(json.loads(request.body))
        return 404, {}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict]:
        after, prefix = int(query["after"]), query["prefix"]
        if after > self.revision:
            return 410, {}

        def list_events() -> list[dict]:
            return [
                {"key": key, "revision": revision, "deleted": True}
                if value is None
                else {
                    "key": key,
                    "revision": revision,
                    "value": base64.b64encode(value).decode(),
                    "created": revision,
                    "lease": 0,
                }
                for revision, key, value in self.history
                if revision > after and key.startswith(prefix)
            ]

        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query["wait_ms"]) / 1000):
                async with self._changed:
                    await self._changed.wait_for(
                        lambda: list_events() or self.mode
                    )
        return 200, {"events": list_events(), "at_rev": self.revision}

    async def _commit(self, txn: dict) -> tuple[int, dict]:
        expected, writes = txn["expected"], txn["replace"]
        if len(expected) + len(writes) + len(txn["remove"]) > MAX_TXN_ENTRIES:
            return 400, {}
        if any(
            self.items.get(row["key"], (b"", 0, 0))[1] != row["revision"]
            for row in expected
        ):
            keys = [row["key"] for row in expected if row["key"] in self.items]
            return 412, {"items": [self._encode(key) for key in keys]}
        async with self._changed:
            self.revision += 1
            for row in writes:
                value = base64.b64decode(row["value"], validate=True)
                self._write(row["key"], value)
            for key in txn["remove"]:
                self._write(key, None)
            self._changed.notify_all()
        return 200, {"revision": self.revision}

    def _encode(self, key: str) -> dict:
        value, revision, created = self.items[key]
        return {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": revision,
            "created": created,
            "lease": 0,
        }


# --- replicas -------------------------------------------------------------


class Replica(Server):
    """Run requests: streams of events, or whole answers.

    :ivar runs: what it ran, one entry each
    :ivar arrivals: requests that reached it, run or not
    """

    def __init__(
        self, name: str, service: str, zone: str, stride: int = 4
    ) -> None:
        super().__init__()
        self.name = name
        self.service = service
        self.zone = zone
        self.stride = stride
        self.born = int(time.time() * 1000)
        self.arrivals: list[tuple[float, str]] = []
        self.runs: list[dict] = []
        self.events = 5
        self.event_gap_s = 0.01
        self.work_s = 0.01
        self.slots = 64
        self.queue = 192
        self.active = 0

    def describe(self, state: str = "ready") -> bytes:
        return json.dumps({
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "cold_left_ms": 0,
            "seq": 1,
            "born": self.born,
        }).encode()

    def make_headers(self, request: Message) -> dict[str, str]:
        request_id = request.headers.get("request-id")
        return {"Request-Id": request_id} if request_id else {}

    async def handle(self, request, reader, writer) -> bool:
        headers = self.make_headers(request)
        request_id = headers.get("Request-Id", "")
        self.arrivals.append((time.time(), request_id))
        expected = request.headers.get("expect-replica")
        if expected not in (None, self.name):
            writer.write(encode_answer(421, headers, b""))
            await writer.drain()
            return True
        if self.active >= self.slots + self.queue:
            shed = headers | {"Not-Executed": "1"}
            writer.write(encode_answer(503, shed, b""))
            await writer.drain()
            return True
        self.active += 1
        try:
            return await self.run(request, headers, reader, writer)
        finally:
            self.active -= 1

    async def run(self, request, headers, reader, writer) -> bool:
        entry = {
            "at": round(time.time(), 3),
            "replica": self.name,
            "id": headers.get("Request-Id", ""),
            "target": request.target,
            "tenant": request.headers.get("tenant"),
            "events": 0,
        }
        self.runs.append(entry)
        headers = headers | {"Replica-Stamp": f"{self.name}.{len(self.runs)}"}
        counts = request.headers.get("token-counts")
        if counts is None:
            await asyncio.sleep(self.work_s)
            writer.write(encode_answer(200, headers, b"done"))
            await writer.drain()
            return True
        headers |= {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        entry["prompt"] = int(counts.split(",")[0])
        lines = ["HTTP/1.1 200 OK", *(f"{k}: {v}" for k, v in headers.items())]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        most = int(counts.split(",")[1]) // self.stride
        wanted = int(request.headers.get("length-hint", 0)) // self.stride
        for number in range(1, min(most, wanted or self.events) + 1):
            await asyncio.sleep(self.event_gap_s)
            event = b"id: %d\ndata: %d\n\n" % (number, number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            entry["events"] = number
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


# --- gateways -------------------------------------------------------------


def read_deploy() -> dict:
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    return deploy["roles"]["gateway"]


def render(template: str, fields: dict) -> str:
    """Fill in a template as DEPLOY.md says, as far as gateway.json needs."""

    def look_up(path: str) -> object:
        value: object = fields
        for name in path.split("."):
            if not isinstance(value, dict) or name not in value:
                return None
            value = value[name]
        return value

    def fill_section(match: re.Match[str]) -> str:
        value = look_up(match[1])
        if value is None:
            return ""
        return match[2].replace("{{.}}", str(value))

    def fill(match: re.Match[str]) -> str:
        path, _, form = match[1].partition("|")
        value = look_up(path)
        if form == "json":
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(
        r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", fill_section, template
    )
    return re.sub(r"\{\{([\w.|]+)\}\}", fill, text)


class Gateway:
    """Run one gateway as a process of its own."""

    def __init__(
        self,
        name: str,
        zone: str,
        zones: list[str],
        store: str,
        folder: pathlib.Path,
        bounds: dict | None = None,
        limits: dict | None = None,
    ) -> None:
        self.name = name
        self.zone = zone
        self._zones = zones
        self._store = store
        self._folder = folder
        self._bounds = bounds or {}
        self._limits = limits or {}
        self.front = f"127.0.0.1:{pick_port()}"
        self.ready = f"127.0.0.1:{pick_port()}"
        self.control = f"127.0.0.1:{pick_port()}"
        self._metrics_port = pick_port()
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0
        self.log = folder / f"{name}.log"

    def start(self, seeds: list[str]) -> None:
        role = read_deploy()
        fields = {
            "node": self.name,
            "zone": self.zone,
            "region": "r1",
            "zones": dict.fromkeys(self._zones, "r1"),
            "ip": "127.0.0.1",
            "listen": {
                "front": self.front,
                "ready": self.ready,
                "control": self.control,
            },
            "port_range": {"0": self._metrics_port},
            "platform": {"address": self._store},
            "seeds": seeds,
            "bootstrap": self.starts == 0,
            "limits": {
                "memory_mb": 150,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "cpu_share": 0.817,
                "cpus": 1,
            }
            | self._limits,
            "bounds": {
                "drain_ms": 2000,
                "grace_s": 8,
                "config_ms": 2000,
                "retry_ratio": 0.2,
                "retry_window_s": 10,
                "retry_slack": 52,
                "settle_ms": 1500,
            }
            | self._bounds,
        }
        settings = self._folder / f"{self.name}.json"
        settings.write_text(
            render((ROOT / role["template"]).read_text(), fields)
        )
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["CYCLAMENWING_CONFIG"] = str(settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        self.starts += 1
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def send_signal(self, number: int) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    async def wait_end(self, timeout_s: float = 12.0) -> None:
        assert self.process is not None
        until_s = time.monotonic() + timeout_s
        while self.process.poll() is None and time.monotonic() < until_s:
            await asyncio.sleep(0.01)

    async def wait_ready(self, timeout_s: float = 15.0) -> None:
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            with contextlib.suppress(OSError, EOFError, ValueError):
                answer = await send(
                    self.ready, "GET", "/v1/ready", {}, timeout_s=1.0
                )
                if answer.status == 200:
                    return
            await asyncio.sleep(0.05)
        raise CaseError(f"{self.name} did not become ready")

    def kill(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


# --- clients --------------------------------------------------------------


class CaseError(Exception):
    """Report that a case could not run."""


@dataclasses.dataclass
class Answer:
    """Hold what a client got; status 0 stands for no answer."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool = True
    error: str = ""

    @property
    def stamped(self) -> bool:
        return "replica-stamp" in self.headers


class Connection:
    """Keep a connection of a client open for several requests."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, address: str) -> Connection:
        host, port = address.split(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    def close(self) -> None:
        self._writer.close()

    async def ask(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        timeout_s: float,
        body: bytes = b"",
    ) -> Answer:
        """Send a request and read the whole answer."""
        got = Answer(0, {}, b"", False)
        try:
            async with asyncio.timeout(timeout_s):
                lines = [f"{method} {target} HTTP/1.1", "Host: case.example"]
                lines += [f"{k}: {v}" for k, v in headers.items()]
                if body or method == "POST":
                    lines.append(f"Content-Length: {len(body)}")
                head = "\r\n".join(lines).encode() + b"\r\n\r\n"
                self._writer.write(head + body)
                await self._writer.drain()
                answer = await read_head(self._reader)
                if answer is None:
                    got.error = "closed without an answer"
                    return got
                got.status, got.headers = answer.status, answer.headers
                got.body = await read_body(self._reader, answer)
                got.whole = True
        except TimeoutError:
            got.error = "no answer in time"
        except (OSError, asyncio.IncompleteReadError, ValueError) as err:
            got.error = repr(err)
        return got


async def send(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> Answer:
    """Send a request on a new connection and read the whole answer."""
    try:
        connection = await Connection.open(address)
    except OSError as err:
        return Answer(0, {}, b"", False, repr(err))
    try:
        return await connection.ask(method, target, headers, timeout_s, body)
    finally:
        connection.close()


# --- a deployment ---------------------------------------------------------


class Deployment:
    """Run a store, replicas and gateways, and record what happens."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.temporary = tempfile.TemporaryDirectory(prefix="case-")
        self.store = Store()
        self.replicas: list[Replica] = []
        self.gateways: list[Gateway] = []
        # Address of the store by gateway, where it is not the store's own.
        self.store_addresses: dict[str, str] = {}
        self.started = time.time()
        self._lines: list[str] = []

    def note(self, text: str) -> None:
        line = f"{time.time() - self.started:8.3f} {text}"
        self._lines.append(line)
        if os.environ.get("SHOW"):
            print(line, flush=True)

    def save(self) -> None:
        text = "\n".join(self._lines) + "\n"
        (self.folder / "record.txt").write_text(text)

    async def open(
        self,
        config: dict,
        replicas: list[Replica],
        gateways: int,
        zones: int = 4,
        bounds: dict | None = None,
        limits: dict | None = None,
    ) -> None:
        if not self.store.address:
            await self.store.start()
        for replica in replicas:
            await replica.start()
            await self.store.put(f"servers/{replica.name}", replica.describe())
        self.replicas = replicas
        await self.store.put("op/config", json.dumps(config).encode())
        names = [f"z{number + 1}" for number in range(zones)]
        folder = pathlib.Path(self.temporary.name)
        self.gateways = [
            Gateway(
                f"front-{number + 1}",
                names[number % zones],
                names,
                self.store_addresses.get(
                    f"front-{number + 1}", self.store.address
                ),
                folder,
                bounds,
                limits,
            )
            for number in range(gateways)
        ]
        for gateway in self.gateways:
            gateway.start(self.seeds)
        await asyncio.gather(*(g.wait_ready() for g in self.gateways))
        self.note(f"{gateways} gateways are ready")

    @property
    def seeds(self) -> list[str]:
        return [gateway.control for gateway in self.gateways[:3]]

    def close_servers(self) -> None:
        """Close the stand-ins, within the event loop."""
        for server in (self.store, *self.replicas):
            server.close()

    def close(self) -> None:
        """End all processes and remove the temporary files."""
        for gateway in self.gateways:
            gateway.kill()
        if logs := os.environ.get("LOGS"):
            for gateway in self.gateways:
                target = pathlib.Path(logs) / gateway.log.name
                target.write_bytes(gateway.log.read_bytes())
        self.temporary.cleanup()


def run_case(folder: pathlib.Path, play) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if not, 2 if unable."""
    deployment = Deployment(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> bool:
        try:
            async with asyncio.timeout(MAX_CASE_S):
                return await play(deployment, trouble)
        finally:
            deployment.close_servers()

    try:
        code = 1 if asyncio.run(run()) else 0
    except BaseException as err:
        deployment.note(f"the case could not run: {err!r}")
        code = 2
    try:
        deployment.close()
    except OSError as err:
        deployment.note(f"not all could be ended: {err!r}")
        code = 2
    deployment.note(f"exit {code}")
    deployment.save()
    sys.stdout.flush()
    # Tasks of the stand-ins that are left can't change the exit code.
    os._exit(code)
