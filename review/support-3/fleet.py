"""Gateways started as the deploy file says, and their settings."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import re
import shlex
import shutil
import signal
import tempfile
import time
import tomllib

import standins

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Figures of the settings in DEPLOY.md.
FIELDS = {
    "limits": {
        "memory_mb": 150,
        "max_fds": 4100,
        "link_mbps": 1000.0,
        "cpu_share": 0.817,
        "cpus": 1,
    },
    "bounds": {
        "drain_ms": 2000,
        "grace_s": 8,
        "config_ms": 2000,
        "retry_ratio": 0.2,
        "retry_window_s": 10,
        "retry_slack": 52,
        "settle_ms": 1500,
    },
}


def find(fields, name):
    for part in name.split("."):
        if isinstance(fields, list):
            fields = fields[int(part)] if int(part) < len(fields) else None
        else:
            fields = fields.get(part) if isinstance(fields, dict) else None
        if fields is None:
            return None
    return fields


def render(template: str, fields: dict) -> str:
    """Fill in a settings template as DEPLOY.md says."""

    def section(match):
        value = find(fields, match[1])
        if value in (None, False):
            return ""
        return match[2].replace("{{.}}", str(value))

    text = re.sub(
        r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S
    )

    def value(match):
        found = find(fields, match[1])
        if match[2]:
            return json.dumps(found)
        return "" if found is None else str(found)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)


class Gateway:
    """One process of the role `gateway`."""

    def __init__(self, fleet, name: str, zone: str, **changes) -> None:
        self.name, self.zone = name, zone
        self.front = f"127.0.0.1:{standins.reserve_port()}"
        self.ready = f"127.0.0.1:{standins.reserve_port()}"
        self.control = f"127.0.0.1:{standins.reserve_port()}"
        self.metrics = standins.reserve_port()
        self.fleet = fleet
        self.changes = changes
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0

    async def start(self) -> None:
        fleet = self.fleet
        fields = {
            "node": self.name,
            "zone": self.zone,
            "region": "r1",
            "zones": dict.fromkeys(fleet.zones, "r1"),
            "listen": {
                "front": self.front,
                "ready": self.ready,
                "control": self.control,
            },
            "ip": "127.0.0.1",
            "port_range": [self.metrics, self.metrics],
            "platform": {
                "address": self.changes.get("store", fleet.store.address)
            },
            "seeds": [g.control for g in fleet.gateways[:3]],
            "bootstrap": self.starts == 0 and fleet.bootstrap,
            **FIELDS,
        }
        role = fleet.role
        path = fleet.folder / f"{self.name}.conf"
        template = (ROOT / role["template"]).read_text()
        path.write_text(render(template, fields))
        log = (fleet.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *shlex.split(role["run"]),
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": str(fleet.folder),
                "LANG": "C.UTF-8",
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
                "CYCLAMENWING_CONFIG": str(path),
            },
            stdout=log,
            stderr=log,
        )
        log.close()
        self.starts += 1

    def send(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            await self.process.wait()

    async def is_ready(self) -> bool:
        answer = await standins.request(
            self.ready, "GET", "/v1/ready", {"Host": "x"}, timeout_s=1.0
        )
        return answer.status == 200

    def events(self, kind: str) -> list[dict]:
        """Return the lines of its log of one type."""
        found = []
        path = self.fleet.folder / f"{self.name}.log"
        for line in path.read_bytes().splitlines():
            try:
                item = json.loads(line)
            except ValueError:
                continue
            if item.get("message_type") == kind:
                found.append(item)
        return found


class Fleet:
    """A store, gateways and replicas of a small deployment."""

    def __init__(self, case: str, gateways: int) -> None:
        self.case = pathlib.Path(case).resolve().parent
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.role = deploy["roles"]["gateway"]
        self.zones = ["z1", "z2", "z3", "z4"]
        self.bootstrap = True
        self.store = standins.Store()
        self.replicas: list[standins.Replica] = []
        self.gateways = [
            Gateway(self, f"front-z{n + 1}-1", self.zones[n % 4])
            for n in range(gateways)
        ]
        self.lines: list[str] = []
        self.began_s = time.monotonic()
        self.heart: asyncio.Task | None = None

    def note(self, text: str) -> None:
        """Add a line to the record of this run."""
        at = time.monotonic() - self.began_s
        self.lines.append(f"{at:8.3f} s  {text}")

    def write_record(self, result: str) -> None:
        mode = "with the disruption" if TROUBLE else "without the disruption"
        text = "\n".join([f"run {mode}", *self.lines, result, ""])
        (self.case / "record.txt").write_text(text)

    async def add_replica(self, replica, port: int = 0) -> None:
        await replica.listen(port)
        self.replicas.append(replica)
        await self.store.put(f"servers/{replica.name}", replica.entry())

    async def beat(self, interval_s: float = 1.2) -> None:
        """Write the replicas' entries as they do each `heartbeat_ms`."""
        while True:
            await asyncio.sleep(interval_s)
            for replica in list(self.replicas):
                if replica.state != "gone":
                    await self.store.put(
                        f"servers/{replica.name}", replica.entry()
                    )

    async def start(self, config: dict) -> None:
        """Start the store and all gateways; wait until they are ready."""
        if not self.store.address:
            await self.store.listen()
        await self.store.put("op/config", json.dumps(config).encode())
        for gateway in self.gateways:
            await gateway.start()
        async with asyncio.timeout(30):
            for gateway in self.gateways:
                while not await gateway.is_ready():
                    await asyncio.sleep(0.1)
        self.heart = asyncio.create_task(self.beat())

    async def stop(self) -> None:
        if self.heart is not None:
            self.heart.cancel()
        for gateway in self.gateways:
            await gateway.kill()
        for replica in self.replicas:
            replica.close()
        self.store.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def make_config(**changes) -> dict:
    """Return a configuration with an application and a model service."""
    return {
        "version": 10,
        "routes": [
            {
                "name": "read",
                "host": "h.example",
                "prefix": "/read/",
                "service": "app",
                "kind": "idempotent",
                "timeout_ms": 2500,
                "goal_ms": 200,
                "attempts": 2,
                "priority": 2,
            },
            {
                "name": "write",
                "host": "h.example",
                "prefix": "/write/",
                "service": "app",
                "kind": "unsafe",
                "timeout_ms": 2500,
                "goal_ms": 200,
                "attempts": 1,
                "priority": 2,
            },
            {
                "name": "compare",
                "host": "h.example",
                "prefix": "/compare/",
                "service": "llm",
                "kind": "streaming",
                "timeout_ms": 6000,
                "goal_ms": 800,
                "gap_goal_ms": 300,
                "attempts": 2,
                "priority": 0,
                "sticky": True,
                "resumable": True,
            },
            {
                "name": "chat",
                "host": "h.example",
                "prefix": "/chat/",
                "service": "llm",
                "kind": "streaming",
                "timeout_ms": 12000,
                "goal_ms": 500,
                "gap_goal_ms": 300,
                "attempts": 1,
                "priority": 2,
                "sticky": True,
            },
        ],
        "services": [
            {"name": "app", "health_path": "/health", "max_conns": 96},
            {
                "name": "llm",
                "health_path": "/health",
                "max_conns": 360,
                "engine": {"slots": 64, "kv_capacity": 381593, "stride": 4},
            },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1048576,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "t1", "api_keys": ["key-1"]}],
        **changes,
    }


def run_case(main) -> int:
    """Run a case; return 0 if its rule held, 1 if not, 2 if it can't run."""

    async def guarded():
        async with asyncio.timeout(115):
            return await main()

    try:
        return asyncio.run(guarded())
    except Exception as err:
        print(f"the case could not run: {err!r}")
        return 2
