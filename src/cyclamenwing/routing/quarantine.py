"""Quarantine of requests that crash endpoints."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable
from typing import Literal
from typing import NamedTuple
from typing import TypedDict

State = Literal["clear", "suspect", "quarantined"]

FINGERPRINT_CHARS = 16
CRASHES_TO_QUARANTINE = 2
# A gateway, whose endpoints run many requests at once, asks for one more.
MAX_CRASHES_KEPT = 3
# Reports of one endpoint this close together are of one crash.
SAME_CRASH_MS = 2_000
# A suspect waits so long, until what others know has been heard.
CLAIM_DELAY_MS = 1_000
CLAIM_KEPT_MS = 3_500
RECORD_KEPT_MS = 24 * 3_600 * 1_000
MAX_RECORDS = 4_096
FRESH_MS = 3_000
MAX_FRESH_TOLD = 16
MAX_OLD_TOLD = 2


class Record(TypedDict):
    """Tell where a request was present at a crash, and when.

    Times are in ms since the epoch; crashes up to `cleared_ms` do not
    count any more.
    """

    fingerprint: str
    crashes: list[tuple[str, int]]
    cleared_ms: int


class Claim(TypedDict):
    """Tell that an entry runs a suspect or is about to."""

    fingerprint: str
    entry: str
    request: str
    since_ms: int
    running: bool


class QuarantineGossip(TypedDict):
    """Hold records and claims for heartbeats."""

    records: list[Record]
    claims: list[Claim]


class _HeardClaim(NamedTuple):
    claim: Claim
    heard_ms: int


@dataclasses.dataclass(slots=True)
class QuarantineBoard:
    """Hold records and claims by fingerprint."""

    records: collections.OrderedDict[str, Record] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    changed_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    claims: dict[str, dict[str, _HeardClaim]] = dataclasses.field(
        default_factory=dict
    )
    told: int = 0


class QuarantineController:
    """Keep, merge and tell records of crashes."""

    def read_state(self, board: QuarantineBoard, fingerprint: str) -> State:
        """Return whether a request may run."""
        record = board.records.get(_shorten(fingerprint))
        if record is None or not record["crashes"]:
            return "clear"
        if len(record["crashes"]) < CRASHES_TO_QUARANTINE:
            return "suspect"
        return "quarantined"

    def note_crash(
        self, board: QuarantineBoard, fingerprint: str, host: str, now_ms: int
    ) -> None:
        """Make a request that ran at a crashed endpoint suspect."""
        self._merge(
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
        """Let crashes up to a time count no more; False if there are none.

        An answer that came whole clears the crashes before its run, an
        operator those before now.
        """
        short = _shorten(fingerprint)
        if self.read_state(board, short) == "clear":
            return False
        made: Record = {
            "fingerprint": short,
            "crashes": [],
            "cleared_ms": up_to_ms,
        }
        self._merge(board, made, now_ms)
        return True

    def try_claim(
        self,
        board: QuarantineBoard,
        fingerprint: str,
        entry: str,
        request: str,
        now_ms: int,
    ) -> bool:
        """Claim a suspect; True once no other entry runs it or is first."""
        short = _shorten(fingerprint)
        by_entry = board.claims.setdefault(short, {})
        if entry not in by_entry:
            by_entry[entry] = _HeardClaim(
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
            heard.claim
            for name, heard in by_entry.items()
            if name != entry and now_ms - heard.heard_ms < CLAIM_KEPT_MS
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
        """Give a claim up."""
        short = _shorten(fingerprint)
        heard = board.claims.get(short, {}).get(entry)
        if heard is None or heard.claim["request"] != request:
            return
        del board.claims[short][entry]
        if not board.claims[short]:
            del board.claims[short]

    def tell(
        self, board: QuarantineBoard, entry: str, now_ms: int
    ) -> QuarantineGossip | None:
        """Return fresh records, a few old ones in turn and own claims."""
        fresh = [
            name
            for name, changed_ms in board.changed_ms.items()
            if now_ms - changed_ms < FRESH_MS
        ][-MAX_FRESH_TOLD:]
        names = fresh + [
            name for name in self._take_turn(board) if name not in fresh
        ]
        claims = [
            heard.claim
            for by_entry in board.claims.values()
            for name, heard in by_entry.items()
            if name == entry
        ]
        if not names and not claims:
            return None
        records = [board.records[name] for name in names]
        return {"records": records, "claims": claims}

    def hear(
        self, board: QuarantineBoard, news: QuarantineGossip, now_ms: int
    ) -> None:
        """Take over another process's records and claims."""
        for record in news["records"]:
            self._merge(board, record, now_ms)
        for claim in news["claims"]:
            by_entry = board.claims.setdefault(claim["fingerprint"], {})
            by_entry[claim["entry"]] = _HeardClaim(claim, now_ms)

    def list_records(self, board: QuarantineBoard) -> list[Record]:
        """Return the records that still count."""
        return [item for item in board.records.values() if item["crashes"]]

    def expire(self, board: QuarantineBoard, own: str, now_ms: int) -> None:
        """Drop records not changed for long and claims not heard again."""
        for name, by_entry in list(board.claims.items()):
            for entry, heard in list(by_entry.items()):
                # An own claim is heard once and given up by its request.
                if entry != own and now_ms - heard.heard_ms > CLAIM_KEPT_MS:
                    del by_entry[entry]
            if not by_entry:
                del board.claims[name]
        for name, changed_ms in list(board.changed_ms.items()):
            if now_ms - changed_ms > RECORD_KEPT_MS:
                del board.changed_ms[name]
                del board.records[name]

    def _merge(
        self, board: QuarantineBoard, told: Record, now_ms: int
    ) -> None:
        name = told["fingerprint"]
        found = board.records.get(name)
        before = found["crashes"] if found else []
        cleared_ms = max(
            told["cleared_ms"], found["cleared_ms"] if found else 0
        )
        merged: Record = {
            "fingerprint": name,
            "crashes": _join_crashes([*before, *told["crashes"]], cleared_ms),
            "cleared_ms": cleared_ms,
        }
        if merged == found or (found is None and not merged["crashes"]):
            return
        board.records[name] = merged
        board.changed_ms[name] = now_ms
        while len(board.records) > MAX_RECORDS:
            dropped, _ = board.records.popitem(last=False)
            del board.changed_ms[dropped]

    def _take_turn(self, board: QuarantineBoard) -> list[str]:
        names = list(board.records)
        if not names:
            return []
        board.told = (board.told + MAX_OLD_TOLD) % len(names)
        return (names + names)[board.told : board.told + MAX_OLD_TOLD][
            : len(names)
        ]


def _join_crashes(
    crashes: Iterable[tuple[str, int]], cleared_ms: int
) -> list[tuple[str, int]]:
    joined: list[tuple[str, int]] = []
    for host, at_ms in sorted({(host, at) for host, at in crashes}):
        same = (
            joined
            and joined[-1][0] == host
            and at_ms - joined[-1][1] < SAME_CRASH_MS
        )
        if at_ms > cleared_ms and not same:
            joined.append((host, at_ms))
    # The first ones decide, so that more need not be told.
    joined.sort(key=lambda crash: crash[1])
    return joined[:MAX_CRASHES_KEPT]


def _precedes(claim: Claim, other: Claim) -> bool:
    return (claim["since_ms"], claim["entry"]) < (
        other["since_ms"],
        other["entry"],
    )


def _shorten(fingerprint: str) -> str:
    return fingerprint[:FINGERPRINT_CHARS]


__all__ = (
    "CRASHES_TO_QUARANTINE",
    "MAX_CRASHES_KEPT",
    "CLAIM_DELAY_MS",
    "Claim",
    "QuarantineBoard",
    "QuarantineController",
    "QuarantineGossip",
    "Record",
    "State",
)
