"""Guards against endpoint faults that are not reported with a code."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

import msgspec
import pytest

from cyclamenwing import errors
from cyclamenwing.demo import fleet as demo_fleet
from cyclamenwing.demo import sample_requests
from cyclamenwing.sidecar import calls
from cyclamenwing.standin import faults
from cyclamenwing.transport import errors as transport_errors

SILENCE_S = 0.5


class FaultCase(NamedTuple):
    """Describe an endpoint's fault and the expected answer.

    Status 0 means that the connection was closed. `effects` is the number
    of calls that took effect at the endpoint.
    """

    kind: faults.FaultKind
    status: int
    code: str = ""
    run: str = ""
    effects: int = 0


STREAM_CASES = [
    FaultCase("cut", 0),
    FaultCase("silent", 502, "outcome_unknown", "unknown"),
    FaultCase("garbage", 422, "quarantined", "unknown"),
]
CALL_CASES = [
    FaultCase("lost_answer", 502, "outcome_unknown", "unknown", 1),
    FaultCase("cut", 502, "outcome_unknown", "unknown", 1),
]


async def check(
    fleet: demo_fleet.Fleet, case: FaultCase, sample: sample_requests.Sample
) -> list[str]:
    fault: faults.Fault = {
        "call": sample.path.removeprefix("/services/records"),
        "kind": case.kind,
        "skip": 0,
        "count": -1,
        "delay_s": 0.0,
    }
    service = fleet.services["records"]
    effects_before = sum(service.effects.values())
    tables = [item.state.table for item in fleet.engines] + [service.table]
    for table in tables:
        table.faults = [fault]
    try:
        answer = await sample_requests._send_sample(
            fleet, fleet.entries[0].address, sample
        )
        actual = FaultCase(case.kind, answer.status)
        if answer.status >= 400:
            body = msgspec.json.decode(answer.body, type=errors.ErrorBody)
            actual = FaultCase(
                case.kind, answer.status, body["code"], body["run"]
            )
    except transport_errors.ConnectionLostError:
        actual = FaultCase(case.kind, 0)
    for table in tables:
        table.faults = []
    effects_after = sum(service.effects.values())
    actual = actual._replace(effects=effects_after - effects_before)
    differences = [] if actual == case else [f"{actual} instead of {case}"]
    valid = await sample_requests._send_sample(
        fleet, fleet.entries[1].address, sample_requests.SAMPLES[0]
    )
    if valid.status != 200:
        differences.append(f"after {case.kind}: {valid.status}")
    return differences


def test_endpoint_faults_get_codes_and_the_fleet_keeps_serving(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(calls, "STREAM_SILENCE_S", SILENCE_S)

    async def run() -> list[str]:
        fleet = await demo_fleet.Fleet.start()
        differences: list[str] = []
        try:
            for case in STREAM_CASES:
                # Each case has its own prompt, because a prompt that was
                # present at a crash would be counted as a poison request.
                body = sample_requests.make_chat(
                    f"prompt of {case.kind}", True, 5
                )
                sample = sample_requests.SAMPLES[0]._replace(body=body)
                differences += await check(fleet, case, sample)
            for case in CALL_CASES:
                sample = sample_requests.SAMPLES[1]._replace(
                    body={"of": case.kind}
                )
                differences += await check(fleet, case, sample)
        finally:
            await fleet.close()
        return differences

    assert asyncio.run(run()) == []
