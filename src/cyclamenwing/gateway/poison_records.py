"""Copies of the quarantined requests and prompt parts in the store.

Gossip tells a gateway that starts of them, but not if all gateways end
together. The delegates read the copies at their start and write what changes.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any
from typing import Protocol

import eliot
import msgspec

from cyclamenwing import decoding
from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import crash_notices
from cyclamenwing.routing import poison_parts
from cyclamenwing.routing import quarantine
from cyclamenwing.store import errors as store_errors
from cyclamenwing.store import protocol

PARTS_KEY = "cyclamenwing/poison-parts"
REQUESTS_KEY = "cyclamenwing/poison-requests"
MAX_RECORDS_STORED = 128
MAX_REQUESTS_STORED = 512
CHECK_INTERVAL_S = 0.5
RETRY_DELAY_S = 1.0
MS_PER_S = 1000
SOURCE = "store"

Records = Mapping[str, Any]


class RecordSource(Protocol):
    """Hold the records of one kind in memory.

    :ivar key: key of their copy in the store
    :ivar list_type: type of all records as they are stored
    """

    key: str
    list_type: Any

    @property
    def number(self) -> int:
        """Return the number of the last change of any record."""

    def name(self, record: Any) -> str:
        """Return what a record is about."""

    def merge(self, records: Iterable[Any]) -> list[str]:
        """Merge records of the store; return the names of those changed."""

    def select(self, stored: Records) -> dict[str, Any]:
        """Return the records that the store should hold."""


class PartRecords:
    """Hold the records of quarantined parts of prompts."""

    key = PARTS_KEY
    list_type: Any = list[poison_parts.PartRecord]

    def __init__(self, board: blackboard.Blackboard) -> None:
        self._parts = board.poison_parts

    @property
    def number(self) -> int:
        """Return the number of the last change of any record."""
        return self._parts.number

    def name(self, record: poison_parts.PartRecord) -> str:
        """Return the part."""
        return record.part

    def merge(self, records: Iterable[poison_parts.PartRecord]) -> list[str]:
        """Merge records of the store; return the parts that changed."""
        return self._parts.merge_notices(records, SOURCE, _read_ms())

    def select(self, stored: Records) -> dict[str, Any]:
        """Return the records that the store should hold.

        Those of parts that were acquitted since are kept, as another gateway
        may have the crashes still.
        """
        names = [i.part for i in self._parts.list_quarantined(_read_ms())]
        records = dict(stored)
        for name in (*stored, *names):
            record = self._parts.find_record(name)
            if record is not None:
                records[name] = record
        return dict(list(records.items())[-MAX_RECORDS_STORED:])


class RequestRecords:
    """Hold the records of quarantined requests."""

    key = REQUESTS_KEY
    list_type: Any = list[crash_notices.CrashNotice]

    def __init__(self, board: blackboard.Blackboard) -> None:
        self._board = board.quarantine
        self._controller = quarantine.QuarantineController()

    @property
    def number(self) -> int:
        """Return the number of the last change of any record."""
        return self._board.number

    def name(self, record: crash_notices.CrashNotice) -> str:
        """Return the request's fingerprint."""
        return record.fingerprint

    def merge(self, records: Iterable[crash_notices.CrashNotice]) -> list[str]:
        """Merge records of the store; return the fingerprints changed."""
        before = dict(self._board.numbers)
        names = []
        for record in records:
            self._controller.merge_record(
                self._board, record.unpack(), _read_ms(), SOURCE
            )
            names.append(record.fingerprint)
        return [
            n for n in names if self._board.numbers.get(n) != before.get(n)
        ]

    def select(self, stored: Records) -> dict[str, Any]:
        """Return the records that the store should hold.

        All gateways keep the same ones of too many: those with the latest
        crashes. Those that were cleared since are left out.
        """
        records = dict(stored)
        for name, record in self._board.records.items():
            if len(record["crashes"]) >= quarantine.MAX_CRASHES_KEPT:
                records[name] = crash_notices.CrashNotice(**record)
            else:
                records.pop(name, None)
        ranked = sorted(
            records.values(), key=lambda r: (r.crashes[-1][1], r.fingerprint)
        )
        return {r.fingerprint: r for r in ranked[-MAX_REQUESTS_STORED:]}


class PoisonRecordStore:
    """Keep the copy of one kind of records in the store up to date."""

    def __init__(
        self,
        board: blackboard.Blackboard,
        store: protocol.TransactionStore,
        settled: asyncio.Event,
        source: RecordSource,
    ) -> None:
        self._board = board
        self._store = store
        self._settled = settled
        self._source = source
        # What the store holds, and its revision; None if not read in this era.
        self._stored: dict[str, Any] | None = None
        self._revision = 0
        self._era = 0
        # Number of the last change of the records that was looked at.
        self._checked = 0

    async def run(self) -> None:
        """Read the copy, then write changes until cancelled."""
        await self._settled.wait()
        while True:
            delay_s = CHECK_INTERVAL_S
            if self._board.roster.acts_as_delegate:
                try:
                    await self._update()
                except store_errors.StoreError as err:
                    eliot.log_message("suspect:record_failed", code=err.code)
                    self._stored = None
                    delay_s = RETRY_DELAY_S
            # Delegates that write at the same time conflict.
            await asyncio.sleep(delay_s * random.uniform(0.5, 1.5))

    async def _update(self) -> None:
        source = self._source
        if self._stored is None or self._era != self._board.eras.known:
            await self._read()
        elif source.number == self._checked:
            return
        number = source.number
        stored = self._stored or {}
        records = source.select(stored)
        if records == stored:
            self._checked = number
            return
        outcome = await self._store.commit(
            [(source.key, self._revision)],
            [(source.key, msgspec.json.encode(list(records.values())))],
        )
        if isinstance(outcome, protocol.Conflict):
            self._stored = None
            return
        self._stored, self._revision = records, outcome.revision
        self._checked = number
        eliot.log_message(
            "suspect:record_written",
            key=source.key,
            records=list(records),
            revision=outcome.revision,
        )

    async def _read(self) -> None:
        source = self._source
        snapshot = await self._store.read(source.key)
        self._era = snapshot.era
        self._stored, self._revision = {}, 0
        for entry in snapshot.entries:
            if entry.key != source.key:
                continue
            self._revision = entry.revision
            try:
                records = decoding.decode(entry.value, source.list_type)
            except msgspec.DecodeError as err:
                eliot.log_message(
                    "suspect:record_unreadable",
                    key=source.key,
                    reason=str(err),
                )
                continue
            self._stored = {source.name(r): r for r in records}
            eliot.log_message(
                "suspect:record_read",
                key=source.key,
                records=list(self._stored),
                new=source.merge(records),
            )


def _read_ms() -> int:
    return int(time.time() * MS_PER_S)


__all__ = (
    "MAX_REQUESTS_STORED",
    "PartRecords",
    "PoisonRecordStore",
    "RequestRecords",
)
