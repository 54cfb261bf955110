"""Fleet of entry and sidecar processes with in-process endpoints."""

from __future__ import annotations

import asyncio
import functools
import json
import math
import os
import pathlib
import signal
import sys
import time
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import Self

import msgspec
from tests.process import endpoint

import cyclamenwing
from cyclamenwing import errors
from cyclamenwing.catalog import index
from cyclamenwing.cli import remote
from cyclamenwing.standin import addresses
from cyclamenwing.standin import store
from cyclamenwing.transport import client
from cyclamenwing.transport import protocol

FLEET_KEY = "process-test-fleet-key"
CALLER_KEY = "process-test-caller"
WAIT_TIMEOUT_S = 20.0
CHAT = "/v1/chat/completions"
DECISIONS = "/services/records/decisions"
STREAM_BODY: dict[str, Any] = {
    "model": "assistant",
    "stream": True,
    "max_tokens": 50,
    "messages": [{"role": "user", "content": "summarise the dossier"}],
}
CATALOG = {
    "service": "process",
    "workspaces": [
        {
            "name": "panels",
            "keys": [index.hash_key(CALLER_KEY)],
            "budgets": ["panels-tokens"],
        }
    ],
    "budgets": [{"name": "panels-tokens", "unit": "tokens"}],
    "routes": [
        {
            "name": "assistant",
            "protocol": "chat",
            "model": "assistant",
            "workspaces": ["*"],
        },
        {
            "name": "records",
            "protocol": "plain",
            "workspaces": ["*"],
            "calls": [{"method": "POST", "path": "/decisions"}],
        },
    ],
}


async def wait_until(
    check: Callable[[], Awaitable[bool]], description: str
) -> None:
    ends_at = time.monotonic() + WAIT_TIMEOUT_S
    while not await check():
        assert time.monotonic() < ends_at, f"timeout: {description}"
        await asyncio.sleep(0.02)


class Fleet:
    """Run entry and sidecar processes with a store and endpoints.

    Sidecars 0 to `chat` - 1 serve the chat route, the next `plain`
    sidecars the plain one.
    """

    def __init__(
        self, folder: pathlib.Path, chat: int, plain: int, entries: int = 2
    ) -> None:
        self._folder = folder
        self._routes = ["assistant"] * chat + ["records"] * plain
        self.peers = [addresses.reserve_address() for _ in range(entries)]
        self.entries = [addresses.reserve_address() for _ in range(entries)]
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.client = client.CurlClient(FLEET_KEY)

    async def __aenter__(self) -> Self:
        self.store = store.StoreStandin("127.0.0.1:0")
        self.endpoints = [endpoint.Endpoint() for _ in self._routes]
        await self._publish()
        for number, address in enumerate(self.entries):
            await self._start_entry(number, address)
        for number, route in enumerate(self._routes):
            await self.start_sidecar(number, route, self.peers)
        await self.wait_ready()
        return self

    async def __aexit__(self, *_info: object) -> None:
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGKILL)
            await process.wait()
        await self.client.close()
        for endpoint_standin in self.endpoints:
            await endpoint_standin.close()
        await self.store.close()

    async def start_sidecar(
        self, number: int, route: str, peers: list[str]
    ) -> str:
        settings = self._make_settings(f"endpoint-{number}", "127.0.0.1:0")
        settings |= {
            "entries": peers,
            "endpoint": self.endpoints[number].address,
            "route": route,
        }
        return await self._start("sidecar", settings)

    async def wait_ready(self) -> None:
        for entry in range(len(self.entries)):
            await wait_until(
                functools.partial(self._sees_all_members, entry), "members"
            )
            for route in sorted(set(self._routes)):
                await wait_until(
                    functools.partial(self._serves_route, entry, route), route
                )

    async def send(
        self,
        entry: int,
        path: str,
        body: Any,
        key: str = "",
        timeout_s: float = WAIT_TIMEOUT_S,
    ) -> protocol.Response:
        return await self.client.fetch(
            "POST",
            f"http://{self.entries[entry]}{path}",
            self._make_headers(key),
            msgspec.json.encode(body),
            timeout_s,
        )

    def open(self, entry: int, path: str, body: Any, key: str) -> AnswerReader:
        stream = self.client.open_stream(
            "POST",
            f"http://{self.entries[entry]}{path}",
            self._make_headers(key),
            msgspec.json.encode(body),
            WAIT_TIMEOUT_S,
        )
        return AnswerReader(stream)

    async def call_peer(self, peer: int, path: str, message: Any) -> Any:
        return await self.client.call(
            f"http://{self.peers[peer]}{path}", message, dict[str, Any], 2.0
        )

    async def list_steps(self, entry: int, request: str) -> list[str]:
        timeline = await self.call_peer(
            entry, "/peer/explain", {"request": request}
        )
        return [step["step"] for step in timeline["steps"]]

    async def set_event_limit(self, event_limit: float) -> None:
        for endpoint_standin in self.endpoints:
            await endpoint_standin.set_event_limit(event_limit)

    def count_runs(self, request: str) -> int:
        return sum(
            endpoint_standin.runs[request]
            for endpoint_standin in self.endpoints
        )

    def find_endpoint(self, request: str) -> int:
        has_run = [
            endpoint_standin.runs[request] > 0
            for endpoint_standin in self.endpoints
        ]
        return has_run.index(True)

    async def run_command(self, arguments: list[str]) -> str:
        process = await self._spawn(arguments)
        output, _ = await process.communicate()
        assert process.returncode == 0, output
        return output.decode()

    def send_signal(self, name: str, number: int) -> None:
        self.processes[name].send_signal(number)

    async def _publish(self) -> None:
        file = self._folder / "process.json"
        file.write_text(json.dumps(CATALOG))
        for arguments in (
            ["publish", str(file), "--author", "test"],
            ["top-up", "panels-tokens", "1000000", "--id", "t1"],
        ):
            await self.run_command([
                *arguments,
                "--store",
                self.store.address,
            ])

    async def _start_entry(self, number: int, address: str) -> None:
        settings = self._make_settings(f"entry-{number}", address)
        settings |= {"entries": self.peers, "peers": self.peers[number]}
        await self._start("entry", settings)

    async def _start(self, role: str, settings: dict[str, Any]) -> str:
        name = settings["host"]
        file = self._folder / f"{name}.json"
        file.write_text(json.dumps(settings))
        process = await self._spawn([role, str(file)])
        self.processes[name] = process
        assert process.stdout is not None
        line = await asyncio.wait_for(
            process.stdout.readline(), WAIT_TIMEOUT_S
        )
        assert line.startswith(b"listening on "), line
        return line.decode().split()[-1]

    async def _spawn(self, arguments: list[str]) -> asyncio.subprocess.Process:
        source = pathlib.Path(cyclamenwing.__file__).parents[1]
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "cyclamenwing",
            *arguments,
            env=os.environ
            | {
                "PYTHONPATH": str(source),
                remote.FLEET_KEY_VARIABLE: FLEET_KEY,
            },
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )

    def _make_settings(self, host: str, listen: str) -> dict[str, Any]:
        return {
            "host": host,
            "zone": "zone-0",
            "listen": listen,
            "store": self.store.address,
            "fleet_keys": [FLEET_KEY],
            "log_file": str(self._folder / f"{host}.log"),
        }

    def _make_headers(self, key: str) -> dict[str, str]:
        headers = {"Authorization": f"Bearer {CALLER_KEY}"}
        return headers | ({"Idempotency-Key": key} if key else {})

    async def _sees_all_members(self, entry: int) -> bool:
        try:
            status = await self.call_peer(entry, "/peer/status", {})
        except errors.CodedError:
            return False
        hosts = {member["beat"]["host"] for member in status["members"]}
        return status["revision"] > 0 and len(hosts) >= len(self.processes) - 1

    async def _serves_route(self, entry: int, route: str) -> bool:
        path, body = (CHAT, STREAM_BODY)
        if route == "records":
            path, body = (DECISIONS, {})
        answer = await self.send(entry, path, body)
        return answer.status in {200, 201}


class AnswerReader:
    """Read a streamed answer step by step."""

    def __init__(self, stream: protocol.Stream) -> None:
        self.stream = stream
        self.data = b""
        self._chunks = stream.read_chunks()

    async def read_events(self, count: float = math.inf) -> bytes:
        """Read until `count` events arrived or the stream ended."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while self.data.count(b"\n\n") < count:
                try:
                    self.data += await anext(self._chunks)
                except StopAsyncIteration:
                    break
        return self.data
