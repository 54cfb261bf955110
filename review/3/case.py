"""A cut of the store, then the final fault: what was paid for is gone."""

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
import proxy  # noqa: E402
import replica  # noqa: E402
import store  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GATEWAYS = 4
KEY = "k1"
# `panel-questions` of the first sheet: prompt tokens, most output tokens.
PROMPT, OUTPUT = 1460, 172
PREPAID = 1_000_000
REQUESTS_PER_S = 13.0
# Seconds after the start of traffic.
CUT_S, FAULT_S, HEALED_S = 8.0, 16.0, 16.7
RESTART_AFTER_S = 1.0
RECOVERY_S = float(fleet.BOUNDS["recovery_s"])
SETTLE_S = fleet.BOUNDS["settle_ms"] / 1000
JUDGED_S = 30.0
LENGTH_S = FAULT_S + RESTART_AFTER_S + RECOVERY_S + JUDGED_S
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
        "tenants": [{"name": "t1", "api_keys": [KEY], "priority": 1,
                     "prepaid": PREPAID}],
    }).encode()


class Sent:
    """Hold one request and what its client saw."""

    def __init__(self, gateway, at_s):
        self.gateway, self.at_s = gateway, at_s
        self.answer = None

    @property
    def served(self):
        return self.answer.status == 200 and self.answer.whole

    def bound(self, now_s):
        """Return what it may have cost at most, as the rules count it."""
        answer = self.answer
        if answer.status in (402, 429, 503):
            return 0
        if now_s - answer.ended_s < SETTLE_S or not answer.whole:
            return PROMPT + OUTPUT
        return PROMPT + 4 * answer.events


async def case():
    loop = asyncio.get_running_loop()
    choices = random.Random(5)
    record = fleet.Record(FOLDER)
    platform = store.Store()
    address = await platform.start()
    proxies = [proxy.Proxy(address) for _ in range(GATEWAYS)]
    addresses = [await p.start() for p in proxies]
    runs = []
    replicas = [replica.Replica(platform, runs, f"i-m{i}", "model", f"z{i}",
                                slots=64) for i in (1, 2, 3)]
    for item in replicas:
        await item.start()
    platform.put("op/config", make_config())
    gateways = fleet.Fleet(GATEWAYS, addresses)
    sent, tasks, marks = [], [], {}

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

    async def disturb():
        await asyncio.sleep(CUT_S)
        if TROUBLE:
            record.write("all machines are cut off from the store")
            for item in proxies:
                item.cut()
        await asyncio.sleep(FAULT_S - CUT_S)
        marks["fault"] = loop.time()
        if TROUBLE:
            record.write("final fault: all processes are killed")
            await asyncio.gather(*(g.kill() for g in gateways.gateways))
        await asyncio.sleep(HEALED_S - FAULT_S)
        if TROUBLE:
            record.write("the cut ends")
            for item in proxies:
                item.heal()
        await asyncio.sleep(RESTART_AFTER_S - (HEALED_S - FAULT_S))
        if TROUBLE:
            await asyncio.gather(*(g.start() for g in gateways.gateways))
            record.write("all processes are started again")
            # The sockets of a machine are back once its process listens.
            if not await gateways.wait_ready():
                raise fleet.CannotRun("not ready after the final fault")
        marks["back"] = loop.time()
        record.write("all machines are back and ready")

    try:
        await gateways.start()
        await asyncio.sleep(3.0)
        began_s = loop.time()
        record.write("traffic starts")
        trouble = asyncio.ensure_future(disturb())
        number = 0
        while loop.time() < began_s + LENGTH_S:
            number += 1
            tasks.append(asyncio.ensure_future(
                ask(choices.choice(gateways.gateways), number)))
            await asyncio.sleep(choices.expovariate(REQUESTS_PER_S))
        await asyncio.gather(trouble, *tasks)
    finally:
        await gateways.stop()
        for item in proxies:
            item.stop()
        for item in replicas:
            await item.stop()
        await platform.stop()

    before = [i for i in sent if i.at_s < marks["fault"]]
    judged_s = marks["back"] + RECOVERY_S
    after = []
    for number, item in enumerate(sent, 1):
        answer = item.answer
        used = sum(other.bound(answer.ended_s) for other in sent
                   if other.at_s < answer.ended_s and other is not item)
        fit = used + PROMPT + OUTPUT <= MOST_USED * PREPAID
        judged = item.at_s > judged_s and fit
        if judged:
            after.append(item)
        record.write(f"r{number} sent to {item.gateway.name}: status "
                     f"{answer.status}, {answer.events} events, used by then "
                     f"{used} of {PREPAID}" + (": judged" if judged else ""),
                     item.at_s)
    served_before = sum(i.served for i in before) / len(before)
    served = sum(i.served for i in after)
    got = sum(PROMPT + 4 * i.answer.events for i in sent
              if i.answer.status == 200)
    refused = sum(i.answer.status == 402 for i in after)
    text = (f"{served_before:.2f} were served before the final fault; of "
            f"{len(after)} that fit and were sent later than recovery_s after "
            f"the machines were back {served} were served, {refused} got 402;"
            f" the tenant got {got} of {PREPAID} tokens")
    record.write(text)
    print(text)
    if len(after) < 20 or served_before < 0.25:
        raise fleet.CannotRun("too few requests to judge")
    return served < len(after) / 4


fleet.run(case)
