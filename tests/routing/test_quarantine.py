from __future__ import annotations

import msgspec
import pytest

from cyclamenwing.routing import quarantine

POISON = "f" * 64
INNOCENT = "e" * 64
CONTROLLER = quarantine.QuarantineController()


class Process:
    def __init__(self, name: str) -> None:
        self.name = name
        self.board = quarantine.QuarantineBoard()

    def crash(self, host: str, now_ms: int, *prints: str) -> None:
        for fingerprint in prints:
            CONTROLLER.record_crash(self.board, fingerprint, host, now_ms)

    def read(self, fingerprint: str) -> quarantine.State:
        return CONTROLLER.read_state(self.board, fingerprint)

    def make_gossip(self, other: Process, now_ms: int) -> None:
        news = CONTROLLER.make_gossip(self.board, self.name, now_ms)
        if news is None:
            return
        encoded = msgspec.json.encode(news)
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
def test_state_by_crashes(
    crashes: list[tuple[str, int]], state: quarantine.State
) -> None:
    made = Process("a")
    assert made.read(POISON) == "clear"
    for host, at_ms in crashes:
        made.crash(host, at_ms, POISON)
    assert made.read(POISON) == state


def test_second_crash_elsewhere_is_joined_through_a_relay() -> None:
    first, relay, second = Process("a"), Process("s"), Process("b")
    first.crash("h1", 1_000, POISON, INNOCENT)
    second.crash("h2", 5_000, POISON)
    for _ in range(2):
        first.make_gossip(relay, 5_000)
        second.make_gossip(relay, 5_000)
        relay.make_gossip(first, 5_000)
        relay.make_gossip(second, 5_000)
    for made in (first, relay, second):
        assert made.read(POISON) == "quarantined"
        assert made.read(INNOCENT) == "suspect"


def test_answer_clears_crashes_before_its_run_everywhere() -> None:
    first, second = Process("a"), Process("b")
    first.crash("h1", 1_000, INNOCENT)
    first.make_gossip(second, 1_000)
    first.crash("h2", 9_000, INNOCENT)
    assert CONTROLLER.clear(second.board, INNOCENT, 5_000, 9_500)
    second.make_gossip(first, 9_500)
    assert (first.read(INNOCENT), second.read(INNOCENT)) == (
        "suspect",
        "clear",
    )
    # What was cleared does not come back with an old report.
    late = Process("c")
    late.crash("h1", 1_000, INNOCENT)
    late.make_gossip(second, 1_000)
    assert second.read(INNOCENT) == "clear"
    assert not CONTROLLER.clear(second.board, INNOCENT, 9_600, 9_600)


def test_one_entry_at_a_time_runs_a_suspect() -> None:
    first, second = Process("a"), Process("b")
    first.crash("h1", 1_000, POISON)
    first.make_gossip(second, 1_000)
    running: list[str] = []
    for now_ms in range(1_000, 4_000, 100):
        for made, other in ((first, second), (second, first)):
            if made.name not in running and made.try_claim("r", now_ms):
                running.append(made.name)
            made.make_gossip(other, now_ms)
        assert not first.try_claim("same entry, other key", now_ms)
    assert running == ["a"]
    CONTROLLER.release_claim(first.board, POISON, "a", "r")
    first.crash("h2", 4_000, POISON)
    first.make_gossip(second, 4_000)
    assert second.read(POISON) == "quarantined"


def test_claim_of_a_dead_entry_lapses() -> None:
    dead, other = Process("a"), Process("b")
    dead.try_claim("r", 0)
    assert dead.try_claim("r", quarantine.CLAIM_DELAY_MS)
    dead.make_gossip(other, quarantine.CLAIM_DELAY_MS)
    tries = [other.try_claim("r", now) for now in (1_100, 2_200, 4_000, 5_000)]
    assert tries == [False, False, False, True]


def test_process_that_starts_later_hears_old_records() -> None:
    old, new = Process("a"), Process("b")
    for number in range(20):
        fingerprint = f"{number:064d}"[::-1]
        old.crash("h1", 1_000, fingerprint)
        old.crash("h2", 1_000, fingerprint)
    day = 3_600_000
    for beat in range(20):
        old.make_gossip(new, day + beat)
    assert len(CONTROLLER.list_records(new.board)) == 20
    news = CONTROLLER.make_gossip(old.board, "a", day)
    assert len(msgspec.json.encode(news)) < 300
    CONTROLLER.expire(old.board, "a", 48 * 3_600_000)
    assert old.board.records == {}
