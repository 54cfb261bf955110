"""Notices of requests at crashes between gateways under load.

A crash of a busy endpoint leaves a record for each request that ran there.
Gossip left out the one at fault, so each gateway counted the crashes that it
saw itself, and the request went on crashing endpoints.
"""

from __future__ import annotations

import random
import types

import msgspec
import pytest

from cyclamenwing.gateway import crash_notices
from cyclamenwing.routing import quarantine

CONTROLLER = quarantine.QuarantineController()
# Requests of one gateway that run beside the one at fault.
BYSTANDERS = 24
PAUSE_MS = 3_300
ROUND_MS = 200


class Process:
    """Hold the records of one process of a gateway."""

    def __init__(self, host: str, number: int = 1) -> None:
        self.host = host
        self.holder = f"{host}-{number}"
        self.records = quarantine.QuarantineBoard()
        self.board = types.SimpleNamespace(
            quarantine=self.records,
            peers={},
            escrow=types.SimpleNamespace(holder=self.holder),
        )
        self.exchange = crash_notices.CrashNoticeExchange(
            self.board  # type: ignore[arg-type]
        )

    def send(self, other: Process, lost: bool = False) -> int:
        """Send one message; return the number of its records."""
        message = msgspec.json.encode(
            self.exchange.build(other.host, other.host)
        )
        read = msgspec.json.decode(message, type=crash_notices.CrashNotices)
        if not lost:
            other.board.peers[self.host] = types.SimpleNamespace(
                holder=self.holder
            )
            other.exchange.merge(read, self.host, self.host, self.holder)
        return len(read.records)

    def count_crashes(self, name: str) -> int:
        """Return the crashes that count for a request."""
        record = self.records.records.get(name)
        return len(record["crashes"]) if record else 0


def crash(
    processes: list[Process], runner: Process, endpoint: str, at_ms: int
) -> None:
    """Record a crash at all gateways, in any order of their requests."""
    rng = random.Random(at_ms)
    for process in processes:
        names = [
            f"{number:02}{process.host}{at_ms % 10**8}"
            for number in range(BYSTANDERS)
        ]
        if process is runner:
            names.append("poison")
        for name in rng.sample(names, len(names)):
            CONTROLLER.record_crash(process.records, name, endpoint, at_ms)


@pytest.mark.parametrize(
    ("gateways", "loss"), [(4, 0.0), (4, 0.3), (6, 0.0), (20, 0.3)]
)
def test_request_at_fault_is_known_everywhere_after_three_crashes(
    gateways: int, loss: float
) -> None:
    # Guards against gossip that leaves out the record of a poison request.
    rng = random.Random(gateways)
    processes = [Process(f"g{n}") for n in range(gateways)]
    now_ms = 1_800_000_000_000
    for number in range(3):
        runner = processes[number % gateways]
        crash(processes, runner, f"e{number}", now_ms)
        for _ in range(PAUSE_MS // ROUND_MS):
            for one in processes:
                for two in processes:
                    if one is not two:
                        one.send(two, lost=rng.random() < loss)
        now_ms += PAUSE_MS
    assert {p.count_crashes("poison") for p in processes} == {3}


def test_each_bystander_has_a_record() -> None:
    one = Process("a")
    crash([one], one, "e1", 1_800_000_000_000)
    assert len(one.records.records) == BYSTANDERS + 1


def test_only_unconfirmed_records_are_sent() -> None:
    one, two = Process("a"), Process("b")
    crash([one], one, "e1", 1_000)
    due = len(one.records.records)
    assert one.send(two, lost=True) == due == one.send(two)
    two.send(one)
    assert one.send(two) == 0
    # Nor does the peer send back what came from here.
    assert two.send(one) == 0


def test_process_that_starts_again_gets_repeated_records_first() -> None:
    one = Process("a")
    for number in range(40):
        crash([one], one, f"e{number}", 10_000 * number)
    two = Process("b", number=2)
    one.send(two)
    assert two.count_crashes("poison") == 3
    for _ in range(40):
        two.send(one)
        one.send(two)
    assert two.records.records.keys() == one.records.records.keys()


def test_records_with_the_fewest_crashes_are_dropped_first() -> None:
    board = quarantine.QuarantineBoard()
    for number in range(3):
        CONTROLLER.record_crash(
            board, "poison", f"e{number}", 5_000 * number + 1
        )
    for number in range(quarantine.MAX_RECORDS + 100):
        CONTROLLER.record_crash(board, f"{number:016}", "e9", 20_000 + number)
    assert len(board.records) <= quarantine.MAX_RECORDS
    assert len(board.records["poison"]["crashes"]) == 3
    assert board.numbers.keys() == board.sources.keys()
    assert board.numbers.keys() == board.changed_ms.keys()
