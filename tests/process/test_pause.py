from __future__ import annotations

import asyncio
import base64
import signal
import time

import msgspec
from tests.process import conftest
from tests.process import endpoint
from tests.process import fleet as process_fleet
from tests.request import samples

from cyclamenwing.entry import admission
from cyclamenwing.entry import claim_commits
from cyclamenwing.membership import view
from cyclamenwing.store import client as store_client
from cyclamenwing.transport import protocol

LAPSE_S = view.SUSPECT_AFTER_S + 0.5


async def start_decision(
    fleet: process_fleet.Fleet, key: str
) -> asyncio.Task[protocol.Answer]:
    request = admission.identify_request(f"panels/{key}")
    sent = asyncio.create_task(
        fleet.send(0, process_fleet.DECISIONS, {"a": 1}, key)
    )

    async def has_run() -> bool:
        return fleet.count_runs(request) == 1

    await process_fleet.wait_until(has_run, "run")
    return sent


async def check_paused_entry(fleet: process_fleet.Fleet) -> None:
    await fleet.allow(0)
    first = await start_decision(fleet, "k1")
    fleet.signal("entry-0", signal.SIGSTOP)
    paused_at = time.monotonic()
    second = asyncio.create_task(
        fleet.send(1, process_fleet.DECISIONS, {"a": 1}, "k1")
    )
    await asyncio.sleep(LAPSE_S - (time.monotonic() - paused_at))
    await fleet.allow(100)
    answers = [await second]
    fleet.signal("entry-0", signal.SIGCONT)
    answers.append(await first)
    for answer in answers:
        assert (answer.status, answer.body) == (201, endpoint.PLAIN_BODY)
        assert answer.headers["Content-Encoding"] == "gzip"
        assert "X-Internal" not in answer.headers
    request = admission.identify_request("panels/k1")
    assert fleet.count_runs(request) == 1


async def check_paused_sidecar(fleet: process_fleet.Fleet) -> None:
    await fleet.allow(0)
    first = await start_decision(fleet, "k2")
    fleet.signal("endpoint-0", signal.SIGSTOP)
    answer = await first
    refusal = msgspec.json.decode(answer.body)
    assert refusal["run"] == "unknown", refusal
    assert answer.headers["Retry-After"]
    fleet.signal("endpoint-0", signal.SIGCONT)
    await fleet.allow(100)

    async def has_answer() -> bool:
        again = await fleet.send(1, process_fleet.DECISIONS, {"a": 1}, "k2")
        return (again.status, again.body) == (201, endpoint.PLAIN_BODY)

    await process_fleet.wait_until(has_answer, "answer after the pause")
    request = admission.identify_request("panels/k2")
    assert fleet.count_runs(request) == 1


async def check_paused_before_sending(fleet: process_fleet.Fleet) -> None:
    """A holder that claimed and paused sends after a takeover."""
    status = await fleet.ask(1, "/peer/status", {})
    beats = [member["beat"] for member in status["members"]]
    sidecar = next(beat for beat in beats if beat["role"] == "sidecar")
    body = msgspec.json.encode({"a": 1})
    late = samples.make_order(
        "panels/k3",
        request=admission.identify_request("panels/k3"),
        fingerprint=admission.fingerprint_request(
            "panels", "records", "POST", "/decisions", body
        ),
        sidecar=sidecar["incarnation"],
        workspace="panels",
        route="records",
        path="/decisions",
        body=base64.b64encode(body).decode(),
    )
    held = claim_commits.ClaimCommitter(
        store_client.StoreClient(fleet.client, fleet.store.address)
    )
    taken = await held.submit({
        "op": "take",
        "key": late["key"],
        "request": late["request"],
        "fingerprint": late["fingerprint"],
        "session": "entry-0/paused",
        "place": {
            "host": sidecar["host"],
            "address": sidecar["address"],
            "incarnation": sidecar["incarnation"],
        },
        "replaces": 0,
    })
    assert taken.applied
    answer = await fleet.send(1, process_fleet.DECISIONS, {"a": 1}, "k3")
    assert (answer.status, answer.body) == (201, endpoint.PLAIN_BODY)
    joined = await fleet.client.fetch(
        "POST",
        f"http://{sidecar['address']}/v1/runs",
        {},
        msgspec.json.encode(late),
        process_fleet.WAIT_S,
    )
    assert b'"t":"end"' in joined.body
    assert fleet.count_runs(late["request"]) == 1
    steps = await fleet.list_steps(1, late["request"])
    assert steps.count("claimed_before") == 1


def test_paused_processes_run_decisions_once(
    run_fleet: conftest.RunFleet,
) -> None:
    async def scenario(fleet: process_fleet.Fleet) -> None:
        await check_paused_before_sending(fleet)
        await check_paused_entry(fleet)
        await check_paused_sidecar(fleet)

    run_fleet(scenario, 0, 1)
