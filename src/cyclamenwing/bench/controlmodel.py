"""Control's messages at sizes that one machine can't hold."""

from __future__ import annotations

import asyncio
import gc
import time
import tracemalloc
from typing import TypedDict

import msgspec

from cyclamenwing.bench import memberprobes
from cyclamenwing.budget import account
from cyclamenwing.entry import blackboard
from cyclamenwing.entry import fleet_view
from cyclamenwing.membership import topology
from cyclamenwing.membership import types
from cyclamenwing.transport import client
from cyclamenwing.transport import server

SIZES = ((8, 14), (32, 56), (100, 176), (340, 600))
ZONES = 7
RESTARTS_A_DAY = 136
CHANGES_A_DAY = 2_000
DAY_S = 86_400
HEADER_KEY = "a-fleet-key-of-32-characters-0123"


class SizeFigures(TypedDict):
    """Hold control's cost at one size; bytes count both directions."""

    entries: int
    sidecars: int
    steps: int
    entry_exchanges: float
    sidecar_exchanges: float
    entry_bytes_s: float
    sidecar_bytes_s: float
    view_bytes: int
    watches: int


class ExchangeFigures(TypedDict):
    """Hold the cost of one exchange between two processes."""

    header_bytes: int
    cpu_us: float


def count_steps(entries: int) -> int:
    """Return the most steps from the watchers to any entry."""
    hosts = [f"entry-{number}" for number in range(entries)]
    zones = {host: number % ZONES for number, host in enumerate(hosts)}
    links = {
        host: topology.list_neighbours(host, set(hosts)) for host in hosts
    }
    reached = {
        watcher
        for zone in set(zones.values())
        for watcher in topology.list_watchers(
            str(zone), [host for host in hosts if zones[host] == zone]
        )
    }
    steps = 0
    while len(reached) < entries:
        steps += 1
        reached |= {peer for host in reached for peer in links[host]}
    return steps


def measure_size(
    entries: int, sidecars: int, header_bytes: int
) -> SizeFigures:
    """Work out the messages of a fleet of some size."""
    made = _make_gathering(entries, sidecars)
    targets = len(made.list_targets(1, 0.0))
    interval_s = topology.get_heartbeat_interval_s(entries)
    reporters = entries
    if not topology.is_mesh(entries):
        reporters = topology.REPORT_TARGET_COUNT
    between = targets / interval_s
    from_sidecars = sidecars * reporters / entries / interval_s
    beat = len(msgspec.json.encode(_make_beat())) + header_bytes
    report = len(msgspec.json.encode(_make_report(0)))
    told = RESTARTS_A_DAY * 3 * report * 9 / DAY_S
    sync = (entries + sidecars) * report / made.find_sync_interval_s()
    directory = entries * 60 * RESTARTS_A_DAY * reporters / DAY_S
    return {
        "entries": entries,
        "sidecars": sidecars,
        "steps": count_steps(entries),
        "entry_exchanges": 2 * between + from_sidecars,
        "sidecar_exchanges": reporters / interval_s,
        "entry_bytes_s": (2 * between + from_sidecars) * beat + told + sync,
        "sidecar_bytes_s": reporters / interval_s * beat + directory,
        "view_bytes": _measure_view(entries, sidecars),
        "watches": min(entries, ZONES * topology.WATCHER_COUNT),
    }


async def measure_exchange(count: int = 400) -> ExchangeFigures:
    """Measure one exchange between two processes, both sides at once."""
    listener = server.Listener(
        server.make_application([(r"/peer/heartbeat", _Echo)]),
        "127.0.0.1:0",
    )
    http = client.CurlClient(HEADER_KEY)
    url = f"http://{listener.address}/peer/heartbeat"
    beat = _make_beat()
    try:
        await http.call(url, beat, dict[str, int], 5.0)
        began = time.process_time()
        for _ in range(count):
            await http.call(url, beat, dict[str, int], 5.0)
        cpu_us = (time.process_time() - began) / count * 1e6
    finally:
        await http.close()
        await listener.close()
    return {"header_bytes": await _count_headers(), "cpu_us": cpu_us}


class _Echo(server.CodedHandler):
    """Decode a heartbeat and answer shortly."""

    async def post(self) -> None:
        """Answer a heartbeat."""
        beat = self.decode_body(types.Heartbeat)
        self.write_json({"revision": beat["revision"]})


async def _count_headers() -> int:
    seen: list[int] = []
    answer = (
        b"HTTP/1.1 200 OK\r\nServer: TornadoServer/6.5.2\r\n"
        b"Content-Type: application/json\r\n"
        b"Date: Thu, 01 Jan 2026 00:00:00 GMT\r\n"
        b"Content-Length: 2\r\n\r\n{}"
    )

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        seen.append(len(await reader.readuntil(b"\r\n\r\n")))
        await reader.readexactly(2)
        writer.write(answer)
        await writer.drain()
        writer.close()

    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    http = client.CurlClient(HEADER_KEY)
    await http.call(f"http://127.0.0.1:{port}/", {}, dict[str, int], 5.0)
    await http.close()
    listener.close()
    return seen[0] + len(answer) - 2


def _make_beat() -> types.Heartbeat:
    return {
        **memberprobes.make_beat(1),
        "sequence": 123_456,
        "interval_s": 2.0,
        "directory": "0123456789abcdef",
    }


def _make_report(number: int) -> types.MemberReport:
    beat = memberprobes.make_beat(number)
    return {
        "host": beat["host"],
        "role": "sidecar",
        "zone": beat["zone"],
        "address": beat["address"],
        "incarnation": beat["incarnation"],
        "route": beat["route"],
        "leaving": False,
        "sequence": 123_456,
        "state": "live",
    }


def _make_gathering(entries: int, sidecars: int) -> fleet_view.FleetView:
    board = blackboard.EntryBoard(
        "entry-0", "zone-0", "s", account.HolderBoard("s")
    )
    made = fleet_view.FleetView(board, [], lambda: "127.0.0.1:1")
    reports: list[types.MemberReport] = []
    for number in range(1, entries):
        reports.append({
            **_make_report(number),
            "host": f"entry-{number}",
            "role": "entry",
        })
    reports += [_make_report(number) for number in range(sidecars)]
    encoded = msgspec.json.encode(reports)
    made.receive_reports(
        msgspec.json.decode(encoded, type=list[types.MemberReport]), 0
    )
    made.pick_reports()
    return made


def _measure_view(entries: int, sidecars: int) -> int:
    gc.collect()
    tracemalloc.start()
    made = _make_gathering(entries, sidecars)
    gc.collect()
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del made
    return used


__all__ = (
    "CHANGES_A_DAY",
    "DAY_S",
    "SIZES",
    "ExchangeFigures",
    "SizeFigures",
    "measure_exchange",
    "measure_size",
)
