"""One gateway stands still while others ask it for tokens of a tenant."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-4"))

import budgets  # noqa: E402
import rig  # noqa: E402

PREPAID = 600_000
PROMPT, OUTPUT = 2_000, 30_000
FREEZE_S = 4.0
# `stable_ms` of the site is 3,000.
SETTLE_S = 5.0


async def play(deployment: rig.Deployment, trouble: bool) -> bool:
    """Return whether the tenant was denied what it had paid for."""
    replicas = [rig.Replica(f"i-{n}", "llm", f"z{n % 4 + 1}") for n in range(4)]
    for replica in replicas:
        replica.event_gap_s = 0.04
    await deployment.open(budgets.make_config(PREPAID, 1_000), replicas, 4)
    await asyncio.sleep(3.0)
    tenant = budgets.Tenant(deployment, PREPAID, PROMPT, OUTPUT)
    tenant.targets = list(deployment.gateways)
    tenant.start_clients(16)
    await tenant.wait_consumed(0.35 * PREPAID)
    frozen = deployment.gateways[3]
    if trouble:
        tenant.targets.remove(frozen)
        frozen.send_signal(signal.SIGSTOP)
        deployment.note(f"{frozen.name} stands still")
        await asyncio.sleep(FREEZE_S)
        frozen.send_signal(signal.SIGCONT)
        deployment.note(f"{frozen.name} goes on")
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
