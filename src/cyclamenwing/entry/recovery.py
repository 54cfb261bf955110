"""Search for sessions of entries that are gone."""

from __future__ import annotations

import asyncio
import time

import eliot

from cyclamenwing import errors as base_errors
from cyclamenwing.budget import session as sessions
from cyclamenwing.entry import blackboard
from cyclamenwing.entry import closing
from cyclamenwing.entry import witnesses
from cyclamenwing.membership import rendezvous
from cyclamenwing.membership import view
from cyclamenwing.store import keys
from cyclamenwing.store import protocol as store_protocol
from cyclamenwing.transport import part

SCAN_INTERVAL_S = 1.0
DEAD_AFTER_S = 1.0
ORPHAN_INTERVAL_S = 10.0
MEMBER_MEMORY_S = 600.0


class Recovery(part.LoopPart):
    """Have sessions that are gone closed, by one entry at a time.

    :param board: the entry's state
    :param store: the platform's key-value service
    :param asked: questions to sidecars and entries
    :param steps: what closes a session
    """

    def __init__(
        self,
        board: blackboard.EntryBoard,
        store: store_protocol.Store,
        asked: witnesses.Witnesses,
        steps: closing.Closing,
    ) -> None:
        self._board = board
        self._store = store
        self._witnesses = asked
        self._steps = steps
        self._members = view.MemberController()
        self._missing_since: dict[str, float] = {}
        self._orphans_at = 0.0

    async def scan(self, now: float) -> None:
        """Close the sessions that are gone, as far as it goes now."""
        if not self._is_first(now) or self._is_cut_off(now):
            return
        found = await self._store.scan(keys.SESSION_PREFIX)
        records = [_read_record(entry) for entry in found]
        live = {self._board.session, *self._witnesses.list_live()}
        gone = [
            record for record in records if self._is_gone(record, live, now)
        ]
        if now - self._orphans_at >= ORPHAN_INTERVAL_S:
            self._orphans_at = now
            gone.extend(map(_make_closed, await self._steps.list_orphans()))
        if gone:
            await self._steps.close_sessions(gone)

    def _is_gone(
        self, record: sessions.SessionRecord, live: set[str], now: float
    ) -> bool:
        if record["state"] != "open":
            return True
        if record["session"] in live:
            self._missing_since.pop(record["session"], None)
            return False
        since = self._missing_since.setdefault(record["session"], now)
        return now - since >= DEAD_AFTER_S

    def _is_first(self, now: float) -> bool:
        live = self._members.list_live(self._board.members, "entry", now)
        hosts = {self._board.host, *(beat["host"] for beat in live)}
        return (
            rendezvous.rank_members("recovery", hosts)[0] == self._board.host
        )

    def _is_cut_off(self, now: float) -> bool:
        """Tell whether this entry hears less than half of the fleet."""
        known = [
            member
            for member in self._board.members.members.values()
            if now - member["heard_at"] < MEMBER_MEMORY_S
        ]
        heard = [
            member
            for member in known
            if now - member["heard_at"] < view.SUSPECT_AFTER_S
        ]
        return 2 * (len(heard) + 1) < len(known) + 1

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(SCAN_INTERVAL_S)
            try:
                await self.scan(time.monotonic())
            except base_errors.CodedError as err:
                eliot.log_message("entry:recovery", code=err.code)


def _make_closed(session: str) -> sessions.SessionRecord:
    """Return the record of a session that all its sidecars refuse."""
    record = sessions.SessionCodec(session, "").decode(None)
    record["state"] = "closed"
    return record


def _read_record(entry: store_protocol.Entry) -> sessions.SessionRecord:
    return sessions.SessionCodec("", "").decode(entry.value)


__all__ = ("Recovery",)
