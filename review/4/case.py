"""A machine is removed for good; what its tenant had paid is refused."""

import asyncio
import json
import os
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import fleet  # noqa: E402
import http11  # noqa: E402
import replica  # noqa: E402
import store  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GATEWAYS = 4
TENANT, KEY = "t1", "k1"
# `panel-questions` of the first sheet: prompt tokens, most output tokens.
PROMPT, OUTPUT = 1460, 172
PREPAID = 600_000
REQUESTS_PER_S = 14.0
REMOVED_AFTER_S = 8.0
LENGTH_S = 45.0
STABLE_S = fleet.BOUNDS["stable_ms"] / 1000
SETTLE_S = fleet.BOUNDS["settle_ms"] / 1000
MOST_USED = 0.97


def make_config():
    return json.dumps({
        "version": 11,
        "routes": [{
            "name": "panel", "host": "a.example", "prefix": "/panel/",
            "kind": "streaming", "service": "model", "timeout_ms": 12000,
            "goal_ms": 500, "gap_goal_ms": 300, "attempts": 1, "priority": 2,
            "sticky": True}],
        "services": [{
            "name": "model", "health_path": "/health", "max_conns": 360,
            "engine": {"slots": 64, "kv_capacity": 381593, "stride": 4}}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1,
                     "prepaid": PREPAID}],
    }).encode()


class Sent:
    """Hold one request and what its client saw."""

    def __init__(self, gateway, at_s):
        self.gateway, self.at_s = gateway, at_s
        self.answer = None

    def bound(self, now_s):
        """Return what it may have cost at most, as the rules count it."""
        answer = self.answer
        if now_s - answer.ended_s < SETTLE_S and answer.status != 402:
            return PROMPT + OUTPUT
        if answer.status in (402, 429, 503):
            return 0
        if answer.whole:
            return PROMPT + 4 * answer.events
        return PROMPT + OUTPUT


async def case():
    loop = asyncio.get_running_loop()
    choices = random.Random(7)
    record = fleet.Record(FOLDER)
    platform = store.Store()
    address = await platform.start()
    runs = []
    replicas = [replica.Replica(platform, runs, f"i-m{i}", "model", f"z{i}",
                                slots=64) for i in (1, 2, 3)]
    for item in replicas:
        await item.start()
    platform.put("op/config", make_config())
    gateways = fleet.Fleet(GATEWAYS, [address] * GATEWAYS)
    sent = []
    tasks = []

    async def ask(gateway, number):
        item = Sent(gateway, loop.time())
        sent.append(item)
        client = http11.Client(gateway.front)
        item.answer = await client.send(
            "POST", "/panel/x", [
                ("Host", "a.example"), ("Request-Id", f"r{number}"),
                ("Deadline-Ms", 12000), ("Key", KEY), ("Model", "m"),
                ("Token-Counts", f"{PROMPT},{OUTPUT}"),
                ("Prompt-Prefix", f"{number:08x}:{PROMPT}")], b"body", 13.0)
        client.close()

    try:
        await gateways.start()
        await asyncio.sleep(4.0)
        began_s = loop.time()
        record.write("traffic starts")
        removed_s = None
        live = list(gateways.gateways)
        number = 0
        while (now_s := loop.time()) < began_s + LENGTH_S:
            if TROUBLE and not removed_s and now_s > began_s + REMOVED_AFTER_S:
                removed_s = now_s
                record.write(f"{live[-1].name} is removed for good")
                await live[-1].kill()
                # The platform sends no new connections to it.
                del live[-1]
            number += 1
            tasks.append(asyncio.ensure_future(
                ask(choices.choice(live), number)))
            await asyncio.sleep(choices.expovariate(REQUESTS_PER_S))
        await asyncio.gather(*tasks)
    finally:
        await gateways.stop()
        for item in replicas:
            await item.stop()
        await platform.stop()

    denied = 0
    for number, item in enumerate(sent, 1):
        answer = item.answer
        used = sum(other.bound(answer.ended_s) for other in sent
                   if other.at_s < answer.ended_s and other is not item)
        fits = used + PROMPT + OUTPUT <= MOST_USED * PREPAID
        wrong = answer.status == 402 and fits
        denied += wrong
        record.write(f"r{number} sent to {item.gateway.name}: status "
                     f"{answer.status}, {answer.events} events, used by then "
                     f"{used} of {PREPAID}" + (": DENIED" if wrong else ""),
                     item.at_s)
    allowed = 5 + len(sent) / 500
    got = sum(PROMPT + 4 * i.answer.events for i in sent
              if i.answer.status == 200)
    text = (f"{denied} of {len(sent)} requests were refused with 402 though "
            f"they fit ({allowed:.1f} allowed); the tenant got {got} of "
            f"{PREPAID} tokens")
    record.write(text)
    print(text)
    return denied > allowed


fleet.run(case)
