"""A gateway is killed as the store returns from an older copy.

Several tenants send one large request each to the same gateway. It draws the
tokens, and the requests run and are answered. Then the gateway is killed, and
the store is away for a second and comes back from a copy some two seconds old.
This happens three times, with other tenants and another gateway. Then all
tenants go on at all gateways until these refuse for good.
"""

import asyncio
import json
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

import lib  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GATEWAYS = ("g0", "g1", "g2", "g3")
VICTIMS = ("g0", "g1", "g2")
TENANTS_PER_VICTIM = 8
TENANTS = [f"t{n}" for n in range(len(VICTIMS) * TENANTS_PER_VICTIM)]
PREPAID = 60_000
LARGE = (24_000, 12)
SMALL = (1_110, 12)
TOKENS_PER_EVENT = 4
COPY_AGE_S = 2.0
AWAY_S = 1.0
STAGGER_S = 0.01
RESTART_S = 0.5
# Until the gateways draw from the restored pools again.
SETTLE_S = 6.0
SPEND_S = 45.0


def make_configuration():
    return json.dumps({
        "version": 1,
        "routes": [
            {
                "name": "chat",
                "host": lib.HOST,
                "prefix": "/chat/",
                "kind": "streaming",
                "service": "llm",
                "timeout_ms": 10_000,
                "goal_ms": 1000,
                "sticky": True,
            }
        ],
        "services": [
            {
                "name": "llm",
                "engine": {"slots": 64, "kv_capacity": 400_000, "stride": 4},
            }
        ],
        "tenants": [
            {"name": name, "api_keys": [f"key-{name}"], "prepaid": PREPAID}
            for name in TENANTS
        ],
    }).encode()


class Clients:
    """Send requests and count what each tenant consumes."""

    def __init__(self, fleet, record):
        self._fleet, self._record = fleet, record
        self._number = 0
        self.consumed = dict.fromkeys(TENANTS, 0)

    async def send(self, tenant, host, size):
        self._number += 1
        request = f"{self._number:016x}"
        prompt, output = size
        headers = {
            "Request-Id": request,
            "Model": "m",
            "Token-Counts": f"{prompt},{output}",
            "Prompt-Prefix": f"{self._number:x}:{prompt}",
            "Deadline-Ms": "10000",
            "Key": f"key-{tenant}",
        }
        try:
            status, _, body = await lib.call(
                self._fleet.settings[host]["listen"],
                "POST",
                "/chat/1",
                headers,
                b"p" * 100,
            )
        except OSError as err:
            self._record.write(f"{request} {tenant} {host} {err}")
            return 0
        events = body.count(b"\n\n") if status == 200 else 0
        if status == 200:
            self.consumed[tenant] += prompt + min(
                events * TOKENS_PER_EVENT, output
            )
        self._record.write(
            f"{request} {tenant} {host} tokens {prompt},{output} "
            f"status {status} events {events}"
        )
        return status

    async def spend(self, tenant, hosts, until_s):
        """Send small requests until all gateways refuse for good."""
        refused = 0
        number = TENANTS.index(tenant)
        while time.monotonic() < until_s and refused < 2 * len(hosts):
            number += 1
            status = await self.send(tenant, hosts[number % len(hosts)], SMALL)
            refused = refused + 1 if status == 402 else 0
            if status != 200:
                await asyncio.sleep(0.3)


async def case(record, work):
    store = lib.Store()
    await store.start()
    replicas = [lib.Replica(f"m{n}", "llm") for n in range(2)]
    for replica in replicas:
        await replica.start()
        await store.put(f"servers/{replica.name}", replica.describe())
    await store.put("op/config", make_configuration())
    fleet = lib.Fleet(work, store)
    for host in GATEWAYS:
        fleet.add(host)
    clients = Clients(fleet, record)
    waiting = iter(TENANTS)

    async def burst(host):
        tasks = []
        for _ in range(TENANTS_PER_VICTIM):
            tasks.append(
                asyncio.create_task(clients.send(next(waiting), host, LARGE))
            )
            await asyncio.sleep(STAGGER_S)
        await tasks[-1]
        if TROUBLE:
            await fleet.kill(host)
            store.stop_serving()
            record.write(f"{host} is killed, the store is away")
        await asyncio.gather(*tasks)

    try:
        await fleet.start_all()
        await asyncio.sleep(5.0)
        for host in VICTIMS:
            copy = store.copy()
            await asyncio.sleep(COPY_AGE_S - AWAY_S)
            await burst(host)
            if TROUBLE:
                await asyncio.sleep(RESTART_S)
                await fleet.start(host, bootstrap=False)
                await asyncio.sleep(AWAY_S - RESTART_S)
                await store.return_from(copy)
                record.write(f"the store is back, era {store.era}")
            await asyncio.sleep(SETTLE_S)
        until_s = time.monotonic() + SPEND_S
        await asyncio.gather(
            *(clients.spend(t, GATEWAYS, until_s) for t in TENANTS)
        )
    finally:
        await fleet.stop_all()
    for replica in replicas:
        for run in replica.runs:
            record.write(f"run {run['id']} {run['tenant']} at {replica.name}")
    over = {t: n for t, n in clients.consumed.items() if n > PREPAID}
    record.write(f"consumed, of {PREPAID} prepaid each: {clients.consumed}")
    record.write(f"more than prepaid: {over}")
    if not any(clients.consumed.values()):
        return 2
    return 1 if over else 0


if __name__ == "__main__":
    sys.exit(lib.run_case(FOLDER, case))
