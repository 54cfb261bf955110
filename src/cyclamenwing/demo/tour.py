"""Sample requests of the demo, with the promises checked."""

from __future__ import annotations

from typing import Any
from typing import NamedTuple

import msgspec

from cyclamenwing.budget import shard as budget_shard
from cyclamenwing.demo import fleet as demo_fleet
from cyclamenwing.store import keys
from cyclamenwing.transport import protocol as transport

TIMEOUT_S = 30.0


class Sample(NamedTuple):
    """Describe a request and the status it must have."""

    title: str
    method: str
    path: str
    key: str
    body: dict[str, Any]
    status: int


def make_chat(prompt: str, stream: bool, max_tokens: int) -> dict[str, Any]:
    """Return the body of a chat completion."""
    return {
        "model": demo_fleet.MODEL,
        "stream": stream,
        "max_tokens": max_tokens,
        "messages": [{"role": "user", "content": prompt}],
    }


CHAT = "/v1/chat/completions"
SMALL_KEY = f"{demo_fleet.CALLER_KEY}-small"
SAMPLES = (
    Sample(
        "dossier summary, streamed",
        "POST",
        CHAT,
        demo_fleet.CALLER_KEY,
        make_chat("summarise the dossier", True, 20),
        200,
    ),
    Sample(
        "panel decision",
        "POST",
        "/services/records/decisions",
        demo_fleet.CALLER_KEY,
        {"candidate": "c-17", "decision": "extend"},
        201,
    ),
    Sample(
        "ledger summary, whole",
        "POST",
        CHAT,
        SMALL_KEY,
        make_chat("summarise the ledger", False, 100),
        200,
    ),
    Sample(
        "budget that runs out",
        "POST",
        CHAT,
        SMALL_KEY,
        make_chat("summarise the ledger", False, 350),
        402,
    ),
    Sample(
        "unknown key", "POST", CHAT, "wrong", make_chat("x", False, 1), 401
    ),
)


async def run_tour(fleet: demo_fleet.Fleet) -> list[str]:
    """Send the samples through both entries; return broken promises."""
    faults: list[str] = []
    for number, sample in enumerate(SAMPLES):
        entry = fleet.entries[number % len(fleet.entries)]
        answer = await _send(fleet, entry.address, sample)
        text = answer.body.decode()[:120].replace("\n", " ")
        print(f"{sample.title}: {answer.status} {text}")
        if answer.status != sample.status:
            faults.append(f"{sample.title}: status {answer.status}")
    faults.extend(await check_ledger(fleet))
    for fault in faults:
        print(f"broken: {fault}")
    return faults


async def check_ledger(fleet: demo_fleet.Fleet) -> list[str]:
    """Return budgets that were overspent."""
    faults: list[str] = []
    for shard in range(demo_fleet.SHARDS):
        found = await fleet.store_client.get(keys.name_ledger(shard))
        document = budget_shard.ShardCodec().decode(
            found.value if found else None
        )
        for name, budget in document["budgets"].items():
            charged = budget_shard.count_charged(budget)
            print(f"budget {name}: paid {budget['paid']}, held {charged}")
            if charged > budget["paid"]:
                faults.append(f"budget {name} is overspent")
    return faults


async def _send(
    fleet: demo_fleet.Fleet, address: str, sample: Sample
) -> transport.Answer:
    return await fleet.client.fetch(
        sample.method,
        f"http://{address}{sample.path}",
        {"Authorization": f"Bearer {sample.key}"},
        msgspec.json.encode(sample.body),
        TIMEOUT_S,
    )


__all__ = (
    "SAMPLES",
    "Sample",
    "check_ledger",
    "make_chat",
    "run_tour",
)
