"""A gateway watches through a peer that stands still as the cut ends."""

from __future__ import annotations

import asyncio
import itertools
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-4"))

import rig  # noqa: E402

# `core_cut` with "reset" lasts 5.5 s on the site, `node_freeze` 4.0 s.
CUT_S = 5.4
FREEZE_S = 4.0
DRAIN_MS = 2_000
STABLE_MS = 3_000
CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "r1",
            "host": "case.example",
            "prefix": "/read/",
            "kind": "idempotent",
            "service": "app",
            "timeout_ms": 1_000,
            "goal_ms": 150,
            "attempts": 2,
            "priority": 2,
            "public": True,
        }
    ],
    "services": [
        {"name": "app", "health_path": "/health", "max_conns": 96}
    ],
    "limits": {
        "max_header_bytes": 16_384,
        "max_body_bytes": 4_194_304,
        "header_timeout_ms": 3_000,
        "idle_timeout_ms": 15_000,
    },
    "tenants": [],
}


class StoreLink(rig.Server):
    """Pass one gateway's connections to the store, or reset them."""

    def __init__(self, store: rig.Store) -> None:
        super().__init__()
        self._store = store
        self.cut = False

    def reset(self) -> None:
        """Cut the gateway off from the store."""
        self.cut = True
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        if self.cut:
            writer.transport.abort()
            return
        host, port = self._store.address.split(":")
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        self._writers |= {writer, far_writer}
        await asyncio.gather(
            self._copy(reader, far_writer), self._copy(far_reader, writer)
        )
        self._writers -= {writer, far_writer}

    async def _copy(self, reader, writer) -> None:
        try:
            while data := await reader.read(65_536):
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


async def read_all(
    deployment: rig.Deployment, gateway: rig.Gateway, stop: asyncio.Event
) -> None:
    """Send reads one after the other."""
    connection = await rig.Connection.open(gateway.front)
    for number in itertools.count(1):
        if stop.is_set():
            break
        sent = time.time()
        answer = await connection.ask(
            "GET",
            "/read/x",
            {"Request-Id": f"{number:016x}", "Deadline-Ms": "1000"},
            2.0,
        )
        if answer.status != 200:
            deployment.note(
                f"read {number} sent at {sent - deployment.started:.3f}: "
                f"{answer.status} {answer.error}"
            )
        if not answer.whole:
            connection = await rig.Connection.open(gateway.front)
        await asyncio.sleep(0.02)
    connection.close()


async def play(deployment: rig.Deployment, trouble: bool) -> bool:
    """Return whether a draining replica got requests too late."""
    store = deployment.store
    replicas = [rig.Replica(f"i-{n}", "app", f"z{n % 2 + 1}") for n in range(4)]
    for replica in replicas:
        replica.slots, replica.queue = 6, 24
    link = StoreLink(store)
    await store.start()
    await link.start()
    deployment.store_addresses = {"front-1": link.address}
    await deployment.open(CONFIG, replicas, 2, zones=2)
    await asyncio.sleep(4.0)
    gateway, peer = deployment.gateways
    stop = asyncio.Event()
    reading = asyncio.create_task(read_all(deployment, gateway, stop))
    if trouble:
        link.reset()
        deployment.note(f"{gateway.name} is cut off from the store")
    await asyncio.sleep(CUT_S - 0.2)
    # A replica that is new makes all watches begin again.
    added = rig.Replica("i-new", "app", "z1")
    await added.start()
    deployment.replicas.append(added)
    await store.put("servers/i-new", added.describe())
    await asyncio.sleep(0.15)
    if trouble:
        peer.send_signal(signal.SIGSTOP)
        deployment.note(f"{peer.name} stands still")
    await asyncio.sleep(0.05)
    link.cut = False
    healed = time.time()
    deployment.note("the cut ends")
    await asyncio.sleep(0.3)
    leaving = replicas[0]
    await store.put(f"servers/{leaving.name}", leaving.describe("draining"))
    acknowledged = time.time()
    deployment.note(f"{leaving.name} is draining")
    await asyncio.sleep(healed + FREEZE_S - time.time())
    if trouble:
        peer.send_signal(signal.SIGCONT)
        deployment.note(f"{peer.name} goes on")
    await asyncio.sleep(2.0)
    stop.set()
    await reading
    bound = max(acknowledged + DRAIN_MS / 1000, healed + STABLE_MS / 1000)
    times = [at for at, _ in leaving.arrivals if at > acknowledged]
    late = [at for at in times if at > bound]
    last = max(times, default=acknowledged) - acknowledged
    deployment.note(
        f"{len(times)} requests reached {leaving.name} after it began to "
        f"drain, the last {last:.2f} s later; {len(late)} later than "
        f"`drain_ms`, and `stable_ms` after the end of the cut"
    )
    return bool(late)


rig.run_case(FOLDER, play)
