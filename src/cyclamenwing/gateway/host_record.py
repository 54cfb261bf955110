"""Record of usage bounds of the own host in the store."""

from __future__ import annotations

import pathlib
import time
from collections.abc import Mapping

import eliot

from cyclamenwing.budget import escrow
from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import records
from cyclamenwing.store import protocol

HOLDER_PREFIX = "cyclamenwing/holders/"
BOOT_ID_PATH = pathlib.Path("/proc/sys/kernel/random/boot_id")


class HostRecord:
    """Make this process's record and judge those found in its place."""

    def __init__(
        self, board: blackboard.Blackboard, store: protocol.TransactionStore
    ) -> None:
        self._board = board
        self._store = store
        self.key = HOLDER_PREFIX + board.settings.host
        self._process_start = records.ProcessStart(
            read_boot_id(), clock.read_time(), time.time()
        )
        # Whether an earlier process wrote a record, None until it is known.
        self.predecessor_found: bool | None = None
        # Earlier processes of the host whose record this one has replaced.
        self._replaced: set[str] = set()

    def find(self, snapshot: protocol.Snapshot) -> protocol.Entry | None:
        """Return the record's entry, None if there is none."""
        return next((e for e in snapshot.entries if e.key == self.key), None)

    async def has_predecessor(self) -> bool:
        """Return whether an earlier process of the host wrote a record.

        It may have died as a delegate with holdings to release.
        """
        if self.predecessor_found is not None:
            return self.predecessor_found
        snapshot = await self._store.read(self.key)
        entry = self.find(snapshot)
        record = entry and records.read_holder(entry)
        self.predecessor_found = record is not None and bool(
            record.promises or record.former
        )
        return self.predecessor_found

    def load_predecessors(self, entry: protocol.Entry) -> None:
        """Read the predecessors from the record that this one replaces."""
        board = self._board
        record = records.read_holder(entry)
        if record is None or record.holder == board.escrow.holder:
            # Nothing can be released, or this process wrote the record and
            # the answer to the commit was lost.
            return
        self._replaced |= {record.holder, *(f.holder for f in record.former)}
        if 0 < record.era < board.escrow.era:
            # Later usage bounds were lost, so the predecessors may have used
            # all that they held.
            eliot.log_message(
                "funds:predecessor_outdated",
                holder=record.holder,
                era=record.era,
            )
            return
        board.predecessors = records.read_predecessors(
            record, self._process_start
        )
        if record.promises:
            # A retired gateway's record is not renewed; its age says nothing.
            board.predecessor_wall_age_s = board.predecessors[
                -1
            ].wall_elapsed_s

    def make(
        self,
        usage_bounds: Mapping[str, escrow.UsageBound],
        now_s: float,
        voters: tuple[str, ...] = (),
    ) -> records.HolderRecord:
        """Return the record to write."""
        wall_s = time.time()
        clock_lead_s = self._board.bound_clock_lead(wall_s, now_s)
        return records.HolderRecord(
            self._board.escrow.holder,
            self._process_start.boot_id,
            now_s,
            wall_s,
            records.write_usage_bounds(usage_bounds),
            records.write_predecessors(self._board.predecessors),
            clock_lead_s is not None,
            self._board.escrow.era,
            bool(self._board.escrow.unrestored),
            clock_lead_s,
            voters,
            self._board.fences.next_adopted,
        )

    def is_replaced(self, entry: protocol.Entry) -> bool:
        """Return whether another process has taken over the host's record.

        In an older copy of the store it may be a predecessor's again. A
        record that can't be read may be a successor's of another version.
        """
        record = records.read_holder(entry)
        start = self._process_start
        return record is None or not (
            record.holder == self._board.escrow.holder
            or record.holder in self._replaced
            or (
                record.era < self._board.escrow.era
                and record.boot_id == start.boot_id != ""
                and record.since_s < start.boot_s
            )
        )


def read_boot_id() -> str:
    """Return the id of the host's current boot, empty if it is unknown."""
    try:
        return BOOT_ID_PATH.read_text().strip()
    except OSError as err:
        eliot.log_message("funds:no_boot_id", reason=str(err))
        return ""


__all__ = (
    "HOLDER_PREFIX",
    "HostRecord",
    "read_boot_id",
)
