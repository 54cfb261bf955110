"""Guards against repeated runs when a process pauses during a request.

SIGSTOP pauses an entry or a sidecar until its peers suspect it, then
SIGCONT resumes it with its old state.
"""

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

SUSPECTED_AFTER_S = view.SUSPECT_AFTER_S + 0.5


async def start_decision(
    fleet: process_fleet.Fleet, key: str
) -> asyncio.Task[protocol.Response]:
    request = admission.identify_request(f"panels/{key}")
    call = asyncio.create_task(
        fleet.send(0, process_fleet.DECISIONS, {"a": 1}, key)
    )

    async def has_run() -> bool:
        return fleet.count_runs(request) == 1

    await process_fleet.wait_until(has_run, "run")
    return call


async def check_paused_entry(fleet: process_fleet.Fleet) -> None:
    await fleet.set_event_limit(0)
    first = await start_decision(fleet, "k1")
    fleet.send_signal("entry-0", signal.SIGSTOP)
    paused_at = time.monotonic()
    second = asyncio.create_task(
        fleet.send(1, process_fleet.DECISIONS, {"a": 1}, "k1")
    )
    await asyncio.sleep(SUSPECTED_AFTER_S - (time.monotonic() - paused_at))
    await fleet.set_event_limit(100)
    answers = [await second]
    fleet.send_signal("entry-0", signal.SIGCONT)
    answers.append(await first)
    for answer in answers:
        assert (answer.status, answer.body) == (201, endpoint.PLAIN_BODY)
        assert answer.headers["Content-Encoding"] == "gzip"
        assert "X-Internal" not in answer.headers
    request = admission.identify_request("panels/k1")
    assert fleet.count_runs(request) == 1


async def check_paused_sidecar(fleet: process_fleet.Fleet) -> None:
    await fleet.set_event_limit(0)
    first = await start_decision(fleet, "k2")
    fleet.send_signal("endpoint-0", signal.SIGSTOP)
    answer = await first
    refusal = msgspec.json.decode(answer.body)
    assert refusal["run"] == "unknown", refusal
    assert answer.headers["Retry-After"]
    fleet.send_signal("endpoint-0", signal.SIGCONT)
    await fleet.set_event_limit(100)

    async def has_answer() -> bool:
        retried = await fleet.send(1, process_fleet.DECISIONS, {"a": 1}, "k2")
        return (retried.status, retried.body) == (201, endpoint.PLAIN_BODY)

    await process_fleet.wait_until(has_answer, "answer after the pause")
    request = admission.identify_request("panels/k2")
    assert fleet.count_runs(request) == 1


async def check_paused_before_sending(fleet: process_fleet.Fleet) -> None:
    """Check that a late order of a paused entry attaches to the run.

    An entry claims the key and pauses before it sends the order. Another
    entry takes over the claim and runs the request first.
    """
    status = await fleet.call_peer(1, "/peer/status", {})
    heartbeats = [member["beat"] for member in status["members"]]
    sidecar = next(beat for beat in heartbeats if beat["role"] == "sidecar")
    body = msgspec.json.encode({"a": 1})
    late_order = samples.make_order(
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
    claim_committer = claim_commits.ClaimCommitter(
        store_client.StoreClient(fleet.client, fleet.store.address)
    )
    acquired = await claim_committer.submit({
        "op": "take",
        "key": late_order["key"],
        "request": late_order["request"],
        "fingerprint": late_order["fingerprint"],
        "session": "entry-0/paused",
        "place": {
            "host": sidecar["host"],
            "address": sidecar["address"],
            "incarnation": sidecar["incarnation"],
        },
        "replaces": 0,
    })
    assert acquired.applied
    answer = await fleet.send(1, process_fleet.DECISIONS, {"a": 1}, "k3")
    assert (answer.status, answer.body) == (201, endpoint.PLAIN_BODY)
    attached = await fleet.client.fetch(
        "POST",
        f"http://{sidecar['address']}/v1/runs",
        {},
        msgspec.json.encode(late_order),
        process_fleet.WAIT_TIMEOUT_S,
    )
    assert b'"t":"end"' in attached.body
    assert fleet.count_runs(late_order["request"]) == 1
    steps = await fleet.list_steps(1, late_order["request"])
    assert steps.count("claimed_before") == 1


def test_paused_processes_do_not_repeat_runs(
    run_fleet: conftest.RunFleet,
) -> None:
    async def scenario(fleet: process_fleet.Fleet) -> None:
        await check_paused_before_sending(fleet)
        await check_paused_entry(fleet)
        await check_paused_sidecar(fleet)

    run_fleet(scenario, 0, 1)
