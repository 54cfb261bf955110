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


class Row(NamedTuple):
    """State what a fault of an endpoint is answered.

    A status of 0 means a cut connection; `effects` counts the endpoint's.
    """

    kind: faults.FaultKind
    status: int
    code: str = ""
    run: str = ""
    effects: int = 0


STREAMS = [
    Row("cut", 0),
    Row("silent", 502, "outcome_unknown", "unknown"),
    Row("garbage", 422, "quarantined", "unknown"),
]
CALLS = [
    Row("lost_answer", 502, "outcome_unknown", "unknown", 1),
    Row("cut", 502, "outcome_unknown", "unknown", 1),
]


async def check(
    made: demo_fleet.Fleet, row: Row, sample: sample_requests.Sample
) -> list[str]:
    fault: faults.Fault = {
        "call": sample.path.removeprefix("/services/records"),
        "kind": row.kind,
        "skip": 0,
        "count": -1,
        "delay_s": 0.0,
    }
    service = made.services["records"]
    before = sum(service.effects.values())
    tables = [item.state.table for item in made.engines] + [service.table]
    for table in tables:
        table.faults = [fault]
    try:
        answer = await sample_requests._send_sample(
            made, made.entries[0].address, sample
        )
        seen = Row(row.kind, answer.status)
        if answer.status >= 400:
            body = msgspec.json.decode(answer.body, type=errors.ErrorBody)
            seen = Row(row.kind, answer.status, body["code"], body["run"])
    except transport_errors.ConnectionLostError:
        seen = Row(row.kind, 0)
    for table in tables:
        table.faults = []
    after = sum(service.effects.values())
    seen = seen._replace(effects=after - before)
    wrong = [] if seen == row else [f"{seen} instead of {row}"]
    good = await sample_requests._send_sample(
        made, made.entries[1].address, sample_requests.SAMPLES[0]
    )
    if good.status != 200:
        wrong.append(f"after {row.kind}: {good.status}")
    return wrong


def test_faults_of_endpoints_are_coded_and_stop_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(calls, "STREAM_SILENCE_S", SILENCE_S)

    async def run() -> list[str]:
        made = await demo_fleet.Fleet.start()
        wrong: list[str] = []
        try:
            for row in STREAMS:
                # Each asks for something else, as crashes are remembered.
                body = sample_requests.make_chat(
                    f"prompt of {row.kind}", True, 5
                )
                sample = sample_requests.SAMPLES[0]._replace(body=body)
                wrong += await check(made, row, sample)
            for row in CALLS:
                sample = sample_requests.SAMPLES[1]._replace(
                    body={"of": row.kind}
                )
                wrong += await check(made, row, sample)
        finally:
            await made.close()
        return wrong

    assert asyncio.run(run()) == []
