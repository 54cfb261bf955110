"""Cost of control messages in fleets too large to start on one machine."""

from __future__ import annotations

import asyncio
import gc
import time
import tracemalloc
from typing import TypedDict

import msgspec

from cyclamenwing import decoding
from cyclamenwing.bench import membership_probes
from cyclamenwing.budget import account
from cyclamenwing.entry import blackboard
from cyclamenwing.entry import fleet_view
from cyclamenwing.membership import topology
from cyclamenwing.membership import types
from cyclamenwing.transport import client
from cyclamenwing.transport import server

SIZES = ((8, 14), (32, 56), (100, 176), (340, 600))
ZONES = 7
RESTARTS_PER_DAY = 136
CHANGES_PER_DAY = 2_000
DAY_S = 86_400
FLEET_KEY = "a-fleet-key-of-32-characters-0123"


class SizeFigures(TypedDict):
    """Hold the cost of control for one fleet size.

    Exchanges and bytes are per second and process; bytes count both
    directions.
    """

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
    """Hold the header bytes and the processor time of one exchange."""

    header_bytes: int
    cpu_us: float


def count_steps(entries: int) -> int:
    """Return the most gossip hops from the watchers to any entry."""
    hosts = [f"entry-{number}" for number in range(entries)]
    zones = {host: number % ZONES for number, host in enumerate(hosts)}
    neighbours = {
        host: topology.list_neighbours(host, set(hosts)) for host in hosts
    }
    reached_hosts = {
        watcher
        for zone in set(zones.values())
        for watcher in topology.list_watchers(
            str(zone), [host for host in hosts if zones[host] == zone]
        )
    }
    steps = 0
    while len(reached_hosts) < entries:
        steps += 1
        reached_hosts |= {
            peer for host in reached_hosts for peer in neighbours[host]
        }
    return steps


def measure_size(
    entries: int, sidecars: int, header_bytes: int
) -> SizeFigures:
    """Compute the control messages of a fleet."""
    view = _make_view(entries, sidecars)
    targets = len(view.list_targets(1, 0.0))
    interval_s = topology.get_heartbeat_interval_s(entries)
    reporters = entries
    if not topology.is_mesh(entries):
        reporters = topology.REPORT_TARGET_COUNT
    entry_rate = targets / interval_s
    sidecar_rate = sidecars * reporters / entries / interval_s
    heartbeat_bytes = (
        len(msgspec.json.encode(_make_heartbeat())) + header_bytes
    )
    report_bytes = len(msgspec.json.encode(_make_report(0)))
    gossip_bytes_s = RESTARTS_PER_DAY * 3 * report_bytes * 9 / DAY_S
    sync_bytes_s = (
        (entries + sidecars) * report_bytes / view.find_sync_interval_s()
    )
    directory_bytes_s = entries * 60 * RESTARTS_PER_DAY * reporters / DAY_S
    return {
        "entries": entries,
        "sidecars": sidecars,
        "steps": count_steps(entries),
        "entry_exchanges": 2 * entry_rate + sidecar_rate,
        "sidecar_exchanges": reporters / interval_s,
        "entry_bytes_s": (2 * entry_rate + sidecar_rate) * heartbeat_bytes
        + gossip_bytes_s
        + sync_bytes_s,
        "sidecar_bytes_s": reporters / interval_s * heartbeat_bytes
        + directory_bytes_s,
        "view_bytes": _measure_view_bytes(entries, sidecars),
        "watches": min(entries, ZONES * topology.WATCHER_COUNT),
    }


async def measure_exchange(count: int = 400) -> ExchangeFigures:
    """Measure an HTTP exchange; `cpu_us` covers client and server."""
    listener = server.Listener(
        server.make_application([(r"/peer/heartbeat", _Echo)]),
        "127.0.0.1:0",
    )
    http = client.CurlClient(FLEET_KEY)
    url = f"http://{listener.address}/peer/heartbeat"
    heartbeat = _make_heartbeat()
    try:
        await http.call(url, heartbeat, dict[str, int], 5.0)
        started = time.process_time()
        for _ in range(count):
            await http.call(url, heartbeat, dict[str, int], 5.0)
        cpu_us = (time.process_time() - started) / count * 1e6
    finally:
        await http.close()
        await listener.close()
    return {"header_bytes": await _count_headers(), "cpu_us": cpu_us}


class _Echo(server.CodedHandler):
    """Decode a heartbeat and send a short reply."""

    async def post(self) -> None:
        """Reply to a heartbeat."""
        heartbeat = self.decode_body(types.Heartbeat)
        self.write_json({"revision": heartbeat["revision"]})


async def _count_headers() -> int:
    request_sizes: list[int] = []
    response = (
        b"HTTP/1.1 200 OK\r\nServer: TornadoServer/6.5.2\r\n"
        b"Content-Type: application/json\r\n"
        b"Date: Thu, 01 Jan 2026 00:00:00 GMT\r\n"
        b"Content-Length: 2\r\n\r\n{}"
    )

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        request_sizes.append(len(await reader.readuntil(b"\r\n\r\n")))
        await reader.readexactly(2)
        writer.write(response)
        await writer.drain()
        writer.close()

    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    http = client.CurlClient(FLEET_KEY)
    await http.call(f"http://127.0.0.1:{port}/", {}, dict[str, int], 5.0)
    await http.close()
    listener.close()
    return request_sizes[0] + len(response) - 2


def _make_heartbeat() -> types.Heartbeat:
    return {
        **membership_probes.make_heartbeat(1),
        "sequence": 123_456,
        "interval_s": 2.0,
        "directory": "0123456789abcdef",
    }


def _make_report(number: int) -> types.MemberReport:
    heartbeat = membership_probes.make_heartbeat(number)
    return {
        "host": heartbeat["host"],
        "role": "sidecar",
        "zone": heartbeat["zone"],
        "address": heartbeat["address"],
        "incarnation": heartbeat["incarnation"],
        "route": heartbeat["route"],
        "leaving": False,
        "sequence": 123_456,
        "state": "live",
    }


def _make_view(entries: int, sidecars: int) -> fleet_view.FleetView:
    board = blackboard.EntryBoard(
        "entry-0", "zone-0", "s", account.HolderBoard("s")
    )
    view = fleet_view.FleetView(board, [], lambda: "127.0.0.1:1")
    reports: list[types.MemberReport] = []
    for number in range(1, entries):
        reports.append({
            **_make_report(number),
            "host": f"entry-{number}",
            "role": "entry",
        })
    reports += [_make_report(number) for number in range(sidecars)]
    encoded = msgspec.json.encode(reports)
    view.receive_reports(decoding.decode(encoded, list[types.MemberReport]), 0)
    view.pick_reports()
    return view


def _measure_view_bytes(entries: int, sidecars: int) -> int:
    gc.collect()
    tracemalloc.start()
    view = _make_view(entries, sidecars)
    gc.collect()
    allocated = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del view
    return allocated


__all__ = (
    "CHANGES_PER_DAY",
    "DAY_S",
    "SIZES",
    "ExchangeFigures",
    "SizeFigures",
    "measure_exchange",
    "measure_size",
)
