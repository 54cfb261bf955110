"""Slopes of membership and of heartbeats."""

from __future__ import annotations

import msgspec

from cyclamenwing.bench import memory
from cyclamenwing.bench import slopes
from cyclamenwing.bench import timing
from cyclamenwing.membership import types
from cyclamenwing.membership import view

NOW = 1_000.0


def make_beat(number: int) -> types.Heartbeat:
    """Return a sidecar's heartbeat without news."""
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


def make_board(members: int) -> view.MemberBoard:
    """Return a view of some members."""
    board = view.MemberBoard()
    controller = view.MemberController()
    for number in range(members):
        controller.hear(board, make_beat(number), NOW)
    return board


def measure_view_bytes(members: int) -> float:
    """Return the memory of a view."""
    return memory.measure_bytes(lambda: make_board(members))


def measure_hear_cpu(beats: int) -> float:
    """Return the processor time to decode and hear heartbeats."""
    encoded = [msgspec.json.encode(make_beat(n)) for n in range(beats)]
    board = view.MemberBoard()
    controller = view.MemberController()
    decoder = msgspec.json.Decoder(types.Heartbeat)

    def work() -> None:
        for item in encoded:
            controller.hear(board, decoder.decode(item), NOW)

    return timing.measure_cpu_us(work)


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
        measure_hear_cpu,
    ),
)

__all__ = (
    "PROBES",
    "make_beat",
)
