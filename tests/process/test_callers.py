"""Guards against lost or repeated runs when clients or the store fail."""

from __future__ import annotations

import msgspec
from tests.process import conftest
from tests.process import endpoint
from tests.process import fleet as process_fleet

from cyclamenwing.entry import admission


async def check_disconnect(fleet: process_fleet.Fleet) -> None:
    """Check that a client's disconnect neither stops nor repeats its run.

    The client closes the stream after two events. The run must finish, be
    settled once at the entry that started it, and be returned to a retry.
    """
    request = admission.identify_request("panels/left")
    await fleet.set_event_limit(2)
    reader = fleet.open(
        0, process_fleet.CHAT, process_fleet.STREAM_BODY, "left"
    )
    await reader.read_events(2)
    reader.stream.close()
    await fleet.set_event_limit(100)

    async def is_settled() -> bool:
        status = await fleet.call_peer(0, "/peer/status", {})
        steps = await fleet.list_steps(0, request)
        return status["in_progress"] == 0 and "settled" in steps

    await process_fleet.wait_until(is_settled, "settlement")
    retried = await fleet.send(
        1, process_fleet.CHAT, process_fleet.STREAM_BODY, "left"
    )
    assert retried.body == endpoint.make_answer(request)
    assert fleet.count_runs(request) == 1
    steps = await fleet.list_steps(0, request)
    assert steps.count("settled") == 1
    assert "settled" not in await fleet.list_steps(1, request)


async def check_store_down(fleet: process_fleet.Fleet) -> None:
    """Check that a store outage refuses only requests that need a claim.

    They must be refused as not run, and run once after the outage.
    """
    faults = fleet.store.state.table
    faults.faults = [
        {"call": "kv/", "kind": "down", "skip": 0, "count": -1, "delay_s": 0.0}
    ]
    refused = await fleet.send(0, process_fleet.DECISIONS, {}, "down")
    refusal = msgspec.json.decode(refused.body)
    assert (refusal["code"], refusal["run"]) == (
        "store_unavailable",
        "not_run",
    )
    request = admission.identify_request("panels/down")
    assert fleet.count_runs(request) == 0
    chat = await fleet.send(0, process_fleet.CHAT, process_fleet.STREAM_BODY)
    assert chat.status == 200
    faults.faults = []
    first = await fleet.send(0, process_fleet.DECISIONS, {}, "down")
    second = await fleet.send(1, process_fleet.DECISIONS, {}, "down")
    assert first.status == second.status == 201
    assert first.body == second.body == endpoint.PLAIN_BODY
    assert fleet.count_runs(request) == 1


def test_client_disconnect_and_store_outage(
    run_fleet: conftest.RunFleet,
) -> None:
    async def scenario(fleet: process_fleet.Fleet) -> None:
        await check_disconnect(fleet)
        await check_store_down(fleet)

    run_fleet(scenario, 1, 1)
