from __future__ import annotations

import asyncio
import base64
from collections.abc import AsyncIterator
from typing import Any

import pytest
from tests.request import samples

from cyclamenwing.request import run_table
from cyclamenwing.sidecar import accounts
from cyclamenwing.sidecar import blackboard
from cyclamenwing.sidecar import executor
from cyclamenwing.transport import errors
from cyclamenwing.transport import protocol

HEADERS = {"content-type": "text/plain", "x-internal": "1"}


class FakeStream:
    def __init__(self, chunks: list[Any]) -> None:
        self._chunks = chunks
        self.closed = False

    async def read_head(self) -> protocol.ResponseHead:
        await asyncio.sleep(0)
        first = self._chunks[0]
        if isinstance(first, errors.ConnectFailedError):
            raise first
        return protocol.ResponseHead(200, HEADERS)

    async def read_chunks(self) -> AsyncIterator[bytes]:
        for chunk in self._chunks:
            if isinstance(chunk, Exception):
                raise chunk
            if chunk is None:
                await asyncio.Event().wait()
            yield chunk

    def close(self) -> None:
        self.closed = True


class FakeClient:
    def __init__(self, chunks: list[Any]) -> None:
        self.stream = FakeStream(chunks)
        self.opened = False

    def open_stream(self, *_arguments: Any) -> FakeStream:
        self.opened = True
        return self.stream


def make_executor(chunks: list[Any]) -> tuple[executor.Executor, FakeClient]:
    client = FakeClient(chunks)
    board = blackboard.SidecarBoard("h", "z", "a1", "r")
    session_accounts = accounts.Accounts(accounts.AccountBoard("a1"))
    return executor.Executor(board, client, "", session_accounts), client  # type: ignore[arg-type]


def execute(
    chunks: list[Any], cancel: bool = False, **order: Any
) -> run_table.Run:
    async def run() -> run_table.Run:
        sidecar_executor, client = make_executor(chunks)
        started_run = sidecar_executor.start(
            samples.make_order("w/1", **order)
        )
        progress_event = sidecar_executor.get_progress_event(started_run)
        if cancel:
            while not sidecar_executor.cancel("w/1"):
                await asyncio.sleep(0)
        while not started_run.ended:
            assert await progress_event.wait(5.0)
        await sidecar_executor.drain()
        assert sidecar_executor.running == 0
        assert client.stream.closed == client.opened
        return started_run

    return asyncio.run(run())


@pytest.mark.parametrize(
    ("chunks", "order", "code", "state"),
    [
        ([errors.ConnectFailedError("")], {}, "endpoint_down", "not_run"),
        (
            [b"a", errors.ConnectionLostError("", "unknown")],
            {},
            "endpoint_crashed",
            "unknown",
        ),
        (
            [errors.ConnectionSilentError("", "unknown")],
            {},
            "endpoint_silent",
            "unknown",
        ),
        ([None], {"deadline_ms": 20}, "deadline_exceeded", "unknown"),
        ([ValueError("not coded")], {}, "sidecar_error", "unknown"),
        (
            [b"{"],
            {"protocol": "chat", "body": base64.b64encode(b"{}").decode()},
            "endpoint_malformed",
            "ran",
        ),
        ([b"{"], {"protocol": "chat"}, "sidecar_error", "not_run"),
    ],
)
def test_each_failure_reaches_the_followers(
    chunks: list[Any], order: dict[str, Any], code: str, state: str
) -> None:
    run = execute(chunks, **order)
    assert run.refusal is not None
    assert (run.refusal["code"], run.refusal["run"]) == (code, state)


def test_cancelled_run_closes_the_endpoint_stream() -> None:
    run = execute([b"a", None], cancel=True)
    assert run.refusal is not None
    assert run.refusal["code"] == "cancelled"


def test_body_and_forwarded_headers_are_unchanged() -> None:
    body = bytes(range(256)) + "põder".encode()
    run = execute([body[:100], body[100:]])
    assert (bytes(run.answer), run.phase) == (body, "done")
    assert run.headers == {"content-type": "text/plain"}
