"""Under load a request that crashes replicas is known to one machine only."""

import asyncio
import collections
import json
import os
import pathlib
import random
import sys
import zlib

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import fleet  # noqa: E402
import http11  # noqa: E402
import replica  # noqa: E402
import store  # noqa: E402

# Without the disruption, no request crashes a replica.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GATEWAYS = 4
KEY = "k1"
# Requests that crash replicas come one after the other. One comes again
# after this pause, sooner if it was refused, until all machines refuse it.
CRASH_PAUSE_S = 3.3
REFUSED_PAUSE_S = 0.5
POISON_FROM_S, POISON_UNTIL_S = 8.0, 92.0
BACK_AFTER_S = 4.0
REPLICAS = 6
SLOTS = 128
# Streams of 40 events, 0.29 s apart.
EVENTS = 40
GAP_S = 0.29
STREAMS_PER_S = 48.0
STABLE_S = fleet.BOUNDS["stable_ms"] / 1000
LENGTH_S = POISON_UNTIL_S
MOST_RETRIES = 3


def make_config():
    return json.dumps({
        "version": 11,
        "routes": [{
            "name": "panel", "host": "a.example", "prefix": "/panel/",
            "kind": "streaming", "service": "model", "timeout_ms": 15000,
            "goal_ms": 500, "gap_goal_ms": 300, "attempts": 1, "priority": 2,
            "sticky": True}],
        "services": [{
            "name": "model", "health_path": "/health", "max_conns": 620,
            "engine": {"slots": SLOTS, "kv_capacity": 381593, "stride": 4}}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "t1", "api_keys": [KEY], "priority": 1}],
    }).encode()


class CrashingReplica(replica.Replica):
    """Come back some seconds after a crash, as a new incarnation."""

    def __init__(self, *args, record, **options):
        super().__init__(*args, **options)
        self.record, self.tasks, self.over = record, [], False
        self.incarnation = 1

    async def crash(self):
        self.record.write(f"{self.name} crashes, {self._running - 1} other "
                          "requests run there")
        await super().crash()
        self.tasks.append(asyncio.ensure_future(self._come_back()))

    async def _come_back(self):
        former = self.name
        # Its entry goes after three heartbeats of 1.2 s.
        await asyncio.sleep(3.6)
        self.store.put(f"servers/{former}", None)
        await asyncio.sleep(BACK_AFTER_S - 3.6)
        if not self.over:
            self.incarnation += 1
            self.name = f"{former.partition('.')[0]}.{self.incarnation}"
            await self.start()
            self.record.write(f"{self.name} is back")


async def case():
    loop = asyncio.get_running_loop()
    choices = random.Random(11)
    replica.STEP_S = GAP_S
    record = fleet.Record(FOLDER)
    platform = store.Store()
    address = await platform.start()
    runs = []
    replicas = [
        CrashingReplica(platform, runs, f"i-{i}", "model", f"z{i}",
                        slots=SLOTS, record=record)
        for i in range(1, REPLICAS + 1)]
    for item in replicas:
        item.poison = b"poison" if TROUBLE else None
        await item.start()
    platform.put("op/config", make_config())
    gateways = fleet.Fleet(GATEWAYS, [address] * GATEWAYS)
    sent = {}

    async def ask(request, gateway, body):
        client = http11.Client(gateway.front)
        at_s = loop.time()
        answer = await client.send("POST", "/panel/x", [
            ("Host", "a.example"), ("Request-Id", request),
            ("Deadline-Ms", 15000), ("Key", KEY), ("Model", "m"),
            ("Token-Counts", f"1460,{EVENTS * 4}"),
            ("Prompt-Prefix", f"{zlib.crc32(request.encode()):08x}:1460")],
            body, 16.0)
        client.close()
        sent[request] = (gateway, at_s, answer)

    async def press():
        tasks, count = [], 0
        while loop.time() < until_s:
            count += 1
            tasks.append(asyncio.ensure_future(ask(
                f"sound{count}", choices.choice(gateways.gateways),
                b"sound %d" % count)))
            await asyncio.sleep(choices.expovariate(STREAMS_PER_S))
        await asyncio.gather(*tasks)

    async def repeat():
        """Send such requests again and again, at the next machine each."""
        began_s = loop.time()
        await asyncio.sleep(POISON_FROM_S)
        number, refused, count = 1, 0, 0
        while loop.time() < began_s + POISON_UNTIL_S:
            count += 1
            request = f"poison{number}-{count}"
            await ask(request, gateways.gateways[count % GATEWAYS],
                      b"poison %d" % number)
            refused = refused + 1 if sent[request][2].status == 503 else 0
            if refused >= GATEWAYS:
                number, refused = number + 1, 0
            await asyncio.sleep(REFUSED_PAUSE_S if refused else CRASH_PAUSE_S)

    try:
        await gateways.start()
        await asyncio.sleep(2.0)
        record.write("traffic starts")
        until_s = loop.time() + LENGTH_S
        await asyncio.gather(press(), repeat())
    finally:
        await gateways.stop()
        for item in replicas:
            item.over = True
            for task in item.tasks:
                task.cancel()
            await item.stop()
        await platform.stop()

    by_id = {run.id: run for run in runs}
    cut = 0
    crashes = collections.defaultdict(list)
    late = collections.Counter()
    for request, (gateway, at_s, answer) in sorted(
            sent.items(), key=lambda item: item[1][1]):
        run = by_id.get(request)
        note = ""
        if request.startswith("poison"):
            number = int(request.removeprefix("poison").partition("-")[0])
            if TROUBLE and run is not None:
                times = crashes[number]
                if len(times) > 2 and run.at_s > times[2] + STABLE_S:
                    late[number] += 1
                    note = ": counts"
                times.append(run.at_s)
        elif answer.whole and answer.status == 200:
            continue
        else:
            cut += answer.status in (200, 502)
        record.write(
            f"{request} sent to {gateway.name}: status {answer.status}, "
            f"{answer.events} events, {'whole' if answer.whole else 'cut'}, "
            f"run by {run.replica if run else 'nobody'}{note}", at_s)
    text = "nothing crashed; " if not crashes else ""
    text += "; ".join(
        f"request {number} crashed {len(times)} replicas, {late[number]} of "
        "them later than stable_ms after the third crash"
        for number, times in crashes.items())
    text += (f" ({MOST_RETRIES} allowed); {cut} of {len(sent)} other streams "
             "were cut by the crashes")
    record.write(text)
    print(text)
    if TROUBLE and not any(len(times) > 2 for times in crashes.values()):
        raise fleet.CannotRun("no request crashed three replicas")
    return any(count > MOST_RETRIES for count in late.values())


fleet.run(case)
