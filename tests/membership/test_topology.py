"""Peers of entries and sidecars in small and large fleets.

Gossip must reach every entry although each process sends to few peers and
some of these are dead.
"""

from __future__ import annotations

import collections

import pytest

from cyclamenwing.membership import dissemination
from cyclamenwing.membership import topology
from cyclamenwing.membership import types
from cyclamenwing.sidecar import reporting

SIZES = (2, 8, 9, 60, 340)
MAX_HOPS = 24


def list_entries(count: int) -> dict[str, str]:
    return {f"e{n}": f"z{n % 7}" for n in range(count)}


@pytest.mark.parametrize("count", SIZES)
@pytest.mark.parametrize("dead_each", [0, 10])
def test_gossip_reaches_all_entries_in_few_hops(
    count: int, dead_each: int
) -> None:
    entries = list(list_entries(count))
    dead = set(entries[1::dead_each]) if dead_each else set()
    # The neighbours are chosen from a view that still has the dead entries.
    links = {host: topology.list_neighbours(host, entries) for host in entries}
    reached = {entries[0]}
    hops = 0
    new = {entries[0]}
    while new and hops < MAX_HOPS:
        hops += 1
        received = {peer for host in new for peer in links[host]}
        new = received - dead - reached
        reached |= new
    # An entry whose senders are all dead gets the gossip in the replies to its
    # own heartbeats.
    missed = set(entries) - dead - reached
    assert len(missed) <= count // 100
    assert all(reached & set(links[host]) for host in missed)
    max_fan_out = max(len(peers) for peers in links.values())
    assert max_fan_out <= max(
        topology.FULL_MESH_LIMIT - 1, topology.FINGER_COUNT
    )


@pytest.mark.parametrize("count", SIZES)
def test_reports_and_watches_are_spread_evenly(count: int) -> None:
    entries = list_entries(count)
    loads: collections.Counter[str] = collections.Counter()
    for number in range(600):
        zone = f"z{number % 7}"
        targets = topology.list_report_targets(f"s{number}", zone, entries)
        loads.update(targets)
        if not topology.is_mesh(count):
            assert len(targets) == topology.REPORT_TARGET_COUNT
            assert {entries[host] == zone for host in targets} == {True, False}
    mean = sum(loads.values()) / count
    assert max(loads.values()) <= mean + 6 * max(1.0, mean) ** 0.5
    for zone in set(entries.values()):
        same_zone = [host for host in entries if entries[host] == zone]
        watchers = topology.list_watchers(zone, same_zone)
        assert 0 < len(watchers) <= topology.WATCHER_COUNT
        # The loss of a watcher replaces only that one.
        rest = [host for host in same_zone if host != watchers[0]]
        assert set(watchers[1:]) <= set(topology.list_watchers(zone, rest))


def test_reports_are_sent_a_bounded_number_of_times() -> None:
    board = dissemination.DisseminationBoard()
    controller = dissemination.DisseminationController()
    for number in range(20):
        controller.enqueue(
            board,
            {
                "host": f"h{number}",
                "role": "sidecar",
                "zone": "z",
                "address": "",
                "incarnation": "a",
                "route": "r",
                "leaving": False,
                "sequence": 1,
                "state": "live",
            },
            340,
        )
    sends: collections.Counter[str] = collections.Counter()
    while board.sends_left:
        picked = controller.take_batch(board)
        assert 0 < len(picked) <= dissemination.MAX_REPORTS_PER_MESSAGE
        sends.update(report["host"] for report in picked)
    assert set(sends.values()) == {dissemination.RETRANSMIT_FACTOR * 9}


def make_locations(*names: str) -> list[types.EntryLocation]:
    return [
        {"host": name, "zone": "z", "address": f"at-{name}"} for name in names
    ]


def test_sidecar_replaces_unreachable_report_targets() -> None:
    controller = reporting.ReportingController("s", "z")
    board = reporting.ReportingBoard(["at-e0"])
    assert controller.list_targets(board) == ["at-e0"]
    entries = list(list_entries(20))
    controller.adopt_directory(board, "at-e0", make_locations(*entries))
    first, second = controller.list_targets(board)
    for _ in range(reporting.UNREACHABLE_AFTER_FAILURES):
        controller.record_failure(board, first)
    assert first not in controller.list_targets(board)
    assert second in controller.list_targets(board)
    controller.record_success(board, first)
    assert controller.list_targets(board) == [first, second]


def test_disagreeing_entries_do_not_replace_each_other() -> None:
    """Entries that have lost each other send different directories."""
    controller = reporting.ReportingController("s", "z")
    board = reporting.ReportingBoard(["at-a"])
    controller.adopt_directory(board, "at-a", make_locations("a", "b"))
    for _ in range(3):
        controller.adopt_directory(board, "at-a", make_locations("a"))
        controller.adopt_directory(board, "at-b", make_locations("b"))
        assert sorted(controller.list_targets(board)) == ["at-a", "at-b"]
        digests = {
            entry: controller.digest_directory(board, entry)
            for entry in ("at-a", "at-b")
        }
        assert digests["at-a"] == topology.digest_directory(
            make_locations("a")
        )
        assert digests["at-b"] == topology.digest_directory(
            make_locations("b")
        )


def test_isolated_sidecar_uses_the_host_list() -> None:
    controller = reporting.ReportingController("s", "z")
    board = reporting.ReportingBoard(["at-old"])
    assert not board.is_isolated()
    controller.record_failure(board, "at-old")
    assert board.is_isolated()
    controller.adopt_hosts(
        board,
        [
            {
                "host": "e",
                "role": "entry",
                "zone": "z",
                "address": "at-new",
                "state": "live",
            },
        ],
    )
    assert "at-new" in controller.list_targets(board)
