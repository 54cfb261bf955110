"""An entry of another writer that lacks fields, and the address it names.

See claim.txt. The rule is DENIED: proper requests end with a 404.
"""

from __future__ import annotations

import asyncio
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "common-2"))

import fleet
import standins

STABLE_S = 3.0


class OtherServer(standins.HttpServer):
    """Server that is no replica and has none of the paths it is asked for."""

    def __init__(self) -> None:
        super().__init__()
        self.asked: list[str] = []

    async def handle(self, method, target, headers, body, reader, writer):
        self.asked.append(f"{method} {target}")
        headers = [("Connection", "close")]
        standins.write_answer(writer, 404, b"not found", headers)
        await writer.drain()
        return False


async def send(one, number: int) -> standins.Answer:
    gateway = one.gateways[number % len(one.gateways)]
    method, route = ("POST", "write") if number % 2 else ("GET", "read")
    return await standins.request(
        gateway.front,
        method,
        f"/{route}/{number}",
        {
            "Host": "h.example",
            "Request-Id": f"r{number}",
            "Deadline-Ms": "2500",
            "Key": "key-1",
        },
        b"record" if method == "POST" else b"",
    )


async def send_for(one, seconds: float, first: int) -> list[standins.Answer]:
    until_s = time.monotonic() + seconds
    tasks = []
    while time.monotonic() < until_s:
        tasks.append(asyncio.create_task(send(one, first + len(tasks))))
        await asyncio.sleep(0.025)
    return await asyncio.gather(*tasks)


async def main() -> int:
    one = fleet.Fleet(__file__, gateways=2)
    other = OtherServer()
    try:
        await one.store.listen()
        await other.listen()
        for number in range(4):
            await one.add_replica(standins.Replica(f"i-{number}aa", "app"))
        await one.start(fleet.make_config())
        before = await send_for(one, STABLE_S + 1.0, 0)
        if any(a.status != 200 for a in before):
            one.write_record("could not run: requests fail without trouble")
            return 2
        one.note(f"{len(before)} requests answered with 200")
        if fleet.TROUBLE:
            entry = {
                "service": "app",
                "address": other.address,
                "zone": "z1",
                "state": "ready",
            }
            await one.store.put("servers/i-000", json.dumps(entry).encode())
            one.note(f"another writer puts servers/i-000: {json.dumps(entry)}")
        answers = await send_for(one, 10.0, len(before))
        ends: dict[int, int] = {}
        for answer in answers:
            ends[answer.status] = ends.get(answer.status, 0) + 1
        total = len(before) + len(answers)
        allowed = 5 + total / 500
        ran = sum(len(r.runs) for r in one.replicas)
        one.note(f"answers by status: {ends}; runs at the replicas: {ran}")
        one.note(
            f"requests that reached the other server: {len(other.asked)}, "
            f"of them POST: {sum(a.startswith('POST') for a in other.asked)}"
        )
        one.note(
            f"404 without a Replica-Stamp: {ends.get(404, 0)} of {total} "
            f"requests, allowed {allowed:.1f}"
        )
        if ends.get(404, 0) > allowed:
            one.write_record("DENIED broken")
            return 1
        one.write_record("DENIED held")
        return 0
    finally:
        other.close()
        await one.stop()


if __name__ == "__main__":
    sys.exit(fleet.run_case(main))
