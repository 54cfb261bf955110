"""Guards against lost streams and repeated calls when a sidecar is killed.

A chat request may run again: its stream must resume at another endpoint.
A decision may not: its outcome must be reported as unknown.
"""

from __future__ import annotations

import asyncio
import signal

import msgspec
from tests.process import conftest
from tests.process import endpoint
from tests.process import fleet as process_fleet

from cyclamenwing.entry import admission


async def check_stream_resumes(fleet: process_fleet.Fleet) -> None:
    request = admission.identify_request("panels/stream")
    await fleet.set_event_limit(3)
    reader = fleet.open(
        0, process_fleet.CHAT, process_fleet.STREAM_BODY, "stream"
    )
    await reader.read_events(3)
    number = fleet.find_endpoint(request)
    fleet.send_signal(f"endpoint-{number}", signal.SIGKILL)
    await fleet.set_event_limit(100)
    assert await reader.read_events() == endpoint.make_answer(request)
    assert fleet.count_runs(request) == 2


async def check_decision_outcome_unknown(fleet: process_fleet.Fleet) -> None:
    request = admission.identify_request("panels/decision")
    await fleet.set_event_limit(0)
    call = asyncio.create_task(
        fleet.send(0, process_fleet.DECISIONS, {"a": 1}, "decision")
    )

    async def has_run() -> bool:
        return fleet.count_runs(request) == 1

    await process_fleet.wait_until(has_run, "run")
    fleet.send_signal("endpoint-2", signal.SIGKILL)
    answers = [
        await call,
        await fleet.send(1, process_fleet.DECISIONS, {"a": 1}, "decision"),
    ]
    for answer in answers:
        refusal = msgspec.json.decode(answer.body)
        assert refusal["run"] == "unknown", refusal
        assert answer.headers["Retry-After"]
    assert fleet.count_runs(request) == 1


def test_killed_sidecar_resumes_streams_and_repeats_no_decision(
    run_fleet: conftest.RunFleet,
) -> None:
    async def scenario(fleet: process_fleet.Fleet) -> None:
        await check_stream_resumes(fleet)
        await check_decision_outcome_unknown(fleet)

    run_fleet(scenario, 2, 1)
