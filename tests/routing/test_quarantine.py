"""Quarantine of poison requests across processes.

A poison request that is retried at other endpoints would crash them one by
one; a request that only ran beside it must not be quarantined.
"""

from __future__ import annotations

import msgspec
import pytest

from cyclamenwing.routing import quarantine

POISON = "f" * 64
INNOCENT = "e" * 64
CONTROLLER = quarantine.QuarantineController()


class SimulatedProcess:
    def __init__(self, name: str) -> None:
        self.name = name
        self.board = quarantine.QuarantineBoard()

    def crash(self, host: str, now_ms: int, *fingerprints: str) -> None:
        for fingerprint in fingerprints:
            CONTROLLER.record_crash(self.board, fingerprint, host, now_ms)

    def read(self, fingerprint: str) -> quarantine.State:
        return CONTROLLER.read_state(self.board, fingerprint)

    def send_gossip(self, other: SimulatedProcess, now_ms: int) -> None:
        gossip = CONTROLLER.make_gossip(self.board, self.name, now_ms)
        if gossip is None:
            return
        encoded = msgspec.json.encode(gossip)
        read = msgspec.json.decode(encoded, type=quarantine.QuarantineGossip)
        CONTROLLER.receive(other.board, read, now_ms)

    def try_claim(self, request: str, now_ms: int) -> bool:
        return CONTROLLER.try_claim(
            self.board, POISON, self.name, request, now_ms
        )


@pytest.mark.parametrize(
    ("crashes", "state"),
    [
        ([("h1", 1_000)], "suspect"),
        ([("h1", 1_000), ("h1", 2_500)], "suspect"),
        ([("h1", 1_000), ("h1", 9_000)], "quarantined"),
        ([("h1", 1_000), ("h2", 1_000)], "quarantined"),
    ],
)
def test_state_depends_on_the_number_of_crashes(
    crashes: list[tuple[str, int]], state: quarantine.State
) -> None:
    process = SimulatedProcess("a")
    assert process.read(POISON) == "clear"
    for host, at_ms in crashes:
        process.crash(host, at_ms, POISON)
    assert process.read(POISON) == state


def test_crashes_seen_by_two_entries_are_merged_by_a_relay() -> None:
    """Two entries that exchange no gossip see one crash each."""
    first, relay, second = (
        SimulatedProcess("a"),
        SimulatedProcess("s"),
        SimulatedProcess("b"),
    )
    first.crash("h1", 1_000, POISON, INNOCENT)
    second.crash("h2", 5_000, POISON)
    for _ in range(2):
        first.send_gossip(relay, 5_000)
        second.send_gossip(relay, 5_000)
        relay.send_gossip(first, 5_000)
        relay.send_gossip(second, 5_000)
    for process in (first, relay, second):
        assert process.read(POISON) == "quarantined"
        assert process.read(INNOCENT) == "suspect"


def test_answer_clears_earlier_crashes_at_all_entries() -> None:
    first, second = SimulatedProcess("a"), SimulatedProcess("b")
    first.crash("h1", 1_000, INNOCENT)
    first.send_gossip(second, 1_000)
    first.crash("h2", 9_000, INNOCENT)
    assert CONTROLLER.clear(second.board, INNOCENT, 5_000, 9_500)
    second.send_gossip(first, 9_500)
    assert (first.read(INNOCENT), second.read(INNOCENT)) == (
        "suspect",
        "clear",
    )
    # A delayed record of the cleared crash must not make it suspect again.
    late = SimulatedProcess("c")
    late.crash("h1", 1_000, INNOCENT)
    late.send_gossip(second, 1_000)
    assert second.read(INNOCENT) == "clear"
    assert not CONTROLLER.clear(second.board, INNOCENT, 9_600, 9_600)


def test_suspect_request_runs_at_one_entry_at_a_time() -> None:
    """Entries that run a suspect at once could crash an endpoint each."""
    first, second = SimulatedProcess("a"), SimulatedProcess("b")
    first.crash("h1", 1_000, POISON)
    first.send_gossip(second, 1_000)
    running: list[str] = []
    for now_ms in range(1_000, 4_000, 100):
        for process, other in ((first, second), (second, first)):
            if process.name not in running and process.try_claim("r", now_ms):
                running.append(process.name)
            process.send_gossip(other, now_ms)
        assert not first.try_claim("same entry, other key", now_ms)
    assert running == ["a"]
    CONTROLLER.release_claim(first.board, POISON, "a", "r")
    first.crash("h2", 4_000, POISON)
    first.send_gossip(second, 4_000)
    assert second.read(POISON) == "quarantined"


def test_claim_of_a_dead_entry_expires() -> None:
    """The claim of an entry that died would block the request for good."""
    dead, other = SimulatedProcess("a"), SimulatedProcess("b")
    dead.try_claim("r", 0)
    assert dead.try_claim("r", quarantine.CLAIM_DELAY_MS)
    dead.send_gossip(other, quarantine.CLAIM_DELAY_MS)
    tries = [other.try_claim("r", now) for now in (1_100, 2_200, 4_000, 5_000)]
    assert tries == [False, False, False, True]


def test_process_that_starts_later_receives_old_records() -> None:
    """A new process would let quarantined requests run again."""
    old, new = SimulatedProcess("a"), SimulatedProcess("b")
    for number in range(20):
        fingerprint = f"{number:064d}"[::-1]
        old.crash("h1", 1_000, fingerprint)
        old.crash("h2", 1_000, fingerprint)
    day = 3_600_000
    for message in range(20):
        old.send_gossip(new, day + message)
    assert len(CONTROLLER.list_records(new.board)) == 20
    gossip = CONTROLLER.make_gossip(old.board, "a", day)
    assert len(msgspec.json.encode(gossip)) < 300
    CONTROLLER.expire(old.board, "a", 48 * 3_600_000)
    assert old.board.records == {}


def test_no_recent_record_is_left_out_at_a_crash_of_a_busy_endpoint() -> None:
    # Entries know of a suspect only if its record reaches them in time.
    old, new = SimulatedProcess("a"), SimulatedProcess("b")
    names = [f"{number:064d}"[::-1] for number in range(90)]
    for fingerprint in names:
        old.crash("h1", 1_000, fingerprint)
    for message in range(14):
        old.send_gossip(new, 1_000 + 200 * message)
    assert len(CONTROLLER.list_records(new.board)) == 90
