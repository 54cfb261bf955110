"""Quarantine of poison requests, which crash the endpoints that run them.

Processes exchange records of crashes by gossip. A request that was running at
one crash is suspect: only one entry at a time may run it. A second crash puts
it in quarantine. Gateways have no suspects; they refuse a request after the
number of crashes in `MAX_CRASHES_KEPT`.
"""

from __future__ import annotations

import collections
import dataclasses
import itertools
from collections.abc import Iterable
from typing import Literal
from typing import NamedTuple
from typing import TypedDict

State = Literal["clear", "suspect", "quarantined"]

FINGERPRINT_CHARS = 16
CRASHES_TO_QUARANTINE = 2
# Crashes that a record keeps. Gateways refuse a request only after this many,
# as their endpoints run many requests at once.
MAX_CRASHES_KEPT = 3
# Crash reports of one endpoint within this time count as one crash.
CRASH_MERGE_WINDOW_MS = 2_000
# A suspect request waits this long after its claim, so that competing claims
# and records arrive first.
CLAIM_DELAY_MS = 1_000
CLAIM_TTL_MS = 3_500
RECORD_TTL_MS = 24 * 3_600 * 1_000
MAX_RECORDS = 4_096
# Records dropped at once where there are too many.
DROPPED_RECORDS = 512
RECENT_MS = 3_000
MAX_RECENT_RECORDS = 16
MAX_OLD_RECORDS = 2
# Records of each kind in one message to a peer that confirms them.
MAX_CHANGED_RECORDS = 64


class CrashRecord(TypedDict):
    """Hold the crashes at which a request was running: endpoint and time.

    Times are in ms since the epoch. Crashes up to `cleared_ms` no longer
    count.
    """

    fingerprint: str
    crashes: list[tuple[str, int]]
    cleared_ms: int


class SuspectClaim(TypedDict):
    """Announce that an entry runs a suspect request or waits to run it."""

    fingerprint: str
    entry: str
    request: str
    since_ms: int
    running: bool


class QuarantineGossip(TypedDict):
    """Hold the records and claims of one gossip message."""

    records: list[CrashRecord]
    claims: list[SuspectClaim]


class Cursors(NamedTuple):
    """Hold up to which changes a peer has the records of each kind.

    :param repeated: of records with several crashes
    :param others: of all other records
    """

    repeated: int = 0
    others: int = 0


START = Cursors()


class _ReceivedClaim(NamedTuple):
    claim: SuspectClaim
    received_ms: int


@dataclasses.dataclass(slots=True)
class QuarantineBoard:
    """Hold records and claims by fingerprint.

    Records stand in the order of their last change.

    :ivar changed_ms: time of each record's last change
    :ivar numbers: number of each record's last change
    :ivar sources: host that each record's last change came from, empty if it
        was seen here
    :ivar number: number of the last change of any record
    :ivar recent_offset: position of the recent records sent last
    :ivar old_offset: position of the older records sent last
    """

    records: collections.OrderedDict[str, CrashRecord] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    changed_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    claims: dict[str, dict[str, _ReceivedClaim]] = dataclasses.field(
        default_factory=dict
    )
    numbers: dict[str, int] = dataclasses.field(default_factory=dict)
    sources: dict[str, str] = dataclasses.field(default_factory=dict)
    number: int = 0
    recent_offset: int = 0
    old_offset: int = 0


class QuarantineController:
    """Maintain, merge and exchange records of crashes."""

    def read_state(self, board: QuarantineBoard, fingerprint: str) -> State:
        """Return the state of a request; a quarantined one must not run."""
        record = board.records.get(_shorten(fingerprint))
        if record is None or not record["crashes"]:
            return "clear"
        if len(record["crashes"]) < CRASHES_TO_QUARANTINE:
            return "suspect"
        return "quarantined"

    def record_crash(
        self, board: QuarantineBoard, fingerprint: str, host: str, now_ms: int
    ) -> None:
        """Record that a request was running when an endpoint crashed."""
        self.merge_record(
            board,
            {
                "fingerprint": _shorten(fingerprint),
                "crashes": [(host, now_ms)],
                "cleared_ms": 0,
            },
            now_ms,
        )

    def clear(
        self,
        board: QuarantineBoard,
        fingerprint: str,
        up_to_ms: int,
        now_ms: int,
    ) -> bool:
        """Clear the crashes up to a time; return False if there are none.

        A complete answer clears the crashes before its run started; an
        operator clears all crashes up to now.
        """
        short = _shorten(fingerprint)
        if self.read_state(board, short) == "clear":
            return False
        update: CrashRecord = {
            "fingerprint": short,
            "crashes": [],
            "cleared_ms": up_to_ms,
        }
        self.merge_record(board, update, now_ms)
        return True

    def try_claim(
        self,
        board: QuarantineBoard,
        fingerprint: str,
        entry: str,
        request: str,
        now_ms: int,
    ) -> bool:
        """Claim a suspect request; return whether it may run now.

        It may once `CLAIM_DELAY_MS` have passed and no other entry runs it
        or has an earlier claim.
        """
        short = _shorten(fingerprint)
        by_entry = board.claims.setdefault(short, {})
        if entry not in by_entry:
            by_entry[entry] = _ReceivedClaim(
                {
                    "fingerprint": short,
                    "entry": entry,
                    "request": request,
                    "since_ms": now_ms,
                    "running": False,
                },
                now_ms,
            )
        own = by_entry[entry].claim
        if (
            own["request"] != request
            or now_ms - own["since_ms"] < CLAIM_DELAY_MS
        ):
            return False
        others = [
            received.claim
            for name, received in by_entry.items()
            if name != entry and now_ms - received.received_ms < CLAIM_TTL_MS
        ]
        if any(claim["running"] or _precedes(claim, own) for claim in others):
            return False
        own["running"] = True
        return True

    def release_claim(
        self,
        board: QuarantineBoard,
        fingerprint: str,
        entry: str,
        request: str,
    ) -> None:
        """Release an entry's claim, if it belongs to this request."""
        short = _shorten(fingerprint)
        received = board.claims.get(short, {}).get(entry)
        if received is None or received.claim["request"] != request:
            return
        del board.claims[short][entry]
        if not board.claims[short]:
            del board.claims[short]

    def make_gossip(
        self, board: QuarantineBoard, entry: str, now_ms: int
    ) -> QuarantineGossip | None:
        """Return recently changed records, some older ones and own claims.

        Both are sent in rotation: a crash of a busy endpoint leaves more
        records than a message holds, and processes that start later receive
        the older ones too. Those with several crashes are always sent.
        """
        recent = self._select_recent(board, now_ms)
        names = recent + [
            name for name in self._select_old(board) if name not in recent
        ]
        claims = [
            received.claim
            for by_entry in board.claims.values()
            for name, received in by_entry.items()
            if name == entry
        ]
        if not names and not claims:
            return None
        records = [board.records[name] for name in names]
        return {"records": records, "claims": claims}

    def list_changed(
        self, board: QuarantineBoard, after: Cursors, receiver: str
    ) -> tuple[list[CrashRecord], Cursors]:
        """Return the next changed records for a peer, and what confirms them.

        :param after: changes that the peer has confirmed
        :param receiver: its host, which needs no records that came from it
        """
        if min(after) >= board.number:
            return [], after
        changed = list(
            itertools.takewhile(
                lambda name: board.numbers[name] > min(after),
                reversed(board.records),
            )
        )[::-1]
        names: list[str] = []
        cursors = []
        for kind, cursor in enumerate(after):
            due = [
                name
                for name in changed
                if board.numbers[name] > cursor
                and _is_repeated(board.records[name]) == (kind == 0)
            ]
            sent = due[:MAX_CHANGED_RECORDS]
            cursors.append(
                board.number
                if len(sent) == len(due)
                else board.numbers[sent[-1]]
            )
            names += [n for n in sent if board.sources[n] != receiver]
        return [board.records[name] for name in names], Cursors(*cursors)

    def receive(
        self, board: QuarantineBoard, gossip: QuarantineGossip, now_ms: int
    ) -> None:
        """Merge the records and claims of another process."""
        for record in gossip["records"]:
            self.merge_record(board, record, now_ms)
        for claim in gossip["claims"]:
            by_entry = board.claims.setdefault(claim["fingerprint"], {})
            by_entry[claim["entry"]] = _ReceivedClaim(claim, now_ms)

    def list_records(self, board: QuarantineBoard) -> list[CrashRecord]:
        """Return the records with crashes that were not cleared."""
        return [item for item in board.records.values() if item["crashes"]]

    def expire(self, board: QuarantineBoard, own: str, now_ms: int) -> None:
        """Drop records and other entries' claims that have expired."""
        for name, by_entry in list(board.claims.items()):
            for entry, received in list(by_entry.items()):
                # An own claim is not refreshed by gossip; its request
                # releases it.
                if (
                    entry != own
                    and now_ms - received.received_ms > CLAIM_TTL_MS
                ):
                    del by_entry[entry]
            if not by_entry:
                del board.claims[name]
        expired = itertools.takewhile(
            lambda name: now_ms - board.changed_ms[name] > RECORD_TTL_MS,
            board.records,
        )
        for name in list(expired):
            _drop(board, name)

    def merge_record(
        self,
        board: QuarantineBoard,
        update: CrashRecord,
        now_ms: int,
        source: str = "",
    ) -> None:
        """Merge a record.

        :param source: host that it came from, empty if it was seen here
        """
        name = update["fingerprint"]
        existing = board.records.get(name)
        crashes = existing["crashes"] if existing else []
        cleared_ms = max(
            update["cleared_ms"], existing["cleared_ms"] if existing else 0
        )
        merged: CrashRecord = {
            "fingerprint": name,
            "crashes": _join_crashes(
                [*crashes, *update["crashes"]], cleared_ms
            ),
            "cleared_ms": cleared_ms,
        }
        if merged == existing or (existing is None and not merged["crashes"]):
            return
        board.records[name] = merged
        board.records.move_to_end(name)
        board.changed_ms[name] = now_ms
        board.number += 1
        board.numbers[name] = board.number
        board.sources[name] = source
        if len(board.records) > MAX_RECORDS:
            # Those with the fewest crashes go first, the oldest among them.
            ranked = sorted(
                board.records, key=lambda n: len(board.records[n]["crashes"])
            )
            for dropped in ranked[:DROPPED_RECORDS]:
                _drop(board, dropped)

    def _select_recent(self, board: QuarantineBoard, now_ms: int) -> list[str]:
        recent = list(
            itertools.takewhile(
                lambda name: now_ms - board.changed_ms[name] < RECENT_MS,
                reversed(board.records),
            )
        )
        repeated = [n for n in recent if _is_repeated(board.records[n])]
        first = repeated[:MAX_RECENT_RECORDS]
        others = [name for name in recent if name not in first]
        count = min(MAX_RECENT_RECORDS, len(others))
        board.recent_offset = (board.recent_offset + count) % max(
            len(others), 1
        )
        start = board.recent_offset
        return first + (others + others)[start : start + count]

    def _select_old(self, board: QuarantineBoard) -> list[str]:
        names = list(board.records)
        if not names:
            return []
        board.old_offset = (board.old_offset + MAX_OLD_RECORDS) % len(names)
        return (names + names)[
            board.old_offset : board.old_offset + MAX_OLD_RECORDS
        ][: len(names)]


def _join_crashes(
    crashes: Iterable[tuple[str, int]], cleared_ms: int
) -> list[tuple[str, int]]:
    joined: list[tuple[str, int]] = []
    for host, at_ms in sorted({(host, at) for host, at in crashes}):
        is_same_crash = (
            joined
            and joined[-1][0] == host
            and at_ms - joined[-1][1] < CRASH_MERGE_WINDOW_MS
        )
        if at_ms > cleared_ms and not is_same_crash:
            joined.append((host, at_ms))
    # The state depends on the number of crashes only up to this bound, so
    # later ones need not be sent.
    joined.sort(key=lambda crash: crash[1])
    return joined[:MAX_CRASHES_KEPT]


def _is_repeated(record: CrashRecord) -> bool:
    return len(record["crashes"]) > 1


def _drop(board: QuarantineBoard, name: str) -> None:
    del board.records[name]
    del board.changed_ms[name]
    del board.numbers[name]
    del board.sources[name]


def _precedes(claim: SuspectClaim, other: SuspectClaim) -> bool:
    return (claim["since_ms"], claim["entry"]) < (
        other["since_ms"],
        other["entry"],
    )


def _shorten(fingerprint: str) -> str:
    return fingerprint[:FINGERPRINT_CHARS]


__all__ = (
    "CLAIM_DELAY_MS",
    "CRASHES_TO_QUARANTINE",
    "MAX_CRASHES_KEPT",
    "START",
    "CrashRecord",
    "Cursors",
    "QuarantineBoard",
    "QuarantineController",
    "QuarantineGossip",
    "State",
    "SuspectClaim",
)
