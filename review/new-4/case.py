"""Replicas read large requests slowly, and a gateway runs out of memory."""

from __future__ import annotations

import asyncio
import itertools
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-4"))

import rig  # noqa: E402

# The smallest `front` machine of the site.
MEMORY_MB = 136
# `max_body_bytes` is 4,194,304. Two uploads a second take 64 of 100 Mbit/s.
BODY_BYTES = 4_000_000
UPLOADS_PER_S = 2
UPLOADS = 32
SLOW_BYTES_PER_S = 200_000
UPLOAD_DEADLINE_MS = 15_000
# Clients that send one request after the other on a kept connection.
CALLERS = 12
WORK_S = 0.3
CALL_DEADLINE_MS = 4_000


def make_route(name: str, prefix: str, kind: str, service: str) -> dict:
    """Return a route that needs no API key."""
    return {
        "name": name,
        "host": "case.example",
        "prefix": prefix,
        "kind": kind,
        "service": service,
        "timeout_ms": UPLOAD_DEADLINE_MS,
        "goal_ms": 800,
        "gap_goal_ms": 250,
        "attempts": 1,
        "priority": 1,
        "public": True,
    }


CONFIG = {
    "version": 3,
    "routes": [
        make_route("r1", "/visit/", "unsafe", "dispatch-app"),
        make_route("r2", "/report/", "streaming", "lm-serve"),
    ],
    "services": [
        {
            "name": "lm-serve",
            "health_path": "/health",
            "max_conns": 730,
            "engine": {"slots": 128, "kv_capacity": 463_002, "stride": 3},
        },
        {"name": "dispatch-app", "health_path": "/health", "max_conns": 220},
    ],
    "limits": {
        "max_header_bytes": 16_384,
        "max_body_bytes": 4_194_304,
        "header_timeout_ms": 3_000,
        "idle_timeout_ms": 15_000,
    },
    "tenants": [],
}


class SlowReader(rig.Replica):
    """Read request bodies at a limited rate; answer as any other replica."""

    bytes_per_s = 0

    async def read_body(self, reader, head) -> bytes:
        left = int(head.headers.get("content-length", 0))
        body = bytearray()
        while left:
            size = min(left, 20_000)
            body += await reader.readexactly(size)
            left -= size
            if self.bytes_per_s:
                await asyncio.sleep(size / self.bytes_per_s)
        return bytes(body)


def read_memory_mb(gateway: rig.Gateway) -> float:
    """Return the resident memory of a gateway's process."""
    try:
        text = pathlib.Path(f"/proc/{gateway.process.pid}/status").read_text()
    except OSError:
        return 0.0
    for line in text.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


class Platform:
    """End a process that exceeds its memory, as the platform does."""

    def __init__(
        self, deployment: rig.Deployment, gateway: rig.Gateway
    ) -> None:
        self._deployment = deployment
        self._gateway = gateway
        self.peak_mb = 0.0
        self.ended = False

    async def watch(self) -> None:
        """Watch the process until it exceeds its memory."""
        while True:
            used_mb = read_memory_mb(self._gateway)
            self.peak_mb = max(self.peak_mb, used_mb)
            if used_mb > MEMORY_MB:
                self._gateway.kill()
                self.ended = True
                self._deployment.note(
                    f"{self._gateway.name} is ended at {used_mb:.0f} MB"
                )
                return
            await asyncio.sleep(0.02)


async def call(
    deployment: rig.Deployment,
    gateway: rig.Gateway,
    name: int,
    lost: list[str],
    stop: asyncio.Event,
) -> None:
    """Book visits on one kept connection; list those without an answer."""
    connection = await rig.Connection.open(gateway.front)
    for number in itertools.count(1):
        request_id = f"{name:08x}{number:08x}"
        answer = await connection.ask(
            "POST",
            "/visit/x",
            {"Request-Id": request_id, "Deadline-Ms": str(CALL_DEADLINE_MS)},
            CALL_DEADLINE_MS / 1000 + 1,
            b"visit",
        )
        if answer.status == 200 and answer.whole:
            if stop.is_set():
                break
            continue
        passed = [
            run["replica"]
            for replica in deployment.replicas
            for run in replica.runs
            if run["id"] == request_id
        ]
        deployment.note(
            f"visit {request_id}, {number - 1} before it on its connection: "
            f"status {answer.status} {answer.error}; run by {passed}"
        )
        if answer.status == 0 and number > 1 and passed:
            lost.append(request_id)
        break
    connection.close()


async def upload(
    gateway: rig.Gateway, number: int, statuses: dict[int, int]
) -> None:
    """Ask for a report on a large document."""
    answer = await rig.send(
        gateway.front,
        "POST",
        "/report/x",
        {
            "Request-Id": f"ffffffff{number:08x}",
            "Model": "m",
            "Token-Counts": "17020,120",
            "Prompt-Prefix": f"5c1e07a2:13300,{number:08x}:3720",
            "Deadline-Ms": str(UPLOAD_DEADLINE_MS),
        },
        b"x" * BODY_BYTES,
        UPLOAD_DEADLINE_MS / 1000 + 1,
    )
    statuses[answer.status] = statuses.get(answer.status, 0) + 1


async def play(deployment: rig.Deployment, trouble: bool) -> bool:
    """Return whether requests that were passed on got no answer."""
    zones = [f"z{number + 1}" for number in range(4)]
    apps = [rig.Replica(f"i-a-{zone}", "dispatch-app", zone) for zone in zones]
    for replica in apps:
        replica.work_s, replica.slots, replica.queue = WORK_S, 6, 24
    engines = [SlowReader(f"i-e-{zone}", "lm-serve", zone) for zone in zones]
    if trouble:
        for replica in engines:
            replica.bytes_per_s = SLOW_BYTES_PER_S
    await deployment.open(
        CONFIG, [*apps, *engines], 4, limits={"memory_mb": MEMORY_MB}
    )
    await asyncio.sleep(3.0)
    gateway = deployment.gateways[0]
    platform = Platform(deployment, gateway)
    watching = asyncio.create_task(platform.watch())
    lost: list[str] = []
    stop = asyncio.Event()
    callers = [
        asyncio.create_task(call(deployment, gateway, name, lost, stop))
        for name in range(1, CALLERS + 1)
    ]
    await asyncio.sleep(3.0)
    statuses: dict[int, int] = {}
    uploads = []
    for number in range(UPLOADS):
        if platform.ended:
            break
        deployment.note(
            f"upload {number + 1} begins; {gateway.name} has "
            f"{read_memory_mb(gateway):.0f} MB"
        )
        uploads.append(
            asyncio.create_task(upload(gateway, number, statuses))
        )
        await asyncio.sleep(1 / UPLOADS_PER_S)
    stop.set()
    await asyncio.gather(*callers, *uploads)
    watching.cancel()
    runs = sum(len(replica.runs) for replica in apps)
    deployment.note(
        f"peak {platform.peak_mb:.0f} of {MEMORY_MB} MB; uploads {statuses}; "
        f"{runs} visits were run; {len(lost)} of kept connections were run "
        f"by sound replicas and got no answer: {lost}"
    )
    return len(lost) > 3


rig.run_case(FOLDER, play)
