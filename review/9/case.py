"""All gateways lose power while the store comes back from an older copy."""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-4"))

import budgets  # noqa: E402
import rig  # noqa: E402

PREPAID = 3_000_000
# As on the sheet for `prior-compare`: 6,300 shared and 2,890 tokens in.
PROMPT, OUTPUT = 9_190, 52
COPY_AGE_S = 3.0
AWAY_S = 1.0
# `recovery_s` of the site.
RECOVERY_S = 12.0
JUDGED_S = 10.0


async def lose_power(deployment: rig.Deployment, drill: bool) -> None:
    """Kill all gateways; the store is away for a moment meanwhile."""
    store = deployment.store
    copy = store.copy()
    await asyncio.sleep(COPY_AGE_S)
    for gateway in deployment.gateways:
        gateway.kill()
    deployment.note("all gateways lose power")
    if drill:
        await store.set_mode("silent")
        deployment.note("the store is away")
    await asyncio.sleep(AWAY_S)
    if drill:
        await store.restore(copy)
        await store.set_mode("")
        deployment.note(f"the store is back, {COPY_AGE_S} s older")
    for gateway in deployment.gateways:
        gateway.start(deployment.seeds)
    await asyncio.gather(*(g.wait_ready() for g in deployment.gateways))
    deployment.note("all gateways are ready again")


async def play(deployment: rig.Deployment, trouble: bool) -> bool:
    """Return whether less than a quarter is served after the recovery."""
    deployment.store.era = 0
    replicas = [
        rig.Replica(f"i-{n}", "llm", f"z{n % 4 + 1}") for n in range(4)
    ]
    await deployment.open(budgets.make_config(PREPAID, 800), replicas, 4)
    await asyncio.sleep(3.0)
    tenant = budgets.Tenant(deployment, PREPAID, PROMPT, OUTPUT)
    tenant.targets = list(deployment.gateways)
    tenant.pause_s = (0.4, 0.4)
    tenant.start_clients(4)
    await asyncio.sleep(4.0)
    before = dict(tenant.statuses)
    deployment.note(f"before: {before}; consumed {tenant.consumed}")
    if trouble:
        drill = os.environ.get("DRILL", "1") != "0"
        await lose_power(deployment, drill)
    await asyncio.sleep(RECOVERY_S)
    start = dict(tenant.statuses)
    await asyncio.sleep(JUDGED_S)
    await tenant.stop_clients()
    after = {
        status: count - start.get(status, 0)
        for status, count in tenant.statuses.items()
    }
    pools = deployment.store.read_json("cyclamenwing/pools/")
    deployment.note(f"pools in the store: {pools}")
    served, total = after.get(200, 0), sum(after.values())
    deployment.note(
        f"after the recovery {served} of {total} requests were served: "
        f"{after}; before {before}; {tenant.consumed} of {PREPAID} tokens "
        "were consumed"
    )
    return served < total / 4


rig.run_case(FOLDER, play)
