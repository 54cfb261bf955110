"""Probes of the member view and of heartbeats."""

from __future__ import annotations

import msgspec

from cyclamenwing import decoding
from cyclamenwing.bench import memory
from cyclamenwing.bench import slopes
from cyclamenwing.bench import timing
from cyclamenwing.membership import types
from cyclamenwing.membership import view

NOW = 1_000.0


def make_heartbeat(number: int) -> types.Heartbeat:
    """Return a sidecar's heartbeat with an empty `news` field."""
    return {
        "host": f"endpoint-{number:04d}",
        "role": "sidecar",
        "zone": f"zone-{number % 7}",
        "address": f"10.0.{number // 250}.{number % 250}:8700",
        "incarnation": f"{number:032x}",
        "route": "assistant",
        "leaving": False,
        "revision": 123_456,
        "load": 12,
        "news": {},
    }


def make_member_board(members: int) -> view.MemberBoard:
    """Return a member view with a number of live sidecars."""
    board = view.MemberBoard()
    controller = view.MemberController()
    for number in range(members):
        controller.receive(board, make_heartbeat(number), NOW)
    return board


def measure_view_bytes(members: int) -> float:
    """Return the bytes of memory that a member view allocates."""
    return memory.measure_bytes(lambda: make_member_board(members))


def measure_receive_cpu(heartbeats: int) -> float:
    """Return the microseconds to decode and process heartbeats."""
    encoded = [
        msgspec.json.encode(make_heartbeat(n)) for n in range(heartbeats)
    ]
    board = view.MemberBoard()
    controller = view.MemberController()
    decoder = decoding.Decoder(types.Heartbeat)

    def receive_all() -> None:
        for message in encoded:
            controller.receive(board, decoder.decode(message), NOW)

    return timing.measure_cpu_us(receive_all)


PROBES = (
    slopes.Probe(
        "memory of the member view",
        "entry",
        "members",
        "B",
        (10, 100, 1_000),
        measure_view_bytes,
    ),
    slopes.Probe(
        "processor time to hear heartbeats",
        "entry",
        "heartbeats",
        "us",
        (100, 1_000, 5_000),
        measure_receive_cpu,
    ),
)

__all__ = (
    "PROBES",
    "make_heartbeat",
)
