"""Tests of the gateway process: start, reload, requests, drain, logs."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import sys
from typing import Any

import pytest
from tests.gateway import deployments

from cyclamenwing.cli import protocol
from cyclamenwing.standin import addresses
from cyclamenwing.standin import platform_endpoint

PROGRAM = pathlib.Path(__file__).parents[2] / "src" / "gateway.py"
START_TIMEOUT_S = 20.0


def make_settings(store: str, **changes: Any) -> dict[str, Any]:
    return {
        "host": "g0",
        "availability_zone": "z1",
        "listen": addresses.reserve_address(),
        "ready": addresses.reserve_address(),
        "control": addresses.reserve_address(),
        "metrics": addresses.reserve_address(),
        "store": store,
        "bounds": {"grace_s": 5.0},
    } | changes


async def start(path: pathlib.Path) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        str(PROGRAM),
        str(path),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )


async def fetch(address: str, path: str) -> bytes:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode()
    )
    try:
        return await reader.read(-1)
    finally:
        writer.close()


async def wait_until_ready(address: str) -> None:
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            with contextlib.suppress(OSError):
                answer = await fetch(address, "/v1/ready")
                if answer.startswith(b"HTTP/1.1 200"):
                    return
            await asyncio.sleep(0.05)


class GatewayProcess:
    """Take the place of an in-process gateway in a deployment."""

    def __init__(self, address: str) -> None:
        self.address = address

    def stop(self) -> None:
        """Do nothing, as the test ends the process."""


async def run_gateway(folder: pathlib.Path) -> list[dict[str, Any]]:
    deployment = deployments.Deployment()
    await deployment.start(gateways=0)
    settings = make_settings(deployment.store_address)
    path = folder / "gateway.json"
    path.write_text("// A gateway.\n" + json.dumps(settings))
    process = await start(path)
    assert process.stdout is not None
    lines = asyncio.ensure_future(process.stdout.read())
    try:
        await wait_until_ready(settings["ready"])
        deployment.gateways.append(GatewayProcess(settings["listen"]))  # type: ignore[arg-type]
        for route, method in (("read", b"GET"), ("write", b"POST")):
            head, _ = await deployment.send(route, method)
            assert head.status == 200
        assert (await deployment.send("none"))[0].status == 404
        process.send_signal(signal.SIGHUP)
        metrics = await fetch(settings["metrics"], "/metrics")
        assert b"cyclamenwing_gateway_requests_total" in metrics
        for item in deployment.endpoints:
            item.pause_s = 0.6
        last_call = asyncio.ensure_future(
            deployment.send("chat", headers={"Token-Counts": b"1000,100"})
        )
        await asyncio.sleep(0.2)
        process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.2)
        answer = await fetch(settings["ready"], "/v1/ready")
        assert answer.startswith(b"HTTP/1.1 503")
        head, body = await last_call
        assert head.status == 200
        assert body.count(b"\n\n") == platform_endpoint.STREAM_EVENTS
        async with asyncio.timeout(10):
            assert await process.wait() == 0
    finally:
        if process.returncode is None:
            process.kill()
        for item in deployment.endpoints:
            item.stop()
        deployment.store.stop()
    return [json.loads(line) for line in (await lines).splitlines()]


def test_process_serves_reloads_and_drains(
    tmp_path: pathlib.Path,
) -> None:
    lines = asyncio.run(run_gateway(tmp_path))
    events = [line["message_type"] for line in lines]
    assert events[0] == "gateway:started"
    assert events[-1] == "gateway:stopped"
    assert "settings:reloaded" in events
    done = [x for x in lines if x["message_type"] == "request:done"]
    assert [x["outcome"] for x in done] == ["passed"] * 3
    assert all(x["request"] == "r1" and x["version"] == 1 for x in done)


@pytest.mark.parametrize(
    ("text", "code"),
    [
        ("{", "settings_syntax"),
        ("{}", "settings_schema"),
        ('{"host": 5}', "settings_schema"),
    ],
)
def test_invalid_settings_end_the_process_with_an_error_code(
    tmp_path: pathlib.Path, text: str, code: str
) -> None:
    async def run_with_invalid_settings() -> tuple[int, bytes]:
        path = tmp_path / "gateway.json"
        path.write_text(text)
        process = await start(path)
        _, err = await process.communicate()
        return process.returncode or 0, err

    status, err = asyncio.run(run_with_invalid_settings())
    assert status == protocol.EXIT_INVALID
    assert code.encode() in err


def test_signals_during_the_whole_shutdown_leave_exit_code_0(
    tmp_path: pathlib.Path,
) -> None:
    async def signal_until_exit() -> int:
        path = tmp_path / "gateway.json"
        settings = make_settings(addresses.reserve_address())
        path.write_text(json.dumps(settings))
        process = await start(path)
        assert process.stdout is not None
        await process.stdout.readline()
        lines = asyncio.ensure_future(process.stdout.read())
        # `send_signal` would collect the exit code before asyncio does.
        descriptor = os.pidfd_open(process.pid)
        # The last signals arrive while the interpreter ends.
        while process.returncode is None:
            for number in (signal.SIGTERM, signal.SIGHUP):
                with contextlib.suppress(ProcessLookupError):
                    signal.pidfd_send_signal(descriptor, number)
            await asyncio.sleep(0.001)
        os.close(descriptor)
        await lines
        return process.returncode

    assert asyncio.run(signal_until_exit()) == 0
