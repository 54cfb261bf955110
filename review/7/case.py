"""One gateway is killed while a tenant with large requests uses its budget."""

from __future__ import annotations

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-4"))

import budgets  # noqa: E402
import rig  # noqa: E402

PREPAID = 600_000
PROMPT, OUTPUT = 2_000, 30_000
# Time for which the killed process is away.
RESTART_S = 1.0
# `stable_ms` of the site is 3,000.
SETTLE_S = 5.0


async def play(deployment: rig.Deployment, trouble: bool) -> bool:
    """Return whether the tenant was denied what it had paid for."""
    replicas = [
        rig.Replica(f"i-{n}", "llm", f"z{n % 4 + 1}") for n in range(4)
    ]
    await deployment.open(budgets.make_config(PREPAID, 1_000), replicas, 4)
    await asyncio.sleep(3.0)
    tenant = budgets.Tenant(deployment, PREPAID, PROMPT, OUTPUT)
    tenant.targets = list(deployment.gateways)
    tenant.start_clients(8)
    await tenant.wait_consumed(0.3 * PREPAID)
    if trouble:
        victim = deployment.gateways[3]
        tenant.targets.remove(victim)
        victim.kill()
        deployment.note(f"{victim.name} is killed")
        await asyncio.sleep(RESTART_S)
        victim.start(deployment.seeds)
        deployment.note(f"{victim.name} starts again")
        await victim.wait_ready()
    await tenant.stop_clients()
    await asyncio.sleep(SETTLE_S)
    denied = await tenant.count_denied(deployment.gateways)
    total = sum(tenant.statuses.values())
    pools = deployment.store.read_json("cyclamenwing/pools/")
    deployment.note(f"pools in the store: {pools}")
    deployment.note(
        f"{tenant.consumed} of {PREPAID} tokens were consumed; "
        f"statuses {tenant.statuses}; {denied} proper requests denied with "
        f"402, allowed {5 + total / 500:.1f}"
    )
    return denied > 5 + total / 500


rig.run_case(FOLDER, play)
