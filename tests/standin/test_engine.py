"""Guards against an engine stand-in whose API, orders or faults are wrong."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from cyclamenwing.standin import blocks
from cyclamenwing.standin import engine
from cyclamenwing.standin import faults
from cyclamenwing.standin import generation
from cyclamenwing.transport import client
from cyclamenwing.transport import errors
from cyclamenwing.transport import protocol

LOOPBACK = "127.0.0.1:0"
TIMEOUT_S = 5.0
PROMPT = "one two three " * 100
CHAT = "/v1/chat/completions"

Scenario = Callable[["EngineHarness"], Awaitable[None]]


class EngineHarness:
    def __init__(self, state: generation.EngineState) -> None:
        self.state = state
        self.standin = engine.EngineStandin(LOOPBACK, state)
        self.client = client.CurlClient("unused")

    async def call(
        self, method: str, path: str, body: object = None
    ) -> protocol.Response:
        return await self.client.fetch(
            method,
            f"http://{self.standin.address}{path}",
            {"X-Request-Id": "r1"},
            None if body is None else msgspec.json.encode(body),
            TIMEOUT_S,
        )

    async def stream(self, body: object) -> bytes:
        stream = self.open(body)
        await stream.read_head()
        return b"".join([chunk async for chunk in stream.read_chunks()])

    def open(self, body: object) -> client.CurlStream:
        return self.client.open_stream(
            "POST",
            f"http://{self.standin.address}{CHAT}",
            {"X-Request-Id": "r1"},
            msgspec.json.encode(body),
            TIMEOUT_S,
        )

    async def wait_for(self, check: Callable[[], bool]) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            while not check():
                await asyncio.sleep(0.005)

    async def close(self) -> None:
        await self.standin.close()
        await self.client.close()


def make_body(content: str = PROMPT, **more: Any) -> dict[str, Any]:
    messages = [{"role": "user", "content": content}]
    return {"messages": messages, "max_tokens": 4, "stream": True} | more


def run(scenario: Scenario, **options: Any) -> None:
    async def main() -> None:
        table = options.pop("table", faults.FaultTable())
        harness = EngineHarness(
            generation.EngineState("m", table, 0.001, **options)
        )
        try:
            await scenario(harness)
        finally:
            await harness.close()

    asyncio.run(main())


def read_text(answer: bytes) -> str:
    events = [line[6:] for line in answer.split(b"\n\n") if line]
    assert events.pop() == b"[DONE]"
    choices = [msgspec.json.decode(event)["choices"] for event in events]
    return "".join(
        choice["delta"].get("content", "") for row in choices for choice in row
    )


def test_answer_is_deterministic_and_resumes() -> None:
    async def scenario(harness: EngineHarness) -> None:
        whole = read_text(await harness.stream(make_body()))
        assert whole == "one two three one "
        resumed = read_text(await harness.stream(make_body(resume_tokens=3)))
        assert resumed == "one "
        answer = await harness.call("POST", CHAT, make_body(stream=False))
        body = msgspec.json.decode(answer.body)
        assert body["choices"][0]["message"]["content"] == whole
        assert body["usage"]["prompt_tokens"] == 300

    run(scenario)


def test_load_events_metrics_models_and_tokens_are_served() -> None:
    async def scenario(harness: EngineHarness) -> None:
        await harness.stream(make_body())
        events = await harness.call("GET", "/cache/events?after=0")
        event = msgspec.json.decode(
            events.body.splitlines()[0], type=blocks.CacheEvent
        )
        assert (event["kind"], len(event["blocks"])) == ("stored", 5)
        later = await harness.call("GET", "/cache/events?after=1")
        assert later.body == b""
        load = msgspec.json.decode((await harness.call("GET", "/load")).body)
        assert (load["running"], load["waiting"]) == (0, 0)
        metrics = await harness.call("GET", "/metrics")
        assert b"engine_requests_running 0.0" in metrics.body
        models = await harness.call("GET", "/v1/models")
        assert msgspec.json.decode(models.body)["data"][0]["id"] == "m"
        tokenized = await harness.call(
            "POST", "/tokenize", make_body()["messages"]
        )
        assert tokenized.status == 400
        tokenized = await harness.call(
            "POST", "/tokenize", {"messages": make_body()["messages"]}
        )
        assert msgspec.json.decode(tokenized.body) == {"count": 300}

    run(scenario)


def test_disconnect_and_cancel_end_the_generation() -> None:
    async def scenario(harness: EngineHarness) -> None:
        stream = harness.open(make_body(max_tokens=100_000))
        await stream.read_head()
        assert harness.state.running == 1
        stream.close()
        await harness.wait_for(lambda: harness.state.running == 0)
        second_stream = asyncio.create_task(
            harness.stream(make_body(max_tokens=100_000))
        )
        await harness.wait_for(lambda: harness.state.running == 1)
        answer = await harness.call("POST", "/cancel", {"request": "r1"})
        assert msgspec.json.decode(answer.body) == {"cancelled": True}
        assert harness.state.running == 0
        with pytest.raises(errors.ConnectionLostError):
            await second_stream

    run(scenario)


def test_marked_request_crashes_the_engine() -> None:
    async def scenario(harness: EngineHarness) -> None:
        other_stream = asyncio.create_task(
            harness.stream(make_body(max_tokens=100_000))
        )
        await harness.wait_for(lambda: harness.state.running == 1)
        poison = make_body(f"{PROMPT} {generation.CRASH_MARKER}")
        with pytest.raises(errors.ConnectionLostError):
            await harness.stream(poison)
        with pytest.raises(errors.ConnectionLostError):
            await other_stream
        with pytest.raises(errors.ConnectFailedError):
            await harness.call("GET", "/load")
        assert harness.state.crashes == 1

    run(scenario, restart_delay_s=60.0)


def test_engine_restarts_after_a_crash() -> None:
    async def scenario(harness: EngineHarness) -> None:
        with pytest.raises(errors.ConnectionLostError):
            await harness.stream(make_body(generation.CRASH_MARKER))
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                try:
                    answer = await harness.call("GET", "/load")
                except errors.TransportError:
                    await asyncio.sleep(0.005)
                else:
                    break
        assert answer.status == 200

    run(scenario, restart_delay_s=0.01)


@pytest.mark.parametrize(
    ("checks", "statuses", "model"),
    [(True, [200, 409, 200], "m3"), (False, [200, 200, 200], "m3")],
)
def test_stale_fencing_token_is_refused_only_if_checked(
    checks: bool, statuses: list[int], model: str
) -> None:
    async def scenario(harness: EngineHarness) -> None:
        actual_statuses = []
        for fence, value in ((5, "m1"), (4, "m2"), (5, "m3")):
            answer = await harness.call(
                "POST",
                "/orders",
                {"kind": "load_model", "value": value, "fence": fence},
            )
            actual_statuses.append(answer.status)
        assert (actual_statuses, harness.state.model) == (statuses, model)
        listed = await harness.call("GET", "/orders")
        assert len(
            msgspec.json.decode(listed.body)["applied"]
        ) == actual_statuses.count(200)

    run(scenario, checks_fence=checks)


@pytest.mark.parametrize("kind", ["down", "cut", "garbage"])
def test_faults_replace_or_cut_the_answer(kind: faults.FaultKind) -> None:
    async def scenario(harness: EngineHarness) -> None:
        if kind == "cut":
            with pytest.raises(errors.ConnectionLostError):
                await harness.stream(make_body())
            return
        answer = await harness.call("POST", CHAT, make_body())
        expected = {"down": 503, "garbage": 200}
        assert answer.status == expected[kind]

    fault: faults.Fault = {
        "call": CHAT,
        "kind": kind,
        "skip": 0,
        "count": 1,
        "delay_s": 0.0,
    }
    run(scenario, table=faults.FaultTable([fault]))
