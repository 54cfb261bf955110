"""Copy of the quarantined prompt parts in the store.

Gossip tells a gateway that starts of them, but not if all gateways end
together. The delegates read the copy at their start and write what changes.
"""

from __future__ import annotations

import asyncio
import random
import time

import eliot
import msgspec

from cyclamenwing.gateway import blackboard
from cyclamenwing.routing import poison_parts
from cyclamenwing.store import errors as store_errors
from cyclamenwing.store import protocol

KEY = "cyclamenwing/poison-parts"
MAX_RECORDS_STORED = 128
CHECK_INTERVAL_S = 0.5
RETRY_DELAY_S = 1.0
MS_PER_S = 1000
SOURCE = "store"


class PoisonRecordStore:
    """Keep the copy of the quarantined parts in the store up to date."""

    def __init__(
        self,
        board: blackboard.Blackboard,
        store: protocol.TransactionStore,
        settled: asyncio.Event,
    ) -> None:
        self._board = board
        self._store = store
        self._settled = settled
        # What the store holds, and its revision; None if not read in this era.
        self._stored: dict[str, poison_parts.PartRecord] | None = None
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
        parts = self._board.poison_parts
        if self._stored is None or self._era != self._board.eras.known:
            await self._read()
        elif parts.number == self._checked:
            return
        number = parts.number
        stored = self._stored or {}
        records = self._list_records(stored)
        if records == stored:
            self._checked = number
            return
        outcome = await self._store.commit(
            [(KEY, self._revision)],
            [(KEY, msgspec.json.encode(list(records.values())))],
        )
        if isinstance(outcome, protocol.Conflict):
            self._stored = None
            return
        self._stored, self._revision = records, outcome.revision
        self._checked = number
        eliot.log_message(
            "suspect:record_written",
            parts=list(records),
            revision=outcome.revision,
        )

    async def _read(self) -> None:
        snapshot = await self._store.read(KEY)
        self._era = snapshot.era
        self._stored, self._revision = {}, 0
        for entry in snapshot.entries:
            if entry.key != KEY:
                continue
            self._revision = entry.revision
            try:
                records = msgspec.json.decode(
                    entry.value, type=list[poison_parts.PartRecord]
                )
            except (msgspec.DecodeError, UnicodeDecodeError) as err:
                eliot.log_message(
                    "suspect:record_unreadable", key=KEY, reason=str(err)
                )
                continue
            self._stored = {record.part: record for record in records}
            changed = self._board.poison_parts.merge_notices(
                records, SOURCE, _read_ms()
            )
            eliot.log_message(
                "suspect:record_read", parts=list(self._stored), new=changed
            )

    def _list_records(
        self, stored: dict[str, poison_parts.PartRecord]
    ) -> dict[str, poison_parts.PartRecord]:
        """Return the records that the store should hold.

        Those of parts that were acquitted since are kept, as another gateway
        may have the crashes still.
        """
        parts = self._board.poison_parts
        names = [item.part for item in parts.list_quarantined(_read_ms())]
        records = dict(stored)
        for name in (*stored, *names):
            record = parts.find_record(name)
            if record is not None:
                records[name] = record
        return dict(list(records.items())[-MAX_RECORDS_STORED:])


def _read_ms() -> int:
    return int(time.time() * MS_PER_S)


__all__ = (
    "KEY",
    "PoisonRecordStore",
)
