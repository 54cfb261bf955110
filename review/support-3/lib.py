"""Small stand-ins and a fleet of real gateway processes for review scripts.

Only the standard library is used. The gateways are the project's own program,
started with the command of `deploy/system.toml`.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ("python3", "src/gateway.py")
HOST = "api.example"
START_TIMEOUT_S = 25.0
# Below the ports that the system gives to outgoing connections.
PORTS = (16_000, 30_000)

_reserved = set()


class Record:
    """Write what was sent, answered and run to `record.txt`."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w")
        self._began_s = time.monotonic()

    def write(self, text):
        self._file.write(f"{time.monotonic() - self._began_s:8.3f} {text}\n")
        self._file.flush()

    def close(self):
        self._file.close()


def reserve_address():
    """Return a free address whose port no outgoing connection gets."""
    while True:
        port = random.randrange(*PORTS)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _reserved:
            _reserved.add(port)
            return f"127.0.0.1:{port}"


async def read_message(reader):
    """Return the first line, the headers and the body of a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, found, value = line.partition(":")
        if found:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = await read_chunks(reader)
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        piece = await reader.readexactly(size + 2)
        if not size:
            return body
        body += piece[:-2]


def make_message(first, headers, body):
    lines = [first, *(f"{k}: {v}" for k, v in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's store: ranges, watches, transactions and drills."""

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 1
        self.era = 0
        self.down = False
        # Called with each transaction that was applied.
        self.applied = None
        # Written by the operator and the servers, and again after a drill.
        self.outside = {}
        self.address = ""
        self._changed = asyncio.Condition()
        self._server = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=2**24
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def put(self, key, value):
        """Write a key as the operator or a server does."""
        self.outside[key] = value
        async with self._changed:
            self._write(key, value)
            self._changed.notify_all()

    def copy(self):
        return dict(self.items), list(self.history), self.revision

    def stop_serving(self):
        """Be away: turn away calls, and cut those that wait."""
        self.down = True
        for writer in list(self._writers):
            writer.transport.abort()

    async def return_from(self, copy):
        """Come back from a copy; the operator and servers write again."""
        self.items, self.history = dict(copy[0]), list(copy[1])
        self.revision = copy[2]
        self.era += 1
        self.down = False
        for key, value in list(self.outside.items()):
            await self.put(key, value)

    def _write(self, key, value):
        self.revision += 1
        self._set(key, value)

    def _set(self, key, value):
        self.history.append((key, self.revision))
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = (value, self.revision)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                first, _, body = await read_message(reader)
                status, answer = await self._answer(first, body)
                writer.write(
                    make_message(
                        f"HTTP/1.1 {status} -",
                        {
                            "Content-Type": "application/json",
                            "Store-Era": self.era,
                        },
                        json.dumps(answer).encode(),
                    )
                )
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            # The peer has left, or the case has ended.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, first, body):
        if self.down:
            return 503, {}
        target = first.split(" ")[1]
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/v1/kv-range":
            return self._range(query)
        if url.path == "/v1/kv-watch":
            return await self._watch(query)
        if url.path == "/v1/kv-txn":
            return await self._txn(json.loads(body))
        return 404, {}

    def _range(self, query):
        after = query.get("after", "")
        keys = sorted(
            k
            for k in self.items
            if k.startswith(query["prefix"]) and k > after
        )
        return 200, {
            "items": [self._encode(k) for k in keys[:500]],
            "has_more": len(keys) > 500,
            "at_rev": self.revision,
        }

    async def _watch(self, query):
        after, prefix = int(query["after"]), query["prefix"]
        if after > self.revision:
            return 410, {}
        era = self.era
        try:
            async with asyncio.timeout(int(query["wait_ms"]) / 1000):
                async with self._changed:
                    await self._changed.wait_for(
                        lambda: (
                            self.era != era or self._list(prefix, after)
                        )
                    )
        except TimeoutError:
            pass
        if self.era != era:
            return 410, {}
        return 200, {
            "events": self._list(prefix, after),
            "at_rev": self.revision,
        }

    async def _txn(self, txn):
        expected, writes = txn["expected"], txn["replace"]
        if len(expected) + len(writes) + len(txn["remove"]) > 32:
            return 400, {}
        if any(
            self.items.get(e["key"], (b"", 0))[1] != e["revision"]
            for e in expected
        ):
            return 412, {
                "items": [
                    self._encode(e["key"])
                    for e in expected
                    if e["key"] in self.items
                ]
            }
        async with self._changed:
            self.revision += 1
            for entry in writes:
                self._set(entry["key"], base64.b64decode(entry["value"]))
            for key in txn["remove"]:
                self._set(key, None)
            self._changed.notify_all()
        if self.applied is not None:
            self.applied(self.revision, writes)
        return 200, {"revision": self.revision}

    def _list(self, prefix, after):
        events = []
        for key, revision in self.history:
            if revision <= after or not key.startswith(prefix):
                continue
            if key in self.items:
                events.append(self._encode(key))
            else:
                events.append(
                    {"key": key, "revision": revision, "deleted": True}
                )
        return events

    def _encode(self, key):
        value, revision = self.items[key]
        return {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": revision,
            "created": revision,
            "lease": 0,
        }


class Replica:
    """A sound server that registers itself and counts what it runs.

    :ivar runs: (time, request id, tenant, events sent) of each run
    """

    events = 3

    def __init__(self, name, service, zone="z1"):
        self.name, self.service, self.zone = name, service, zone
        self.runs = []
        self.address = ""
        self.pause_s = 0.0
        self.born = int(time.time() * 1000)

    async def start(self, limit=2**24):
        server = await asyncio.start_server(
            self.serve, "127.0.0.1", 0, limit=limit
        )
        self._server = server
        port = server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def describe(self, state="ready", seq=1):
        return json.dumps({
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 64,
            "state": state,
            "cold_left_ms": 0,
            "seq": seq,
            "born": self.born,
        }).encode()

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                await self.answer(writer, first, headers, body)
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            # The peer has left, or the case has ended.
            pass
        finally:
            writer.close()

    async def answer(self, writer, first, headers, body):
        identity = {"Request-Id": headers.get("request-id", "")}
        if headers.get("expect-replica", self.name) != self.name:
            writer.write(make_message("HTTP/1.1 421 -", identity, b""))
            return
        run = {
            "time": time.monotonic(),
            "id": headers.get("request-id"),
            "tenant": headers.get("tenant"),
            "counts": headers.get("token-counts"),
        }
        self.runs.append(run)
        if self.pause_s:
            await asyncio.sleep(self.pause_s)
        identity["Replica-Stamp"] = "signed"
        if "token-counts" not in headers:
            writer.write(make_message("HTTP/1.1 200 OK", identity, b"done"))
            return
        lines = ["HTTP/1.1 200 OK", *(f"{k}: {v}" for k, v in identity.items())]
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(1, self.events + 1):
            event = b"id: %d\ndata: x\n\n" % number
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        writer.write(b"0\r\n\r\n")


class Fleet:
    """Real gateway processes, started again by the platform if they die."""

    def __init__(self, folder, store, limits=None, bounds=None):
        self.folder, self.store = pathlib.Path(folder), store
        self.processes = {}
        self.settings = {}
        self._limits = {
            "memory_mb": 150,
            "max_fds": 4100,
            "link_mbps": 1000.0,
            "cpu_share": 0.817,
            "cpus": 1,
        } | (limits or {})
        self._bounds = {
            "drain_ms": 2000,
            "grace_s": 8,
            "config_ms": 2000,
            "retry_ratio": 0.2,
            "retry_window_s": 10,
            "retry_slack": 52,
            "settle_ms": 1500,
        } | (bounds or {})

    def add(self, host, zone="z1"):
        self.settings[host] = {
            "host": host,
            "availability_zone": zone,
            "region": "r1",
            "regions": {zone: "r1"},
            "listen": reserve_address(),
            "ready": reserve_address(),
            "control": reserve_address(),
            "metrics": reserve_address(),
            "store": self.store.address,
            "bootstrap": True,
            "limits": self._limits,
            "bounds": self._bounds,
        }

    async def start_all(self):
        controls = [s["control"] for s in self.settings.values()]
        for host in self.settings:
            self.settings[host]["seeds"] = controls[:3]
            await self.start(host)
        await asyncio.gather(*(self.wait_ready(h) for h in self.settings))

    async def start(self, host, bootstrap=True):
        self.settings[host]["bootstrap"] = bootstrap
        path = self.folder / f"{host}.json"
        path.write_text(json.dumps(self.settings[host]))
        log = open(self.folder / f"{host}.log", "ab")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["CYCLAMENWING_CONFIG"] = str(path)
        self.processes[host] = await asyncio.create_subprocess_exec(
            *PROGRAM, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()

    async def wait_ready(self, host):
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                try:
                    status, _, _ = await call(
                        self.settings[host]["ready"], "GET", "/v1/ready", {}
                    )
                    if status == 200:
                        return
                except OSError:
                    pass
                await asyncio.sleep(0.05)

    def signal(self, host, number):
        self.processes[host].send_signal(number)

    async def kill(self, host):
        self.signal(host, signal.SIGKILL)
        await self.processes[host].wait()

    async def stop_all(self):
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()


def read_memory_mb(process):
    """Return the resident memory of a process."""
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    line = next(x for x in status.splitlines() if x.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


async def call(address, method, target, headers, body=b"", timeout_s=10.0):
    """Send one request on a new connection; return its whole answer.

    :raises OSError: if the connection ends without one
    """
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=2**24
            )
            fields = {"Host": HOST, **headers}
            writer.write(
                make_message(f"{method} {target} HTTP/1.1", fields, body)
            )
            first, found, answer = await read_message(reader)
            return int(first.split(" ")[1]), found, answer
    except (TimeoutError, asyncio.IncompleteReadError, ValueError) as err:
        raise OSError(repr(err)) from err
    finally:
        if writer is not None:
            writer.close()


class KeptConnection:
    """A connection that a client keeps for many requests."""

    def __init__(self, address):
        self._address = address
        self._streams = None

    async def call(self, method, target, headers, body=b"", timeout_s=10.0):
        """Send a request; return its whole answer.

        :raises OSError: if the connection ends without one
        """
        host, _, port = self._address.rpartition(":")
        try:
            async with asyncio.timeout(timeout_s):
                if self._streams is None:
                    self._streams = await asyncio.open_connection(
                        host, int(port), limit=2**24
                    )
                reader, writer = self._streams
                fields = {"Host": HOST, **headers}
                writer.write(
                    make_message(f"{method} {target} HTTP/1.1", fields, body)
                )
                first, found, answer = await read_message(reader)
        except (TimeoutError, OSError, EOFError, ValueError) as err:
            self.close()
            raise OSError(repr(err)) from err
        if found.get("connection", "").lower() == "close":
            self.close()
        return int(first.split(" ")[1]), found, answer

    def close(self):
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


def run_case(folder, case):
    """Run a case in a temporary folder; return the exit code."""
    record = Record(folder)
    work = tempfile.mkdtemp(prefix="review-")
    try:
        code = asyncio.run(case(record, work))
    except Exception as err:
        record.write(f"the case could not run: {err!r}")
        code = 2
    finally:
        if os.environ.get("KEEP"):
            print(work)
        else:
            shutil.rmtree(work, ignore_errors=True)
    record.write(f"exit code {code}")
    record.close()
    return code
