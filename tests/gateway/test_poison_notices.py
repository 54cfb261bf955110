"""Notices of suspect parts between two gateways, over lost messages and
restarts.
"""

from __future__ import annotations

import types
from typing import Any

import msgspec

from cyclamenwing.gateway import poison_notices
from cyclamenwing.routing import poison_parts

AT_MS = 1_800_000_000_000


def make_board(parts: poison_parts.PoisonParts, holder: str) -> Any:
    return types.SimpleNamespace(
        poison_parts=parts,
        peers={},
        escrow=types.SimpleNamespace(holder=holder),
    )


class Process:
    """Hold what one process of a gateway exchanges notices with."""

    def __init__(self, host: str, holder: str) -> None:
        self.host = host
        self.holder = holder
        self.parts = poison_parts.PoisonParts()
        self.board = make_board(self.parts, holder)
        self.exchange = poison_notices.PartNoticeExchange(self.board)

    def crash(self, part: str) -> None:
        self.parts.record_crash([part, "own"], "e", 1, AT_MS, AT_MS)

    def send(self, other: Process, lost: bool = False) -> int:
        """Send one message; return the number of its records."""
        notices = self.exchange.build(other.host, other.host)
        if notices is None:
            return 0
        read = msgspec.json.decode(
            msgspec.json.encode(notices), type=poison_notices.PartNotices
        )
        if not lost:
            other.board.peers[self.host] = types.SimpleNamespace(
                holder=self.holder
            )
            other.exchange.merge(read, self.host, self.host, self.holder)
        return len(read.records)


def test_record_is_sent_until_it_is_confirmed_and_then_no_more() -> None:
    one, two = Process("a", "a1"), Process("b", "b1")
    one.crash("x")
    assert [one.send(two, lost=True), one.send(two), one.send(two)] == [1] * 3
    two.send(one)
    assert one.send(two) == 0
    one.crash("y")
    assert one.send(two) == 1
    assert two.parts.count_crashes("y") == 1


def test_process_that_starts_again_gets_all_records() -> None:
    one, two = Process("a", "a1"), Process("b", "b1")
    one.crash("x")
    one.send(two)
    two.send(one)
    two = Process("b", "b2")
    two.crash("y")
    two.send(one)
    assert one.send(two) == 1
    assert two.parts.count_crashes("x") == 1


def test_confirmation_for_a_former_process_confirms_nothing() -> None:
    one, two = Process("a", "a1"), Process("b", "b1")
    for part in ("x", "y"):
        one.crash(part)
    one.send(two)
    one = Process("a", "a2")
    one.crash("z")
    # The peer still confirms what came from the former process.
    two.crash("own")
    two.send(one)
    assert one.send(two) == 1
    assert two.parts.count_crashes("z") == 1
