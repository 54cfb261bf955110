"""An entry of another writer that can't be read, beside a replica that drains.

See claim.txt. The rule is DRAIN: a request reaches a replica later than
`drain_ms` after the store has acknowledged that the replica is draining.
"""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "common-2"))

import fleet
import standins

DRAIN_MS = fleet.FIELDS["bounds"]["drain_ms"]
# A draining replica serves on for `drain_ms` and at times many seconds.
SERVES_ON_S = 6.0
# Time in which a gateway that starts must be ready.
START_S = 15.0


async def send_requests(one, answers, until_s: float) -> None:
    number = 0
    while time.monotonic() < until_s:
        number += 1
        gateway = one.gateways[number % len(one.gateways)]
        answers.append(
            await standins.request(
                gateway.front,
                "GET",
                f"/read/{number}",
                {
                    "Host": "h.example",
                    "Request-Id": f"r{number}",
                    "Deadline-Ms": "2500",
                    "Key": "key-1",
                },
            )
        )
        await asyncio.sleep(0.03)


async def main() -> int:
    one = fleet.Fleet(__file__, gateways=2)
    try:
        await one.store.listen()
        for number in range(4):
            await one.add_replica(standins.Replica(f"i-{number}aa", "app"))
        await one.start(fleet.make_config())
        answers: list[standins.Answer] = []
        # Machines are in touch after `stable_ms`.
        await send_requests(one, answers, time.monotonic() + 4.0)
        if any(a.status != 200 for a in answers):
            one.write_record("could not run: requests fail without trouble")
            return 2
        one.note(f"{len(answers)} requests answered with 200")
        if fleet.TROUBLE:
            # Bytes that no decoder can read.
            unreadable = b'{"entry":' * 1500
            await one.store.put("servers/i-0000", unreadable)
            one.note(
                "another writer puts servers/i-0000, "
                f"{len(unreadable)} bytes that can't be read"
            )
        await send_requests(one, answers, time.monotonic() + 3.0)
        leaving = one.replicas[0]
        leaving.state = "draining"
        acked_s = await one.store.put(
            f"servers/{leaving.name}", leaving.entry()
        )
        one.note(f"the store acknowledges that {leaving.name} is draining")
        await send_requests(one, answers, acked_s + SERVES_ON_S)
        late = [
            at - acked_s
            for at, _, _ in leaving.arrivals
            if at - acked_s > DRAIN_MS / 1000
        ]
        leaving.state = "gone"
        leaving.close()
        await one.store.put(f"servers/{leaving.name}", None)
        one.note(f"{leaving.name} exits and its entry is removed")
        # All others are replaced as well; new ones start first.
        for number in range(1, 4):
            await one.add_replica(standins.Replica(f"i-{number}bb", "app"))
        for old in one.replicas[1:4]:
            old.state = "draining"
            await one.store.put(f"servers/{old.name}", old.entry())
        one.note("three new replicas are ready, the three others drain")
        await send_requests(one, answers, time.monotonic() + 4.0)
        for old in one.replicas[1:4]:
            old.state = "gone"
            old.close()
            await one.store.put(f"servers/{old.name}", None)
        one.note("they exit")
        after = len(answers)
        await send_requests(one, answers, time.monotonic() + 4.0)
        failed = sum(a.status != 200 for a in answers[after:])
        one.note(
            f"{len(late)} requests reached {leaving.name} later than "
            f"{DRAIN_MS} ms, the last after {max(late, default=0):.2f} s"
        )
        one.note(
            f"after the release {failed} of {len(answers) - after} requests "
            "got no success, though three replicas are ready"
        )
        restarted = one.gateways[0]
        restarted.send(signal.SIGTERM)
        await restarted.process.wait()
        await restarted.start()
        began_s = time.monotonic()
        ready = False
        while not ready and time.monotonic() - began_s < START_S:
            await asyncio.sleep(0.2)
            ready = await restarted.is_ready()
        took_s = time.monotonic() - began_s
        one.note(
            f"{restarted.name} is started again: "
            + (
                f"ready after {took_s:.1f} s"
                if ready
                else f"not ready in {took_s:.0f} s"
            )
        )
        failures = one.gateways[0].events("task:failed")
        one.note(f"gateway log: task:failed {len(failures)} times")
        for item in failures[:1]:
            one.note(f"  {item['task']}: {item['reason']}")
        if late:
            one.write_record("DRAIN broken")
            return 1
        one.write_record("DRAIN held")
        return 0
    finally:
        await one.stop()


if __name__ == "__main__":
    sys.exit(fleet.run_case(main))
