"""Memory of a gateway process whose clients do not read.

Pattern: many clients stop reading at once, and their answers are larger than
the memory of the smallest host.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import pathlib
import socket
import time
from collections.abc import AsyncIterator

import pytest
from tests.gateway import deployments
from tests.process import test_gateway

from cyclamenwing.standin import platform_endpoint
from cyclamenwing.transport import h1
from cyclamenwing.transport import h1_client

MEMORY_MB = 128
CLIENTS = 60
SOCKET_BYTES = 8192
STOP_S = 10.0
FILL_S = 15.0
ROUTES = [
    deployments.make_route("read", "idempotent", "api"),
    deployments.make_route(
        "chat", "streaming", "llm", timeout_ms=30_000, goal_ms=5000
    ),
]


def make_stream(event_bytes: int, answer_bytes: int) -> list[bytes]:
    """Return an answer in pieces of several events."""
    events = [
        b"id: %d\ndata: %s\n\n" % (number, b"x" * event_bytes)
        for number in range(1, answer_bytes // event_bytes + 1)
    ]
    step = max(16_384 // event_bytes, 1)
    return [
        b"".join(events[i : i + step]) for i in range(0, len(events), step)
    ]


def read_peak_mb(process: asyncio.subprocess.Process) -> float:
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    (line,) = [x for x in status.splitlines() if x.startswith("VmHWM:")]
    return int(line.split()[1]) / 1024


async def read_held(address: str) -> tuple[float, float]:
    """Return the bytes held and the answers dropped."""
    text = (await test_gateway.fetch(address, "/metrics")).decode()
    values = {
        line.split()[0]: float(line.split()[1])
        for line in text.splitlines()
        if line.startswith("cyclamenwing_gateway_read")
    }
    held = values["cyclamenwing_gateway_read_ahead_bytes"]
    return held, values.get("cyclamenwing_gateway_readers_dropped_total", 0.0)


class UnreadAnswers:
    """Serve large answers at the endpoints of a service."""

    def __init__(self, event_bytes: int, answer_bytes: int) -> None:
        self._pieces = make_stream(event_bytes, answer_bytes)

    async def answer(
        self, connection: h1.ServerConnection, request: h1.Request, _: object
    ) -> None:
        headers = platform_endpoint.make_headers(request)
        if h1.find_header(request.headers, b"token-counts") is None:
            await connection.respond(200, headers, b"ok")
            return
        await connection.start(h1.ResponseHead(200, b"", headers), None)
        for piece in self._pieces:
            await connection.write(piece)
            await asyncio.sleep(0)
        await connection.finish()


@contextlib.asynccontextmanager
async def run_gateway(
    folder: pathlib.Path, deployment: deployments.Deployment
) -> AsyncIterator[tuple[asyncio.subprocess.Process, str]]:
    """Start a gateway process; return it and its address for metrics."""
    settings = test_gateway.make_settings(
        deployment.store_address, limits={"memory_mb": MEMORY_MB}
    )
    path = folder / "gateway.json"
    path.write_text(json.dumps(settings))
    process = await test_gateway.start(path)
    assert process.stdout is not None
    lines = asyncio.ensure_future(process.stdout.read())
    try:
        await test_gateway.wait_until_ready(settings["ready"])
        deployment.gateways.append(
            test_gateway.GatewayProcess(settings["listen"])  # type: ignore[arg-type]
        )
        yield process, settings["metrics"]
    finally:
        process.terminate()
        async with asyncio.timeout(STOP_S):
            await process.wait()
        lines.cancel()


async def open_unread(
    deployment: deployments.Deployment,
) -> h1_client.ClientConnection:
    size = {"Token-Counts": b"100,100", "Deadline-Ms": b"20000"}
    client = await deployment.open("chat", b"POST", headers=size)
    client.stream.socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BYTES
    )
    return client


async def check_memory(
    folder: pathlib.Path, deployment: deployments.Deployment
) -> None:
    async with run_gateway(folder, deployment) as (process, metrics):
        clients = [await open_unread(deployment) for _ in range(CLIENTS)]
        held_mb, dropped = 0.0, 0.0
        until_s = time.monotonic() + FILL_S
        while time.monotonic() < until_s and not dropped:
            await asyncio.sleep(0.1)
            held, dropped = await read_held(metrics)
            held_mb = max(held_mb, held / 1024 / 1024)
        # More answers come in place of those that were dropped.
        await asyncio.sleep(1.0)
        assert dropped
        assert MEMORY_MB / 8 < held_mb <= MEMORY_MB / 4
        assert read_peak_mb(process) < MEMORY_MB
        head, _ = await deployment.send("read", b"GET")
        assert head.status == 200
        for client in clients:
            client.close()


# Guards against memory without a bound, and against overheads of small events
# that the bound does not count.
@pytest.mark.parametrize(
    ("event_bytes", "answer_bytes"),
    # The buffers of the sockets take up to 4 MB in large pieces.
    [(20, 3_000_000), (16_000, 8_000_000)],
)
def test_unread_answers_stay_within_the_memory_of_a_small_host(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    event_bytes: int,
    answer_bytes: int,
) -> None:
    answers = UnreadAnswers(event_bytes, answer_bytes)
    monkeypatch.setitem(platform_endpoint.BEHAVIOURS, "serve", answers.answer)

    async def check() -> None:
        deployment = deployments.Deployment()
        await deployment.start(gateways=0)
        await deployment.store.put(
            "op/config", deployments.make_configuration(2, routes=ROUTES)
        )
        try:
            await check_memory(tmp_path, deployment)
        finally:
            for endpoint in deployment.endpoints:
                endpoint.stop()
            deployment.store.stop()

    asyncio.run(check())
