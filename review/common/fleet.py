"""Start gateways with the command and the template of the deploy files."""

import asyncio
import json
import os
import pathlib
import random
import re
import shlex
import signal
import socket
import sys
import tempfile
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]

# Bounds of the small deployments (DEPLOY.md, SYSTEM.md).
BOUNDS = {
    "stable_ms": 3000, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
    "config_ms": 2000, "retry_ratio": 0.2, "retry_window_s": 10,
    "retry_slack": 52, "settle_ms": 1500, "recovery_s": 12,
}
LIMITS = {"memory_mb": 150, "max_fds": 4100, "link_mbps": 1000.0,
          "cpu_share": 0.817, "cpus": 1}
START_S = 12.0


def find_ports(count, host):
    """Return free ports of a loopback address."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind((host, 0))
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


def render(text, fields):
    """Fill in a template of the deploy file (DEPLOY.md)."""
    def look_up(name):
        value = fields
        for part in name.split("."):
            if isinstance(value, list) and part.isdigit():
                value = value[int(part)]
            elif isinstance(value, dict) and part in value:
                value = value[part]
            else:
                return None
        return value

    def fill_section(match):
        value = look_up(match[1])
        if value is None or value is False:
            return ""
        return match[2].replace("{{.}}", str(value))

    def fill(match):
        name, _, form = match[1].partition("|")
        value = look_up(name)
        if form == "json":
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", fill_section, text,
                  flags=re.S)
    return re.sub(r"\{\{([^{}#/]+)\}\}", fill, text)


class Gateway:
    """Run one gateway process; restart it where a test says so."""

    def __init__(self, folder, number, zone):
        self.number = number
        self.name = f"front-z{number}-1"
        self.zone = zone
        # An address of its own: outgoing connections of other processes
        # take ports of 127.0.0.1 only.
        self.ip = f"127.{random.randint(1, 250)}.{os.getpid() % 250}.{number}"
        ports = find_ports(4, self.ip)
        self.front, self.ready, self.control, self.metrics = (
            f"{self.ip}:{port}" for port in ports)
        self.metrics_port = ports[3]
        self.folder = folder
        self.process = None
        self.starts = []

    def write_settings(self, zones, seeds, store, bootstrap):
        """Write the settings file from the template."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["gateway"]
        fields = {
            "node": self.name, "role": "gateway", "zone": self.zone,
            "region": "r1", "zones": {zone: "r1" for zone in zones},
            "ip": self.ip, "bootstrap": bootstrap, "seeds": seeds,
            "port_range": [self.metrics_port, self.metrics_port],
            "listen": {"front": self.front, "ready": self.ready,
                       "control": self.control},
            "platform": {"address": store}, "limits": LIMITS,
            "bounds": BOUNDS,
        }
        self.settings = self.folder / f"{self.name}.conf"
        self.settings.write_text(
            render((ROOT / role["template"]).read_text(), fields))
        self.command = shlex.split(role["run"])

    async def start(self):
        """Start the process."""
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                       if key in os.environ}
        environment["CYCLAMENWING_CONFIG"] = str(self.settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.command, cwd=ROOT, env=environment, stdout=log,
                stderr=log)
        self.starts.append(asyncio.get_running_loop().time())

    def signal(self, number):
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def is_ready(self):
        """Return whether the readiness check answers 200."""
        host, _, port = self.ready.rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: r\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line


class Fleet:
    """Hold the gateways of a test and end them at its end.

    :param addresses: address of the store for each gateway
    """

    def __init__(self, count, addresses):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        zones = [f"z{number + 1}" for number in range(count)]
        self.gateways = [Gateway(self.folder, i + 1, zone)
                         for i, zone in enumerate(zones)]
        self._zones, self._addresses = zones, addresses

    async def start(self):
        """Start all gateways for the first time; wait until all are ready."""
        self.configure(True)
        await asyncio.gather(*(g.start() for g in self.gateways))
        if not await self.wait_ready():
            raise CannotRun("the gateways did not become ready")
        self.configure(False)

    def configure(self, bootstrap):
        seeds = [g.control for g in self.gateways[:3]]
        for gateway, address in zip(self.gateways, self._addresses):
            gateway.write_settings(self._zones, seeds, address, bootstrap)

    async def wait_ready(self, gateways=None, timeout_s=START_S):
        """Wait until gateways are ready; return whether they are."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + timeout_s
        waiting = list(gateways or self.gateways)
        while waiting and loop.time() < until_s:
            states = await asyncio.gather(*(g.is_ready() for g in waiting))
            waiting = [g for g, ready in zip(waiting, states) if not ready]
            await asyncio.sleep(0.1)
        return not waiting

    async def stop(self):
        """End all processes that this test started."""
        for gateway in self.gateways:
            process = gateway.process
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()


class CannotRun(Exception):
    """Report that the case can't run here."""


class Record:
    """Write what happened to record.txt, with seconds since the start."""

    def __init__(self, folder):
        self._file = open(folder / "record.txt", "w")
        self._began_s = asyncio.get_running_loop().time()

    def write(self, text, at_s=None):
        at_s = asyncio.get_running_loop().time() if at_s is None else at_s
        self._file.write(f"{at_s - self._began_s:8.3f} {text}\n")
        self._file.flush()


def run(case):
    """Run a case: a coroutine that returns the number of violations."""
    try:
        broken = asyncio.run(asyncio.wait_for(case(), 118))
    except (CannotRun, OSError, TimeoutError) as err:
        print(f"could not run: {err!r}")
        sys.exit(2)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
