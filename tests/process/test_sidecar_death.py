from __future__ import annotations

import asyncio
import signal

import msgspec
from tests.process import conftest
from tests.process import endpoint
from tests.process import fleet as process_fleet

from cyclamenwing.entry import admission


async def check_stream_moves(fleet: process_fleet.Fleet) -> None:
    request = admission.identify_request("panels/stream")
    await fleet.allow(3)
    reading = fleet.open(
        0, process_fleet.CHAT, process_fleet.STREAM_BODY, "stream"
    )
    await reading.read_events(3)
    runner = fleet.find_runner(request)
    fleet.signal(f"endpoint-{runner}", signal.SIGKILL)
    await fleet.allow(100)
    assert await reading.read_events() == endpoint.make_answer(request)
    assert fleet.count_runs(request) == 2


async def check_decision_unknown(fleet: process_fleet.Fleet) -> None:
    request = admission.identify_request("panels/decision")
    await fleet.allow(0)
    sent = asyncio.create_task(
        fleet.send(0, process_fleet.DECISIONS, {"a": 1}, "decision")
    )

    async def has_run() -> bool:
        return fleet.count_runs(request) == 1

    await process_fleet.wait_until(has_run, "run")
    fleet.signal("endpoint-2", signal.SIGKILL)
    answers = [
        await sent,
        await fleet.send(1, process_fleet.DECISIONS, {"a": 1}, "decision"),
    ]
    for answer in answers:
        refusal = msgspec.json.decode(answer.body)
        assert refusal["run"] == "unknown", refusal
        assert answer.headers["Retry-After"]
    assert fleet.count_runs(request) == 1


def test_kill_moves_streams_and_leaves_decisions_unknown(
    run_fleet: conftest.RunFleet,
) -> None:
    async def scenario(fleet: process_fleet.Fleet) -> None:
        await check_stream_moves(fleet)
        await check_decision_unknown(fleet)

    run_fleet(scenario, 2, 1)
