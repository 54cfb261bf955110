"""A gateway stands still in a drill, right after it has drawn tokens."""

from __future__ import annotations

import asyncio
import json
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-4"))

import budgets  # noqa: E402
import rig  # noqa: E402

PREPAID = 1_000_000
PROMPT, OUTPUT = 1_980, 20
BURST = 180
CLIENTS = 48
DEADLINE_S = 6.0
COPY_AGE_S = 1.0
AWAY_S = 0.5
FREEZE_S = 4.0
# Clients reach other gateways once the platform has found this one not ready.
REROUTE_S = 2.0
POOL = "cyclamenwing/pools/t1"


class DrawWatch:
    """Wait until one gateway has drawn many tokens in a burst."""

    def __init__(self, gateway: str, tokens: int) -> None:
        self._prefix = gateway + "-"
        self._tokens = tokens
        self._before: int | None = None
        self.seen = asyncio.Event()

    def read(self, pool: bytes) -> int:
        """Return what a pool lists for the gateway."""
        return sum(
            tokens
            for holder, tokens in json.loads(pool)["drawn"].items()
            if holder.startswith(self._prefix)
        )

    def arm(self, pool: bytes) -> None:
        """Count from a pool as it is now."""
        self._before = self.read(pool)

    def watch(self, writes: dict[str, bytes]) -> None:
        """Compare a commit's pool with the one before the burst."""
        if self._before is None or POOL not in writes:
            return
        if self.read(writes[POOL]) - self._before >= self._tokens:
            self.seen.set()


async def drill(
    deployment: rig.Deployment, tenant: budgets.Tenant, watch: DrawWatch
) -> None:
    """Stop the gateway that draws; the store comes back older meanwhile."""
    frozen = deployment.gateways[0]
    store = deployment.store
    copy = store.copy()
    await asyncio.sleep(COPY_AGE_S)
    watch.arm(store.items[POOL][0])
    tenant.targets = [frozen]
    tenant.start_clients(BURST, DEADLINE_S)
    await watch.seen.wait()
    tenant.let_clients_stop()
    await asyncio.sleep(0.015)
    frozen.send_signal(signal.SIGSTOP)
    stopped_s = time.monotonic()
    await store.set_mode("silent")
    pool = json.loads(store.items[POOL][0])["drawn"]
    deployment.note(f"{frozen.name} stands still, the store is away: {pool}")
    await asyncio.sleep(AWAY_S)
    await store.restore(copy)
    await store.set_mode("")
    pool = json.loads(store.items[POOL][0])["drawn"]
    deployment.note(f"the store is back, {COPY_AGE_S} s older: {pool}")
    await asyncio.sleep(stopped_s + REROUTE_S - time.monotonic())
    tenant.targets = deployment.gateways[1:]
    tenant.start_clients(CLIENTS, DEADLINE_S)
    await asyncio.sleep(stopped_s + FREEZE_S - time.monotonic())
    pool = json.loads(store.items[POOL][0])["drawn"]
    frozen.send_signal(signal.SIGCONT)
    deployment.note(f"{frozen.name} goes on: {pool}")


async def play(deployment: rig.Deployment, trouble: bool) -> bool:
    """Return whether the tenant got more than it had paid for."""
    store = deployment.store
    store.era = 0
    replicas = [rig.Replica(f"i-{n}", "llm", f"z{n % 4 + 1}") for n in range(4)]
    watch = DrawWatch("front-1", 60_000)
    store.watch_commit = watch.watch
    await deployment.open(budgets.make_config(PREPAID, 500), replicas, 4)
    await asyncio.sleep(5.0)
    tenant = budgets.Tenant(deployment, PREPAID, PROMPT, OUTPUT)
    tenant.pause_s = (0.4, 0.4)
    if trouble:
        await drill(deployment, tenant, watch)
    tenant.targets = list(deployment.gateways)
    tenant.start_clients(CLIENTS, DEADLINE_S)
    while tenant.statuses.get(402, 0) < 200:
        await asyncio.sleep(0.2)
    await asyncio.sleep(3.0)
    await tenant.stop_clients()
    deployment.note(f"pool in the store: {json.loads(store.items[POOL][0])}")
    deployment.note(
        f"{PREPAID} tokens were paid for, {tenant.consumed} consumed at "
        f"replicas, {tenant.delivered} of them in answers that clients got "
        f"whole; statuses {tenant.statuses}"
    )
    return tenant.delivered > PREPAID


rig.run_case(FOLDER, play)
