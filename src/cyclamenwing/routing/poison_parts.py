"""Quarantine of poison parts: prompt parts that crash endpoints.

Handles the pattern of many different requests, at any gateway, that share one
part of their prompt and crash each endpoint as it begins to answer. Sound
requests share their other parts and run beside them, so they are cut by the
same crashes. A part is suspect if a request with it had no answer yet when an
endpoint crashed; an answer to any request with the part acquits it. A part
that stays suspect over several crashes is quarantined: requests with it are
refused. Gateways exchange the crashes of parts as notices.

The last part of a prompt belongs to one request or session and is left out.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable
from collections.abc import Sequence
from typing import NamedTuple

import xxhash

# Crashes after which a part is quarantined, without an answer since the first.
CRASHES_TO_QUARANTINE = 3
# The same for a part that was answered lately. It is probably sound, and an
# outage of many endpoints may hit a part that is in every request.
CRASHES_AFTER_ANSWERS = 5
ANSWERED_TTL_MS = 60_000
# Endpoints that crash together count once: a poison part ends one at a time.
MIN_GAP_MS = 250
# Without a start time in its entry, an endpoint is known to have started again
# only by the time of its crash.
UNKNOWN_START_MS = 2_500
# A quarantine ends after this time, twice as long for each further crash. The
# next crash starts it again, so a part that is still poison ends one endpoint.
HOLD_MS = 60_000
MAX_HOLD_DOUBLINGS = 6
RECORD_TTL_MS = 24 * 3_600 * 1_000
MAX_CRASHES_KEPT = 16
MAX_RECORDS = 1_024
MAX_ANSWERED = 4_096
MAX_PARTS_PER_REQUEST = 256
MAX_PART_CHARS = 64
MAX_RECORDS_PER_MESSAGE = 128


class PartRecord(NamedTuple):
    """Hold the crashes at which requests with a part had no answer yet.

    Times are in ms since the epoch. Crashes up to `cleared_ms`, the time of an
    answer or of an operator's order, no longer count.

    :param depth: position of the part in its prompts; earlier parts are
        shared by more requests
    :param crashes: time of each crash by incarnation of an endpoint
    """

    part: str
    depth: int
    crashes: dict[str, int]
    cleared_ms: int = 0


class Quarantined(NamedTuple):
    """Describe the quarantine of a part.

    :param crashes: crashes that count, those of many endpoints at once as one
    """

    part: str
    crashes: int
    until_ms: int


class _Verdict(NamedTuple):
    crashes: int
    last_ms: int


class _NumberedRecord(NamedTuple):
    record: PartRecord
    number: int
    changed_ms: int
    source: str


@dataclasses.dataclass(slots=True)
class PoisonParts:
    """Hold the records of suspect parts, and merge those of other gateways.

    `number` counts the changes. Each record carries the number of its last
    change, so that a peer is sent what it has not confirmed yet.
    """

    number: int = 0
    _records: dict[str, _NumberedRecord] = dataclasses.field(
        default_factory=dict
    )
    # Times of the latest answers by part, the oldest first.
    _answered: collections.OrderedDict[str, int] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    # Parts with enough crashes for a quarantine.
    _verdicts: dict[str, _Verdict] = dataclasses.field(default_factory=dict)

    def record_crash(
        self,
        names: Sequence[str],
        endpoint: str,
        started_ms: int,
        at_ms: int,
        now_ms: int,
    ) -> list[str]:
        """Record a crash for the parts of a request without an answer.

        :param names: parts of its prompt, in order
        :param started_ms: start of the endpoint's process, 0 if not known
        :param at_ms: time at which the request was lost
        :return: the parts that were suspect already, and are now by one more
        """
        crash = f"{endpoint} {started_ms or at_ms // UNKNOWN_START_MS}"
        counted = []
        for depth, name in enumerate(list_shared(names)):
            if self._merge(
                PartRecord(name, depth, {crash: at_ms}), now_ms, ""
            ):
                counted.append(name)
        self._judge()
        return counted

    def record_answer(self, names: Sequence[str], now_ms: int) -> list[str]:
        """Acquit the parts of a request whose answer has begun.

        :return: the parts that were suspect until now
        """
        acquitted = []
        for name in list_shared(names):
            self._answered[name] = now_ms
            self._answered.move_to_end(name)
            if self.clear(name, now_ms):
                acquitted.append(name)
        while len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)
        return acquitted

    def clear(self, part: str, now_ms: int) -> bool:
        """Clear the crashes of a part; return whether there were any."""
        known = self._records.get(part)
        if known is None or not known.record.crashes:
            return False
        # The crashes may have been timed by clocks that are ahead.
        latest_ms = max(known.record.crashes.values())
        cleared = known.record._replace(
            crashes={}, cleared_ms=max(now_ms, latest_ms)
        )
        self._merge(cleared, now_ms, "")
        self._judge()
        return True

    def find_quarantined(
        self, names: Sequence[str], now_ms: int
    ) -> Quarantined | None:
        """Return the quarantine of one of a request's parts, if any."""
        if not self._verdicts:
            return None
        for name in list_shared(names):
            found = self._read_quarantine(name, now_ms)
            if found is not None:
                return found
        return None

    def is_quarantined(self, part: str, now_ms: int) -> bool:
        """Return whether requests with a part are refused."""
        return self._read_quarantine(part, now_ms) is not None

    def list_quarantined(self, now_ms: int) -> list[Quarantined]:
        """Return all parts that are quarantined now."""
        found = [
            self._read_quarantine(name, now_ms) for name in self._verdicts
        ]
        return [item for item in found if item is not None]

    def count_crashes(self, part: str) -> int:
        """Return the crashes of a part that count."""
        known = self._records.get(part)
        return _count_events(known.record.crashes.values()) if known else 0

    def find_record(self, part: str) -> PartRecord | None:
        """Return the record of a part, if there is one."""
        known = self._records.get(part)
        return known.record if known else None

    def list_notices(
        self, after: int, receiver: str
    ) -> tuple[list[PartRecord], int]:
        """Return the next changed records for a peer.

        :param after: number of the last change that the peer has confirmed
        :return: the records, and the number that confirms them
        """
        if after == self.number:
            return [], after
        changed = sorted(
            (item for item in self._records.values() if item.number > after),
            key=lambda item: item.number,
        )
        sent = changed[:MAX_RECORDS_PER_MESSAGE]
        number = sent[-1].number if len(sent) < len(changed) else self.number
        return (
            [
                item.record
                for item in sent
                if not (item.source and item.source == receiver)
            ],
            number,
        )

    def merge_notices(
        self, records: Iterable[PartRecord], source: str, now_ms: int
    ) -> list[str]:
        """Merge the records of a peer; return the parts that changed."""
        changed = [
            record.part
            for record in records
            if self._merge(record, now_ms, source)
        ]
        if changed:
            self._judge()
        return changed

    def expire(self, now_ms: int) -> None:
        """Drop the records that have not changed for long."""
        old = [
            name
            for name, item in self._records.items()
            if now_ms - item.changed_ms > RECORD_TTL_MS
        ]
        for name in old:
            del self._records[name]
        if old:
            self._judge()

    def _read_quarantine(self, part: str, now_ms: int) -> Quarantined | None:
        verdict = self._verdicts.get(part)
        if verdict is None:
            return None
        answered_ms = max(
            self._answered.get(part, 0), self._records[part].record.cleared_ms
        )
        needed = CRASHES_TO_QUARANTINE
        if now_ms - answered_ms < ANSWERED_TTL_MS:
            needed = CRASHES_AFTER_ANSWERS
        if verdict.crashes < needed:
            return None
        doublings = min(
            verdict.crashes - CRASHES_TO_QUARANTINE, MAX_HOLD_DOUBLINGS
        )
        until_ms = verdict.last_ms + HOLD_MS * 2**doublings
        if now_ms >= until_ms:
            return None
        return Quarantined(part, verdict.crashes, until_ms)

    def _merge(self, update: PartRecord, now_ms: int, source: str) -> bool:
        known = self._records.get(update.part)
        existing = known.record if known else None
        crashes = dict(existing.crashes) if existing else {}
        cleared_ms = max(
            update.cleared_ms, existing.cleared_ms if existing else 0
        )
        # An answer here may be newer than crashes that are reported only now.
        # Others have to know of earlier ones too, but not of each.
        answered_ms = self._answered.get(update.part, 0)
        if (
            any(at_ms <= answered_ms for at_ms in update.crashes.values())
            or answered_ms - cleared_ms > ANSWERED_TTL_MS // 2
        ):
            cleared_ms = max(cleared_ms, answered_ms)
        for crash, at_ms in update.crashes.items():
            crashes[crash] = min(at_ms, crashes.get(crash, at_ms))
        latest = sorted(crashes.items(), key=lambda item: (item[1], item[0]))
        merged = PartRecord(
            update.part,
            max(update.depth, existing.depth) if existing else update.depth,
            {
                crash: at_ms
                for crash, at_ms in latest[-MAX_CRASHES_KEPT:]
                if at_ms > cleared_ms
            },
            cleared_ms,
        )
        if merged == existing:
            return False
        if existing is None and not merged.crashes and merged == update:
            return False
        self.number += 1
        self._records[update.part] = _NumberedRecord(
            merged,
            self.number,
            now_ms,
            source if merged == update else "",
        )
        self._evict()
        return True

    def _evict(self) -> None:
        if len(self._records) > MAX_RECORDS:
            item = min(
                self._records.values(),
                key=lambda i: (len(i.record.crashes), i.number),
            )
            del self._records[item.record.part]

    def _judge(self) -> None:
        """Find the parts with enough crashes that no deeper part explains.

        Parts that are always in the same prompts are suspect together. The
        deepest of them is in the fewest other requests.
        """
        counts = {
            name: _count_events(item.record.crashes.values())
            for name, item in self._records.items()
            if len(item.record.crashes) >= CRASHES_TO_QUARANTINE
        }
        records = [
            self._records[name].record
            for name, crashes in counts.items()
            if crashes >= CRASHES_TO_QUARANTINE
        ]
        self._verdicts = {
            record.part: _Verdict(
                counts[record.part], max(record.crashes.values())
            )
            for record in records
            if not any(_explains(other, record) for other in records)
        }


def list_shared(names: Sequence[str]) -> list[str]:
    """Return the parts that other requests may share, with short names."""
    return [shorten(name) for name in names[:-1][:MAX_PARTS_PER_REQUEST]]


def shorten(name: str) -> str:
    """Return a part's name, a hash of it if it is long."""
    if len(name) <= MAX_PART_CHARS:
        return name
    return xxhash.xxh64_hexdigest(name.encode())


def _explains(other: PartRecord, record: PartRecord) -> bool:
    return (
        other.depth > record.depth
        and record.crashes.keys() <= other.crashes.keys()
    )


def _count_events(times_ms: Iterable[int]) -> int:
    count = 0
    counted_ms: int | None = None
    for at_ms in sorted(times_ms):
        if counted_ms is None or at_ms - counted_ms >= MIN_GAP_MS:
            count += 1
            counted_ms = at_ms
    return count


__all__ = (
    "CRASHES_AFTER_ANSWERS",
    "CRASHES_TO_QUARANTINE",
    "PartRecord",
    "PoisonParts",
    "Quarantined",
    "list_shared",
    "shorten",
)
