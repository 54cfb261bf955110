"""A gateway is killed in a store outage while another one stood still."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-3"))

import budgets  # noqa: E402
import rig  # noqa: E402

PREPAID = 1_000_000
PROMPT, OUTPUT = 2_980, 20
CLIENTS = 40
DEADLINE_S = 3.0
# Times from the beginning of the outage.
FREEZE_AT_S = 2.0
KILL_AT_S = 3.95
RESTART_AT_S = 4.8
# The freeze and the outage end.
END_AT_S = 5.55
RECORDS = "cyclamenwing/holders/"


async def choose(deployment: rig.Deployment) -> tuple[rig.Gateway, rig.Gateway]:
    """Return a gateway that holds tokens of the tenant, and one that doesn't.

    Both have a record in the store, so both are delegates.
    """
    drawn = deployment.store.read_json("cyclamenwing/pools/")["t1"]["drawn"]
    held = {name.rpartition("-")[0]: n for name, n in drawn.items() if n > 0}
    records = deployment.store.read_json(RECORDS)
    deployment.note(f"held {held}; records of {sorted(records)}")
    by_name = {gateway.name: gateway for gateway in deployment.gateways}
    holder = max(held, key=lambda name: held[name])
    other = min(name for name in records if name not in held)
    return by_name[holder], by_name[other]


async def disturb(
    deployment: rig.Deployment,
    tenant: budgets.Tenant,
    holder: rig.Gateway,
    other: rig.Gateway,
) -> None:
    """Take the store down, stop one gateway for a while and kill another."""
    store = deployment.store
    key = RECORDS + holder.name
    renewed = store.items[key][1]
    while store.items[key][1] == renewed:
        await asyncio.sleep(0.005)
    await asyncio.sleep(0.05)
    started_s = time.monotonic()

    async def wait_until(at_s: float) -> None:
        await asyncio.sleep(max(started_s + at_s - time.monotonic(), 0.0))

    await store.set_mode("busy")
    deployment.note("the store is down")
    tenant.start_clients(CLIENTS, DEADLINE_S)
    await wait_until(FREEZE_AT_S)
    other.send_signal(signal.SIGSTOP)
    deployment.note(f"{other.name} stands still")
    await wait_until(KILL_AT_S)
    holder.kill()
    deployment.note(f"{holder.name} is killed; consumed {tenant.consumed}")
    tenant.let_clients_stop()
    await wait_until(RESTART_AT_S)
    holder.start(deployment.seeds)
    deployment.note(f"{holder.name} starts again")
    await wait_until(END_AT_S)
    other.send_signal(signal.SIGCONT)
    await store.set_mode("")
    deployment.note(f"{other.name} goes on, the store is back")
    await tenant.stop_clients()
    await holder.wait_ready()
    await asyncio.sleep(3.0)


async def play(deployment: rig.Deployment, trouble: bool) -> bool:
    """Return whether the tenant got more than it had paid for."""
    replicas = [rig.Replica(f"i-{n}", "llm", f"z{n % 4 + 1}") for n in range(4)]
    await deployment.open(budgets.make_config(PREPAID, 500), replicas, 6)
    await asyncio.sleep(5.0)
    tenant = budgets.Tenant(deployment, PREPAID, PROMPT, OUTPUT)
    tenant.pause_s = (0.0, 0.1)
    holder, other = await choose(deployment)
    tenant.targets = [holder]
    if trouble:
        await disturb(deployment, tenant, holder, other)
    tenant.targets = list(deployment.gateways)
    tenant.start_clients(CLIENTS, DEADLINE_S)
    while tenant.statuses.get(402, 0) < 300:
        await asyncio.sleep(0.2)
    await tenant.stop_clients()
    pools = deployment.store.read_json("cyclamenwing/pools/")
    deployment.note(f"pools in the store: {pools}")
    deployment.note(
        f"{PREPAID} tokens were paid for, {tenant.consumed} consumed at "
        f"replicas, {tenant.delivered} of them in answers that clients got "
        f"whole; statuses {tenant.statuses}"
    )
    return tenant.delivered > PREPAID


rig.run_case(FOLDER, play)
