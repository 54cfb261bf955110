"""Clients of one tenant with a prepaid budget."""

from __future__ import annotations

import asyncio
import itertools
import random
import time

import rig

PATH = "/a/x"
STRIDE = 4


def make_config(prepaid: int, goal_ms: int) -> dict:
    """Return a configuration with one streaming route and one tenant."""
    return {
        "version": 3,
        "routes": [
            {
                "name": "r1",
                "host": "case.example",
                "prefix": "/a/",
                "kind": "streaming",
                "service": "llm",
                "timeout_ms": 10_000,
                "goal_ms": goal_ms,
                "gap_goal_ms": 300,
                "attempts": 1,
                "priority": 1,
                "sticky": True,
            }
        ],
        "services": [
            {
                "name": "llm",
                "health_path": "/health",
                "max_conns": 360,
                "engine": {
                    "slots": 64,
                    "kv_capacity": 381_593,
                    "stride": STRIDE,
                },
            }
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [
            {"name": "t1", "api_keys": ["key-1"], "prepaid": prepaid}
        ],
    }


class Tenant:
    """Send requests of one tenant and count what they consume."""

    def __init__(
        self,
        deployment: rig.Deployment,
        prepaid: int,
        prompt: int,
        output: int,
    ) -> None:
        self._deployment = deployment
        self.prepaid = prepaid
        self.prompt = prompt
        self.output = output
        self.targets: list[rig.Gateway] = []
        self.pause_s = (0.35, 0.5)
        self.statuses: dict[int, int] = {}
        self.delivered = 0
        self._ids = itertools.count(1)
        # Set to stop the clients that were started before.
        self._stop = asyncio.Event()
        self._clients: list[asyncio.Task[None]] = []

    @property
    def consumed(self) -> int:
        """Return the tokens of all runs, with the events that were sent."""
        return sum(
            run["prompt"] + run["events"] * STRIDE
            for replica in self._deployment.replicas
            for run in replica.runs
        )

    async def ask(
        self, gateway: rig.Gateway, deadline_s: float = 10.0
    ) -> rig.Answer:
        """Send one request and note its answer."""
        number = next(self._ids)
        sent_s = time.time() - self._deployment.started
        parts = f"5c1e07a2:{self.prompt - 300},{number:08x}:300"
        answer = await rig.send(
            gateway.front,
            "POST",
            PATH,
            {
                "Request-Id": f"{number:016x}",
                "Model": "m",
                "Token-Counts": f"{self.prompt},{self.output}",
                "Prompt-Prefix": parts,
                "Deadline-Ms": str(int(deadline_s * 1000)),
                "Key": "key-1",
            },
            timeout_s=deadline_s,
        )
        self.statuses[answer.status] = self.statuses.get(answer.status, 0) + 1
        if answer.status == 200:
            events = answer.body.count(b"data:")
            self.delivered += self.prompt + events * STRIDE
        self._deployment.note(
            f"request {number} to {gateway.name} sent at {sent_s:.3f}: "
            f"{answer.status} {answer.error}; consumed {self.consumed}"
        )
        return answer

    def start_clients(self, count: int, deadline_s: float = 10.0) -> None:
        """Start clients that send one request after the other."""
        self._clients += [
            asyncio.create_task(self._run_client(deadline_s, self._stop))
            for _ in range(count)
        ]

    async def stop_clients(self) -> None:
        """Stop the clients once their last requests are answered."""
        self.let_clients_stop()
        await asyncio.gather(*self._clients)
        self._clients.clear()

    def let_clients_stop(self) -> None:
        """Let the clients that were started send no more requests."""
        self._stop.set()
        self._stop = asyncio.Event()

    async def _run_client(
        self, deadline_s: float, stop: asyncio.Event
    ) -> None:
        served_pause_s, refused_pause_s = self.pause_s
        while not stop.is_set():
            answer = await self.ask(random.choice(self.targets), deadline_s)
            served = answer.status == 200
            await asyncio.sleep(served_pause_s if served else refused_pause_s)

    async def wait_consumed(self, tokens: float) -> None:
        """Wait until the runs have consumed as much."""
        while self.consumed < tokens:
            await asyncio.sleep(0.02)

    async def count_denied(self, gateways: list[rig.Gateway]) -> int:
        """Ask one by one to the end of the budget; count false 402 answers.

        A 402 is false if the request fits, at its most, into 97 in 100 of
        what was paid. One request is under way at a time, and the answer to
        the one before has ended.
        """
        denied = refused = 0
        for number in range(400):
            before = self.consumed
            answer = await self.ask(gateways[number % len(gateways)])
            if answer.status == 402:
                refused += 1
                fits = (
                    before + self.prompt + self.output <= 0.97 * self.prepaid
                )
                denied += fits
            if refused >= 80:
                break
            await asyncio.sleep(0.05 if answer.status == 200 else 0.2)
        return denied
