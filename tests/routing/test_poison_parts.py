"""Quarantine of prompt parts that crash endpoints, across gateways.

Many different requests share a poison part; sound requests share their other
parts and are cut by the same crashes. A part that is in every request must
not be quarantined by an outage.
"""

from __future__ import annotations

import msgspec

from cyclamenwing.routing import poison_parts

POISON = "poison"
FIRST = "first"
NOW_MS = 1_800_000_000_000
STEP_MS = 1_000
CRASHES = poison_parts.CRASHES_TO_QUARANTINE


def crash(
    board: poison_parts.PoisonParts,
    number: int,
    *names: str,
    at_ms: int | None = None,
) -> None:
    """Lose a request with these parts and one of its own at a crash."""
    if at_ms is None:
        at_ms = NOW_MS + number * STEP_MS
    board.record_crash(
        [*names, f"last{number}"], f"e{number}", NOW_MS, at_ms, at_ms
    )


def is_refused(
    board: poison_parts.PoisonParts, now_ms: int, *names: str
) -> bool:
    return board.find_quarantined([*names, "own"], now_ms) is not None


def crash_often(
    board: poison_parts.PoisonParts, *names: str, count: int = CRASHES
) -> int:
    """Return the time after a number of crashes."""
    for number in range(count):
        crash(board, number, *names)
    return NOW_MS + count * STEP_MS


def test_part_is_refused_after_three_crashes_without_an_answer() -> None:
    board = poison_parts.PoisonParts()
    now_ms = crash_often(board, FIRST, POISON, count=CRASHES - 1)
    assert not is_refused(board, now_ms, FIRST, POISON)
    crash(board, CRASHES, FIRST, POISON)
    assert is_refused(board, now_ms + STEP_MS, "other", POISON)


def test_answer_to_a_request_acquits_its_parts() -> None:
    board = poison_parts.PoisonParts()
    now_ms = crash_often(board, FIRST, POISON)
    assert board.record_answer([FIRST, "sound", "own"], now_ms) == [FIRST]
    assert not is_refused(board, now_ms, FIRST, "sound")
    assert is_refused(board, now_ms, FIRST, POISON)
    board.record_answer([FIRST, POISON, "own"], now_ms + STEP_MS)
    assert not is_refused(board, now_ms + STEP_MS, FIRST, POISON)


def test_answer_by_a_slow_clock_acquits_after_crashes_by_a_fast_one() -> None:
    board = poison_parts.PoisonParts()
    now_ms = crash_often(board, POISON)
    board.record_answer([POISON, "own"], now_ms - 60_000)
    assert not is_refused(board, now_ms, POISON)


def test_crash_before_an_answer_is_not_counted_when_reported_after_it() -> (
    None
):
    board = poison_parts.PoisonParts()
    board.record_answer([FIRST, "own"], NOW_MS + 60_000)
    now_ms = crash_often(board, FIRST, count=CRASHES + 3)
    assert not is_refused(board, now_ms, FIRST)


def test_last_part_is_never_suspect() -> None:
    board = poison_parts.PoisonParts()
    for number in range(CRASHES + 2):
        at_ms = NOW_MS + number * STEP_MS
        board.record_crash([FIRST, "session"], f"e{number}", 1, at_ms, at_ms)
        board.record_answer([FIRST, "other"], at_ms + 1)
    now_ms = NOW_MS + 10 * STEP_MS
    assert not is_refused(board, now_ms, "session")
    assert board.find_quarantined(["session"], now_ms) is None


def test_endpoints_that_crash_together_count_once() -> None:
    board = poison_parts.PoisonParts()
    for number in range(20):
        crash(board, number, FIRST, at_ms=NOW_MS + number * 10)
    assert not is_refused(board, NOW_MS + STEP_MS, FIRST)


def test_crash_of_one_process_reported_by_many_gateways_counts_once() -> None:
    board = poison_parts.PoisonParts()
    for second in range(5):
        crash(board, 0, FIRST, at_ms=NOW_MS + second * STEP_MS)
    assert board.count_crashes(FIRST) == 1


def test_endpoint_of_unknown_start_counts_again_after_its_restart() -> None:
    board = poison_parts.PoisonParts()
    for number in range(CRASHES):
        at_ms = NOW_MS + number * 4 * STEP_MS
        board.record_crash([POISON, "own"], "e", 0, at_ms, at_ms)
    assert is_refused(board, at_ms, POISON)


def test_part_that_was_answered_lately_needs_more_crashes() -> None:
    board = poison_parts.PoisonParts()
    board.record_answer([FIRST, "own"], NOW_MS - STEP_MS)
    needed = poison_parts.CRASHES_AFTER_ANSWERS
    for count in (CRASHES, needed - 1):
        now_ms = crash_often(board, FIRST, count=count)
        assert not is_refused(board, now_ms, FIRST)
    crash(board, needed, FIRST)
    assert is_refused(board, now_ms + STEP_MS, FIRST)


def test_parts_before_the_poison_part_are_not_refused_with_it() -> None:
    board = poison_parts.PoisonParts()
    now_ms = crash_often(board, FIRST, "second", POISON)
    assert is_refused(board, now_ms, FIRST, "second", POISON)
    assert not is_refused(board, now_ms, FIRST, "second", "other")


def test_part_before_that_crashes_with_other_parts_too_is_refused() -> None:
    board = poison_parts.PoisonParts()
    crash_often(board, POISON, "deeper")
    crash(board, 10, POISON, "another")
    assert is_refused(board, NOW_MS + 11 * STEP_MS, POISON, "unknown")


def test_two_poison_parts_at_once_are_both_refused() -> None:
    board = poison_parts.PoisonParts()
    for number in range(CRASHES):
        crash(board, 2 * number, FIRST, "poison1")
        crash(board, 2 * number + 1, FIRST, "poison2")
        board.record_answer([FIRST, "own"], NOW_MS + number * STEP_MS)
    now_ms = NOW_MS + 10 * STEP_MS
    assert is_refused(board, now_ms, FIRST, "poison1")
    assert is_refused(board, now_ms, FIRST, "poison2")
    assert not is_refused(board, now_ms, FIRST, "sound")


def test_quarantine_ends_and_starts_again_with_one_crash() -> None:
    board = poison_parts.PoisonParts()
    now_ms = crash_often(board, POISON)
    found = board.find_quarantined([POISON, "own"], now_ms)
    assert found is not None
    assert not is_refused(board, found.until_ms, POISON)
    crash(board, 99, POISON, at_ms=found.until_ms + STEP_MS)
    again = board.find_quarantined([POISON, "own"], found.until_ms + STEP_MS)
    assert again is not None
    held_ms = again.until_ms - found.until_ms - STEP_MS
    assert held_ms == 2 * (found.until_ms - now_ms + STEP_MS)


def test_long_name_is_the_same_part_everywhere() -> None:
    board = poison_parts.PoisonParts()
    name = "x" * 5_000
    now_ms = crash_often(board, name)
    assert is_refused(board, now_ms, name)
    assert not is_refused(board, now_ms, name + "y")


def test_memory_is_bounded_and_keeps_the_quarantined_parts() -> None:
    board = poison_parts.PoisonParts()
    now_ms = crash_often(board, POISON)
    for number in range(2 * poison_parts.MAX_RECORDS):
        crash(board, number + 100, f"part{number}", at_ms=now_ms)
        board.record_answer([f"answered{number}", "own"], now_ms)
    for number in range(2 * poison_parts.MAX_ANSWERED):
        board.record_answer([f"many{number}", "own"], now_ms)
    assert is_refused(board, now_ms, POISON)
    assert len(board._records) <= poison_parts.MAX_RECORDS
    assert len(board._answered) <= poison_parts.MAX_ANSWERED


def send_notices(
    sender: poison_parts.PoisonParts,
    receiver: poison_parts.PoisonParts,
    after: int = 0,
) -> int:
    """Send one message; return the number that it confirms."""
    records, number = sender.list_notices(after, "receiver")
    encoded = msgspec.json.encode(records)
    read = msgspec.json.decode(encoded, type=list[poison_parts.PartRecord])
    receiver.merge_notices(read, "sender", NOW_MS)
    return number


def test_crashes_seen_by_different_gateways_add_up() -> None:
    boards = [poison_parts.PoisonParts() for _ in range(CRASHES)]
    for number, board in enumerate(boards):
        crash(board, number, FIRST, POISON)
    for board in boards[1:]:
        send_notices(board, boards[0])
    now_ms = NOW_MS + CRASHES * STEP_MS
    assert is_refused(boards[0], now_ms, FIRST, POISON)
    assert not is_refused(boards[1], now_ms, FIRST, POISON)
    send_notices(boards[0], boards[1])
    assert is_refused(boards[1], now_ms, FIRST, POISON)


def test_all_records_reach_a_peer_over_several_messages() -> None:
    sender, receiver = poison_parts.PoisonParts(), poison_parts.PoisonParts()
    count = 2 * poison_parts.MAX_RECORDS_PER_MESSAGE + 1
    for number in range(count):
        crash(sender, number, f"part{number}", at_ms=NOW_MS)
    number = 0
    for _ in range(3):
        number = send_notices(sender, receiver, number)
    assert number == sender.number
    assert [receiver.count_crashes(f"part{n}") for n in range(count)] == (
        [1] * count
    )


def test_records_are_not_sent_back_unchanged() -> None:
    sender, receiver = poison_parts.PoisonParts(), poison_parts.PoisonParts()
    crash_often(sender, POISON)
    send_notices(sender, receiver)
    assert receiver.list_notices(0, "sender") == ([], receiver.number)
    assert receiver.list_notices(0, "another")[0]
